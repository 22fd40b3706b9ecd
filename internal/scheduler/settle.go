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

// Pauses of the life cycle.
const (
	commandRetry  = 500 * time.Millisecond // between repeated stops of a job
	maxParallel   = 32                     // commands in flight for one job
	settleBudget  = 20 * time.Millisecond  // of one step, so that a wave of cancellations does not delay placements
	failurePause  = 100 * time.Millisecond // after the first failure, doubled for each further one
	longestPause  = 30 * time.Second
	syncShare     = 4                      // the list of all jobs is read for at most a fifth of the time
	refusedPause  = 100 * time.Millisecond // after a hold was refused
	graceFraction = 10                     // of the grace is added for the way to the worker
)

// syncJobs takes over new, cancelled and finished jobs of the job stream when its fold has changed.
func (t *term) syncJobs(now time.Time) {
	changed := t.config.Jobs.Changed()
	if changed == t.jobsSeen || now.Before(t.jobsNext) {
		return
	}
	t.jobsSeen = changed
	defer func() { t.jobsNext = time.Now().Add(syncShare * time.Since(now)) }()
	current := t.streamCurrent()
	if !current {
		t.jobsSeen = nil // looks again at every step until the fold is current
	}
	listed := map[structs.JobID]bool{}
	for _, a := range t.config.Jobs.Unfinished() {
		key := Key(a.Job.Customer, a.Job.ID)
		listed[key] = true
		if t.recorded[key] {
			continue // the fold has not reached the finish record
		}
		j := t.jobs[key]
		if j == nil {
			j = newJob(key, a.Job, fromCustomer, now)
			t.jobs[key] = j
			t.enqueue(j)
		}
		if a.Cancelled && !j.cancelled {
			j.cancelled = true
			t.active[key] = true
		}
	}
	maps.DeleteFunc(t.recorded, func(key structs.JobID, _ bool) bool { return !listed[key] })
	for key, j := range t.jobs {
		if j.origin == fromCustomer && !listed[key] && !j.removed && (current || t.ended(j)) {
			j.removed = true
			t.active[key] = true
		}
	}
}

// streamCurrent reports whether the fold has reached the end of the job stream since this term began. Before that it may
// lack a job that runs: an instance that has just started once stopped running gangs for that reason.
func (t *term) streamCurrent() bool { return t.config.Jobs.CurrentAsOf().After(t.began) }

// ended reports whether the job stream has a result of the job.
func (t *term) ended(j *job) bool {
	_, result, known := t.config.Jobs.Find(j.info.Customer, j.info.ID)
	return known && result != nil
}

// settleAll moves every job on that may have to.
func (t *term) settleAll(ctx context.Context, now time.Time) {
	for key := range t.dirty {
		t.active[key] = true
	}
	clear(t.dirty)
	for key := range t.active {
		j := t.jobs[key]
		if j == nil {
			delete(t.active, key)
			continue
		}
		t.settle(ctx, j, now)
		if t.quiet(j) {
			delete(t.active, key)
		}
		if time.Since(now) > settleBudget {
			return
		}
	}
}

