package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Guards against a job that stands still beside idle workers: its wait for the full rack of its data is over, but that of work which ranks before
// it and needs the same has only begun.
func TestJobDoesNotStandStillBehindOtherWorkWithDataInItsRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		full := h.addWorker("w1", "r1", 8)
		workers := []*worker{full}
		for i := range 5 {
			workers = append(workers, h.addWorker(fmt.Sprint("idle", i), "r2", 8))
		}
		filling := stepOf(8)
		filling.DataRack, filling.Estimate = "r1", time.Minute
		h.submit(singleStepJob(1, filling))
		h.pass()
		h.awaitRunning(full, 8)

		step := stepOf(12)
		step.DataRack = "r1"
		first, last := singleStepJob(2, step), singleStepJob(3, step)
		last.QueueSettings.Priority = 2
		h.submit(first)
		h.submit(last)
		for end := time.Now().Add(standstillAfter); time.Now().Before(end); time.Sleep(tickPeriod) {
			for _, w := range workers {
				h.report(w, HeartbeatReport{Running: h.runsOn(w)})
			}
			h.pass()
			synctest.Wait()
		}
		assert.Assert(t, h.startedOf(first) > 0)
		assert.Assert(t, h.startedOf(last) > 0, "the service is mostly idle, and %d of 12 tasks of the first job have started", h.startedOf(first))
	})
}

// startedOf returns the number of start orders for tasks of a job.
func (h *harness) startedOf(j *workload.Job) int {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	n := 0
	for _, o := range h.fleet.starts {
		if o.Task.Job == j.ID {
			n++
		}
	}
	return n
}
