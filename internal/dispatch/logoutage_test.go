package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
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

// startWhatIsReady makes checks and passes in an outage of the log until n start orders were sent in all.
func (h *harness) startWhatIsReady(n int) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		h.passInOutage()
		if got := h.fleet.started(); got < n {
			return poll.Continue("%d of %d starts", got, n)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(3*time.Second))
}

// runJob submits a job and waits until its first step runs and, if the log takes records, everything is recorded that an outage needs.
func (h *harness) runJob(j *workload.Job) {
	h.t.Helper()
	h.submit(j)
	h.settle()
	awaitStarts(h.t, h.fleet, j.Steps[0].Count)
	time.Sleep(250 * time.Millisecond) // standby workers are named at intervals
	h.settle()
}

// holderOf returns the worker that has a run of a task.
func (h *harness) holderOf(task workload.TaskName, run int) *worker {
	h.t.Helper()
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	for _, w := range h.scheduler.workers {
		if w.members[runKey{task, run}] != nil {
			return w
		}
	}
	h.t.Fatalf("no worker has run %d of %v", run, task)
	return nil
}

// Guards against a step that stands still, although all before it is done and workers are idle, for as long as the log takes no records.
func TestNextStepStartsWhileTheLogTakesNoRecords(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 1)
	}
	j := chainJob(1)
	h.runJob(j)
	h.report(h.holderOf(taskName(j, 0), 1), endOf(1, taskName(j, 0), 1, EndDone))
	h.startWhatIsReady(2)
	assert.Equal(t, h.fleet.starts[1].Task.Step, 1)
}

// Guards against a failed task that is not tried again for as long as the log takes no records.
func TestFailedTaskIsTriedAgainWhileTheLogTakesNoRecords(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 1)
	}
	j := singleStepJob(1, stepOf(1))
	h.runJob(j)
	failed := h.holderOf(taskName(j, 0), 1)
	h.report(failed, endOf(1, taskName(j, 0), 1, EndFailed))
	h.startWhatIsReady(2)
	again := h.holderOf(taskName(j, 0), h.fleet.starts[1].Run)
	assert.Assert(t, again != failed)
}

// Guards against a gang that is not tried again for as long as the log takes no records.
func TestBrokenGangIsTriedAgainWhileTheLogTakesNoRecords(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 1)
	}
	step := stepOf(2)
	step.Gang = true
	j := singleStepJob(1, step)
	h.runJob(j)
	for i := range 2 {
		h.report(h.holderOf(taskName(j, i), 1), endOf(1, taskName(j, i), 1, EndFailed))
	}
	h.startWhatIsReady(4)
	assert.Equal(t, h.fleet.starts[2].Run, h.fleet.starts[3].Run)
}

// inOutage returns a job of one task that runs again after a failure, and its run, of which no record could be written.
func inOutage(t *testing.T) (h *harness, task workload.TaskName, run int, holder *worker) {
	h = newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 1)
	}
	j := singleStepJob(1, stepOf(1))
	h.runJob(j)
	task = taskName(j, 0)
	h.report(h.holderOf(task, 1), endOf(1, task, 1, EndFailed))
	h.startWhatIsReady(2)
	run = h.fleet.starts[1].Run
	return h, task, run, h.holderOf(task, run)
}

// Guards against a task that runs twice: the leader that started it without a record is lost, and the task's worker does not answer the
// next one.
func TestNextLeaderDoesNotStartATaskThatMayRunUnrecorded(t *testing.T) {
	h, task, run, holder := inOutage(t)
	next := h.nextTerm()
	for _, id := range []string{"w1", "w2", "w3"} {
		if id != holder.info.ID {
			next.addWorker(id, "r1", 1)
		}
	}
	next.settle()
	assert.Equal(t, next.fleet.started(), 0, "the task started while an unrecorded run may be under way")

	w := next.addWorker(holder.info.ID, "r1", 1) // answers without the run: it has ended with its worker
	assert.Equal(t, len(w.members), 0)
	next.settle()
	awaitStarts(t, next.fleet, 1)
	assert.Equal(t, next.fleet.starts[0].Task, task)
	assert.Assert(t, next.fleet.starts[0].Run > 1 && run > 1)
}

// Guards against work that is thrown away: the next leader finds a run that was started without a record.
func TestNextLeaderKeepsAnUnrecordedRun(t *testing.T) {
	h, task, run, holder := inOutage(t)
	next := h.nextTerm()
	next.scheduler.Observe(holder.info)
	w := next.scheduler.workers[holder.info.ID]
	w.stopHeartbeats()
	next.report(w, HeartbeatReport{Clock: 1000, Running: []RunReport{{Task: task, Run: run, Percent: 10}}})
	for _, id := range []string{"w1", "w2", "w3"} {
		if id != holder.info.ID {
			next.addWorker(id, "r1", 1)
		}
	}
	next.settle()
	assert.Equal(t, next.fleet.started(), 0, "the task started a second time")
	assert.Equal(t, next.fleet.stopped(), 0, "the unrecorded run was stopped")
	next.report(w, endOf(1, task, run, EndDone))
	assert.Equal(t, next.state(task.Job), ledger.Completed)
}

// Guards against a task that runs again after an unrecorded run of it has ended well, and against an attempt that is not counted.
func TestNextLeaderAppliesTheEndOfAnUnrecordedRun(t *testing.T) {
	for ending, want := range map[Ending]ledger.State{EndDone: ledger.Completed, EndFailed: ledger.Failed} {
		t.Run(string(ending), func(t *testing.T) {
			h, task, run, holder := inOutage(t)
			h.entries[0].Submission.QueueSettings.MaxAttempts = 2 // the first run has failed
			h.runs.flushOldest()                                  // the record of that failure
			next := h.nextTerm()
			next.scheduler.Observe(holder.info)
			w := next.scheduler.workers[holder.info.ID]
			w.stopHeartbeats()
			next.report(w, endOf(1, task, run, ending))
			assert.Equal(t, next.state(task.Job), want)
		})
	}
}

// Guards against work that cannot start on a log that is slow, but takes records.
func TestSlowLogIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := newMemoryLedger()
		l := &timedLedger{Ledger: inner}
		l.Put(nil)
		time.Sleep(logPatience + time.Millisecond)
		assert.Assert(t, l.stuckFor() > logPatience)
		l.Put(nil)
		inner.flushOldest()
		time.Sleep(logPatience / 2)
		assert.Equal(t, l.stuckFor(), logPatience/2, "a record was taken just now, although the other one is older")
		inner.flush()
		assert.Equal(t, l.stuckFor(), time.Duration(0))
	})
}
