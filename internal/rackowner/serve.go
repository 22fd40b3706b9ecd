package rackowner

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/lease"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// maxFeedWait bounds the long poll of the change feed.
const maxFeedWait = 5 * time.Second

// Register registers the handlers of peer calls.
func (o *Owner) Register(r peer.Registrar) {
	handle(r, kindAttach, o.Attach)
	handle(r, kindChanges, o.Changes)
	handle(r, kindRenewGangs, o.RenewGangs)
	for _, kind := range []string{kindHold, kindStart, kindRelease, kindStop, kindForget} {
		handle(r, kind, func(ctx context.Context, request CommandRequest) (CommandResponse, error) {
			return o.Command(ctx, kind, request)
		})
	}
}

func handle[Q, A any](r peer.Registrar, kind string, serve func(context.Context, Q) (A, error)) {
	r.Handle(kind, func(ctx context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var request Q
		if err := decode(&request); err != nil {
			return nil, err
		}
		return serve(ctx, request)
	})
}

// Attach claims or releases the scheduler role. It waits until every owned worker was tried once, so that the
// scheduler does not take a running task for a lost one.
func (o *Owner) Attach(ctx context.Context, request AttachRequest) (AttachResponse, error) {
	if request.Release {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.scheduler.Release(string(request.Claim.Scheduler), request.Claim.Epoch)
		return AttachResponse{}, nil
	}
	o.waitTried(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	err := o.scheduler.Claim(string(request.Claim.Scheduler), request.Claim.Epoch, request.TTL, time.Now())
	var refused *lease.RefusedError
	if errors.As(err, &refused) {
		return AttachResponse{Refused: refused}, nil
	}
	o.heardGang = time.Time{}
	o.config.Log.Emit(eventSchedulerAttached, event.F("scheduler", request.Claim.Scheduler), event.F("epoch", request.Claim.Epoch))
	return AttachResponse{Sequence: o.sequence, Changes: o.since(0)}, nil
}

// waitTried waits at most one session lifetime for the first claim of every worker.
func (o *Owner) waitTried(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, o.config.Timing.SessionTTL)
	defer cancel()
	for {
		o.mu.Lock()
		pending := false
		for _, s := range o.sessions {
			pending = pending || !s.tried
		}
		changed := o.changed
		o.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// adoptSchedulerEpoch raises the epoch that the next scheduler must exceed to what a worker has seen. A lower scheduler
// loses its role here and attaches again. The lock is held.
func (o *Owner) adoptSchedulerEpoch(seen uint64) {
	if seen > o.scheduler.Epoch {
		o.scheduler = lease.Lease{Epoch: seen}
	}
}

// Changes returns what changed after a sequence number.
func (o *Owner) Changes(ctx context.Context, request ChangesRequest) (ChangesResponse, error) {
	timer := time.NewTimer(min(request.Wait, maxFeedWait))
	defer timer.Stop()
	for {
		o.mu.Lock()
		if refused := o.checkScheduler(request.Claim); refused != nil {
			o.mu.Unlock()
			return ChangesResponse{Refused: refused}, nil
		}
		response := ChangesResponse{Sequence: o.sequence, Changes: o.since(request.Since)}
		changed := o.changed
		o.mu.Unlock()
		if len(response.Changes) > 0 {
			return response, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return response, nil
		case <-ctx.Done():
			return response, ctx.Err()
		}
	}
}

// since collects the workers with a change after a sequence number. The lock is held.
func (o *Owner) since(sequence uint64) []Change {
	var changes []Change
	for _, s := range o.sessions {
		if s.sequence > sequence {
			changes = append(changes, s.change(sequence))
		}
	}
	for id, d := range o.gone {
		if d.sequence > sequence {
			changes = append(changes, Change{Worker: id, Rack: d.rack, Gone: d.gone})
		}
	}
	return changes
}

// checkScheduler returns nil when the claim is the present one. The lock is held.
func (o *Owner) checkScheduler(c Claim) *lease.RefusedError {
	if o.scheduler.Holder == string(c.Scheduler) && o.scheduler.Epoch == c.Epoch {
		return nil
	}
	return &lease.RefusedError{
		Holder: o.scheduler.Holder, Epoch: o.scheduler.Epoch, Remaining: max(0, time.Until(o.scheduler.Expiry)),
	}
}

// RenewGangs extends the scheduler role and replaces the withheld jobs.
func (o *Owner) RenewGangs(_ context.Context, request RenewGangsRequest) (RenewGangsResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	err := o.scheduler.Renew(string(request.Claim.Scheduler), request.Claim.Epoch, request.TTL, now)
	var refused *lease.RefusedError
	if errors.As(err, &refused) {
		return RenewGangsResponse{Refused: refused}, nil
	}
	if request.Permit {
		o.heardGang = now
		o.withhold = request.Withhold
		o.barredAt = time.Time{}
	}
	return RenewGangsResponse{}, nil
}

// Command passes a scheduler's command on to the worker, fenced with both epochs.
func (o *Owner) Command(ctx context.Context, kind string, request CommandRequest) (CommandResponse, error) {
	o.mu.Lock()
	s, refusal := o.commandTarget(request)
	if refusal != nil {
		o.mu.Unlock()
		return CommandResponse{Refusal: refusal}, nil
	}
	fence := s.fence()
	o.mu.Unlock()
	err := s.send(ctx, kind, fence, request)
	s.pokeNow()
	o.config.Metrics.Counter("rackowner_commands").Inc(1)
	return s.outcome(err), nil
}

// commandTarget finds the worker's session and checks the claim. The lock is held.
func (o *Owner) commandTarget(request CommandRequest) (*session, *platform.Refusal) {
	if refused := o.checkScheduler(request.Claim); refused != nil {
		return nil, &platform.Refusal{
			Reason: "another scheduler holds the role at rack owner " + string(o.self), SchedulerEpoch: refused.Epoch,
		}
	}
	s, known := o.sessions[request.Task.Worker]
	if !known || !s.reachable {
		return nil, &platform.Refusal{Reason: "rack owner " + string(o.self) + " has no session with the worker"}
	}
	return s, nil
}

func (s *session) send(ctx context.Context, kind string, fence platform.Fence, request CommandRequest) error {
	task := request.Task
	command := platform.TaskCommand{Fence: fence, Job: task.Job.ID, Attempt: task.Attempt, Member: task.Member}
	switch kind {
	case kindHold:
		return s.client.Hold(ctx, platform.HoldRequest{Fence: fence, Task: task, TTLMS: request.TTL.Milliseconds()})
	case kindStart:
		command.TaskLeaseMS = s.owner.config.Timing.TaskLease.Milliseconds()
		return s.client.Start(ctx, command)
	case kindRelease:
		return s.client.Release(ctx, command)
	case kindStop:
		command.Checkpoint = request.Checkpoint
		command.GraceMS = request.Grace.Milliseconds()
		return s.client.Stop(ctx, command)
	default:
		return s.client.Forget(ctx, command)
	}
}

// outcome encodes a worker's answer for the scheduler.
func (s *session) outcome(err error) CommandResponse {
	if err == nil {
		return CommandResponse{}
	}
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		s.owner.mu.Lock()
		s.owner.adoptSchedulerEpoch(refused.Refusal.SchedulerEpoch)
		s.owner.mu.Unlock()
		return CommandResponse{Refusal: &refused.Refusal}
	}
	return CommandResponse{NotSent: platform.NotSent(err), Failure: err.Error()}
}
