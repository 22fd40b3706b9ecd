package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/rackowner"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// roleRetryInterval is the time between attempts to take the scheduler role.
const roleRetryInterval = 100 * time.Millisecond

// Config is what a Scheduler needs.
type Config struct {
	View            membership.View
	Text            func() *spec.Text // the specification in force, nil when there is none yet
	Jobs            Jobs
	Racks           func(ctx context.Context) rackowner.Racks // makes a new attachment to the rack owners
	Timing          rackowner.Timing
	CheckpointGrace time.Duration // longest time that a task gets for a checkpoint
	Tick            time.Duration // longest time between two steps of the decision loop, 0 means DefaultTick
	ProbeInterval   time.Duration // time between probes of an excluded worker, 0 means DefaultProbeInterval
	ChargeInterval  time.Duration // time between charges for borrowed use of running jobs, 0 means DefaultChargeInterval
	Log             *event.Log
	Metrics         tally.Scope
}

// Defaults of Config.
const (
	DefaultTick           = 50 * time.Millisecond
	DefaultProbeInterval  = 30 * time.Second
	DefaultChargeInterval = 10 * time.Second
)

// Scheduler runs a decision loop while this instance owns the scheduler role of its data centre.
type Scheduler struct {
	config Config
	self   structs.InstanceID
	dc     structs.DataCentre

	mu     sync.Mutex
	active *term // nil while this instance does not have the role
}

// New returns a scheduler. It does nothing until Run is called.
func New(config Config) *Scheduler {
	if config.Tick == 0 {
		config.Tick = DefaultTick
	}
	if config.ProbeInterval == 0 {
		config.ProbeInterval = DefaultProbeInterval
	}
	if config.ChargeInterval == 0 {
		config.ChargeInterval = DefaultChargeInterval
	}
	self, dc := config.View.Self()
	return &Scheduler{config: config, self: self, dc: dc}
}

// Run takes the role whenever membership names this instance as its owner, until ctx ends. It gives the role up before it
// returns.
func (s *Scheduler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := s.config.View.Changed()
		if s.ownsRole() && s.config.Text() != nil {
			s.serve(ctx)
		}
		timer := time.NewTimer(roleRetryInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return ctx.Err()
}

func (s *Scheduler) ownsRole() bool {
	return s.config.View.Owner(s.dc, membership.OwnerKeyScheduler) == s.self
}

// serve attaches to the rack owners and runs the decision loop until the role is lost or membership names another owner.
func (s *Scheduler) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	racks := s.config.Racks(ctx)
	attachCtx, cancelAttach := context.WithTimeout(ctx, 2*s.config.Timing.SessionTTL+time.Second)
	err := racks.Attach(attachCtx)
	cancelAttach()
	if err != nil {
		return
	}
	t := newTerm(s.config, s.dc, racks)
	s.setActive(t)
	t.run(ctx, s.ownsRole)
	s.setActive(nil)
	racks.Detach(context.WithoutCancel(ctx))
	s.config.Log.Emit(eventInactive)
}

func (s *Scheduler) setActive(t *term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = t
}

// ask runs f in the decision loop. The error is of kind Unavailable when this instance does not have the role.
func (s *Scheduler) ask(ctx context.Context, f func(*term)) error {
	s.mu.Lock()
	t := s.active
	s.mu.Unlock()
	if t == nil {
		return errkind.New(errkind.Unavailable, "retry in a few seconds", "this instance is not the scheduler of data centre %s", s.dc)
	}
	return t.ask(ctx, func() { f(t) })
}

// Active reports whether this instance is the scheduler of its data centre now.
func (s *Scheduler) Active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active != nil
}
