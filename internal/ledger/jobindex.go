package ledger

import "sync"

// JobIndex is an entry instance's view of all jobs. It holds what is needed to report their states, but not the bodies of the
// submissions.
type JobIndex struct {
	Freshness

	mu      sync.RWMutex
	jobs    map[string]*indexedJob
	pending map[string]int // number of jobs that have not started, by queue
}

type indexedJob struct {
	customer, queue string
	submitted       bool
	cancellations   Cancellations
	state           State
}

// JobView is what the index knows about a job.
type JobView struct {
	Customer, Queue string
	State           State
}

// NewJobIndex returns an empty index.
func NewJobIndex() *JobIndex {
	return &JobIndex{jobs: map[string]*indexedJob{}, pending: map[string]int{}}
}

// Apply adds one entry to the index. Entries may be repeated.
func (x *JobIndex) Apply(e Entry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	j := x.jobs[e.ID]
	if j == nil {
		j = &indexedJob{}
		x.jobs[e.ID] = j
	}
	x.adjustPending(j, -1)
	switch {
	case e.Submission != nil:
		j.submitted, j.customer, j.queue = true, e.Submission.Customer, e.Submission.Queue
	case e.Cancellation != nil:
		j.cancellations = j.cancellations.Add(*e.Cancellation)
	case e.Outcome != nil:
		if !j.state.Final() {
			j.state = e.Outcome.State
		}
	case e.CancellationRemoved && j.submitted:
		j.cancellations = nil
	default:
		delete(x.jobs, e.ID)
		return
	}
	x.adjustPending(j, 1)
}

func (j *indexedJob) cancelled() bool { return j.cancellations.Cover(j.customer) }

// adjustPending adds delta to the pending count of j's queue if j has not started.
func (x *JobIndex) adjustPending(j *indexedJob, delta int) {
	if j.submitted && !j.cancelled() && j.state == Queued {
		x.pending[j.queue] += delta
	}
}

// Find returns a job that was submitted.
func (x *JobIndex) Find(id string) (JobView, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	j := x.jobs[id]
	if j == nil || !j.submitted {
		return JobView{}, false
	}
	state := j.state
	if j.cancelled() && !state.Final() {
		state = Cancelled
	}
	return JobView{j.customer, j.queue, state}, true
}

// Cancelled reports whether the index has a cancellation of an id that would hold for a job of the customer, be it known or not.
func (x *JobIndex) Cancelled(id, customer string) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	j := x.jobs[id]
	return j != nil && j.cancellations.Cover(customer)
}

// Pending returns the number of jobs of a queue that have not started.
func (x *JobIndex) Pending(queue string) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.pending[queue]
}
