package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a job that ends each process that schedules, one after the other, because placing it panics, and against other jobs that
// wait for it.
func TestJobWhoseHandlingPanicsCostsOnlyItself(t *testing.T) {
	for name, corrupt := range map[string]func(*step){
		"when it is ranked": func(st *step) { st.spec = nil },
		"when it is placed": func(st *step) { st.units[0] = nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, newMemoryLedger(), newMemoryLedger())
				h.mayPanic = true
				w := h.addWorker("w1", "r1", 8)
				odd := singleStepJob(1, stepOf(1))
				h.submit(odd)
				j := h.scheduler.jobs[odd.ID]
				j.createOccurrence(0)
				corrupt(j.occurrences[0].steps[0])
				h.submit(singleStepJob(2, stepOf(1)))
				h.pass()
				h.pass()
				h.awaitRunning(w, 1)
				assert.Equal(t, j.setAsideFor, firstSetAside)
				time.Sleep(firstSetAside)
				h.pass()
				assert.Equal(t, j.setAsideFor, 2*firstSetAside)
			})
		})
	}
}

// Guards against an order that ends the process because sending it panics, and against a run that is given up for it.
func TestOrderThatPanicsCountsAsUnanswered(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	panicked := false
	h.fleet.startError = func(StartOrder) error { // called with the fleet's lock held
		if !panicked {
			panicked = true
			panic("unexpected")
		}
		return nil
	}
	h.submit(singleStepJob(1, stepOf(1)))
	h.pass()
	h.awaitRunning(w, 1)
	assert.Equal(t, h.fleet.started(), 2)
}

// Guards against a scheduler that makes no more passes, starts nothing and gives up no lost runs, or stays locked, because a check of one
// worker panics.
func TestChecksOfOtherWorkersGoOnAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		h.mayPanic = true
		w := h.addWorker("w2", "r1", 8)
		h.scheduler.workers["w1"] = &worker{members: map[runKey]*member{{run: 1}: nil}}
		ctx, cancel := context.WithCancel(t.Context())
		go h.scheduler.Run(ctx)
		h.submit(singleStepJob(1, stepOf(1)))
		time.Sleep(time.Second)
		h.runs.flush()
		h.awaitRunning(w, 1)
		h.scheduler.heartbeatFailed(w, errNoAnswer)
		time.Sleep(time.Minute)
		assert.Equal(t, len(h.runsOn(w)), 0)
		cancel()
		synctest.Wait()
	})
}
