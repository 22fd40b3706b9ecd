package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a start on a worker that changed while the run's record waited for the log: one of another kind, without the room, draining,
// silent, no longer listed, or with a new process.
func TestStartThatWaitedForTheLogIsCheckedAgain(t *testing.T) {
	changes := map[string]func(*harness, *worker, WorkerInfo){
		"none": func(*harness, *worker, WorkerInfo) {},
		"another label": func(h *harness, _ *worker, info WorkerInfo) {
			info.Labels = []string{"b", "r1"}
			h.scheduler.Observe(info)
		},
		"less room": func(h *harness, _ *worker, info WorkerInfo) {
			info.Capacity.Accelerators = 1
			h.scheduler.Observe(info)
		},
		"draining":      func(h *harness, _ *worker, info WorkerInfo) { info.Draining = true; h.scheduler.Observe(info) },
		"other service": func(h *harness, _ *worker, info WorkerInfo) { info.Service = "print"; h.scheduler.Observe(info) },
		"not listed":    func(h *harness, w *worker, _ WorkerInfo) { h.scheduler.Delist(w.info.ID) },
		"new process":   func(h *harness, w *worker, _ WorkerInfo) { h.report(w, HeartbeatReport{ProcessStart: 2}) },
		"silent":        func(h *harness, w *worker, _ WorkerInfo) { h.silence(w) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, newMemoryLedger(), newMemoryLedger())
				w := h.addWorker("w1", "r1", 8)
				h.report(w, HeartbeatReport{ProcessStart: 1})
				step := stepOf(2)
				step.Gang, step.Label = true, "a"
				h.submit(singleStepJob(1, step))
				h.scheduler.mu.Lock()
				h.scheduler.pass(time.Now())
				info := w.info
				h.scheduler.mu.Unlock()
				assert.Equal(t, len(h.runsOn(w)), 2)
				change(h, w, info)
				h.runs.flush()
				synctest.Wait()
				if name == "none" {
					assert.Equal(t, h.fleet.started(), 2)
					return
				}
				assert.Equal(t, h.fleet.started(), 0)
				assert.Equal(t, len(h.runsOn(w)), 0, "the work waits again")
			})
		})
	}
}
