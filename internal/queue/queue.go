// Package queue keeps the waiting jobs of a data centre in the order in which they should start.
//
// Guaranteed jobs come first, then the more urgent ones, then those of customers that are behind their weighted share of
// the service, then those with the least service of their own. That combines the attained run time, which is certain,
// with the declared one, which may be off by 10 times either way. Every job has a start key: the time of its submission plus a bounded
// delay for its service. Newer jobs get later keys, so that waiting alone moves a job to the front of its customer's
// (aging), and no job starves among those of the same urgency. The idea of ordering by attained service is from Tiresias (Gu et al., NSDI 2019).
package queue

import (
	"math"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Policy sets the order and the bounds of a queue.
type Policy struct {
	MaxJobs      int // bound on the waiting jobs, requeued ones excepted
	Accelerators int // of the data centre; converts the service of customers to time
	Customers    map[structs.Customer]Share
}

// Share is what a customer may use beyond its guarantees.
type Share struct {
	Weight float64 // at least 0; 0 counts as 1
	Quota  int     // most accelerators at once, borrowed included; 0 means no bound
}

// Entry is a waiting job.
type Entry struct {
	Job        structs.Job
	Attained   time.Duration // run time of earlier attempts that is kept
	Guaranteed bool          // its customer holds a guarantee that could serve it
}

const (
	// declaredDelay bounds the delay for a declared run time. It is short since declared run times are unreliable.
	declaredDelay = 2 * time.Hour
	// attainedDelay bounds the delay for attained service.
	attainedDelay = 4 * time.Hour
	// serviceHalfLife is the time in which the service that a customer received counts half.
	serviceHalfLife = 6 * time.Hour
	// shortestTurn is the time that a started job runs before another of its urgency may overtake it.
	shortestTurn = 10 * time.Minute
	// attainedStretch is the delay per attained run time.
	attainedStretch = 2
)

// Queue holds waiting jobs. Pushing, removing and reordering a job cost the logarithm of the number of its customer's
// jobs. It is not safe for concurrent use: the scheduler's decision loop owns it.
type Queue struct {
	policy    Policy
	items     map[structs.JobID]*item
	customers map[structs.Customer]*account
	decayed   time.Time // when the services of customers were last decayed
}

// account is the state of a customer with waiting jobs or recent service.
type account struct {
	name    structs.Customer
	share   Share
	service float64 // accelerator-seconds received, decayed, divided by the weight
	lanes   [lanes]lane
}

// Lanes of a customer.
const (
	laneGuaranteed = iota
	laneOther
	lanes
)

// New returns an empty queue.
func New(policy Policy) *Queue {
	q := &Queue{items: map[structs.JobID]*item{}, customers: map[structs.Customer]*account{}}
	q.SetPolicy(policy)
	return q
}

// SetPolicy replaces the policy; waiting jobs stay, also beyond the bound.
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

// Push adds a new job, or changes a waiting one. Job ids must be unique over customers. The error has kind Overloaded
// when the queue is full and CannotRun when the job exceeds its customer's quota by itself.
func (q *Queue) Push(e Entry) error {
	known := q.items[e.Job.ID] != nil
	if !known && q.policy.MaxJobs > 0 && len(q.items) >= q.policy.MaxJobs {
		return errkind.New(errkind.Overloaded, "submit it again later or cancel other jobs",
			"%d jobs wait already, which is the limit", len(q.items))
	}
	quota := q.policy.Customers[e.Job.Customer].Quota
	if quota > 0 && e.Job.Accelerators > quota {
		return errkind.New(errkind.CannotRun, "ask for fewer accelerators or a larger quota",
			"job %q needs %d accelerators, the quota of customer %q is %d",
			e.Job.ID, e.Job.Accelerators, e.Job.Customer, quota)
	}
	q.Requeue(e)
	return nil
}

// Requeue adds or changes a job that was accepted before, for example one that was preempted. It is never refused.
func (q *Queue) Requeue(e Entry) {
	q.Remove(e.Job.ID)
	a := q.account(e.Job.Customer)
	it := &item{entry: e, key: startKey(e), account: a, lane: laneOther}
	if e.Guaranteed {
		it.lane = laneGuaranteed
	}
	a.lanes[it.lane].push(it)
	q.items[e.Job.ID] = it
}

// Remove takes a job out and reports whether it was waiting.
func (q *Queue) Remove(id structs.JobID) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	delete(q.items, id)
	it.account.lanes[it.lane].remove(it)
	q.forgetIfIdle(it.account)
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

// negligible is the service in accelerator-seconds that no longer matters for the order.
const negligible = 1

func (q *Queue) forgetIfIdle(a *account) {
	if a.service < negligible && a.waiting() == 0 {
		delete(q.customers, a.name)
	}
}

func (a *account) waiting() int { return len(a.lanes[laneGuaranteed]) + len(a.lanes[laneOther]) }

func (q *Queue) decay(now time.Time) {
	elapsed := now.Sub(q.decayed)
	if q.decayed.IsZero() || elapsed <= 0 {
		q.decayed = now
		return
	}
	if elapsed < time.Second {
		return
	}
	q.decayed = now
	factor := math.Exp2(-float64(elapsed) / float64(serviceHalfLife))
	for _, a := range q.customers {
		a.service *= factor
		q.forgetIfIdle(a)
	}
}

// startKey is the time from which a job precedes newly submitted ones.
func startKey(e Entry) time.Time {
	declared := min(declaredDelay, e.Job.RunTime)
	attained := min(attainedDelay, attainedStretch*e.Attained)
	return e.Job.SubmittedAt.Add(max(declared, attained))
}
