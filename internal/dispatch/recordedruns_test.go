package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against work that waits for the leases of a lost worker on which no earlier leader can have started it.
func TestWorkDoesNotWaitForAWorkerWhoseRunsAreRecorded(t *testing.T) {
	next, _ := loseStandbyWorker(t, func(c *Config, lost string) {
		c.MayHaveUnrecordedRuns = func(worker string) bool { return worker != lost }
	})
	assert.Equal(t, next.fleet.started(), 1)
}

// Guards against a second run beside one that was started without a record, because a leader said too early that all runs are recorded.
func TestRunsCountAsRecordedOnceTheirRecordsAreDurable(t *testing.T) {
	h, task, run, holder := inOutage(t)
	assert.Assert(t, !h.scheduler.RunsRecorded(), "the run has no record")
	next := h.nextTerm()
	assert.Assert(t, !next.scheduler.RunsRecorded(), "a worker may have the run")
	for _, id := range []string{"w1", "w2", "w3"} {
		if id != holder.info.ID {
			next.addWorker(id, "r1", 1)
		}
	}
	next.report(next.observeSilent(holder.info), HeartbeatReport{Clock: 1000, Running: []RunReport{{Task: task, Run: run, Percent: 10}}})
	assert.Assert(t, !next.scheduler.RunsRecorded(), "the record of the run that was found is not durable")
	next.settle()
	assert.Assert(t, next.scheduler.RunsRecorded())

	h, _, _, _ = inOutage(t)
	h.runs.flush()
	assert.Assert(t, h.scheduler.RunsRecorded(), "the log takes records again")
}
