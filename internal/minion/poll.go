package minion

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
)

// settleTime is the longest time that an abandoned request may take to appear in the minion's count of busy slots: it
// may still be in network buffers, or received but not yet started. A status requested earlier may not count it.
const settleTime = 250 * time.Millisecond

// ticksPerFreezeThreshold is the number of pause checks within one freeze threshold.
const ticksPerFreezeThreshold = 20

// watchPauses checks regularly whether this process was suspended.
func (p *Pool) watchPauses(ctx context.Context) {
	ticker := time.NewTicker(p.cfg.FreezeThreshold / ticksPerFreezeThreshold)
	defer ticker.Stop()
	p.checkPause(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.checkPause(time.Now())
		}
	}
}

// checkPause compares the time with that of the previous check. After a pause longer than the freeze threshold, every
// minion must be claimed again, because another instance may have taken it over meanwhile.
func (p *Pool) checkPause(now time.Time) {
	p.mu.Lock()
	paused := !p.lastPauseCheck.IsZero() && now.Sub(p.lastPauseCheck) > p.cfg.FreezeThreshold
	if paused {
		for _, m := range p.members {
			p.reclaimLocked(m)
		}
	}
	gap := now.Sub(p.lastPauseCheck)
	p.lastPauseCheck = now
	p.mu.Unlock()
	if paused {
		p.pauses.Inc(1)
		p.cfg.Events.Emit(eventPaused, event.F("pause", gap))
		p.wakeClaims()
	}
}

// statusLoop requests the status of an owned minion regularly until ctx ends.
func (p *Pool) statusLoop(ctx context.Context, m *member) {
	defer m.closeConnections()
	for {
		p.pollStatus(ctx, m)
		timer := time.NewTimer(p.statusDelay(m))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-m.statusNow:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// statusDelay returns the time until the next status request. It comes early when orphans can be counted soon, because
// that may free slots.
func (p *Pool) statusDelay(m *member) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if left := time.Until(m.settledAt); m.orphans > 0 && left > 0 {
		return min(left, p.cfg.StatusInterval)
	}
	return p.cfg.StatusInterval
}

func (p *Pool) pollStatus(ctx context.Context, m *member) {
	requestedAt := time.Now()
	slotsTaken, idle := p.loadBeforeStatus(m)
	callCtx, cancel := context.WithTimeout(ctx, statusMaxAge/2)
	defer cancel()
	status, err := platform.StatusOfMinion(callCtx, m.statusClient, m.address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.handleStatusError(m, err)
		return
	}
	p.handleStatus(m, status, requestedAt, idle, slotsTaken)
}

// loadBeforeStatus returns how many slots this instance has ever taken, and whether none is in use now.
func (p *Pool) loadBeforeStatus(m *member) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return m.slotsTaken, m.inFlight == 0
}

// handleStatusError marks the minion as unhealthy if its process is gone. After other failures the minion stays in use
// until its latest status is too old.
func (p *Pool) handleStatusError(m *member, err error) {
	p.mu.Lock()
	m.statusFailed = true
	if connectionRefused(err) {
		m.orphans = 0 // the requests ended with the process
	}
	p.mu.Unlock()
	if !connectionRefused(err) {
		return
	}
	p.markUnhealthy(m, err)
}

// handleStatus updates the minion from a status. idle and slotsTaken are the load before the status was requested.
func (p *Pool) handleStatus(m *member, status platform.MinionStatus, requestedAt time.Time, idle bool, slotsTaken uint64) {
	p.mu.Lock()
	if m.phase != phaseOwned {
		p.mu.Unlock()
		return
	}
	recovered := !m.healthy
	startedLeaving := status.Leaving && !m.leaving()
	m.healthy = true
	m.refusing = false
	m.statusAt = requestedAt
	m.reportedLeaving = status.Leaving
	m.reportedSlots = status.Slots
	m.recordDelay(time.Now(), requestedAt)
	if !requestedAt.Before(m.settledAt) {
		m.countOrphans(status.SlotsBusy, idle && m.slotsTaken == slotsTaken)
	}
	free := p.reindexLocked(m)
	p.mu.Unlock()
	p.emitStatus(m, recovered, startedLeaving)
	if free {
		p.onFree(m.service)
	}
}

func (p *Pool) emitStatus(m *member, recovered, startedLeaving bool) {
	if recovered {
		p.cfg.Events.Emit(eventHealthy, event.F("minion", m.id))
	}
	if startedLeaving {
		p.cfg.Events.Emit(eventLeaving, event.F("minion", m.id), event.F("source", "minion"))
	}
}

// recordDelay starts a new settle time after a status that failed or came late, because the minion may only now start
// requests that it received meanwhile. A late status directly after another late one starts none, so
// that the orphans of a minion that is always late can still be counted.
func (m *member) recordDelay(now, requestedAt time.Time) {
	slow := now.Sub(requestedAt) > settleTime
	if m.statusFailed || (slow && !m.statusLate) {
		m.settledAt = now.Add(settleTime)
	}
	m.statusFailed = false
	m.statusLate = slow
}

// countOrphans updates the number of orphans from the minion's count of busy slots. That count includes this instance's
// own requests, so the result is exact only if none was in flight while the status was read. Otherwise the count is
// only an upper bound, and if it leaves orphans, the minion gets no requests until an exact count is possible.
func (m *member) countOrphans(busy int, exact bool) {
	if exact {
		m.orphans = max(0, busy-m.foreignRequests())
		m.awaitingCount = false
		return
	}
	m.orphans = min(m.orphans, busy)
	m.awaitingCount = m.orphans > 0
	if m.awaitingCount && m.inFlight == 0 {
		m.requestStatus()
	}
}
