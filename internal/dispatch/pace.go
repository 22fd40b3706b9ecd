package dispatch

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Limits of the pace of leftover work. They answer deployments on which work that uses what others leave disturbs tasks with
// a latency target.
const (
	fullPace    = 100
	paceStep    = 20                     // by which the pace rises at a look that shows the targets kept
	paceSafe    = 0.7                    // of the target: below it the pace may rise
	paceTimeout = 700 * time.Millisecond // for a worker's answer; the next look repeats an order without one
	mixedWait   = 300 * time.Millisecond // length of a look at a worker with both kinds of work
)

// mixed reports whether the worker has both tasks with a target and leftover work.
func (w *worker) mixed() bool {
	serves, fills := w.sharing()
	return serves && fills
}

// sharing reports whether the worker has tasks with a latency target, and leftover work.
func (w *worker) sharing() (serves, fills bool) {
	for _, m := range w.members {
		serves = serves || m.unit.step.spec.TargetLatency > 0
		fills = fills || m.unit.step.spec.UsesSpareCPU
	}
	return serves, fills
}

// disturbs reports whether a task of the step would disturb, or be disturbed by, what runs on the worker.
func (w *worker) disturbs(spec *workload.Step) bool {
	if spec.TargetLatency == 0 && !spec.UsesSpareCPU {
		return false
	}
	serves, fills := w.sharing()
	return spec.UsesSpareCPU && serves || spec.TargetLatency > 0 && fills
}

// steerPace slows leftover work on a worker at once when a task there misses its target, and speeds it up step by step.
func (s *Scheduler) steerPace(w *worker) {
	if !w.mixed() {
		return
	}
	worst := 0.0
	for _, m := range w.members {
		if target := m.unit.step.spec.TargetLatency; target > 0 && m.state == running {
			worst = max(worst, float64(m.gauge)/float64(target.Milliseconds()))
		}
	}
	for _, m := range w.members {
		if !m.unit.step.spec.UsesSpareCPU || m.state != running {
			continue
		}
		pace := m.pace
		switch {
		case worst >= 1:
			pace = 0
		case worst < paceSafe:
			pace = min(pace+paceStep, fullPace)
		}
		if pace != m.pace {
			m.pace = pace
			s.c.Events.Emit(eventPaced, event.F("worker", w.info.ID), event.F("task", m.name()), event.F("percent", pace), event.F("worst_share_of_target", worst))
			go s.sendPace(m, PaceOrder{Task: m.name(), Run: m.run, Percent: pace, Token: s.c.Token}, w.target())
		}
	}
}

// sendPace sends an order. Without an answer the pace counts as unknown, so that the next look decides anew.
func (s *Scheduler) sendPace(m *member, o PaceOrder, to Target) {
	if !s.c.Term.Authority() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, paceTimeout)
	defer cancel()
	err := s.c.Fleet.Pace(ctx, to, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.meters.order("pace", "taken")
		return
	}
	s.meters.order("pace", "unanswered")
	if m.pace == o.Percent {
		m.pace = paceUnknown
	}
}

// paceUnknown is the pace after an order without an answer.
const paceUnknown = -1
