package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Timings of the scheduler.
const (
	planPause   = 10 * time.Millisecond  // least time between two passes, so that many changes are taken at once
	tickPeriod  = 100 * time.Millisecond // for what becomes due without an event
	forgetSlack = 30 * time.Second       // a job's records are kept this long beyond the bound for answering for it
)

// Bounds are the platform's figures that the scheduler must keep to.
type Bounds struct {
	Lease           time.Duration // longest lease of a task
	StatusRetention time.Duration // for which an ended job's state is told
}

// Term is the term on whose behalf orders are given.
type Term interface {
	Authority() bool
	Lose(cause error)
}

// Ledger takes records that must outlive the term. done is called when they are durable, or with the reason why not.
type Ledger interface {
	Put(done func(error), records ...ledger.Record)
}

// Config of a scheduler.
type Config struct {
	Fleet             Fleet
	Advisor           Advisor // nil if there is none
	Jobs              Ledger  // of ledger.JobsTopic
	Runs              Ledger  // of ledger.RunsTopic
	Term              Term
	Token             int64 // fencing token of the term
	Catalog           *catalog.Current
	Bounds            Bounds
	Events            *event.Log
	Metrics           tally.Scope
	Now               func() time.Time // wall clock, for times that customers give
	PreviousAuthority time.Duration    // for how long the holder of the term before may still renew leases
}

// Scheduler holds the jobs and workers of one term. It is safe for concurrent use.
type Scheduler struct {
	c      Config
	meters meters
	ctx    context.Context
	begun  time.Time
	kick   chan struct{}

	mu       sync.Mutex
	loading  bool // the records of the terms before are being taken over
	jobs     map[string]*job
	live     []*job // in order of arrival, ended ones are removed by the passes
	workers  map[string]*worker
	queues   map[string]*runTimes
	surveyed time.Time        // when the log last told what waits
	loads    map[string]int64 // accelerators that each customer's unfinished urgent jobs need
}

// New returns a scheduler without jobs and workers.
func New(c Config) *Scheduler {
	return &Scheduler{
		c: c, meters: newMeters(c.Metrics), begun: time.Now(), kick: make(chan struct{}, 1),
		jobs: map[string]*job{}, workers: map[string]*worker{}, queues: map[string]*runTimes{}, loads: map[string]int64{},
		ctx: context.Background(), loading: true,
	}
}

// Run makes decisions until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	for _, w := range s.workers {
		s.attend(w)
	}
	s.mu.Unlock()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		case <-ticker.C:
			s.mu.Lock()
			s.tick(time.Now())
			s.mu.Unlock()
		}
		s.mu.Lock()
		s.pass(time.Now())
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(planPause):
		}
	}
}

// changed asks for another pass.
func (s *Scheduler) changed() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// tick does what no event triggers.
func (s *Scheduler) tick(now time.Time) {
	for _, w := range s.workers {
		s.expire(w, now)
		s.supervise(w, now)
	}
	s.forget(now)
	s.c.Metrics.Gauge("dispatch_workers").Update(float64(len(s.workers)))
	s.c.Metrics.Gauge("dispatch_jobs").Update(float64(len(s.live)))
}

// forget drops jobs whose state need no longer be told.
func (s *Scheduler) forget(now time.Time) {
	for id, j := range s.jobs {
		s.dropUnits(j)
		if j.endedAt.IsZero() || now.Sub(j.endedAt) < s.c.Bounds.StatusRetention+forgetSlack {
			continue
		}
		delete(s.jobs, id)
		s.c.Jobs.Put(nil, ledger.RemovalRecords(id)...)
	}
}

// Load folds one entry of the jobs topic. Entries may be repeated.
func (s *Scheduler) Load(e ledger.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case e.Submission != nil:
		s.accept(e.Submission)
	case e.Cancellation != nil:
		s.cancel(e.ID)
	case e.Outcome != nil:
		s.adopt(e.ID, *e.Outcome)
	}
	s.changed()
}

