package dispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/forecast"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Timings of the scheduler's loop.
const (
	passInterval   = 10 * time.Millisecond   // least time between two passes, so that one pass handles many changes
	tickPeriod     = 100 * time.Millisecond  // interval of the checks that no event triggers, such as the expiry of leases
	maxTickDelay   = 1500 * time.Millisecond // the process was paused if no check was made for longer
	retentionSlack = 30 * time.Second        // an ended job is kept this long beyond Bounds.StatusRetention
)

// Bounds are limits set by the platform.
type Bounds struct {
	Lease           time.Duration // longest lease
	Stop            time.Duration // longest time that a worker takes to stop a run; 0 if not known
	StatusRetention time.Duration // how long the status of an ended job must be available
	Tasks           int           // number of tasks that are kept in memory; 0 for no limit
	Evacuation      time.Duration // from the acknowledgement of an evacuation until no task may start; 0: no limit on the age of the view
	Cancellation    time.Duration // from the acknowledgement of a cancellation until no task of the job may start; 0: no limit on the age of the view of jobs
	RecordBytes     int           // largest record that the log takes; 0 if not known
}

// Term is the leadership term on whose behalf the scheduler acts. Authority reports whether it may still act; LeaseAuthority returns how
// much longer leases of full length may be granted, and, if negative, by how much they must be shorter; Lose ends the term.
type Term interface {
	Authority() bool
	LeaseAuthority() time.Duration
	Lose(cause error)
}

// Ledger stores records that must outlive the term. It calls done, if not nil, when the records are durable or with the
// error that prevented it. Without records, it calls done when the outcome of all records put before is known.
type Ledger interface {
	Put(done func(error), records ...ledger.Record)
}

// Config holds a scheduler's dependencies and settings.
type Config struct {
	Fleet             Fleet
	Advisor           Advisor // nil if no advisor is configured
	Jobs              Ledger  // writes to ledger.JobsTopic
	Runs              Ledger  // writes to ledger.RunsTopic
	Term              Term
	Token             int64 // fencing token of the term, sent with each order
	Catalog           *catalog.Current
	Bounds            Bounds
	Events            *event.Log
	Metrics           tally.Scope
	Now               func() time.Time // wall clock, for times that customers give
	PreviousAuthority time.Duration    // how long leaders of earlier terms may still renew leases for their full length; negative if not any more
	// LeasesLeft says how long leases may last on workers that the previous leader granted none any more; zero or negative if they are over.
	LeasesLeft map[string]time.Duration
	// MayHaveUnrecordedRuns reports whether earlier leaders may have started runs on a worker that no record shows; nil if on any.
	MayHaveUnrecordedRuns func(worker string) bool
	// Evacuations says in which data centres no task may start; nil if it may everywhere.
	Evacuations Evacuations
	// OperatorView returns the age of the view of the operator's records from which Evacuations follows; nil if it needs no limit.
	OperatorView func() time.Duration
	// JobsView returns the age of the view of the jobs and their cancellations; nil if it needs no limit.
	JobsView func() time.Duration
}

// Scheduler schedules the jobs of one leadership term on workers. It is safe for concurrent use.
type Scheduler struct {
	config    Config
	metrics   schedulerMetrics
	ctx       context.Context // ends with the term
	createdAt time.Time
	wake      chan struct{} // requests a pass

	mu              sync.Mutex
	loading         bool // records of earlier terms are being loaded
	jobs            map[string]*job
	unfinished      []*job // jobs that have not ended, in order of arrival; ended ones are removed by the next pass
	workers         map[string]*worker
	runTimes        map[string]*runTimeModel // by queue
	forecast        *forecast.Model          // of run times and of the speed of workers
	backlogLoggedAt time.Time                // when the backlog was last logged
	urgentDemand    map[string]int64         // accelerators that the unfinished jobs of priority 0 need, by customer
	tickedAt        time.Time                // of the latest periodic checks
	// standstillsNotedAt is when jobs that stand still were last looked for.
	standstillsNotedAt time.Time
	resumedAt          time.Time   // when the process last went on after a pause
	urgentArrivedAt    time.Time   // when urgent work last came, or this term began
	laggedAt           time.Time   // when a check last came so late that the process may have been paused
	speeds             speedSource // where slowdowns come from; nil for the model
	uneven             bool        // the workers differed in speed in the latest pass, see refreshSpeeds
	queryInProgress    bool        // a query to the advisor is not answered yet
	nextQueryAt        time.Time   // earliest time of the next query to the advisor, after one without an answer
	// queryNames holds the workers that the query in progress names, and withdrawQuery gives it up.
	queryNames    map[string]bool
	withdrawQuery context.CancelCauseFunc
	// evacuationsNoted holds the evacuated data centres whose evacuation is logged.
	evacuationsNoted map[string]bool
	operatorViewLost bool // the view of the operator's records is too old for starts, which is logged
	jobsViewLost     bool // the same of the view of jobs
	// holdsNothingSince says since when the kinds of work that wait and hold nothing do so.
	holdsNothingSince map[kind]time.Time

	// unrecordedRuns is the number of runs that were started, or found, without a durable record, and suspicions that of units on workers that
	// may have such a run of an earlier leader. Heartbeats of the term read them without the lock.
	unrecordedRuns, suspicions atomic.Int64

	starts startWindow

	runs       *timedLedger // config.Runs
	preparedAt time.Time    // when standby workers were last named for waiting units
	// logLateSince says since when the log has been late, if that is logged.
	logLateSince time.Time

	withheld       withheldList
	forecastRecord forecastRecord

	panicMu       sync.Mutex
	panics        int                  // number of panics that were caught
	panicLoggedAt map[string]time.Time // by what panicked
}

