package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// fill runs single tasks of low urgency until n accelerators are in use.
func (b *bench) fill(n int) {
	b.t.Helper()
	b.submit(jobOf(900, tasks(n)))
	b.pass()
	awaitStarts(b.t, b.fleet, n)
	for _, w := range b.s.workers {
		b.report(w, HeartbeatReport{Running: b.running(w)})
	}
}

// Guards against an urgent job that has to wait for a stop on a busy fleet because less urgent work took all room.
func TestHeadroomIsKeptForUrgentWorkOnABusyFleet(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
		b.worker(id, "r1", 8)
	}
	b.fill(21) // more than half of 40
	b.submit(jobOf(901, tasks(30)))
	b.pass()
	awaitStarts(t, b.fleet, 32)
	urgent := jobOf(902, tasks(8))
	urgent.Terms.Priority = 0
	b.submit(urgent)
	b.pass()
	awaitStarts(t, b.fleet, 40)
	assert.Equal(t, b.fleet.stopped(), 0)
}

// Guards against a customer whose guarantee is taken by others' work: it must be stopped for the guaranteed job.
func TestGuaranteedJobReclaimsRoomFromLessUrgentWork(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	b.fill(4) // half of the fleet, so no headroom is kept yet
	b.submit(jobOf(901, tasks(3)))
	b.pass()
	urgent := jobOf(902, tasks(1))
	urgent.Terms.Priority = 0
	urgent.Steps[0].Resources.Accelerators = 8
	b.submit(urgent)
	b.pass()
	running := len(w.members)
	awaitStops(t, b.fleet, running)
	var ends []EndReport
	for i, r := range b.running(w) {
		ends = append(ends, EndReport{int64(i + 1), r.Task, r.Run, EndStopped, ""})
	}
	b.report(w, HeartbeatReport{Ended: ends})
	before := b.fleet.started()
	b.pass()
	awaitStarts(t, b.fleet, before+1)
	assert.Equal(t, b.fleet.starts[before].Task.Job, urgent.ID)
}

// Guards against a gang that is placed in part, or over several racks although one has room for it.
func TestGangThatNeedsOneRackWaitsForOne(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w3 := b.worker("w3", "r2", 4)
	before := jobOf(1, tasks(4))
	b.submit(before)
	b.pass()
	b.awaitRunning(w3, 4)
	w1, w2 := b.worker("w1", "r1", 4), b.worker("w2", "r2", 4)
	step := tasks(8)
	step.Gang, step.SameRack = true, true
	b.submit(jobOf(2, step))
	b.pass()
	assert.Equal(t, len(w1.members)+len(w2.members), 0, "w1 and w2 have room for it, in two racks")
	var ends []EndReport
	for i, r := range b.running(w3) {
		ends = append(ends, EndReport{int64(i + 1), r.Task, r.Run, EndDone, ""})
	}
	b.report(w3, HeartbeatReport{Ended: ends})
	b.pass()
	awaitStarts(t, b.fleet, 12)
	assert.Equal(t, len(w1.members), 0)
}

// Guards against a worker that gets more than it has room for while a stop there is not yet reported.
func TestRoomOfAStoppingRunIsNotGivenAway(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 1)
	j := jobOf(1, tasks(1))
	b.submit(j)
	b.pass()
	b.awaitRunning(w, 1)
	b.cancel(j.ID)
	b.awaitStopAnswered(w)
	b.submit(jobOf(2, tasks(1)))
	b.pass()
	assert.Equal(t, b.fleet.started(), 1)
	b.report(w, HeartbeatReport{Ended: []EndReport{{1, task(j, 0), 1, EndStopped, ""}}})
	b.pass()
	awaitStarts(t, b.fleet, 2)
}

// Guards against work on a worker that leaves.
func TestDrainingWorkerGetsNoWork(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	info := w.info
	info.Draining = true
	b.s.Observe(info)
	b.submit(jobOf(1, tasks(1)))
	b.pass()
	assert.Equal(t, b.fleet.started(), 0)
}

// Guards against labels, spreading and dependencies that placement forgets.
func TestPlacementKeepsLabelsSpreadingAndOrder(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w1, w2 := b.worker("w1", "r1", 8), b.worker("w2", "r2", 8)
	first := tasks(2)
	first.MaxPerWorker = 1
	second := tasks(2)
	second.After, second.Label = []int{0}, "r2"
	j := jobOf(1, first)
	j.Steps = append(j.Steps, second)
	b.submit(j)
	b.pass()
	b.awaitRunning(w1, 1)
	b.awaitRunning(w2, 1)
	b.pass()
	assert.Equal(t, b.fleet.started(), 2, "the second step waits for the first")
	for _, w := range []*worker{w1, w2} {
		run := b.running(w)[0]
		b.report(w, HeartbeatReport{Ended: []EndReport{{1, run.Task, run.Run, EndDone, ""}}})
	}
	b.pass()
	b.awaitRunning(w2, 2)
	assert.Equal(t, len(w1.members), 0)
}

