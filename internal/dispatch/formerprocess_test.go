package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// restartingFleet is a fleet of machines that restart under their IDs. A call that comes while a machine is down reaches its next process if
// that starts before the sender gives up. A process shortens leases to testLease by its own clock, which starts anew and is 2 % slow.
type restartingFleet struct {
	mu       sync.Mutex
	machines map[string]*restartingMachine
	started  int
	doubled  []string // tasks that started beside another run of theirs
	// answersLost is how long after its start a new process's answers are lost.
	answersLost time.Duration
}

const restartingClock = 0.98 // speed of the machines' clocks

type restartingMachine struct {
	born     time.Time // start of its process, in the future while it is down
	cutFrom  time.Time
	cutUntil time.Time
	leaseEnd time.Time
	runs     map[runKey]time.Time // when each run was started
}

// restartingRunTime is longer than any lease lasts without renewals.
const restartingRunTime = time.Minute

func (f *restartingFleet) add(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines[id] = &restartingMachine{born: time.Now(), runs: map[runKey]time.Time{}}
}

// restart lets a machine lose its power for a time, and cuts it off for another time, some time after it is back.
func (f *restartingFleet) restart(id string, off, untilCut, cut time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	born := time.Now().Add(off)
	f.machines[id] = &restartingMachine{born: born, cutFrom: born.Add(untilCut), cutUntil: born.Add(untilCut + cut), runs: map[runKey]time.Time{}}
}

// deliver lets a call act on the machine's process once it is up, and returns whether its answer reaches the sender.
func (f *restartingFleet) deliver(ctx context.Context, id string, act func(*restartingMachine, int64)) bool {
	time.Sleep(simCallTime)
	for {
		f.mu.Lock()
		m := f.machines[id]
		now := time.Now()
		if cut := !now.Before(m.cutFrom) && now.Before(m.cutUntil); cut {
			f.mu.Unlock()
			<-ctx.Done()
			return false
		}
		if now.Before(m.born) {
			f.mu.Unlock()
			wait.For(ctx, m.born.Sub(now))
			if ctx.Err() != nil {
				return false
			}
			continue
		}
		if now.After(m.leaseEnd) {
			clear(m.runs)
		}
		act(m, int64(restartingClock*float64(now.Sub(m.born).Milliseconds())))
		f.mu.Unlock()
		if now.Sub(m.born) < f.answersLost {
			<-ctx.Done()
		}
		return ctx.Err() == nil
	}
}

func (m *restartingMachine) extendLease(leaseEnd, clock int64) {
	lease := min(time.Duration(leaseEnd-clock)*time.Millisecond, testLease)
	if end := time.Now().Add(time.Duration(float64(lease) / restartingClock)); leaseEnd > 0 && end.After(m.leaseEnd) {
		m.leaseEnd = end
	}
}

func (f *restartingFleet) Start(ctx context.Context, to Target, o StartOrder) (clock int64, err error) {
	key := runKey{o.Task, o.Run}
	if !f.deliver(ctx, to.ID, func(m *restartingMachine, now int64) {
		clock = now
		m.extendLease(o.LeaseEnd, now)
		if _, running := m.runs[key]; running {
			return
		}
		for id, other := range f.machines {
			for k := range other.runs {
				if k.task == o.Task && time.Now().Before(other.leaseEnd) {
					f.doubled = append(f.doubled, fmt.Sprintf("run %d on %s beside run %d on %s, whose leases last for another %v", o.Run, to.ID, k.run, id, time.Until(other.leaseEnd)))
				}
			}
		}
		m.runs[key] = time.Now()
		f.started++
	}) {
		return 0, errNoAnswer
	}
	return clock, nil
}

func (f *restartingFleet) Stop(ctx context.Context, to Target, o StopOrder) (clock int64, err error) {
	if !f.deliver(ctx, to.ID, func(m *restartingMachine, now int64) {
		clock = now
		delete(m.runs, runKey{o.Task, o.Run})
	}) {
		return 0, errNoAnswer
	}
	return clock, nil
}

func (f *restartingFleet) Heartbeat(ctx context.Context, to Target, o HeartbeatOrder) (report HeartbeatReport, err error) {
	f.mu.Lock()
	born := f.machines[to.ID].born
	f.mu.Unlock()
	if !f.deliver(ctx, to.ID, func(m *restartingMachine, now int64) {
		born = m.born
		m.extendLease(o.LeaseEnd, now)
	}) {
		return report, errNoAnswer
	}
	time.Sleep(o.Wait)
	if !f.deliver(ctx, to.ID, func(m *restartingMachine, now int64) {
		report = HeartbeatReport{Clock: now, ProcessStart: m.born.UnixMilli()}
		for k, started := range m.runs {
			report.Running = append(report.Running, RunReport{Task: k.task, Run: k.run, Percent: int(100 * time.Since(started) / restartingRunTime)})
		}
	}) || report.ProcessStart != born.UnixMilli() {
		<-ctx.Done() // the process that had the call is gone
		return HeartbeatReport{}, errNoAnswer
	}
	return report, nil
}