// New returns a scheduler without jobs and workers. It sends no orders after ctx has ended, which ends with the term.
func New(ctx context.Context, c Config) *Scheduler {
	now := time.Now()
	runs := &timedLedger{Ledger: c.Runs}
	c.Runs = runs
	return &Scheduler{
		starts: newStartWindow(),
		runs:   runs,
		config: c, metrics: newSchedulerMetrics(c.Metrics), createdAt: now, urgentArrivedAt: now, wake: make(chan struct{}, 1),
		jobs: map[string]*job{}, workers: map[string]*worker{}, runTimes: map[string]*runTimeModel{}, urgentDemand: map[string]int64{},
		forecast: forecast.New(), panicLoggedAt: map[string]time.Time{}, evacuationsNoted: map[string]bool{}, ctx: ctx, loading: true,
	}
}

// Run makes scheduling passes until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	s.mu.Lock()
	for _, w := range s.workers {
		s.startHeartbeats(w)
	}
	s.mu.Unlock()
	defer func() { s.config.Metrics.Gauge("dispatch_evacuated_workers").Update(0) }() // the next scheduler reports them
	defer s.resetStandstills()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		checksAreDue := false
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-ticker.C:
			checksAreDue = true
		}
		s.protect("pass", func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			select {
			case <-ticker.C:
				checksAreDue = true
			default:
			}
			select {
			case <-s.wake: // the pass answers all requests so far
			default:
			}
			if checksAreDue {
				s.protect("checks", func() { s.tick(time.Now()) })
			}
			s.pass(time.Now())
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(passInterval):
		}
	}
}

// sortedWorkers returns the workers in the order of their IDs.
func (s *Scheduler) sortedWorkers() []*worker {
	return slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
}

// requestPass makes Run start another pass.
func (s *Scheduler) requestPass() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// tick runs the periodic checks.
func (s *Scheduler) tick(now time.Time) {
	if now.Sub(s.tickedAt) > maxTickDelay {
		s.resumedAt = now
	}
	if !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > maxTickLag {
		s.laggedAt = now
	}
	s.tickedAt = now
	workers := s.sortedWorkers()
	for _, w := range workers {
		s.protect("checks of worker "+w.info.ID, func() { s.checkWorker(w, now) })
	}
	s.listWithheld(workers, now)
	s.checkLog(now)
	s.protect("standby workers", func() { s.prepareStandby(now) })
	s.removeExpiredJobs(now)
	s.protect("standstills", func() { s.noteStandstills(now) })
	s.config.Metrics.Gauge("dispatch_workers").Update(float64(len(s.workers)))
	s.config.Metrics.Gauge("dispatch_start_window").Update(float64(s.starts.size))
	s.config.Metrics.Gauge("dispatch_starts_waiting").Update(float64(len(s.starts.urgent) + len(s.starts.others)))
	s.config.Metrics.Gauge("dispatch_jobs").Update(float64(len(s.unfinished)))
}

// checkWorker makes the periodic checks of a worker.
func (s *Scheduler) checkWorker(w *worker, now time.Time) {
	s.expireLeases(w, now)
	s.stopStalledRuns(w, now)
	s.trustAfterLongProbe(w, now)
	s.evacuateWorker(w, now)
}

// removeExpiredJobs deletes jobs whose status need no longer be available, and the unit records of all ended jobs.
func (s *Scheduler) removeExpiredJobs(now time.Time) {
	for id, j := range s.jobs {
		j.releaseOccurrences()
		s.deleteUnitRecords(j)
		retention := s.config.Bounds.StatusRetention + retentionSlack
		if j.spec == nil && j.endedAt.IsZero() && now.Sub(j.createdAt) >= retention {
			delete(s.jobs, id) // a submission that has not come by now is not expected any more
			s.config.Jobs.Put(nil, ledger.CancellationRemoval(id))
			continue
		}
		if j.endedAt.IsZero() || now.Sub(j.endedAt) < retention {
			continue
		}
		delete(s.jobs, id)
		s.config.Jobs.Put(nil, ledger.RemovalRecords(id)...)
	}
}

