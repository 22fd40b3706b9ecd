package scheduler

import (
	"context"
	"slices"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Pauses and bounds for finish records and for the cleanup of orphaned tasks.
const (
	recordTimeout       = 5 * time.Second        // time limit of one attempt to record a result
	recordRetryInterval = time.Second            // time between attempts to record a result
	orphanRetryInterval = time.Second            // time between commands for one orphan, in which their effect is reported
	orphanErrorRetry    = 100 * time.Millisecond // time until the next command for an orphan after a failed one
	maxOrphansPerStep   = 256                    // most orphans for which one step sends a command
)

// finishedResult is the result of a job whose members have all finished.
func (t *term) finishedResult(j *job, now time.Time) *Result {
	return &Result{State: structs.JobFinished, Attempts: j.starts, RanFor: j.attained + j.ranFor(), EndedAt: now}
}

// record appends the finish record to the job stream and drops the job afterwards. The order matters: the workers keep
// their tasks until the record is acknowledged, so a scheduler that takes over in between finds the result either in the
// stream or at the workers.
func (t *term) record(ctx context.Context, j *job, now time.Time) {
	t.unplace(j)
	if j.origin != fromCustomer {
		t.endUnrecordedJob(j, now)
		return
	}
	if now.Sub(j.recordTriedAt) < recordRetryInterval {
		return
	}
	j.recordTriedAt = now
	result := *j.result
	customer, id := j.info.Customer, j.info.ID
	j.busy = t.spawn(func() func() {
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		err := t.config.Jobs.Finish(ctx, customer, id, result)
		return func() { t.afterRecord(j, err) }
	})
}

// afterRecord drops a job whose finish record was acknowledged.
func (t *term) afterRecord(j *job, err error) {
	j.busy = false
	t.reconciling[j.key] = true
	// The job stream removes old results, so a job that it does not know has ended.
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		t.config.Log.Emit(eventRecordFailed, event.F("job", j.key), event.F("cause", err))
		return
	}
	t.config.Log.Emit(eventEnded, event.F("job", j.key), event.F("state", j.result.State), event.F("detail", j.result.Message))
	t.config.Metrics.Tagged(map[string]string{"state": string(j.result.State)}).Counter("scheduler_jobs_ended").Inc(1)
	t.finishRecorded[j.key] = true
	t.drop(j)
}

// endUnrecordedJob requeues the task of a service or drops a probe. Neither has a finish record.
func (t *term) endUnrecordedJob(j *job, now time.Time) {
	j.result = nil
	if j.origin == fromProbe || j.removed {
		t.drop(j)
		return
	}
	t.requeue(j, now)
}

// drop removes a job and makes the workers forget its tasks.
func (t *term) drop(j *job) {
	t.unplace(j)
	t.dequeue(j)
	if j.origin == fromProbe {
		t.delayNextProbe(t.worker(j.probedWorker))
	}
	for ref := range j.knownTasks {
		t.addOrphan(ref, "")
	}
	delete(t.jobs, j.key)
	delete(t.reconciling, j.key)
}

// cleanUpEarlierAttempts makes the workers forget the earlier attempts of a job. The tasks of the current attempt carry the
// work that those saved.
func (t *term) cleanUpEarlierAttempts(j *job) {
	for ref := range j.knownTasks {
		if ref.task.attempt < j.attempt {
			t.addOrphan(ref, "")
			delete(j.knownTasks, ref)
		}
	}
}

// cleanUpOrphans makes the workers release or forget the tasks that belong to no known job or to an earlier attempt.
func (t *term) cleanUpOrphans(ctx context.Context, now time.Time) {
	sent := 0
	for ref, last := range t.orphans {
		if sent >= maxOrphansPerStep {
			return
		}
		w := t.workers[ref.worker]
		if w == nil || w.tasks[ref.task] == "" {
			delete(t.orphans, ref)
			continue
		}
		if now.Sub(last) < orphanRetryInterval || !w.reachable || !t.mayCleanUp(ref) {
			continue
		}
		t.orphans[ref] = now
		t.cleanUpOrphan(ctx, ref, w.tasks[ref.task])
		sent++
	}
}

