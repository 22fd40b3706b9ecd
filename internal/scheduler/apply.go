package scheduler

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/rackowner"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// bufferedStatus is the report of a task that arrived before the rebuild.
type bufferedStatus struct {
	worker *worker
	status platform.TaskStatus
}

// apply processes one change of the rack owners' feed. A change without a worker marks the end of the first full report.
func (t *term) apply(c rackowner.Change) {
	if c.Worker == "" {
		t.synced = true
		return
	}
	now := time.Now()
	w := t.worker(c.Worker)
	if c.Rack != "" {
		w.rack = c.Rack
	}
	if !c.Reachable {
		t.workerUnreachable(w, c, now)
		return
	}
	t.workerReachable(w, c.State)
	if c.Full {
		t.applyFull(w, c.State.Tasks)
	}
	for _, status := range c.State.Tasks {
		t.applyStatus(w, status, now)
	}
}

func (t *term) worker(id structs.WorkerID) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{id: id, jobs: map[structs.JobID]bool{}, tasks: map[taskID]platform.TaskPhase{}}
		t.workers[id] = w
	}
	return w
}

func (t *term) workerUnreachable(w *worker, c rackowner.Change, now time.Time) {
	w.sessionHolder = c.Holder
	if w.reachable || w.lostAt.IsZero() {
		w.lostAt = now
		w.lossLogged = false
	}
	if w.reachable && t.cluster != nil {
		t.cluster.LoseWorker(w.id)
		t.logMissingCells()
	}
	w.reachable = false
	w.delisted = c.Gone
	t.markJobs(w)
}

func (t *term) workerReachable(w *worker, state *platform.WorkerState) {
	delete(t.unreported, w.id)
	changed := !w.reachable || w.accelerators != state.Accelerators
	w.reachable = true
	w.sessionHolder = ""
	w.accelerators = state.Accelerators
	if !changed {
		return
	}
	t.placementDue = true
	t.markJobs(w)
	if t.cluster != nil && t.usable(w) {
		t.cluster.SetWorker(w.placement())
		t.logMissingCells()
	}
}

// markJobs marks the jobs on a worker for reconciliation.
func (t *term) markJobs(w *worker) {
	for key := range w.jobs {
		t.dirty[key] = true
	}
}

// applyFull ends the tasks that a full report does not list: the worker has restarted without them.
func (t *term) applyFull(w *worker, tasks []platform.TaskStatus) {
	listed := map[taskID]bool{}
	for _, status := range tasks {
		listed[taskIDOf(status.Task)] = true
	}
	for id := range w.tasks {
		if !listed[id] {
			delete(w.tasks, id)
			delete(t.orphans, taskRef{w.id, id})
		}
	}
	for key := range w.jobs {
		j := t.jobs[key]
		for i := range j.members {
			m := &j.members[i]
			lost := m.task.Worker == w.id && m.phase != "" && !m.phase.Ended() && !listed[taskIDOf(m.task)]
			if lost {
				m.phase = platform.TaskLapsed
				m.message = "the worker restarted"
				t.dirty[key] = true
			}
		}
	}
}

// applyStatus processes the report of one task, or buffers it until the rebuild.
func (t *term) applyStatus(w *worker, status platform.TaskStatus, now time.Time) {
	id := taskIDOf(status.Task)
	ref := taskRef{w.id, id}
	if status.Phase == platform.TaskForgotten {
		delete(w.tasks, id)
		delete(t.orphans, ref)
	} else {
		if _, known := t.orphans[ref]; known && w.tasks[id] != status.Phase {
			t.orphans[ref] = time.Time{} // the phase changed, so the next command is due at once
		}
		w.tasks[id] = status.Phase
	}
	if !t.rebuilt {
		t.bufferedStatuses = append(t.bufferedStatuses, bufferedStatus{w, status})
		return
	}
	j := t.jobs[id.job]
	switch {
	case j == nil:
		t.addOrphan(ref, status.Phase)
	case status.Phase == platform.TaskForgotten:
		j.noteForgotten(id, now)
	default:
		t.applyJobStatus(j, w, status, ref, now)
	}
}

