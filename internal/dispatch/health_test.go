package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// reportAt passes on a worker's answer to a heartbeat, sent and answered at the given time.
func (h *harness) reportAt(w *worker, at time.Time, r HeartbeatReport) {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	h.scheduler.handleReport(w, at, at, r)
}

// tickAt makes the periodic checks as of the given time.
func (h *harness) tickAt(at time.Time) {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	h.scheduler.tick(at)
}

// silence notes that a worker does not answer heartbeats.
func (h *harness) silence(w *worker) {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	w.responsive = false
}

// stopsOrdered returns the number of members on a worker that are to be stopped. The orders are sent by other goroutines.
func (h *harness) stopsOrdered(w *worker) int {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	n := 0
	for _, m := range w.members {
		if m.stopWanted {
			n++
		}
	}
	return n
}

// startGang starts a gang of one task on each of the workers.
func (h *harness) startGang(n int, workers ...*worker) *workload.Job {
	h.t.Helper()
	step := stepOf(len(workers))
	step.Gang, step.MaxPerWorker = true, 1
	j := singleStepJob(n, step)
	h.submit(j)
	h.pass()
	for _, w := range workers {
		h.awaitRunning(w, 1)
	}
	return j
}

// Guards against giving up the run of a gang, and suspecting all its workers, because one of them is silent for some seconds:
// the others cannot work without it, and its lease still holds.
func TestGangThatWaitsForASilentWorkerIsNotStopped(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w1, w2 := h.addWorker("w1", "r1", 8), h.addWorker("w2", "r2", 8)
	h.startGang(1, w1, w2)
	start := time.Now()
	for _, w := range []*worker{w1, w2} {
		h.reportAt(w, start, HeartbeatReport{Running: withPercent(h.runsOn(w), 10)})
	}
	h.silence(w2)
	for s := time.Second; s <= 5*time.Second; s += time.Second {
		h.reportAt(w1, start.Add(s), HeartbeatReport{Running: withPercent(h.runsOn(w1), 10)})
		h.tickAt(start.Add(s))
	}
	assert.Equal(t, h.stopsOrdered(w1), 0, "the silent worker explains the stall")
	assert.Equal(t, w1.health.quarantine, time.Duration(0))

	answered := start.Add(5500 * time.Millisecond)
	h.reportAt(w2, answered, HeartbeatReport{Running: withPercent(h.runsOn(w2), 10)})
	h.reportAt(w1, answered, HeartbeatReport{Running: withPercent(h.runsOn(w1), 10)})
	h.tickAt(answered)
	assert.Equal(t, h.stopsOrdered(w1), 0, "it can work again from now on only")
	for _, w := range []*worker{w1, w2} {
		h.reportAt(w, answered.Add(2*time.Second), HeartbeatReport{Running: withPercent(h.runsOn(w), 20)})
	}
	h.tickAt(answered.Add(2 * time.Second))
	assert.Equal(t, h.stopsOrdered(w1), 0)
}

// Guards against a gang that stands still for ever although all its workers answer. Which of them is at fault cannot be told,
// so none is suspected if another run there goes on.
func TestGangWithoutProgressIsStopped(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w1, w2 := h.addWorker("w1", "r1", 8), h.addWorker("w2", "r2", 8)
	h.startGang(1, w1, w2)
	other := singleStepJob(2, stepOf(8))
	h.submit(other)
	h.pass()
	h.awaitRunning(w1, 8)
	h.awaitRunning(w2, 2)
	start := time.Now()
	for s := time.Duration(0); s <= 4*time.Second; s += time.Second {
		for _, w := range []*worker{w1, w2} {
			runs := h.runsOn(w)
			for i := range runs {
				runs[i].Percent = 10
				if runs[i].Task.Job == other.ID && w == w1 {
					runs[i].Percent += int(s / time.Second)
				}
			}
			h.reportAt(w, start.Add(s), HeartbeatReport{Running: runs})
		}
		h.tickAt(start.Add(s))
	}
	awaitStops(t, h.fleet, 3) // the gang's two members, and the single task on w2, which stands still as well
	assert.Equal(t, w1.health.quarantine, time.Duration(0), "other runs on it go on")
	assert.Equal(t, w2.health.quarantine, minQuarantine)
}

// Guards against a scheduler that was paused for some seconds and then gives up running work, since the reports that waited in its
// sockets meanwhile seem to show that nothing went on.
func TestPausedSchedulerGivesUpNoRuns(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	h.submit(singleStepJob(1, stepOf(2)))
	h.pass()
	h.awaitRunning(w, 2)
	start := time.Now()
	h.reportAt(w, start, HeartbeatReport{Running: withPercent(h.runsOn(w), 10)})
	h.tickAt(start)
	resumed := start.Add(6 * time.Second)
	h.reportAt(w, resumed, HeartbeatReport{Running: withPercent(h.runsOn(w), 10)}) // was made at the beginning of the pause
	h.tickAt(resumed)
	assert.Equal(t, h.stopsOrdered(w), 0)
	assert.Equal(t, w.health.quarantine, time.Duration(0))
	for after := time.Second; after <= minStallLimit+time.Second; after += time.Second {
		h.reportAt(w, resumed.Add(after), HeartbeatReport{Running: withPercent(h.runsOn(w), 10)})
		h.tickAt(resumed.Add(after))
	}
	assert.Equal(t, h.stopsOrdered(w), 2, "they really stand still")
}

// withPercent sets the progress of all runs.
func withPercent(runs []RunReport, percent int) []RunReport {
	for i := range runs {
		runs[i].Percent = percent
	}
	return runs
}

// Guards against a task on a worker of the wrong kind: the worker has started again as another kind, and its new process has answered a
// heartbeat before discovery shows its new entry.
func TestRestartedWorkerGetsNoWorkUntilItsNewEntryIsKnown(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	info := w.info
	info.ProcessStart = 1
	h.scheduler.Observe(info)
	h.report(w, HeartbeatReport{ProcessStart: 2})
	j := singleStepJob(1, stepOf(1))
	j.Steps[0].Label = "a"
	h.submit(j)
	h.pass()
	assert.Equal(t, len(w.members), 0)
	info.ProcessStart, info.Labels = 2, []string{"b", "r1"}
	h.scheduler.Observe(info)
	h.pass()
	assert.Equal(t, len(w.members), 0)
	info.Labels = []string{"a", "r1"}
	h.scheduler.Observe(info)
	h.pass()
	awaitStarts(t, h.fleet, 1)
}
