package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// answerHeartbeats lets answer answer the heartbeats that the test sends.
func (h *harness) answerHeartbeats(answer func(HeartbeatOrder) (HeartbeatReport, error)) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fleet.heartbeat = answer
}

// Guards against a lease that a process grants after it was paused, on the strength of an authority that it checked before: the next
// term may have started the work elsewhere by the time at which that lease ends.
func TestHeartbeatGrantsNoLeaseBeyondTheCheckedAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 8) // its clock was 1000 ms just now
		ctx, cancel := context.WithCancel(t.Context())
		var order HeartbeatOrder
		h.answerHeartbeats(func(o HeartbeatOrder) (HeartbeatReport, error) {
			order = o
			cancel()
			return HeartbeatReport{}, ctx.Err()
		})
		synctest.Wait()
		h.term.pause = 20 * time.Second
		h.scheduler.heartbeatLoop(ctx, w)
		assert.Equal(t, order.LeaseEnd, 1000+testLease.Milliseconds())
	})
}

// Guards against leases that outlive what the next leader reckons with, when this one has lost touch with the log.
func TestLeasesAreShortenedWhileTheTermIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 8) // its clock was 1000 ms just now
		assert.Equal(t, h.nextHeartbeat(w).LeaseEnd, 1000+testLease.Milliseconds())
		h.term.unconfirmed = 3 * time.Second
		limit := 1000 + (testLease - 3*time.Second).Milliseconds()
		assert.Equal(t, h.nextHeartbeat(w).LeaseEnd, limit)
		h.startOn(1, w)
		assert.Equal(t, h.fleet.starts[0].LeaseEnd, limit)
	})
}

// Guards against one worker's answer that ends the whole process, or that leaves the scheduler locked.
func TestPanicInAHeartbeatIsCaught(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	h.answerHeartbeats(func(HeartbeatOrder) (HeartbeatReport, error) { panic("malformed") })
	_, err := h.scheduler.exchangeHeartbeat(t.Context(), w, time.Now())
	assert.ErrorContains(t, err, "malformed")
	h.scheduler.heartbeatFailed(w, err)
	assert.Assert(t, !w.responsive)
}

var errNoAnswer = errors.New("no answer")

// Guards against leases that are renewed for a worker whose answers are lost: when they end could not be known.
func TestLeasesAreNotRenewedUntilTheWorkerAnswers(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	var orders []HeartbeatOrder
	h.answerHeartbeats(func(o HeartbeatOrder) (HeartbeatReport, error) {
		orders = append(orders, o)
		return HeartbeatReport{}, errNoAnswer
	})
	for range 2 {
		_, err := h.scheduler.exchangeHeartbeat(t.Context(), w, time.Now())
		assert.ErrorIs(t, err, errNoAnswer)
		h.scheduler.heartbeatFailed(w, err)
	}
	assert.Assert(t, orders[0].LeaseEnd > 0)
	assert.Equal(t, orders[1].LeaseEnd, int64(0))
}

// Guards against work for a worker that was listed again after it had left, or that has been silent since the process was paused.
func TestOnlyWorkersThatHaveAnsweredLatelyGetWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		h.scheduler.Observe(WorkerInfo{ID: "w1", Address: "w1:1", Service: "render", Rack: "r1", Capacity: workload.Resources{CPU: 64_000, MemoryMB: 262_144, Accelerators: 8}})
		h.submit(singleStepJob(1, stepOf(1)))
		h.pass()
		synctest.Wait()
		assert.Equal(t, h.fleet.started(), 0, "it has not answered in this term")

		w := h.scheduler.workers["w1"]
		h.report(w, HeartbeatReport{Clock: 1000})
		time.Sleep(maxSilence + time.Millisecond)
		h.pass()
		synctest.Wait()
		assert.Equal(t, h.fleet.started(), 0, "its answer is too old")

		h.report(w, HeartbeatReport{Clock: 4000})
		h.pass()
		synctest.Wait()
		assert.Equal(t, h.fleet.started(), 1)
	})
}

// Guards against a task that runs again after its end was acknowledged, since a worker listed it behind an end with a higher number.
func TestEndsThatAreListedOutOfOrderAreAllHandled(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(2))
	h.submit(j)
	h.pass()
	h.awaitRunning(w, 2)
	h.report(w, HeartbeatReport{Ended: []EndReport{{2, taskName(j, 0), 1, EndDone, ""}, {1, taskName(j, 1), 1, EndDone, ""}}})
	assert.Equal(t, len(h.runsOn(w)), 0)
	assert.Equal(t, h.state(j.ID), ledger.Completed)
}
