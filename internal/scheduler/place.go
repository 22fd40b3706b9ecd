package scheduler

import (
	"context"
	"fmt"
	"maps"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/gang"
	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/queue"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// placeBudget bounds the time that one step spends on placements.
const placeBudget = 20 * time.Millisecond

// triedAtOnce bounds the waiting jobs that one step tries.
const triedAtOnce = 1024

// turnCheck is how often waiting jobs are tried although nothing changed, since running jobs use up their turn.
const turnCheck = 10 * time.Second

// stalePause is the time between two looks at a job that waits for the job stream or for a service.
const stalePause = 100 * time.Millisecond

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
	t.refreshDown(now)
	t.endPauses(now)
	view := queue.View{Now: now, Entitled: t.cluster.Entitled, Used: t.cluster.Used}
	failed := map[signature]*job{}
	begun := time.Now()
	defer func() {
		if len(failed) > 0 {
			t.retryBy(now.Add(turnCheck))
		}
	}()
	for _, entry := range t.queue.Next(view, triedAtOnce) {
		j := t.jobs[entry.Job.ID]
		if j.cancelled || j.removed || j.busy || j.result != nil {
			continue
		}
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

// pause returns until when a job must not start, and why.
func (t *term) pause(j *job, now time.Time) (time.Time, string) {
	stale := !j.forgotten.IsZero() && !t.config.Jobs.CurrentAsOf().After(j.forgotten)
	dependency := t.dependencyDown(j)
	switch {
	case stale:
		return now.Add(stalePause), "a worker has already forgotten the job; the job stream is read first"
	case t.runsElsewhere(j):
		return now.Add(stalePause), "a task of an earlier attempt has yet to be released"
	case dependency != "":
		return now.Add(stalePause), dependency
	case j.unseen && len(t.unseen) > 0 && t.unseenUntil.After(j.notBefore):
		return t.unseenUntil, fmt.Sprintf("the job may run on one of %d workers that cannot be reached", len(t.unseen))
	case t.heldElsewhere(j):
		return now.Add(stalePause), "an earlier attempt may run at a worker that another rack owner holds"
	case j.fenceUntil.After(j.notBefore):
		return j.fenceUntil, "an earlier attempt may still run at a worker that cannot be reached"
	default:
		return j.notBefore, "pause after a failed attempt: " + j.lastError
	}
}

// overtakes reports whether a running borrower of the same urgency has had its turn and must yield to a waiting job.
// Only jobs that save their work take turns.
func (t *term) overtakes(j *job, key structs.JobID, now time.Time) bool {
	running := t.jobs[key]
	if running == nil || running.state != structs.JobRunning || running.info.Checkpoint <= 0 {
		return false
	}
	return t.queue.Overtakes(t.entry(j), t.entry(running), now.Sub(running.since))
}

// heldElsewhere reports whether a single task may have started at a worker whose rack owner is out of reach and extends
// its lease. Members of a gang lapse there.
func (t *term) heldElsewhere(j *job) bool {
	for _, id := range j.uncertain {
		if w := t.worker(id); len(j.placement.Members) == 1 && !w.reachable && w.holder != "" {
			return true
		}
	}
	return false
}

// tryPlace places a job and begins to start it. It returns false when there is no place.
func (t *term) tryPlace(ctx context.Context, j *job, now time.Time) bool {
	request := placement.Request{
		Job: j.key, Customer: j.info.Customer, Accelerators: j.info.Accelerators, Urgency: j.info.Urgency,
		Avoid: t.avoid(j, now), Now: now, MayPreempt: func(key structs.JobID) bool { return t.overtakes(j, key, now) },
	}
	if reason, remedy := t.overQuota(j); reason != "" {
		j.reason, j.remedy = reason, remedy
		return false
	}
	p, err := t.choose(request)
	if err == nil {
		err = t.cluster.Commit(p, attributes(j, now))
	}
	if err != nil {
		t.notPlaced(j, err, now)
		return false
	}
	j.placement = p
	j.reason = ""
	t.book(j)
	t.suspectAgain(j, now)
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
	if now.Before(j.avoidUntil) {
		t.retryBy(j.avoidUntil)
	}
	if !errkind.Is(err, errkind.CannotRun) || j.origin != fromCustomer {
		return
	}
	j.result = &Result{State: structs.JobRefused, Message: typed.Message, Attempts: j.starts, EndedAt: now}
	t.active[j.key] = true
}

// avoid returns the suspected workers and those where the job has failed. The latter are avoided for a while only, since
// a job that needs most of a small fleet would never start again, and not by a job that is blamed itself.
func (t *term) avoid(j *job, now time.Time) map[structs.WorkerID]bool {
	if len(j.failedOn) == 0 || j.blamed || now.After(j.avoidUntil) {
		return t.suspects
	}
	all := maps.Clone(t.suspects)
	for id := range j.failedOn {
		all[id] = true
	}
	return all
}

// retryBy makes the placements run again at a time at the latest.
func (t *term) retryBy(at time.Time) {
	if t.retryAt.IsZero() || at.Before(t.retryAt) {
		t.retryAt = at
	}
}

// overQuota tells why a job must wait for its customer's quota, "" when it need not.
func (t *term) overQuota(j *job) (reason, remedy string) {
	for i := range t.text.Customers {
		c := &t.text.Customers[i]
		if c.Name != j.info.Customer || c.Quota.Accelerators == 0 {
			continue
		}
		used := t.cluster.Used(c.Name)
		if used+j.info.Accelerators > c.Quota.Accelerators {
			reason = fmt.Sprintf("customers.%s.quota.accelerators is %d, %d are used and the job needs %d",
				c.Name, c.Quota.Accelerators, used, j.info.Accelerators)
			return reason, "wait until jobs of the customer end, or raise the quota"
		}
	}
	return "", ""
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
	if j.origin == fromProbe {
		t.drop(j)
		return
	}
	t.unplace(j)
	j.members = nil
	j.cause = ""
	j.reason = reason
	j.setState(structs.JobWaiting, now)
	t.active[j.key] = true
	t.enqueue(j)
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
	t.syncCell(j)
	j.attempt++
	j.starts++
	j.buildMembers(time.Now())
	tasks := j.tasks()
	begun := t.spawn(func() func() {
		result := t.starter.Start(ctx, tasks)
		return func() { t.launched(j, result, time.Now()) }
	})
	if !begun {
		j.attempt--
		j.starts--
		j.members = nil
		return
	}
	j.busy = true
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
	j.startedAt = now
	j.charged = 0
	t.watch(j, now)
	j.uncertain = nil
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
		j.fenceUntil = now.Add(t.lapse())
		j.uncertain = append(j.uncertain, uncertain.Worker)
	}
	j.lastError = first.Err.Error()
	j.notBefore = now.Add(refusedPause)
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
