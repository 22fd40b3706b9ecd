// Package minion manages the minions that this instance owns: their slots, connections and health, and the protocol by
// which an instance takes over a minion from its earlier owner.
//
// The owner of a minion is selected among the entry instances of the data centre by rendezvous hashing. As the
// instances' views can differ, a new owner uses a minion only after every other entry instance of the data centre has
// released it or is known to be gone. An instance refuses to release a minion that it owns in its own view.
package minion

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Timings.
const (
	defaultStatusInterval  = 500 * time.Millisecond
	defaultFreezeThreshold = 2 * time.Second
	// statusMaxAge is the age of the latest status beyond which a minion gets no new requests. A minion may begin to leave
	// right after a status, and must get no new requests from 3 s after that on.
	statusMaxAge = 2 * time.Second
)

// Config holds the dependencies and settings of a Pool. Scope, StatusInterval and FreezeThreshold are optional.
type Config struct {
	View            membership.View
	Peers           peer.Caller
	Text            func() *spec.Text // returns the specification in force; nil when there is none yet
	Events          *event.Log
	Scope           tally.Scope
	StatusInterval  time.Duration // time between status requests to a minion
	FreezeThreshold time.Duration // after a longer pause of this process, it claims its minions again
}

// Pool holds the minions that this instance owns or claims, and hands out their free slots. It is safe for concurrent
// use.
type Pool struct {
	cfg        Config
	self       structs.InstanceID
	dataCentre structs.DataCentre
	claimNow   chan struct{} // triggers an immediate round of the claim loop

	claimed  tally.Counter
	released tally.Counter
	pauses   tally.Counter

	mu             sync.Mutex
	members        map[structs.MinionID]*member
	available      map[structs.ServiceName]*minionHeap // minions with free slots
	lastPauseCheck time.Time                           // time of the latest call of checkPause
	draining       bool                                // no minion may be used or claimed any more
	onFree         func(structs.ServiceName)
	requestEnded   chan struct{} // closed and replaced when a request ends
}

// New returns a pool that does nothing until Run is called.
func New(cfg Config) *Pool {
	cfg.StatusInterval = cmp.Or(cfg.StatusInterval, defaultStatusInterval)
	cfg.FreezeThreshold = cmp.Or(cfg.FreezeThreshold, defaultFreezeThreshold)
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	self, centre := cfg.View.Self()
	scope := cfg.Scope.SubScope("minion")
	return &Pool{
		cfg:          cfg,
		self:         self,
		dataCentre:   centre,
		claimNow:     make(chan struct{}, 1),
		claimed:      scope.Counter("claimed"),
		released:     scope.Counter("released"),
		pauses:       scope.Counter("pauses"),
		members:      map[structs.MinionID]*member{},
		available:    map[structs.ServiceName]*minionHeap{},
		onFree:       func(structs.ServiceName) {},
		requestEnded: make(chan struct{}),
	}
}

// OnFree sets the function to call when a slot of a service may have become free. It is called without locks held.
// OnFree must be called before Run.
func (p *Pool) OnFree(f func(structs.ServiceName)) { p.onFree = f }

// Run claims and polls minions until ctx ends, and then releases them.
func (p *Pool) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { p.watchPauses(ctx) })
	running.Go(func() { p.claimLoop(ctx) })
	running.Wait()
	p.stopAll()
	return ctx.Err()
}

// Acquire takes a free slot of a service on its least loaded minion. It returns nil if there is none. The caller must
// release the slot.
func (p *Pool) Acquire(service structs.ServiceName) *Slot {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.usableLocked(now) {
		return nil
	}
	minions := p.available[service]
	for minions != nil && minions.Len() > 0 {
		m := minions.leastLoaded()
		if now.Sub(m.statusAt) > statusMaxAge {
			m.healthy = false
			p.reindexLocked(m)
			continue
		}
		m.inFlight++
		m.slotsTaken++
		p.reindexLocked(m)
		return &Slot{pool: p, member: m}
	}
	return nil
}

// usableLocked reports whether the pool may be used: it is not draining, the view is fresh, and this process was not
// paused, so that its ownership of minions still holds.
func (p *Pool) usableLocked(now time.Time) bool {
	return !p.draining && now.Sub(p.lastPauseCheck) <= p.cfg.FreezeThreshold && p.cfg.View.Fresh()
}

// Slots returns the number of slots of a service that this instance may use now, including busy ones.
func (p *Pool) Slots(service structs.ServiceName) int {
	return p.sum(service, func(m *member) int { return max(0, m.slotLimit()-m.foreignSlots()) })
}

// Free returns the number of free slots of a service, which is published to the other instances.
func (p *Pool) Free(service structs.ServiceName) int {
	return p.sum(service, func(m *member) int { return max(0, m.slotLimit()-m.foreignSlots()-m.inFlight) })
}

func (p *Pool) sum(service structs.ServiceName, value func(*member) int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, m := range p.members {
		if m.service == service && m.usable() {
			total += value(m)
		}
	}
	return total
}

// Drain releases all minions, so that no new request starts. It waits until the requests in flight have ended or ctx
// ends.
func (p *Pool) Drain(ctx context.Context) error {
	p.mu.Lock()
	p.draining = true
	for _, m := range p.members {
		p.releaseLocked(m)
	}
	p.mu.Unlock()
	for {
		running, requestEnded := p.inFlight()
		if running == 0 {
			return nil
		}
		select {
		case <-requestEnded:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Deadline, "raise drain_timeout", "%d requests were still running at the end of the drain", running)
		}
	}
}

func (p *Pool) inFlight() (int, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, m := range p.members {
		total += m.inFlight
	}
	return total, p.requestEnded
}

// Report is the entry of one minion in the state dump.
type Report struct {
	ID       structs.MinionID    `json:"id"`
	Service  structs.ServiceName `json:"service"`
	Address  string              `json:"address"`
	Phase    string              `json:"phase"`
	Slots    int                 `json:"slots"`
	InFlight int                 `json:"in_flight"`
	Foreign  int                 `json:"foreign"` // slots that are or may be busy with requests of other instances or orphans
	Leaving  bool                `json:"leaving"`
	Healthy  bool                `json:"healthy"`
}

// Reports returns the minions of the pool in order of their ids.
func (p *Pool) Reports() []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := make([]Report, 0, len(p.members))
	for _, m := range p.members {
		reports = append(reports, m.report())
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.ID, b.ID) })
	return reports
}