// accept adds a job.
func (s *Scheduler) accept(spec *workload.Job) {
	j := s.jobs[spec.ID]
	if j == nil {
		j = &job{}
		s.jobs[spec.ID] = j
	}
	if j.spec != nil {
		return
	}
	j.spec, j.terms = spec, spec.Terms
	j.occurrences = make([]*occurrence, spec.Occurrences())
	s.refreshQueue(j)
	s.live = append(s.live, j)
	if j.ended() {
		if !j.state.Final() && !s.loading {
			s.endCancelled(j)
		}
		return
	}
	s.countLoad(j, 1)
	s.c.Events.Emit(eventAdmitted, event.F("job", spec.ID), event.F("customer", spec.Customer), event.F("queue", spec.Queue), event.F("steps", len(spec.Steps)), event.F("chain_ms", spec.CriticalPath().Milliseconds()))
}

// refreshQueue copies the queue's parameters in force. A queue that was removed keeps its last ones.
func (s *Scheduler) refreshQueue(j *job) {
	if c := s.c.Catalog.Get(); c != nil && j.spec != nil {
		if q := c.Queue(j.spec.Queue); q != nil {
			j.terms = q.Terms
		}
	}
}

// adopt takes over what an earlier term recorded of a job.
func (s *Scheduler) adopt(id string, o ledger.Outcome) {
	j := s.jobs[id]
	if j == nil {
		j = &job{}
		s.jobs[id] = j
	}
	if j.state.Final() {
		return
	}
	if o.State.Final() {
		if j.spec != nil && !j.ended() {
			s.countLoad(j, -1)
		}
		j.endedAt, j.recorded = time.Now(), true
	}
	j.state = o.State
}

// cancel ends a job at its customer's request.
func (s *Scheduler) cancel(id string) {
	j := s.jobs[id]
	if j == nil {
		j = &job{}
		s.jobs[id] = j
	}
	if j.cancelled || j.state.Final() {
		return
	}
	j.cancelled = true
	if j.spec == nil {
		return
	}
	s.countLoad(j, -1)
	if !s.loading { // while loading, the job's outcome may follow
		s.endCancelled(j)
	}
}

func (s *Scheduler) endCancelled(j *job) {
	s.conclude(j, ledger.Cancelled, "cancelled by the customer")
	s.stopAll(j, "cancelled")
}

// conclude records a job's final state.
func (s *Scheduler) conclude(j *job, state ledger.State, reason string) {
	if j.state.Final() {
		return
	}
	j.state = state
	j.endedAt = time.Now()
	s.c.Jobs.Put(func(err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		j.recorded = err == nil
	}, ledger.OutcomeRecord(j.spec.ID, ledger.Outcome{State: state, Reason: reason, Time: s.c.Now()}))
	s.meters.job(j, state, s.c.Now().Sub(j.spec.Submitted))
	s.c.Events.Emit(eventConcluded, event.F("job", j.spec.ID), event.F("state", state), event.F("reason", reason), event.F("age_ms", s.c.Now().Sub(j.spec.Submitted).Milliseconds()))
}

// stopAll ends all that runs of a job.
func (s *Scheduler) stopAll(j *job, reason string) {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			for _, u := range st.units {
				s.stopUnit(u, reason)
			}
		}
	}
}

// ended reports whether nothing of the job may start any more.
func (j *job) ended() bool { return j.cancelled || j.state.Final() }

// demand returns the most accelerators that one step of the job needs at a time.
func (j *job) demand() int64 {
	most := int64(0)
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		most = max(most, st.Resources.Accelerators*int64(st.Count))
	}
	return most
}

// countLoad keeps the accelerators that each customer's unfinished urgent jobs need.
func (s *Scheduler) countLoad(j *job, by int64) {
	if j.terms.Priority == 0 {
		s.loads[j.spec.Customer] += by * j.demand()
	}
}
