package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Guards against a task that waits for the rack of its data, which long tasks fill, while most of its service is idle: on workers without
// accelerators no service counted as mostly idle.
func TestTaskLeavesAFullRackOnAServiceWithoutAccelerators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		full, idle := h.addWorker("w1", "r1", 0), []*worker{h.addWorker("w2", "r2", 0), h.addWorker("w3", "r2", 0)}
		large := stepOf(1)
		large.Resources.Accelerators, large.Resources.CPU, large.Estimate = 0, 64_000, time.Minute
		small := stepOf(1)
		small.Resources.Accelerators, small.DataRack = 0, "r1"
		large.DataRack = "r1"
		h.submit(singleStepJob(1, large))
		h.pass()
		synctest.Wait()
		assert.Equal(t, len(h.runsOn(full)), 1)
		h.submit(singleStepJob(2, small))
		h.pass()
		time.Sleep(localityWait + time.Millisecond)
		h.answer(full, idle[0], idle[1])
		h.pass()
		assert.Equal(t, len(h.runsOn(idle[0]))+len(h.runsOn(idle[1])), 1)
	})
}

// Guards against reservations without a limit on workers without accelerators: gangs that do not fit yet kept all of them from other work.
func TestReservationsAreLimitedOnAServiceWithoutAccelerators(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for i := range 10 {
		h.addWorker(fmt.Sprintf("w%d", i), "r1", 0)
	}
	busy := stepOf(10)
	busy.Resources.Accelerators, busy.Resources.CPU = 0, 40_000
	h.submit(singleStepJob(1, busy))
	h.pass()
	awaitStarts(t, h.fleet, 10)
	for n := range 4 {
		gang := stepOf(3)
		gang.Resources.Accelerators, gang.Resources.CPU, gang.Gang = 0, 64_000, true
		h.submit(singleStepJob(2+n, gang))
	}
	h.pass()
	reserved := map[*worker]bool{}
	for _, j := range h.scheduler.unfinished {
		for _, w := range j.occurrences[0].steps[0].units[0].reservedWorkers {
			reserved[w] = true
		}
	}
	assert.Equal(t, len(reserved), 3, "30 % of ten workers for one gang, none for more")
}

// Guards against urgent work that finds no room on a busy service without accelerators, where nothing was kept free for it.
func TestHeadroomIsKeptOnAServiceWithoutAccelerators(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for i := range 10 {
		h.addWorker(fmt.Sprintf("w%d", i), "r1", 0)
	}
	step := func(count int) workload.Step {
		s := stepOf(count)
		s.Resources.Accelerators, s.Resources.CPU = 0, 64_000
		return s
	}
	h.submit(singleStepJob(1, step(6)))
	h.pass()
	h.submit(singleStepJob(2, step(4)))
	h.pass()
	awaitStarts(t, h.fleet, 8)
	urgent := singleStepJob(3, step(2))
	urgent.QueueSettings.Priority = 0
	h.submit(urgent)
	h.pass()
	awaitStarts(t, h.fleet, 10)
}

// Guards against a gang that breaks up the only rack with room for a large one, on a service without accelerators: all racks counted as
// equally full.
func TestGangTakesTheFullestRackOnAServiceWithoutAccelerators(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := map[string]*worker{}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		w[id] = h.addWorker(id, "rack-"+id[:1], 0)
	}
	filler := stepOf(1)
	filler.Resources.Accelerators, filler.Resources.CPU, filler.DataRack = 0, 32_000, "rack-b"
	h.submit(singleStepJob(1, filler))
	h.pass()
	awaitStarts(t, h.fleet, 1)
	gang := stepOf(2)
	gang.Resources.Accelerators, gang.Resources.CPU, gang.Gang, gang.SameRack = 0, 16_000, true, true
	h.submit(singleStepJob(2, gang))
	h.pass()
	awaitStarts(t, h.fleet, 3)
	assert.Equal(t, len(h.runsOn(w["a1"]))+len(h.runsOn(w["a2"])), 0)
}

// Guards against a preemption that throws away the work of long runs on a service without accelerators, where all runs counted as equally
// cheap.
func TestShortRunsArePreemptedOnAServiceWithoutAccelerators(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	step := stepOf(1)
	step.Resources.Accelerators, step.Resources.CPU = 0, 64_000
	long, short := singleStepJob(1, step), singleStepJob(2, step)
	workers := []*worker{h.addWorker("w1", "r1", 0), h.addWorker("w2", "r1", 0)}
	h.submit(long)
	h.submit(short)
	h.pass()
	for _, w := range workers {
		h.awaitRunning(w, 1)
		for key, m := range w.members {
			if key.task.Job == long.ID {
				m.runningSince = m.runningSince.Add(-time.Minute)
			}
		}
	}
	urgent := singleStepJob(3, step)
	urgent.QueueSettings.Priority = 0
	h.submit(urgent)
	h.pass()
	awaitStops(t, h.fleet, 1)
	assert.Equal(t, h.fleet.stops[0].Task.Job, short.ID)
}
