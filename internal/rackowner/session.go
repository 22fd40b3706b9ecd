package rackowner

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// checkpointRenewDivisor divides the renewal interval while a task on the worker writes a checkpoint, so that the end
// of the checkpoint is noticed early and the next task can start.
const checkpointRenewDivisor = 8

// releaseTimeout bounds the calls that release sessions and the scheduler role.
const releaseTimeout = 500 * time.Millisecond

// taskKey identifies one member of one attempt of a job on a worker.
type taskKey struct {
	job     structs.JobID
	attempt uint64
	member  int
}

// reportedTask is the status of a task as last reported by its worker.
type reportedTask struct {
	status   platform.TaskStatus
	sequence uint64 // feed sequence number of the report
}

// session is the rack owner's session with one worker. Fields below the blank line are guarded by Owner.mu.
type session struct {
	owner    *Owner
	id       structs.WorkerID
	rack     structs.RackID
	address  string
	client   *platform.Worker
	cancel   context.CancelFunc
	renewNow chan struct{} // triggers an immediate renewal

	releaseAtEnd   bool                     // argument of stop; not read, because run releases every held session
	claimAttempted bool                     // the first claim has succeeded or failed
	reachable      bool                     // the session is held
	epoch          uint64                   // epoch of the latest claim, or a higher one that the worker reported
	holder         structs.InstanceID       // other instance that holds the session, if known
	sequence       uint64                   // feed sequence number of the latest change
	claimSequence  uint64                   // feed sequence number of the latest successful claim
	state          platform.WorkerState     // latest answer of the worker, without its tasks
	tasks          map[taskKey]reportedTask // all tasks that the worker has reported since the latest claim
	lastRenewedAt  time.Time                // end of the latest successful claim or start of the latest successful renewal
}

// newSession returns a session that has not been claimed yet. Calling cancel must end the context of its run.
func newSession(o *Owner, id structs.WorkerID, w platform.Instance, cancel context.CancelFunc) *session {
	return &session{
		owner: o, id: id, rack: w.Rack, address: w.Address, cancel: cancel, renewNow: make(chan struct{}, 1),
		client: platform.NewWorker(o.config.HTTP, w.Address, id), tasks: map[taskKey]reportedTask{},
	}
}

// stop ends the session's goroutine, which then releases the session if it is held. The caller holds Owner.mu.
func (s *session) stop(release bool) {
	s.releaseAtEnd = release
	s.cancel()
}

// run claims and renews the session until ctx ends, and then releases it.
func (s *session) run(ctx context.Context) {
	defer s.release()
	for ctx.Err() == nil {
		wait := s.claimOrRenew(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.renewNow:
		}
		timer.Stop()
	}
}

// claimOrRenew makes one attempt to claim or renew the session. It returns the delay before the next one.
func (s *session) claimOrRenew(ctx context.Context) time.Duration {
	s.owner.mu.Lock()
	reachable := s.reachable
	s.owner.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, s.owner.config.Timing.SessionTTL/2)
	defer cancel()
	if reachable {
		return s.renew(callCtx)
	}
	return s.claim(callCtx)
}

// claim makes one attempt to claim the session. It returns the delay before the next call.
func (s *session) claim(ctx context.Context) time.Duration {
	timing := s.owner.config.Timing
	s.owner.mu.Lock()
	s.epoch++
	request := platform.SessionRequest{Fence: s.fence(), TTLMS: timing.SessionTTL.Milliseconds()}
	s.owner.mu.Unlock()
	state, err := s.client.Session(ctx, request)
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	first := !s.claimAttempted
	s.claimAttempted = true
	if err == nil {
		s.recordClaim(state)
		return s.renewDelay()
	}
	if first {
		s.sequence = s.owner.nextSequence() // wakes waitForFirstClaims
	}
	var refused *platform.RefusedError
	if !errors.As(err, &refused) {
		return timing.Renew
	}
	s.epoch = max(s.epoch, refused.Refusal.Epoch)
	s.recordHolder(refused.Refusal)
	remaining := time.Duration(refused.Refusal.RemainingMS+1) * time.Millisecond
	return min(remaining, timing.Renew/4)
}

// recordHolder records which other instance holds the worker's session. The caller holds Owner.mu.
func (s *session) recordHolder(refusal platform.Refusal) {
	holder := refusal.Owner
	if refusal.RemainingMS <= 0 || holder == s.owner.self {
		holder = ""
	}
	if holder != s.holder {
		s.holder = holder
		s.sequence = s.owner.nextSequence()
	}
}

// recordClaim replaces the known tasks by those in the answer to a successful claim. The caller holds Owner.mu.
func (s *session) recordClaim(state platform.WorkerState) {
	s.sequence = s.owner.nextSequence()
	s.claimSequence = s.sequence
	s.reachable = true
	s.holder = ""
	s.lastRenewedAt = time.Now()
	s.tasks = map[taskKey]reportedTask{}
	s.mergeState(state)
	s.owner.adoptSchedulerEpoch(state.SchedulerEpoch)
	s.owner.config.Log.Emit(eventSessionClaimed, event.F("worker", s.id), event.F("epoch", s.epoch))
}

