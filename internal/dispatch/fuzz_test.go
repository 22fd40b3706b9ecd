package dispatch

import (
	"testing"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// FuzzLoad guards against a record in the log that ends each process that takes the term: it can be decoded, but loading it, placing
// its work or restoring its runs panics.
func FuzzLoad(f *testing.F) {
	step := stepOf(2)
	step.Gang = true
	job := singleStepJob(1, step)
	job.Steps = append(job.Steps, workload.Step{Count: 1, After: []int{0}})
	for _, r := range []ledger.Record{
		ledger.SubmissionRecord(job), ledger.CancellationRecord(job.ID, ledger.Cancellation{Time: time.UnixMilli(1)}),
		ledger.OutcomeRecord(job.ID, ledger.Outcome{State: ledger.Running}),
	} {
		f.Add(r.Key, r.Value, "", []byte(nil))
	}
	run := ledger.UnitRecord(ledger.UnitName{Job: job.ID, Index: -1}, ledger.Unit{State: ledger.UnitActive, Run: 1, Workers: []string{"w1", "w2"}, Addresses: []string{"a:1"}, Started: 1})
	submission := ledger.SubmissionRecord(job)
	f.Add(submission.Key, submission.Value, run.Key, run.Value)
	f.Fuzz(func(t *testing.T, jobKey string, jobValue []byte, runKey string, runValue []byte) {
		e, err := ledger.DecodeEntry(ledger.Record{Key: jobKey, Value: jobValue})
		if err != nil {
			return
		}
		if s := e.Submission; s != nil && len(s.Steps)*s.Steps[0].Count*s.Occurrences() > 10_000 {
			return // only takes long
		}
		jobs, runs := newMemoryLedger(), newMemoryLedger()
		runs.durable[runKey] = runValue
		h := newHarness(t, jobs, runs, e)
		h.addWorker("w1", "r1", 8)
		h.scheduler.Load(e)
		h.pass()
	})
}
