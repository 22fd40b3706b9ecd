package ledger

import (
	"sync"
	"time"
)

// Board is an entry instance's view of all jobs: enough to answer for their states, without the submissions' bodies.
type Board struct {
	mu      sync.RWMutex
	jobs    map[string]*boardJob
	pending map[string]int // jobs of each queue that have not begun
	synced  time.Time      // when the view was last known to be complete
}

type boardJob struct {
	customer, queue string
	submitted       bool
	cancelled       bool
	state           State
}

// JobView is what a board knows of a job.
type JobView struct {
	Customer, Queue string
	State           State
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{jobs: map[string]*boardJob{}, pending: map[string]int{}}
}

// Apply folds one entry. Entries may be repeated.
func (b *Board) Apply(e Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[e.ID]
	if j == nil {
		j = &boardJob{}
		b.jobs[e.ID] = j
	}
	b.count(j, -1)
	switch {
	case e.Submission != nil:
		j.submitted, j.customer, j.queue = true, e.Submission.Customer, e.Submission.Queue
	case e.Cancellation != nil:
		j.cancelled = true
	case e.Outcome != nil:
		if !j.state.Final() {
			j.state = e.Outcome.State
		}
	default:
		delete(b.jobs, e.ID)
		return
	}
	b.count(j, 1)
}

// count keeps the number of jobs that have not begun.
func (b *Board) count(j *boardJob, by int) {
	if j.submitted && !j.cancelled && j.state == Queued {
		b.pending[j.queue] += by
	}
}

// Find returns a job that was submitted.
func (b *Board) Find(id string) (JobView, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	j := b.jobs[id]
	if j == nil || !j.submitted {
		return JobView{}, false
	}
	state := j.state
	if j.cancelled && !state.Final() {
		state = Cancelled
	}
	return JobView{j.customer, j.queue, state}, true
}

// Pending returns the number of a queue's jobs that have not begun.
func (b *Board) Pending(queue string) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.pending[queue]
}

// MarkSynced notes that the view was complete at a moment.
func (b *Board) MarkSynced(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.synced = at
}

// Age returns how long ago the view was last known to be complete.
func (b *Board) Age(now time.Time) time.Duration {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.synced.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(b.synced)
}
