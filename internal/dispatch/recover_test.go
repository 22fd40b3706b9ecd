package dispatch

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// Guards against a finished job that starts anew because its units' records were deleted before its outcome was durable, as
// when the partition of the outcomes is out and that of the units is not.
func TestUnitRecordsOutliveAnOutcomeThatIsNotDurable(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	j := jobOf(1, tasks(1))
	b.submit(j)
	b.pass()
	b.awaitRunning(w, 1)
	b.report(w, HeartbeatReport{Ended: []EndReport{{Number: 1, Task: task(j, 0), Run: 1, Ending: EndDone}}})
	b.runs.flush() // the outcome in b.jobs is not durable
	b.s.mu.Lock()
	b.s.tick(time.Now())
	b.s.mu.Unlock()
	b.runs.flush()

	after := b.next()
	after.worker("w1", "r1", 8)
	after.pass()
	assert.Equal(t, after.fleet.started(), 0, "a task started again after its end was acknowledged")
	assert.Equal(t, after.state(j.ID), ledger.Completed)
}

// Guards against unit records that stay in the log for ever.
func TestUnitRecordsAreDeletedBehindTheOutcome(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	j := jobOf(1, tasks(2))
	b.submit(j)
	b.pass()
	b.awaitRunning(w, 2)
	b.report(w, HeartbeatReport{Ended: []EndReport{{1, task(j, 0), 1, EndDone, ""}, {2, task(j, 1), 1, EndDone, ""}}})
	b.jobs.flush()
	b.s.mu.Lock()
	b.s.tick(time.Now())
	b.s.mu.Unlock()
	b.runs.flush()
	assert.Equal(t, len(b.runs.records()), 0)
}

// Guards against a failed run that is not counted because the worker forgot it before the gang's other members ended and the
// term changed in between.
func TestFailureOfAGangMemberIsRecordedBeforeItsEndIsForgotten(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w1, w2 := b.worker("w1", "r1", 1), b.worker("w2", "r1", 1)
	step := tasks(2)
	step.Gang = true
	j := jobOf(1, step)
	j.Terms.MaxAttempts = 1
	b.submit(j)
	b.pass()
	b.awaitRunning(w1, 1)
	b.awaitRunning(w2, 1)
	failing := b.running(w1)[0]
	b.report(w1, HeartbeatReport{Ended: []EndReport{{1, failing.Task, 1, EndFailed, ""}}})
	b.runs.flush()
	assert.Equal(t, w1.recorded, int64(1), "the end is acknowledged")

	after := b.next()
	v1, v2 := after.worker("w1", "r1", 1), after.worker("w2", "r1", 1) // neither lists the runs any more
	after.pass()
	assert.Equal(t, len(v1.members)+len(v2.members), 0)
	assert.Equal(t, after.state(j.ID), ledger.Failed)
	assert.Equal(t, after.fleet.started(), 0, "a gang started after as many failures as its queue allows")
}

// Guards against a job that fails early because a scheduler took over before it knew the queue's terms.
func TestTakeoverWithoutTheQueueKeepsTheJobsTerms(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	j := jobOf(1, tasks(1))
	b.submit(j)
	b.pass()
	b.awaitRunning(w, 1)
	b.report(w, HeartbeatReport{Ended: []EndReport{{1, task(j, 0), 1, EndFailed, ""}}})
	b.runs.flush()

	after := b.next() // its catalog names no queue at all
	assert.Assert(t, !after.state(j.ID).Final(), "one failure of three")
}

// Guards against an outcome that changes at a takeover because the cancellation is folded before it.
func TestOutcomeWinsOverALaterCancellationAtATakeover(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	j := jobOf(1, tasks(1))
	b.submit(j)
	b.pass()
	b.awaitRunning(w, 1)
	b.report(w, HeartbeatReport{Ended: []EndReport{{1, task(j, 0), 1, EndDone, ""}}})
	b.runs.flush()
	b.jobs.flush()
	b.cancel(j.ID)
	assert.Equal(t, b.next().state(j.ID), ledger.Completed)
}

// Guards against a task that runs twice at once: a run on a worker that the new term cannot reach may still hold its lease,
// renewed by the term before until its authority ended.
func TestRunOnAnUnreachableWorkerIsKeptUntilItsLeasesHaveLapsed(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	j := jobOf(1, tasks(1))
	b.submit(j)
	b.pass()
	b.awaitRunning(w, 1)

	after := b.next()
	after.worker("w2", "r1", 8)
	lost := after.s.workers["w1"]
	previous, lease := after.s.c.PreviousAuthority, testLease
	expire := func(offset time.Duration) {
		after.s.mu.Lock()
		after.s.expire(lost, after.s.begun.Add(offset))
		after.s.mu.Unlock()
		after.pass()
	}
	expire(previous + lease)
	assert.Equal(t, len(lost.members), 1, "the lease may still run on the worker's slow clock")
	expire(previous + lease + lease/10)
	awaitStarts(t, after.fleet, 1)
	assert.Equal(t, after.fleet.starts[0].Run, 2)
}

