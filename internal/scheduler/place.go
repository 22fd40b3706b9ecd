package scheduler

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/gang"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// placeBudget bounds the time that one step spends on placements.
const placeBudget = 20 * time.Millisecond

// signature groups the waiting jobs that a placer treats alike: when one of them has no place, the next one of the
// group has none either.
type signature struct {
	customer     structs.Customer
	accelerators int
	urgency      int
}

// place tries the waiting jobs in order, when something has changed that may let one of them start.
func (t *term) place(ctx context.Context, now time.Time) {
	pauseOver := !t.retryAt.IsZero() && now.After(t.retryAt)
	if !t.replace && !pauseOver {
		return
	}
	t.replace = false
	t.retryAt = time.Time{}
	waiting := t.waiting(now)
	t.order.Sort(waiting, now)
	failed := map[signature]*job{}
	begun := time.Now()
	for _, candidate := range waiting {
		j := t.jobs[candidate.Key]
		group := signature{j.info.Customer, j.info.Accelerators, j.info.Urgency}
		if like := failed[group]; like != nil && len(j.failedOn) == 0 {
			j.reason, j.remedy = like.reason, like.remedy
			continue
		}
		if time.Since(begun) > placeBudget {
			t.replace = true
			return
		}
		if !t.tryPlace(ctx, j, now) && len(j.failedOn) == 0 {
			failed[group] = j
		}
	}
}

// waiting collects the jobs that may be placed now and notes why the others may not.
func (t *term) waiting(now time.Time) []Waiting {
	var all []Waiting
	for key, j := range t.jobs {
		if j.state != structs.JobWaiting || j.busy || j.result != nil || j.cancelled || j.removed || j.origin == fromProbe {
			continue
		}
		if until, reason := t.pause(j); now.Before(until) {
			j.reason = reason
			if t.retryAt.IsZero() || until.Before(t.retryAt) {
				t.retryAt = until
			}
			continue
		}
		if !t.dependenciesUp(j) {
			continue
		}
		all = append(all, Waiting{Key: key, Job: j.info, Since: j.info.SubmittedAt, Attained: j.attained, Attempts: j.starts})
	}
	return all
}

// pause returns until when a job must not start, and why.
func (t *term) pause(j *job) (time.Time, string) {
	stale := !j.forgotten.IsZero() && !t.config.Jobs.CurrentAsOf().After(j.forgotten)
	switch {
	case stale:
		return time.Now().Add(recordRetry), "a worker has already forgotten the job; the job stream is read first"
	case j.unseen && len(t.unseen) > 0 && t.unseenUntil.After(j.notBefore):
		return t.unseenUntil, fmt.Sprintf("the job may run on one of %d workers that cannot be reached", len(t.unseen))
	case j.fenceUntil.After(j.notBefore):
		return j.fenceUntil, "an earlier attempt may still run at a worker that cannot be reached"
	default:
		return j.notBefore, "pause after a failed attempt: " + j.lastError
	}
}

// tryPlace places a job and begins to start it. It returns false when there is no place.
func (t *term) tryPlace(ctx context.Context, j *job, now time.Time) bool {
	if !t.withinQuota(j) {
		return false
	}
	request := j.request(now)
	request.Avoid = t.avoid(j)
	p, err := t.placer.Place(request)
	if err == nil {
		err = t.placer.Commit(p, request)
	}
	if err != nil {
		t.notPlaced(j, err, now)
		return false
	}
	j.placement = p
	j.reason = ""
	t.book(j)
	j.setState(structs.JobStarting, now)
	j.victims = map[structs.JobID]bool{}
	for _, key := range p.Victims {
		t.yield(j, key, now)
	}
	t.settleStarting(ctx, j, now)
	t.active[j.key] = true
	return true
}

// notPlaced keeps the reason, and refuses the job when waiting does not help.
func (t *term) notPlaced(j *job, err error, now time.Time) {
	typed := errkind.As(err)
	j.reason = typed.Message
	j.remedy = typed.Remedy
	if !errkind.Is(err, errkind.CannotRun) || j.origin != fromCustomer {
		return
	}
	j.result = &Result{State: structs.JobRefused, Message: typed.Message, Attempts: j.starts, EndedAt: now}
	t.active[j.key] = true
}

// avoid returns the workers that must not be used: excluded ones and those where the job has failed, unless it has
// failed in so many places that it is blamed itself.
func (t *term) avoid(j *job) map[structs.WorkerID]bool {
	if len(j.failedOn) == 0 || j.blamed {
		return t.excluded
	}
	all := maps.Clone(t.excluded)
	for id := range j.failedOn {
		all[id] = true
	}
	return all
}

