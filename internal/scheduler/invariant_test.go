package scheduler_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// gangMembers is the number of members of the gang under test.
const gangMembers = 5

// gangRunTime is longer than the allowed time, so that a member that runs without the rest is seen to exceed it.
const gangRunTime = 1100 * time.Millisecond

// faultTrigger calls onTrigger when the nth command of a kind reaches a worker. Renewals count only after all members have
// been started.
type faultTrigger struct {
	path      string
	nth       int64
	onTrigger func(worker string)
	seen      atomic.Int64
	starts    atomic.Int64
}

func (g *faultTrigger) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		parts := strings.Split(q.URL.Path, "/") // "", workers, id, command
		if len(parts) != 4 {
			next.ServeHTTP(w, q)
			return
		}
		counts := parts[3] != "renew" || g.starts.Load() >= gangMembers
		if counts && parts[3] == g.path && g.seen.Add(1) == g.nth {
			g.onTrigger(parts[2])
		}
		if parts[3] == "start" {
			defer g.starts.Add(1)
		}
		next.ServeHTTP(w, q)
	})
}

// gangFault is one kind of fault. apply gets the worker whose command triggered it and returns a function that heals it.
type gangFault struct {
	name  string
	apply func(r *rig, e []*instance, worker string) (heal func())
}

var gangFaults = []gangFault{
	{"worker killed", func(r *rig, _ []*instance, worker string) func() {
		r.control(worker, "kill", 0)
		return func() { r.control(worker, "revive", 0) }
	}},
	{"worker frozen", func(r *rig, _ []*instance, worker string) func() {
		r.control(worker, "freeze", 0)
		return func() { r.control(worker, "thaw", 0) }
	}},
	{"responses lost", func(r *rig, _ []*instance, worker string) func() {
		r.control(worker, "drop", 4)
		return func() { r.control(worker, "drop", 0) }
	}},
	{"worker refuses", func(r *rig, _ []*instance, worker string) func() {
		r.control(worker, "fail", 0)
		return func() { r.control(worker, "heal", 0) }
	}},
	{"rack owner cut off", func(r *rig, e []*instance, _ string) func() {
		r.network.cut(e[0].id, true)
		e[0].leave()
		return func() {}
	}},
	{"two owners", func(r *rig, e []*instance, _ string) func() {
		r.members.change(func() { e[1].view.alone = true })
		return func() { r.members.change(func() { e[1].view.alone = false }) }
	}},
}

// Guards against accelerators that stay busy with tasks of no known job, which a crashed scheduler can leave behind.
func TestInvariantGangAllOrNothingFreesUnknownTasks(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1, 1, standin.Options{})
	r.timing = shortTiming()
	client := platform.NewHTTPClient()
	defer client.CloseIdleConnections()
	w := platform.NewWorker(client, r.members.workers[0].Address, "w000")
	ctx := context.Background()
	fence := platform.Fence{Owner: "lost", Epoch: 7, SchedulerEpoch: 9}
	_, err := w.Session(ctx, platform.SessionRequest{Fence: fence, TTLMS: 60_000})
	assert.NilError(t, err)
	for member, job := range []structs.JobID{"harbour-clubs/held", "harbour-clubs/runs", "/service/gone/task/0"} {
		task := structs.Task{Job: structs.Job{ID: job}, Attempt: 1, Members: 1, Worker: "w000", Accelerators: []int{member}}
		assert.NilError(t, w.Hold(ctx, platform.HoldRequest{Fence: fence, Task: task, TTLMS: 60_000}))
		if member > 0 {
			assert.NilError(t, w.Start(ctx, platform.TaskCommand{Fence: fence, Job: job, Attempt: 1, TaskLeaseMS: 60_000}))
		}
	}
	assert.Equal(t, r.busyAccelerators(), 3)
	_, err = w.Session(ctx, platform.SessionRequest{Fence: fence, Release: true})
	assert.NilError(t, err)
	r.instance("e1")
	r.await("unknown tasks are freed", 5*time.Second, func() bool { return r.busyAccelerators() == 0 && r.allForgotten() })
}

// Guards against a member that keeps running after another one was lost while there is no scheduler to stop it: the rack
// owners alone must let its lease expire, even when each of them sees only a part of the gang.
func TestInvariantGangAllOrNothingWithoutScheduler(t *testing.T) {
	t.Parallel()
	for _, perRack := range []int{2, 1} {
		r := newRig(t, 2, perRack, standin.Options{Accelerators: 4})
		r.timing = shortTiming()
		entries := []*instance{r.instance("e1"), r.instance("e2"), r.instance("e3")}
		r.submit("gang", 8, time.Hour)
		r.await("the gang runs", 5*time.Second, func() bool { return r.running("gang") == 2 })
		for _, e := range entries {
			if e.sched.Active() {
				r.network.cutPeers(e.id)
			}
		}
		r.control("w001", "kill", 0)
		r.await("the other member ends", 5*time.Second, func() bool { return r.running("gang") == 0 })
		for _, problem := range gangViolations(r.runs("gang"), r.timing.TaskLease*3/2+schedulingNoise) {
			t.Error(problem)
		}
	}
}

