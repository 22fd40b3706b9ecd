package dispatch

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Limits for the pace of spare-CPU work, which uses the CPU time that other tasks leave. It can make tasks with a
// latency target too slow.
const (
	fullPace           = 100                    // percent of full speed
	paceStep           = 20                     // increase per report, in percent of full speed
	paceRaiseBelow     = 0.7                    // share of the latency target below which the pace may rise
	paceTimeout        = 700 * time.Millisecond // limit for a worker's answer; without one the next report decides again
	mixedHeartbeatWait = 300 * time.Millisecond // heartbeat wait of a worker with both spare-CPU work and latency targets
)

// hasMixedWork reports whether the worker has both tasks with a latency target and spare-CPU work.
func (w *worker) hasMixedWork() bool {
	latencyBound, spareCPU := w.kindsOfWork()
	return latencyBound && spareCPU
}

// kindsOfWork reports whether the worker has tasks with a latency target, and whether it has spare-CPU work.
func (w *worker) kindsOfWork() (latencyBound, spareCPU bool) {
	for _, m := range w.members {
		latencyBound = latencyBound || m.unit.step.spec.TargetLatency > 0
		spareCPU = spareCPU || m.unit.step.spec.UsesSpareCPU
	}
	return latencyBound, spareCPU
}

// interferesWith reports whether a task of the step would slow down tasks on the worker or be slowed down by them.
func (w *worker) interferesWith(spec *workload.Step) bool {
	if spec.TargetLatency == 0 && !spec.UsesSpareCPU {
		return false
	}
	latencyBound, spareCPU := w.kindsOfWork()
	return spec.UsesSpareCPU && latencyBound || spec.TargetLatency > 0 && spareCPU
}

// adjustPace pauses spare-CPU work on a worker as soon as a task there misses its latency target, and speeds it up step by
// step when all targets are met by enough.
func (s *Scheduler) adjustPace(w *worker) {
	if !w.hasMixedWork() {
		return
	}
	worst := 0.0
	for _, m := range w.members {
		if target := m.unit.step.spec.TargetLatency; target > 0 && m.state == running {
			worst = max(worst, float64(m.latencyOrCPU)/float64(target.Milliseconds()))
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
		case worst < paceRaiseBelow:
			pace = min(pace+paceStep, fullPace)
		}
		if pace != m.pace {
			m.pace = pace
			s.config.Events.Emit(eventPaced, event.F("worker", w.info.ID), event.F("task", m.taskName()), event.F("percent", pace), event.F("worst_share_of_target", worst))
			order, target := PaceOrder{Task: m.taskName(), Run: m.run, Percent: pace, Token: s.config.Token}, w.target()
			go s.protect("pace", func() { s.sendPace(m, order, target) })
		}
	}
}

// sendPace sends a pace order. Without an answer the pace counts as unknown, so the next report decides again.
func (s *Scheduler) sendPace(m *member, o PaceOrder, to Target) {
	if !s.config.Term.Authority() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, paceTimeout)
	defer cancel()
	err := s.config.Fleet.Pace(ctx, to, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.metrics.orderAnswered("pace", "taken")
		return
	}
	s.metrics.orderAnswered("pace", "unanswered")
	if m.pace == o.Percent {
		m.pace = paceUnknown
	}
}

// paceUnknown is a member's pace after an order without an answer.
const paceUnknown = -1
