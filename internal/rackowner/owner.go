package rackowner

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/lease"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Timing holds the settings of section 9 that rack owners and schedulers use.
type Timing struct {
	SessionTTL time.Duration // of a worker session and of the scheduler role
	Renew      time.Duration // between renewals
	TaskLease  time.Duration
	HoldTTL    time.Duration
}

// DefaultTiming returns the defaults of section 9.
func DefaultTiming() Timing {
	return Timing{SessionTTL: 3 * time.Second, Renew: time.Second, TaskLease: 15 * time.Second, HoldTTL: 5 * time.Second}
}

// OwnerKey is the rendezvous key of a rack.
func OwnerKey(rack structs.RackID) string { return "rack/" + string(rack) }

// Config is what an Owner needs.
type Config struct {
	View    membership.View
	HTTP    *http.Client // for calls to workers
	Timing  Timing
	Log     *event.Log
	Metrics tally.Scope
}

// Owner is the rack owner of one entry instance. One goroutine per worker of an owned rack keeps the worker's session.
type Owner struct {
	config Config
	self   structs.InstanceID
	dc     structs.DataCentre

	mu        sync.Mutex
	sessions  map[structs.WorkerID]*session
	gone      map[structs.WorkerID]departed
	sequence  uint64        // of the latest change
	changed   chan struct{} // closed at the next change
	scheduler lease.Lease
	heardGang time.Time       // last renew_gangs of the present scheduler
	withhold  []structs.JobID // as the scheduler asked
	barred    []structs.JobID // cached result of withheld
	barredAt  time.Time
	wg        sync.WaitGroup
}

// departed is what the feed keeps of a worker without a session.
type departed struct {
	rack     structs.RackID
	sequence uint64
	gone     bool // not on the instance list; else another instance owns its rack
}

// departedKept bounds the workers without a session that the feed still reports.
const departedKept = 4096

// gangChecks is how often per renewal interval the withheld gangs are determined.
const gangChecks = 10

// New returns an owner that does nothing until Run.
func New(config Config) *Owner {
	self, dc := config.View.Self()
	return &Owner{
		config: config, self: self, dc: dc, sessions: map[structs.WorkerID]*session{},
		gone: map[structs.WorkerID]departed{}, changed: make(chan struct{}),
	}
}

// Run keeps the sessions in step with the view until ctx ends. It then releases them and returns.
func (o *Owner) Run(ctx context.Context) error {
	defer o.wg.Wait()
	for {
		changed := o.config.View.Changed()
		o.reconcile(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(o.config.Timing.Renew):
		}
	}
}

// reconcile starts and ends sessions as the view says.
func (o *Owner) reconcile(ctx context.Context) {
	listed := map[structs.WorkerID]bool{}
	mine := map[structs.WorkerID]platform.Instance{}
	for _, w := range o.config.View.Workers(o.dc) {
		id := structs.WorkerID(w.ID)
		listed[id] = true
		if o.config.View.Owner(o.dc, OwnerKey(w.Rack)) == o.self {
			mine[id] = w
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, s := range o.sessions {
		w, keep := mine[id]
		if !keep || w.Address != s.address {
			s.stop(listed[id])
			o.depart(id, s, !listed[id])
		}
	}
	for id, w := range mine {
		if _, known := o.sessions[id]; !known {
			o.open(ctx, id, w)
		}
	}
	o.config.Metrics.Gauge("rackowner_workers").Update(float64(len(o.sessions)))
}

// open starts a session's goroutine. The lock is held.
func (o *Owner) open(ctx context.Context, id structs.WorkerID, w platform.Instance) {
	ctx, cancel := context.WithCancel(ctx)
	s := newSession(o, id, w, cancel)
	o.sessions[id] = s
	delete(o.gone, id)
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		s.run(ctx)
	}()
}

// depart records that a worker has no session here any more. The lock is held.
func (o *Owner) depart(id structs.WorkerID, s *session, gone bool) {
	delete(o.sessions, id)
	if len(o.gone) >= departedKept {
		o.dropOldestDeparted()
	}
	o.gone[id] = departed{rack: s.rack, sequence: o.advance(), gone: gone}
}

func (o *Owner) dropOldestDeparted() {
	var oldest structs.WorkerID
	for id, d := range o.gone {
		if oldest == "" || d.sequence < o.gone[oldest].sequence {
			oldest = id
		}
	}
	delete(o.gone, oldest)
}

// advance returns the next sequence number and wakes the readers of the feed. The lock is held.
func (o *Owner) advance() uint64 {
	o.sequence++
	close(o.changed)
	o.changed = make(chan struct{})
	return o.sequence
}

// Workers returns how many workers this instance has a session with, and how many it should have.
func (o *Owner) Workers() (reachable, owned int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.sessions {
		if s.reachable {
			reachable++
		}
	}
	return reachable, len(o.sessions)
}

// withheld returns the jobs whose task leases must not be extended now. The result is computed at most gangChecks
// times per renewal interval, since it visits every task. The lock is held.
func (o *Owner) withheld(now time.Time) []structs.JobID {
	if now.Sub(o.barredAt) >= o.config.Timing.Renew/gangChecks {
		o.barred = o.findWithheld(now)
		o.barredAt = now
	}
	return o.barred
}

// findWithheld is withheld without the cache. The lock is held.
//
// A gang is extended only while this owner sees all its members alive, or while a scheduler that sees the rest was
// heard within half a task lease. This bounds the time that a member runs without the others to 1.5 task leases.
func (o *Owner) findWithheld(now time.Time) []structs.JobID {
	jobs := slices.Clone(o.withhold)
	heard := now.Sub(o.heardGang) <= o.config.Timing.TaskLease/2
	for id, g := range o.gangs() {
		if g.broken || (g.seen < g.members && !heard) {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	return slices.Compact(jobs)
}

// gang is what this owner sees of a gang's newest attempt.
type gang struct {
	attempt uint64
	members int
	seen    int  // members that run or have finished
	broken  bool // a member is lost, failed or stopped
}

// gangs collects the gangs on the own workers. The lock is held.
func (o *Owner) gangs() map[structs.JobID]*gang {
	all := map[structs.JobID]*gang{}
	for _, s := range o.sessions {
		for _, t := range s.tasks {
			if t.status.Task.Members > 1 {
				countMember(all, s, t.status)
			}
		}
	}
	return all
}

func countMember(all map[structs.JobID]*gang, s *session, status platform.TaskStatus) {
	id := status.Task.Job.ID
	g := all[id]
	if g == nil || g.attempt < status.Task.Attempt {
		g = &gang{attempt: status.Task.Attempt, members: status.Task.Members}
		all[id] = g
	}
	if status.Task.Attempt < g.attempt {
		return
	}
	switch status.Phase {
	case platform.TaskRunning, platform.TaskCheckpointing:
		g.seen++
		g.broken = g.broken || !s.reachable
	case platform.TaskFinished, platform.TaskForgotten:
		g.seen++
	case platform.TaskFailed, platform.TaskStopped, platform.TaskLapsed:
		g.broken = true
	}
}
