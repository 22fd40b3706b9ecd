package dispatch

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Limits for the quarantine of workers that fail, slow down or hang the tasks they start.
const (
	quarantineAfterJobs = 2                // different jobs in a row whose tasks failed, or whose gangs stood still, on the worker
	minQuarantine       = 4 * time.Second  // first pause before a probe
	maxQuarantine       = 16 * time.Second // longest pause before a probe
	maxStall            = 3 * time.Second  // longest time without progress; runs on a worker several times slower than usual stay below it
	gangProbeDelay      = 2 * time.Second  // single tasks probe first, since a probe that fails costs a gang the work of all its members
	probeDuration       = 16 * time.Second // a probe that has run this long counts as successful; permanent tasks never end
)

// health is the scheduler's judgement of a worker.
type health struct {
	failedJobs       map[string]bool // jobs whose tasks failed there since the last run that ended well
	stalledJobs      map[string]bool // jobs whose gangs stood still there and elsewhere since the last run that ended well
	quarantine       time.Duration   // pause before the next probe; 0 if the worker is not quarantined
	quarantinedUntil time.Time       // earliest time of the next probe
}

// usable reports whether the worker may get work now. A quarantined worker gets one probe at a time.
func (w *worker) usable(now time.Time) bool {
	if !w.listed || w.info.Draining || !w.answers(now) || w.describesAnotherProcess() {
		return false
	}
	return w.health.quarantine == 0 || now.After(w.health.quarantinedUntil) && !w.hasProbe()
}

// mayProbe reports whether a unit may probe a quarantined worker that is usable. Gangs may as well: on a service that runs nothing else,
// the quarantine would never end otherwise.
func (w *worker) mayProbe(u *unit, now time.Time) bool {
	if w.hasProbe() {
		return false
	}
	return u.index >= 0 || now.Sub(w.health.quarantinedUntil) > gangProbeDelay
}

// hasProbe reports whether a run that began after the latest pause is on the worker. Runs of before say nothing about its present health.
func (w *worker) hasProbe() bool {
	for _, m := range w.members {
		if w.isProbe(m) {
			return true
		}
	}
	return false
}

func (w *worker) isProbe(m *member) bool { return m.unit.startedAt.After(w.health.quarantinedUntil) }

// describesAnotherProcess reports whether the worker's entry in discovery is that of another process than the one that answers. A
// restarted worker may be of another kind, with other labels and resources.
func (w *worker) describesAnotherProcess() bool {
	return w.info.ProcessStart != 0 && w.processStart != 0 && w.info.ProcessStart != w.processStart
}

// updateHealth updates the judgement of a worker after a run there has ended.
func (s *Scheduler) updateHealth(m *member, ending Ending) {
	w := m.worker
	switch ending {
	case EndDone:
		for _, other := range m.unit.members { // the members of a gang succeed together
			s.trustWorker(other.worker)
		}
	case EndFailed:
		for id := range m.unit.avoidedWorkers {
			if id != w.info.ID {
				return // it failed elsewhere too, so the job is the cause
			}
		}
		if w.health.failedJobs == nil {
			w.health.failedJobs = map[string]bool{}
		}
		w.health.failedJobs[m.unit.job().spec.ID] = true
		if len(w.health.failedJobs) >= quarantineAfterJobs {
			s.quarantineWorker(w, "tasks of different jobs failed in a row")
		}
	}
}

// trustWorker clears the failures noted for a worker and ends its quarantine.
func (s *Scheduler) trustWorker(w *worker) {
	if w.health.quarantine > 0 {
		s.config.Events.Emit(eventQuarantineEnded, event.F("worker", w.info.ID))
	}
	w.health = health{}
}