// Guards against a worker that fails all that it starts and uses up the attempts of job after job.
func TestWorkerThatFailsDifferentJobsGetsOnlyProbes(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	for n := 1; n <= suspectAfterJobs; n++ {
		j := jobOf(n, tasks(1))
		b.submit(j)
		b.pass()
		b.awaitRunning(w, 1)
		b.report(w, HeartbeatReport{Ended: []EndReport{{int64(n), task(j, 0), 1, EndFailed, ""}}})
		b.runs.flush()
		b.cancel(j.ID)
	}
	b.submit(jobOf(9, tasks(3)))
	b.pass()
	assert.Equal(t, len(w.members), 0)
	b.s.mu.Lock()
	w.health.until = time.Now()
	b.s.mu.Unlock()
	time.Sleep(time.Millisecond)
	b.pass()
	b.awaitRunning(w, 1) // the probe
	b.report(w, HeartbeatReport{Ended: []EndReport{{9, workload.TaskName{Job: jobOf(9, tasks(1)).ID}, 1, EndDone, ""}}})
	b.pass()
	b.awaitRunning(w, 2)
}

// Guards against a start before its time.
func TestScheduledJobStartsWhenDue(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	j := jobOf(1, tasks(1))
	j.Schedule = workload.Schedule{First: time.Now().Add(time.Hour), Interval: time.Minute, Occurrences: 2}
	b.submit(j)
	b.pass()
	assert.Equal(t, b.fleet.started(), 0)
	b.s.c.Now = func() time.Time { return time.Now().Add(time.Hour + time.Second) }
	b.pass()
	b.awaitRunning(w, 1)
	assert.Equal(t, b.fleet.starts[0].Task.Occurrence, 0)
}

// Guards against a permanent task that stays away after its run has ended.
func TestPermanentTaskIsRestartedHoweverItEnds(t *testing.T) {
	for n, how := range []Ending{EndDone, EndFailed, EndLeaseExpired} {
		b := newBench(t, newMemoryLedger(), newMemoryLedger())
		w := b.worker("w1", "r1", 8)
		step := tasks(1)
		step.Permanent = true
		j := jobOf(n, step)
		b.submit(j)
		b.pass()
		for run := 1; run <= 5; run++ { // more often than the queue's attempts
			b.awaitRunning(w, 1)
			b.report(w, HeartbeatReport{Ended: []EndReport{{int64(run), task(j, 0), run, how, ""}}})
			time.Sleep(requeuePause)
			b.pass()
		}
		b.awaitRunning(w, 1)
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
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	advisor := &scriptedAdvisor{allowed: "w2", asked: make(chan []string, 1)}
	b.s.c.Advisor = advisor
	b.worker("w1", "r1", 8)
	w2 := b.worker("w2", "r1", 8)
	j := jobOf(1, tasks(3))
	j.Terms.Advised = true
	b.submit(j)
	b.pass()
	assert.DeepEqual(t, <-advisor.asked, []string{"w1", "w2"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b.pass()
		if b.fleet.started() != 3 {
			return poll.Continue("%d of 3 starts", b.fleet.started())
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	b.awaitRunning(w2, 3)
	assert.Equal(t, b.fleet.starts[0].Ticket, "ticket")
}

// Guards against leftover work that keeps a task over its latency target.
func TestLeftoverWorkIsSlowedWhenATaskMissesItsTarget(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	w := b.worker("w1", "r1", 8)
	serving, leftover := tasks(1), tasks(1)
	serving.Permanent, serving.TargetLatency = true, 100*time.Millisecond
	leftover.UsesSpareCPU = true
	one, two := jobOf(1, serving), jobOf(2, leftover)
	b.submit(one)
	b.submit(two)
	b.pass()
	b.awaitRunning(w, 2)
	look := func(tail int64) {
		b.report(w, HeartbeatReport{Running: []RunReport{{Task: task(one, 0), Run: 1, Percent: 100, Gauge: tail}, {Task: task(two, 0), Run: 1}}})
	}
	look(150)
	awaitCount(t, b.fleet.paced, 1, "paces")
	assert.Equal(t, b.fleet.paces[0].Percent, 0)
	look(90) // within the target, but not by enough to speed up
	look(20)
	awaitCount(t, b.fleet.paced, 2, "paces")
	assert.Equal(t, b.fleet.paces[1].Percent, paceStep)
}
