package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// fullFleetWithBacklog returns a harness with ten workers of 8 accelerators each, which are filled by work of the queue with
// priority 1 of which much more waits.
func fullFleetWithBacklog(t *testing.T) (h *harness, workers []*worker) {
	h = newHarness(t, newMemoryLedger(), newMemoryLedger())
	for i := range 10 {
		workers = append(workers, h.addWorker(fmt.Sprintf("w%d", i), "r1", 8))
	}
	h.fillWithLowPriority(41) // more than half of 80, so headroom is kept
	backlog := singleStepJob(901, stepOf(10_000))
	backlog.QueueSettings.Target = time.Hour // always in time
	h.submit(backlog)
	h.pass()
	awaitStarts(t, h.fleet, 64)
	return h, workers
}

// holdsWithin reports whether at least n tasks of a job hold resources before so many rounds are over, in each of which all work
// of one worker ends.
func (h *harness) holdsWithin(rounds int, workers []*worker, j *workload.Job, n int) bool {
	for i := range rounds {
		h.pass()
		held := 0
		for _, u := range h.scheduler.jobs[j.ID].occurrences[0].steps[0].units {
			held += len(u.members)
		}
		if held >= n {
			return true
		}
		h.endAll(workers[i%len(workers)])
	}
	return false
}

// jobOfAge returns a job that was submitted some time ago. Its objective is 10 to 16 s, whatever run times its queue learns.
func jobOfAge(number int, age time.Duration, step workload.Step) *workload.Job {
	j := singleStepJob(number, step)
	j.Submitted, j.QueueSettings.Target = time.Now().Add(-age), 10*time.Second
	return j
}

const (
	ageOfLate    = 20 * time.Second // can still end within three times its objective
	ageOfOverdue = 10 * time.Minute
)

// Guards against accepted work that waits for as long as the load lasts, since it was set back by a lost worker and all work that
// can still end within its objective goes first.
func TestWorkThatWasSetBackStartsUnderLoad(t *testing.T) {
	for name, age := range map[string]time.Duration{"late": ageOfLate, "overdue": ageOfOverdue} {
		t.Run(name, func(t *testing.T) {
			h, workers := fullFleetWithBacklog(t)
			task := jobOfAge(902, age, stepOf(1))
			h.submit(task)
			assert.Assert(t, h.holdsWithin(2*len(workers), workers, task, 1))
		})
	}
}

// Guards against overdue work that waits behind all late work.
func TestOverdueWorkStartsBeforeLateWork(t *testing.T) {
	h, workers := fullFleetWithBacklog(t)
	h.submit(jobOfAge(902, ageOfLate, stepOf(10_000)))
	task := jobOfAge(903, ageOfOverdue, stepOf(1))
	h.submit(task)
	assert.Assert(t, h.holdsWithin(2*len(workers), workers, task, 1))
}

// Guards against an overdue gang that never finds its workers free at once, since only work in time reserves them.
func TestOverdueGangStartsUnderLoad(t *testing.T) {
	h, workers := fullFleetWithBacklog(t)
	gang := jobOfAge(902, ageOfOverdue, gangOf(902, 2).Steps[0])
	h.submit(gang)
	assert.Assert(t, h.holdsWithin(3*len(workers), workers, gang, 2))
}

// startsInTime reports whether a job starts within starvationBound and a second, in virtual time, while work ends on one worker
// after the other.
func (h *harness) startsInTime(workers []*worker, j *workload.Job) bool {
	for begun := time.Now(); time.Since(begun) <= starvationBound+time.Second; time.Sleep(200 * time.Millisecond) {
		for _, w := range workers {
			h.report(w, HeartbeatReport{Running: h.runsOn(w)})
		}
		if h.holdsWithin(len(workers), workers, j, 1) {
			return true
		}
	}
	return false
}

// Guards against overdue work that never starts on a service so small that its share is less than one task, and on one without
// accelerators.
func TestOverdueWorkStartsOnSmallServices(t *testing.T) {
	for _, accelerators := range []int64{0, 1} {
		t.Run(fmt.Sprint(accelerators), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, newMemoryLedger(), newMemoryLedger())
				w := h.addWorker("w1", "r1", accelerators)
				step := stepOf(1000)
				step.Resources = workload.Resources{CPU: 64_000, MemoryMB: 1000, Accelerators: accelerators}
				backlog := singleStepJob(901, step)
				backlog.QueueSettings.Target = time.Hour // always in time
				h.submit(backlog)
				step.Count = 1
				task := jobOfAge(902, ageOfOverdue, step)
				h.submit(task)
				assert.Assert(t, h.startsInTime([]*worker{w}, task))
			})
		})
	}
}

// Guards against work of a low priority that gets nothing for as long as work of a higher priority fills the fleet.
func TestLowPriorityStartsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, workers := fullFleetWithBacklog(t)
		low := singleStepJob(902, stepOf(20))
		low.QueueSettings.Priority, low.QueueSettings.Target = 9, 2*time.Hour
		h.submit(low)
		assert.Assert(t, h.startsInTime(workers, low))
	})
}
