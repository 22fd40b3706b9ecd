package dispatch

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// largeJob returns a job of steps with 10,000 tasks each.
func largeJob(number, steps int) *workload.Job {
	j := singleStepJob(number, stepOf(10_000))
	for len(j.Steps) < steps {
		j.Steps = append(j.Steps, stepOf(10_000))
	}
	return j
}

// Guards against one submission that takes the memory of each instance that schedules, one after the other.
func TestJobWithTooManyTasksIsRefused(t *testing.T) {
	assert.ErrorContains(t, largeJob(1, 64).Validate(), "640000 tasks")
	assert.NilError(t, largeJob(1, 10).Validate())
	repeated := singleStepJob(1, stepOf(11))
	repeated.Schedule = workload.Schedule{First: time.Now(), Interval: time.Second, Occurrences: 10_000}
	assert.ErrorContains(t, repeated.Validate(), "110000 tasks")
	repeated.Steps[0].Count = 10
	assert.NilError(t, repeated.Validate())
}

// Guards against accepted jobs that together take the memory of each instance that schedules, and against an urgent job that waits behind
// them. The smallest instance has 284 MB, of which half of the runtime's 60 % are for tasks.
func TestLargeJobsWaitUntilMemoryAllows(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.scheduler.config.Bounds.Tasks = 223_346
	before := heapMB()
	for n := range 8 {
		h.submit(largeJob(n+1, 10))
	}
	small := singleStepJob(9, stepOf(1))
	h.submit(small)
	urgent := singleStepJob(10, stepOf(1))
	urgent.QueueSettings.Priority = 0
	h.submit(urgent)
	h.addWorker("w1", "r1", 1)
	h.pass()
	t.Logf("%d MB for the tasks in memory", heapMB()-before)
	assert.Assert(t, heapMB()-before < 85, "%d MB", heapMB()-before)
	created := func(id string) int { return h.scheduler.jobs[id].occurrencesCreated }
	assert.Equal(t, created(largeJob(1, 1).ID), 1)
	assert.Equal(t, created(largeJob(8, 1).ID), 0)
	assert.Equal(t, created(small.ID), 0, "the order of arrival holds among jobs that are not urgent")
	assert.Equal(t, created(urgent.ID), 1)
	for n := range 8 {
		h.cancel(largeJob(n+1, 1).ID)
	}
	h.pass()
	h.tickAt(time.Now())
	assert.Equal(t, created(small.ID), 1)
	assert.Assert(t, heapMB()-before < 10, "the tasks of ended jobs are kept: %d MB", heapMB()-before)
	runtime.KeepAlive(h)
}

func heapMB() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc >> 20)
}

// Guards against a job that could never start because it alone exceeds the budget, on a small instance.
func TestJobThatExceedsTheBudgetRunsAlone(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.scheduler.config.Bounds.Tasks = 1000
	j := largeJob(1, 1)
	h.submit(j)
	h.addWorker("w1", "r1", 8)
	h.pass()
	awaitStarts(t, h.fleet, 8)
}

// Guards against a schedule whose later repetitions wait for the end of the job, because those that are done still count; and against
// records of them that stay in the log for ever, or are deleted before the job has ended, so that a later term would run them again.
func TestRepetitionsThatAreDoneMakeRoom(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.scheduler.config.Bounds.Tasks = 2
	w := h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(1))
	j.Schedule = workload.Schedule{First: time.Now().Add(-time.Minute), Interval: time.Second, Occurrences: 3}
	h.submit(j)
	h.pass()
	awaitStarts(t, h.fleet, 2)
	assert.Equal(t, h.scheduler.jobs[j.ID].occurrencesCreated, 2)
	for k := range 3 {
		awaitStarts(t, h.fleet, min(2+k, 3)) // an end that is reported before the order is sent makes the order needless
		task := workload.TaskName{Job: j.ID, Occurrence: k}
		h.report(w, HeartbeatReport{Partial: true, Ended: []EndReport{{int64(k + 1), task, 1, EndDone, ""}}})
		h.pass()
		assert.Equal(t, h.scheduler.jobs[j.ID].state.Final(), k == 2)
		if k == 1 {
			next := h.nextTerm()
			next.pass()
			assert.Equal(t, next.scheduler.jobs[j.ID].occurrencesReleased, 2, "the next term knows that two are done")
		}
		h.tickAt(time.Now())
		h.pass()
	}
	assert.Equal(t, h.fleet.started(), 3)
	for _, r := range h.runs.records() {
		assert.Equal(t, len(r.Value), 0, "the record %s is left", r.Key)
	}
}
