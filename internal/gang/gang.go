// Package gang starts either all members of a placed job or none. It first holds the accelerators of every member and
// then starts all members. When any step fails, every member is released.
//
// One gap remains: when a start takes effect, its response is lost and the worker then cannot be reached, that member runs
// alone until its task lease expires. Such members are returned as uncertain, so that the scheduler starts no further
// attempt of the job before that time.
package gang

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// maxParallelCommands bounds the commands in flight for one gang.
const maxParallelCommands = 32

// maxReleaseAttempts bounds the attempts to release one member.
const maxReleaseAttempts = 3

// Commands is the part of rackowner.Racks that a start needs.
type Commands interface {
	Hold(ctx context.Context, task structs.Task, ttl time.Duration) error
	Start(ctx context.Context, task structs.Task) error
	Release(ctx context.Context, task structs.Task) error
}

// Phase is a phase of a gang start.
type Phase string

// Phases of a gang start, in order.
const (
	PhaseHold  Phase = "hold"
	PhaseStart Phase = "start"
)

// Failure is a member that could not be held or started. Phase is the phase in which it failed.
type Failure struct {
	Task  structs.Task
	Phase Phase
	Err   error
}

// Result is the outcome of a start. Either Started is true or Failures has at least one element.
type Result struct {
	Started   bool
	Failures  []Failure
	Uncertain []structs.Task // members that may have started and could not be released
}

// Starter starts gangs. It keeps no state between calls.
type Starter struct {
	Commands Commands
	HoldTTL  time.Duration // lifetime of a hold, and bound on the releases of an aborted start
	Log      *event.Log
	Metrics  tally.Scope
}

// Start holds and starts all tasks. It returns when all have started, or when all that could be reached have been
// released. The end of ctx aborts the start; the releases still run then, for at most HoldTTL in all.
func (s *Starter) Start(ctx context.Context, tasks []structs.Task) Result {
	begun := time.Now()
	failures := s.forEachTask(tasks, PhaseHold, func(t structs.Task) error {
		return s.Commands.Hold(ctx, t, s.HoldTTL)
	})
	if len(failures) > 0 {
		return s.abort(tasks, nil, failures)
	}
	// A hold that expires between the phases would leave its member out, so a gang that took too long is not started.
	if time.Since(begun) > s.HoldTTL/2 || ctx.Err() != nil {
		tooLate := Failure{Task: tasks[0], Phase: PhaseHold, Err: context.DeadlineExceeded}
		return s.abort(tasks, nil, []Failure{tooLate})
	}
	failures = s.forEachTask(tasks, PhaseStart, func(t structs.Task) error { return s.Commands.Start(ctx, t) })
	if len(failures) > 0 {
		return s.abort(tasks, tasks, failures)
	}
	s.Metrics.Counter("gang_started").Inc(1)
	return Result{Started: true}
}

// forEachTask runs step for every task, at most maxParallelCommands at once, and returns the failures in order of the tasks.
func (s *Starter) forEachTask(tasks []structs.Task, phase Phase, step func(structs.Task) error) []Failure {
	failed := make([]error, len(tasks))
	slots := make(chan struct{}, maxParallelCommands)
	var wg sync.WaitGroup
	for i, t := range tasks {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			failed[i] = step(t)
			<-slots
		}()
	}
	wg.Wait()
	var failures []Failure
	for i, err := range failed {
		if err != nil {
			failures = append(failures, Failure{Task: tasks[i], Phase: phase, Err: err})
		}
	}
	return failures
}

// abort releases every member, including those whose command failed, since the command may have taken effect and only its
// response may have been lost. started is the tasks for which a start was sent: those that could not be released and may
// have started are uncertain.
func (s *Starter) abort(tasks, started []structs.Task, failures []Failure) Result {
	s.Metrics.Counter("gang_aborted").Inc(1)
	first := failures[0]
	s.Log.Emit(eventAborted, event.F("job", first.Task.Job.ID), event.F("attempt", first.Task.Attempt),
		event.F("worker", first.Task.Worker), event.F("phase", first.Phase), event.F("cause", first.Err))
	ctx, cancel := context.WithTimeout(context.Background(), s.HoldTTL)
	defer cancel()
	unreleased := s.forEachTask(tasks, first.Phase, func(t structs.Task) error { return s.release(ctx, t) })
	result := Result{Failures: failures}
	if len(started) == 0 {
		return result
	}
	noEffect := membersWithoutEffect(failures)
	for _, f := range unreleased {
		if !noEffect[f.Task.Member] {
			result.Uncertain = append(result.Uncertain, f.Task)
			s.Log.Emit(eventUncertain, event.F("job", f.Task.Job.ID), event.F("worker", f.Task.Worker))
		}
	}
	return result
}

// release retries the release of a member until it succeeds, ctx ends or maxReleaseAttempts is reached.
func (s *Starter) release(ctx context.Context, t structs.Task) error {
	var err error
	for range maxReleaseAttempts {
		err = s.Commands.Release(ctx, t)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// membersWithoutEffect returns the members whose command is known to have had no effect.
func membersWithoutEffect(failures []Failure) map[int]bool {
	members := map[int]bool{}
	for _, f := range failures {
		var refused *platform.RefusedError
		if errors.As(f.Err, &refused) || errors.Is(f.Err, peer.ErrNotSent) {
			members[f.Task.Member] = true
		}
	}
	return members
}
