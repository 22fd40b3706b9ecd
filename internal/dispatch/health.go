package dispatch

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Limits for the quarantine of workers that fail, slow down or hang the tasks they start.
const (
	quarantineAfterJobs = 2                // different jobs in a row whose tasks failed on the worker and nowhere before
	minQuarantine       = 4 * time.Second  // first pause before a probe
	maxQuarantine       = 16 * time.Second // longest pause before a probe
	maxStall            = 3 * time.Second  // longest time without progress; runs on a worker several times slower than usual stay below it
)

// health is the scheduler's judgement of a worker.
type health struct {
	failedJobs       map[string]bool // jobs whose tasks failed there since the last run that ended well
	quarantine       time.Duration   // pause before the next probe; 0 if the worker is not quarantined
	quarantinedUntil time.Time       // earliest time of the next probe
}

// usable reports whether the worker may get work now. A quarantined worker gets one probe at a time.
func (w *worker) usable(now time.Time) bool {
	if !w.listed || w.info.Draining || !w.responsive || now.Sub(w.lastAnswerAt) > maxSilence {
		return false
	}
	if w.health.quarantine > 0 {
		return now.After(w.health.quarantinedUntil) && len(w.members) == 0
	}
	return true
}

// updateHealth updates the judgement of a worker after a run there has ended.
func (s *Scheduler) updateHealth(m *member, ending Ending) {
	w := m.worker
	switch ending {
	case EndDone:
		if w.health.quarantine > 0 {
			s.config.Events.Emit(eventQuarantineEnded, event.F("worker", w.info.ID))
		}
		w.health = health{}
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
	if !w.responsive || now.Sub(w.lastAnswerAt) > maxSilence {
		return
	}
	for _, m := range w.members {
		if m.state != running || m.stopWanted || m.unit.state != active || m.unit.step.spec.Permanent || m.percent >= 100 {
			continue
		}
		if !m.progressedAt.IsZero() && w.lastAnswerAt.Sub(m.progressedAt) > maxStall {
			m.unit.avoidWorker(w)
			s.quarantineWorker(w, "a run makes no progress")
			s.stopUnit(m.unit, causeStalled)
		}
	}
}
