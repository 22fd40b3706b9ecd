package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// startOn starts a single task on the only worker with room and returns its run.
func (h *harness) startOn(number int, w *worker) RunReport {
	h.t.Helper()
	before := h.runsOn(w)
	h.submit(singleStepJob(number, stepOf(1)))
	h.pass()
	h.awaitRunning(w, len(before)+1)
	for _, r := range h.runsOn(w) {
		known := false
		for _, b := range before {
			known = known || b.Task == r.Task
		}
		if !known {
			return r
		}
	}
	h.t.Fatal("the task did not start")
	return RunReport{}
}

// awaitConfirmed waits until the start order of a run was answered.
func (h *harness) awaitConfirmed(w *worker, r RunReport) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		h.scheduler.mu.Lock()
		defer h.scheduler.mu.Unlock()
		if w.members[runKey{r.Task, r.Run}].startAnsweredAt.IsZero() {
			return poll.Continue("the start is not answered")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// Guards against a task that runs twice: it was started on a worker's new process before the scheduler knew that the process is a new
// one, so it goes on there, while what ran in the earlier process is lost.
func TestOnlyRunsOfTheEarlierProcessAreLostByARestart(t *testing.T) {
	for _, by := range []string{"report", "discovery"} {
		t.Run(by, func(t *testing.T) {
			h := newHarness(t, newMemoryLedger(), newMemoryLedger())
			w := h.addWorker("w1", "r1", 8)
			h.report(w, HeartbeatReport{ProcessStart: 1})
			earlier, later := h.startOn(1, w), h.startOn(2, w)
			h.awaitConfirmed(w, earlier)
			h.awaitConfirmed(w, later)
			if by == "discovery" {
				info := w.info
				info.ProcessStart = 2
				h.scheduler.Observe(info)
				assert.Equal(t, len(h.runsOn(w)), 2, "the new process has not reported yet")
			}
			h.report(w, HeartbeatReport{ProcessStart: 2, Running: []RunReport{later}})
			assert.DeepEqual(t, h.runsOn(w), []RunReport{later})
			h.report(w, HeartbeatReport{ProcessStart: 2, Ended: []EndReport{{1, later.Task, later.Run, EndDone, ""}}})
			assert.Equal(t, len(h.runsOn(w)), 0, "the new process numbers ends from 1")
			h.pass()
			assert.Equal(t, h.fleet.stopped(), 0)
		})
	}
}

// Guards against running work that is given up because of an answer of the worker's earlier process that arrives late.
func TestLateAnswerOfTheEarlierProcessIsIgnored(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	h.report(w, HeartbeatReport{ProcessStart: 1})
	sent := time.Now()
	h.report(w, HeartbeatReport{ProcessStart: 2})
	run := h.startOn(1, w)
	h.awaitConfirmed(w, run)
	h.scheduler.mu.Lock()
	h.scheduler.handleReport(w, sent, time.Now(), HeartbeatReport{ProcessStart: 1, Ended: []EndReport{{40, run.Task, run.Run, EndStopped, ""}}})
	h.scheduler.mu.Unlock()
	assert.DeepEqual(t, h.runsOn(w), []RunReport{run})
	assert.Equal(t, w.processStart, int64(2))
}

// Guards against work that waits for the leases of a machine that has restarted under another ID, and for those leases anew after each
// change of the scheduler.
func TestWorkIsLostOnceAnotherProcessAnswersAtTheWorkersAddress(t *testing.T) {
	for _, change := range []bool{false, true} {
		t.Run(map[bool]string{false: "same term", true: "next term, no longer listed"}[change], func(t *testing.T) {
			h := newHarness(t, newMemoryLedger(), newMemoryLedger())
			w := h.addWorker("w1", "r1", 8)
			run := h.startOn(1, w)
			if change {
				address := w.info.Address
				h = h.nextTerm()
				w = h.scheduler.workers["w1"]
				assert.Equal(t, w.target(), Target{"w1", address})
			}
			h.scheduler.heartbeatFailed(w, errNoAnswer)
			assert.DeepEqual(t, h.runsOn(w), []RunReport{run})
			h.scheduler.heartbeatFailed(w, &RefusalError{Reason: RefusedWrongProcess})
			assert.Equal(t, len(h.runsOn(w)), 0)
		})
	}
}

// Guards against work that is lost by a change of the scheduler because discovery does not show its worker at that moment, although the
// worker answers.
func TestLeasesOfAWorkerThatIsNotListedAreRenewedAfterAChangeOfTheScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		run := h.startOn(1, h.addWorker("w1", "r1", 8))
		h = h.nextTerm()
		ctx, cancel := context.WithCancel(t.Context())
		renewed := 0
		h.fleet.heartbeat = func(o HeartbeatOrder) (HeartbeatReport, error) {
			if o.LeaseEnd > 0 {
				renewed++
			}
			time.Sleep(time.Second)
			return HeartbeatReport{Clock: time.Now().UnixMilli(), Running: []RunReport{run}}, nil
		}
		go h.scheduler.Run(ctx)
		time.Sleep(time.Minute)
		cancel()
		h.scheduler.workers["w1"].stopHeartbeats()
		synctest.Wait()
		assert.Assert(t, renewed > 50)
		assert.DeepEqual(t, h.runsOn(h.scheduler.workers["w1"]), []RunReport{run})
		time.Sleep(time.Minute) // lets calls end
	})
}

