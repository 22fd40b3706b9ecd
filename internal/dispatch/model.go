package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/forecast"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// job is a submitted job. It is kept until its status need no longer be available.
type job struct {
	spec                *workload.Job          // nil until the submission is loaded
	queueSettings       workload.QueueSettings // settings of its queue, as last configured
	state               ledger.State           // last recorded or being recorded
	createdAt           time.Time              // when the first record of the job was loaded
	cancellations       ledger.Cancellations   // requests to end the job that were loaded before its submission
	cancelled           bool
	endedAt             time.Time
	outcomeDurable      bool          // the final state is durable
	unitsDeleted        bool          // the records of its units are deleted, and the units are no longer kept
	setAsideFor         time.Duration // latest pause after its handling panicked
	setAsideUntil       time.Time     // end of that pause
	occurrencesReleased int           // number of occurrences of which no units are kept
	postponed           bool          // an occurrence was due and not created, see taskBudget
	occurrences         []*occurrence // by number, nil if not created yet
	occurrencesCreated  int           // number of occurrences created
	standsSince         time.Time     // since when it has stood still, see noteStandstills; zero if it does not
	standstillLoggedAt  time.Time     // when that was last logged
	limitsIgnoredAt     time.Time     // when chooseIgnoringLimits last found workers for one of its units
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job       *job
	index     int
	due       time.Time // zero if the steps may start at once
	steps     []*step
	stepsLeft int  // number of steps that are not done
	released  bool // all steps are done, and their units are no longer kept
}

// step is one step of an occurrence.
type step struct {
	occurrence   *occurrence
	index        int
	spec         *workload.Step
	units        []*unit
	unitsWaiting int // number of units that wait to be started
	unitsLeft    int // number of units that are not done
	advice       advice
	meanRunTime  time.Duration // mean run time of the units counted by timedUnits
	timedUnits   int           // number of units whose run time was observed, see observeRunTime
	heldRuns     []timedRun    // runs of single tasks that the model has not been told yet
	// neutralRunTime is the median run time on a neutral worker of neutralRuns ended tasks of the step; 0 if none has ended.
	neutralRunTime time.Duration
	neutralRuns    int
	prediction     forecast.Prediction // of predictedAt, see predict
	predictedAt    time.Time
	goal           *speedGoal // in the pass of goalOf; nil while speed does not matter
	goalOf         time.Time
	waited         waits     // how long units of the step have waited, by cause
	consideredAt   time.Time // when the latest pass found units of the step waiting; zero if none waited then
	waitsFor       waitCause // why they waited then
}

// unit is what starts and ends as a whole: a single task, or all tasks of a gang.
type unit struct {
	step             *step
	index            int // index of the task, -1 for a gang
	state            unitState
	run              int // number of the current or latest run, 0 before the first
	failures         int // number of runs that ended as failed
	failedRun        int // latest run that was counted in failures
	stalledRuns      int // number of runs in this term that were stopped as stalled
	checkpoint       string
	members          []*member // of the current run
	cause            endCause  // why the current run ends without success, that of the first member to end
	notBefore        time.Time // earliest time of the next start
	startedAt        time.Time
	startedAs        class                // its class when the current run started
	answersSince     time.Time            // when a worker of the current run last answered after a silence
	runTimeUnknown   bool                 // the current run began in an earlier term or ended while its worker was silent
	resumed          bool                 // the current run started from a checkpoint
	likelyRunTime    time.Duration        // run time that the current run exceeds with a probability of 0.1; 0 if not predicted
	waitingAt        time.Time            // when it began to wait; zero until a pass has considered it
	avoidedWorkers   map[string]time.Time // workers where a run failed, stalled or was refused, and when
	reservedWorkers  []*worker            // workers kept free until the unit fits on them
	reservedAt       time.Time
	preemptedWorkers []*worker // workers on which other work was preempted for the unit
	preemptedAt      time.Time
	standby          standby      // workers on which it may start without a further record
	suspectedOn      int          // number of workers that may have a run of it that no record shows
	uncountedFrom    int          // first run whose failure an earlier leader may not have recorded; 0 if none
	countedRuns      map[int]bool // runs from uncountedFrom on that are counted in failures
}

type unitState uint8

const (
	waiting unitState = iota
	active
	aborting // a member ended without success and the others are being stopped
	done
)

