package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// cancelUnknown passes on a customer's cancellation of a job whose submission was not in the log.
func (h *harness) cancelUnknown(customer, id string) {
	e := ledger.Entry{ID: id, Cancellation: &ledger.Cancellation{Time: time.Now(), Unverified: true, Customer: customer}}
	h.entries = append(h.entries, e)
	h.scheduler.Load(e)
}

// Guards against tasks that start although their job was cancelled before the log carried out its submission, also after a change of the
// scheduler, and against a customer who cancels jobs of others in this way.
func TestJobCancelledBeforeItsSubmissionDoesNotRun(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.addWorker("w1", "r1", 8)
	own, foreign := singleStepJob(1, stepOf(1)), singleStepJob(2, stepOf(1))
	h.cancelUnknown("guest", own.ID)
	h.cancelUnknown("club", own.ID)
	h.cancelUnknown("guest", foreign.ID)
	h.submit(own)
	h.submit(foreign)
	h.pass()
	awaitStarts(t, h.fleet, 1)
	assert.Equal(t, h.fleet.starts[0].Task.Job, foreign.ID)
	assert.Equal(t, h.state(own.ID), ledger.Cancelled)

	next := h.nextTerm()
	next.addWorker("w1", "r1", 8)
	next.pass()
	assert.Equal(t, next.state(own.ID), ledger.Cancelled)
	assert.Assert(t, !next.state(foreign.ID).Final())
}

// Guards against records of cancelled ids that stay in the log for good, and against their removal taking a submission along that was
// appended at the same time.
func TestCancellationsOfJobsThatNeverCameAreRemoved(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	const id = "00000000000000ee"
	h.cancelUnknown("club", id)
	h.tickAt(time.Now().Add(time.Minute))
	assert.Equal(t, len(h.jobs.waiting), 0)
	h.tickAt(time.Now().Add(time.Minute + retentionSlack + time.Second))
	assert.Equal(t, len(h.jobs.waiting), 1)
	assert.DeepEqual(t, h.jobs.waiting[0].records, []ledger.Record{ledger.CancellationRemoval(id)})

	index := ledger.NewJobIndex()
	job := singleStepJob(1, stepOf(1))
	index.Apply(ledger.Entry{ID: job.ID, Cancellation: &ledger.Cancellation{Unverified: true, Customer: "club"}})
	index.Apply(ledger.Entry{ID: job.ID, Submission: job})
	removal, err := ledger.DecodeEntry(ledger.CancellationRemoval(job.ID))
	assert.NilError(t, err)
	index.Apply(removal)
	_, known := index.Find(job.ID)
	assert.Assert(t, known)
}
