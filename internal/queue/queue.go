// Package queue keeps the waiting jobs of a data centre in the order in which they should start.
//
// Guaranteed jobs come first, then the more urgent ones, then those of customers that are behind their weighted share of
// the service, then those with the earliest start key.
//
// The start key of a job is the time of its submission plus a bounded delay, which grows with its run time: the attained
// one, which is certain, or the declared one, which may be wrong by a factor of 10 in either direction. Newer jobs get
// later keys, so waiting alone moves a job to the front of its customer's jobs (aging), and no job starves among those of
// the same urgency. Ordering by attained service follows Tiresias (Gu et al., NSDI 2019).
package queue

import (
	"math"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Policy sets the order and the bounds of a queue.
type Policy struct {
	MaxJobs      int // bound on the waiting jobs that Push enforces and Requeue ignores; 0 means no bound
	Accelerators int // accelerators of the data centre, which convert the service of customers to time
	Customers    map[structs.Customer]Share
}

// Share is what a customer may use beyond its guarantees.
type Share struct {
	Weight float64 // weight of the customer's share, at least 0; 0 counts as 1
	Quota  int     // most accelerators in use at a time, including borrowed ones; 0 means no bound
}

// Entry is a waiting job.
type Entry struct {
	Job        structs.Job
	Attained   time.Duration // run time of earlier attempts that checkpoints keep
	Guaranteed bool          // the customer has a guarantee that is large enough for the job
}

const (
	// maxDeclaredDelay bounds the delay for the declared run time. It is short since declared run times are unreliable.
	maxDeclaredDelay = 2 * time.Hour
	// maxAttainedDelay bounds the delay for the attained run time.
	maxAttainedDelay = 4 * time.Hour
	// serviceHalfLife is the time after which the service that a customer received counts half.
	serviceHalfLife = 6 * time.Hour
	// minTimeSlice is the time that a started job runs before another job of the same urgency may overtake it.
	minTimeSlice = 10 * time.Minute
	// attainedDelayFactor is the ratio of the delay for the attained run time to that run time.
	attainedDelayFactor = 2
)

// Queue holds waiting jobs. Adding, removing or changing a job takes time logarithmic in the number of its customer's jobs.
// It is not safe for concurrent use: the scheduler's decision loop owns it.
type Queue struct {
	policy    Policy
	items     map[structs.JobID]*item
	customers map[structs.Customer]*account
	decayedAt time.Time // when the customers' service was last decayed
}

// account is the state of a customer with waiting jobs or recent service.
type account struct {
	name    structs.Customer
	share   Share
	service float64 // accelerator-seconds received, decayed, divided by the weight
	heaps   [classCount]jobHeap
}

// Classes of jobs. Each customer has a heap for each class.
const (
	classGuaranteed = iota
	classOther
	classCount
)

// New returns an empty queue.
func New(policy Policy) *Queue {
	q := &Queue{items: map[structs.JobID]*item{}, customers: map[structs.Customer]*account{}}
	q.SetPolicy(policy)
	return q
}

// SetPolicy replaces the policy. Waiting jobs stay, even when there are more than the new bound. The service that customers
// received is converted to their new weights.
func (q *Queue) SetPolicy(policy Policy) {
	q.policy = policy
	for name, a := range q.customers {
		before := a.share.weight()
		a.share = policy.Customers[name]
		a.service *= before / a.share.weight()
	}
}

func (s Share) weight() float64 {
	if s.Weight > 0 {
		return s.Weight
	}
	return 1
}

// Len is the number of waiting jobs.
func (q *Queue) Len() int { return len(q.items) }

// Push adds a new job or changes a waiting one. Job ids must be unique across customers. The error has kind Overloaded when
// the queue is full and CannotRun when the job alone exceeds its customer's quota.
func (q *Queue) Push(e Entry) error {
	known := q.items[e.Job.ID] != nil
	if !known && q.policy.MaxJobs > 0 && len(q.items) >= q.policy.MaxJobs {
		return errkind.New(errkind.Overloaded, "submit the job again later or cancel other jobs",
			"the queue is full: %d jobs are waiting, which is the limit", len(q.items))
	}
	quota := q.policy.Customers[e.Job.Customer].Quota
	if quota > 0 && e.Job.Accelerators > quota {
		return errkind.New(errkind.CannotRun, "request fewer accelerators or a larger quota",
			"job %q needs %d accelerators, but the quota of customer %q is %d",
			e.Job.ID, e.Job.Accelerators, e.Job.Customer, quota)
	}
	q.Requeue(e)
	return nil
}

// Requeue adds or changes a job that was accepted earlier, for example one that was preempted. It refuses no job.
func (q *Queue) Requeue(e Entry) {
	q.Remove(e.Job.ID)
	a := q.account(e.Job.Customer)
	it := &item{entry: e, key: startKey(e), account: a, class: classOther}
	if e.Guaranteed {
		it.class = classGuaranteed
	}
	a.heaps[it.class].push(it)
	q.items[e.Job.ID] = it
}

// Remove removes a job and reports whether it was waiting.
func (q *Queue) Remove(id structs.JobID) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	delete(q.items, id)
	it.account.heaps[it.class].remove(it)
	q.dropIfIdle(it.account)
	return true
}

// Get returns a waiting job.
func (q *Queue) Get(id structs.JobID) (Entry, bool) {
	if it := q.items[id]; it != nil {
		return it.entry, true
	}
	return Entry{}, false
}

// Charge records that a customer received accelerator-seconds of service beyond its guarantees.
func (q *Queue) Charge(customer structs.Customer, acceleratorSeconds float64) {
	a := q.account(customer)
	a.service += acceleratorSeconds / a.share.weight()
}

func (q *Queue) account(name structs.Customer) *account {
	if a := q.customers[name]; a != nil {
		return a
	}
	a := &account{name: name, share: q.policy.Customers[name]}
	q.customers[name] = a
	return a
}

// negligibleService is the service in accelerator-seconds below which a customer without waiting jobs is dropped, since it
// no longer matters for the order.
const negligibleService = 1

// dropIfIdle drops a customer without waiting jobs whose service is negligible.
func (q *Queue) dropIfIdle(a *account) {
	if a.service < negligibleService && a.waiting() == 0 {
		delete(q.customers, a.name)
	}
}

func (a *account) waiting() int { return len(a.heaps[classGuaranteed]) + len(a.heaps[classOther]) }

// decay lowers the service of all customers according to serviceHalfLife, at most once per second.
func (q *Queue) decay(now time.Time) {
	elapsed := now.Sub(q.decayedAt)
	if q.decayedAt.IsZero() || elapsed <= 0 {
		q.decayedAt = now
		return
	}
	if elapsed < time.Second {
		return
	}
	q.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(serviceHalfLife))
	for _, a := range q.customers {
		a.service *= factor
		q.dropIfIdle(a)
	}
}

// startKey is the submission time of the job plus the larger of its two bounded delays. From that time on the job precedes
// newly submitted ones of its customer and urgency.
func startKey(e Entry) time.Time {
	declared := min(maxDeclaredDelay, e.Job.RunTime)
	attained := min(maxAttainedDelay, attainedDelayFactor*e.Attained)
	return e.Job.SubmittedAt.Add(max(declared, attained))
}
