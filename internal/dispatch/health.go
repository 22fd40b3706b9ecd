package dispatch

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Limits of the judgement on workers. They answer days on which some workers fail, slow down or hang all that they start.
const (
	suspectAfterJobs = 2                // different jobs in a row whose tasks failed on the worker and nowhere before
	suspectFirst     = 4 * time.Second  // pause before the first probe
	suspectMost      = 16 * time.Second // longest pause between probes
	stallAfter       = 3 * time.Second  // without progress that a worker several times slower than usual would show
)

// health is what the scheduler believes of a worker.
type health struct {
	failedJobs map[string]bool // since the last run that ended well
	pause      time.Duration   // before the next probe; zero when the worker is trusted
	until      time.Time       // no work before
}

// usable reports whether the worker may get work now.
func (w *worker) usable(now time.Time) bool {
	if !w.listed || w.info.Draining || !w.answered || now.Sub(w.contact) > unheardAfter {
		return false
	}
	if w.health.pause > 0 {
		return now.After(w.health.until) && len(w.members) == 0
	}
	return true
}

// assess takes in how a run ended on a worker.
func (s *Scheduler) assess(m *member, how Ending) {
	w := m.worker
	switch how {
	case EndDone:
		if w.health.pause > 0 {
			s.c.Events.Emit(eventTrusted, event.F("worker", w.info.ID))
		}
		w.health = health{}
	case EndFailed:
		for id := range m.unit.avoid {
			if id != w.info.ID {
				return // it failed elsewhere too, so the job is the cause
			}
		}
		if w.health.failedJobs == nil {
			w.health.failedJobs = map[string]bool{}
		}
		w.health.failedJobs[m.unit.job().spec.ID] = true
		if len(w.health.failedJobs) >= suspectAfterJobs {
			s.suspect(w, "tasks of different jobs failed in a row")
		}
	}
}

// suspect keeps work off a worker until a probe succeeds.
func (s *Scheduler) suspect(w *worker, reason string) {
	now := time.Now()
	if now.Before(w.health.until) {
		return
	}
	w.health.pause = min(max(2*w.health.pause, suspectFirst), suspectMost)
	w.health.until = now.Add(w.health.pause)
	s.c.Events.Emit(eventSuspected, event.F("worker", w.info.ID), event.F("reason", reason), event.F("pause_ms", w.health.pause.Milliseconds()))
}

// supervise stops runs that make no progress, so that they start elsewhere.
func (s *Scheduler) supervise(w *worker, now time.Time) {
	if !w.answered || now.Sub(w.contact) > unheardAfter {
		return
	}
	for _, m := range w.members {
		if m.state != running || m.stop || m.unit.state != active || m.unit.step.spec.Permanent || m.percent >= 100 {
			continue
		}
		if !m.advancedAt.IsZero() && w.contact.Sub(m.advancedAt) > stallAfter {
			m.unit.avoidWorker(w)
			s.suspect(w, "a run makes no progress")
			s.stopUnit(m.unit, "no progress")
		}
	}
}
