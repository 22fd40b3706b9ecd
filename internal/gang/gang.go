// Package gang starts all members of a placed job, or none: first every member's accelerators are held, then all
// members are started. When any step fails, every member is released.
//
// One window stays open. A start took effect, its response was lost, and the worker then cannot be reached: that
// member runs alone until its task lease lapses. Such members are returned, so that the scheduler starts no further
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

// maxParallel bounds the commands in flight for one gang.
const maxParallel = 32

// releaseRounds is how often the release of a member without a response is repeated.
const releaseRounds = 3

// Commands is what a start needs of rackowner.Racks.
type Commands interface {
	Hold(ctx context.Context, task structs.Task, ttl time.Duration) error
	Start(ctx context.Context, task structs.Task) error
	Release(ctx context.Context, task structs.Task) error
}

// Phase tells in which phase a member failed.
type Phase string

// Phases of a start.
const (
	PhaseHold  Phase = "hold"
	PhaseStart Phase = "start"
)

// Failure is a member that could not be held or started.
type Failure struct {
	Task  structs.Task
	Phase Phase
	Err   error
}

// Result tells how a start ended. Started and len(Failures) > 0 exclude each other.
type Result struct {
	Started   bool
	Failures  []Failure
	Uncertain []structs.Task // may have started and could not be released
}

// Starter starts gangs. It keeps no state between calls.
type Starter struct {
	Commands Commands
	HoldTTL  time.Duration
	Log      *event.Log
	Metrics  tally.Scope
}

// Start holds and starts all tasks. It returns when all have started, or all were released as far as they could be
// reached. An end of ctx aborts the gang; the releases then still run, each bounded by the hold's lifetime.
func (s *Starter) Start(ctx context.Context, tasks []structs.Task) Result {
	begun := time.Now()
	failures := s.each(tasks, PhaseHold, func(t structs.Task) error {
		return s.Commands.Hold(ctx, t, s.HoldTTL)
	})
	if len(failures) > 0 {
		return s.abort(tasks, nil, failures)
	}
	// A hold that lapses between the phases would leave its member out, so a late gang is not started at all.
	if time.Since(begun) > s.HoldTTL/2 || ctx.Err() != nil {
		late := Failure{Task: tasks[0], Phase: PhaseHold, Err: context.DeadlineExceeded}
		return s.abort(tasks, nil, []Failure{late})
	}
	failures = s.each(tasks, PhaseStart, func(t structs.Task) error { return s.Commands.Start(ctx, t) })
	if len(failures) > 0 {
		return s.abort(tasks, tasks, failures)
	}
	s.Metrics.Counter("gang_started").Inc(1)
	return Result{Started: true}
}

// each runs step for every task, at most maxParallel at once, and collects the failures in order of the tasks.
func (s *Starter) each(tasks []structs.Task, phase Phase, step func(structs.Task) error) []Failure {
	failed := make([]error, len(tasks))
	slots := make(chan struct{}, maxParallel)
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

// abort releases every member, also those whose command failed: its response may have been lost. Of the members in
// started, those that could not be released are uncertain.
func (s *Starter) abort(tasks, started []structs.Task, failures []Failure) Result {
	s.Metrics.Counter("gang_aborted").Inc(1)
	first := failures[0]
	s.Log.Emit(eventAborted, event.F("job", first.Task.Job.ID), event.F("attempt", first.Task.Attempt),
		event.F("worker", first.Task.Worker), event.F("phase", first.Phase), event.F("cause", first.Err))
	ctx, cancel := context.WithTimeout(context.Background(), s.HoldTTL)
	defer cancel()
	unreleased := s.each(tasks, first.Phase, func(t structs.Task) error { return s.release(ctx, t) })
	result := Result{Failures: failures}
	if len(started) == 0 {
		return result
	}
	certain := noEffect(failures)
	for _, f := range unreleased {
		if !certain[f.Task.Member] {
			result.Uncertain = append(result.Uncertain, f.Task)
			s.Log.Emit(eventUncertain, event.F("job", f.Task.Job.ID), event.F("worker", f.Task.Worker))
		}
	}
	return result
}

// release repeats a release while its effect is unknown.
func (s *Starter) release(ctx context.Context, t structs.Task) error {
	var err error
	for range releaseRounds {
		err = s.Commands.Release(ctx, t)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// noEffect returns the members whose start is known to have had no effect.
func noEffect(failures []Failure) map[int]bool {
	members := map[int]bool{}
	for _, f := range failures {
		var refused *platform.RefusedError
		if errors.As(f.Err, &refused) || errors.Is(f.Err, peer.ErrNotSent) {
			members[f.Task.Member] = true
		}
	}
	return members
}
