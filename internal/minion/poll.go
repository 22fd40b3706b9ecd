package minion

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
)

// settle is how long a request that nobody waits for any more may be on its way to the minion's count of busy slots: in
// buffers of the network, or received and not yet begun. A status that was asked for earlier may miss it.
const settle = 250 * time.Millisecond

// ticksPerFreeze is how often per freeze threshold the pool checks that this process still runs.
const ticksPerFreeze = 20

// tickLoop notices when this process was paused.
func (p *Pool) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(p.cfg.FreezeThreshold / ticksPerFreeze)
	defer ticker.Stop()
	p.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick(time.Now())
		}
	}
}

// tick makes every minion be claimed again after a pause: another instance may have taken it over meanwhile.
func (p *Pool) tick(now time.Time) {
	p.mu.Lock()
	paused := !p.lastTick.IsZero() && now.Sub(p.lastTick) > p.cfg.FreezeThreshold
	if paused {
		for _, m := range p.members {
			p.reclaimLocked(m)
		}
	}
	gap := now.Sub(p.lastTick)
	p.lastTick = now
	p.mu.Unlock()
	if paused {
		p.pauses.Inc(1)
		p.cfg.Events.Emit(eventPaused, event.F("pause", gap))
		p.wakeClaims()
	}
}

// statusLoop asks an owned minion for its status until ctx ends.
func (p *Pool) statusLoop(ctx context.Context, m *member) {
	defer m.closeConnections()
	for {
		p.pollStatus(ctx, m)
		timer := time.NewTimer(p.nextStatus(m))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-m.poke:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// nextStatus returns the time until the next status, earlier when slots wait for the minion to settle.
func (p *Pool) nextStatus(m *member) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if left := time.Until(m.settledAt); m.orphans > 0 && left > 0 {
		return min(left, p.cfg.StatusInterval)
	}
	return p.cfg.StatusInterval
}

func (p *Pool) pollStatus(ctx context.Context, m *member) {
	asked := time.Now()
	before, quiet := p.beforeStatus(m)
	callCtx, cancel := context.WithTimeout(ctx, statusMaxAge/2)
	defer cancel()
	status, err := platform.StatusOfMinion(callCtx, m.status, m.address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.statusFailed(m, err)
		return
	}
	p.statusRead(m, status, asked, quiet, before)
}

// beforeStatus returns how many slots were taken so far, and whether none is in use.
func (p *Pool) beforeStatus(m *member) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return m.starts, m.inFlight == 0
}

// statusFailed takes the minion out of use when its process has gone. After other failures it is used until its
// last status is too old.
func (p *Pool) statusFailed(m *member, err error) {
	p.mu.Lock()
	m.unread = true
	if connectionRefused(err) {
		m.orphans = 0 // they ended with the process
	}
	p.mu.Unlock()
	if !connectionRefused(err) {
		return
	}
	p.markUnhealthy(m, err)
}

func (p *Pool) statusRead(m *member, status platform.MinionStatus, asked time.Time, quiet bool, starts uint64) {
	p.mu.Lock()
	if m.phase != phaseOwned {
		p.mu.Unlock()
		return
	}
	recovered := !m.healthy
	left := status.Leaving && !m.leaving()
	m.healthy = true
	m.refusing = false
	m.statusAt = asked
	m.saidLeave = status.Leaving
	m.said = status.Slots
	m.noteDelay(time.Now(), asked)
	if !asked.Before(m.settledAt) {
		m.countOrphans(status.SlotsBusy, quiet && m.starts == starts)
	}
	free := p.reindexLocked(m)
	p.mu.Unlock()
	p.emitStatus(m, recovered, left)
	if free {
		p.onFree(m.service)
	}
}

func (p *Pool) emitStatus(m *member, recovered, left bool) {
	if recovered {
		p.cfg.Events.Emit(eventHealthy, event.F("minion", m.id))
	}
	if left {
		p.cfg.Events.Emit(eventLeaving, event.F("minion", m.id), event.F("source", "minion"))
	}
}

// noteDelay lets a minion settle anew after it did not answer, or answered late: what it received meanwhile may begin only
// now. A minion that is always late is believed from the second late status on.
func (m *member) noteDelay(now, asked time.Time) {
	slow := now.Sub(asked) > settle
	if m.unread || (slow && !m.slow) {
		m.settledAt = now.Add(settle)
	}
	m.unread = false
	m.slow = slow
}

// countOrphans updates the number of busy slots whose requests nobody waits for. The minion's count contains this
// instance's own requests, so it is exact only when none was in flight while the status was read. While orphans remain,
// the minion gets no work until such a reading is possible.
func (m *member) countOrphans(busy int, exact bool) {
	if exact {
		m.orphans = max(0, busy-m.foreignWaited())
		m.measuring = false
		return
	}
	m.orphans = min(m.orphans, busy)
	m.measuring = m.orphans > 0
	if m.measuring && m.inFlight == 0 {
		m.askStatus()
	}
}
