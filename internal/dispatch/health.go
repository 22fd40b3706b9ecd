package dispatch

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Limits for the quarantine of workers that fail, slow down or hang the tasks they start.
const (
	quarantineAfterJobs = 2                // different jobs in a row whose tasks failed, or whose runs stood still, on the worker
	minQuarantine       = 4 * time.Second  // first pause before a probe
	maxQuarantine       = 16 * time.Second // longest pause before a probe
	minStallLimit       = 3 * time.Second  // a shorter time without progress is no stall, so that some reports lie within it
	maxStallLimit       = 24 * time.Hour   // before it doubles; keeps estimates of any size within the range of a duration
	maxStallDoublings   = 10               // most times that the limit of a unit doubles
	// Times one per cent of a run may take longer than expected before it counts as stalled. What its progress or the step's other runs
	// show holds but for workers that slow down; estimates are often several times too short.
	observedStallMargin  = 8
	estimatedStallMargin = 20
	gangProbeDelay       = 2 * time.Second  // single tasks probe first, since a probe that fails costs a gang the work of all its members
	probeDuration        = 16 * time.Second // a probe that has run this long counts as successful; permanent tasks never end
)

// health is the scheduler's judgement of a worker.
type health struct {
	failedJobs       map[string]bool // jobs whose tasks failed there since the last run that ended well
	stalledJobs      map[string]bool // jobs whose runs stood still there, or there and elsewhere, since the last run that ended well
	quarantine       time.Duration   // pause before the next probe; 0 if the worker is not quarantined
	quarantinedUntil time.Time       // earliest time of the next probe
}

// usable reports whether the worker may get work now. A quarantined worker gets one probe at a time.
func (w *worker) usable(now time.Time) bool {
	if !w.takesWork(now) {
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

// trustAfterLongProbe ends the quarantine of a worker whose probe has run for long enough and made progress. Failing workers fail tasks
// soon after their start, and on others nothing makes progress.
func (s *Scheduler) trustAfterLongProbe(w *worker, now time.Time) {
	if w.health.quarantine == 0 || !w.answers(now) {
		return
	}
	for _, m := range w.members {
		if w.isProbe(m) && m.state == running && !m.stopWanted && m.percent > 0 && now.Sub(m.runningSince) > probeDuration {
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
	for _, m := range w.membersWhere(s.stalled) {
		if s.stalled(m) && m.unit.mayStall(now) { // another member of its gang may have been stopped just now
			s.stopStalledUnit(m.unit)
		}
	}
}

// answers reports whether the worker has answered a heartbeat lately and may be granted leases.
func (w *worker) answers(now time.Time) bool {
	return w.responsive && now.Sub(w.lastAnswerAt) <= maxSilence && !w.withheld && !w.mustLapse(now)
}

// stalled reports whether the worker's latest reports show no progress of the run for longer than its stallLimit. Time before resumedAt
// does not count: reports that waited while this process was paused are as old as the pause, but seem to be new.
func (s *Scheduler) stalled(m *member) bool {
	if m.state != running || m.stopWanted || m.unit.state != active || m.unit.step.spec.Permanent || m.percent >= 100 || m.progressedAt.IsZero() {
		return false
	}
	since := m.progressedAt
	if m.unit.answersSince.After(since) {
		since = m.unit.answersSince
	}
	if s.resumedAt.After(since) {
		since = s.resumedAt
	}
	limit, _ := s.stallLimit(m)
	return limit > 0 && m.worker.lastAnswerAt.Sub(since) > limit
}

// stallLimit returns how long the run may show no progress, 0 if nothing tells. The limit follows from the time that one per cent of the
// run takes, and doubles with each run of the unit that was stopped as stalled, since the estimate may be far too short. reliable says
// that it follows from what was observed of this step.
func (s *Scheduler) stallLimit(m *member) (limit time.Duration, reliable bool) {
	st := m.unit.step
	switch {
	case m.rises > 1: // the first rise may be that of a checkpoint
		limit, reliable = observedStallMargin*m.slowestPercent, true
	case st.meanRunTime > 0:
		limit, reliable = observedStallMargin*s.longestRunTime(m)/100, true
	case st.spec.Estimate > 0 || s.runTimes[st.occurrence.job.spec.Queue] != nil:
		limit = s.longestRunTime(m) / 100 * estimatedStallMargin
	default:
		return 0, false
	}
	return min(max(limit, minStallLimit), maxStallLimit) << min(m.unit.stalledRuns, maxStallDoublings), reliable
}

// noteProgress notes a rise of the reported progress.
func (m *member) noteProgress(percent int, now time.Time) {
	if rise := percent - m.percent; rise > 0 && !m.progressedAt.IsZero() {
		m.rises++
		m.slowestPercent = max(m.slowestPercent, now.Sub(m.progressedAt)/time.Duration(rise))
	}
	m.percent, m.progressedAt = percent, now
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

// stopStalledUnit stops a unit whose run makes no progress. Its workers are suspected unless other runs there go on. One is quarantined at
// once if the stall is certain to be its own; otherwise the runs of different jobs have to stall there.
func (s *Scheduler) stopStalledUnit(u *unit) {
	workers, certain := map[*worker]bool{}, true
	for _, m := range u.members {
		if !s.hasProgress(m.worker, u) {
			workers[m.worker] = true
		}
		_, reliable := s.stallLimit(m)
		certain = certain && reliable
	}
	for w := range workers {
		u.avoidWorker(w)
		alone := certain && len(workers) == 1
		if w.noteSuspicion(u.job().spec.ID) || alone {
			s.quarantineWorker(w, "a run makes no progress")
		}
	}
	u.stalledRuns++
	s.stopUnit(u, causeStalled)
}

// hasProgress reports whether the worker's reports show recent progress of a run of another unit than u.
func (s *Scheduler) hasProgress(w *worker, u *unit) bool {
	for _, m := range w.members {
		if m.unit == u || m.stopWanted || m.percent == 0 {
			continue
		}
		if limit, _ := s.stallLimit(m); w.lastAnswerAt.Sub(m.progressedAt) <= limit {
			return true
		}
	}
	return false
}

// noteSuspicion notes that a job's run made no progress on the worker, which may not be its fault, and reports whether this has happened
// to enough jobs to quarantine the worker.
func (w *worker) noteSuspicion(job string) bool {
	if w.health.stalledJobs == nil {
		w.health.stalledJobs = map[string]bool{}
	}
	w.health.stalledJobs[job] = true
	return len(w.health.stalledJobs) >= quarantineAfterJobs
}
