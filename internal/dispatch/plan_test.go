package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// fillWithLowPriority runs single tasks of low priority until n accelerators are in use.
func (h *harness) fillWithLowPriority(n int) {
	h.t.Helper()
	h.submit(singleStepJob(900, stepOf(n)))
	h.pass()
	awaitStarts(h.t, h.fleet, n)
	for _, w := range h.scheduler.workers {
		h.report(w, HeartbeatReport{Running: h.runsOn(w)})
	}
}

// Guards against an urgent job that must wait for a preemption because less urgent work has filled a busy fleet.
func TestHeadroomIsKeptForUrgentWorkOnABusyFleet(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
		h.addWorker(id, "r1", 8)
	}
	h.fillWithLowPriority(21) // more than half of 40, so headroom is kept
	h.submit(singleStepJob(901, stepOf(30)))
	h.pass()
	awaitStarts(t, h.fleet, 32)
	urgent := singleStepJob(902, stepOf(8))
	urgent.QueueSettings.Priority = 0
	h.submit(urgent)
	h.pass()
	awaitStarts(t, h.fleet, 40)
	assert.Equal(t, h.fleet.stopped(), 0)
}

// Guards against work that waits beside workers that are kept free for urgent work, although no such work comes any more. Work that is
// urgent keeps them free for a while after it came.
func TestHeadroomIsReleasedWithoutUrgentWork(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
		h.addWorker(id, "r1", 8)
	}
	h.fillWithLowPriority(21) // more than half of 40, so headroom is kept
	urgent := singleStepJob(901, stepOf(1))
	urgent.QueueSettings.Priority = 0
	h.submit(urgent)
	h.submit(gangOf(902, 2)) // needs two whole workers, and only one is neither in use nor kept free
	h.pass()
	awaitStarts(t, h.fleet, 22)
	h.scheduler.mu.Lock()
	h.scheduler.urgentArrivedAt = h.scheduler.urgentArrivedAt.Add(-headroomHold - time.Millisecond)
	h.scheduler.mu.Unlock()
	h.pass()
	awaitStarts(t, h.fleet, 24)
}

// Guards against a customer whose guaranteed accelerators are used by others: their work must be preempted for the
// guaranteed job.
func TestGuaranteedJobPreemptsLessUrgentWork(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	h.fillWithLowPriority(4) // half of the fleet, so no headroom is kept yet
	h.submit(singleStepJob(901, stepOf(3)))
	h.pass()
	urgent := singleStepJob(902, stepOf(1))
	urgent.QueueSettings.Priority = 0
	urgent.Steps[0].Resources.Accelerators = 8
	h.submit(urgent)
	h.pass()
	running := len(w.members)
	awaitStops(t, h.fleet, running)
	var ends []EndReport
	for i, r := range h.runsOn(w) {
		ends = append(ends, EndReport{int64(i + 1), r.Task, r.Run, EndStopped, ""})
	}
	h.report(w, HeartbeatReport{Ended: ends})
	before := h.fleet.started()
	h.pass()
	awaitStarts(t, h.fleet, before+1)
	assert.Equal(t, h.fleet.starts[before].Task.Job, urgent.ID)
}

// Guards against a gang that is placed in part, or over several racks without waiting until one has room.
func TestGangThatNeedsOneRackWaitsForOne(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w3 := h.addWorker("w3", "r2", 4)
	before := singleStepJob(1, stepOf(4))
	h.submit(before)
	h.pass()
	h.awaitRunning(w3, 4)
	w1, w2 := h.addWorker("w1", "r1", 4), h.addWorker("w2", "r2", 4)
	step := stepOf(8)
	step.Gang, step.SameRack = true, true
	h.submit(singleStepJob(2, step))
	h.pass()
	assert.Equal(t, len(w1.members)+len(w2.members), 0, "w1 and w2 have room for it, in two racks")
	var ends []EndReport
	for i, r := range h.runsOn(w3) {
		ends = append(ends, EndReport{int64(i + 1), r.Task, r.Run, EndDone, ""})
	}
	h.report(w3, HeartbeatReport{Ended: ends})
	h.pass()
	awaitStarts(t, h.fleet, 12)
	assert.Equal(t, len(w1.members), 0)
}