// Load applies an entry of the jobs topic. Applying an entry again changes nothing.
func (s *Scheduler) Load(e ledger.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case e.Submission != nil:
		s.addJob(e.Submission)
	case e.Cancellation != nil:
		s.cancelJob(e.ID, *e.Cancellation)
	case e.Outcome != nil:
		s.restoreOutcome(e.ID, *e.Outcome)
	}
	s.requestPass()
}

// jobOf returns the job with an id, and adds it if no record of it was loaded before.
func (s *Scheduler) jobOf(id string) *job {
	j := s.jobs[id]
	if j == nil {
		j = &job{createdAt: time.Now()}
		s.jobs[id] = j
	}
	return j
}

// addJob adds a submitted job. Its cancellation or outcome may have been loaded before.
func (s *Scheduler) addJob(spec *workload.Job) {
	j := s.jobOf(spec.ID)
	if j.spec != nil {
		return
	}
	j.spec, j.queueSettings = spec, spec.QueueSettings
	j.cancelled = j.cancellations.Cover(spec.Customer)
	j.occurrences = make([]*occurrence, spec.Occurrences())
	s.refreshQueueSettings(j)
	s.unfinished = append(s.unfinished, j)
	if j.ended() {
		if !j.state.Final() && !s.loading {
			s.concludeCancelled(j)
		}
		return
	}
	s.addUrgentDemand(j, 1)
	s.config.Events.Emit(eventAdmitted, event.F("job", spec.ID), event.F("customer", spec.Customer), event.F("queue", spec.Queue), event.F("steps", len(spec.Steps)), event.F("chain_ms", spec.CriticalPath().Milliseconds()))
}

// refreshQueueSettings copies the current settings of the job's queue. If the queue was removed, the job keeps the last ones.
func (s *Scheduler) refreshQueueSettings(j *job) {
	if c := s.config.Catalog.Get(); c != nil && j.spec != nil {
		if q := c.Queue(j.spec.Queue); q != nil {
			j.queueSettings = q.Settings
		}
	}
}

// restoreOutcome applies a job's state that an earlier term recorded.
func (s *Scheduler) restoreOutcome(id string, o ledger.Outcome) {
	j := s.jobOf(id)
	if j.state.Final() {
		return
	}
	if o.State.Final() {
		if j.spec != nil && !j.ended() {
			s.addUrgentDemand(j, -1)
		}
		j.endedAt, j.outcomeDurable = time.Now(), true
	}
	j.state = o.State
}

// cancelJob ends a job at its customer's request. The request is kept if the job's submission is not loaded: the log may carry it out
// later.
func (s *Scheduler) cancelJob(id string, c ledger.Cancellation) {
	j := s.jobOf(id)
	if j.cancelled || j.state.Final() {
		return
	}
	j.cancellations = j.cancellations.Add(c)
	if j.spec == nil || !j.cancellations.Cover(j.spec.Customer) {
		return
	}
	j.cancelled = true
	s.addUrgentDemand(j, -1)
	if !s.loading { // while records are loaded, the job's outcome may still follow
		s.concludeCancelled(j)
	}
}

// concludeCancelled records that a job was cancelled and stops its runs.
func (s *Scheduler) concludeCancelled(j *job) {
	s.conclude(j, ledger.Cancelled, "cancelled by the customer")
	s.stopJob(j, causeCancelled)
}

// conclude records a job's final state.
func (s *Scheduler) conclude(j *job, state ledger.State, reason string) {
	if j.state.Final() {
		return
	}
	j.state = state
	j.endedAt = time.Now()
	s.config.Jobs.Put(func(err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		j.outcomeDurable = err == nil
	}, ledger.OutcomeRecord(j.spec.ID, ledger.Outcome{State: state, Reason: reason, Time: s.config.Now()}))
	age, objective := s.config.Now().Sub(j.spec.Submitted), s.objectiveOf(j)
	s.metrics.jobConcluded(j, state, age, objective)
	s.config.Events.Emit(eventConcluded, event.F("job", j.spec.ID), event.F("state", state), event.F("reason", reason), event.F("age_ms", age.Milliseconds()),
		event.F("queue", j.spec.Queue), event.F("objective_ms", objective.Milliseconds()), event.F("waited_ms", j.waited()))
}

// stopJob stops all runs of a job.
func (s *Scheduler) stopJob(j *job, cause endCause) {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			for _, u := range st.units {
				s.stopUnit(u, cause)
			}
		}
	}
}

// ended reports whether the job was cancelled or has a final state, so that none of its tasks may start.
func (j *job) ended() bool { return j.cancelled || j.state.Final() }

// peakAccelerators returns the most accelerators that a single step of the job uses.
func (j *job) peakAccelerators() int64 {
	most := int64(0)
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		most = max(most, st.Resources.Accelerators*int64(st.Count))
	}
	return most
}

// addUrgentDemand adds the accelerators of a job of priority 0 to its customer's demand, or removes them if sign is -1.
func (s *Scheduler) addUrgentDemand(j *job, sign int64) {
	if j.queueSettings.Priority == 0 {
		s.urgentDemand[j.spec.Customer] += sign * j.peakAccelerators()
	}
}
