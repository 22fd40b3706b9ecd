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

// placementBudget bounds the time that one step spends on placements.
const placementBudget = 20 * time.Millisecond

// maxTriedPerStep bounds the waiting jobs that one step tries to place.
const maxTriedPerStep = 1024

// timeSliceCheck is how often waiting jobs are tried although nothing changed, since running borrowers reach the end of
// their time slice.
const timeSliceCheck = 10 * time.Second

// recheckPause is the time after which a paused job is checked again when the end of its pause is not known.
const recheckPause = 100 * time.Millisecond

// jobClass groups the waiting jobs that placement treats alike: when one of them cannot be placed, neither can the next one
// of its class.
type jobClass struct {
	customer     structs.Customer
	accelerators int
	urgency      int
}

// place tries to place the waiting jobs in order, when something has changed that may let one of them start.
func (t *term) place(ctx context.Context, now time.Time) {
	retryDue := !t.nextPlacement.IsZero() && now.After(t.nextPlacement)
	if !t.placementDue && !retryDue {
		return
	}
	t.placementDue = false
	t.updateDownServices(now)
	t.endPauses(now)
	view := queue.View{Now: now, Entitled: t.cluster.Entitled, Used: t.cluster.Used}
	failed := map[jobClass]*job{}
	begun := time.Now()
	defer func() {
		if len(failed) > 0 {
			t.schedulePlacement(now.Add(timeSliceCheck))
		}
	}()
	for _, entry := range t.queue.Next(view, maxTriedPerStep) {
		j := t.jobs[entry.Job.ID]
		if j.cancelled || j.removed || j.busy || j.result != nil {
			continue
		}
		class := jobClass{j.info.Customer, j.info.Accelerators, j.info.Urgency}
		if sameClass := failed[class]; sameClass != nil && len(j.failedOn) == 0 {
			j.reason, j.remedy = sameClass.reason, sameClass.remedy
			continue
		}
		if time.Since(begun) > placementBudget {
			t.placementDue = true
			return
		}
		if !t.tryPlace(ctx, j, now) && len(j.failedOn) == 0 {
			failed[class] = j
		}
	}
}

// pausedUntil returns the time before which a job must not start, and why.
func (t *term) pausedUntil(j *job, now time.Time) (time.Time, string) {
	stale := !j.forgottenAt.IsZero() && !t.config.Jobs.CurrentAsOf().After(j.forgottenAt)
	dependency := t.dependencyDown(j)
	switch {
	case stale:
		return now.Add(recheckPause), "a worker has forgotten the job's last attempt; the job stream has to show first whether the job has ended"
	case t.earlierAttemptRuns(j):
		return now.Add(recheckPause), "a task of an earlier attempt has not been released yet"
	case dependency != "":
		return now.Add(recheckPause), dependency
	case j.mayRunUnreported && len(t.unreported) > 0 && t.unreportedUntil.After(j.notBefore):
		return t.unreportedUntil, fmt.Sprintf("an earlier attempt may still run on one of %d workers that cannot be reached", len(t.unreported))
	case t.heldElsewhere(j):
		return now.Add(recheckPause), "an earlier attempt may still run on a worker whose session another rack owner holds"
	case j.fenceUntil.After(j.notBefore):
		return j.fenceUntil, "an earlier attempt may still run on a worker that cannot be reached"
	default:
		return j.notBefore, "pause after a failed attempt: " + j.lastError
	}
}

// overtakes reports whether a running borrower of the same urgency has used its time slice and must yield to a waiting job.
// Only jobs with checkpoints are time-sliced.
func (t *term) overtakes(j *job, key structs.JobID, now time.Time) bool {
	running := t.jobs[key]
	if running == nil || running.state != structs.JobRunning || running.info.Checkpoint <= 0 {
		return false
	}
	return t.queue.Overtakes(t.entry(j), t.entry(running), now.Sub(running.stateSince))
}

// heldElsewhere reports whether a job of a single task may have started on a worker whose rack owner is out of reach and
// renews the task lease. The leases of gang members expire there.
func (t *term) heldElsewhere(j *job) bool {
	for _, id := range j.uncertainWorkers {
		if w := t.worker(id); len(j.placement.Members) == 1 && !w.reachable && w.sessionHolder != "" {
			return true
		}
	}
	return false
}

// tryPlace places a job and begins its start. It returns false when the job cannot be placed now.
func (t *term) tryPlace(ctx context.Context, j *job, now time.Time) bool {
	request := placement.Request{
		Job: j.key, Customer: j.info.Customer, Accelerators: j.info.Accelerators, Urgency: j.info.Urgency,
		Avoid: t.workersToAvoid(j, now), Now: now, MayPreempt: func(key structs.JobID) bool { return t.overtakes(j, key, now) },
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
		t.placementFailed(j, err, now)
		return false
	}
	j.placement = p
	j.reason = ""
	t.bindWorkers(j)
	t.suspectFailingWorkers(j, now)
	j.setState(structs.JobStarting, now)
	j.victims = map[structs.JobID]uint64{}
	for _, key := range p.Victims {
		t.preempt(j, key, now)
	}
	t.reconcileStarting(ctx, j, now)
	t.reconciling[j.key] = true
	return true
}

