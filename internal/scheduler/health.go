package scheduler

import (
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Rules that tell failing workers from failing jobs. A worker with 8 accelerators can have 8 tasks in progress before the
// first failure is seen, so a streak of 4 failures excludes it within 10 tasks.
const (
	exclusionFailures = 4                      // failures on a worker, without a success in between, that exclude it
	exclusionJobs     = 3                      // different jobs that must be among these failures
	faultyJobWorkers  = 3                      // workers on which a job must fail before the failures are attributed to it
	probesToReadmit   = 2                      // probes in a row that must succeed before a worker is readmitted
	suspicionTime     = time.Minute            // longest time that a worker gets no task after a failure
	probeRunTime      = 200 * time.Millisecond // run time of a probe
	maxProbeInterval  = 10 * time.Minute       // bound on the time between probes, which doubles with each failed one
)

// health is the failure record of a worker.
type health struct {
	failureStreak  int       // failures since the last success, without those of faulty jobs
	suspectUntil   time.Time // latest end of the suspicion
	failuresByJob  map[structs.JobID]int
	nextProbe      time.Time
	probeInterval  time.Duration
	probeRunning   bool
	probeSuccesses int // successful probes in a row
	probeCount     int
}

// handleFailure attributes the failure of an attempt to the job or to its workers, and ends a job that has failed too often.
func (t *term) handleFailure(j *job, now time.Time) {
	for _, m := range j.members {
		if m.phase != platform.TaskFailed {
			continue
		}
		j.lastError = m.message
		t.recordFailureOn(j, t.worker(m.task.Worker), now)
	}
	if j.origin == fromProbe {
		return
	}
	j.failures++
	shift := min(j.failures-1, 10)
	j.notBefore = now.Add(min(initialFailurePause<<shift, maxFailurePause))
	j.avoidUntil = j.notBefore.Add(t.config.ProbeInterval)
	limit := maxAttempts(t.text, j.info.Kind)
	if j.failures < limit || j.origin == fromService {
		return
	}
	message := fmt.Sprintf("failed %d times on %d workers (job_kinds.%s.max_attempts is %d), last: %s",
		j.failures, len(j.failedOn), j.info.Kind, limit, j.lastError)
	j.result = &Result{State: structs.JobFailed, Message: message, Attempts: j.starts, EndedAt: now}
}

// recordFailureOn counts a failure of a job on a worker, for the job and for the worker.
func (t *term) recordFailureOn(j *job, w *worker, now time.Time) {
	if j.origin == fromProbe {
		t.afterProbe(w, false, now)
		return
	}
	j.failedOn[w.id]++
	if !j.faulty && t.failedHealthyWorkers(j) >= faultyJobWorkers {
		t.markFaulty(j)
	}
	if j.faulty || t.excluded[w.id] {
		return
	}
	h := &w.health
	if h.failuresByJob == nil {
		h.failuresByJob = map[structs.JobID]int{}
	}
	h.failureStreak++
	h.failuresByJob[j.key]++
	t.suspect(w, now)
	if h.failureStreak >= exclusionFailures && len(h.failuresByJob) >= exclusionJobs {
		t.exclude(w, now)
	}
}

// suspect keeps further tasks off a worker with failures until its current ones have ended or suspicionTime has passed.
// After that the worker gets one task at a time until one succeeds. Without this rule a failing worker gets new tasks
// while its first ones are still failing: 11 tasks in all were seen where 10 are allowed.
func (t *term) suspect(w *worker, now time.Time) {
	w.health.suspectUntil = now.Add(suspicionTime)
	t.suspects[w.id] = true
}

// clearSuspects lets suspected workers get their next task once their suspicion is over.
func (t *term) clearSuspects(now time.Time) {
	for id := range t.suspects {
		w := t.worker(id)
		if w.health.failureStreak <= 0 || len(w.jobs) == 0 || now.After(w.health.suspectUntil) || t.excluded[id] {
			delete(t.suspects, id)
			t.placementDue = true
		}
	}
}

// suspectFailingWorkers keeps a second task off the workers of a placed job that have had no success since a failure.
func (t *term) suspectFailingWorkers(j *job, now time.Time) {
	for _, m := range j.placement.Members {
		if w := t.worker(m.Worker); w.health.failureStreak > 0 {
			t.suspect(w, now)
		}
	}
}

// failedHealthyWorkers is the number of workers on which the job failed and that are not excluded.
func (t *term) failedHealthyWorkers(j *job) int {
	n := 0
	for id := range j.failedOn {
		if !t.excluded[id] {
			n++
		}
	}
	return n
}

// markFaulty attributes a job's failures to the job and no longer counts them against the workers.
func (t *term) markFaulty(j *job) {
	j.faulty = true
	for id := range j.failedOn {
		h := &t.worker(id).health
		h.failureStreak -= h.failuresByJob[j.key]
		delete(h.failuresByJob, j.key)
	}
	t.config.Log.Emit(eventFailuresAttributed, event.F("job", j.key), event.F("workers", len(j.failedOn)), event.F("last", j.lastError))
}

// exclude takes a worker out of placement and no longer counts the failures on it against the jobs.
func (t *term) exclude(w *worker, now time.Time) {
	t.excluded[w.id] = true
	w.health.probeInterval = t.config.ProbeInterval
	w.health.nextProbe = now.Add(t.config.ProbeInterval)
	for key, n := range w.health.failuresByJob {
		if j := t.jobs[key]; j != nil {
			j.failures = max(0, j.failures-n)
			j.notBefore = now
		}
	}
	t.placementDue = true
	t.cluster.LoseWorker(w.id)
	t.logMissingCells()
	t.config.Log.Emit(eventWorkerExcluded, event.F("worker", w.id), event.F("failures", w.health.failureStreak))
	t.config.Metrics.Gauge("scheduler_excluded_workers").Update(float64(len(t.excluded)))
}

// recordSuccess resets the failures of the workers on which a job has finished.
func (t *term) recordSuccess(j *job) {
	for _, m := range j.members {
		w := t.worker(m.task.Worker)
		if j.origin == fromProbe {
			t.afterProbe(w, true, time.Now())
			continue
		}
		if !t.excluded[w.id] {
			w.health = health{}
		}
	}
}

// afterProbe readmits a worker after enough successful probes. After a failed one it doubles the time to the next.
func (t *term) afterProbe(w *worker, ok bool, now time.Time) {
	h := &w.health
	h.probeRunning = false
	if !ok {
		h.probeSuccesses = 0
		h.probeInterval = min(2*h.probeInterval, maxProbeInterval)
		h.nextProbe = now.Add(h.probeInterval)
		return
	}
	h.probeSuccesses++
	h.nextProbe = now
	if h.probeSuccesses < probesToReadmit {
		return
	}
	delete(t.excluded, w.id)
	w.health = health{}
	t.placementDue = true
	if w.reachable {
		t.cluster.SetWorker(w.placement())
		t.logMissingCells()
	}
	t.config.Log.Emit(eventWorkerReadmitted, event.F("worker", w.id))
	t.config.Metrics.Gauge("scheduler_excluded_workers").Update(float64(len(t.excluded)))
}

// delayNextProbe schedules the next probe after one that was dropped without a result.
func (t *term) delayNextProbe(w *worker) {
	h := &w.health
	if h.probeRunning {
		h.probeRunning = false
		h.nextProbe = time.Now().Add(h.probeInterval)
	}
}

// startDueProbes starts the probes that are due. A probe is a short task without a customer on one free accelerator.
func (t *term) startDueProbes(now time.Time) {
	for id := range t.excluded {
		w := t.worker(id)
		if w.health.probeRunning || !w.reachable || now.Before(w.health.nextProbe) {
			continue
		}
		index, free := t.freeAccelerator(w)
		if free {
			t.startProbe(w, index, now)
		}
	}
}

func (t *term) startProbe(w *worker, index int, now time.Time) {
	w.health.probeRunning = true
	w.health.probeCount++
	key := Key("", structs.JobID(fmt.Sprintf("probe/%s/%d", w.id, now.UnixNano())))
	info := structs.Job{ID: bareID("", key), DataCentre: t.dc, Accelerators: 1, RunTime: probeRunTime, SubmittedAt: now}
	j := newJob(key, info, fromProbe, now)
	j.probedWorker = w.id
	j.placement = placement.Placement{Job: key, Members: []placement.Member{{Worker: w.id, Accelerators: []int{index}}}}
	t.jobs[key] = j
	t.bindWorkers(j)
	j.setState(structs.JobStarting, now)
	t.reconciling[key] = true
}

// freeAccelerator returns the index of an accelerator that no known job uses.
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

// checkWorkers logs the workers that stay out of reach, marks their jobs for reconciliation and removes delisted workers.
func (t *term) checkWorkers(now time.Time) {
	for id, w := range t.workers {
		if w.delisted && !w.reachable && len(w.jobs) == 0 {
			delete(t.workers, id)
			continue
		}
		if w.reachable || w.lossLogged || now.Sub(w.lostAt) < t.config.Timing.TaskLease/2 {
			continue
		}
		w.lossLogged = true
		t.markJobs(w)
		t.config.Log.Emit(eventWorkerLost, event.F("worker", w.id), event.F("jobs", len(w.jobs)), event.F("holder", w.sessionHolder))
	}
}
