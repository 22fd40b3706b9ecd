package dispatch

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// job is an accepted job that has not been forgotten.
type job struct {
	spec        *workload.Job
	terms       workload.Terms // of its queue, as last configured
	state       ledger.State   // last recorded or about to be
	cancelled   bool
	endedAt     time.Time
	recorded    bool          // the final state is durable
	dropped     bool          // the records of its units are deleted
	occurrences []*occurrence // index is the occurrence
	begun       int           // occurrences that were materialised
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job   *job
	index int
	due   time.Time // zero: at once
	steps []*step
	left  int // steps that are not done
}

// step is one step of an occurrence.
type step struct {
	occurrence *occurrence
	index      int
	spec       *workload.Step
	units      []*unit
	waiting    int // units that wait for a start
	left       int // units that are not done
	advice     advice
	took       time.Duration // mean run time of its timed units
	timed      int           // units of which an undisturbed run ended well
}

// unit is what starts and ends as a whole: a task, or all tasks of a gang.
type unit struct {
	step       *step
	index      int // of the task, -1 for a gang
	state      unitState
	run        int
	failures   int
	failedRun  int // latest run that counts as a failure
	checkpoint string
	members    []*member // of the current run
	notBefore  time.Time
	startedAt  time.Time
	restored   bool                 // the current run began in an earlier term
	waitingAt  time.Time            // since when it waits
	avoid      map[string]time.Time // workers on which it did not go well, with the time
	held       []*worker            // that are kept free until it fits
	heldAt     time.Time
	reserved   []*worker // on which room is being reclaimed for it
	reservedAt time.Time
}

type unitState uint8

const (
	waiting unitState = iota
	active
	closing // a member ended without success; the others are being stopped
	done
)

// member is one task of a unit's current run, on a worker.
type member struct {
	unit    *unit
	run     int
	index   int
	worker  *worker
	room    workload.Resources
	state   memberState
	waits   bool      // the order to start it is not sent yet
	acked   time.Time // when the order to start it was answered
	stop    bool      // it is to end
	stopped time.Time // when the order to stop it was answered

	since      time.Time // when it was first listed as running
	percent    int
	pace       int       // share of its speed that was last ordered, in percent; meaningful for leftover work only
	gauge      int64     // see RunReport
	advancedAt time.Time // when percent last rose
	checkpoint string
	reason     string // why it is to end
}

type memberState uint8

const (
	planned  memberState = iota // its start is being recorded
	starting                    // the order is sent and the outcome open
	running
	ended
)

// worker is one process that runs tasks.
type worker struct {
	info    WorkerInfo
	listed  bool // discovery shows it
	members map[runKey]*member
	free    workload.Resources

	contact   time.Time // last answer to a hold
	clock     int64     // its clock at contact, milliseconds
	born      int64
	lapse     time.Time // when all leases have surely ended unless renewed
	processed int64     // number of the last end taken in
	recorded  int64     // number of the last end whose effect is recorded
	answered  bool      // the last hold was answered, so that the next one renews
	health    health
	drainedAt time.Time // when it was first seen draining
	ack       chan struct{}
	cancel    func()
}

// target returns where to send orders. Calls that are made without the scheduler's lock take it beforehand.
func (w *worker) target() Target { return Target{w.info.ID, w.info.Address} }

// runKey identifies a run on a worker.
type runKey struct {
	task workload.TaskName
	run  int
}

func (m *member) name() workload.TaskName {
	o := m.unit.step.occurrence
	return workload.TaskName{Job: o.job.spec.ID, Occurrence: o.index, Step: m.unit.step.index, Index: m.index}
}

func (m *member) key() runKey { return runKey{m.name(), m.run} }

func (u *unit) name() ledger.UnitName {
	o := u.step.occurrence
	return ledger.UnitName{Job: o.job.spec.ID, Occurrence: o.index, Step: u.step.index, Index: u.index}
}

func (u *unit) job() *job { return u.step.occurrence.job }

// record returns the unit's durable form.
func (u *unit) record() ledger.Record {
	r := ledger.Unit{Run: u.run, Failures: u.failures, FailedRun: u.failedRun, Checkpoint: u.checkpoint}
	switch u.state {
	case active, closing:
		r.State = ledger.UnitActive
		for _, m := range u.members {
			r.Workers = append(r.Workers, m.worker.info.ID)
		}
	case done:
		r.State = ledger.UnitDone
		r.Checkpoint = ""
	}
	return ledger.UnitRecord(u.name(), r)
}

// room returns what one task of the step books on a worker.
func (s *step) room() workload.Resources {
	room := s.spec.Resources
	if s.spec.UsesSpareCPU {
		room.CPU = 0
	}
	return room
}

// urgent reports whether the step belongs to a queue of the highest priority, which may stop other work.
func (s *step) urgent() bool { return s.occurrence.job.terms.Priority == 0 }

func (u *unit) urgent() bool { return u.step.urgent() }

// ready reports whether the steps before it are done.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if s.occurrence.steps[before].left > 0 {
			return false
		}
	}
	return true
}

// materialise builds occurrence k.
func (j *job) materialise(k int) *occurrence {
	o := &occurrence{job: j, index: k, due: j.spec.Due(k), left: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{occurrence: o, index: i, spec: spec}
		n := spec.Units()
		s.units = make([]*unit, n)
		for u := range n {
			index := u
			if spec.Gang {
				index = -1
			}
			s.units[u] = &unit{step: s, index: index}
		}
		s.waiting, s.left = n, n
		o.steps = append(o.steps, s)
	}
	return o
}

// open builds occurrence k, which has become due.
func (j *job) open(k int) {
	j.occurrences[k] = j.materialise(k)
	j.begun++
}

// size returns the number of tasks that one unit starts.
func (u *unit) size() int {
	if u.index < 0 {
		return u.step.spec.Count
	}
	return 1
}
