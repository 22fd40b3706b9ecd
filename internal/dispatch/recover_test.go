package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/leadership"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// Guards against a finished job that starts again because its unit records were deleted before its outcome was durable.
// This happens when the partition of the outcomes is down and that of the units is not.
func TestUnitRecordsOutliveAnOutcomeThatIsNotDurable(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(1))
	h.submit(j)
	h.pass()
	h.awaitRunning(w, 1)
	h.report(w, HeartbeatReport{Ended: []EndReport{{Number: 1, Task: taskName(j, 0), Run: 1, Ending: EndDone}}})
	h.runs.flush() // h.jobs is not flushed, so the outcome is not durable
	h.scheduler.mu.Lock()
	h.scheduler.tick(time.Now())
	h.scheduler.mu.Unlock()
	h.runs.flush()

	next := h.nextTerm()
	next.addWorker("w1", "r1", 8)
	next.pass()
	assert.Equal(t, next.fleet.started(), 0, "a task started again after its end was acknowledged")
	assert.Equal(t, next.state(j.ID), ledger.Completed)
}

// Guards against unit records that are never deleted from the log.
func TestUnitRecordsAreDeletedOnceTheOutcomeIsDurable(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(2))
	h.submit(j)
	h.pass()
	h.awaitRunning(w, 2)
	h.report(w, HeartbeatReport{Ended: []EndReport{{1, taskName(j, 0), 1, EndDone, ""}, {2, taskName(j, 1), 1, EndDone, ""}}})
	h.jobs.flush()
	h.scheduler.mu.Lock()
	h.scheduler.tick(time.Now())
	h.scheduler.mu.Unlock()
	h.runs.flush()
	assert.Equal(t, len(h.runs.records()), 0)
}

// Guards against a failed run that is not counted because the worker forgot it before the gang's other members had ended,
// and the term changed in between.
func TestFailureOfAGangMemberIsRecordedBeforeItsEndIsForgotten(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w1, w2 := h.addWorker("w1", "r1", 1), h.addWorker("w2", "r1", 1)
	step := stepOf(2)
	step.Gang = true
	j := singleStepJob(1, step)
	j.QueueSettings.MaxAttempts = 1
	h.submit(j)
	h.pass()
	h.awaitRunning(w1, 1)
	h.awaitRunning(w2, 1)
	failing := h.runsOn(w1)[0]
	h.report(w1, HeartbeatReport{Ended: []EndReport{{1, failing.Task, 1, EndFailed, ""}}})
	h.runs.flush()
	assert.Equal(t, w1.lastRecordedEnd, int64(1), "the end is acknowledged")

	next := h.nextTerm()
	v1, v2 := next.addWorker("w1", "r1", 1), next.addWorker("w2", "r1", 1) // neither reports the runs any more
	next.pass()
	assert.Equal(t, len(v1.members)+len(v2.members), 0)
	assert.Equal(t, next.state(j.ID), ledger.Failed)
	assert.Equal(t, next.fleet.started(), 0, "a gang started although its queue allows no further attempt")
}

// Guards against a job that fails too early because a new leader does not know its queue's settings yet.
func TestTakeoverWithoutTheQueueKeepsTheJobsQueueSettings(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(1))
	h.submit(j)
	h.pass()
	h.awaitRunning(w, 1)
	h.report(w, HeartbeatReport{Ended: []EndReport{{1, taskName(j, 0), 1, EndFailed, ""}}})
	h.runs.flush()

	next := h.nextTerm() // its catalog has no queue at all
	assert.Assert(t, !next.state(j.ID).Final(), "one failure of three")
}

// Guards against an outcome that changes at a takeover because the later cancellation is loaded before it.
func TestOutcomeWinsOverALaterCancellationAtATakeover(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(1))
	h.submit(j)
	h.pass()
	h.awaitRunning(w, 1)
	h.report(w, HeartbeatReport{Ended: []EndReport{{1, taskName(j, 0), 1, EndDone, ""}}})
	h.runs.flush()
	h.jobs.flush()
	h.cancel(j.ID)
	assert.Equal(t, h.nextTerm().state(j.ID), ledger.Completed)
}

