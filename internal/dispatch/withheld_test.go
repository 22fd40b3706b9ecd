package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// list makes a list of the workers without leases and returns its number.
func (h *harness) list() int64 {
	h.tickAt(time.Now())
	number, _ := h.scheduler.Withheld()
	return number
}

// Guards against work of a lost worker that never starts again, because each change of the scheduler counts the worker's leases anew.
func TestChangesOfTheSchedulerDoNotPutOffWorkOfASilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 8)
		h.startOn(1, w)
		h.nextHeartbeat(w)
		over := w.leasesOverAt
		h.scheduler.heartbeatFailed(w, errNoAnswer)
		const term = 4 * time.Second
		for time.Now().Before(over) {
			assert.Equal(t, len(h.runsOn(h.scheduler.workers["w1"])), 1, "its lease may still run")
			time.Sleep(term)
			h.list()
			_, left := h.scheduler.Withheld()
			h = h.nextTermKnowing(left)
		}
		h.list()
		h.addWorker("w2", "r1", 8)
		h.pass()
		awaitStarts(t, h.fleet, 1)
		assert.Equal(t, h.fleet.starts[0].Run, 2)
	})
}

// Guards against a task that runs twice: its worker answers again and gets a lease, while the next leader still reckons with none.
func TestListedWorkerGetsNoLeaseUntilAListWithoutItIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 8)
		run := h.startOn(1, w)
		h.scheduler.ConfirmWithheld(h.list())
		h.scheduler.heartbeatFailed(w, errNoAnswer)
		time.Sleep(maxSilence)
		naming := h.list()
		_, left := h.scheduler.Withheld()
		assert.Equal(t, left["w1"], time.Until(w.leasesOverAt))
		h.submit(singleStepJob(2, stepOf(1)))
		for _, confirmed := range []int64{0, naming} {
			h.report(w, HeartbeatReport{Running: []RunReport{run}})
			h.scheduler.ConfirmWithheld(confirmed)
			h.list()
			assert.Equal(t, h.nextHeartbeat(w).LeaseEnd, int64(0))
			h.pass()
			assert.Equal(t, h.fleet.started(), 1)
		}
		h.scheduler.ConfirmWithheld(h.list())
		h.list()
		assert.Assert(t, h.nextHeartbeat(w).LeaseEnd > 0)
		h.pass()
		awaitStarts(t, h.fleet, 2)
	})
}

// Guards against a lease that a new leader grants a worker while a record says that it gets none.
func TestWorkerThatThePredecessorListedGetsNoLeaseUntilAListIsRecorded(t *testing.T) {
	h := newHarnessKnowing(t, map[string]time.Duration{"w1": time.Second}, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	h.list()
	assert.Equal(t, h.nextHeartbeat(w).LeaseEnd, int64(0))
	h.scheduler.ConfirmWithheld(h.list())
	h.list()
	assert.Assert(t, h.nextHeartbeat(w).LeaseEnd > 0)
}
