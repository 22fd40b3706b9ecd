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

// Pauses of finish records and of the freeing of tasks.
const (
	recordTimeout = 5 * time.Second
	recordRetry   = time.Second
	orphanRetry   = time.Second
	orphanFailed  = 100 * time.Millisecond
	orphansAtOnce = 256
)

// finished is the result of a job whose members have all finished.
func (t *term) finished(j *job, now time.Time) *Result {
	return &Result{State: structs.JobFinished, Attempts: j.starts, RanFor: j.attained + j.ranFor(), EndedAt: now}
}

// record writes the finish record and forgets the job afterwards. The order matters: the workers keep the result until
// the record is acknowledged, so a scheduler that takes over in between finds it in one of the two places.
func (t *term) record(ctx context.Context, j *job, now time.Time) {
	t.unplace(j)
	if j.origin != fromCustomer {
		t.endUnrecorded(j, now)
		return
	}
	if now.Sub(j.recorded) < recordRetry {
		return
	}
	j.recorded = now
	result := *j.result
	customer, id := j.info.Customer, j.info.ID
	j.busy = t.spawn(func() func() {
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		err := t.config.Jobs.Finish(ctx, customer, id, result)
		return func() { t.recordEnded(j, err) }
	})
}

func (t *term) recordEnded(j *job, err error) {
	j.busy = false
	t.active[j.key] = true
	// The job stream drops old results, so a job that it does not know has ended.
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		t.config.Log.Emit(eventRecordFailed, event.F("job", j.key), event.F("cause", err))
		return
	}
	t.config.Log.Emit(eventEnded, event.F("job", j.key), event.F("state", j.result.State), event.F("detail", j.result.Message))
	t.config.Metrics.Tagged(map[string]string{"state": string(j.result.State)}).Counter("scheduler_jobs_ended").Inc(1)
	t.recorded[j.key] = true
	t.drop(j)
}

// endUnrecorded follows the end of a service's task, which starts again, or of a probe.
func (t *term) endUnrecorded(j *job, now time.Time) {
	j.result = nil
	if j.origin == fromProbe || j.removed {
		t.drop(j)
		return
	}
	t.requeue(j, now)
}

// drop removes a job. The workers then forget its tasks.
func (t *term) drop(j *job) {
	t.unplace(j)
	t.dequeue(j)
	if j.origin == fromProbe {
		t.probeDropped(t.worker(j.probes))
	}
	for seen := range j.seen {
		t.orphan(seen, "")
	}
	delete(t.jobs, j.key)
	delete(t.active, j.key)
}

// forgetEarlier lets the workers forget the attempts before the present one, whose tasks carry what was saved.
func (t *term) forgetEarlier(j *job) {
	for seen := range j.seen {
		if seen.task.attempt < j.attempt {
			t.orphan(seen, "")
			delete(j.seen, seen)
		}
	}
}

// freeOrphans releases or forgets the tasks that belong to no known job and attempt.
func (t *term) freeOrphans(ctx context.Context, now time.Time) {
	sent := 0
	for seen, last := range t.orphans {
		if sent >= orphansAtOnce {
			return
		}
		w := t.workers[seen.worker]
		if w == nil || w.tasks[seen.task] == "" {
			delete(t.orphans, seen)
			continue
		}
		if now.Sub(last) < orphanRetry || !w.reachable || !t.mayFree(seen) {
			continue
		}
		t.orphans[seen] = now
		t.freeOrphan(ctx, seen, w.tasks[seen.task])
		sent++
	}
}

// mayFree reports whether the job stream is known well enough: a fold that is behind may lack a job that runs.
func (t *term) mayFree(seen sighting) bool {
	if j := t.jobs[seen.task.job]; j != nil {
		return seen.task.attempt != j.attempt || j.member(seen.task.member) == nil ||
			j.member(seen.task.member).task.Worker != seen.worker
	}
	customer, id, _ := strings.Cut(string(seen.task.job), "/")
	if customer == "" || t.recorded[seen.task.job] {
		return true // the operator's tasks are not in the job stream
	}
	_, result, known := t.config.Jobs.Find(structs.Customer(customer), structs.JobID(id))
	return known && result != nil || t.streamCurrent()
}

// orphanSent repeats a command that failed sooner than one whose effect has yet to be reported.
func (t *term) orphanSent(seen sighting, err error) {
	if last, known := t.orphans[seen]; known && err != nil {
		t.orphans[seen] = last.Add(orphanFailed - orphanRetry)
	}
}

// runsElsewhere reports whether a task of an earlier attempt still holds accelerators, as far as is known.
func (t *term) runsElsewhere(j *job) bool {
	for seen := range j.seen {
		if _, orphaned := t.orphans[seen]; orphaned && t.runs(seen) {
			return true
		}
	}
	return false
}

func (t *term) runs(seen sighting) bool {
	w := t.workers[seen.worker]
	return w != nil && w.tasks[seen.task] != "" && !w.tasks[seen.task].Ended()
}

func (t *term) freeOrphan(ctx context.Context, seen sighting, phase platform.TaskPhase) {
	task := structs.Task{Worker: seen.worker, Attempt: seen.task.attempt, Member: seen.task.member}
	task.Job.ID = seen.task.job
	t.spawn(func() func() {
		command := t.racks.Release
		if phase.Ended() {
			command = t.racks.Forget
		}
		err := command(ctx, task)
		return func() { t.orphanSent(seen, err) }
	})
	if !phase.Ended() {
		t.config.Log.Emit(eventFreed, event.F("job", seen.task.job), event.F("worker", seen.worker), event.F("phase", phase))
	}
}

// mustLapse reports whether the leases of a job must not be extended: it is being stopped for good, or it is a gang
// with a member out of reach. Members in reach then stop in time even when this scheduler is lost as well.
func (t *term) mustLapse(j *job) bool {
	switch j.state {
	case structs.JobStopping:
		return j.cause != causePreempted
	case structs.JobRunning:
		return len(j.members)+j.missing > 1 && t.incomplete(j)
	default:
		return false
	}
}

// sendWithheld tells the rack owners which jobs must not be extended, among them waiting jobs with a task left over from
// an aborted start. The first call after a rebuild also permits the extension of all others.
func (t *term) sendWithheld(ctx context.Context) {
	var jobs []structs.JobID
	for key := range t.active {
		j := t.jobs[key]
		if j != nil && t.mustLapse(j) {
			jobs = append(jobs, key)
		}
	}
	for seen := range t.orphans {
		j := t.jobs[seen.task.job]
		if j != nil && j.state == structs.JobWaiting && t.runs(seen) {
			jobs = append(jobs, j.key)
		}
	}
	slices.Sort(jobs)
	jobs = slices.Compact(jobs)
	var text strings.Builder
	for _, key := range jobs {
		text.WriteString("|" + string(key))
	}
	if t.permitted && text.String() == t.withheld {
		return
	}
	if t.spawn(func() func() {
		err := t.racks.Withhold(ctx, jobs)
		return func() { t.permitted = t.permitted && err == nil }
	}) {
		t.permitted = true
		t.withheld = text.String()
	}
}
