package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Guards against states and counts that depend on how often or in which order the newest records are read. Records are read
// again after the log has dropped history.
func TestJobIndexIsUnaffectedByRepeatedRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		job := &workload.Job{ID: "1", Customer: "club", Queue: "plans"}
		entries := []Entry{
			{ID: "1", Submission: job},
			{ID: "1", Cancellation: &Cancellation{}},
			{ID: "1", Outcome: &Outcome{State: Completed}},
		}
		index := NewJobIndex()
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, 2), 0, 8).Draw(rt, "repeated") {
			index.Apply(entries[i])
		}
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(rt, "order") {
			index.Apply(entries[i])
		}
		view, known := index.Find("1")
		assert.Assert(rt, known)
		assert.Equal(rt, view.State, Completed)
		assert.Equal(rt, index.Pending("plans"), 0)
	})
}

// Guards against a job that is reported before its submission is known, and against counts that include jobs that have started.
func TestJobIndexCountsAcceptedJobsThatHaveNotStarted(t *testing.T) {
	index := NewJobIndex()
	index.Apply(Entry{ID: "1", Outcome: &Outcome{State: Running}})
	_, known := index.Find("1")
	assert.Assert(t, !known)
	for _, id := range []string{"1", "2", "3"} {
		index.Apply(Entry{ID: id, Submission: &workload.Job{ID: id, Queue: "plans"}})
	}
	assert.Equal(t, index.Pending("plans"), 2)
	index.Apply(Entry{ID: "2", Cancellation: &Cancellation{}})
	assert.Equal(t, index.Pending("plans"), 1)
	index.Apply(Entry{ID: "3"})
	assert.Equal(t, index.Pending("plans"), 0)
}

// Guards against a reader that fails on records of another version or program instead of returning an error.
func TestRecordsRoundTripAndUnreadableOnesAreErrors(t *testing.T) {
	job := &workload.Job{ID: "00ff", Customer: "club", Steps: []workload.Step{{Count: 1}, {Count: 2, Gang: true, After: []int{0}}}, QueueSettings: workload.QueueSettings{Stretch: 1.5}}
	e, err := DecodeEntry(SubmissionRecord(job))
	assert.NilError(t, err)
	assert.DeepEqual(t, e.Submission.Steps, job.Steps)
	assert.DeepEqual(t, e.Submission.QueueSettings, job.QueueSettings)
	name := UnitName{Job: "00ff", Step: 1, Index: -1}
	got, unit, err := DecodeUnit(UnitRecord(name, Unit{State: UnitActive, Run: 3, Workers: []string{"a"}}))
	assert.NilError(t, err)
	assert.Equal(t, got, name)
	assert.Equal(t, unit.Run, 3)
	for _, r := range []Record{{Key: "", Value: []byte("x")}, {Key: "j1", Value: []byte("\xff")}, {Key: "x1", Value: []byte("x")}} {
		_, err := DecodeEntry(r)
		assert.Assert(t, err != nil, "%q", r.Key)
	}
	for _, steps := range [][]workload.Step{nil, {{Count: 1, After: []int{1}}, {Count: 1}}, {{Count: 1}, {Count: 1, After: []int{7}}}, {{Count: 1}, {Count: 1, After: []int{-1}}}, {{Count: -1}}} {
		_, err := DecodeEntry(SubmissionRecord(&workload.Job{ID: "00ff", Steps: steps}))
		assert.Assert(t, err != nil, "%v would end each process that reads it", steps)
	}
	_, err = DecodeEntry(CancellationRecord("1", Cancellation{Time: time.Now()}))
	assert.NilError(t, err)
}
