package dispatch

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// Guards against work that is stopped and started again because the answer to its start was lost, although the worker has reported that it
// runs.
func TestRunWhoseStartWasNotAnsweredGoesOnOnceItIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 8)
		h.fleet.startError = func(o StartOrder) error {
			h.report(w, HeartbeatReport{Running: []RunReport{{Task: o.Task, Run: o.Run}}})
			return errNoAnswer
		}
		j := singleStepJob(1, stepOf(1))
		h.submit(j)
		h.pass()
		synctest.Wait()
		assert.Equal(t, h.fleet.started(), 1)
		assert.Equal(t, h.fleet.stopped(), 0)
		assert.Equal(t, len(h.runsOn(w)), 1)
	})
}