func (t *term) withinQuota(j *job) bool {
	for i := range t.text.Customers {
		c := &t.text.Customers[i]
		if c.Name != j.info.Customer || c.Quota.Accelerators == 0 {
			continue
		}
		used := t.used[c.Name]
		if used+j.info.Accelerators > c.Quota.Accelerators {
			j.reason = fmt.Sprintf("customers.%s.quota.accelerators is %d, %d are used and the job needs %d",
				c.Name, c.Quota.Accelerators, used, j.info.Accelerators)
			j.remedy = "wait until jobs of the customer end, or raise the quota"
			return false
		}
	}
	return true
}

// yield stops a borrower in favour of a job, after a checkpoint.
func (t *term) yield(j *job, key structs.JobID, now time.Time) {
	victim := t.jobs[key]
	if victim == nil || !victim.placed {
		return
	}
	j.victims[key] = true
	switch victim.state {
	case structs.JobRunning:
		t.stop(victim, causePreempted, now)
	case structs.JobStarting:
		victim.cause = causePreempted
		t.abandonStart(victim, now, "preempted before it started")
	}
	t.config.Log.Emit(eventPreempted, event.F("job", j.key), event.F("victim", key))
	t.config.Metrics.Counter("scheduler_preemptions").Inc(1)
}

// abandonStart puts a job that has not begun to start back into the queue. While its gang is being started it only
// notes the wish: the end of the operation follows it.
func (t *term) abandonStart(j *job, now time.Time, reason string) {
	if j.busy {
		return
	}
	t.unplace(j)
	j.members = nil
	j.cause = ""
	j.reason = reason
	j.setState(structs.JobWaiting, now)
	t.active[j.key] = true
}

// settleStarting starts the gang once the accelerators are free.
func (t *term) settleStarting(ctx context.Context, j *job, now time.Time) {
	if j.busy {
		return
	}
	if j.cancelled || j.removed || j.cause == causePreempted {
		t.abandonStart(j, now, "")
		return
	}
	for _, m := range j.placement.Members {
		if !t.worker(m.Worker).reachable {
			t.abandonStart(j, now, "a chosen worker was lost before the start")
			return
		}
	}
	for key := range j.victims {
		if victim := t.jobs[key]; victim != nil && victim.placed {
			return
		}
		delete(j.victims, key)
	}
	t.launch(ctx, j)
}

func (t *term) launch(ctx context.Context, j *job) {
	j.attempt++
	j.buildMembers()
	tasks := j.tasks()
	begun := t.spawn(func() func() {
		result := t.starter.Start(ctx, tasks)
		return func() { t.launched(j, result, time.Now()) }
	})
	if !begun {
		j.attempt--
		j.members = nil
		return
	}
	j.busy = true
	j.starts++
}

// launched follows the end of a gang start.
func (t *term) launched(j *job, result gang.Result, now time.Time) {
	j.busy = false
	t.dirty[j.key] = true
	if !result.Started {
		t.launchFailed(j, result, now)
		return
	}
	j.setState(structs.JobRunning, now)
	j.missing = 0
	t.forgetEarlier(j)
	t.config.Log.Emit(eventStarted, event.F("job", j.key), event.F("attempt", j.attempt), event.F("members", len(j.members)))
	t.config.Metrics.Timer("scheduler_wait").Record(now.Sub(j.info.SubmittedAt))
	if j.cause == causePreempted {
		t.stop(j, causePreempted, now)
	}
}

func (t *term) launchFailed(j *job, result gang.Result, now time.Time) {
	first := result.Failures[0]
	t.config.Log.Emit(eventStartFailed, event.F("job", j.key), event.F("worker", first.Task.Worker), event.F("cause", first.Err))
	for _, uncertain := range result.Uncertain {
		j.seen[sighting{uncertain.Worker, idOf(uncertain)}] = true
		j.fenceUntil = now.Add(t.config.Timing.TaskLease + t.config.Timing.TaskLease/10)
	}
	j.lastError = first.Err.Error()
	j.notBefore = now.Add(refusedPause)
	var refused *platform.RefusedError
	if !errors.As(first.Err, &refused) {
		j.failedOn[first.Task.Worker] = max(1, j.failedOn[first.Task.Worker])
	}
	t.abandonStart(j, now, "start failed: "+j.lastError)
	t.orphanSeen(j)
}

// orphanSeen frees what an aborted attempt may have left at workers.
func (t *term) orphanSeen(j *job) {
	for seen := range j.seen {
		if seen.task.attempt == j.attempt {
			t.orphan(seen, "")
		}
	}
}
