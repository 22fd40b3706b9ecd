package minion

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Slot is the right to run one request at a minion. It is used by one goroutine.
type Slot struct {
	pool   *Pool
	member *member
	orphan bool // the request may still hold the slot at the minion
}

// Minion returns the minion of the slot.
func (s *Slot) Minion() structs.MinionID { return s.member.id }

// Run sends one request and waits for the whole answer, until the call's deadline. ctx is not the caller's: a request
// that has been sent is waited for even when its caller has gone.
func (s *Slot) Run(ctx context.Context, call Call) Result {
	if err := s.pool.maySend(s.member, call.Deadline); err != nil {
		return notRun(err)
	}
	result := send(ctx, s.member.transport, s.member.address, call)
	s.note(result)
	return result
}

// maySend repeats the checks that a freeze of this process since the slot was taken would have made wrong.
func (p *Pool) maySend(m *member, deadline time.Time) error {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !now.Before(deadline):
		return errkind.New(errkind.Deadline, remedyRetry, "deadline passed before the request was sent")
	case now.Sub(p.lastTick) > p.cfg.FreezeThreshold || !p.cfg.View.Fresh():
		return errkind.New(errkind.Unavailable, remedyRetry, "this instance was paused and is refreshing its view")
	case m.phase != phaseOwned || m.leaving() || now.Sub(m.statusAt) > statusMaxAge:
		return errkind.New(errkind.Unavailable, remedyRetry, "minion %s may not be used any more", m.id)
	}
	return nil
}

// note draws conclusions about the minion from the result of a call.
func (s *Slot) note(result Result) {
	switch {
	case connectionRefused(result.Err):
		s.pool.markUnhealthy(s.member, result.Err)
	case errors.Is(result.Err, errRefused):
		s.pool.pauseUntilStatus(s.member)
	case result.Outcome == structs.OutcomeUnknown:
		s.orphan = !errors.Is(result.Err, errIncomplete)
	}
}

// Release gives the slot back.
func (s *Slot) Release() {
	p, m := s.pool, s.member
	p.mu.Lock()
	m.inFlight--
	if s.orphan {
		m.orphans++
		m.settledAt = time.Now().Add(settle)
		m.askStatus()
	}
	if m.inFlight == 0 && m.measuring {
		m.askStatus()
	}
	if m.inFlight == 0 && m.phase == phaseReleased {
		m.closeConnections()
	}
	free := p.reindexLocked(m)
	close(p.idle)
	p.idle = make(chan struct{})
	p.mu.Unlock()
	if free {
		p.onFree(m.service)
	}
}

// markUnhealthy takes a minion out of use until it answers its status again.
func (p *Pool) markUnhealthy(m *member, cause error) {
	p.mu.Lock()
	was := m.healthy
	m.healthy = false
	p.reindexLocked(m)
	p.mu.Unlock()
	if was {
		p.cfg.Events.Emit(eventUnhealthy, event.F("minion", m.id), event.F("cause", cause))
	}
}

// pauseUntilStatus takes a minion that refused a request out of use until its next status, so that a minion that
// refuses everything does not draw all work to itself by always being the least loaded.
func (p *Pool) pauseUntilStatus(m *member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.refusing = true
	p.reindexLocked(m)
}
