package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Limits of orders to workers.
const (
	startTimeout   = 350 * time.Millisecond // a healthy worker answers within a few milliseconds
	startAttempts  = 3                      // attempts before a start is withdrawn; well within the time that a gang waits
	stopTimeout    = 500 * time.Millisecond
	stopRetryPause = 150 * time.Millisecond // pause between attempts to stop a run
	leaseSlack     = 500 * time.Millisecond // added to a lease for the delay of the order and for rounding
	// maxPermanentLease limits the leases on workers with permanent tasks. The platform expects such a task to be at work again 9 s
	// after its worker was lost, and until its lease has expired it must not start elsewhere.
	maxPermanentLease  = 7 * time.Second
	clockDriftFactor   = 1.03  // a worker's clock may be 2 % slow; 1 % is reserve
	slowestClockFactor = 1.021 // how much longer than its length a lease lasts by a clock that is 2 % slow
	// minRepeatTimeout is the least time for an answer with which a start order is repeated; a healthy worker answers within a few milliseconds.
	minRepeatTimeout = 100 * time.Millisecond
)

// startOrderFor returns the order that starts a member, and grants its lease.
func (s *Scheduler) startOrderFor(m *member) StartOrder {
	now := time.Now()
	m.leaseClock = m.worker.clockProcess
	return StartOrder{
		Task: m.taskName(), Run: m.run, Spec: m.unit.job().spec.Spec, LeaseEnd: min(s.grantLease(m.worker, now), s.latestStart(m.worker, now)),
		Token: s.config.Token, Checkpoint: m.unit.checkpoint, Ticket: m.unit.step.advice.tickets[m.worker.info.ID].text,
	}
}

// grantLease returns the end of a lease that begins now, on the worker's clock. It also updates when the worker's leases
// have certainly expired. The lease ends no later than the next leader reckons with.
func (s *Scheduler) grantLease(w *worker, now time.Time) int64 {
	lease := max(min(s.leaseOn(w), s.config.Bounds.Lease+s.config.Term.LeaseAuthority()), 0)
	end := now.Add(expiryOf(lease))
	if end.After(w.leasesOverAt) {
		w.leasesOverAt = end
	}
	return w.clockAt(now) + lease.Milliseconds()
}

// noteUnheardProcess reckons with an order that may reach a process of the worker that has not been heard, until its sender gives up at
// the given time. The end of its lease lies far ahead on the clock of such a process, which therefore shortens the lease to the longest one,
// counted from when the order arrives.
func (s *Scheduler) noteUnheardProcess(w *worker, givenUpAt time.Time) {
	if over := givenUpAt.Add(expiryOf(s.config.Bounds.Lease)); over.After(w.unheardLeasesOverAt) {
		w.unheardLeasesOverAt = over
	}
}

// noteClock notes the clock of the process that has reported. Before it was heard, orders may have given it leases by the clock of another one.
func (w *worker) noteClock(r HeartbeatReport) {
	if r.ProcessStart != w.clockProcess && w.unheardLeasesOverAt.After(w.leasesOverAt) {
		w.leasesOverAt = w.unheardLeasesOverAt
	}
	w.clockProcess, w.workerClock = r.ProcessStart, r.Clock
}

// clockAt returns the worker's clock at a time, in milliseconds, or a little less.
func (w *worker) clockAt(now time.Time) int64 {
	return w.workerClock + now.Sub(w.lastAnswerAt).Milliseconds()
}

// leaseOn returns the length of the leases on a worker.
func (s *Scheduler) leaseOn(w *worker) time.Duration {
	for _, m := range w.members {
		if m.unit.step.spec.Permanent {
			return min(s.config.Bounds.Lease, maxPermanentLease)
		}
	}
	return s.config.Bounds.Lease
}

// expiryOf returns the time after which a lease that was granted now has certainly expired.
func expiryOf(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockDriftFactor) + leaseSlack
}