// placementFailed keeps the reason for callers, and refuses a customer's job that can never run.
func (t *term) placementFailed(j *job, err error, now time.Time) {
	typed := errkind.As(err)
	j.reason = typed.Message
	j.remedy = typed.Remedy
	if now.Before(j.avoidUntil) {
		t.schedulePlacement(j.avoidUntil)
	}
	if !errkind.Is(err, errkind.CannotRun) || j.origin != fromCustomer {
		return
	}
	j.result = &Result{State: structs.JobRefused, Message: typed.Message, Attempts: j.starts, EndedAt: now}
	t.reconciling[j.key] = true
}

// workersToAvoid returns the suspected workers and those on which the job has failed. The latter are avoided only for some
// time, since a job that needs most of a small fleet would otherwise never start again, and not by a faulty job.
func (t *term) workersToAvoid(j *job, now time.Time) map[structs.WorkerID]bool {
	if len(j.failedOn) == 0 || j.faulty || now.After(j.avoidUntil) {
		return t.suspects
	}
	all := maps.Clone(t.suspects)
	for id := range j.failedOn {
		all[id] = true
	}
	return all
}

// schedulePlacement makes waiting jobs be tried again at the given time or earlier.
func (t *term) schedulePlacement(at time.Time) {
	if t.nextPlacement.IsZero() || at.Before(t.nextPlacement) {
		t.nextPlacement = at
	}
}

// overQuota returns why a job must wait for its customer's quota, or "" when it need not.
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

// preempt stops a borrower in favour of a job. A running borrower may save a checkpoint first.
func (t *term) preempt(j *job, key structs.JobID, now time.Time) {
	victim := t.jobs[key]
	if victim == nil || !victim.placed {
		return
	}
	j.victims[key] = victim.bookings
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

// abandonStart requeues a placed job that is not running. While its gang is being started it does nothing: afterStart
// handles the end of that operation.
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
	t.reconciling[j.key] = true
	t.enqueue(j)
}

// reconcileStarting starts the gang once all victims have released their accelerators, or abandons the start.
func (t *term) reconcileStarting(ctx context.Context, j *job, now time.Time) {
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
	for key, booking := range j.victims {
		victim := t.jobs[key]
		if victim != nil && victim.placed && victim.bookings == booking { // a later booking is not in this job's way
			return
		}
		delete(j.victims, key)
	}
	t.startGang(ctx, j)
}

// startGang makes the tasks of a new attempt and starts them asynchronously. When too many operations are in progress it
// starts nothing, and the next step tries again.
func (t *term) startGang(ctx context.Context, j *job) {
	t.syncCell(j)
	j.attempt++
	j.starts++
	j.buildMembers(time.Now())
	tasks := j.tasks()
	begun := t.spawn(func() func() {
		result := t.starter.Start(ctx, tasks)
		return func() { t.afterStart(j, result, time.Now()) }
	})
	if !begun {
		j.attempt--
		j.starts--
		j.members = nil
		return
	}
	j.busy = true
}

// afterStart handles the result of a gang start.
func (t *term) afterStart(j *job, result gang.Result, now time.Time) {
	j.busy = false
	t.dirty[j.key] = true
	if !result.Started {
		t.afterFailedStart(j, result, now)
		return
	}
	j.setState(structs.JobRunning, now)
	j.startedAt = now
	j.charged = 0
	t.setTimers(j, now)
	j.uncertainWorkers = nil
	j.missingMembers = 0
	t.cleanUpEarlierAttempts(j)
	t.config.Log.Emit(eventStarted, event.F("job", j.key), event.F("attempt", j.attempt), event.F("members", len(j.members)))
	t.config.Metrics.Timer("scheduler_wait").Record(now.Sub(j.info.SubmittedAt))
	if j.cause == causePreempted {
		t.stop(j, causePreempted, now)
	}
}

// afterFailedStart requeues a job after a failed start. Where members are uncertain, the next attempt waits until their
// leases have expired.
func (t *term) afterFailedStart(j *job, result gang.Result, now time.Time) {
	first := result.Failures[0]
	t.config.Log.Emit(eventStartFailed, event.F("job", j.key), event.F("worker", first.Task.Worker), event.F("cause", first.Err))
	for _, uncertain := range result.Uncertain {
		j.knownTasks[taskRef{uncertain.Worker, taskIDOf(uncertain)}] = true
		j.fenceUntil = now.Add(t.leaseExpiryBound())
		j.uncertainWorkers = append(j.uncertainWorkers, uncertain.Worker)
	}
	j.lastError = first.Err.Error()
	j.notBefore = now.Add(failedStartPause)
	t.abandonStart(j, now, "start failed: "+j.lastError)
	t.addOrphansOfAttempt(j)
}

// addOrphansOfAttempt schedules the release of the tasks that an aborted attempt may have left on workers.
func (t *term) addOrphansOfAttempt(j *job) {
	for ref := range j.knownTasks {
		if ref.task.attempt == j.attempt {
			t.addOrphan(ref, "")
		}
	}
}
