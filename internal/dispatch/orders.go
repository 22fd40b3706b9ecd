package dispatch

import (
	"context"
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Timings of orders.
const (
	startTimeout  = 350 * time.Millisecond // a healthy worker answers within a few milliseconds
	startAttempts = 3                      // the same order, before it is withdrawn; well within the time that a gang waits
	stopTimeout   = 500 * time.Millisecond
	stopPause     = 150 * time.Millisecond // between attempts to stop a run
	lapseSlack    = 500 * time.Millisecond // for the way of an order and for rounding
	clockDrift    = 1.03                   // workers' clocks may be 2 % slow; 1 % in reserve
)

// orderFor builds the order that starts a member and notes until when its lease can last.
func (s *Scheduler) orderFor(m *member) StartOrder {
	return StartOrder{
		Task: m.name(), Run: m.run, Spec: m.unit.job().spec.Spec, LeaseEnd: s.lease(m.worker, time.Now()),
		Token: s.c.Token, Checkpoint: m.unit.checkpoint, Ticket: m.unit.step.advice.tickets[m.worker.info.ID],
	}
}

// lease returns the end of a lease that begins now, on the worker's clock, and notes when it has surely ended.
func (s *Scheduler) lease(w *worker, now time.Time) int64 {
	end := now.Add(time.Duration(float64(s.c.Bounds.Lease)*clockDrift) + lapseSlack)
	if end.After(w.lapse) {
		w.lapse = end
	}
	return w.clock + now.Sub(w.contact).Milliseconds() + s.c.Bounds.Lease.Milliseconds()
}

// start sends an order and takes in the answer.
func (s *Scheduler) start(m *member, target Target, o StartOrder) {
	if !s.c.Term.Authority() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endMember(m, EndLost, "") // never sent
		return
	}
	err := s.repeatStart(m, target, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.state == ended {
		return
	}
	if err == nil {
		s.meters.order("start", "taken")
		m.acked = time.Now()
		s.started(m)
		return
	}
	reason := refusalOf(err)
	if reason == "" {
		s.meters.order("start", "unanswered")
		s.c.Events.Emit(eventStartOpen, event.F("task", o.Task), event.F("run", o.Run), event.F("worker", m.worker.info.ID), event.F("cause", err))
		s.stopMember(m, "its start was not answered")
		return
	}
	s.meters.order("start", string(reason))
	s.c.Events.Emit(eventRefused, event.F("order", "start"), event.F("task", o.Task), event.F("run", o.Run), event.F("worker", m.worker.info.ID), event.F("reason", reason))
	m.unit.avoidWorker(m.worker)
	m.reason = "the worker refused the start: " + string(reason)
	switch reason {
	case RefusedFenced:
		s.c.Term.Lose(fmt.Errorf("worker %s has seen a later term", m.worker.info.ID))
	case RefusedWrongProcess:
		m.worker.answered = false
	case RefusedTicket:
		m.unit.step.advice.until = time.Time{}
	}
	s.endMember(m, EndLost, "")
}

// repeatStart sends an order until it is answered, startAttempts times at most. A worker that has the run already, or takes an
// earlier copy up later, runs it once. A refusal of a later copy says nothing of the earlier ones, so it leaves the start open.
func (s *Scheduler) repeatStart(m *member, target Target, o StartOrder) error {
	var open error
	for range startAttempts {
		ctx, cancel := context.WithTimeout(s.ctx, startTimeout)
		_, err := s.c.Fleet.Start(ctx, target, o)
		cancel()
		reason := refusalOf(err)
		switch {
		case err == nil, reason == RefusedFenced, reason != "" && open == nil:
			return err
		case reason != "":
			return open
		}
		open = err
		if !s.stillStarting(m) {
			return open
		}
		s.meters.order("start", "repeated")
	}
	return open
}

// stillStarting reports whether a member's start is open and wanted.
func (s *Scheduler) stillStarting(m *member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.state == starting && !m.stop && s.ctx.Err() == nil && s.c.Term.Authority()
}

// started notes that a member runs.
func (s *Scheduler) started(m *member) {
	if m.state == starting {
		m.state = running
		m.since = time.Now()
		m.advancedAt = m.since
	}
	s.beginJob(m.unit.job())
}

// sendStop repeats the order to end a run until the worker answers it or the run is over.
func (s *Scheduler) sendStop(m *member) {
	order := StopOrder{Task: m.name(), Run: m.run, Token: s.c.Token}
	for s.ctx.Err() == nil {
		s.mu.Lock()
		target := m.worker.target()
		s.mu.Unlock()
		if target.Address == "" || !s.c.Term.Authority() {
			if m.over(s) {
				return
			}
			wait.For(s.ctx, stopPause)
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
		_, err := s.c.Fleet.Stop(ctx, target, order)
		cancel()
		reason := refusalOf(err)
		s.mu.Lock()
		over := m.state == ended
		switch {
		case over:
		case err == nil:
			s.meters.order("stop", "taken")
			m.stopped = time.Now()
			over = true
		case reason == RefusedFenced:
			s.meters.order("stop", string(reason))
			s.c.Term.Lose(fmt.Errorf("worker %s has seen a later term", m.worker.info.ID))
			over = true
		default:
			s.meters.order("stop", "unanswered")
		}
		s.mu.Unlock()
		if over {
			return
		}
		wait.For(s.ctx, stopPause)
	}
}

// over reports whether the run has ended.
func (m *member) over(s *Scheduler) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.state == ended
}

// stopStray ends a run that is not planned on a worker.
func (s *Scheduler) stopStray(target Target, key runKey) {
	if !s.c.Term.Authority() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
	defer cancel()
	if _, err := s.c.Fleet.Stop(ctx, target, StopOrder{key.task, key.run, s.c.Token}); err != nil {
		s.meters.order("stop", "unanswered") // the next look shows the run again
	}
}
