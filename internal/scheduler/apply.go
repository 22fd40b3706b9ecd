package scheduler

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/rackowner"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// early is a report that arrived before the view was rebuilt.
type early struct {
	worker *worker
	status platform.TaskStatus
}

// apply takes over one change of the feed.
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
		t.report(w, status, now)
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
	w.holder = c.Holder
	if w.reachable || w.lostAt.IsZero() {
		w.lostAt = now
		w.reported = false
	}
	if w.reachable && t.cluster != nil {
		t.cluster.LoseWorker(w.id)
		t.checkMissing()
	}
	w.reachable = false
	w.gone = c.Gone
	t.markJobs(w)
}

func (t *term) workerReachable(w *worker, state *platform.WorkerState) {
	delete(t.unseen, w.id)
	isNew := !w.reachable || w.accelerators != state.Accelerators
	w.reachable = true
	w.holder = ""
	w.accelerators = state.Accelerators
	if !isNew {
		return
	}
	t.replace = true
	t.markJobs(w)
	if t.cluster != nil && t.usable(w) {
		t.cluster.SetWorker(w.placement())
		t.checkMissing()
	}
}

func (t *term) markJobs(w *worker) {
	for key := range w.jobs {
		t.dirty[key] = true
	}
}

// applyFull ends the tasks that a complete report does not list: the worker restarted without them.
func (t *term) applyFull(w *worker, tasks []platform.TaskStatus) {
	listed := map[taskID]bool{}
	for _, status := range tasks {
		listed[idOf(status.Task)] = true
	}
	for id := range w.tasks {
		if !listed[id] {
			delete(w.tasks, id)
			delete(t.orphans, sighting{w.id, id})
		}
	}
	for key := range w.jobs {
		j := t.jobs[key]
		for i := range j.members {
			m := &j.members[i]
			lost := m.task.Worker == w.id && m.phase != "" && !m.phase.Ended() && !listed[idOf(m.task)]
			if lost {
				m.phase = platform.TaskLapsed
				m.message = "the worker restarted"
				t.dirty[key] = true
			}
		}
	}
}

// report takes over one task's state.
func (t *term) report(w *worker, status platform.TaskStatus, now time.Time) {
	id := idOf(status.Task)
	seen := sighting{w.id, id}
	if status.Phase == platform.TaskForgotten {
		delete(w.tasks, id)
		delete(t.orphans, seen)
	} else {
		if _, known := t.orphans[seen]; known && w.tasks[id] != status.Phase {
			t.orphans[seen] = time.Time{} // the next command is due at once
		}
		w.tasks[id] = status.Phase
	}
	if !t.rebuilt {
		t.early = append(t.early, early{w, status})
		return
	}
	j := t.jobs[id.job]
	switch {
	case j == nil:
		t.orphan(seen, status.Phase)
	case status.Phase == platform.TaskForgotten:
		j.noteForgotten(id, now)
	default:
		t.reportKnown(j, w, status, seen, now)
	}
}

func (j *job) noteForgotten(id taskID, now time.Time) {
	if id.attempt >= j.attempt && j.state == structs.JobWaiting {
		j.forgotten = now
		j.attempt = id.attempt
	}
}

func (t *term) reportKnown(j *job, w *worker, status platform.TaskStatus, seen sighting, now time.Time) {
	j.seen[seen] = true
	if t.updateMember(j, status, w) {
		t.dirty[j.key] = true
		return
	}
	late := status.Task.Attempt > j.attempt && j.state == structs.JobWaiting
	j.attempt = max(j.attempt, status.Task.Attempt)
	if late {
		t.adopt(j, []early{{w, status}}, now)
		return
	}
	if t.joins(j, status.Task) {
		t.join(j, status)
		return
	}
	if !status.Phase.Ended() || j.state == structs.JobRunning {
		t.orphan(seen, status.Phase)
	}
}

// updateMember stores a report on a member of the present attempt, and returns false when it is none.
func (t *term) updateMember(j *job, status platform.TaskStatus, w *worker) bool {
	m := j.member(status.Task.Member)
	if status.Task.Attempt != j.attempt || m == nil || m.task.Worker != w.id {
		return false
	}
	m.phase = status.Phase
	m.ranFor = status.RanFor
	m.saved = status.SavedWork
	m.message = status.Message
	return true
}

// orphan notes a task that belongs to no known job and attempt.
func (t *term) orphan(seen sighting, phase platform.TaskPhase) {
	if phase == platform.TaskForgotten {
		return
	}
	if _, known := t.orphans[seen]; !known {
		t.orphans[seen] = time.Time{}
	}
}

// rebuild adopts what the workers reported when the scheduler attached.
func (t *term) rebuild(now time.Time) {
	t.rebuilt = true
	t.findUnseen(now)
	newest := map[structs.JobID]uint64{}
	for _, e := range t.early {
		key := e.status.Task.Job.ID
		newest[key] = max(newest[key], e.status.Task.Attempt)
	}
	groups := map[structs.JobID][]early{}
	for _, e := range t.early {
		key := e.status.Task.Job.ID
		if t.jobs[key] == nil || e.status.Task.Attempt < newest[key] {
			t.report(e.worker, e.status, now)
			continue
		}
		groups[key] = append(groups[key], e)
	}
	t.early = nil
	for key, group := range groups {
		t.adopt(t.jobs[key], group, now)
	}
	t.fenceUnseen()
	t.config.Log.Emit(eventActive, event.F("jobs", len(t.jobs)), event.F("workers", len(t.workers)))
}

