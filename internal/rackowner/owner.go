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

// Timing holds the timing settings that rack owners and schedulers share.
type Timing struct {
	SessionTTL time.Duration // lifetime of a worker session and of the scheduler role without renewal
	Renew      time.Duration // interval between renewals of sessions and of the scheduler role
	TaskLease  time.Duration // how long a worker runs a task after the last renewal
	HoldTTL    time.Duration // how long a worker keeps accelerators reserved for a task that has not started
}

// DefaultTiming returns the defaults from section 9 of docs/design.md.
func DefaultTiming() Timing {
	return Timing{SessionTTL: 3 * time.Second, Renew: time.Second, TaskLease: 15 * time.Second, HoldTTL: 5 * time.Second}
}

// OwnerKey returns the key that selects a rack's owner by rendezvous hashing.
func OwnerKey(rack structs.RackID) string { return "rack/" + string(rack) }

// Config holds the dependencies and settings of an Owner.
type Config struct {
	View    membership.View
	HTTP    *http.Client // for calls to workers
	Timing  Timing
	Log     *event.Log
	Metrics tally.Scope
}

// Owner is the rack owner of one entry instance. For each worker of an owned rack, one goroutine claims and renews the
// worker's session.
type Owner struct {
	config     Config
	self       structs.InstanceID
	dataCentre structs.DataCentre

	mu                sync.Mutex
	sessions          map[structs.WorkerID]*session
	departed          map[structs.WorkerID]departedWorker
	sequence          uint64          // sequence number of the latest change in the feed
	changed           chan struct{}   // closed and replaced at each change
	scheduler         lease.Lease     // scheduler role at this rack owner
	gangsRenewedAt    time.Time       // when the current scheduler last permitted gang renewals
	schedulerWithheld []structs.JobID // jobs whose task leases the scheduler asked not to extend
	withheldCache     []structs.JobID // latest result of computeWithheld
	withheldCachedAt  time.Time
	wg                sync.WaitGroup
}

// departedWorker records a worker that this instance owned before, so that the change feed can report its departure.
type departedWorker struct {
	rack     structs.RackID
	sequence uint64 // sequence number of the departure in the feed
	unlisted bool   // the instance list no longer shows the worker; if false, it has a new owner or address
}

// maxDeparted is the largest number of departed workers that the feed remembers.
const maxDeparted = 4096

// withheldChecksPerRenewal limits how often the withheld jobs are computed within one renewal interval.
const withheldChecksPerRenewal = 10

// New returns an owner that does nothing until Run is called.
func New(config Config) *Owner {
	self, dc := config.View.Self()
	return &Owner{
		config: config, self: self, dataCentre: dc, sessions: map[structs.WorkerID]*session{},
		departed: map[structs.WorkerID]departedWorker{}, changed: make(chan struct{}),
	}
}

// Run keeps a session with each worker that the membership view assigns to this instance. When ctx ends, it releases
// the sessions and returns.
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

// reconcile starts sessions with newly owned workers and stops those with workers that were removed, changed address or
// have another owner.
func (o *Owner) reconcile(ctx context.Context) {
	listed := map[structs.WorkerID]bool{}
	owned := map[structs.WorkerID]platform.Instance{}
	for _, w := range o.config.View.Workers(o.dataCentre) {
		id := structs.WorkerID(w.ID)
		listed[id] = true
		if o.config.View.Owner(o.dataCentre, OwnerKey(w.Rack)) == o.self {
			owned[id] = w
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, s := range o.sessions {
		w, stillOwned := owned[id]
		if !stillOwned || w.Address != s.address {
			s.stop(listed[id])
			o.removeSession(id, s, !listed[id])
		}
	}
	for id, w := range owned {
		if _, known := o.sessions[id]; !known {
			o.startSession(ctx, id, w)
		}
	}
	o.config.Metrics.Gauge("rackowner_workers").Update(float64(len(o.sessions)))
}

// startSession starts the goroutine that claims and renews a worker's session. The caller holds o.mu.
func (o *Owner) startSession(ctx context.Context, id structs.WorkerID, w platform.Instance) {
	ctx, cancel := context.WithCancel(ctx)
	s := newSession(o, id, w, cancel)
	o.sessions[id] = s
	delete(o.departed, id)
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		s.run(ctx)
	}()
}

// removeSession removes a worker's session and records the departure for the change feed. The caller holds o.mu.
func (o *Owner) removeSession(id structs.WorkerID, s *session, unlisted bool) {
	delete(o.sessions, id)
	if len(o.departed) >= maxDeparted {
		o.dropOldestDeparted()
	}
	o.departed[id] = departedWorker{rack: s.rack, sequence: o.nextSequence(), unlisted: unlisted}
}

func (o *Owner) dropOldestDeparted() {
	var oldest structs.WorkerID
	for id, d := range o.departed {
		if oldest == "" || d.sequence < o.departed[oldest].sequence {
			oldest = id
		}
	}
	delete(o.departed, oldest)
}

// nextSequence increments the feed's sequence number and wakes the readers of the feed. The caller holds o.mu.
func (o *Owner) nextSequence() uint64 {
	o.sequence++
	close(o.changed)
	o.changed = make(chan struct{})
	return o.sequence
}

// Workers returns how many workers this instance holds a session with, and how many it owns.
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

// withheldJobs returns the jobs whose task leases must not be extended now. The result is cached for a fraction of the
// renewal interval, because computing it visits every task. The caller holds o.mu.
func (o *Owner) withheldJobs(now time.Time) []structs.JobID {
	if now.Sub(o.withheldCachedAt) >= o.config.Timing.Renew/withheldChecksPerRenewal {
		o.withheldCache = o.computeWithheld(now)
		o.withheldCachedAt = now
	}
	return o.withheldCache
}

// computeWithheld determines the jobs whose task leases must not be extended. The caller holds o.mu.
//
// A gang's task leases are extended only while all its members run on this owner's workers, or while the scheduler,
// which sees the members on other racks too, has permitted it within the last half task lease. This bounds the time
// that a member runs without the others to 1.5 task leases.
func (o *Owner) computeWithheld(now time.Time) []structs.JobID {
	jobs := slices.Clone(o.schedulerWithheld)
	permitRecent := now.Sub(o.gangsRenewedAt) <= o.config.Timing.TaskLease/2
	for id, g := range o.gangs() {
		if g.broken || (g.seen < g.members && !permitRecent) {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	return slices.Compact(jobs)
}

// gang is the state of a gang's newest attempt on the workers of this owner.
type gang struct {
	attempt uint64
	members int  // number of members on all racks together
	seen    int  // number of members on this owner's workers that run, have finished or were forgotten
	broken  bool // a member is lost, failed, stopped or without a task lease
}

// gangs returns the gangs that have members on this owner's workers. The caller holds o.mu.
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

// countMember adds a task to its job's gang. Tasks of older attempts do not count.
func countMember(gangs map[structs.JobID]*gang, s *session, status platform.TaskStatus) {
	id := status.Task.Job.ID
	g := gangs[id]
	if g == nil || g.attempt < status.Task.Attempt {
		g = &gang{attempt: status.Task.Attempt, members: status.Task.Members}
		gangs[id] = g
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