func (f *restartingFleet) Pace(context.Context, Target, PaceOrder) error { return nil }

// Guards against a second run of a task beside one on a worker that restarted under its ID and was cut off soon after: an order that was
// meant for the earlier process gave the new one a longer lease than the scheduler reckoned with.
func TestTaskDoesNotRunTwiceWhenItsOrderReachesTheWorkersNextProcess(t *testing.T) {
	for submitted := 50 * time.Millisecond; submitted < 2*time.Second; submitted += 150 * time.Millisecond {
		for untilCut := time.Duration(0); untilCut <= 2500*time.Millisecond; untilCut += 250 * time.Millisecond {
			for _, play := range []restartPlay{
				{submitted, 600 * time.Millisecond, untilCut, 0, 0},
				{submitted, 600 * time.Millisecond, untilCut, 0, 400 * time.Millisecond},
				{submitted, 600 * time.Millisecond, untilCut, 50 * time.Millisecond, 0},
				{submitted, 1500 * time.Millisecond, untilCut, time.Second, 0},
			} {
				t.Run(fmt.Sprintf("%+v", play), func(t *testing.T) { synctest.Test(t, play.run) })
			}
		}
	}
}

// restartPlay is a play of a job that is submitted some time after all workers but one have lost their power.
type restartPlay struct{ submitted, off, untilCut, answersLost, unconfirmed time.Duration }

func (p restartPlay) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	fleet := &restartingFleet{machines: map[string]*restartingMachine{}, answersLost: p.answersLost}
	var current catalog.Current
	current.Advance((&catalog.Catalog{Version: 1, Customers: []catalog.Customer{{Name: "club"}}}).Build())
	s := New(ctx, Config{
		Fleet: fleet, Jobs: newSimLedger(ctx, nil), Runs: newSimLedger(ctx, nil), Term: &fakeTerm{unconfirmed: p.unconfirmed}, Token: 1, Catalog: &current,
		Events: event.Discard(), Metrics: tally.NoopScope, Now: time.Now, Bounds: Bounds{Lease: testLease, StatusRetention: time.Minute},
	})
	s.Recover(nil)
	var group sync.WaitGroup
	group.Go(func() { s.Run(ctx) })
	group.Go(func() { confirmLists(ctx, s) })
	h := &harness{scheduler: s}
	for _, id := range []string{"w1", "w2"} {
		fleet.add(id)
		s.Observe(WorkerInfo{ID: id, Address: id, Service: "render", Rack: id, Capacity: workload.Resources{CPU: 64_000, MemoryMB: 262_144, Accelerators: 8}})
	}
	time.Sleep(20 * time.Second)
	for _, id := range []string{"w1", "w2"} {
		fleet.restart(id, p.off, p.untilCut, 20*time.Second)
	}
	fleet.add("w3")
	time.Sleep(p.submitted)
	h.submit(singleStepJob(1, stepOf(1)))
	time.Sleep(2 * time.Second)
	s.Observe(WorkerInfo{ID: "w3", Address: "w3", Service: "render", Rack: "w3", Capacity: workload.Resources{CPU: 64_000, MemoryMB: 262_144, Accelerators: 8}})
	time.Sleep(28 * time.Second)
	cancel()
	group.Wait()
	time.Sleep(time.Minute) // lets calls end
	assert.Equal(t, len(fleet.doubled), 0, "%v", fleet.doubled)
	assert.Assert(t, fleet.started > 0, "no order reached a worker")
}

// Guards against a repeated start order that gives a process of the worker which the leader has not heard a lease beyond what the next leader
// reckons with, while the term is not confirmed.
func TestStartsAreNotRepeatedPastTheReckoningOfTheNextLeader(t *testing.T) {
	for unconfirmed, starts := range map[time.Duration]int{0: startAttempts, time.Second: 1} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, newMemoryLedger(), newMemoryLedger())
			w := h.addWorker("w1", "r1", 8)
			h.term.unconfirmed = unconfirmed
			h.fleet.startError = func(StartOrder) error { return errNoAnswer }
			h.submit(singleStepJob(1, stepOf(1)))
			h.pass()
			synctest.Wait()
			assert.Equal(t, h.fleet.started(), starts)
			assert.Equal(t, len(w.members), 1, "the start is withdrawn first")
		})
	}
}

// Guards against leases of all runs on a worker that outlast what the scheduler reckons with: a start order with a lease by the clock of an
// earlier process was repeated after the next one had been heard.
func TestStartsAreNotRepeatedByTheClockOfAnEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 8)
		h.report(w, HeartbeatReport{ProcessStart: 1, Clock: 500_000})
		h.fleet.startError = func(StartOrder) error {
			time.Sleep(startTimeout)
			return errNoAnswer
		}
		h.submit(singleStepJob(1, stepOf(1)))
		h.pass()
		time.Sleep(startTimeout / 2)
		h.report(w, HeartbeatReport{ProcessStart: 2, Clock: 100})
		time.Sleep(startAttempts * startTimeout)
		assert.Equal(t, h.fleet.started(), 1)
		assert.Assert(t, h.fleet.stopped() > 0, "the start is withdrawn")
	})
}