// member is one task of a unit's current run, on a worker.
type member struct {
	unit            *unit
	run             int
	index           int // index of the task within its step
	worker          *worker
	resources       workload.Resources
	state           memberState
	recordPending   bool      // the run is not recorded yet, so the start order was not sent
	unrecorded      bool      // the start order is sent before the run is recorded
	startWaits      bool      // the run is recorded, and its start order waits for its place in the startWindow
	processStart    int64     // start of the worker's process for which the run was planned
	startAnsweredAt time.Time // when the worker confirmed the start; zero for runs of earlier terms
	startSettledAt  time.Time // when the last start order was answered or given up, or this term began; zero before
	leaseClock      int64     // start of the process by whose clock the start order's lease ends
	stopWanted      bool      // the run is to end
	stopAnsweredAt  time.Time // when the worker answered the stop order

	runningSince   time.Time     // when the run was first known to run
	startRepeated  bool          // the latest start order repeats one whose answer was lost, and which may have started the run
	startTimed     bool          // runningSince is when the worker answered the start
	marksPassed    int           // number of progressMarks that the reported progress has passed
	projected      time.Duration // total run time that follows from the progress; 0 if not known
	percent        int           // progress that the worker reported
	pace           int           // last ordered speed in percent of full speed, or paceUnknown; used for spare-CPU work only
	latencyOrCPU   int64         // last reported tail latency or CPU use, see RunReport.LatencyOrCPU
	progressedAt   time.Time     // when percent last rose
	rises          int           // number of reports with a higher percent than before
	slowestPercent time.Duration // longest time that one per cent took, between two rises
	checkpoint     string
	checkpointedAt time.Time // when checkpoint was first seen
	endedAt        time.Time
	cause          endCause // why the run was stopped or ended without success, empty before
}

type memberState uint8

const (
	planned  memberState = iota // the run is being recorded
	starting                    // the start order was sent, its outcome is not known
	running
	ended
)

// worker is a process that runs tasks.
type worker struct {
	info    WorkerInfo
	listed  bool // discovery shows it
	members map[runKey]*member
	free    workload.Resources // resources that no member has booked; may be negative

	reportAskedAt time.Time // when the heartbeat was sent that it answered last
	lastAnswerAt  time.Time // when it last answered a heartbeat
	workerClock   int64     // its clock at lastAnswerAt, in milliseconds
	processStart  int64     // start of its process, Unix milliseconds; 0 if not known
	processSeenAt time.Time // when processStart last changed
	clockProcess  int64     // start of the process whose clock workerClock is
	leasesOverAt  time.Time // when all leases granted to the process whose clock is known have certainly expired
	// unheardLeasesOverAt is when leases have certainly expired that orders sent so far gave to a process that the scheduler has not heard.
	unheardLeasesOverAt time.Time
	withheld            bool  // it is granted no leases, see withheldList
	withheldIn          int64 // number of the latest list that names it
	lastHandledEnd      int64 // number of the last reported end that was handled
	lastRecordedEnd     int64 // number of the last reported end whose effects are durable
	lastAcknowledgedEnd int64 // number of the last end that an answered heartbeat has acknowledged
	heldBack            int   // number of latest heartbeats from which an acknowledgement was held back
	responsive          bool  // it answered the last heartbeat, so the next one renews its leases
	health              health
	slowdown            float64       // of its runs relative to a neutral worker; 0 stands for 1, see refreshSpeeds
	slowdownSpread      float64       // standard deviation of the log of slowdown
	slowdownBound       float64       // slowdown that it hardly exceeds, see slowdownMargin; 0 stands for 1
	speedLevel          int           // slowdownBound in steps of speedStep; 0 for a neutral worker, higher for a slower one
	leavesAt            time.Time     // earliest time when it leaves; zero unless discovery shows it as draining
	endsRecorded        chan struct{} // signals that lastRecordedEnd has risen
	stopHeartbeats      func()        // ends the heartbeat loop; nil if there is none
	hasStray            bool          // its latest report listed a run that is not planned there, which takes room until it is stopped
	// suspected holds the units of which the worker may have a run that an earlier leader started and did not record.
	suspected map[*unit]bool
	// unreadableSince is since when each of its reports has had rows that cannot be decoded, so that runs may be missing; zero if the latest had none.
	unreadableSince time.Time
}

// target returns where to send orders. Goroutines that send orders without the scheduler's lock call it while they still
// hold the lock.
func (w *worker) target() Target { return Target{w.info.ID, w.info.Address} }

// takesWork reports whether work may start on the worker now, apart from its health.
func (w *worker) takesWork(now time.Time) bool {
	return w.listed && !w.info.Draining && w.answers(now) && !w.describesAnotherProcess() && !w.hasStray
}

// hasLabel reports whether the worker has a label; all have the empty one.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.Labels, label)
}

// runKey identifies a run of a task on a worker.
type runKey struct {
	task workload.TaskName
	run  int
}

// onHeardProcess reports whether no process but those that have reported can have the member's run: the latest report was asked for after the
// last start order was answered or given up.
func (m *member) onHeardProcess() bool {
	return m.recordPending || !m.startSettledAt.IsZero() && m.startSettledAt.Before(m.worker.reportAskedAt)
}

// unheard returns how many members may be on a process of the worker that has not reported.
func (w *worker) unheard() int {
	n := 0
	for _, m := range w.members {
		if !m.onHeardProcess() {
			n++
		}
	}
	return n
}

// leasesOverFor returns when the member's leases have certainly expired.
func (w *worker) leasesOverFor(m *member) time.Time {
	if m.onHeardProcess() || w.unheardLeasesOverAt.Before(w.leasesOverAt) {
		return w.leasesOverAt
	}
	return w.unheardLeasesOverAt
}