// quiet reports whether nothing happens to the job until it is reported, cancelled or placed.
func (t *term) quiet(j *job) bool {
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

// incomplete reports whether a member of a running job is out of reach.
func (t *term) incomplete(j *job) bool {
	if j.missing > 0 {
		return true
	}
	for _, m := range j.members {
		if !t.worker(m.task.Worker).reachable {
			return true
		}
	}
	return false
}

func (t *term) settle(ctx context.Context, j *job, now time.Time) {
	switch {
	case j.busy:
	case j.result != nil:
		t.record(ctx, j, now)
	case j.state == structs.JobWaiting:
		t.settleWaiting(j, now)
	case j.state == structs.JobStarting:
		t.settleStarting(ctx, j, now)
	case j.state == structs.JobRunning:
		t.settleRunning(j, now)
	case j.state == structs.JobStopping:
		t.settleStopping(ctx, j, now)
	}
}

func (t *term) settleWaiting(j *job, now time.Time) {
	switch {
	case j.removed:
		t.drop(j)
	case j.cancelled:
		j.result = &Result{State: structs.JobCancelled, Message: "cancelled while it waited", Attempts: j.starts, EndedAt: now}
	}
}

func (t *term) settleRunning(j *job, now time.Time) {
	t.lapseLost(j, now)
	ended := j.count(platform.TaskPhase.Ended)
	finished := j.count(isPhase(platform.TaskFinished))
	switch {
	case finished == len(j.members) && j.missing == 0:
		t.succeeded(j)
		j.result = t.finished(j, now)
	case j.removed:
		t.stop(j, causeRemoved, now)
	case j.cancelled:
		t.stop(j, causeCancelled, now)
	case j.count(isPhase(platform.TaskFailed)) > 0:
		t.stop(j, causeFailed, now)
	case j.missing > 0 && now.Sub(j.missingSince) > t.config.Timing.TaskLease/2:
		j.fenceUntil = now.Add(t.lapse())
		t.stop(j, causeLost, now)
	case ended > finished || t.gangTorn(j, now):
		t.stop(j, causeLost, now)
	}
}

// gangTorn reports whether some members of a gang have been out of reach for too long while others are in reach. Their
// rack owner, if there is one, has withheld their renewal by then.
func (t *term) gangTorn(j *job, now time.Time) bool {
	if len(j.members) < 2 {
		return false
	}
	torn, here := 0, 0
	for _, m := range j.members {
		w := t.worker(m.task.Worker)
		switch {
		case w.reachable || m.phase.Ended():
			here++
		case now.Sub(w.lostAt) > t.config.Timing.TaskLease/2:
			torn++
		}
	}
	return torn > 0 && (here > 0 || t.allLapsed(j, now))
}

func (t *term) allLapsed(j *job, now time.Time) bool {
	for _, m := range j.members {
		w := t.worker(m.task.Worker)
		if w.holder != "" || now.Sub(w.lostAt) <= t.lapse() {
			return false
		}
	}
	return true
}

// lapseLost ends the members whose worker has been out of reach until their lease must have lapsed. A single task at a
// worker that another rack owner holds keeps running: that owner extends its lease.
func (t *term) lapseLost(j *job, now time.Time) {
	for i := range j.members {
		m := &j.members[i]
		w := t.worker(m.task.Worker)
		if w.reachable || m.phase.Ended() || now.Sub(w.lostAt) <= t.lapse() {
			continue
		}
		if len(j.members) > 1 && j.state == structs.JobStopping || w.holder == "" {
			m.phase = platform.TaskLapsed
			m.message = "the worker was lost"
		}
	}
}

// stop begins to end all members.
func (t *term) stop(j *job, cause stopCause, now time.Time) {
	j.setState(structs.JobStopping, now)
	j.cause = cause
	j.stopBegan = now
	j.stopSent = time.Time{}
	t.active[j.key] = true
	t.config.Log.Emit(eventStopping, event.F("job", j.key), event.F("attempt", j.attempt), event.F("cause", cause))
}

func (t *term) settleStopping(ctx context.Context, j *job, now time.Time) {
	t.lapseLost(j, now)
	if j.count(platform.TaskPhase.Ended) == len(j.members) {
		t.stopped(j, now)
		return
	}
	if now.Sub(j.stopSent) >= commandRetry {
		t.sendStop(ctx, j, now)
	}
}

// sendStop commands every member in reach to stop. A checkpoint is asked for once; when its grace is over, or no
// checkpoint is wanted, the members are killed.
func (t *term) sendStop(ctx context.Context, j *job, now time.Time) {
	grace := t.grace(j)
	checkpoint := j.cause == causePreempted && grace > 0
	if checkpoint && !j.stopSent.IsZero() && now.Sub(j.stopBegan) < grace+commandRetry {
		return
	}
	checkpoint = checkpoint && j.stopSent.IsZero()
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
		return func() { t.stopsSent(j, killed, now) }
	})
}

// grace is the time that a job's members get for a checkpoint.
func (t *term) grace(j *job) time.Duration {
	allowed := min(j.info.Checkpoint, t.config.CheckpointGrace)
	if allowed <= 0 {
		return 0
	}
	return allowed + t.config.CheckpointGrace/graceFraction
}

// stopTasks sends the commands and returns the numbers of the members that are known to have ended by them.
func (t *term) stopTasks(ctx context.Context, tasks []structs.Task, checkpoint bool, grace time.Duration) map[int]bool {
	errs := make([]error, len(tasks))
	var group errgroup.Group
	group.SetLimit(maxParallel)
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

// stopsSent notes the members that a kill has ended. A command that failed is repeated.
func (t *term) stopsSent(j *job, killed map[int]bool, sent time.Time) {
	j.busy = false
	j.stopSent = sent
	for i := range j.members {
		m := &j.members[i]
		if killed[m.task.Member] && !m.phase.Ended() {
			m.phase = platform.TaskStopped
		}
	}
	t.dirty[j.key] = true
}

// stopped follows the end of the last member. A job may finish while its stop is on the way; running it again would
// double it.
func (t *term) stopped(j *job, now time.Time) {
	if j.missing == 0 && j.count(isPhase(platform.TaskFinished)) == len(j.members) {
		t.succeeded(j)
		j.result = t.finished(j, now)
	}
	j.attained = max(j.attained, j.savedWork())
	j.spent += j.ranFor()
	if j.cause == causeFailed {
		t.failed(j, now)
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

func (t *term) requeue(j *job, now time.Time) {
	j.setState(structs.JobWaiting, now)
	j.members = nil
	j.missing = 0
	j.reason = "stopped: " + string(j.cause)
	t.enqueue(j)
	t.config.Log.Emit(eventRequeued, event.F("job", j.key), event.F("cause", j.cause), event.F("attained", j.attained))
	j.cause = "" // or the next start would be abandoned as preempted
}

// unplace gives the accelerators back and wakes the jobs that wait for them.
func (t *term) unplace(j *job) {
	if !j.placed {
		return
	}
	j.placed = false
	t.unwatch(j)
	t.unbind(j)
	if j.origin != fromProbe {
		t.release(j)
	}
	t.replace = true
}

// release gives a job's accelerators back to the cluster and charges its customer for what is still unpaid.
func (t *term) release(j *job) {
	if err := t.cluster.Release(j.key); err != nil {
		t.config.Log.Emit(eventRestoreFailed, event.F("job", j.key), event.F("cause", err))
	}
	if j.state != structs.JobStarting {
		t.charge(j, j.ranFor())
	}
}
