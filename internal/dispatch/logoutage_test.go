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

// settleOrders settles until units whose run has failed may start again, and waits until all orders have been sent.
func (h *harness) settleOrders() {
	h.settle()
	time.Sleep(requeueDelay + 20*time.Millisecond)
	h.settle()
	time.Sleep(50 * time.Millisecond)
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

// Guards against a task that stands still for the outage because its retry was placed before the log counted as late.
func TestTaskThatFailsAsTheOutageBeginsIsTriedAgain(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2"} {
		h.addWorker(id, "r1", 1)
	}
	j := singleStepJob(1, stepOf(1))
	h.runJob(j)
	h.report(h.holderOf(taskName(j, 0), 1), endOf(1, taskName(j, 0), 1, EndFailed))
	time.Sleep(requeueDelay + 10*time.Millisecond)
	h.passInOutage() // 0.1 s into the outage
	h.startWhatIsReady(2)
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
	next.settleOrders()
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
	next.settleOrders()
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

// observeSilent shows a worker to the scheduler that has not answered yet.
func (h *harness) observeSilent(info WorkerInfo) *worker {
	h.scheduler.Observe(info)
	w := h.scheduler.workers[info.ID]
	w.stopHeartbeats()
	return w
}

// makeLogLate makes a put that stays pending until the log counts as late.
func (h *harness) makeLogLate() {
	h.scheduler.mu.Lock()
	h.scheduler.config.Runs.Put(nil)
	h.scheduler.mu.Unlock()
	time.Sleep(logPatience + 20*time.Millisecond)
}

// Guards against more runs than the queue allows: the recorded run failed, its retry ran unrecorded, and the next leader hears of the retry first.
func TestNextLeaderCountsTheFailureOfTheRecordedRunAfterAdoptingALaterOne(t *testing.T) {
	h, task, run, holder := inOutage(t)
	h.entries[0].Submission.QueueSettings.MaxAttempts = 2
	var first *worker // had run 1, which has failed; the record of that is not written
	h.scheduler.mu.Lock()
	for _, w := range h.scheduler.workers {
		if w.lastHandledEnd == 1 {
			first = w
		}
	}
	h.scheduler.mu.Unlock()
	next := h.nextTerm()
	b, x := next.observeSilent(holder.info), next.observeSilent(first.info)
	next.report(b, HeartbeatReport{Clock: 1000, Running: []RunReport{{Task: task, Run: run, Percent: 10}}})
	next.report(x, endOf(1, task, 1, EndFailed))
	next.report(b, endOf(1, task, run, EndFailed))
	assert.Equal(t, next.state(task.Job), ledger.Failed, "both allowed runs have failed")
}

// The same with two unrecorded runs that failed on different workers, of which the later is heard first.
func TestNextLeaderCountsUnrecordedFailuresInAnyOrder(t *testing.T) {
	for name, reversed := range map[string]bool{"in order": false, "reversed": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newMemoryLedger(), newMemoryLedger())
			for _, id := range []string{"w1", "w2", "w3"} {
				h.addWorker(id, "r1", 1)
			}
			j := singleStepJob(1, stepOf(1)) // MaxAttempts is 3
			h.runJob(j)
			task := taskName(j, 0)
			h.makeLogLate()
			h.report(h.holderOf(task, 1), endOf(1, task, 1, EndFailed))
			h.startWhatIsReady(2)
			second := h.fleet.starts[1].Run
			b := h.holderOf(task, second)
			h.report(b, endOf(1, task, second, EndFailed))
			h.startWhatIsReady(3)
			third := h.fleet.starts[2].Run
			c := h.holderOf(task, third)
			assert.Assert(t, c != b)
			h.runs.flushOldest() // the put that made the log late
			h.runs.flushOldest() // the failure of run 1
			next := h.nextTerm()
			nb, nc := next.observeSilent(b.info), next.observeSilent(c.info)
			reports := []func(){
				func() { next.report(nb, endOf(1, task, second, EndFailed)) },
				func() { next.report(nc, endOf(1, task, third, EndFailed)) },
			}
			if reversed {
				reports[0], reports[1] = reports[1], reports[0]
			}
			reports[0]()
			reports[1]()
			next.settle()
			time.Sleep(requeueDelay + 20*time.Millisecond)
			next.settle()
			time.Sleep(20 * time.Millisecond)
			assert.Equal(t, next.fleet.started(), 0, "a fourth run started after three failed ones")
			assert.Equal(t, next.state(task.Job), ledger.Failed, "three runs have failed")
		})
	}
}