// Guards against a task that runs again after its end was acknowledged: its worker had restarted unnoticed, under the same ID, and the next
// heartbeat acknowledged ends by the numbers of the earlier process. Either a heartbeat went unanswered meanwhile, or the worker restarted
// between two heartbeats.
func TestEndsOfANewProcessAreNotAcknowledgedByNumbersOfTheEarlierOne(t *testing.T) {
	for _, silent := range []bool{true, false} {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 8)
		first := h.startOn(1, w)
		h.report(w, HeartbeatReport{ProcessStart: 1, Ended: []EndReport{{7, first.Task, first.Run, EndDone, ""}}})
		h.runs.flush()
		second := h.startOn(2, w) // on the new process, which answers at the same address
		h.awaitConfirmed(w, second)
		if silent {
			h.scheduler.heartbeatFailed(w, errNoAnswer)
		}
		ends := []EndReport{{1, second.Task, second.Run, EndDone, ""}}
		h.answerHeartbeats(func(o HeartbeatOrder) (HeartbeatReport, error) {
			if o.SameProcess {
				return HeartbeatReport{}, ErrOtherProcessPossible
			}
			if o.AcknowledgedEnd >= 1 {
				ends = nil // the new process forgets the end
			}
			assert.Equal(t, o.Wait, time.Duration(0), "the report is needed at once")
			return HeartbeatReport{ProcessStart: 2, Ended: ends}, nil
		})
		_, err := h.scheduler.exchangeHeartbeat(t.Context(), w, time.Now())
		assert.NilError(t, err)
		h.pass()
		assert.Equal(t, h.fleet.started(), 2, "a task started again after its end was acknowledged")
		assert.Equal(t, h.state(second.Task.Job), ledger.Completed)
		assert.Equal(t, h.nextHeartbeat(w).AcknowledgedEnd, int64(1), "a worker that answers gets its ends acknowledged")
	}
}

// Guards against a task that runs again after its end was acknowledged: its worker had restarted under its ID, and a proxy led the next
// heartbeat over an old connection to the new process.
func TestEndsOfANewProcessBehindAnOldConnectionAreNotAcknowledged(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	first := h.startOn(1, w)
	h.report(w, HeartbeatReport{ProcessStart: 1, Ended: []EndReport{{7, first.Task, first.Run, EndDone, ""}}})
	h.runs.flush()
	second := h.startOn(2, w) // on the new process
	h.awaitConfirmed(w, second)
	ends := []EndReport{{1, second.Task, second.Run, EndDone, ""}}
	h.answerHeartbeats(func(o HeartbeatOrder) (HeartbeatReport, error) {
		if o.AcknowledgedEnd >= 1 {
			ends = nil
		}
		return HeartbeatReport{ProcessStart: 2, Ended: ends}, nil
	})
	for range 3 {
		_, err := h.scheduler.exchangeHeartbeat(t.Context(), w, time.Now())
		assert.NilError(t, err)
		h.pass()
	}
	assert.Equal(t, h.fleet.started(), 2, "a task started again after its end was acknowledged")
	assert.Equal(t, h.state(second.Task.Job), ledger.Completed)
	assert.Equal(t, len(ends), 0, "an end that the process has reported is acknowledged")
}

// Guards against ends that are never acknowledged, until the worker lists no more of them, because it closes its connection after each
// answer.
func TestEndsOfAWorkerThatKeepsNoConnectionAreAcknowledged(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	runs := []RunReport{h.startOn(1, w), h.startOn(2, w)}
	h.awaitConfirmed(w, runs[0])
	h.awaitConfirmed(w, runs[1])
	h.report(w, HeartbeatReport{ProcessStart: 1, Running: runs[1:], Ended: []EndReport{{1, runs[0].Task, runs[0].Run, EndDone, ""}}})
	h.runs.flush()
	acknowledged := int64(0)
	h.answerHeartbeats(func(o HeartbeatOrder) (HeartbeatReport, error) {
		if o.SameProcess {
			return HeartbeatReport{}, ErrOtherProcessPossible
		}
		if o.AcknowledgedEnd > 0 {
			assert.Equal(t, o.AcknowledgedEnd, acknowledged+1)
			assert.Equal(t, o.Wait, time.Duration(0), "it may reach another process, which must not keep it")
			acknowledged++
		}
		if acknowledged == 0 {
			return HeartbeatReport{ProcessStart: 1, Running: runs[1:]}, nil
		}
		return HeartbeatReport{ProcessStart: 1, Ended: []EndReport{{2, runs[1].Task, runs[1].Run, EndDone, ""}}}, nil
	})
	for range 2 * (maxHeldBack + 1) {
		_, err := h.scheduler.exchangeHeartbeat(t.Context(), w, time.Now())
		assert.NilError(t, err)
		h.runs.flush()
	}
	assert.Equal(t, acknowledged, int64(2))
}

func (h *harness) nextHeartbeat(w *worker) HeartbeatOrder {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	order, _ := h.scheduler.nextHeartbeat(w, time.Now())
	return order
}