// noteForgotten notes that a worker has forgotten the latest attempt of a waiting job. The job may have a finish record
// that the fold does not show yet, see pausedUntil.
func (j *job) noteForgotten(id taskID, now time.Time) {
	if id.attempt >= j.attempt && j.state == structs.JobWaiting {
		j.forgottenAt = now
		j.attempt = id.attempt
	}
}

// applyJobStatus processes the report of a task of a known job. The task is a member of the current attempt, belongs to a
// newer attempt, which is adopted, is a member that an adopted gang lacks, or is an orphan.
func (t *term) applyJobStatus(j *job, w *worker, status platform.TaskStatus, ref taskRef, now time.Time) {
	j.knownTasks[ref] = true
	if t.updateMember(j, status, w) {
		t.dirty[j.key] = true
		return
	}
	newerAttempt := status.Task.Attempt > j.attempt && j.state == structs.JobWaiting
	j.attempt = max(j.attempt, status.Task.Attempt)
	if newerAttempt {
		t.adopt(j, []bufferedStatus{{w, status}}, now)
		return
	}
	if t.isMissingMember(j, status.Task) {
		t.addMissingMember(j, status)
		return
	}
	if !status.Phase.Ended() || j.state == structs.JobRunning {
		t.addOrphan(ref, status.Phase)
	}
}

// updateMember stores the report of a task if it is a member of the job's current attempt, and reports whether it is.
func (t *term) updateMember(j *job, status platform.TaskStatus, w *worker) bool {
	m := j.member(status.Task.Member)
	if status.Task.Attempt != j.attempt || m == nil || m.task.Worker != w.id {
		return false
	}
	m.phase = status.Phase
	m.ranFor = status.RanFor
	m.savedWork = status.SavedWork
	m.message = status.Message
	return true
}

// addOrphan schedules the release of a task that belongs to no known job or to an earlier attempt.
func (t *term) addOrphan(ref taskRef, phase platform.TaskPhase) {
	if phase == platform.TaskForgotten {
		return
	}
	if _, known := t.orphans[ref]; !known {
		t.orphans[ref] = time.Time{}
	}
}

// rebuild restores the placed jobs from the reports that were buffered since the scheduler attached.
func (t *term) rebuild(now time.Time) {
	t.rebuilt = true
	t.findUnreported(now)
	newest := map[structs.JobID]uint64{}
	for _, report := range t.bufferedStatuses {
		key := report.status.Task.Job.ID
		newest[key] = max(newest[key], report.status.Task.Attempt)
	}
	reportsByJob := map[structs.JobID][]bufferedStatus{}
	for _, report := range t.bufferedStatuses {
		key := report.status.Task.Job.ID
		if t.jobs[key] == nil || report.status.Task.Attempt < newest[key] {
			t.applyStatus(report.worker, report.status, now)
			continue
		}
		reportsByJob[key] = append(reportsByJob[key], report)
	}
	t.bufferedStatuses = nil
	for key, reports := range reportsByJob {
		t.adopt(t.jobs[key], reports, now)
	}
	t.delayUnreported()
	t.config.Log.Emit(eventActive, event.F("jobs", len(t.jobs)), event.F("workers", len(t.workers)))
}

// adopt restores a job's newest attempt, which an earlier scheduler started, from the reports of its tasks.
func (t *term) adopt(j *job, reports []bufferedStatus, now time.Time) {
	first := reports[0].status.Task
	j.attempt = first.Attempt
	j.starts = max(j.starts, first.Starts, 1)
	j.failures = max(j.failures, first.Failures)
	j.attained = max(j.attained, first.Attained)
	j.spent = max(j.spent, first.Spent)
	j.charged = 0
	j.members = nil
	for _, report := range reports {
		if report.status.Phase == platform.TaskForgotten {
			j.noteForgotten(taskIDOf(report.status.Task), now)
			continue
		}
		j.knownTasks[taskRef{report.worker.id, taskIDOf(report.status.Task)}] = true
		if j.member(report.status.Task.Member) == nil {
			j.members = append(j.members, memberOf(report.status))
		}
	}
	if len(j.members) > 0 {
		j.startedAt = adoptedStart(j, first, now)
		t.adoptState(j, first.Members-len(j.members), now)
	}
}

// adoptedStart is when an adopted attempt started. Tasks that an earlier version of the daemon started lack the time.
func adoptedStart(j *job, task structs.Task, now time.Time) time.Time {
	if task.LaunchedAt.IsZero() {
		return now.Add(-j.ranFor())
	}
	return task.LaunchedAt
}

