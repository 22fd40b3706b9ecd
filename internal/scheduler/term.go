package scheduler

import (
	"context"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/gang"
	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/queue"
	"dogwoodnotch.example/dogwoodnotch/internal/rackowner"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of a term.
const (
	maxOperations      = 256  // most asynchronous operations in progress at a time
	maxPostedCallbacks = 1024 // most callbacks that wait for the decision loop
	maxChangesPerStep  = 1024 // most changes of the feed that are applied between two steps
)

// term is one period in which this instance has the scheduler role. Its state belongs to the goroutine of run; other
// goroutines send callbacks to that goroutine through posted.
type term struct {
	config       Config
	dc           structs.DataCentre
	racks        rackowner.Racks
	starter      gang.Starter
	text         *spec.Text
	cluster      *placement.Cluster
	racksSpec    spec.Racks            // the racks that cluster was built for
	demoted      []structs.JobID       // guaranteed jobs that counted as borrowers at the last syncCells
	guarantees   []placement.Guarantee // the guarantees in force
	queue        *queue.Queue
	paused       map[structs.JobID]bool          // waiting jobs that are not in the queue
	missingCells map[placement.MissingCells]bool // guaranteed cells that cannot be formed

	startedAt        time.Time
	synced           bool             // every reachable worker has been reported in full
	rebuilt          bool             // the jobs have been rebuilt from these reports
	bufferedStatuses []bufferedStatus // task reports that arrived before the rebuild
	jobs             map[structs.JobID]*job
	workers          map[structs.WorkerID]*worker
	dirty            map[structs.JobID]bool                      // jobs with changes since the last reconciliation
	reconciling      map[structs.JobID]bool                      // jobs to reconcile in every step, see stable
	placementDue     bool                                        // something changed that may let a waiting job start
	orphans          map[taskRef]time.Time                       // tasks to release or forget, with the time of the last command
	lastWithheld     string                                      // jobs without lease renewal that were sent last, see sendWithheldJobs
	withholdSent     bool                                        // sending that set has not failed
	downServices     map[structs.ServiceName]structs.ServiceName // services that are down, with the service that lacks tasks
	serviceJobs      map[structs.JobID]bool                      // jobs of service tasks in the specification
	finishRecorded   map[structs.JobID]bool                      // jobs whose finish record is acknowledged but may not be in the fold yet
	suspects         map[structs.WorkerID]bool                   // workers with recent failures that get no task now
	excluded         map[structs.WorkerID]bool                   // failing workers that get only probes
	nextJobSync      time.Time                                   // earliest time of the next syncJobs
	workersCheckedAt time.Time                                   // last check of the workers, cells and withheld jobs
	syncedFold       <-chan struct{}                             // Jobs.Changed of the fold that syncJobs read last
	unreported       map[structs.WorkerID]bool                   // listed workers without a report since the attachment
	unreportedUntil  time.Time                                   // when the leases of tasks on these workers have expired
	nextPlacement    time.Time                                   // when waiting jobs are tried again without a change; zero means never
	chargeTimes      *deadlines                                  // when running jobs are charged for next
	runTimeLimits    *deadlines                                  // when running jobs reach their max_run_time

	posted     chan func()   // callbacks for the decision loop
	operations chan struct{} // one element for each asynchronous operation in progress
	wg         sync.WaitGroup
	done       chan struct{} // closed when the decision loop has ended
}

func newTerm(config Config, dc structs.DataCentre, racks rackowner.Racks) *term {
	t := &term{
		config:         config,
		dc:             dc,
		racks:          racks,
		startedAt:      time.Now(),
		jobs:           map[structs.JobID]*job{},
		workers:        map[structs.WorkerID]*worker{},
		paused:         map[structs.JobID]bool{},
		dirty:          map[structs.JobID]bool{},
		reconciling:    map[structs.JobID]bool{},
		unreported:     map[structs.WorkerID]bool{},
		finishRecorded: map[structs.JobID]bool{},
		suspects:       map[structs.WorkerID]bool{},
		serviceJobs:    map[structs.JobID]bool{},
		excluded:       map[structs.WorkerID]bool{},
		orphans:        map[taskRef]time.Time{},
		posted:         make(chan func(), maxPostedCallbacks),
		operations:     make(chan struct{}, maxOperations),
		done:           make(chan struct{}),
		runTimeLimits:  newDeadlines(),
		chargeTimes:    newDeadlines(),
	}
	t.starter = gang.Starter{Commands: racks, HoldTTL: config.Timing.HoldTTL, Log: config.Log, Metrics: config.Metrics}
	return t
}

// run is the decision loop. It ends when ctx ends, the change feed is closed or this instance no longer owns the role.
func (t *term) run(ctx context.Context, ownsRole func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer t.wg.Wait()
	defer cancel()
	defer close(t.done)
	ticker := time.NewTicker(t.config.Tick)
	defer ticker.Stop()
	for ownsRole() {
		jobsChanged := t.config.Jobs.Changed()
		if t.synced {
			t.step(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case c, open := <-t.racks.Changes():
			if !open {
				return
			}
			t.applyBatch(c)
		case f := <-t.posted:
			f()
			t.drainPosted()
		case <-jobsChanged:
		case <-ticker.C:
		}
	}
}

// applyBatch applies a change and those that have already arrived after it.
func (t *term) applyBatch(first rackowner.Change) {
	t.apply(first)
	for range maxChangesPerStep {
		select {
		case c, open := <-t.racks.Changes():
			if !open {
				return
			}
			t.apply(c)
		default:
			return
		}
	}
}

func (t *term) drainPosted() {
	for range maxPostedCallbacks {
		select {
		case f := <-t.posted:
			f()
		default:
			return
		}
	}
}

// step updates the state from its sources and makes all decisions that are due.
func (t *term) step(ctx context.Context) {
	now := time.Now()
	t.adoptText()
	if t.text == nil {
		return
	}
	t.syncJobs(now)
	t.syncServices(now)
	if !t.rebuilt {
		t.rebuild(now)
	}
	t.startDueProbes(now)
	t.stopOverruns(now)
	t.reconcileAll(ctx, now)
	t.chargeRunning(now)
	t.clearSuspects(now)
	t.place(ctx, now)
	t.cleanUpOrphans(ctx, now)
	if t.withholdSent && now.Sub(t.workersCheckedAt) < t.config.Tick {
		return // the checks below visit every worker or every job in reconciling
	}
	t.workersCheckedAt = now
	t.checkWorkers(now)
	t.syncCells()
	t.sendWithheldJobs(ctx)
}

// spawn runs an operation in its own goroutine and the callback that it returns in the decision loop. It returns false,
// and runs nothing, when too many operations are in progress.
func (t *term) spawn(operation func() func()) bool {
	select {
	case t.operations <- struct{}{}:
	default:
		return false
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		after := operation()
		<-t.operations
		select {
		case t.posted <- after:
		case <-t.done:
		}
	}()
	return true
}

// ask runs f in the decision loop and waits until it has returned.
func (t *term) ask(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	run := func() {
		f()
		close(finished)
	}
	lost := errkind.New(errkind.Unavailable, "retry in a few seconds", "this instance lost the scheduler role")
	select {
	case t.posted <- run:
	case <-t.done:
		return lost
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-finished:
		return nil
	case <-t.done:
		return lost
	case <-ctx.Done():
		return ctx.Err()
	}
}

// findDataCentre returns a data centre of the specification, or nil when it is not declared there.
func findDataCentre(text *spec.Text, name structs.DataCentre) *spec.DataCentre {
	for i := range text.DataCentres {
		if text.DataCentres[i].Name == name {
			return &text.DataCentres[i]
		}
	}
	return nil
}

// worker is the scheduler's view of a worker.
type worker struct {
	id            structs.WorkerID
	rack          structs.RackID
	accelerators  int
	reachable     bool                          // a rack owner in reach holds the worker's session
	sessionHolder structs.InstanceID            // a rack owner out of reach that holds the session, if there is one
	lostAt        time.Time                     // when the worker became unreachable
	delisted      bool                          // the instance list no longer shows the worker
	lossLogged    bool                          // the loss of the worker was logged
	jobs          map[structs.JobID]bool        // jobs with a member placed on the worker
	tasks         map[taskID]platform.TaskPhase // tasks that the worker still knows
	health        health
}

func (w *worker) placement() placement.Worker {
	return placement.Worker{ID: w.id, Rack: w.rack, Accelerators: w.accelerators}
}

// taskID identifies a task on a given worker.
type taskID struct {
	job     structs.JobID
	attempt uint64
	member  int
}

// taskRef identifies a task in the data centre.
type taskRef struct {
	worker structs.WorkerID
	task   taskID
}
