// Package router takes a request from its arrival to its complete response: admission, fair queue, one free slot at an
// own minion or at a peer of the data centre, retries within a budget, and the outcome that the caller is told.
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

// tickEvery is how often the router looks for changes that nothing announces: the specification, the number of slots
// and the free slots that peers report.
const tickEvery = 50 * time.Millisecond

// Slot is the right to run one request at a minion.
type Slot interface {
	Run(ctx context.Context, call minion.Call) minion.Result
	Release()
}

// Pool gives slots at the minions that this instance owns.
type Pool interface {
	// Acquire takes a free slot, nil when there is none.
	Acquire(service structs.ServiceName) Slot
	// Slots returns how many slots the instance may use at present, busy ones included.
	Slots(service structs.ServiceName) int
	// OnFree sets the function that is called, without locks held, when a slot may have become free.
	OnFree(func(structs.ServiceName))
}

// Peers tells which other instances of the data centre reported free slots of a service.
type Peers interface {
	FreeSlots(service structs.ServiceName) map[structs.InstanceID]int
}

// Dependencies tells what a service depends on and is down in this data centre, "" when everything is up.
type Dependencies interface {
	Down(service structs.ServiceName) structs.ServiceName
}

// Config holds what a router needs.
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

// Router routes the requests that arrive at this instance. It is safe for concurrent use.
type Router struct {
	cfg Config

	mu       sync.Mutex
	services map[structs.ServiceName]*service
	running  int
	draining bool
	ended    chan struct{} // closed and replaced when the last running request ends
}

// New returns a router.
func New(cfg Config) *Router {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	r := &Router{cfg: cfg, services: map[structs.ServiceName]*service{}, ended: make(chan struct{})}
	cfg.Pool.OnFree(r.slotFreed)
	return r
}

// FromPool adapts a minion.Pool.
func FromPool(pool *minion.Pool) Pool { return poolAdapter{pool} }

type poolAdapter struct{ *minion.Pool }

// Acquire returns an untyped nil when there is no slot.
func (a poolAdapter) Acquire(service structs.ServiceName) Slot {
	if slot := a.Pool.Acquire(service); slot != nil {
		return slot
	}
	return nil
}

// Run follows the specification and the peers' free slots until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
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

// service returns the state of a declared service that takes requests, and the kind.
func (r *Router) service(name structs.ServiceName, kind structs.KindName) (*service, *spec.RequestKind, error) {
	text := r.cfg.Text()
	if text == nil {
		return nil, nil, errkind.New(errkind.Unavailable, remedyRetry, "no configuration is in force yet")
	}
	declared, declaredKind := find(text, name, kind)
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

func find(text *spec.Text, name structs.ServiceName, kind structs.KindName) (*spec.Service, *spec.RequestKind) {
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

// Drain refuses new requests and waits until every accepted one has its outcome, or ctx ends. Slots and keys must stay
// usable until it returns.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.cfg.Events.Emit(eventDraining)
	for {
		r.mu.Lock()
		left, ended := r.running, r.ended
		r.mu.Unlock()
		if left == 0 {
			r.cfg.Events.Emit(eventDrained)
			return nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Deadline, "raise drain_timeout", "%d requests had no outcome at the end of the drain", left)
		}
	}
}

// enter counts a request in. It fails while the instance drains.
func (r *Router) enter() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return errkind.New(errkind.Unavailable, remedyRetry, "this instance is shutting down")
	}
	r.running++
	return nil
}

func (r *Router) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if r.running == 0 {
		close(r.ended)
		r.ended = make(chan struct{})
	}
}

// Status describes the queue of one service for the state dump.
type Status struct {
	Service structs.ServiceName `json:"service"`
	Waiting int                 `json:"waiting"`
	Slots   int                 `json:"slots"`
}

// Statuses returns the queues of all services that took requests so far.
func (r *Router) Statuses() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := make([]Status, 0, len(r.services))
	for name, s := range r.services {
		statuses = append(statuses, Status{Service: name, Waiting: s.waiting(), Slots: r.cfg.Pool.Slots(name)})
	}
	return statuses
}
