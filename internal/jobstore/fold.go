package jobstore

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/configuration/stream"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of what a fold keeps. They are part of the fold: all readers use the same ones.
const (
	// finalKept is how long a final job is remembered, so that a submission repeated within it does not run again. At
	// 24,000 jobs a day this is 6,000 jobs.
	finalKept = 6 * time.Hour
	// maxFinal bounds the remembered final jobs in a burst of short ones.
	maxFinal = 65536
	// changesKept is how many changes a subscriber may fall behind before it must read all jobs again.
	changesKept = 8192
	// minOrder keeps short lists from being cleaned at every submission.
	minOrder = 1024
)

const kindBatch = "batch"

type opKind string

const (
	opSubmit opKind = "submit"
	opCancel opKind = "cancel"
	opFinish opKind = "finish"
)

// op is one change. Several travel in one record.
type op struct {
	Kind   opKind       `msgpack:"kind"`
	Ref    Ref          `msgpack:"ref"`
	Job    *structs.Job `msgpack:"job,omitempty"`
	Result *Result      `msgpack:"result,omitempty"`
}

type batch struct {
	Ops []op `msgpack:"ops"`
}

// Ref names a job. An id is unique per customer.
type Ref struct {
	Customer structs.Customer `json:"customer" msgpack:"customer"`
	ID       structs.JobID    `json:"id" msgpack:"id"`
}

// RefOf returns the name of a job.
func RefOf(job structs.Job) Ref { return Ref{Customer: job.Customer, ID: job.ID} }

// Result is how a job ended.
type Result struct {
	State    structs.JobState `json:"state" msgpack:"state"` // a final one
	Message  string           `json:"message,omitempty" msgpack:"message,omitempty"`
	Attempts uint64           `json:"attempts,omitempty" msgpack:"attempts,omitempty"`
	EndedAt  time.Time        `json:"ended_at" msgpack:"ended_at"`
}

// Entry is a job with its result, nil while it has not ended. It is read-only.
type Entry struct {
	Job    structs.Job `json:"job" msgpack:"job"`
	Result *Result     `json:"result,omitempty" msgpack:"result,omitempty"`
	Offset uint64      `json:"offset" msgpack:"offset"` // of the submit record
}

// Final reports whether the job has ended.
func (e Entry) Final() bool { return e.Result != nil }

// finalMark remembers when a job's final record was taken by the log.
type finalMark struct {
	Ref Ref       `msgpack:"ref"`
	At  time.Time `msgpack:"at"`
}

// orderMark names one submission of an id. The id can be submitted again after its final job has been forgotten.
type orderMark struct {
	ref    Ref
	offset uint64
}

type state struct {
	Jobs   []Entry     `msgpack:"jobs"`   // by offset, then by customer and id
	Finals []finalMark `msgpack:"finals"` // in the order of their records
}

// fold builds the jobs of one data centre. Invariant: a job's first submit and first final record win.
type fold struct {
	mu       sync.RWMutex
	jobs     map[Ref]Entry
	finals   []finalMark
	waiting  int         // jobs that have not ended
	order    []orderMark // jobs that have not ended, in order of acceptance, among others that have
	sequence uint64      // number of changes so far in this process
	changes  []Ref       // the latest changes, the last one is number sequence
	changed  chan struct{}
}

func newFold() *fold {
	return &fold{jobs: map[Ref]Entry{}, changed: make(chan struct{})}
}

