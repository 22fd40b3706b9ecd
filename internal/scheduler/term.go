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
	maxOperations  = 256 // asynchronous operations under way
	maxPosted      = 1024
	changesPerStep = 1024 // changes applied between two decisions
)

// term is one period in which this instance has the role. Its state belongs to the goroutine of run; other goroutines
// reach it through post.
type term struct {
	config     Config
	dc         structs.DataCentre
	racks      rackowner.Racks
	starter    gang.Starter
	text       *spec.Text
	cluster    *placement.Cluster
	racksSpec  spec.Racks            // that the cluster was made for
	demoted    []structs.JobID       // guaranteed jobs that counted as borrowers at the last look
	guarantees []placement.Guarantee // in force
	queue      *queue.Queue
	paused     map[structs.JobID]bool          // waiting jobs that are not in the queue
	missing    map[placement.MissingCells]bool // guaranteed shapes that cannot be formed

	began       time.Time
	synced      bool    // the report of the rack owners is complete
	rebuilt     bool    // and was taken over
	early       []early // reports before that
	jobs        map[structs.JobID]*job
	workers     map[structs.WorkerID]*worker
	dirty       map[structs.JobID]bool
	active      map[structs.JobID]bool                      // jobs that are neither waiting nor plainly running
	replace     bool                                        // a placement may succeed that did not before
	orphans     map[sighting]time.Time                      // tasks to free or forget, with the time of the last command
	withheld    string                                      // the set of withheld jobs sent last
	permitted   bool                                        // and the rack owners took it
	down        map[structs.ServiceName]structs.ServiceName // services that are down, with what is missing
	services    map[structs.JobID]bool                      // jobs that the specification declares
	recorded    map[structs.JobID]bool                      // jobs with an acknowledged finish record that the fold may not show yet
	suspects    map[structs.WorkerID]bool                   // workers with failures that get no task now
	excluded    map[structs.WorkerID]bool
	jobsNext    time.Time                 // earliest time of the next look at the job stream
	checked     time.Time                 // of the workers and the withheld jobs
	jobsSeen    <-chan struct{}           // of the fold that was taken over
	unseen      map[structs.WorkerID]bool // listed workers that were not reported since the attachment
	unseenUntil time.Time                 // when tasks there have lapsed
	retryAt     time.Time                 // next time that a pause of a waiting job ends
	charges     *deadlines                // when running jobs are charged for next
	limits      *deadlines                // when running jobs reach their max_run_time

	posted     chan func()
	operations chan struct{}
	wg         sync.WaitGroup
	done       chan struct{}
}

func newTerm(config Config, dc structs.DataCentre, racks rackowner.Racks) *term {
	t := &term{
		config:     config,
		dc:         dc,
		racks:      racks,
		began:      time.Now(),
		jobs:       map[structs.JobID]*job{},
		workers:    map[structs.WorkerID]*worker{},
		paused:     map[structs.JobID]bool{},
		dirty:      map[structs.JobID]bool{},
		active:     map[structs.JobID]bool{},
		unseen:     map[structs.WorkerID]bool{},
		recorded:   map[structs.JobID]bool{},
		suspects:   map[structs.WorkerID]bool{},
		services:   map[structs.JobID]bool{},
		excluded:   map[structs.WorkerID]bool{},
		orphans:    map[sighting]time.Time{},
		posted:     make(chan func(), maxPosted),
		operations: make(chan struct{}, maxOperations),
		done:       make(chan struct{}),
		limits:     newDeadlines(),
		charges:    newDeadlines(),
	}
	t.starter = gang.Starter{Commands: racks, HoldTTL: config.Timing.HoldTTL, Log: config.Log, Metrics: config.Metrics}
	return t
}

// run decides until ctx ends, the feed is closed or this instance should not have the role.
func (t *term) run(ctx context.Context, winner func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer t.wg.Wait()
	defer cancel()
	defer close(t.done)
	ticker := time.NewTicker(t.config.Tick)
	defer ticker.Stop()
	for winner() {
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

// applyBatch applies a change and those that are already there.
func (t *term) applyBatch(first rackowner.Change) {
	t.apply(first)
	for range changesPerStep {
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
	for range maxPosted {
		select {
		case f := <-t.posted:
			f()
		default:
			return
		}
	}
}

// step makes all decisions that are due.
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
	t.syncProbes(now)
	t.stopOverruns(now)
	t.settleAll(ctx, now)
	t.chargeRunning(now)
	t.endSuspicions(now)
	t.place(ctx, now)
	t.freeOrphans(ctx, now)
	if t.permitted && now.Sub(t.checked) < t.config.Tick {
		return // these visit every worker or every active job
	}
	t.checked = now
	t.checkWorkers(now)
	t.syncCells()
	t.sendWithheld(ctx)
}

// spawn runs an operation beside the loop and posts what follows from it. It reports false when too many are under way.
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

// ask runs f in the loop and waits for it.
func (t *term) ask(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	run := func() {
		f()
		close(finished)
	}
	lost := errkind.New(errkind.Unavailable, "ask again in a few seconds", "the scheduler role moved")
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

func dataCentre(text *spec.Text, name structs.DataCentre) *spec.DataCentre {
	for i := range text.DataCentres {
		if text.DataCentres[i].Name == name {
			return &text.DataCentres[i]
		}
	}
	return nil
}

// worker is what the scheduler knows of a worker.
type worker struct {
	id           structs.WorkerID
	rack         structs.RackID
	accelerators int
	reachable    bool
	holder       structs.InstanceID // another rack owner that holds the session
	lostAt       time.Time          // when it became unreachable
	gone         bool               // not on the instance list
	reported     bool               // lost event written
	jobs         map[structs.JobID]bool
	tasks        map[taskID]platform.TaskPhase // tasks that the worker keeps
	health       health
}

func (w *worker) placement() placement.Worker {
	return placement.Worker{ID: w.id, Rack: w.rack, Accelerators: w.accelerators}
}

// taskID identifies a task on its worker.
type taskID struct {
	job     structs.JobID
	attempt uint64
	member  int
}

// sighting identifies a task on a worker.
type sighting struct {
	worker structs.WorkerID
	task   taskID
}
