package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
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
