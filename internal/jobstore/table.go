package jobstore

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
	"dogwoodnotch.example/dogwoodnotch/internal/configuration/stream"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of a jobTable. finalRetention and maxFinalJobs decide which jobs are in the table, so all instances must use
// the same values.
const (
	// finalRetention is how long a job is kept after its end, so that a repeated submission does not run it again. At
	// 24,000 jobs a day this is 6,000 jobs.
	finalRetention = 6 * time.Hour
	// maxFinalJobs is the largest number of ended jobs that are kept. It bounds the memory in a burst of short jobs.
	maxFinalJobs = 65536
	// maxChangeLag is the number of changes that a subscriber may fall behind before it must read all jobs again.
	maxChangeLag = 8192
	// minSubmissions is the length up to which the list of submissions is never compacted, so that a short list is not
	// compacted at every submission.
	minSubmissions = 1024
)

const kindBatch = "batch"

type opKind string

const (
	opSubmit opKind = "submit"
	opCancel opKind = "cancel"
	opFinish opKind = "finish"
)

// op is one change of a job. A log record holds a batch of them.
type op struct {
	Kind   opKind       `msgpack:"kind"`
	Ref    Ref          `msgpack:"ref"`
	Job    *structs.Job `msgpack:"job,omitempty"`
	Result *Result      `msgpack:"result,omitempty"`
}

type batch struct {
	Ops []op `msgpack:"ops"`
}

// Ref identifies a job. Job ids are unique per customer only.
type Ref struct {
	Customer structs.Customer `json:"customer" msgpack:"customer"`
	ID       structs.JobID    `json:"id" msgpack:"id"`
}

// RefOf returns the Ref of a job.
func RefOf(job structs.Job) Ref { return Ref{Customer: job.Customer, ID: job.ID} }

// Result is how a job ended.
type Result struct {
	State    structs.JobState `json:"state" msgpack:"state"` // always a final state
	Message  string           `json:"message,omitempty" msgpack:"message,omitempty"`
	Attempts uint64           `json:"attempts,omitempty" msgpack:"attempts,omitempty"`
	EndedAt  time.Time        `json:"ended_at" msgpack:"ended_at"`
}

// Entry is a job in the store. Its Result is nil until the job has ended. Users must not change it.
type Entry struct {
	Job    structs.Job `json:"job" msgpack:"job"`
	Result *Result     `json:"result,omitempty" msgpack:"result,omitempty"`
	Offset uint64      `json:"offset" msgpack:"offset"` // log offset of the submission's record
}

// Final reports whether the job has ended.
func (e Entry) Final() bool { return e.Result != nil }

// finalJob is an ended job with the time of the log record that ended it.
type finalJob struct {
	Ref Ref       `msgpack:"ref"`
	At  time.Time `msgpack:"at"`
}

// submission identifies one submission by its job and log offset. The offset is needed because an id can be submitted
// again after its ended job was dropped.
type submission struct {
	ref    Ref
	offset uint64
}

// snapshot is the encoded state of a jobTable.
type snapshot struct {
	Jobs   []Entry    `msgpack:"jobs"`   // ordered by offset, then by customer and id
	Finals []finalJob `msgpack:"finals"` // in log order
}

// jobTable holds the jobs of one data centre. It is built by replaying the log stream. Invariant: of several
// submissions of a job, or several ends, the first in the log counts.
type jobTable struct {
	mu          sync.RWMutex
	jobs        map[Ref]Entry
	finals      []finalJob    // ended jobs in log order
	openCount   int           // number of jobs that have not ended
	submissions []submission  // all open jobs in order of acceptance, together with some that have ended
	sequence    uint64        // sequence number of the latest change, counted in this process
	changes     []Ref         // jobs of the latest changes; the last one has the number sequence
	changed     chan struct{} // closed and replaced at each change
}

func newJobTable() *jobTable {
	return &jobTable{jobs: map[Ref]Entry{}, changed: make(chan struct{})}
}