// Guards against a task that runs twice at once: a run on a worker that the new leader cannot reach may still hold a
// lease, which the previous leader renewed until its authority ended.
func TestRunOnAnUnreachableWorkerIsKeptUntilItsLeasesHaveExpired(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(1))
	h.submit(j)
	h.pass()
	h.awaitRunning(w, 1)

	next := h.nextTerm()
	next.addWorker("w2", "r1", 8)
	lost := next.scheduler.workers["w1"]
	previous, lease := next.scheduler.config.PreviousAuthority, testLease
	expire := func(offset time.Duration) {
		next.scheduler.mu.Lock()
		next.scheduler.expireLeases(lost, next.scheduler.createdAt.Add(offset))
		next.scheduler.mu.Unlock()
		next.pass()
	}
	expire(previous + lease)
	assert.Equal(t, len(lost.members), 1, "the lease may still run on the worker's slow clock")
	expire(previous + lease + lease/10)
	awaitStarts(t, next.fleet, 1)
	assert.Equal(t, next.fleet.starts[0].Run, 2)
}

// Guards against giving up a task that the worker still runs, and against keeping one that it does not.
func TestFirstReportInANewTermShowsWhatRuns(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(2))
	h.submit(j)
	h.pass()
	h.awaitRunning(w, 2)

	next := h.nextTerm()
	next.scheduler.Observe(w.info)
	restored := next.scheduler.workers["w1"]
	assert.Equal(t, len(restored.members), 2)
	next.report(restored, HeartbeatReport{Running: []RunReport{{Task: taskName(j, 0), Run: 1}}})
	assert.Equal(t, len(restored.members), 1)
	next.pass()
	awaitStarts(t, next.fleet, 1)
	assert.Equal(t, next.fleet.starts[0].Task, taskName(j, 1))
	assert.Equal(t, next.fleet.starts[0].Run, 2, "a run number is never reused")
}

// Guards against repeating a start elsewhere while the worker may still carry out the first order.
func TestUnansweredStartIsWithdrawnBeforeItIsRepeated(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.fleet.startError = func(StartOrder) error { return errors.New("no answer") }
	w := h.addWorker("w1", "r1", 1)
	j := singleStepJob(1, stepOf(1))
	h.submit(j)
	h.pass()
	awaitStops(t, h.fleet, 1)
	h.pass()
	assert.Equal(t, h.fleet.started(), startAttempts)
	for _, o := range h.fleet.starts {
		assert.Equal(t, o.Run, 1, "only the same run is ordered again")
	}
	h.awaitStopAnswered(w)
	h.fleet.mu.Lock()
	h.fleet.startError = nil
	h.fleet.mu.Unlock()
	h.report(w, HeartbeatReport{}) // the worker reports neither the run nor its end
	h.pass()
	awaitStarts(t, h.fleet, startAttempts+1)
	assert.Equal(t, h.fleet.starts[startAttempts].Run, 2)
}

// Guards against giving up a gang, and all work that its members have begun, because one order was not answered.
func TestUnansweredStartIsRepeatedBeforeItIsWithdrawn(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	lost := true
	h.fleet.startError = func(StartOrder) error { // called with the fleet's lock held
		if lost {
			lost = false
			return errors.New("no answer")
		}
		return nil
	}
	w := h.addWorker("w1", "r1", 8)
	step := stepOf(3)
	step.Gang = true
	h.submit(singleStepJob(1, step))
	h.pass()
	h.awaitRunning(w, 3)
	assert.Equal(t, h.fleet.started(), 4)
	assert.Equal(t, h.fleet.stopped(), 0)
}