// adopt takes over the newest attempt of a job from its workers.
func (t *term) adopt(j *job, group []early, now time.Time) {
	first := group[0].status.Task
	j.attempt = first.Attempt
	j.starts = max(j.starts, first.Starts, 1)
	j.failures = max(j.failures, first.Failures)
	j.attained = max(j.attained, first.Attained)
	j.spent = max(j.spent, first.Spent)
	j.charged = 0
	j.members = nil
	for _, e := range group {
		if e.status.Phase == platform.TaskForgotten {
			j.noteForgotten(idOf(e.status.Task), now)
			continue
		}
		j.seen[sighting{e.worker.id, idOf(e.status.Task)}] = true
		if j.member(e.status.Task.Member) == nil {
			j.members = append(j.members, memberOf(e.status))
		}
	}
	if len(j.members) > 0 {
		j.startedAt = adoptedStart(j, first, now)
		t.adoptState(j, first.Members-len(j.members), now)
	}
}

// adoptedStart is when an adopted attempt started. A task of an earlier version of the daemon lacks the time.
func adoptedStart(j *job, task structs.Task, now time.Time) time.Time {
	if task.LaunchedAt.IsZero() {
		return now.Add(-j.ranFor())
	}
	return task.LaunchedAt
}

func memberOf(status platform.TaskStatus) member {
	return member{status.Task, status.Phase, status.RanFor, status.SavedWork, status.Message}
}

// adoptState decides how an adopted job goes on. Members that no worker reported may still run at a worker that was
// not reported yet: the gang then waits for them, without an extension of its leases.
func (t *term) adoptState(j *job, missing int, now time.Time) {
	ended := j.count(platform.TaskPhase.Ended)
	finished := j.count(isPhase(platform.TaskFinished))
	switch {
	case missing == 0 && finished == len(j.members):
		j.result = t.finished(j, now)
		t.active[j.key] = true
		return
	case ended == len(j.members) && (finished < ended || len(t.unseen) == 0):
		t.adoptEnded(j, missing, now)
		return
	}
	j.placement = placementOf(j.key, j.members)
	t.restore(j)
	t.book(j)
	j.missing = missing
	j.missingSince = now
	j.setState(structs.JobRunning, now)
	t.watch(j, now)
	t.active[j.key] = true
	if j.count(isPhase(platform.TaskHeld)) > 0 || (missing > 0 && len(t.unseen) == 0) {
		t.stop(j, causeLost, now)
	}
}

// adoptEnded takes over an attempt that ended under an earlier scheduler and did not finish.
func (t *term) adoptEnded(j *job, missing int, now time.Time) {
	j.attained = j.savedWork()
	j.spent += j.ranFor()
	if j.count(isPhase(platform.TaskFailed)) > 0 {
		t.failed(j, now) // the earlier scheduler did not launch another attempt, whose tasks would carry this failure
	}
	if j.result == nil && j.overran() && !j.cancelled {
		j.result = j.overrunResult(now)
	}
	if j.result != nil {
		t.active[j.key] = true
	}
	j.members = nil
	j.unseen = missing > 0
}

// joins reports whether a task is a member that the adopted gang still lacks.
func (t *term) joins(j *job, task structs.Task) bool {
	return j.missing > 0 && j.state == structs.JobRunning && task.Attempt == j.attempt && j.member(task.Member) == nil
}

// join adds a member that was reported after the others.
func (t *term) join(j *job, status platform.TaskStatus) {
	t.unplace(j)
	j.members = append(j.members, memberOf(status))
	j.missing--
	j.placement = placementOf(j.key, j.members)
	t.restore(j)
	t.book(j)
	t.watch(j, time.Now())
	t.dirty[j.key] = true
}

// findUnseen collects the workers on the list that were not reported. Jobs that were accepted before may run there.
func (t *term) findUnseen(now time.Time) {
	t.unseenUntil = now.Add(t.lapse())
	for _, listed := range t.config.View.Workers(t.dc) {
		id := structs.WorkerID(listed.ID)
		if w := t.workers[id]; w == nil || !w.reachable {
			t.unseen[id] = true
		}
	}
}

// fenceUnseen delays the jobs without a task while such workers are missing.
func (t *term) fenceUnseen() {
	for _, j := range t.jobs {
		j.unseen = j.unseen || j.state == structs.JobWaiting && j.origin != fromProbe
	}
}

// lapse is the time after which a task whose lease nobody extends has ended: half a lease until a rack owner withholds
// renewal, one lease until the last renewal expires, and a tenth for delays.
func (t *term) lapse() time.Duration {
	return t.config.Timing.TaskLease * 16 / 10
}

// book links a placed job with its workers.
func (t *term) book(j *job) {
	j.placed = true
	t.dequeue(j)
	for _, m := range j.placement.Members {
		t.worker(m.Worker).jobs[j.key] = true
	}
}

func (t *term) unbind(j *job) {
	for _, m := range j.placement.Members {
		delete(t.worker(m.Worker).jobs, j.key)
	}
}

func idOf(task structs.Task) taskID { return taskID{task.Job.ID, task.Attempt, task.Member} }
