package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// counterOf returns the value of a counter of the harness, by name and the value of its label cause.
func (h *harness) counterOf(name string, cause endCause) int64 {
	for _, c := range h.metrics.Snapshot().Counters() {
		if c.Name() == name && c.Tags()["cause"] == string(cause) {
			return c.Value()
		}
	}
	return 0
}

// Guards against lost work that is counted under a wrong cause, or not at all: a preempted task of 2 accelerators and 4 cores
// has run for 3 s, and a cancelled one that writes checkpoints has lost nothing.
func TestLostWorkIsCountedByCause(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	step := stepOf(1)
	step.Resources = workload.Resources{CPU: 4000, MemoryMB: 1000, Accelerators: 2}
	plain, saving := singleStepJob(1, step), singleStepJob(2, step)
	saving.Steps[0].Checkpoints = true
	h.submit(plain)
	h.submit(saving)
	h.pass()
	h.awaitRunning(w, 2)
	h.scheduler.mu.Lock()
	for _, m := range w.members {
		m.runningSince = time.Now().Add(-3 * time.Second)
	}
	h.scheduler.stopUnit(h.scheduler.jobs[plain.ID].occurrences[0].steps[0].units[0], causePreempted)
	h.scheduler.mu.Unlock()
	h.cancel(saving.ID)
	h.report(w, HeartbeatReport{Ended: []EndReport{
		{1, taskName(plain, 0), 1, EndStopped, ""},
		{2, taskName(saving, 0), 1, EndStopped, "saved at the stop"},
	}})
	assert.Equal(t, h.counterOf("lost_runs", causePreempted), int64(1))
	assert.Assert(t, within(h.counterOf("lost_accelerator_ms", causePreempted), 6000, 100))
	assert.Assert(t, within(h.counterOf("lost_core_ms", causePreempted), 12_000, 200))
	assert.Equal(t, h.counterOf("lost_runs", causeCancelled), int64(1))
	assert.Equal(t, h.counterOf("lost_accelerator_ms", causeCancelled), int64(0))
}

func within(got, want, tolerance int64) bool { return got >= want && got <= want+tolerance }

// Guards against counting the work of a whole gang as lost although one member has saved it.
func TestCheckpointOfOneMemberSavesTheGangsWork(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w1, w2 := h.addWorker("w1", "r1", 1), h.addWorker("w2", "r1", 1)
	step := stepOf(2)
	step.Gang, step.Checkpoints = true, true
	h.submit(singleStepJob(1, step))
	h.pass()
	h.awaitRunning(w1, 1)
	h.awaitRunning(w2, 1)
	h.scheduler.mu.Lock()
	for _, w := range []*worker{w1, w2} {
		for _, m := range w.members {
			m.runningSince = time.Now().Add(-3 * time.Second)
		}
	}
	h.scheduler.mu.Unlock()
	r1, r2 := h.runsOn(w1)[0], h.runsOn(w2)[0]
	r1.Checkpoint = "half"
	h.report(w1, HeartbeatReport{Running: []RunReport{r1}})
	h.report(w2, HeartbeatReport{Ended: []EndReport{{1, r2.Task, 1, EndFailed, ""}}})
	h.report(w1, HeartbeatReport{Ended: []EndReport{{1, r1.Task, 1, EndGangBroken, "half"}}})
	assert.Equal(t, h.counterOf("lost_runs", causeTaskFailed), int64(1))
	assert.Equal(t, h.counterOf("lost_runs", causeGangBroken), int64(1))
	assert.Assert(t, within(h.counterOf("lost_accelerator_ms", causeTaskFailed), 0, 100))
	assert.Assert(t, within(h.counterOf("lost_accelerator_ms", causeGangBroken), 0, 100))
}

// Guards against a late job whose log line does not say what it waited for.
func TestWaitsAreNotedByCause(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 1)
	h.submit(singleStepJob(1, stepOf(1)))
	h.pass()
	h.awaitRunning(w, 1)
	second := singleStepJob(2, stepOf(1))
	h.submit(second)
	start := time.Now()
	for _, offset := range []time.Duration{0, time.Second, 3 * time.Second} {
		h.scheduler.mu.Lock()
		h.scheduler.pass(start.Add(offset))
		h.scheduler.mu.Unlock()
	}
	waited := h.scheduler.jobs[second.ID].waited()
	assert.Equal(t, waited[waitRoom], 3*time.Second)
	assert.Equal(t, waited.String(), "room 3000")
	cause, any := waited.main()
	assert.Assert(t, any)
	assert.Equal(t, cause, waitRoom)
}

// Guards against work that waits beside free accelerators without a hint why: they are kept free for urgent work.
func TestWaitForRoomThatIsKeptFreeIsNotedAsSuch(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
		h.addWorker(id, "r1", 8)
	}
	h.fillWithLowPriority(21)
	waitingJob := singleStepJob(901, stepOf(30))
	h.submit(waitingJob)
	start := time.Now()
	for _, offset := range []time.Duration{0, time.Second} {
		h.scheduler.mu.Lock()
		h.scheduler.pass(start.Add(offset))
		h.scheduler.mu.Unlock()
	}
	assert.Equal(t, h.scheduler.jobs[waitingJob.ID].waited().String(), "headroom 1000")
}