// Guards against starting a task elsewhere while it runs: a worker that accepted an order without answering may refuse its
// repetition.
func TestRefusalOfARepeatedStartLeavesTheOutcomeUnknown(t *testing.T) {
	for _, reason := range []Refusal{RefusedUnhealthy, RefusedNoResources, RefusedStaleRun, RefusedLeaseOver} {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		h.fleet.startError = func(StartOrder) error { // called with the fleet's lock held
			if len(h.fleet.starts) == 1 {
				return errors.New("no answer")
			}
			return &RefusalError{reason}
		}
		w := h.addWorker("w1", "r1", 8)
		h.submit(singleStepJob(1, stepOf(1)))
		h.pass()
		awaitStops(t, h.fleet, 1)
		h.pass()
		assert.Equal(t, len(w.members), 1, "after %s the run may still be there", reason)
		assert.Equal(t, h.fleet.started(), 2)
	}
}

// Guards against a data race between an order and discovery that replaces the worker's address. Only the race detector
// shows it.
func TestOrdersAndDiscoveryDoNotRace(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	info := w.info
	h.fleet.startError = func(StartOrder) error { return errors.New("no answer") }
	h.submit(singleStepJob(1, stepOf(8)))
	h.pass()
	for range 50 {
		info.Remaining++
		h.scheduler.Observe(info)
	}
	h.report(w, HeartbeatReport{Running: []RunReport{{Task: taskName(singleStepJob(2, stepOf(1)), 0), Run: 1}}}) // a stray run
	h.scheduler.Observe(info)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.fleet.stopped() == 0 {
			return poll.Continue("nothing stopped")
		}
		return poll.Success()
	})
}

// Guards against repeating work that has ended well: its worker is silent until the leases have expired, and then reports
// the ends before the tasks start elsewhere.
func TestEndsOfAWorkerThatAnswersAgainAreApplied(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(2))
	h.submit(j)
	h.pass()
	h.awaitRunning(w, 2)
	h.scheduler.mu.Lock()
	w.responsive = false
	h.scheduler.expireLeases(w, w.allLeasesOverAt())
	h.scheduler.mu.Unlock()
	assert.Equal(t, len(h.runsOn(w)), 0)
	h.runs.flush()
	h.report(w, HeartbeatReport{Ended: []EndReport{{1, taskName(j, 0), 1, EndDone, ""}, {2, taskName(j, 1), 1, EndDone, ""}}})
	h.pass()
	assert.Equal(t, h.state(j.ID), ledger.Completed)
	assert.Equal(t, h.fleet.started(), 2, "nothing started again")
	assert.Equal(t, h.nextTerm().state(j.ID), ledger.Completed, "the next term restores the outcome")
}

// Guards against a step that never starts beside idle workers: a run of the step before it counted as lost and had ended well, its task
// was started again, and the end was ignored and forgotten by the worker.
func TestEndOfAnEarlierRunCompletesATaskThatRunsAgain(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w1 := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(1))
	next := stepOf(1)
	next.After = []int{0}
	j.Steps = append(j.Steps, next)
	h.submit(j)
	h.pass()
	h.awaitRunning(w1, 1)
	h.scheduler.mu.Lock()
	w1.responsive = false
	h.scheduler.expireLeases(w1, w1.allLeasesOverAt())
	h.scheduler.mu.Unlock()
	assert.Equal(t, len(h.runsOn(w1)), 0)
	w2 := h.addWorker("w2", "r1", 8)
	h.pass()
	h.awaitRunning(w2, 1)
	h.report(w1, HeartbeatReport{Ended: []EndReport{{1, taskName(j, 0), 1, EndDone, ""}}})
	awaitStops(t, h.fleet, 1)
	h.pass()
	awaitStarts(t, h.fleet, 3)
	assert.Equal(t, h.fleet.starts[2].Task.Step, 1)
	h.report(w2, HeartbeatReport{Ended: []EndReport{{1, taskName(j, 0), 2, EndStopped, ""}}})
	assert.Equal(t, h.scheduler.jobs[j.ID].occurrences[0].steps[0].unitsLeft, 0, "the stopped run changes nothing")
}

