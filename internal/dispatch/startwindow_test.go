package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Guards against starts that wait behind orders to workers that do not answer.
func TestSilentWorkersDoNotHoldUpOtherStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, fleet := startMany(t, 1e9, 125)
		time.Sleep(startTimeout)
		synctest.Wait()
		assert.Equal(t, h.runningMembers(), 500)
		for i := range 40 {
			fleet.silent[fmt.Sprintf("x%03d", i)] = true
		}
		for i := range 80 {
			h.addWorker(fmt.Sprintf("x%03d", i), "r1", 4)
		}
		h.scheduler.urgentArrivedAt = time.Time{} // or workers would be kept free for urgent work
		for n := range 80 {
			step := stepOf(4)
			step.Gang = true
			h.submit(singleStepJob(1000+n, step))
		}
		h.pass()
		time.Sleep(5 * timelyStart)
		synctest.Wait()
		assert.Equal(t, h.runningMembers(), 500+40*4)
	})
}

// Guards against room that a stopped run keeps while its start order waits: a guaranteed gang waited for it until its time was over.
func TestStoppedRunWhoseStartWaitsEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, fleet := startMany(t, 1e3, 125)
		synctest.Wait()
		for n := range 125 {
			h.cancel(fmt.Sprintf("%016x", n+1))
		}
		synctest.Wait()
		left := 0
		for _, w := range h.scheduler.workers {
			left += len(h.runsOn(w))
		}
		assert.Equal(t, left, minStartWindow, "members besides those whose order was sent, of which %d were answered", fleet.started())
	})
}

// Guards against runs without a record that are withdrawn and placed anew, with a further record each, while their orders wait.
func TestStartsThatWaitInAnOutageAreNotWithdrawn(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 1)
	}
	j := chainJob(1)
	h.runJob(j)
	h.scheduler.mu.Lock()
	h.scheduler.starts.inProgress = h.scheduler.starts.size
	h.scheduler.mu.Unlock()
	h.report(h.holderOf(taskName(j, 0), 1), endOf(1, taskName(j, 0), 1, EndDone))
	for range 10 {
		h.passInOutage()
		time.Sleep(logPatience / 3)
	}
	second := h.scheduler.unitOf(workload.TaskName{Job: j.ID, Step: 1})
	h.scheduler.mu.Lock()
	run := second.run
	h.scheduler.mu.Unlock()
	assert.Assert(t, run <= 2, "placed %d times", run)
	h.scheduler.leaveStartWindow()
	h.startWhatIsReady(2)
}

// Guards against urgent starts that wait behind a burst of other ones on a slow link.
func TestUrgentStartsGoFirstOnASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, fleet := startMany(t, slowLink, 125)
		h.addWorker("x1", "r1", 4)
		urgent := singleStepJob(1000, stepOf(1))
		urgent.QueueSettings.Priority = 0
		h.submit(urgent)
		h.pass()
		time.Sleep(startTimeout)
		synctest.Wait()
		assert.Equal(t, fleet.startsOf(urgent.ID), 1)
	})
}

// Guards against a fast link on which a burst of starts is sent more slowly than the workers take it.
func TestManyStartsAtOnceAreNotDelayedOnAFastLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fleet := startMany(t, 1e9, 125)
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, fleet.started(), 500)
	})
}

// Guards against a window that does not follow the link: one that stays wide lets all orders time out, one that stays narrow holds them up.
func TestStartWindowFollowsTheTimeOfAnswers(t *testing.T) {
	w := newStartWindow()
	for range 2 * maxStartWindow {
		w.noteAnswer(timelyStart-1, true)
	}
	assert.Equal(t, w.size, maxStartWindow)
	w.noteAnswer(lateStart, true)
	assert.Equal(t, w.size, maxStartWindow)
	for range 2 * maxStartWindow {
		w.noteAnswer(startTimeout, false)
	}
	assert.Equal(t, w.size, minStartWindow)
}

// Guards against orders to silent workers that keep their places for long, and against places that are given away while a slow link still
// carries their orders.
func TestPlacesInTheStartWindowAreKeptForTheTimeOfAnAnswer(t *testing.T) {
	w := newStartWindow()
	assert.Equal(t, w.hold(), startTimeout)
	w.noteAnswer(startTimeout, false)
	assert.Equal(t, w.hold(), startTimeout, "an order without an answer says nothing of the link")
	w.noteAnswer(5*time.Millisecond, true)
	assert.Equal(t, w.hold(), timelyStart)
	for range 50 {
		w.noteAnswer(170*time.Millisecond, true)
	}
	assert.Assert(t, w.hold() > 300*time.Millisecond)
	for range 50 {
		w.noteAnswer(340*time.Millisecond, true)
	}
	assert.Equal(t, w.hold(), startTimeout)
}