// Guards against members that keep their accelerators after their gang was cancelled while one of them cannot be reached.
func TestInvariantGangAllOrNothingCancelled(t *testing.T) {
	t.Parallel()
	for _, action := range []string{"", "freeze", "kill", "drop"} {
		t.Run("cancelled_"+action, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 3, 1, standin.Options{Accelerators: 4})
			r.timing = shortTiming()
			r.instance("e1")
			r.instance("e2")
			r.submit("gang", 12, time.Hour)
			r.await("the gang runs", 5*time.Second, func() bool { return r.running("gang") == 3 })
			if action != "" {
				r.control("w001", action, 5)
			}
			assert.NilError(t, r.jobs.Cancel(context.Background(), "harbour-clubs", "gang"))
			r.await("the gang is cancelled", 5*time.Second, func() bool { return r.result("gang") != nil })
			assert.Equal(t, r.result("gang").State, structs.JobCancelled)
			r.await("accelerators are free", 2*time.Second, func() bool { return r.busyAccelerators() == 0 })
			for _, problem := range gangViolations(r.runs("gang"), r.timing.TaskLease*3/2+schedulingNoise) {
				t.Error(problem)
			}
			if action == "freeze" {
				r.control("w001", "thaw", 0)
			}
		})
	}
}

// Guards against a part of a gang that runs without the rest. In each phase, members are killed, freeze, lose responses or
// fail, an instance with a rack owner and perhaps the scheduler is cut off, or two instances both act as rack owner; each
// fault alone and in pairs. A member may run for at most 1.5 task leases after the end of another.
func TestInvariantGangAllOrNothing(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 2))
	for _, path := range []string{"hold", "start", "renew"} {
		for _, first := range gangFaults {
			second := gangFaults[random.IntN(len(gangFaults))]
			for _, faults := range [][]gangFault{{first}, {first, second}} {
				name := path + "/" + first.name
				if len(faults) == 2 {
					name += " and " + second.name
				}
				nth := 1 + random.Int64N(gangMembers)
				t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
					t.Parallel()
					checkGang(t, path, nth, faults)
				})
			}
		}
	}
}

func checkGang(t *testing.T, path string, nth int64, faults []gangFault) {
	r := newRig(t, 6, 2, standin.Options{Accelerators: 4, FailAfter: 20 * time.Millisecond})
	r.timing = shortTiming()
	r.probeInterval = 50 * time.Millisecond
	entries := []*instance{r.instance("e1"), r.instance("e2"), r.instance("e3")}
	var heals []func()
	fired := make(chan struct{})
	g := &faultTrigger{path: path, nth: nth, onTrigger: func(worker string) {
		for _, fault := range faults {
			heals = append(heals, fault.apply(r, entries, worker))
		}
		close(fired)
	}}
	r.await("a scheduler is active", 5*time.Second, func() bool {
		return entries[0].sched.Active() || entries[1].sched.Active() || entries[2].sched.Active()
	})
	r.setMiddleware(g.middleware)
	r.submit("gang", 4*gangMembers, gangRunTime)
	select {
	case <-fired:
	case <-time.After(5 * time.Second):
		t.Fatal("the fault was never triggered")
	}
	time.Sleep(r.timing.TaskLease)
	for _, heal := range heals {
		heal()
	}
	r.await("the gang finishes", 15*time.Second, func() bool { return r.result("gang") != nil })
	assert.Equal(t, r.result("gang").State, structs.JobFinished, r.result("gang").Message)
	r.await("accelerators are free", 5*time.Second, func() bool { return r.busyAccelerators() == 0 })
	for _, problem := range gangViolations(r.runs("gang"), r.timing.TaskLease*3/2+schedulingNoise) {
		t.Error(problem)
	}
}

// gangViolations lists the members that ran longer than allowed after another member of the same attempt had stopped, and
// the attempts that overlapped. A member that finished counts as running until the last one has finished.
func gangViolations(runs []standin.Run, allowed time.Duration) []string {
	var problems []string
	attempts := map[uint64][]standin.Run{}
	for _, run := range runs {
		attempts[run.Attempt] = append(attempts[run.Attempt], run)
	}
	for attempt, members := range attempts {
		incompleteSince := firstIncompleteAt(members)
		for _, m := range members {
			if ranAlone := m.Ended.Sub(incompleteSince); !incompleteSince.IsZero() && ranAlone > allowed {
				problems = append(problems, fmt.Sprintf("attempt %d: member %d on %s ran %v without the rest, %v is allowed",
					attempt, m.Member, m.Worker, ranAlone, allowed))
			}
			for other, later := range attempts {
				if other > attempt && m.Ended.After(later[0].Started) {
					problems = append(problems, fmt.Sprintf("attempts %d and %d of the job overlap", attempt, other))
				}
			}
		}
	}
	return problems
}

// firstIncompleteAt is when an attempt first lacked a running member, zero when it never did.
func firstIncompleteAt(members []standin.Run) time.Time {
	var at time.Time
	for _, m := range members {
		if m.EndPhase != platform.TaskFinished && (at.IsZero() || m.Ended.Before(at)) {
			at = m.Ended
		}
	}
	if len(members) == members[0].Members {
		return at
	}
	for _, m := range members { // a member never started
		if m.Started.Before(at) || at.IsZero() {
			at = m.Started
		}
	}
	return at
}