// Guards against a job that never starts while the log is slow (each record durable after 450 ms) and other work keeps it in use.
func TestNewJobStartsWhileTheLogIsSlow(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 1)
	}
	const latency = 450 * time.Millisecond
	var made []time.Time
	begin := time.Now()
	submitted := false
	for time.Since(begin) < 5*time.Second && h.fleet.started() == 0 {
		before := len(h.runs.waiting)
		h.scheduler.mu.Lock()
		h.scheduler.config.Runs.Put(nil) // an end that other work has listed
		h.scheduler.mu.Unlock()
		if !submitted && time.Since(begin) > time.Second {
			h.submit(singleStepJob(1, stepOf(1)))
			submitted = true
		}
		h.passInOutage()
		for range len(h.runs.waiting) - before {
			made = append(made, time.Now())
		}
		for len(made) > 0 && time.Since(made[0]) >= latency {
			made = made[1:]
			h.runs.flushOldest()
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, h.fleet.started() > 0, "nothing started in 4 s, although each record was durable after 0.45 s and 3 workers are idle")
}

// Guards against a job that fails although its task is done.
func TestFailureOfAnUnrecordedRunDoesNotFailATaskThatIsDone(t *testing.T) {
	h, task, run, holder := inOutage(t)
	h.entries[0].Submission.QueueSettings.MaxAttempts = 1
	next := h.nextTerm()
	var x *worker
	next.scheduler.mu.Lock()
	for _, w := range next.scheduler.workers {
		for range w.members {
			x = w
		}
	}
	u := next.scheduler.unitOf(task)
	u.step.occurrence.stepsLeft++ // another step is left
	next.scheduler.mu.Unlock()
	next.report(x, endOf(1, task, 1, EndDone))
	b := next.observeSilent(holder.info)
	next.report(b, endOf(1, task, run, EndFailed))
	assert.Assert(t, next.state(task.Job) != ledger.Failed, "the job failed though its task is done")
}

// Guards against a gang that runs twice: a member of its unrecorded run is on a worker that does not answer the next leader, or the one after.
func TestNextLeadersDoNotStartAGangThatMayRunUnrecorded(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	ids := []string{"w1", "w2", "w3", "w4", "w5", "w6"}
	for _, id := range ids {
		h.addWorker(id, "r1", 1)
	}
	step := stepOf(2)
	step.Gang = true
	j := singleStepJob(1, step)
	h.runJob(j)
	h.makeLogLate()
	for i := range 2 {
		h.report(h.holderOf(taskName(j, i), 1), endOf(1, taskName(j, i), 1, EndFailed))
	}
	h.startWhatIsReady(4)
	run := h.fleet.starts[2].Run
	b, c := h.holderOf(taskName(j, 0), run), h.holderOf(taskName(j, 1), run)
	next := h
	for range 2 {
		next = next.nextTerm()
		for _, id := range ids {
			if id != b.info.ID && id != c.info.ID {
				next.addWorker(id, "r1", 1)
			}
		}
		w := next.observeSilent(b.info)
		next.report(w, HeartbeatReport{Clock: 1000, Running: []RunReport{{Task: taskName(j, 0), Run: run}}})
		time.Sleep(20 * time.Millisecond)
		assert.Assert(t, next.fleet.stopped() > 0)
		next.report(w, endOf(1, taskName(j, 0), run, EndStopped))
		next.settle()
		time.Sleep(requeueDelay + 20*time.Millisecond)
		next.settle()
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, next.fleet.started(), 0, "the gang started while a member may run on %s", c.info.ID)
	}
	next.report(next.observeSilent(c.info), HeartbeatReport{Clock: 1000})
	next.settle()
	awaitStarts(t, next.fleet, 2)
}

