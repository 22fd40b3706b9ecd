package rackowner

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// eagerDivisor shortens the time between renewals while a task on the worker is stopping, so that its successor
// starts soon after the checkpoint.
const eagerDivisor = 8

// releaseTimeout bounds the hand-back of a session.
const releaseTimeout = 500 * time.Millisecond

// taskKey identifies a task on a worker.
type taskKey struct {
	job     structs.JobID
	attempt uint64
	member  int
}

// mirrored is a task as the worker last reported it, with the feed's sequence number of that report.
type mirrored struct {
	status   platform.TaskStatus
	sequence uint64
}

// session is the rack owner's side of one worker. Fields below the blank line are guarded by Owner.mu.
type session struct {
	owner   *Owner
	id      structs.WorkerID
	rack    structs.RackID
	address string
	client  *platform.Worker
	cancel  context.CancelFunc
	poke    chan struct{} // asks for a renewal now

	handBack  bool   // release the session at the end
	tried     bool   // the first claim has ended
	reachable bool   // the session is held
	epoch     uint64 // of the session, or the highest seen
	holder    structs.InstanceID
	sequence  uint64 // feed sequence of the latest change
	fullAt    uint64 // feed sequence of the latest claim
	state     platform.WorkerState
	tasks     map[taskKey]mirrored
	lastOK    time.Time
}

func newSession(o *Owner, id structs.WorkerID, w platform.Instance, cancel context.CancelFunc) *session {
	return &session{
		owner: o, id: id, rack: w.Rack, address: w.Address, cancel: cancel, poke: make(chan struct{}, 1),
		client: platform.NewWorker(o.config.HTTP, w.Address, id), tasks: map[taskKey]mirrored{},
	}
}

// stop ends the session's goroutine. Owner.mu is held.
func (s *session) stop(handBack bool) {
	s.handBack = handBack
	s.cancel()
}

// run claims and renews until ctx ends, then gives the session back.
func (s *session) run(ctx context.Context) {
	defer s.release()
	for ctx.Err() == nil {
		wait := s.step(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.poke:
		}
		timer.Stop()
	}
}

// step makes one claim or renewal and returns the time until the next one.
func (s *session) step(ctx context.Context) time.Duration {
	s.owner.mu.Lock()
	held := s.reachable
	s.owner.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, s.owner.config.Timing.SessionTTL/2)
	defer cancel()
	if held {
		return s.renew(callCtx)
	}
	return s.claim(callCtx)
}

func (s *session) claim(ctx context.Context) time.Duration {
	timing := s.owner.config.Timing
	s.owner.mu.Lock()
	s.epoch++
	request := platform.SessionRequest{Fence: s.fence(), TTLMS: timing.SessionTTL.Milliseconds()}
	s.owner.mu.Unlock()
	state, err := s.client.Session(ctx, request)
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	first := !s.tried
	s.tried = true
	if err == nil {
		s.claimed(state)
		return s.renewWait()
	}
	if first {
		s.sequence = s.owner.advance()
	}
	var refused *platform.RefusedError
	if !errors.As(err, &refused) {
		return timing.Renew
	}
	s.epoch = max(s.epoch, refused.Refusal.Epoch)
	s.noteHolder(refused.Refusal)
	remaining := time.Duration(refused.Refusal.RemainingMS+1) * time.Millisecond
	return min(remaining, timing.Renew/4)
}

// noteHolder records who else holds the worker. Owner.mu is held.
func (s *session) noteHolder(refusal platform.Refusal) {
	holder := refusal.Owner
	if refusal.RemainingMS <= 0 || holder == s.owner.self {
		holder = ""
	}
	if holder != s.holder {
		s.holder = holder
		s.sequence = s.owner.advance()
	}
}

// claimed replaces the mirror after a successful claim. Owner.mu is held.
func (s *session) claimed(state platform.WorkerState) {
	s.sequence = s.owner.advance()
	s.fullAt = s.sequence
	s.reachable = true
	s.holder = ""
	s.lastOK = time.Now()
	s.tasks = map[taskKey]mirrored{}
	s.merge(state)
	s.owner.adoptSchedulerEpoch(state.SchedulerEpoch)
	s.owner.config.Log.Emit(eventSessionClaimed, event.F("worker", s.id), event.F("epoch", s.epoch))
}