// Guards against a worker that gets more work than it has room for while a stop there is not yet reported.
func TestResourcesOfAStoppingRunStayBooked(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 1)
	j := singleStepJob(1, stepOf(1))
	h.submit(j)
	h.pass()
	h.awaitRunning(w, 1)
	h.cancel(j.ID)
	h.awaitStopAnswered(w)
	h.submit(singleStepJob(2, stepOf(1)))
	h.pass()
	assert.Equal(t, h.fleet.started(), 1)
	h.report(w, HeartbeatReport{Ended: []EndReport{{1, taskName(j, 0), 1, EndStopped, ""}}})
	h.pass()
	awaitStarts(t, h.fleet, 2)
}

// Guards against placing work on a draining worker.
func TestDrainingWorkerGetsNoWork(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	info := w.info
	info.Draining = true
	h.scheduler.Observe(info)
	h.submit(singleStepJob(1, stepOf(1)))
	h.pass()
	assert.Equal(t, h.fleet.started(), 0)
}

// Guards against a placement that ignores labels, the limit of tasks per worker or the order of steps.
func TestPlacementRespectsLabelsSpreadingAndDependencies(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w1, w2 := h.addWorker("w1", "r1", 8), h.addWorker("w2", "r2", 8)
	first := stepOf(2)
	first.MaxPerWorker = 1
	second := stepOf(2)
	second.After, second.Label = []int{0}, "r2"
	j := singleStepJob(1, first)
	j.Steps = append(j.Steps, second)
	h.submit(j)
	h.pass()
	h.awaitRunning(w1, 1)
	h.awaitRunning(w2, 1)
	h.pass()
	assert.Equal(t, h.fleet.started(), 2, "the second step waits for the first")
	for _, w := range []*worker{w1, w2} {
		run := h.runsOn(w)[0]
		h.report(w, HeartbeatReport{Ended: []EndReport{{1, run.Task, run.Run, EndDone, ""}}})
	}
	h.pass()
	h.awaitRunning(w2, 2)
	assert.Equal(t, len(w1.members), 0)
}

// Guards against a worker that fails every task it starts and uses up the attempts of job after job.
func TestWorkerThatFailsDifferentJobsGetsOnlyProbes(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	for n := 1; n <= quarantineAfterJobs; n++ {
		j := singleStepJob(n, stepOf(1))
		h.submit(j)
		h.pass()
		h.awaitRunning(w, 1)
		h.report(w, HeartbeatReport{Ended: []EndReport{{int64(n), taskName(j, 0), 1, EndFailed, ""}}})
		h.runs.flush()
		h.cancel(j.ID)
	}
	h.submit(singleStepJob(9, stepOf(3)))
	h.pass()
	assert.Equal(t, len(w.members), 0)
	h.scheduler.mu.Lock()
	w.health.quarantinedUntil = time.Now()
	h.scheduler.mu.Unlock()
	time.Sleep(time.Millisecond)
	h.pass()
	h.awaitRunning(w, 1) // the probe
	h.report(w, HeartbeatReport{Ended: []EndReport{{9, workload.TaskName{Job: singleStepJob(9, stepOf(1)).ID}, 1, EndDone, ""}}})
	h.pass()
	h.awaitRunning(w, 2)
}

// Guards against starting a scheduled job before it is due.
func TestScheduledJobStartsWhenDue(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(1))
	j.Schedule = workload.Schedule{First: time.Now().Add(time.Hour), Interval: time.Minute, Occurrences: 2}
	h.submit(j)
	h.pass()
	assert.Equal(t, h.fleet.started(), 0)
	h.scheduler.config.Now = func() time.Time { return time.Now().Add(time.Hour + time.Second) }
	h.pass()
	h.awaitRunning(w, 1)
	assert.Equal(t, h.fleet.starts[0].Task.Occurrence, 0)
}

// Guards against a permanent task that is not restarted after its run has ended.
func TestPermanentTaskIsRestartedHoweverItEnds(t *testing.T) {
	for n, ending := range []Ending{EndDone, EndFailed, EndLeaseExpired} {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 8)
		step := stepOf(1)
		step.Permanent = true
		j := singleStepJob(n, step)
		h.submit(j)
		h.pass()
		for run := 1; run <= 5; run++ { // more runs than the queue allows attempts
			h.awaitRunning(w, 1)
			h.report(w, HeartbeatReport{Ended: []EndReport{{int64(run), taskName(j, 0), run, ending, ""}}})
			time.Sleep(requeueDelay)
			h.pass()
		}
		h.awaitRunning(w, 1)
	}
}