// mayCleanUp reports whether an orphan is certain to be unwanted. A fold that is not current may lack a job that runs.
func (t *term) mayCleanUp(ref taskRef) bool {
	if j := t.jobs[ref.task.job]; j != nil {
		return ref.task.attempt != j.attempt || j.member(ref.task.member) == nil ||
			j.member(ref.task.member).task.Worker != ref.worker
	}
	customer, id, _ := strings.Cut(string(ref.task.job), "/")
	if customer == "" || t.finishRecorded[ref.task.job] {
		return true // tasks of the operator, which have no customer, are not in the job stream
	}
	_, result, known := t.config.Jobs.Find(structs.Customer(customer), structs.JobID(id))
	return known && result != nil || t.streamCurrent()
}

// afterOrphanCommand lets a failed command be retried sooner than one whose effect has not been reported yet.
func (t *term) afterOrphanCommand(ref taskRef, err error) {
	if last, known := t.orphans[ref]; known && err != nil {
		t.orphans[ref] = last.Add(orphanErrorRetry - orphanRetryInterval)
	}
}

// earlierAttemptRuns reports whether a task of an earlier attempt is known to hold accelerators still.
func (t *term) earlierAttemptRuns(j *job) bool {
	for ref := range j.knownTasks {
		if _, orphaned := t.orphans[ref]; orphaned && t.taskRuns(ref) {
			return true
		}
	}
	return false
}

// taskRuns reports whether a task has not ended as far as is known.
func (t *term) taskRuns(ref taskRef) bool {
	w := t.workers[ref.worker]
	return w != nil && w.tasks[ref.task] != "" && !w.tasks[ref.task].Ended()
}

// cleanUpOrphan releases a task that has not ended and makes the worker forget one that has.
func (t *term) cleanUpOrphan(ctx context.Context, ref taskRef, phase platform.TaskPhase) {
	task := structs.Task{Worker: ref.worker, Attempt: ref.task.attempt, Member: ref.task.member}
	task.Job.ID = ref.task.job
	t.spawn(func() func() {
		command := t.racks.Release
		if phase.Ended() {
			command = t.racks.Forget
		}
		err := command(ctx, task)
		return func() { t.afterOrphanCommand(ref, err) }
	})
	if !phase.Ended() {
		t.config.Log.Emit(eventUnknownTaskFreed, event.F("job", ref.task.job), event.F("worker", ref.worker), event.F("phase", phase))
	}
}

// mustExpire reports whether the task leases of a job must not be renewed: it is being stopped for a reason other
// than preemption, or it is a gang with a member out of reach. Its other members then stop in time even when this
// scheduler is lost as well.
func (t *term) mustExpire(j *job) bool {
	switch j.state {
	case structs.JobStopping:
		return j.cause != causePreempted
	case structs.JobRunning:
		return len(j.members)+j.missingMembers > 1 && t.incomplete(j)
	default:
		return false
	}
}

// sendWithheldJobs tells the rack owners for which jobs they must not renew task leases, among them waiting jobs with a task
// left over from an aborted start. The first call after a rebuild also permits the renewal for all other jobs.
func (t *term) sendWithheldJobs(ctx context.Context) {
	var jobs []structs.JobID
	for key := range t.reconciling {
		j := t.jobs[key]
		if j != nil && t.mustExpire(j) {
			jobs = append(jobs, key)
		}
	}
	for ref := range t.orphans {
		j := t.jobs[ref.task.job]
		if j != nil && j.state == structs.JobWaiting && t.taskRuns(ref) {
			jobs = append(jobs, j.key)
		}
	}
	slices.Sort(jobs)
	jobs = slices.Compact(jobs)
	var joined strings.Builder
	for _, key := range jobs {
		joined.WriteString("|" + string(key))
	}
	if t.withholdSent && joined.String() == t.lastWithheld {
		return
	}
	if t.spawn(func() func() {
		err := t.racks.Withhold(ctx, jobs)
		return func() { t.withholdSent = t.withholdSent && err == nil }
	}) {
		t.withholdSent = true
		t.lastWithheld = joined.String()
	}
}