// merge adds what a worker reported. Owner.mu is held.
func (s *session) merge(state platform.WorkerState) {
	tasks := state.Tasks
	state.Tasks = nil
	s.state = state
	for _, t := range tasks {
		s.tasks[statusKey(t)] = mirrored{status: t, sequence: s.sequence}
	}
}

func (s *session) renew(ctx context.Context) time.Duration {
	o := s.owner
	o.mu.Lock()
	now := time.Now()
	request := platform.RenewRequest{
		Fence: s.fence(), TTLMS: o.config.Timing.SessionTTL.Milliseconds(), Since: s.state.Sequence,
		TaskLeaseMS: o.config.Timing.TaskLease.Milliseconds(), Withhold: s.withheldHere(o.withheld(now)),
	}
	o.mu.Unlock()
	state, err := s.client.Renew(ctx, request)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		return s.renewFailed(err, now)
	}
	s.lastOK = now
	if len(state.Tasks) > 0 {
		s.sequence = o.advance()
	}
	s.merge(state)
	s.dropForgotten()
	return s.renewWait()
}

// withheldHere keeps the jobs that have a task on this worker. Owner.mu is held.
func (s *session) withheldHere(jobs []structs.JobID) []structs.JobID {
	if len(jobs) == 0 {
		return nil
	}
	present := map[structs.JobID]bool{}
	for key, t := range s.tasks {
		if !t.status.Phase.Ended() {
			present[key.job] = true
		}
	}
	var here []structs.JobID
	for _, id := range jobs {
		if present[id] {
			here = append(here, id)
		}
	}
	if len(here) > 0 {
		s.owner.config.Log.Emit(eventWithheld, event.F("worker", s.id), event.F("jobs", here))
	}
	return here
}

// renewFailed declares the session lost when the worker said so or was silent for the session's lifetime.
func (s *session) renewFailed(err error, now time.Time) time.Duration {
	var refused *platform.RefusedError
	isRefused := errors.As(err, &refused)
	if !isRefused && now.Sub(s.lastOK) < s.owner.config.Timing.SessionTTL {
		return s.owner.config.Timing.Renew / 4
	}
	s.reachable = false
	s.sequence = s.owner.advance()
	if isRefused {
		s.epoch = max(s.epoch, refused.Refusal.Epoch)
		s.noteHolder(refused.Refusal)
	}
	s.owner.config.Log.Emit(eventSessionLost, event.F("worker", s.id), event.F("cause", err))
	return 0
}

// dropForgotten removes ids that the worker itself no longer remembers. Owner.mu is held.
func (s *session) dropForgotten() {
	const kept = 4096
	if len(s.tasks) <= kept {
		return
	}
	for key, t := range s.tasks {
		if t.status.Phase == platform.TaskForgotten && t.sequence+kept < s.owner.sequence {
			delete(s.tasks, key)
		}
	}
}

// renewWait is the time until the next renewal. Owner.mu is held.
func (s *session) renewWait() time.Duration {
	for _, t := range s.tasks {
		if t.status.Phase == platform.TaskCheckpointing {
			return s.owner.config.Timing.Renew / eagerDivisor
		}
	}
	return s.owner.config.Timing.Renew
}

// fence identifies this owner to the worker. Owner.mu is held.
func (s *session) fence() platform.Fence {
	return platform.Fence{Owner: s.owner.self, Epoch: s.epoch, SchedulerEpoch: s.owner.scheduler.Epoch}
}

// pokeNow asks for a renewal at once, so that the effect of a command is seen early.
func (s *session) pokeNow() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// release gives the session back, so that the next owner need not wait for it to lapse.
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

// change returns what the feed says of this worker after a sequence number. Owner.mu is held.
func (s *session) change(since uint64) Change {
	c := Change{Worker: s.id, Rack: s.rack, Reachable: s.reachable, Holder: s.holder}
	if !s.reachable {
		return c
	}
	state := s.state
	c.Full = s.fullAt > since
	for _, t := range s.tasks {
		if c.Full || t.sequence > since {
			state.Tasks = append(state.Tasks, t.status)
		}
	}
	c.State = &state
	return c
}

func statusKey(t platform.TaskStatus) taskKey {
	return taskKey{job: t.Task.Job.ID, attempt: t.Task.Attempt, member: t.Task.Member}
}
