package scheduler_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against jobs and gangs that never start, finish or leave their accelerators.
func TestJobsRunToTheirEnd(t *testing.T) {
	t.Parallel()
	r := newRig(t, 4, 2, standin.Options{})
	r.instance("e1")
	r.submit("small", 1, 50*time.Millisecond)
	r.submit("gang", 24, 80*time.Millisecond)
	for _, id := range []string{"small", "gang"} {
		r.await(id+" finishes", 5*time.Second, func() bool { return r.result(id) != nil })
		assert.Equal(t, r.result(id).State, structs.JobFinished)
	}
	assert.Equal(t, len(r.runs("gang")), 3) // three whole workers, while the small job uses the fourth
	r.await("accelerators are free", 2*time.Second, func() bool { return r.busyAccelerators() == 0 })
}

func (r *rig) busyAccelerators() int {
	n := 0
	for _, w := range r.members.workers {
		n += r.fleet.Busy(structs.WorkerID(w.ID))
	}
	return n
}

// Guards against a job that runs twice because its scheduler crashed before the worker forgot the job: either before or
// after the finish record was written.
func TestKilledBetweenFinishAndForgetRunsOnce(t *testing.T) {
	t.Parallel()
	for _, recorded := range []bool{true, false} {
		t.Run(fmt.Sprintf("recorded=%v", recorded), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, 2, standin.Options{})
			first := r.instance("e1")
			killed := make(chan struct{})
			r.jobs.onFinish = func() error {
				if recorded {
					r.jobs.storeFinished("once")
				}
				<-killed
				return errors.New("the response was lost")
			}
			r.submit("once", 4, 30*time.Millisecond)
			r.await("the task ends", 5*time.Second, func() bool { return len(r.runs("once")) == 1 && r.running("once") == 0 })
			time.Sleep(100 * time.Millisecond) // the finish record is under way
			r.network.cut(first.id, true)
			close(killed)
			first.crash()
			r.jobs.mu.Lock()
			r.jobs.onFinish = nil
			r.jobs.mu.Unlock()
			r.instance("e2")
			r.await("the job is recorded and forgotten", 5*time.Second, func() bool {
				return r.result("once") != nil && r.allForgotten()
			})
			time.Sleep(200 * time.Millisecond)
			assert.Equal(t, len(r.runs("once")), 1)
		})
	}
}

// Guards against a finished and forgotten job that a new scheduler runs again because its fold of the job stream lags
// behind, as happens in an outage of the log service.
func TestStaleFoldRunsNothingTwice(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1, 1, standin.Options{})
	first := r.instance("e1")
	r.submit("once", 4, 20*time.Millisecond)
	r.await("the job is forgotten", 5*time.Second, func() bool { return r.result("once") != nil && r.allForgotten() })
	r.jobs.setStale(true)
	first.crash()
	second := r.instance("e2")
	r.await("the scheduler is active", 5*time.Second, second.sched.Active)
	r.submit("new", 4, 20*time.Millisecond)
	r.await("new jobs run", 5*time.Second, func() bool { return len(r.runs("new")) == 1 })
	time.Sleep(r.timing.TaskLease / 4)
	assert.Equal(t, len(r.runs("once")), 1)
	r.jobs.setStale(false)
	r.await("the new job is recorded", 5*time.Second, func() bool { return r.result("new") != nil })
	assert.Equal(t, len(r.runs("once")), 1)
}

// Guards against a job that runs again because the fold does not show its acknowledged finish record yet.
func TestAcknowledgedFinishRunsNothingTwice(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1, 1, standin.Options{})
	r.instance("e1")
	r.submit("once", 4, 100*time.Millisecond)
	r.await("the job runs", 5*time.Second, func() bool { return r.running("once") == 1 })
	r.jobs.setStale(true)
	r.await("the job is forgotten", 5*time.Second, func() bool { return r.running("once") == 0 && r.allForgotten() })
	r.submit("other", 4, 20*time.Millisecond)
	r.await("the other job runs", 5*time.Second, func() bool { return len(r.runs("other")) == 1 })
	time.Sleep(r.timing.TaskLease / 8)
	assert.Equal(t, len(r.runs("once")), 1)
}

func (s *stream) storeFinished(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[structs.JobID("harbour-clubs/"+id)]
	if j.result == nil {
		j.result = &finishedResult
	}
}