// mergeState adds the tasks that a worker reported. The caller holds Owner.mu.
func (s *session) mergeState(state platform.WorkerState) {
	tasks := state.Tasks
	state.Tasks = nil
	s.state = state
	for _, t := range tasks {
		s.tasks[taskKeyOf(t)] = reportedTask{status: t, sequence: s.sequence}
	}
}

// renew makes one attempt to renew the session and the task leases. It returns the delay before the next call.
func (s *session) renew(ctx context.Context) time.Duration {
	o := s.owner
	o.mu.Lock()
	now := time.Now()
	request := platform.RenewRequest{
		Fence: s.fence(), TTLMS: o.config.Timing.SessionTTL.Milliseconds(), Since: s.state.Sequence,
		TaskLeaseMS: o.config.Timing.TaskLease.Milliseconds(), Withhold: s.withheldOnWorker(o.withheldJobs(now)),
	}
	o.mu.Unlock()
	state, err := s.client.Renew(ctx, request)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		return s.handleRenewFailure(err, now)
	}
	s.lastRenewedAt = now
	if len(state.Tasks) > 0 {
		s.sequence = o.nextSequence()
	}
	s.mergeState(state)
	s.dropForgotten()
	return s.renewDelay()
}

// withheldOnWorker returns those of the jobs that have an active task on this worker. The caller holds Owner.mu.
func (s *session) withheldOnWorker(jobs []structs.JobID) []structs.JobID {
	if len(jobs) == 0 {
		return nil
	}
	present := map[structs.JobID]bool{}
	for key, t := range s.tasks {
		if !t.status.Phase.Ended() {
			present[key.job] = true
		}
	}
	var withheld []structs.JobID
	for _, id := range jobs {
		if present[id] {
			withheld = append(withheld, id)
		}
	}
	if len(withheld) > 0 {
		s.owner.config.Log.Emit(eventWithheld, event.F("worker", s.id), event.F("jobs", withheld))
	}
	return withheld
}

// handleRenewFailure marks the session as lost if the worker refused the renewal or has not answered for the session's
// lifetime. It returns the delay before the next attempt. The caller holds Owner.mu.
func (s *session) handleRenewFailure(err error, now time.Time) time.Duration {
	var refused *platform.RefusedError
	isRefused := errors.As(err, &refused)
	if !isRefused && now.Sub(s.lastRenewedAt) < s.owner.config.Timing.SessionTTL {
		return s.owner.config.Timing.Renew / 4
	}
	s.reachable = false
	s.sequence = s.owner.nextSequence()
	if isRefused {
		s.epoch = max(s.epoch, refused.Refusal.Epoch)
		s.recordHolder(refused.Refusal)
	}
	s.owner.config.Log.Emit(eventSessionLost, event.F("worker", s.id), event.F("cause", err))
	return 0
}

// dropForgotten bounds the memory for forgotten tasks. Once the session has many tasks, it removes those that were
// forgotten many changes ago; the worker itself has dropped them by then. The caller holds Owner.mu.
func (s *session) dropForgotten() {
	const forgottenRetention = 4096 // both the number of tasks and the number of changes
	if len(s.tasks) <= forgottenRetention {
		return
	}
	for key, t := range s.tasks {
		if t.status.Phase == platform.TaskForgotten && t.sequence+forgottenRetention < s.owner.sequence {
			delete(s.tasks, key)
		}
	}
}

// renewDelay returns the delay before the next renewal. The caller holds Owner.mu.
func (s *session) renewDelay() time.Duration {
	for _, t := range s.tasks {
		if t.status.Phase == platform.TaskCheckpointing {
			return s.owner.config.Timing.Renew / checkpointRenewDivisor
		}
	}
	return s.owner.config.Timing.Renew
}

// fence returns the fencing token for calls to the worker. The caller holds Owner.mu.
func (s *session) fence() platform.Fence {
	return platform.Fence{Owner: s.owner.self, Epoch: s.epoch, SchedulerEpoch: s.owner.scheduler.Epoch}
}

// requestRenewal triggers an immediate renewal, so that the effect of a command is reported early.
func (s *session) requestRenewal() {
	select {
	case s.renewNow <- struct{}{}:
	default:
	}
}

// release releases a held session, so that the next owner need not wait until it expires.
func (s *session) release() {
	s.owner.mu.Lock()
	held := s.reachable
	s.reachable = false
	request := platform.SessionRequest{Fence: s.fence(), Release: true}
	s.owner.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := s.client.Session(ctx, request); err == nil {
		s.owner.config.Log.Emit(eventSessionReleased, event.F("worker", s.id))
	}
}

// change returns the change feed's entry for this worker, with the tasks that changed after a sequence number. The
// caller holds Owner.mu.
func (s *session) change(since uint64) Change {
	c := Change{Worker: s.id, Rack: s.rack, Reachable: s.reachable, Holder: s.holder}
	if !s.reachable {
		return c
	}
	state := s.state
	c.Full = s.claimSequence > since
	for _, t := range s.tasks {
		if c.Full || t.sequence > since {
			state.Tasks = append(state.Tasks, t.status)
		}
	}
	c.State = &state
	return c
}

func taskKeyOf(t platform.TaskStatus) taskKey {
	return taskKey{job: t.Task.Job.ID, attempt: t.Task.Attempt, member: t.Task.Member}
}