// Apply applies the changes of one log record. It ignores a record that is not a valid batch.
func (t *jobTable) Apply(record stream.Record) {
	var b batch
	if record.Kind != kindBatch || record.Decode(&b) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(record.Time)
	for _, o := range b.Ops {
		t.applyOp(o, record)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *jobTable) applyOp(o op, record stream.Record) {
	entry, known := t.jobs[o.Ref]
	switch {
	case o.Kind == opSubmit && !known && o.Job != nil:
		t.jobs[o.Ref] = Entry{Job: *o.Job, Offset: record.Offset}
		t.addSubmission(o.Ref, record.Offset)
	case o.Kind == opCancel && known && !entry.Final():
		t.endJob(entry, o.Ref, Result{State: structs.JobCancelled, EndedAt: record.Time}, record.Time)
	case o.Kind == opFinish && known && !entry.Final() && o.Result != nil:
		t.endJob(entry, o.Ref, *o.Result, record.Time)
	default:
		return
	}
	t.recordChange(o.Ref)
}

// addSubmission adds an open job to the list that openJobs reads, which saves a search and a sort of all jobs there.
// When more than half of a long list are ended jobs, those are removed.
func (t *jobTable) addSubmission(ref Ref, offset uint64) {
	t.openCount++
	t.submissions = append(t.submissions, submission{ref: ref, offset: offset})
	if len(t.submissions) > 2*t.openCount+minSubmissions {
		t.submissions = slices.DeleteFunc(t.submissions, func(s submission) bool { return !t.isOpen(s) })
	}
}

func (t *jobTable) isOpen(s submission) bool {
	entry, known := t.jobs[s.ref]
	return known && entry.Offset == s.offset && !entry.Final()
}

func (t *jobTable) endJob(entry Entry, ref Ref, result Result, at time.Time) {
	entry.Result = &result
	t.jobs[ref] = entry
	t.openCount--
	t.finals = append(t.finals, finalJob{Ref: ref, At: at})
}

// dropExpired drops ended jobs beyond the retention time and number. now is the log record's time, so that all
// instances drop the same jobs at the same record.
func (t *jobTable) dropExpired(now time.Time) {
	dropped := 0
	for dropped < len(t.finals) && (now.Sub(t.finals[dropped].At) > finalRetention || len(t.finals)-dropped > maxFinalJobs) {
		delete(t.jobs, t.finals[dropped].Ref)
		dropped++
	}
	t.finals = t.finals[dropped:]
}

func (t *jobTable) recordChange(ref Ref) {
	t.sequence++
	t.changes = append(t.changes, ref)
	if len(t.changes) > 2*maxChangeLag {
		t.changes = slices.Clone(t.changes[len(t.changes)-maxChangeLag:])
	}
}

// State returns the table as an encoded snapshot.
func (t *jobTable) State() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	jobs := slices.SortedFunc(maps.Values(t.jobs), compareEntries)
	return msgpack.Marshal(&snapshot{Jobs: jobs, Finals: t.finals})
}

// Restore replaces the table's content by an encoded snapshot. The snapshot carries no version: the stream reader must
// ensure that it belongs to a later log offset than the present content.
func (t *jobTable) Restore(data []byte) error {
	var restored snapshot
	if err := codec.Unmarshal(data, &restored); err != nil {
		return err
	}
	jobs := make(map[Ref]Entry, len(restored.Jobs))
	for _, entry := range restored.Jobs {
		jobs[RefOf(entry.Job)] = entry
	}
	if len(jobs) != len(restored.Jobs) {
		return errors.New("the snapshot contains a job twice")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs, t.finals, t.openCount, t.submissions = jobs, restored.Finals, 0, nil
	for _, entry := range restored.Jobs {
		if !entry.Final() {
			t.addSubmission(RefOf(entry.Job), entry.Offset)
		}
	}
	t.sequence += maxChangeLag + 1 // makes every subscriber read all jobs again
	t.changes = nil
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

func (t *jobTable) get(ref Ref) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entry, found := t.jobs[ref]
	return entry, found
}

func (t *jobTable) countOpen() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.openCount
}

// openJobs returns the jobs that have not ended, in order of acceptance, and the sequence number of the latest change.
func (t *jobTable) openJobs() ([]Entry, uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	open := make([]Entry, 0, t.openCount)
	for _, s := range t.submissions {
		if entry, known := t.jobs[s.ref]; known && entry.Offset == s.offset && !entry.Final() {
			open = append(open, entry)
		}
	}
	return open, t.sequence
}

// since returns the jobs that changed after a sequence number, each once, and the current sequence number. complete is
// false if the changes since then are no longer kept.
func (t *jobTable) since(sequence uint64) (changed []Entry, now uint64, complete bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	behind := t.sequence - sequence
	if sequence > t.sequence || behind > uint64(len(t.changes)) {
		return nil, t.sequence, false
	}
	seen := make(map[Ref]bool, behind)
	for _, ref := range t.changes[len(t.changes)-int(behind):] {
		entry, kept := t.jobs[ref]
		if kept && !seen[ref] {
			seen[ref] = true
			changed = append(changed, entry)
		}
	}
	return changed, t.sequence, true
}