// trustAfterLongProbe ends the quarantine of a worker whose probe has run for long enough. Failing workers fail tasks soon after their
// start, and stopStalledRuns stops those that stand still.
func (s *Scheduler) trustAfterLongProbe(w *worker, now time.Time) {
	if w.health.quarantine == 0 || !w.answers(now) {
		return
	}
	for _, m := range w.members {
		if w.isProbe(m) && m.state == running && !m.stopWanted && now.Sub(m.runningSince) > probeDuration {
			s.trustWorker(w)
			return
		}
	}
}

// quarantineWorker keeps work other than probes off a worker until a probe succeeds.
func (s *Scheduler) quarantineWorker(w *worker, reason string) {
	now := time.Now()
	if now.Before(w.health.quarantinedUntil) {
		return
	}
	w.health.quarantine = min(max(2*w.health.quarantine, minQuarantine), maxQuarantine)
	w.health.quarantinedUntil = now.Add(w.health.quarantine)
	s.config.Events.Emit(eventQuarantined, event.F("worker", w.info.ID), event.F("reason", reason), event.F("pause_ms", w.health.quarantine.Milliseconds()))
}

// stopStalledRuns stops runs without progress, so that they start elsewhere.
func (s *Scheduler) stopStalledRuns(w *worker, now time.Time) {
	if !w.answers(now) {
		return
	}
	for _, m := range w.members {
		if m.stalled(s.resumedAt) && m.unit.mayStall(now) {
			s.stopStalledUnit(m.unit)
		}
	}
}

// answers reports whether the worker has answered a heartbeat lately.
func (w *worker) answers(now time.Time) bool {
	return w.responsive && now.Sub(w.lastAnswerAt) <= maxSilence
}

// stalled reports whether the worker's latest reports show no progress of the run for longer than maxStall. Time before resumedAt does
// not count: reports that waited while this process was paused are as old as the pause, but seem to be new.
func (m *member) stalled(resumedAt time.Time) bool {
	if m.state != running || m.stopWanted || m.unit.state != active || m.unit.step.spec.Permanent || m.percent >= 100 || m.progressedAt.IsZero() {
		return false
	}
	since := m.progressedAt
	if m.unit.answersSince.After(since) {
		since = m.unit.answersSince
	}
	if resumedAt.After(since) {
		since = resumedAt
	}
	return m.worker.lastAnswerAt.Sub(since) > maxStall
}

// mayStall reports whether all members of the unit's run are known to run on workers that answer. Otherwise a gang cannot work,
// and nothing is wrong with the workers that do answer.
func (u *unit) mayStall(now time.Time) bool {
	for _, m := range u.members {
		if m.state != running || !m.worker.answers(now) {
			return false
		}
	}
	return true
}

// stopStalledUnit stops a unit whose run makes no progress. A worker of a gang is suspected unless other runs on it go on.
func (s *Scheduler) stopStalledUnit(u *unit) {
	workers := map[*worker]bool{}
	for _, m := range u.members {
		if !m.worker.hasProgress(u) {
			workers[m.worker] = true
		}
	}
	for w := range workers {
		u.avoidWorker(w)
		if len(workers) == 1 || w.noteSuspicion(u.job().spec.ID) {
			s.quarantineWorker(w, "a run makes no progress")
		}
	}
	s.stopUnit(u, causeStalled)
}

// hasProgress reports whether the worker's reports show recent progress of a run of another unit than u.
func (w *worker) hasProgress(u *unit) bool {
	for _, m := range w.members {
		if m.unit != u && m.percent > 0 && w.lastAnswerAt.Sub(m.progressedAt) <= maxStall {
			return true
		}
	}
	return false
}

// noteSuspicion notes that a job's gang made no progress on the worker and some others, and reports whether this has happened
// to enough jobs to quarantine the worker.
func (w *worker) noteSuspicion(job string) bool {
	if w.health.stalledJobs == nil {
		w.health.stalledJobs = map[string]bool{}
	}
	w.health.stalledJobs[job] = true
	return len(w.health.stalledJobs) >= quarantineAfterJobs
}
