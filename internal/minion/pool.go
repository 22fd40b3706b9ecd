// Package minion keeps the minions that this instance owns: their slots, connections, health, and the protocol by which
// an instance takes a minion over from its earlier owner.
//
// The owner of a minion is the rendezvous winner among the entry instances of the data centre. Views differ, so a
// winner uses a minion only after every other entry instance of the data centre has answered that it does not use it,
// or is known to be gone. An instance that asks refuses to answer others so while its own view names it the owner.
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

// Default timings.
const (
	defaultPoll   = 500 * time.Millisecond
	defaultFreeze = 2 * time.Second
	// statusMaxAge is how old a minion's last status may be for it to get work. A minion may say that it is leaving at
	// any time after its last status, and gets no new work 3 s later.
	statusMaxAge = 2 * time.Second
)

// Config holds what a pool needs. Poll and Freeze have defaults.
type Config struct {
	View            membership.View
	Peers           peer.Caller
	Text            func() *spec.Text // the specification in force, nil when there is none yet
	Events          *event.Log
	Scope           tally.Scope
	StatusInterval  time.Duration // between two status requests to a minion
	FreezeThreshold time.Duration // a pause of this process after which it claims its minions again
}

// Pool holds the minions of this instance. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	self   structs.InstanceID
	centre structs.DataCentre
	wake   chan struct{} // asks the claim loop for a round

	claimed  tally.Counter
	released tally.Counter
	pauses   tally.Counter

	mu       sync.Mutex
	members  map[structs.MinionID]*member
	ready    map[structs.ServiceName]*readyHeap
	lastTick time.Time
	draining bool
	onFree   func(structs.ServiceName)
	idle     chan struct{} // closed and replaced when a request ends
}

// New returns a pool. It does nothing until Run is called.
func New(cfg Config) *Pool {
	cfg.StatusInterval = cmp.Or(cfg.StatusInterval, defaultPoll)
	cfg.FreezeThreshold = cmp.Or(cfg.FreezeThreshold, defaultFreeze)
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	self, centre := cfg.View.Self()
	scope := cfg.Scope.SubScope("minion")
	return &Pool{
		cfg:      cfg,
		self:     self,
		centre:   centre,
		wake:     make(chan struct{}, 1),
		claimed:  scope.Counter("claimed"),
		released: scope.Counter("released"),
		pauses:   scope.Counter("pauses"),
		members:  map[structs.MinionID]*member{},
		ready:    map[structs.ServiceName]*readyHeap{},
		onFree:   func(structs.ServiceName) {},
		idle:     make(chan struct{}),
	}
}

// OnFree sets the function that is called, without locks held, when a slot of a service may have become free. It is
// set before Run.
func (p *Pool) OnFree(f func(structs.ServiceName)) { p.onFree = f }

// Run keeps the pool until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { p.tickLoop(ctx) })
	running.Go(func() { p.claimLoop(ctx) })
	running.Wait()
	p.stopAll()
	return ctx.Err()
}

// Acquire takes a free slot of a service at the least loaded minion, nil when there is none. The caller releases it.
func (p *Pool) Acquire(service structs.ServiceName) *Slot {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.freshLocked(now) {
		return nil
	}
	ready := p.ready[service]
	for ready != nil && ready.Len() > 0 {
		m := ready.least()
		if now.Sub(m.statusAt) > statusMaxAge {
			m.healthy = false
			p.reindexLocked(m)
			continue
		}
		m.inFlight++
		m.starts++
		p.reindexLocked(m)
		return &Slot{pool: p, member: m}
	}
	return nil
}

// freshLocked reports whether this process ran without a pause, so that what it knows still holds.
func (p *Pool) freshLocked(now time.Time) bool {
	return !p.draining && now.Sub(p.lastTick) <= p.cfg.FreezeThreshold && p.cfg.View.Fresh()
}

// Slots returns how many slots of a service this instance may use at present, busy ones included.
func (p *Pool) Slots(service structs.ServiceName) int {
	return p.sum(service, func(m *member) int { return max(0, m.limit()-m.foreign()) })
}

// Free returns how many slots of a service are free at present. Other instances are told this number.
func (p *Pool) Free(service structs.ServiceName) int {
	return p.sum(service, func(m *member) int { return max(0, m.limit()-m.foreign()-m.inFlight) })
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

// Drain stops new work, gives every minion up and waits until the requests in flight have ended or ctx ends.
func (p *Pool) Drain(ctx context.Context) error {
	p.mu.Lock()
	p.draining = true
	for _, m := range p.members {
		p.releaseLocked(m)
	}
	p.mu.Unlock()
	for {
		left, idle := p.inFlight()
		if left == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Deadline, "raise drain_timeout", "%d requests were still running at the end of the drain", left)
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
	return total, p.idle
}

// Report describes one minion for the state dump.
type Report struct {
	ID       structs.MinionID    `json:"id"`
	Service  structs.ServiceName `json:"service"`
	Address  string              `json:"address"`
	Phase    string              `json:"phase"`
	Slots    int                 `json:"slots"`
	InFlight int                 `json:"in_flight"`
	Foreign  int                 `json:"foreign"` // busy slots that are not this instance's requests
	Leaving  bool                `json:"leaving"`
	Healthy  bool                `json:"healthy"`
}

// Reports returns the minions that this instance uses or claims, in order of their ids.
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
