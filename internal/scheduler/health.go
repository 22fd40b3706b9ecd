package scheduler

import (
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Rules for failing workers and failing jobs. A worker with 8 accelerators can have 8 tasks under way before the first
// failure is seen, so a streak of 4 finds it within 10 tasks.
const (
	excludeStreak  = 4 // failures on a worker without a success in between
	excludeJobs    = 3 // different jobs among them
	blameWorkers   = 3 // workers on which a job failed before the failures are its own
	probesToReturn = 2
	suspectFor     = time.Minute
	probeRunTime   = 200 * time.Millisecond
	longestProbe   = 10 * time.Minute
)

// health is what the failures on a worker say about it.
type health struct {
	streak       int
	suspectUntil time.Time
	failed       map[structs.JobID]int // failures of the streak by job
	nextProbe    time.Time
	probeWait    time.Duration
	probing      bool
	succeeded    int // probes in a row
	probes       int
}

// failed attributes the failure of an attempt to the job or to the worker, and ends a job that failed too often.
func (t *term) failed(j *job, now time.Time) {
	for _, m := range j.members {
		if m.phase != platform.TaskFailed {
			continue
		}
		j.lastError = m.message
		t.failedOn(j, t.worker(m.task.Worker), now)
	}
	if j.origin == fromProbe {
		return
	}
	j.failures++
	shift := min(j.failures-1, 10)
	j.notBefore = now.Add(min(failurePause<<shift, longestPause))
	j.avoidUntil = j.notBefore.Add(t.config.ProbeInterval)
	limit := maxAttempts(t.text, j.info.Kind)
	if j.failures < limit || j.origin == fromService {
		return
	}
	message := fmt.Sprintf("failed %d times on %d workers (job_kinds.%s.max_attempts is %d), last: %s",
		j.failures, len(j.failedOn), j.info.Kind, limit, j.lastError)
	j.result = &Result{State: structs.JobFailed, Message: message, Attempts: j.starts, EndedAt: now}
}

func (t *term) failedOn(j *job, w *worker, now time.Time) {
	if j.origin == fromProbe {
		t.probeEnded(w, false, now)
		return
	}
	j.failedOn[w.id]++
	if !j.blamed && t.healthyFailures(j) >= blameWorkers {
		t.blame(j)
	}
	if j.blamed || t.excluded[w.id] {
		return
	}
	h := &w.health
	if h.failed == nil {
		h.failed = map[structs.JobID]int{}
	}
	h.streak++
	h.failed[j.key]++
	t.suspect(w, now)
	if h.streak >= excludeStreak && len(h.failed) >= excludeJobs {
		t.exclude(w, now)
	}
}

// suspect keeps further tasks off a worker with failures until its present ones have ended or some time has passed.
// From then on it gets one at a time until one succeeds. Without this a worker was given new tasks while the rest of the
// first ones were still failing, 11 in all where 10 are allowed.
func (t *term) suspect(w *worker, now time.Time) {
	w.health.suspectUntil = now.Add(suspectFor)
	t.suspects[w.id] = true
}

// endSuspicions lets suspected workers have their next task.
func (t *term) endSuspicions(now time.Time) {
	for id := range t.suspects {
		w := t.worker(id)
		if w.health.streak <= 0 || len(w.jobs) == 0 || now.After(w.health.suspectUntil) || t.excluded[id] {
			delete(t.suspects, id)
			t.replace = true
		}
	}
}

// suspectAgain follows a placement: a worker that has not yet redeemed itself gets no second task.
func (t *term) suspectAgain(j *job, now time.Time) {
	for _, m := range j.placement.Members {
		if w := t.worker(m.Worker); w.health.streak > 0 {
			t.suspect(w, now)
		}
	}
}

// healthyFailures is the number of workers that are not excluded and on which the job failed.
func (t *term) healthyFailures(j *job) int {
	n := 0
	for id := range j.failedOn {
		if !t.excluded[id] {
			n++
		}
	}
	return n
}

// blame attributes a job's failures to the job and takes them off the workers' accounts.
func (t *term) blame(j *job) {
	j.blamed = true
	for id := range j.failedOn {
		h := &t.worker(id).health
		h.streak -= h.failed[j.key]
		delete(h.failed, j.key)
	}
	t.config.Log.Emit(eventJobBlamed, event.F("job", j.key), event.F("workers", len(j.failedOn)), event.F("last", j.lastError))
}

// exclude takes a worker out of placement and its failures off the jobs' accounts.
func (t *term) exclude(w *worker, now time.Time) {
	t.excluded[w.id] = true
	w.health.probeWait = t.config.ProbeInterval
	w.health.nextProbe = now.Add(t.config.ProbeInterval)
	for key, n := range w.health.failed {
		if j := t.jobs[key]; j != nil {
			j.failures = max(0, j.failures-n)
			j.notBefore = now
		}
	}
	t.replace = true
	t.cluster.LoseWorker(w.id)
	t.checkMissing()
	t.config.Log.Emit(eventWorkerFailing, event.F("worker", w.id), event.F("failures", w.health.streak))
	t.config.Metrics.Gauge("scheduler_excluded_workers").Update(float64(len(t.excluded)))
}

// succeeded notes that a job ran to its end on its workers.
func (t *term) succeeded(j *job) {
	for _, m := range j.members {
		w := t.worker(m.task.Worker)
		if j.origin == fromProbe {
			t.probeEnded(w, true, time.Now())
			continue
		}
		if !t.excluded[w.id] {
			w.health = health{}
		}
	}
}

// probeEnded readmits a worker after enough probes, or waits longer for the next one.
func (t *term) probeEnded(w *worker, ok bool, now time.Time) {
	h := &w.health
	h.probing = false
	if !ok {
		h.succeeded = 0
		h.probeWait = min(2*h.probeWait, longestProbe)
		h.nextProbe = now.Add(h.probeWait)
		return
	}
	h.succeeded++
	h.nextProbe = now
	if h.succeeded < probesToReturn {
		return
	}
	delete(t.excluded, w.id)
	w.health = health{}
	t.replace = true
	if w.reachable {
		t.cluster.SetWorker(w.placement())
		t.checkMissing()
	}
	t.config.Log.Emit(eventWorkerReadmitted, event.F("worker", w.id))
	t.config.Metrics.Gauge("scheduler_excluded_workers").Update(float64(len(t.excluded)))
}

// probeDropped schedules the next probe after one that did not get to run.
func (t *term) probeDropped(w *worker) {
	h := &w.health
	if h.probing {
		h.probing = false
		h.nextProbe = time.Now().Add(h.probeWait)
	}
}

// syncProbes starts the probes that are due: a short task of the operator on one free accelerator.
func (t *term) syncProbes(now time.Time) {
	for id := range t.excluded {
		w := t.worker(id)
		if w.health.probing || !w.reachable || now.Before(w.health.nextProbe) {
			continue
		}
		index, free := t.freeAccelerator(w)
		if free {
			t.probe(w, index, now)
		}
	}
}

func (t *term) probe(w *worker, index int, now time.Time) {
	w.health.probing = true
	w.health.probes++
	key := Key("", structs.JobID(fmt.Sprintf("probe/%s/%d", w.id, now.UnixNano())))
	info := structs.Job{ID: bareID("", key), DataCentre: t.dc, Accelerators: 1, RunTime: probeRunTime, SubmittedAt: now}
	j := newJob(key, info, fromProbe, now)
	j.probes = w.id
	j.placement = placement.Placement{Job: key, Members: []placement.Member{{Worker: w.id, Accelerators: []int{index}}}}
	t.jobs[key] = j
	t.book(j)
	j.setState(structs.JobStarting, now)
	t.active[key] = true
}

// freeAccelerator finds an accelerator that no known job uses.
func (t *term) freeAccelerator(w *worker) (int, bool) {
	busy := map[int]bool{}
	for key := range w.jobs {
		for _, m := range t.jobs[key].placement.Members {
			for _, index := range m.Accelerators {
				busy[index] = busy[index] || m.Worker == w.id
			}
		}
	}
	for index := range w.accelerators {
		if !busy[index] {
			return index, true
		}
	}
	return 0, false
}

// checkWorkers reports workers that stay out of reach and moves their jobs on.
func (t *term) checkWorkers(now time.Time) {
	for id, w := range t.workers {
		if w.gone && !w.reachable && len(w.jobs) == 0 {
			delete(t.workers, id)
			continue
		}
		if w.reachable || w.reported || now.Sub(w.lostAt) < t.config.Timing.TaskLease/2 {
			continue
		}
		w.reported = true
		t.markJobs(w)
		t.config.Log.Emit(eventWorkerLost, event.F("worker", w.id), event.F("jobs", len(w.jobs)), event.F("holder", w.holder))
	}
}
