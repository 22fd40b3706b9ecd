package minion

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Slot is the right to run one request on a minion. It must not be used concurrently.
type Slot struct {
	pool     *Pool
	member   *member
	orphaned bool // the request may still keep the minion busy after Run has returned
}

// Minion returns the minion of the slot.
func (s *Slot) Minion() structs.MinionID { return s.member.id }

// Run sends one request and waits for the whole response until the call's deadline. ctx must not be the context of the
// external caller: the pool waits for a request that was sent even if its caller has gone away.
func (s *Slot) Run(ctx context.Context, call Call) Result {
	if err := s.pool.checkSend(s.member, call.Deadline); err != nil {
		return resultNotRun(err)
	}
	result := send(ctx, s.member.transport, s.member.address, call)
	s.recordResult(result)
	return result
}

// checkSend repeats the checks of Acquire that no longer hold if this process was frozen after the slot was taken.
func (p *Pool) checkSend(m *member, deadline time.Time) error {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !now.Before(deadline):
		return errkind.New(errkind.Deadline, remedyRetry, "deadline passed before the request was sent")
	case now.Sub(p.lastPauseCheck) > p.cfg.FreezeThreshold || !p.cfg.View.Fresh():
		return errkind.New(errkind.Unavailable, remedyRetry, "this instance was paused and is refreshing its view")
	case m.phase != phaseOwned || m.leaving() || now.Sub(m.statusAt) > statusMaxAge:
		return errkind.New(errkind.Unavailable, remedyRetry, "minion %s is not available to this instance any more", m.id)
	}
	return nil
}

// recordResult updates the state of the minion and the slot from the result of a call.
func (s *Slot) recordResult(result Result) {
	switch {
	case connectionRefused(result.Err):
		s.pool.markUnhealthy(s.member, result.Err)
	case errors.Is(result.Err, errRefused):
		s.pool.pauseUntilStatus(s.member)
	case result.Outcome == structs.OutcomeUnknown:
		s.orphaned = !errors.Is(result.Err, errIncomplete)
	}
}

// Release returns the slot to the pool.
func (s *Slot) Release() {
	p, m := s.pool, s.member
	p.mu.Lock()
	m.inFlight--
	if s.orphaned {
		m.orphans++
		m.settledAt = time.Now().Add(settleTime)
		m.requestStatus()
	}
	if m.inFlight == 0 && m.awaitingCount {
		m.requestStatus()
	}
	if m.inFlight == 0 && m.phase == phaseReleased {
		m.closeConnections()
	}
	free := p.reindexLocked(m)
	close(p.requestEnded)
	p.requestEnded = make(chan struct{})
	p.mu.Unlock()
	if free {
		p.onFree(m.service)
	}
}

// markUnhealthy stops new requests to a minion until it answers a status request.
func (p *Pool) markUnhealthy(m *member, cause error) {
	p.mu.Lock()
	wasHealthy := m.healthy
	m.healthy = false
	p.reindexLocked(m)
	p.mu.Unlock()
	if wasHealthy {
		p.cfg.Events.Emit(eventUnhealthy, event.F("minion", m.id), event.F("cause", cause))
	}
}

// pauseUntilStatus stops new requests to a minion that refused one until its next status. Otherwise a minion that
// refuses everything would attract all requests, as it would always be the least loaded.
func (p *Pool) pauseUntilStatus(m *member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.refusing = true
	p.reindexLocked(m)
}