// allLeasesOverAt returns when the leases of all members have certainly expired.
func (w *worker) allLeasesOverAt() time.Time {
	if w.unheard() > 0 && w.unheardLeasesOverAt.After(w.leasesOverAt) {
		return w.unheardLeasesOverAt
	}
	return w.leasesOverAt
}

// compare orders runs by their tasks, then by their numbers.
func (k runKey) compare(o runKey) int {
	a, b := k.task, o.task
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(k.run, o.run))
}

// membersWhere returns the worker's members that match, in the order of their tasks. What is decided of one may change what is decided of
// the next.
func (w *worker) membersWhere(match func(*member) bool) []*member {
	var found []*member
	for _, m := range w.members {
		if match(m) {
			found = append(found, m)
		}
	}
	slices.SortFunc(found, func(a, b *member) int { return a.key().compare(b.key()) })
	return found
}

func (m *member) taskName() workload.TaskName {
	o := m.unit.step.occurrence
	return workload.TaskName{Job: o.job.spec.ID, Occurrence: o.index, Step: m.unit.step.index, Index: m.index}
}

func (m *member) key() runKey { return runKey{m.taskName(), m.run} }

func (u *unit) name() ledger.UnitName {
	o := u.step.occurrence
	return ledger.UnitName{Job: o.job.spec.ID, Occurrence: o.index, Step: u.step.index, Index: u.index}
}

func (u *unit) job() *job { return u.step.occurrence.job }

// maxRecordedCheckpoint is the length of the longest checkpoint that is recorded, in bytes. After a change of the scheduler, work with a longer
// one starts from the beginning; the log would not take the record of a run with a checkpoint of any length.
const maxRecordedCheckpoint = 64 << 10

// record returns the unit's state as stored in the log.
func (u *unit) record() ledger.Record {
	r := ledger.Unit{Run: u.run, Failures: u.failures, FailedRun: u.failedRun}
	if len(u.checkpoint) <= maxRecordedCheckpoint {
		r.Checkpoint = u.checkpoint
	}
	switch u.state {
	case active, aborting:
		r.State, r.Started = ledger.UnitActive, u.startedAt.UnixMilli()
		for _, m := range u.members {
			r.Workers = append(r.Workers, m.worker.info.ID)
			r.Addresses = append(r.Addresses, m.worker.info.Address)
		}
	case done:
		r.State = ledger.UnitDone
		r.Checkpoint = ""
	}
	if u.state != done {
		r.Standby = u.standby.named
	}
	return ledger.UnitRecord(u.name(), r)
}

// resources returns the resources that one task of the step books on a worker. Spare-CPU work books no CPU.
func (s *step) resources() workload.Resources {
	resources := s.spec.Resources
	if s.spec.UsesSpareCPU {
		resources.CPU = 0
	}
	return resources
}

// urgent reports whether the step's queue has the highest priority, so that the step may preempt other work.
func (s *step) urgent() bool { return s.occurrence.job.queueSettings.Priority == 0 }

func (u *unit) urgent() bool { return u.step.urgent() }

// ready reports whether all steps that the step depends on are done.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if s.occurrence.steps[before].unitsLeft > 0 {
			return false
		}
	}
	return true
}

// newOccurrence returns occurrence k with all its units waiting.
func (j *job) newOccurrence(k int) *occurrence {
	o := &occurrence{job: j, index: k, due: j.spec.Due(k), stepsLeft: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		st := &step{occurrence: o, index: i, spec: spec}
		n := spec.Units()
		st.units = make([]*unit, n)
		for u := range n {
			index := u
			if spec.Gang {
				index = -1
			}
			st.units[u] = &unit{step: st, index: index}
		}
		st.unitsWaiting, st.unitsLeft = n, n
		o.steps = append(o.steps, st)
	}
	return o
}

// earliestStart returns the time from which the occurrence's latency counts.
func (o *occurrence) earliestStart() time.Time {
	if o.due.IsZero() {
		return o.job.spec.Submitted
	}
	return o.due
}

// unitNames returns the names of the step's units, also if these are no longer kept.
func (s *step) unitNames() []ledger.UnitName {
	o := s.occurrence
	names := make([]ledger.UnitName, s.spec.Units())
	for i := range names {
		names[i] = ledger.UnitName{Job: o.job.spec.ID, Occurrence: o.index, Step: s.index, Index: i}
		if s.spec.Gang {
			names[i].Index = -1
		}
	}
	return names
}

// tasksKept returns how many tasks of the job are kept in memory.
func (j *job) tasksKept() int { return j.spec.Tasks() * (j.occurrencesCreated - j.occurrencesReleased) }

// createOccurrence adds occurrence k to the job.
func (j *job) createOccurrence(k int) {
	j.occurrences[k] = j.newOccurrence(k)
	j.occurrencesCreated++
}

// size returns the number of tasks of the unit.
func (u *unit) size() int {
	if u.index < 0 {
		return u.step.spec.Count
	}
	return 1
}