// allForgotten reports whether the workers have forgotten all their tasks.
func (r *rig) allForgotten() bool {
	for _, w := range r.members.workers {
		for _, phase := range r.fleet.Phases(structs.WorkerID(w.ID)) {
			if phase != platform.TaskForgotten {
				return false
			}
		}
	}
	return true
}

// Guards against an urgent job that waits for borrowers longer than the bound of 7.8 s, and against preempted borrowers that
// lose their saved work and never finish. The bound and the checkpoints of 5 s are scaled by 1/3.
func TestUrgentStartOnBorrowedFleet(t *testing.T) {
	t.Parallel()
	r := newRig(t, 3, 3, standin.Options{})
	r.checkpointGrace = 5 * time.Second / urgentScale
	r.instance("e1")
	checkpoint := func(j *structs.Job) { j.Checkpoint = 5 * time.Second / urgentScale }
	for i := range 6 {
		r.submit(fmt.Sprintf("borrower%d", i), 4, 4*time.Second, checkpoint)
	}
	r.await("the fleet is full", 5*time.Second, func() bool { return r.busyAccelerators() == 24 })
	begun := time.Now()
	r.submit("urgent", 16, 100*time.Millisecond, func(j *structs.Job) { j.Urgency = 100 })
	r.await("the urgent job starts", 5*time.Second, func() bool { return r.running("urgent") == 2 })
	took := time.Since(begun)
	t.Logf("urgent start took %v, scaled bound %v", took, urgentBound/urgentScale)
	assert.Assert(t, took <= urgentBound/urgentScale)
	for i := range 6 {
		id := fmt.Sprintf("borrower%d", i)
		r.await(id+" finishes", 10*time.Second, func() bool { return r.result(id) != nil })
		assert.Equal(t, r.result(id).State, structs.JobFinished)
	}
}

// Guards against cancelled jobs, waiting or running, that run or keep their accelerators.
func TestCancel(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2, 2, standin.Options{})
	r.instance("e1")
	r.submit("runs", 16, time.Hour)
	r.submit("waits", 16, time.Hour)
	r.await("the first runs", 5*time.Second, func() bool { return r.running("runs") == 2 })
	for _, id := range []string{"waits", "runs"} {
		assert.NilError(t, r.jobs.Cancel(context.Background(), "harbour-clubs", structs.JobID(id)))
		r.await(id+" is cancelled", 5*time.Second, func() bool { return r.result(id) != nil })
		assert.Equal(t, r.result(id).State, structs.JobCancelled)
	}
	assert.Equal(t, len(r.runs("waits")), 0)
	r.await("accelerators are free", 2*time.Second, func() bool { return r.busyAccelerators() == 0 })
}

// Guards against gangs that stop because the roles of scheduler and rack owner moved, after the previous instance was
// drained or crashed, and against roles that do not move within half a task lease.
func TestChangeOfOwnersKeepsGangsRunning(t *testing.T) {
	t.Parallel()
	r := newRig(t, 4, 1, standin.Options{})
	one, two := r.instance("e1"), r.instance("e2")
	r.submit("gang", 32, 1500*time.Millisecond)
	r.await("the gang runs", 5*time.Second, func() bool { return r.running("gang") == 4 })
	three := r.instance("e3")
	one.drain()
	active, last := two, three
	if two.view.Owner(dc, membership.OwnerKeyScheduler) == three.id {
		active, last = three, two
	}
	r.await("the next instance decides", r.timing.TaskLease, active.sched.Active)
	time.Sleep(3 * r.timing.Renew) // the scheduler attaches to the newest rack owner too
	begun := time.Now()
	active.crash()
	r.await("the last instance decides", r.timing.TaskLease, last.sched.Active)
	t.Logf("the scheduler moved in %v, task lease %v", time.Since(begun), r.timing.TaskLease)
	assert.Assert(t, time.Since(begun) < r.timing.TaskLease/2+schedulingNoise)
	r.await("the gang finishes", 5*time.Second, func() bool { return r.result("gang") != nil })
	assert.Equal(t, len(r.runs("gang")), 4)
	r.await("accelerators are free", 2*time.Second, func() bool { return r.busyAccelerators() == 0 })
}
