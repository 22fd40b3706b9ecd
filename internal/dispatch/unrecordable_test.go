package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// limitedLedger fails puts of records that are too large, as a writer does.
type limitedLedger struct {
	*memoryLedger
	limit int
}

func (l limitedLedger) Put(done func(error), records ...ledger.Record) {
	for _, r := range records {
		if size := len(r.Key) + len(r.Value); size > l.limit {
			l.memoryLedger.Put(func(error) { done(&ledger.RecordSizeError{Key: r.Key, Size: size, Limit: l.limit}) })
			return
		}
	}
	l.memoryLedger.Put(done, records...)
}

// Guards against a gang whose run has a record that is too large for the log: it held its workers for good without being started.
func TestJobWhoseRunCannotBeRecordedFails(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.scheduler.config.Runs = limitedLedger{h.runs, 100}
	w := h.addWorker("w1", "r1", 8)
	step := stepOf(8)
	step.Gang = true
	j := singleStepJob(1, step)
	h.submit(j)
	h.pass()
	assert.Equal(t, h.state(j.ID), ledger.Failed)
	assert.Equal(t, len(h.runsOn(w)), 0)
	assert.Equal(t, h.fleet.started(), 0)
}

// Guards against a checkpoint so long that the log does not take the record of its run.
func TestLongCheckpointsAreNotRecorded(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	h.submit(singleStepJob(1, stepOf(1)))
	u := h.scheduler.unfinished[0].newOccurrence(0).steps[0].units[0]
	u.checkpoint = string(make([]byte, maxRecordedCheckpoint+1))
	assert.Assert(t, len(u.record().Value) < 100)
	u.checkpoint = u.checkpoint[1:]
	assert.Assert(t, len(u.record().Value) > maxRecordedCheckpoint)
}