// Guards against a task that is given up although the worker still has it, and against one that is kept although the worker
// does not.
func TestFirstLookOfANewTermTellsWhatRuns(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	j := jobOf(1, tasks(2))
	b.submit(j)
	b.pass()
	b.awaitRunning(w, 2)

	after := b.next()
	after.s.Observe(w.info)
	again := after.s.workers["w1"]
	assert.Equal(t, len(again.members), 2)
	after.report(again, HeartbeatReport{Running: []RunReport{{Task: task(j, 0), Run: 1}}})
	assert.Equal(t, len(again.members), 1)
	after.pass()
	awaitStarts(t, after.fleet, 1)
	assert.Equal(t, after.fleet.starts[0].Task, task(j, 1))
	assert.Equal(t, after.fleet.starts[0].Run, 2, "a run number is never used again")
}

// Guards against a start that is repeated elsewhere while the worker may still carry the first one out.
func TestUnansweredStartIsWithdrawnBeforeItIsRepeated(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	b.fleet.answer = func(StartOrder) error { return errors.New("no answer") }
	w := b.worker("w1", "r1", 1)
	j := jobOf(1, tasks(1))
	b.submit(j)
	b.pass()
	awaitStops(t, b.fleet, 1)
	b.pass()
	assert.Equal(t, b.fleet.started(), startAttempts)
	for _, o := range b.fleet.starts {
		assert.Equal(t, o.Run, 1, "only the same run is ordered again")
	}
	b.awaitStopAnswered(w)
	b.fleet.mu.Lock()
	b.fleet.answer = nil
	b.fleet.mu.Unlock()
	b.report(w, HeartbeatReport{}) // the worker has neither the run nor its end
	b.pass()
	awaitStarts(t, b.fleet, startAttempts+1)
	assert.Equal(t, b.fleet.starts[startAttempts].Run, 2)
}

// Guards against a gang that is given up, with all that its members have begun, because one order had no answer.
func TestUnansweredStartIsRepeatedBeforeItIsWithdrawn(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	lost := true
	b.fleet.answer = func(StartOrder) error { // called with the fleet's lock held
		if lost {
			lost = false
			return errors.New("no answer")
		}
		return nil
	}
	w := b.worker("w1", "r1", 8)
	step := tasks(3)
	step.Gang = true
	b.submit(jobOf(1, step))
	b.pass()
	b.awaitRunning(w, 3)
	assert.Equal(t, b.fleet.started(), 4)
	assert.Equal(t, b.fleet.stopped(), 0)
}

// Guards against a task that is started elsewhere while it runs: a worker that took an order up without answering may refuse
// its repetition.
func TestRefusalOfARepeatedStartLeavesTheFirstOneOpen(t *testing.T) {
	for _, reason := range []Refusal{RefusedUnhealthy, RefusedNoRoom, RefusedStaleRun, RefusedLeaseOver} {
		b := newBench(t, newMemoryLedger(), newMemoryLedger())
		b.fleet.answer = func(StartOrder) error { // called with the fleet's lock held
			if len(b.fleet.starts) == 1 {
				return errors.New("no answer")
			}
			return &RefusalError{reason}
		}
		w := b.worker("w1", "r1", 8)
		b.submit(jobOf(1, tasks(1)))
		b.pass()
		awaitStops(t, b.fleet, 1)
		b.pass()
		assert.Equal(t, len(w.members), 1, "after %s the run may still be there", reason)
		assert.Equal(t, b.fleet.started(), 2)
	}
}

// Guards against an order that is sent to an address which discovery is replacing at that moment; the race detector shows it.
func TestOrdersAndDiscoveryDoNotRace(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	info := w.info
	b.fleet.answer = func(StartOrder) error { return errors.New("no answer") }
	b.submit(jobOf(1, tasks(8)))
	b.pass()
	for range 50 {
		info.Remaining++
		b.s.Observe(info)
	}
	b.report(w, HeartbeatReport{Running: []RunReport{{Task: task(jobOf(2, tasks(1)), 0), Run: 1}}}) // a stray run
	b.s.Observe(info)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.fleet.stopped() == 0 {
			return poll.Continue("nothing stopped")
		}
		return poll.Success()
	})
}

// Guards against work that is done again although it had ended well: its worker was not heard until the leases had lapsed, and
// reports the end before the tasks have started elsewhere.
func TestEndsOfAWorkerThatIsHeardAgainAreTakenIn(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	j := jobOf(1, tasks(2))
	b.submit(j)
	b.pass()
	b.awaitRunning(w, 2)
	b.s.mu.Lock()
	w.answered, w.lapse = false, time.Now().Add(-time.Second)
	b.s.expire(w, time.Now())
	b.s.mu.Unlock()
	b.runs.flush()
	b.report(w, HeartbeatReport{Ended: []EndReport{{1, task(j, 0), 1, EndDone, ""}, {2, task(j, 1), 1, EndDone, ""}}})
	b.pass()
	assert.Equal(t, b.state(j.ID), ledger.Completed)
	assert.Equal(t, b.fleet.started(), 2, "nothing started again")
	assert.Equal(t, b.next().state(j.ID), ledger.Completed, "a later term knows it too")
}
