package scheduler

import (
	"context"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Pauses and bounds of the life cycle of a job.
const (
	stopRetryInterval   = 500 * time.Millisecond // time between repeated stops of a job
	maxParallelCommands = 32                     // most commands in flight for one job
	reconcileBudget     = 20 * time.Millisecond  // time per step, so that a wave of cancellations does not delay placements
	initialFailurePause = 100 * time.Millisecond // pause after the first failure, doubled for each further one
	maxFailurePause     = 30 * time.Second       // bound on the pause after a failure
	syncPauseFactor     = 4                      // ratio of the pause after syncJobs to its duration, so that syncJobs takes at most a fifth of the time
	failedStartPause    = 100 * time.Millisecond // pause after a gang could not be held or started
	graceMarginDivisor  = 10                     // a tenth of the grace is added for delays on the way to the worker
)

// syncJobs reads new, cancelled and finished jobs from the job stream when its fold has changed.
func (t *term) syncJobs(now time.Time) {
	changed := t.config.Jobs.Changed()
	if changed == t.syncedFold || now.Before(t.nextJobSync) {
		return
	}
	t.syncedFold = changed
	defer func() { t.nextJobSync = time.Now().Add(syncPauseFactor * time.Since(now)) }()
	current := t.streamCurrent()
	if !current {
		t.syncedFold = nil // reads the fold in every step until it is current
	}
	listed := map[structs.JobID]bool{}
	for _, a := range t.config.Jobs.Unfinished() {
		key := Key(a.Job.Customer, a.Job.ID)
		listed[key] = true
		if t.finishRecorded[key] {
			continue // the fold does not show the finish record yet
		}
		j := t.jobs[key]
		if j == nil {
			j = newJob(key, a.Job, fromCustomer, now)
			t.jobs[key] = j
			t.enqueue(j)
		}
		if a.Cancelled && !j.cancelled {
			j.cancelled = true
			t.reconciling[key] = true
		}
	}
	maps.DeleteFunc(t.finishRecorded, func(key structs.JobID, _ bool) bool { return !listed[key] })
	for key, j := range t.jobs {
		if j.origin == fromCustomer && !listed[key] && !j.removed && (current || t.hasRecordedResult(j)) {
			j.removed = true
			t.reconciling[key] = true
		}
	}
}

// streamCurrent reports whether the fold has reached the end of the job stream since this term began. Before that it may
// lack a job that runs: an instance that had just started once stopped running gangs for that reason.
func (t *term) streamCurrent() bool { return t.config.Jobs.CurrentAsOf().After(t.startedAt) }

// hasRecordedResult reports whether the job stream has a result of the job.
func (t *term) hasRecordedResult(j *job) bool {
	_, result, known := t.config.Jobs.Find(j.info.Customer, j.info.ID)
	return known && result != nil
}

// reconcileAll reconciles the jobs that have changed and those that are not stable, within reconcileBudget.
func (t *term) reconcileAll(ctx context.Context, now time.Time) {
	for key := range t.dirty {
		t.reconciling[key] = true
	}
	clear(t.dirty)
	for key := range t.reconciling {
		j := t.jobs[key]
		if j == nil {
			delete(t.reconciling, key)
			continue
		}
		t.reconcile(ctx, j, now)
		if t.stable(j) {
			delete(t.reconciling, key)
		}
		if time.Since(now) > reconcileBudget {
			return
		}
	}
}

// stable reports whether a job needs no reconciliation until one of its tasks is reported or it is cancelled or placed.
func (t *term) stable(j *job) bool {
	if j.busy || j.result != nil || j.cancelled || j.removed {
		return false
	}
	switch j.state {
	case structs.JobWaiting:
		return true
	case structs.JobRunning:
		return !t.incomplete(j)
	default:
		return false
	}
}

// incomplete reports whether a member of a running job is out of reach or has not been reported yet.
func (t *term) incomplete(j *job) bool {
	if j.missingMembers > 0 {
		return true
	}
	for _, m := range j.members {
		if !t.worker(m.task.Worker).reachable {
			return true
		}
	}
	return false
}

// reconcile makes the decisions on one job that its state calls for.
func (t *term) reconcile(ctx context.Context, j *job, now time.Time) {
	switch {
	case j.busy:
	case j.result != nil:
		t.record(ctx, j, now)
	case j.state == structs.JobWaiting:
		t.reconcileWaiting(j, now)
	case j.state == structs.JobStarting:
		t.reconcileStarting(ctx, j, now)
	case j.state == structs.JobRunning:
		t.reconcileRunning(j, now)
	case j.state == structs.JobStopping:
		t.reconcileStopping(ctx, j, now)
	}
}

func (t *term) reconcileWaiting(j *job, now time.Time) {
	switch {
	case j.removed:
		t.drop(j)
	case j.cancelled:
		j.result = &Result{State: structs.JobCancelled, Message: "cancelled while it waited", Attempts: j.starts, EndedAt: now}
	}
}

func (t *term) reconcileRunning(j *job, now time.Time) {
	t.endLostMembers(j, now)
	ended := j.count(platform.TaskPhase.Ended)
	finished := j.count(isPhase(platform.TaskFinished))
	switch {
	case finished == len(j.members) && j.missingMembers == 0:
		t.recordSuccess(j)
		j.result = t.finishedResult(j, now)
	case j.removed:
		t.stop(j, causeRemoved, now)
	case j.cancelled:
		t.stop(j, causeCancelled, now)
	case j.count(isPhase(platform.TaskFailed)) > 0:
		t.stop(j, causeFailed, now)
	case j.missingMembers > 0 && now.Sub(j.missingSince) > t.config.Timing.TaskLease/2:
		j.fenceUntil = now.Add(t.leaseExpiryBound())
		t.stop(j, causeLost, now)
	case ended > finished || t.gangSplit(j, now):
		t.stop(j, causeLost, now)
	}
}

// gangSplit reports whether some members of a gang have been out of reach for too long while others are in reach, or the
// leases of all members have expired. The rack owner of the lost members, if they have one, has stopped renewing their
// leases by then.
func (t *term) gangSplit(j *job, now time.Time) bool {
	if len(j.members) < 2 {
		return false
	}
	lost, inReach := 0, 0
	for _, m := range j.members {
		w := t.worker(m.task.Worker)
		switch {
		case w.reachable || m.phase.Ended():
			inReach++
		case now.Sub(w.lostAt) > t.config.Timing.TaskLease/2:
			lost++
		}
	}
	return lost > 0 && (inReach > 0 || t.allLeasesExpired(j, now))
}

// allLeasesExpired reports whether the workers of all members have been lost, with no other rack owner holding
// their sessions, for so long that the leases have expired.
func (t *term) allLeasesExpired(j *job, now time.Time) bool {
	for _, m := range j.members {
		w := t.worker(m.task.Worker)
		if w.sessionHolder != "" || now.Sub(w.lostAt) <= t.leaseExpiryBound() {
			return false
		}
	}
	return true
}

// endLostMembers ends the members whose worker has been out of reach for so long that their lease must have expired. A
// single task on a worker whose session another rack owner holds keeps running: that owner renews its lease.
func (t *term) endLostMembers(j *job, now time.Time) {
	for i := range j.members {
		m := &j.members[i]
		w := t.worker(m.task.Worker)
		if w.reachable || m.phase.Ended() || now.Sub(w.lostAt) <= t.leaseExpiryBound() {
			continue
		}
		if len(j.members) > 1 && j.state == structs.JobStopping || w.sessionHolder == "" {
			m.phase = platform.TaskLapsed
			m.message = "the worker was lost"
		}
	}
}

// stop begins to stop all members of a job.
func (t *term) stop(j *job, cause stopCause, now time.Time) {
	j.setState(structs.JobStopping, now)
	j.cause = cause
	j.stopStartedAt = now
	j.lastStopSent = time.Time{}
	t.reconciling[j.key] = true
	t.config.Log.Emit(eventStopping, event.F("job", j.key), event.F("attempt", j.attempt), event.F("cause", cause))
}

func (t *term) reconcileStopping(ctx context.Context, j *job, now time.Time) {
	t.endLostMembers(j, now)
	if j.count(platform.TaskPhase.Ended) == len(j.members) {
		t.completeStop(j, now)
		return
	}
	if now.Sub(j.lastStopSent) >= stopRetryInterval {
		t.sendStop(ctx, j, now)
	}
}

// sendStop commands every member in reach to stop. A preempted job with checkpoints is first asked once to save one; when
// the grace period is over, and for all other stops, the members are killed.
func (t *term) sendStop(ctx context.Context, j *job, now time.Time) {
	grace := t.grace(j)
	checkpoint := j.cause == causePreempted && grace > 0
	if checkpoint && !j.lastStopSent.IsZero() && now.Sub(j.stopStartedAt) < grace+stopRetryInterval {
		return
	}
	checkpoint = checkpoint && j.lastStopSent.IsZero()
	var tasks []structs.Task
	for _, m := range j.members {
		if !m.phase.Ended() && t.worker(m.task.Worker).reachable {
			tasks = append(tasks, m.task)
		}
	}
	if len(tasks) == 0 {
		return
	}
	j.busy = t.spawn(func() func() {
		killed := t.stopTasks(ctx, tasks, checkpoint, grace)
		return func() { t.afterStopCommands(j, killed, now) }
	})
}

// grace is the time that a job's members get for a checkpoint, 0 when the job has none.
func (t *term) grace(j *job) time.Duration {
	allowed := min(j.info.Checkpoint, t.config.CheckpointGrace)
	if allowed <= 0 {
		return 0
	}
	return allowed + t.config.CheckpointGrace/graceMarginDivisor
}

// stopTasks sends the commands and returns for each member whether it is known to have been killed.
func (t *term) stopTasks(ctx context.Context, tasks []structs.Task, checkpoint bool, grace time.Duration) map[int]bool {
	errs := make([]error, len(tasks))
	var group errgroup.Group
	group.SetLimit(maxParallelCommands)
	for i, task := range tasks {
		group.Go(func() error {
			if checkpoint {
				errs[i] = t.racks.Stop(ctx, task, true, grace)
			} else {
				errs[i] = t.racks.Release(ctx, task)
			}
			return nil
		})
	}
	_ = group.Wait()
	killed := map[int]bool{}
	for i, err := range errs {
		killed[tasks[i].Member] = err == nil && !checkpoint
	}
	return killed
}

// afterStopCommands marks the killed members as stopped. Commands that failed are retried.
func (t *term) afterStopCommands(j *job, killed map[int]bool, sent time.Time) {
	j.busy = false
	j.lastStopSent = sent
	for i := range j.members {
		m := &j.members[i]
		if killed[m.task.Member] && !m.phase.Ended() {
			m.phase = platform.TaskStopped
		}
	}
	t.dirty[j.key] = true
}

// completeStop decides what happens to a stopped job after its last member has ended. A job that finished before the stop
// took effect gets its result: requeueing it would run it twice.
func (t *term) completeStop(j *job, now time.Time) {
	if j.missingMembers == 0 && j.count(isPhase(platform.TaskFinished)) == len(j.members) {
		t.recordSuccess(j)
		j.result = t.finishedResult(j, now)
	}
	j.attained = max(j.attained, j.savedWork())
	j.spent += j.ranFor()
	if j.cause == causeFailed {
		t.handleFailure(j, now)
	}
	t.unplace(j)
	switch {
	case j.result != nil:
	case j.removed:
		t.drop(j)
	case j.cancelled:
		j.result = &Result{State: structs.JobCancelled, Message: "cancelled while it ran", Attempts: j.starts, EndedAt: now}
	case j.origin == fromProbe:
		t.drop(j)
	case j.overran():
		j.result = j.overrunResult(now)
	default:
		t.requeue(j, now)
	}
}

// requeue makes a stopped job wait for its next attempt.
func (t *term) requeue(j *job, now time.Time) {
	j.setState(structs.JobWaiting, now)
	j.members = nil
	j.missingMembers = 0
	j.reason = "stopped: " + string(j.cause)
	t.enqueue(j)
	t.config.Log.Emit(eventRequeued, event.F("job", j.key), event.F("cause", j.cause), event.F("attained", j.attained))
	j.cause = "" // otherwise the next start would be abandoned as preempted
}

// unplace releases the accelerators of a job and lets waiting jobs be tried again.
func (t *term) unplace(j *job) {
	if !j.placed {
		return
	}
	j.placed = false
	t.clearTimers(j)
	t.unbindWorkers(j)
	if j.origin != fromProbe {
		t.release(j)
	}
	t.placementDue = true
}

// release removes a job from the placement view and charges its customer for the time not charged for yet.
func (t *term) release(j *job) {
	if err := t.cluster.Release(j.key); err != nil {
		t.config.Log.Emit(eventBookingInconsistent, event.F("job", j.key), event.F("cause", err))
	}
	if j.state != structs.JobStarting {
		t.charge(j, j.ranFor())
	}
}