// scriptedAdvisor allows one worker.
type scriptedAdvisor struct {
	allowed string
	asked   chan []string
}

func (a *scriptedAdvisor) Ask(_ context.Context, _ StepName, workers []string) (map[string]string, time.Duration, error) {
	a.asked <- workers
	return map[string]string{a.allowed: "ticket"}, time.Minute, nil
}

// Guards against a start on a worker that the advisor does not allow, or without its ticket.
func TestAdvisedQueueStartsOnlyOnAllowedWorkersWithTheirTickets(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	advisor := &scriptedAdvisor{allowed: "w2", asked: make(chan []string, 1)}
	h.scheduler.config.Advisor = advisor
	h.addWorker("w1", "r1", 8)
	w2 := h.addWorker("w2", "r1", 8)
	j := singleStepJob(1, stepOf(3))
	j.QueueSettings.Advised = true
	h.submit(j)
	h.pass()
	assert.DeepEqual(t, <-advisor.asked, []string{"w1", "w2"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.pass()
		if h.fleet.started() != 3 {
			return poll.Continue("%d of 3 starts", h.fleet.started())
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	h.awaitRunning(w2, 3)
	assert.Equal(t, h.fleet.starts[0].Ticket, "ticket")
}

// Guards against spare-CPU work that makes a task miss its latency target.
func TestSpareCPUWorkIsSlowedWhenATaskMissesItsTarget(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	w := h.addWorker("w1", "r1", 8)
	serving, spareCPU := stepOf(1), stepOf(1)
	serving.Permanent, serving.TargetLatency = true, 100*time.Millisecond
	spareCPU.UsesSpareCPU = true
	servingJob, spareCPUJob := singleStepJob(1, serving), singleStepJob(2, spareCPU)
	h.submit(servingJob)
	h.submit(spareCPUJob)
	h.pass()
	h.awaitRunning(w, 2)
	reportTail := func(tail int64) {
		h.report(w, HeartbeatReport{Running: []RunReport{{Task: taskName(servingJob, 0), Run: 1, Percent: 100, LatencyOrCPU: tail}, {Task: taskName(spareCPUJob, 0), Run: 1}}})
	}
	reportTail(150)
	awaitCount(t, h.fleet.paced, 1, "paces")
	assert.Equal(t, h.fleet.paces[0].Percent, 0)
	reportTail(90) // within the target, but not by enough to speed up
	reportTail(20)
	awaitCount(t, h.fleet.paced, 2, "paces")
	assert.Equal(t, h.fleet.paces[1].Percent, paceStep)
}

// Guards against a gang that spans data centres although one has room for it: it would stand still whenever one of them is cut
// off.
func TestGangStaysInOneDataCentreIfItFits(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, w := range []struct {
		id, dataCentre string
		accelerators   int64
	}{{"a1", "a", 2}, {"a2", "a", 4}, {"b1", "b", 3}, {"b2", "b", 3}} {
		h.addWorkerIn(w.dataCentre, w.id, "r-"+w.id, w.accelerators)
	}
	step := stepOf(6)
	step.Gang = true
	j := singleStepJob(1, step)
	h.submit(j)
	h.pass()
	awaitStarts(t, h.fleet, 6)
	used := map[string]bool{}
	for _, m := range h.scheduler.jobs[j.ID].occurrences[0].steps[0].units[0].members {
		used[m.worker.info.DataCentre] = true
	}
	assert.Equal(t, len(used), 1)
}

// Guards against a gang that never starts since no data centre alone has room for it.
func TestGangSpansDataCentresIfItMust(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.addWorkerIn("a", "a1", "r1", 4)
	h.addWorkerIn("b", "b1", "r2", 4)
	step := stepOf(6)
	step.Gang = true
	h.submit(singleStepJob(1, step))
	h.pass()
	awaitStarts(t, h.fleet, 6)
}

// Guards against work that waits beside free workers because tasks of the same size, which may not share a worker with others of
// their step, found no room in the same pass.
func TestLimitOnTasksPerWorkerHoldsForItsStepAlone(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.addWorker("w1", "r1", 8)
	spread := singleStepJob(1, stepOf(2))
	spread.Steps[0].MaxPerWorker = 1
	spread.QueueSettings.Stretch = 1 // gives it the earliest latest start
	h.submit(spread)
	h.submit(singleStepJob(2, stepOf(1)))
	h.pass()
	awaitStarts(t, h.fleet, 2)
}