// startMember sends a start order and handles the answer.
func (s *Scheduler) startMember(m *member, target Target, o StartOrder) {
	err := s.sendStart(m, target, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.startSettledAt = time.Now()
	if m.state == ended {
		return
	}
	if errors.Is(err, errStartNotSent) {
		m.noteCause(causeStartNotSent)
		s.endMember(m, EndLost, "")
		return
	}
	if err == nil {
		s.metrics.orderAnswered("start", "taken")
		m.startAnsweredAt = time.Now()
		m.startTimed = !m.startRepeated && s.onTime(m.startAnsweredAt)
		s.markRunning(m)
		return
	}
	reason := refusalOf(err)
	if reason == "" && m.state == running {
		s.metrics.orderAnswered("start", "reported")
		return // the worker has reported the run, so only the answers were lost
	}
	if reason == "" {
		s.metrics.orderAnswered("start", "unanswered")
		s.config.Events.Emit(eventStartUnanswered, event.F("task", o.Task), event.F("run", o.Run), event.F("worker", m.worker.info.ID), event.F("born", m.processStart), event.F("cause", err))
		s.stopMember(m, causeStartUnsure)
		return
	}
	s.metrics.orderAnswered("start", string(reason))
	s.config.Events.Emit(eventOrderRefused, event.F("order", "start"), event.F("task", o.Task), event.F("run", o.Run), event.F("worker", m.worker.info.ID), event.F("reason", reason))
	m.cause = causeStartRefused
	if reason != RefusedTicket {
		m.unit.avoidWorker(m.worker)
	}
	switch reason {
	case RefusedFenced:
		s.config.Term.Lose(fmt.Errorf("worker %s has seen a later term", m.worker.info.ID))
	case RefusedWrongProcess:
		m.worker.responsive = false
	case RefusedTicket:
		m.unit.step.advice.dropTicket(m.worker, o.Ticket)
	}
	s.endMember(m, EndLost, "")
}

// sendStart sends a start order until it is answered, at most startAttempts times, and returns errStartNotSent if it sent none. A worker
// runs a repeated order only once, even if an earlier copy arrives later. If a repeated order is refused, an earlier copy may have been
// accepted, so the outcome stays unknown.
func (s *Scheduler) sendStart(m *member, target Target, o StartOrder) error {
	unanswered := errStartNotSent
	for attempt := range startAttempts {
		timeout := s.startTimeout()
		if (attempt > 0 || m.unrecorded) && timeout < minRepeatTimeout {
			return unanswered
		}
		givenUpAt := time.Now().Add(max(timeout, minRepeatTimeout)) // counts from before the check, so that a pause after it counts
		ctx, cancel := context.WithDeadline(s.ctx, givenUpAt)
		if !s.mayOrderStart(m, attempt > 0, givenUpAt) {
			cancel()
			return unanswered
		}
		if attempt > 0 {
			s.metrics.orderAnswered("start", "repeated")
		}
		sent := time.Now()
		err := panicAsError(func() error {
			_, err := s.config.Fleet.Start(ctx, target, o)
			return err
		})
		cancel()
		reason := refusalOf(err)
		s.noteStartAnswer(time.Since(sent), err == nil || reason != "")
		switch {
		case err == nil, reason == RefusedFenced, reason != "" && attempt == 0:
			return err
		case reason != "":
			return unanswered
		}
		unanswered = err
	}
	return unanswered
}

// startTimeout returns the limit for the answer to a start order. It ends before a process that has not been heard could be given a lease
// that outlasts what the next leader reckons with.
func (s *Scheduler) startTimeout() time.Duration {
	lease := s.config.Bounds.Lease
	reserve := expiryOf(lease) - time.Duration(float64(lease)*slowestClockFactor)
	return min(startTimeout, s.config.Term.LeaseAuthority()+reserve)
}

// mayOrderStart reports whether a member's start is wanted and permitted, and a repeated one still unanswered. An order that is sent then is
// given up at the given time.
func (s *Scheduler) mayOrderStart(m *member, repeated bool, givenUpAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.stopWanted || repeated && m.state != starting || s.ctx.Err() != nil || !s.config.Term.Authority() {
		return false
	}
	if m.leaseClock != m.worker.clockProcess {
		return false // its lease would outlast those that the process which was heard meanwhile is known to have
	}
	if s.evacuated(m.worker) || !s.mayStartAt(m.unit.members) || !m.unrecorded && !s.jobsViewValid() {
		return false
	}
	m.startRepeated = repeated
	s.noteUnheardProcess(m.worker, givenUpAt)
	return true
}

// markRunning notes that a member is known to run.
func (s *Scheduler) markRunning(m *member) {
	if m.state == starting {
		m.state = running
		m.runningSince = time.Now()
		m.progressedAt = m.runningSince
	}
	s.recordJobRunning(m.unit.job())
}

// sendStop repeats a stop order until the worker answers it or the run has ended.
func (s *Scheduler) sendStop(m *member) {
	order := StopOrder{Task: m.taskName(), Run: m.run, Token: s.config.Token}
	for s.ctx.Err() == nil {
		s.mu.Lock()
		target := m.worker.target()
		s.mu.Unlock()
		if target.Address == "" || !s.config.Term.Authority() {
			if m.hasEnded(s) {
				return
			}
			wait.For(s.ctx, stopRetryPause)
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
		err := panicAsError(func() error {
			_, err := s.config.Fleet.Stop(ctx, target, order)
			return err
		})
		cancel()
		reason := refusalOf(err)
		s.mu.Lock()
		finished := m.state == ended
		switch {
		case finished:
		case err == nil:
			s.metrics.orderAnswered("stop", "taken")
			m.stopAnsweredAt = time.Now()
			finished = true
		case reason == RefusedFenced:
			s.metrics.orderAnswered("stop", string(reason))
			s.config.Term.Lose(fmt.Errorf("worker %s has seen a later term", m.worker.info.ID))
			finished = true
		default:
			s.metrics.orderAnswered("stop", "unanswered")
		}
		s.mu.Unlock()
		if finished {
			return
		}
		wait.For(s.ctx, stopRetryPause)
	}
}

// hasEnded reports whether the member has ended.
func (m *member) hasEnded(s *Scheduler) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.state == ended
}

// stopStrayRun stops a run that is not planned on the worker.
func (s *Scheduler) stopStrayRun(target Target, key runKey) {
	if !s.config.Term.Authority() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
	defer cancel()
	if _, err := s.config.Fleet.Stop(ctx, target, StopOrder{key.task, key.run, s.config.Token}); err != nil {
		s.metrics.orderAnswered("stop", "unanswered") // the next heartbeat reports the run again
	}
}