// Guards against heartbeats of a term that go on after it has ended: discovery may show workers before the passes begin.
func TestHeartbeatsThatBeginBeforeThePassesEndWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fleet := newSimFleet(1)
		s := New(ctx, Config{
			Fleet: fleet, Jobs: newMemoryLedger(), Runs: newMemoryLedger(), Term: &fakeTerm{}, Catalog: &catalog.Current{}, Events: event.Discard(),
			Metrics: tally.NoopScope, Now: time.Now, Bounds: Bounds{Lease: testLease},
		})
		info := WorkerInfo{ID: "w1", Address: "w1:1"}
		fleet.add(info)
		s.Observe(info)
		time.Sleep(time.Second)
		go s.Run(ctx)
		time.Sleep(time.Second)
		cancel() // the bubble reports goroutines that do not end
	})
}

// Guards against a preemption that throws away the work of long runs, since after a change of the scheduler they seem to have just
// begun.
func TestRunsOfAnEarlierTermAreNotTheCheapestToPreempt(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	gang := stepOf(1)
	gang.Gang, gang.Resources.Accelerators = true, 8
	long, short := singleStepJob(1, gang), singleStepJob(2, gang)
	w1 := h.addWorker("w1", "r1", 8)
	h.submit(long)
	h.pass()
	h.awaitRunning(w1, 1)
	h.scheduler.mu.Lock()
	u := h.scheduler.jobs[long.ID].occurrences[0].steps[0].units[0]
	u.startedAt = u.startedAt.Add(-time.Minute)
	h.scheduler.config.Runs.Put(nil, u.record())
	h.scheduler.mu.Unlock()
	h.runs.flush()

	info := w1.info
	h = h.nextTerm()
	h.scheduler.Observe(info)
	w1 = h.scheduler.workers["w1"]
	h.report(w1, HeartbeatReport{Clock: 1000, Running: h.runsOn(w1)})
	h.addWorker("w2", "r1", 8)
	h.addWorker("w3", "r1", 8)
	h.submit(short)
	for n := 3; n <= 4; n++ { // one takes the worker that is kept free, the other preempts
		urgent := singleStepJob(n, gang)
		urgent.QueueSettings.Priority = 0
		h.pass()
		h.submit(urgent)
	}
	h.pass()
	awaitStops(t, h.fleet, 1)
	assert.Equal(t, h.fleet.stops[0].Task.Job, short.ID, "a minute of the other's work would be lost")
}

// Guards against work that waits too long for leases of workers that were lost together with the scheduler, before it could list them as silent.
func TestWorkOfWorkersLostWithTheSchedulerStartsAgainInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			lease = 6 * time.Second
			limit = 9 * time.Second // the platform lets a lasting task be without a run for 6 s and 3 s more
		)
		first := newHarnessConfigured(t, func(c *Config) { c.Bounds.Lease = lease }, newMemoryLedger(), newMemoryLedger())
		first.startOn(1, first.addWorker("w1", "r1", 8))
		lostAt := time.Now() // the last heartbeat of the term is confirmed just before
		time.Sleep(1500 * time.Millisecond)
		next := newHarnessConfigured(t, func(c *Config) {
			c.Bounds.Lease, c.PreviousAuthority = lease, leadership.LeaseAuthority(lease)-time.Since(lostAt)
		}, first.jobs, first.runs, first.entries...)
		w2 := next.addWorker("w2", "r1", 8)
		for next.fleet.started() == 0 {
			assert.Assert(t, time.Since(lostAt) <= limit, "the work still waits %v after the loss", time.Since(lostAt))
			time.Sleep(tickPeriod)
			next.report(w2, HeartbeatReport{Clock: 1000 + time.Since(lostAt).Milliseconds()})
			next.tickAt(time.Now())
			next.pass()
			synctest.Wait()
		}
		assert.Equal(t, next.fleet.starts[0].Run, 2)
	})
}