// Apply folds a batch record.
func (f *fold) Apply(record stream.Record) {
	var b batch
	if record.Kind != kindBatch || record.Decode(&b) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropOld(record.Time)
	for _, o := range b.Ops {
		f.applyOp(o, record)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fold) applyOp(o op, record stream.Record) {
	entry, known := f.jobs[o.Ref]
	switch {
	case o.Kind == opSubmit && !known && o.Job != nil:
		f.jobs[o.Ref] = Entry{Job: *o.Job, Offset: record.Offset}
		f.addOpen(o.Ref, record.Offset)
	case o.Kind == opCancel && known && !entry.Final():
		f.end(entry, o.Ref, Result{State: structs.JobCancelled, EndedAt: record.Time}, record.Time)
	case o.Kind == opFinish && known && !entry.Final() && o.Result != nil:
		f.end(entry, o.Ref, *o.Result, record.Time)
	default:
		return
	}
	f.noteChange(o.Ref)
}

// addOpen notes a job that has not ended. Marks of ended jobs are removed when they are the majority, so that Open needs
// neither a search nor a sort of all jobs.
func (f *fold) addOpen(ref Ref, offset uint64) {
	f.waiting++
	f.order = append(f.order, orderMark{ref: ref, offset: offset})
	if len(f.order) > 2*f.waiting+minOrder {
		f.order = slices.DeleteFunc(f.order, func(m orderMark) bool { return !f.isOpen(m) })
	}
}

func (f *fold) isOpen(m orderMark) bool {
	entry, known := f.jobs[m.ref]
	return known && entry.Offset == m.offset && !entry.Final()
}

func (f *fold) end(entry Entry, ref Ref, result Result, at time.Time) {
	entry.Result = &result
	f.jobs[ref] = entry
	f.waiting--
	f.finals = append(f.finals, finalMark{Ref: ref, At: at})
}

// dropOld forgets final jobs by the log's time, so that all readers forget the same ones at the same record.
func (f *fold) dropOld(now time.Time) {
	dropped := 0
	for dropped < len(f.finals) && (now.Sub(f.finals[dropped].At) > finalKept || len(f.finals)-dropped > maxFinal) {
		delete(f.jobs, f.finals[dropped].Ref)
		dropped++
	}
	f.finals = f.finals[dropped:]
}

func (f *fold) noteChange(ref Ref) {
	f.sequence++
	f.changes = append(f.changes, ref)
	if len(f.changes) > 2*changesKept {
		f.changes = slices.Clone(f.changes[len(f.changes)-changesKept:])
	}
}

// State returns the encoded state.
func (f *fold) State() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	jobs := slices.SortedFunc(maps.Values(f.jobs), compareEntries)
	return msgpack.Marshal(&state{Jobs: jobs, Finals: f.finals})
}

// Restore replaces the state. The jobs of a data centre have no version; the reader only ever moves to a later offset.
func (f *fold) Restore(data []byte) error {
	var restored state
	if err := msgpack.Unmarshal(data, &restored); err != nil {
		return err
	}
	jobs := make(map[Ref]Entry, len(restored.Jobs))
	for _, entry := range restored.Jobs {
		jobs[RefOf(entry.Job)] = entry
	}
	if len(jobs) != len(restored.Jobs) {
		return errors.New("the snapshot has a job twice")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs, f.finals, f.waiting, f.order = jobs, restored.Finals, 0, nil
	for _, entry := range restored.Jobs {
		if !entry.Final() {
			f.addOpen(RefOf(entry.Job), entry.Offset)
		}
	}
	f.sequence += changesKept + 1 // every subscriber reads all jobs again
	f.changes = nil
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

func (f *fold) get(ref Ref) (Entry, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	entry, found := f.jobs[ref]
	return entry, found
}

func (f *fold) open() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.waiting
}

// openJobs returns the jobs that have not ended, in order of acceptance, and the number of the last change.
func (f *fold) openJobs() ([]Entry, uint64) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	open := make([]Entry, 0, f.waiting)
	for _, m := range f.order {
		if entry, known := f.jobs[m.ref]; known && entry.Offset == m.offset && !entry.Final() {
			open = append(open, entry)
		}
	}
	return open, f.sequence
}

// since returns the jobs that changed after a sequence number, each once. complete is false when the number is too old.
func (f *fold) since(sequence uint64) (changed []Entry, now uint64, complete bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	behind := f.sequence - sequence
	if sequence > f.sequence || behind > uint64(len(f.changes)) {
		return nil, f.sequence, false
	}
	seen := make(map[Ref]bool, behind)
	for _, ref := range f.changes[len(f.changes)-int(behind):] {
		entry, kept := f.jobs[ref]
		if kept && !seen[ref] {
			seen[ref] = true
			changed = append(changed, entry)
		}
	}
	return changed, f.sequence, true
}
