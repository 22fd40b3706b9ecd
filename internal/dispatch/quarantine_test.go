package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// gangsOnly returns a day of gangs of up to 36 tasks, two to a worker. The share of runs that fail is that of gangs of eight tasks of
// which one in twenty fails.
func gangsOnly() *simDay {
	return &simDay{
		workers: 18, workersPerRack: 6, dataCentres: 3, memoryMB: 262_144, length: 65 * time.Second, customers: 4, guaranteed: 8,
		kinds: []simKind{{
			name: "gangs", priority: 1, perSecond: 2, width: 6, runTime: 600 * time.Millisecond, cpu: 15_000, memoryMB: 31_000,
			accelerators: []int64{4}, gang: true, failing: 0.34, stretch: 3, target: 3 * time.Second, worth: 1, lateWorth: 0.3,
		}},
	}
}

// Guards against a service of sound workers that stops for good because it runs nothing but gangs, which never probed a quarantined worker.
func TestServiceOfGangsWhoseTasksFailDoesNotStop(t *testing.T) {
	for seed := range uint64(8) {
		r := gangsOnly().play(t, seed)
		assert.Equal(t, len(r.unfinished), 0, "seed %d: %d of %d jobs never end", seed, len(r.unfinished), r.kinds["gangs"].asked)
	}
}

// quarantine quarantines workers as of now.
func (h *harness) quarantine(workers ...*worker) {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	for _, w := range workers {
		h.scheduler.quarantineWorker(w, "test")
	}
}

// answer lets workers answer heartbeats that report progress of all their runs.
func (h *harness) answer(workers ...*worker) {
	for _, w := range workers {
		h.report(w, HeartbeatReport{Running: withPercent(h.runsOn(w), int(time.Now().Unix()%100))})
	}
}

// Guards against gangs that wait for ever for workers that are all quarantined, and against a gang that takes a probe before single tasks had
// the chance to.
func TestGangProbesQuarantinedWorkersAfterSingleTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w1, w2 := h.addWorker("w1", "r1", 8), h.addWorker("w2", "r2", 8)
		h.quarantine(w1, w2)
		step := stepOf(2)
		step.Gang, step.MaxPerWorker = true, 1
		gang := singleStepJob(1, step)
		h.submit(gang)
		time.Sleep(minQuarantine + time.Second)
		h.answer(w1, w2)
		h.pass()
		synctest.Wait()
		assert.Equal(t, h.fleet.started(), 0, "single tasks go first")
		time.Sleep(gangProbeDelay)
		h.answer(w1, w2)
		h.pass()
		synctest.Wait()
		assert.Equal(t, h.fleet.started(), 2)
		h.report(w1, HeartbeatReport{Ended: []EndReport{{Number: 1, Task: taskName(gang, 0), Run: 1, Ending: EndDone}}})
		assert.Equal(t, w1.health.quarantine, time.Duration(0))
		assert.Equal(t, w2.health.quarantine, time.Duration(0), "its member has succeeded as well")
	})
}

// Guards against a sound worker that is quarantined because members of gangs failed there long ago, with runs between them that succeeded
// but were reported by another member first.
func TestGangThatSucceedsClearsTheFailuresOfAllItsWorkers(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w1, w2 := h.addWorker("w1", "r1", 8), h.addWorker("w2", "r2", 8)
	for n, ending := range []Ending{EndFailed, EndDone, EndFailed} {
		j := h.startGang(n+1, w1, w2)
		run := EndReport{Task: taskName(j, 1), Run: 1, Ending: ending}
		on, other := w2, w1
		if ending == EndDone {
			on, other = w1, w2 // reported first by the member that did not fail
		}
		run.Number, run.Task.Index = on.lastHandledEnd+1, memberIndexOn(h, on, j)
		h.report(on, HeartbeatReport{Ended: []EndReport{run}})
		broken := EndReport{Number: other.lastHandledEnd + 1, Task: taskName(j, memberIndexOn(h, other, j)), Run: 1, Ending: EndGangBroken}
		h.report(other, HeartbeatReport{Ended: []EndReport{broken}})
		h.cancel(j.ID)
		h.runs.flush()
		h.jobs.flush()
	}
	assert.Equal(t, w2.health.quarantine, time.Duration(0))
}

// memberIndexOn returns the index of the job's task on a worker, or 0 if there is none.
func memberIndexOn(h *harness, w *worker, j *workload.Job) int {
	for _, r := range h.runsOn(w) {
		if r.Task.Job == j.ID {
			return r.Task.Index
		}
	}
	return 0
}

// Guards against a worker that stays quarantined for as long as a task that never ends runs there, be it the probe or a run from before the
// quarantine.
func TestPermanentTaskDoesNotKeepAWorkerQuarantined(t *testing.T) {
	for _, before := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, newMemoryLedger(), newMemoryLedger())
			w := h.addWorker("w1", "r1", 8)
			step := stepOf(1)
			step.Permanent = true
			permanent, other := singleStepJob(1, step), singleStepJob(2, stepOf(4))
			wait := func(d time.Duration) {
				time.Sleep(d)
				h.answer(w)
				h.tickAt(time.Now())
				h.pass()
				synctest.Wait()
			}
			if before {
				h.submit(permanent)
				wait(time.Millisecond)
			}
			h.quarantine(w)
			if !before {
				h.submit(permanent)
			}
			wait(minQuarantine + time.Second)
			assert.Equal(t, h.fleet.started(), 1)
			h.submit(other)
			for range 20 {
				wait(time.Second)
			}
			assert.Assert(t, h.fleet.started() > 1, "before: %v", before)
		})
	}
}
