package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

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
