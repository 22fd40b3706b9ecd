package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// drain lets discovery show a worker as leaving in the given time.
func (h *harness) drain(w *worker, remaining time.Duration) {
	info := w.info
	info.Draining, info.Remaining = true, remaining
	h.scheduler.Observe(info)
}

// Guards against work that runs on until its worker leaves although it cannot end in time: all that a gang does is lost then, and
// it cannot start elsewhere before the leases on the lost worker have expired.
func TestGangThatCannotEndBeforeAWorkerLeavesIsMoved(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w1, w2 := h.addWorker("w1", "r1", 8), h.addWorker("w2", "r2", 8)
	j := h.startGang(1, w1, w2) // runs for 2 s
	start := time.Now()
	for _, w := range []*worker{w1, w2} {
		h.reportAt(w, start, HeartbeatReport{Running: withPercent(h.runsOn(w), 0)})
	}
	h.drain(w2, time.Second)
	awaitStops(t, h.fleet, 2)
	h.addWorker("w3", "r3", 8)
	for _, w := range []*worker{w1, w2} {
		h.report(w, HeartbeatReport{Ended: []EndReport{{1, h.runsOn(w)[0].Task, 1, EndStopped, ""}}})
	}
	h.pass()
	awaitStarts(t, h.fleet, 4)
	for _, m := range h.scheduler.jobs[j.ID].occurrences[0].steps[0].units[0].members {
		assert.Assert(t, m.worker != w2)
	}
}

// Guards against stopping work that ends before its worker leaves.
func TestWorkThatEndsBeforeItsWorkerLeavesGoesOn(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	h.startGang(1, w)
	h.drain(w, 3*time.Second)
	h.tickAt(time.Now())
	assert.Equal(t, h.stopsOrdered(w), 0)
}

// Guards against two ways of losing work that writes checkpoints: it is stopped long before its worker leaves and waits
// elsewhere, or it is not stopped in time to save its progress.
func TestWorkWithCheckpointsLeavesAtTheLastMoment(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	step := stepOf(1)
	step.Checkpoints, step.Estimate = true, time.Minute
	h.submit(singleStepJob(1, step))
	h.pass()
	h.awaitRunning(w, 1)
	h.drain(w, 4*time.Second)
	notice := time.Now()
	h.tickAt(notice.Add(2 * time.Second))
	assert.Equal(t, h.stopsOrdered(w), 0)
	h.tickAt(notice.Add(4*time.Second - defaultStopTime - stopMargin))
	awaitStops(t, h.fleet, 1)
}

// Guards against permanent tasks that go down with their worker.
func TestPermanentTaskLeavesADrainingWorkerAtOnce(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	step := workload.Step{Count: 1, Resources: workload.Resources{CPU: 1000}, Permanent: true}
	h.submit(singleStepJob(1, step))
	h.pass()
	h.awaitRunning(w, 1)
	h.report(w, HeartbeatReport{Running: withPercent(h.runsOn(w), 100)})
	h.drain(w, time.Minute)
	awaitStops(t, h.fleet, 1)
}