func memberOf(status platform.TaskStatus) member {
	return member{status.Task, status.Phase, status.RanFor, status.SavedWork, status.Message}
}

// adoptState decides how an adopted job continues. A member that no worker has reported may still run on a worker that
// has not been reported yet: the gang then waits for it, without renewals of its leases.
func (t *term) adoptState(j *job, missing int, now time.Time) {
	ended := j.count(platform.TaskPhase.Ended)
	finished := j.count(isPhase(platform.TaskFinished))
	switch {
	case missing == 0 && finished == len(j.members):
		j.result = t.finishedResult(j, now)
		t.reconciling[j.key] = true
		return
	case ended == len(j.members) && (finished < ended || len(t.unreported) == 0):
		t.adoptEnded(j, missing, now)
		return
	}
	j.placement = placementOf(j.key, j.members)
	t.restore(j)
	t.bindWorkers(j)
	j.missingMembers = missing
	j.missingSince = now
	j.setState(structs.JobRunning, now)
	t.setTimers(j, now)
	t.reconciling[j.key] = true
	if j.count(isPhase(platform.TaskHeld)) > 0 || (missing > 0 && len(t.unreported) == 0) {
		t.stop(j, causeLost, now)
	}
}

// adoptEnded adopts an attempt that ended without finishing under an earlier scheduler.
func (t *term) adoptEnded(j *job, missing int, now time.Time) {
	j.attained = j.savedWork()
	j.spent += j.ranFor()
	if j.count(isPhase(platform.TaskFailed)) > 0 {
		t.handleFailure(j, now) // not in j.failures yet: tasks carry the count from their start
	}
	if j.result == nil && j.overran() && !j.cancelled {
		j.result = j.overrunResult(now)
	}
	if j.result != nil {
		t.reconciling[j.key] = true
	}
	j.members = nil
	j.mayRunUnreported = missing > 0
}

// isMissingMember reports whether a task is a member that an adopted gang still lacks.
func (t *term) isMissingMember(j *job, task structs.Task) bool {
	return j.missingMembers > 0 && j.state == structs.JobRunning && task.Attempt == j.attempt && j.member(task.Member) == nil
}

// addMissingMember adds a member that was reported after its gang was adopted.
func (t *term) addMissingMember(j *job, status platform.TaskStatus) {
	t.unplace(j)
	j.members = append(j.members, memberOf(status))
	j.missingMembers--
	j.placement = placementOf(j.key, j.members)
	t.restore(j)
	t.bindWorkers(j)
	t.setTimers(j, time.Now())
	t.dirty[j.key] = true
}

// findUnreported collects the listed workers that have not been reported. Jobs that were accepted earlier may run there.
func (t *term) findUnreported(now time.Time) {
	t.unreportedUntil = now.Add(t.leaseExpiryBound())
	for _, listed := range t.config.View.Workers(t.dc) {
		id := structs.WorkerID(listed.ID)
		if w := t.workers[id]; w == nil || !w.reachable {
			t.unreported[id] = true
		}
	}
}

// delayUnreported delays the jobs without a reported task, since they may run on unreported workers.
func (t *term) delayUnreported() {
	for _, j := range t.jobs {
		j.mayRunUnreported = j.mayRunUnreported || j.state == structs.JobWaiting && j.origin != fromProbe
	}
}

// leaseExpiryBound is the time after which a task on a lost worker has ended: half a lease until its rack owner stops
// renewing the lease, one lease until the last renewal expires, and a tenth of a lease for delays.
func (t *term) leaseExpiryBound() time.Duration {
	return t.config.Timing.TaskLease * 16 / 10
}

// bindWorkers marks a job as placed and links it with its workers.
func (t *term) bindWorkers(j *job) {
	j.placed = true
	j.bookings++
	t.dequeue(j)
	for _, m := range j.placement.Members {
		t.worker(m.Worker).jobs[j.key] = true
	}
}

func (t *term) unbindWorkers(j *job) {
	for _, m := range j.placement.Members {
		delete(t.worker(m.Worker).jobs, j.key)
	}
}

func taskIDOf(task structs.Task) taskID { return taskID{task.Job.ID, task.Attempt, task.Member} }
