// Package router handles a request from its arrival to its response: admission, fair queueing, a free slot at a minion of
// this instance or of a peer in the data centre, retries within a budget, and the outcome reported to the caller.
package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// tickInterval is how often the router polls for changes of which it is not notified: the specification, the number of
// slots, and the free slots that peers report.
const tickInterval = 50 * time.Millisecond

// Slot is the right to run one request at a minion.
type Slot interface {
	Run(ctx context.Context, call minion.Call) minion.Result
	Release()
}

// Pool manages the slots of the minions that this instance owns.
type Pool interface {
	// Acquire takes a free slot. It returns nil when there is none.
	Acquire(service structs.ServiceName) Slot
	// Slots returns how many slots the instance may currently use, including busy ones.
	Slots(service structs.ServiceName) int
	// OnFree sets the function to call, with no locks held, when a slot may have become free.
	OnFree(func(structs.ServiceName))
}

// Peers returns the free slots of a service that the other instances of the data centre reported.
type Peers interface {
	FreeSlots(service structs.ServiceName) map[structs.InstanceID]int
}

// Dependencies returns a service that the given one depends on and that is down in this data centre, "" if all are up.
type Dependencies interface {
	Down(service structs.ServiceName) structs.ServiceName
}

// Config configures a Router.
type Config struct {
	Text         func() *spec.Text // the specification in force, nil when there is none yet
	Pool         Pool
	Keys         Keys
	Peers        Peers
	Calls        peer.Caller
	Dependencies Dependencies
	Events       *event.Log
	Scope        tally.Scope
}

// Router routes requests that arrive at this instance. It is safe for concurrent use.
type Router struct {
	cfg Config

	mu       sync.Mutex
	services map[structs.ServiceName]*service
	running  int
	draining bool
	idle     chan struct{} // closed and replaced whenever running drops to 0
}

// New returns a router.
func New(cfg Config) *Router {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	r := &Router{cfg: cfg, services: map[structs.ServiceName]*service{}, idle: make(chan struct{})}
	cfg.Pool.OnFree(r.slotFreed)
	return r
}

// FromPool adapts a minion.Pool to the Pool interface.
func FromPool(pool *minion.Pool) Pool { return poolAdapter{pool} }

type poolAdapter struct{ *minion.Pool }

// Acquire implements Pool. It returns an untyped nil when there is no free slot.
func (a poolAdapter) Acquire(service structs.ServiceName) Slot {
	if slot := a.Pool.Acquire(service); slot != nil {
		return slot
	}
	return nil
}

// Run applies changes of the specification, the number of slots and the peers' free slots until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.tick()
		}
	}
}

func (r *Router) tick() {
	text := r.cfg.Text()
	r.mu.Lock()
	services := make([]*service, 0, len(r.services))
	for name, s := range r.services {
		if text != nil && !declares(text, name) && s.waiting() == 0 {
			delete(r.services, name)
			continue
		}
		services = append(services, s)
	}
	r.mu.Unlock()
	for _, s := range services {
		s.refresh(text)
		s.resize()
		s.dispatch()
	}
}

func (r *Router) slotFreed(name structs.ServiceName) {
	r.mu.Lock()
	s := r.services[name]
	r.mu.Unlock()
	if s != nil {
		s.dispatch()
	}
}

// service returns the queue of a declared service that has minions, and the declaration of the kind.
func (r *Router) service(name structs.ServiceName, kind structs.KindName) (*service, *spec.RequestKind, error) {
	text := r.cfg.Text()
	if text == nil {
		return nil, nil, errkind.New(errkind.Unavailable, remedyRetry, "no configuration is in force yet")
	}
	declared, declaredKind := findKind(text, name, kind)
	if declaredKind == nil {
		return nil, nil, errkind.New(errkind.NotFound, "use a service and a kind of the specification", "service %q has no kind %q", name, kind)
	}
	r.mu.Lock()
	s := r.services[name]
	if s == nil {
		s = newService(r, declared.Name)
		r.services[name] = s
	}
	r.mu.Unlock()
	s.refresh(text)
	return s, declaredKind, nil
}

func declares(text *spec.Text, name structs.ServiceName) bool {
	return slices.ContainsFunc(text.Services, func(s spec.Service) bool { return s.Name == name })
}

func findKind(text *spec.Text, name structs.ServiceName, kind structs.KindName) (*spec.Service, *spec.RequestKind) {
	for i := range text.Services {
		s := &text.Services[i]
		if s.Name != name || s.Minions == nil {
			continue
		}
		for j := range s.Kinds {
			if s.Kinds[j].Name == kind {
				return s, &s.Kinds[j]
			}
		}
	}
	return nil, nil
}

// Drain rejects new requests and waits until every accepted one has finished or ctx ends. Slots and keys must stay usable
// until it returns.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.cfg.Events.Emit(eventDraining)
	for {
		r.mu.Lock()
		remaining, idle := r.running, r.idle
		r.mu.Unlock()
		if remaining == 0 {
			r.cfg.Events.Emit(eventDrained)
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Deadline, "raise drain_timeout", "%d requests had not finished at the end of the drain", remaining)
		}
	}
}

// beginRequest counts a request as running. It fails while the instance is draining.
func (r *Router) beginRequest() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return errkind.New(errkind.Unavailable, remedyRetry, "this instance is shutting down")
	}
	r.running++
	return nil
}

// endRequest counts a request as ended.
func (r *Router) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if r.running == 0 {
		close(r.idle)
		r.idle = make(chan struct{})
	}
}

// Status is the state of the queue of one service, for the state dump.
type Status struct {
	Service structs.ServiceName `json:"service"`
	Waiting int                 `json:"waiting"`
	Slots   int                 `json:"slots"`
}

// Statuses returns the state of every service that currently has a queue.
func (r *Router) Statuses() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := make([]Status, 0, len(r.services))
	for name, s := range r.services {
		statuses = append(statuses, Status{Service: name, Waiting: s.waiting(), Slots: r.cfg.Pool.Slots(name)})
	}
	return statuses
}
