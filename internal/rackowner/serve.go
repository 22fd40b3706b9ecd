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

// maxChangesWait is the longest duration of one long poll of the change feed.
const maxChangesWait = 5 * time.Second

// Register registers the handlers of the peer calls to a rack owner.
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

func handle[Request, Response any](r peer.Registrar, kind string, serve func(context.Context, Request) (Response, error)) {
	r.Handle(kind, func(ctx context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var request Request
		if err := decode(&request); err != nil {
			return nil, err
		}
		return serve(ctx, request)
	})
}

// Attach claims or releases the scheduler role. A claim first waits until the session of every owned worker was claimed
// or at least attempted once, so that the scheduler does not mistake a running task for a lost one.
func (o *Owner) Attach(ctx context.Context, request AttachRequest) (AttachResponse, error) {
	if request.Release {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.scheduler.Release(string(request.Claim.Scheduler), request.Claim.Epoch)
		return AttachResponse{}, nil
	}
	o.waitForFirstClaims(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	err := o.scheduler.Claim(string(request.Claim.Scheduler), request.Claim.Epoch, request.TTL, time.Now())
	var refused *lease.RefusedError
	if errors.As(err, &refused) {
		return AttachResponse{Refused: refused}, nil
	}
	o.gangsRenewedAt = time.Time{}
	o.config.Log.Emit(eventSchedulerAttached, event.F("scheduler", request.Claim.Scheduler), event.F("epoch", request.Claim.Epoch))
	return AttachResponse{Sequence: o.sequence, Changes: o.changesSince(0)}, nil
}

// waitForFirstClaims waits until the first session claim of every worker has succeeded or failed, but at most for one
// session lifetime.
func (o *Owner) waitForFirstClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, o.config.Timing.SessionTTL)
	defer cancel()
	for {
		o.mu.Lock()
		pending := false
		for _, s := range o.sessions {
			pending = pending || !s.claimAttempted
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

// adoptSchedulerEpoch raises the scheduler epoch to the highest one that a worker has seen, because the worker refuses
// commands with a lower one. The current scheduler loses its role here and must attach again with a higher epoch. The
// caller holds o.mu.
func (o *Owner) adoptSchedulerEpoch(seen uint64) {
	if seen > o.scheduler.Epoch {
		o.scheduler = lease.Lease{Epoch: seen}
	}
}

// Changes returns the changes after a sequence number. If there are none, it waits for the next one, up to the
// requested duration.
func (o *Owner) Changes(ctx context.Context, request ChangesRequest) (ChangesResponse, error) {
	timer := time.NewTimer(min(request.Wait, maxChangesWait))
	defer timer.Stop()
	for {
		o.mu.Lock()
		if refused := o.checkScheduler(request.Claim); refused != nil {
			o.mu.Unlock()
			return ChangesResponse{Refused: refused}, nil
		}
		response := ChangesResponse{Sequence: o.sequence, Changes: o.changesSince(request.Since)}
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

// changesSince returns one change for each worker that changed after a sequence number. The caller holds o.mu.
func (o *Owner) changesSince(sequence uint64) []Change {
	var changes []Change
	for _, s := range o.sessions {
		if s.sequence > sequence {
			changes = append(changes, s.change(sequence))
		}
	}
	for id, d := range o.departed {
		if d.sequence > sequence {
			changes = append(changes, Change{Worker: id, Rack: d.rack, Gone: d.unlisted})
		}
	}
	return changes
}

// checkScheduler returns nil if the claim is the current one, and the reason for a refusal otherwise. The caller holds
// o.mu.
func (o *Owner) checkScheduler(c Claim) *lease.RefusedError {
	if o.scheduler.Holder == string(c.Scheduler) && o.scheduler.Epoch == c.Epoch {
		return nil
	}
	return &lease.RefusedError{
		Holder: o.scheduler.Holder, Epoch: o.scheduler.Epoch, Remaining: max(0, time.Until(o.scheduler.Expiry)),
	}
}

// RenewGangs renews the scheduler role. If the scheduler permits gang renewals, it also replaces the withheld jobs.
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
		o.gangsRenewedAt = now
		o.schedulerWithheld = request.Withhold
		o.withheldCachedAt = time.Time{}
	}
	return RenewGangsResponse{}, nil
}

// Command forwards a scheduler's command to the worker, with the session's and the scheduler's epoch as fencing tokens.
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
	s.requestRenewal()
	o.config.Metrics.Counter("rackowner_commands").Inc(1)
	return s.commandResponse(err), nil
}

// commandTarget checks the scheduler's claim and returns the worker's session. The caller holds o.mu.
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

// send makes the call to the worker that belongs to the kind of command.
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

// commandResponse converts the result of a call to the worker into the response for the scheduler.
func (s *session) commandResponse(err error) CommandResponse {
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
