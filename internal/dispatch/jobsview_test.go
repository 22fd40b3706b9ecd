package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against tasks of a cancelled job that start after an outage of the log, before the cancellation is read.
func TestStartsNeedARecentViewOfCancellations(t *testing.T) {
	const limit = 3 * time.Second
	cases := map[string]struct {
		limit, before, after time.Duration // age of the view at the pass, and once the run's record is durable
		starts               int
	}{
		"recent view":                        {limit: limit, before: limit, after: limit, starts: 1},
		"old view":                           {limit: limit, before: limit + 1, after: limit + 1},
		"old view once the run was recorded": {limit: limit, before: 0, after: limit + 1},
		"old view without a limit":           {before: time.Hour, after: time.Hour, starts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				age := c.before
				h := newHarnessConfigured(t, func(config *Config) {
					config.Bounds.Cancellation, config.JobsView = c.limit, func() time.Duration { return age }
				}, newMemoryLedger(), newMemoryLedger())
				w := h.addWorker("w1", "r1", 8)
				j := singleStepJob(1, stepOf(1))
				h.submit(j)
				h.passInOutage()
				age = c.after
				h.settle()
				synctest.Wait()
				assert.Equal(t, h.fleet.started(), c.starts)
				assert.Equal(t, len(h.runsOn(w)), c.starts, "the task waits again")
				age = 0
				time.Sleep(requeueDelay)
				h.settle()
				synctest.Wait()
				assert.Equal(t, h.fleet.started(), 1)
			})
		})
	}
}

// Guards against work that stands in an outage of the log, in which no view of the jobs can be recent.
func TestStartsWithoutRecordsDoNotNeedARecentViewOfCancellations(t *testing.T) {
	h := newHarnessConfigured(t, func(c *Config) {
		c.Bounds.Cancellation, c.JobsView = time.Second, func() time.Duration { return 0 }
	}, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 1)
	}
	j := chainJob(1)
	h.runJob(j)
	h.scheduler.config.JobsView = func() time.Duration { return time.Hour }
	h.report(h.holderOf(taskName(j, 0), 1), endOf(1, taskName(j, 0), 1, EndDone))
	h.startWhatIsReady(2)
}

// Guards against a wait for cancellations that nothing tells.
func TestOldViewOfCancellationsIsLogged(t *testing.T) {
	age := time.Hour
	h := newHarnessConfigured(t, func(c *Config) {
		c.Bounds.Cancellation, c.JobsView = time.Second, func() time.Duration { return age }
	}, newMemoryLedger(), newMemoryLedger())
	h.addWorker("w1", "r1", 8)
	j := singleStepJob(1, stepOf(1))
	h.submit(j)
	h.pass()
	assert.Equal(t, waitNames[h.scheduler.jobs[j.ID].occurrences[0].steps[0].waitsFor], "jobs view")
	age = 0
	h.pass()
	var logged []int
	records, _ := h.scheduler.config.Events.Since(0)
	for _, r := range records {
		if r.Number == eventJobsViewLost.Number || r.Number == eventJobsViewFound.Number {
			logged = append(logged, r.Number)
		}
	}
	assert.DeepEqual(t, logged, []int{eventJobsViewLost.Number, eventJobsViewFound.Number})
}

// Guards against a start order that is repeated after the view of the jobs has become too old: a task of a job whose cancellation was answered
// longer ago than the platform allows starts.
func TestStartIsNotRepeatedOnAnOldViewOfCancellations(t *testing.T) {
	const limit = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		synced := time.Now()
		h := newHarnessConfigured(t, func(c *Config) {
			c.Bounds.Cancellation, c.JobsView = limit, func() time.Duration { return time.Since(synced) }
		}, newMemoryLedger(), newMemoryLedger())
		var oldest time.Duration
		h.fleet.startError = func(StartOrder) error {
			oldest = max(oldest, time.Since(synced))
			time.Sleep(startTimeout)
			return errors.New("no answer")
		}
		h.addWorker("w1", "r1", 8)
		h.submit(singleStepJob(1, stepOf(1)))
		time.Sleep(limit - 10*time.Millisecond)
		h.pass()
		time.Sleep(2 * time.Second)
		assert.Assert(t, h.fleet.started() > 0)
		assert.Assert(t, oldest <= limit, "a start order was sent on a view that was %v old", oldest)
	})
}
