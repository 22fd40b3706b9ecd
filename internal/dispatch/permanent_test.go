package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Bounds of the platform for a permanent task: it is expected back for restartOwed after restartGrace from its last run, if there is room.
const (
	restartGrace = 6 * time.Second
	restartOwed  = 3 * time.Second
)

// permanentJob returns a job of one permanent task that needs a whole worker.
func permanentJob(n int) *workload.Job {
	j := wholeWorker(n)
	j.Steps[0].Permanent = true
	return j
}

// startPermanentJobs starts as many permanent jobs on a fleet of idle workers and returns the workers by job.
func startPermanentJobs(h *harness, workers, jobs int) []*worker {
	h.t.Helper()
	for i := range workers {
		h.addWorker(workerName(i), "r1", 8)
	}
	for n := range jobs {
		h.submit(permanentJob(n))
	}
	h.pass()
	awaitStarts(h.t, h.fleet, jobs)
	at := make([]*worker, jobs)
	for n := range jobs {
		at[n] = h.scheduler.jobs[permanentJob(n).ID].occurrences[0].steps[0].units[0].members[0].worker
	}
	return at
}

// Guards against a permanent task that is never started again after its worker was lost, since the last idle workers of a fleet that is
// full of permanent tasks are kept free for urgent work.
func TestLostPermanentTaskStartsOnWorkersKeptForUrgentWork(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	at := startPermanentJobs(h, 10, 8)
	h.awaitRunning(at[0], 1)
	h.scheduler.Delist(at[0].info.ID)
	h.report(at[0], HeartbeatReport{Ended: []EndReport{{1, taskName(permanentJob(0), 0), 1, EndLeaseExpired, ""}}})
	h.pass()
	awaitStarts(t, h.fleet, 9)
}

// Guards against permanent work that is new and takes at once what is kept free for urgent work, and against such work that never starts
// beside idle workers.
func TestNewPermanentTaskLeavesTheHeadroomForAWhile(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	startPermanentJobs(h, 10, 8)
	h.submit(permanentJob(8))
	h.pass()
	assert.Equal(t, h.fleet.started(), 8)
	u := h.scheduler.jobs[permanentJob(8).ID].occurrences[0].steps[0].units[0]
	h.scheduler.mu.Lock()
	u.waitingAt = u.waitingAt.Add(-permanentStartWait - time.Millisecond)
	h.scheduler.mu.Unlock()
	h.pass()
	awaitStarts(t, h.fleet, 9)
}

// Guards against a task that waits for ever for the rack of its data, which is full of permanent tasks.
func TestTaskDoesNotWaitForARackFullOfPermanentTasks(t *testing.T) {
	for _, permanent := range []bool{false, true} {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		startPermanentJobs(h, 2, 2)
		for i := range 2 {
			h.addWorker(workerName(10+i), "r2", 8)
		}
		h.submit(permanentJob(2)) // keeps the fleet more than half in use
		h.pass()
		awaitStarts(t, h.fleet, 3)
		j := singleStepJob(3, stepOf(1))
		j.QueueSettings.Priority = 0
		j.Steps[0].DataRack, j.Steps[0].Permanent = "r1", permanent
		h.submit(j)
		h.pass()
		awaitStarts(t, h.fleet, 4)
	}
}

// Guards against leases that keep a permanent task from starting again within the platform's bound after its worker was lost.
func TestLeasesOfPermanentTasksExpireWithinTheBound(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	at := startPermanentJobs(h, 3, 1)
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	order, _ := h.scheduler.nextHeartbeat(at[0], time.Now())
	assert.Assert(t, time.Duration(order.LeaseEnd-at[0].workerClock)*time.Millisecond < restartGrace+restartOwed)
	assert.Assert(t, expiryOf(h.scheduler.leaseOn(at[0])) < restartGrace+restartOwed-time.Second)
	assert.Equal(t, h.scheduler.leaseOn(&worker{}), testLease)
}

// urgentJob returns a job of priority 0 whose tasks each need a whole worker.
func urgentJob(n, tasks int) *workload.Job {
	j := wholeWorker(n)
	j.QueueSettings.Priority = 0
	j.Steps[0].Count, j.Steps[0].Gang = tasks, tasks > 1
	return j
}

// guarantee gives the jobs' customer guaranteed accelerators.
func (h *harness) guarantee(accelerators int64) {
	h.scheduler.config.Catalog.Advance((&catalog.Catalog{Version: 2, Customers: []catalog.Customer{{Name: "club", GuaranteedAccelerators: accelerators}}}).Build())
}

// Guards against work within a customer's guarantee that never starts, since the permanent tasks of others hold the accelerators.
func TestGuaranteedJobPreemptsPermanentTasksOfOthers(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.guarantee(16)
	for n, w := range startPermanentJobs(h, 4, 4) {
		h.scheduler.jobs[permanentJob(n).ID].spec.Customer = "other"
		h.awaitRunning(w, 1)
	}
	beyond := urgentJob(10, 3)
	h.submit(beyond)
	h.pass()
	assert.Equal(t, h.fleet.stopped(), 0, "work beyond the guarantee stops permanent tasks")
	h.cancel(beyond.ID)
	h.submit(urgentJob(11, 2))
	h.pass()
	awaitStops(t, h.fleet, 2)
	for _, stop := range h.fleet.stops {
		w := h.scheduler.jobs[stop.Task.Job].occurrences[0].steps[0].units[0].members[0].worker
		h.report(w, HeartbeatReport{Ended: []EndReport{{1, stop.Task, 1, EndStopped, ""}}})
	}
	h.pass()
	awaitStarts(t, h.fleet, 4+2)
}

// Guards against more tasks of a permanent step that are stopped at the same time than its customer allows.
func TestPermanentStepKeepsItsAvailability(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.guarantee(24)
	const tasks = 3
	workers := make([]*worker, tasks)
	for i := range workers {
		workers[i] = h.addWorker(workerName(i), "r1", 8)
	}
	serving := permanentJob(0)
	serving.Customer, serving.Steps[0].Count, serving.Steps[0].MaxUnavailable = "other", tasks, 1
	h.submit(serving)
	h.pass()
	awaitStarts(t, h.fleet, tasks)
	h.submit(urgentJob(1, 1))
	h.pass()
	assert.Equal(t, h.fleet.stopped(), 0, "a task is stopped while none is at work yet")
	for _, w := range workers {
		h.awaitRunning(w, 1)
		runs := h.runsOn(w)
		runs[0].Percent = 100
		h.report(w, HeartbeatReport{Running: runs})
	}
	h.submit(urgentJob(2, 2))
	for range 3 {
		h.pass()
	}
	awaitStops(t, h.fleet, 1)
	time.Sleep(10 * time.Millisecond)
	assert.Equal(t, h.fleet.stopped(), 1)
}

// Guards against work that is not urgent and waits for ever beside idle workers kept for urgent work, because permanent tasks keep its service
// more than half full.
func TestWorkStartsBesidePermanentTasksAfterAWhile(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	startPermanentJobs(h, 10, 8)
	j := wholeWorker(9)
	h.submit(j)
	h.pass()
	assert.Equal(t, h.fleet.started(), 8)
	h.scheduler.mu.Lock()
	u := h.scheduler.jobs[j.ID].occurrences[0].steps[0].units[0]
	u.waitingAt = u.waitingAt.Add(-headroomWait - time.Millisecond)
	h.scheduler.mu.Unlock()
	h.pass()
	awaitStarts(t, h.fleet, 9)
}
