package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// chainJob returns a job of two steps of n tasks each, the second after the first.
func chainJob(n int) *workload.Job {
	j := singleStepJob(1, stepOf(n))
	second := stepOf(n)
	second.After = []int{0}
	j.Steps = append(j.Steps, second)
	return j
}

// passInOutage makes the periodic checks and a pass while the log takes no records.
func (h *harness) passInOutage() {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	h.scheduler.tick(time.Now())
	h.scheduler.pass(time.Now())
}

// settle makes the periodic checks and a pass, and makes all records durable.
func (h *harness) settle() {
	h.passInOutage()
	h.runs.flush()
	h.jobs.flush()
}

func endOf(number int64, task workload.TaskName, run int, ending Ending) HeartbeatReport {
	return HeartbeatReport{Ended: []EndReport{{Number: number, Task: task, Run: run, Ending: ending}}}
}

// Guards against a step that stands still, although all before it is done and workers are idle, for as long as the log takes no records.
func TestNextStepStartsWhileTheLogTakesNoRecords(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 1)
	h.addWorker("w2", "r1", 1)
	h.addWorker("w3", "r1", 1)
	j := chainJob(1)
	h.submit(j)
	h.settle()
	h.settle()
	awaitStarts(t, h.fleet, 1)
	holder := w
	for _, other := range h.scheduler.workers {
		if len(other.members) > 0 {
			holder = other
		}
	}
	h.awaitRunning(holder, 1)

	h.report(holder, endOf(1, taskName(j, 0), 1, EndDone))
	h.passInOutage()
	awaitStarts(t, h.fleet, 2)
	assert.Equal(t, h.fleet.starts[1].Task.Step, 1)
}