// Guards against more runs than the queue allows: of an unrecorded run of a gang, the member that was stopped for the other's failure is heard first.
func TestNextLeaderCountsTheFailureOfAnUnrecordedGang(t *testing.T) {
	for name, brokenFirst := range map[string]bool{"failed first": false, "broken first": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newMemoryLedger(), newMemoryLedger())
			for _, id := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
				h.addWorker(id, "r1", 1)
			}
			step := stepOf(2)
			step.Gang = true
			j := singleStepJob(1, step)
			j.QueueSettings.MaxAttempts = 2
			h.runJob(j)
			h.makeLogLate()
			for i := range 2 {
				h.report(h.holderOf(taskName(j, i), 1), endOf(1, taskName(j, i), 1, EndFailed))
			}
			h.startWhatIsReady(4)
			run := h.fleet.starts[2].Run
			b, c := h.holderOf(taskName(j, 0), run), h.holderOf(taskName(j, 1), run)
			h.runs.flushOldest() // the put that made the log late
			h.runs.flushOldest() // the failure of run 1
			next := h.nextTerm()
			nb, nc := next.observeSilent(b.info), next.observeSilent(c.info)
			if brokenFirst {
				next.report(nb, endOf(1, taskName(j, 0), run, "broken"))
				next.report(nc, endOf(1, taskName(j, 1), run, EndFailed))
			} else {
				next.report(nc, endOf(1, taskName(j, 1), run, EndFailed))
				next.report(nb, endOf(1, taskName(j, 0), run, "broken"))
			}
			assert.Equal(t, next.state(j.ID), ledger.Failed, "two runs have failed, which is all that the queue allows")
		})
	}
}

// Guards against a lease that outlasts what the next leader reckons with: the scheduler was held up between the decision on an unrecorded start
// and its sending, and by then a process that was not heard could be given too long a lease.
func TestUnrecordedStartIsNotSentTooLate(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 1)
	}
	j := chainJob(1)
	h.runJob(j)
	h.makeLogLate()
	h.report(h.holderOf(taskName(j, 0), 1), endOf(1, taskName(j, 0), 1, EndDone))
	h.scheduler.mu.Lock()
	h.scheduler.pass(time.Now()) // decides on the start
	h.term.mu.Lock()
	h.term.unconfirmed = 2 * time.Second // so long goes by until the order is sent
	h.term.mu.Unlock()
	left := h.scheduler.startTimeout()
	h.scheduler.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, left < 0)
	assert.Equal(t, h.fleet.started(), 1, "a start was sent %v after the latest time", -left)
}

// Guards against a worker that is given more than it holds, because a run that is being stopped there is not booked.
func TestNothingStartsBesideARunThatIsNotPlanned(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 1)
	stray := taskName(singleStepJob(7, stepOf(1)), 0)
	h.report(w, HeartbeatReport{Clock: 1000, Running: []RunReport{{Task: stray, Run: 1}}})
	h.submit(singleStepJob(1, stepOf(1)))
	h.settleOrders()
	assert.Equal(t, h.fleet.started(), 0)
	h.report(w, endOf(1, stray, 1, EndStopped))
	h.settle()
	awaitStarts(t, h.fleet, 1)
}

// Guards against work that each leader in turn lets wait for the leases of the same lost worker.
func TestLostStandbyWorkerIsNotAwaitedByEachLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		ids := []string{"w1", "w2", "w3", "w4"}
		for _, id := range ids {
			h.addWorker(id, "r1", 1)
		}
		j := chainJob(1)
		h.runJob(j)
		runner := h.holderOf(taskName(j, 0), 1)
		lost := ""
		for _, id := range h.scheduler.unitOf(workload.TaskName{Job: j.ID, Step: 1}).standby.named {
			if id != runner.info.ID {
				lost = id
			}
		}
		follow := func(h *harness) {
			for _, id := range ids {
				if id != lost {
					w := h.observeSilent(WorkerInfo{ID: id, Address: id + ":1", Service: "render", Rack: "r1", Capacity: runner.info.Capacity})
					h.report(w, HeartbeatReport{Clock: 1000, Running: h.runsOn(w)})
				}
			}
		}
		second := h.nextTerm()
		follow(second)
		for range 100 {
			time.Sleep(prepareInterval)
			follow(second)
			second.settle()
		}
		third := second.nextTerm()
		follow(third)
		for id, w := range third.scheduler.workers {
			assert.Assert(t, id != lost || len(w.suspected) == 0, "the work waits for %s, whose leases were over in the term before", id)
		}
	})
}
