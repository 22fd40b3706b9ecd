package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// freshness tracks whether this process has run without a long pause, and whether the view has been refreshed since the
// last pause.
type freshness struct {
	lastTick atomic.Pointer[time.Time]
	stale    atomic.Bool // set at start, after a freeze and by markEvicted, until the view is refreshed
	delisted atomic.Bool // the list no longer contains this instance

	// resumedAt is the end of the last pause of at least half the freeze threshold. The silence of other instances is
	// counted from then on. Members.mu guards it.
	resumedAt time.Time

	mu              sync.Mutex
	staleSince      time.Time // end of the last freeze; list reads and heartbeats that began later refresh the view
	lastListRead    time.Time // start of the last successful list read
	lastListFailure time.Time // start of the last failed list read
	evictedAt       time.Time // when a peer last reported that it had regarded this instance as gone
}

// Fresh implements View. It compares both clocks: the monotonic one stands still while a virtual machine is suspended,
// and the wall clock can be set back.
func (m *Members) Fresh() bool {
	f := &m.freshness
	last := f.lastTick.Load()
	if last == nil || f.stale.Load() || f.delisted.Load() {
		return false
	}
	return pauseSince(*last, m.config.Now()) < m.timing.FreezeThreshold
}

// pauseSince returns the time since last by the monotonic or by the wall clock, whichever is longer.
func pauseSince(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// detectFreeze marks the view as stale when the loop has paused for at least the freeze threshold. It does so before it
// updates lastTick, so that Fresh never returns true in between. From half the threshold on it sets resumedAt.
func (m *Members) detectFreeze(now time.Time) {
	f := &m.freshness
	defer f.lastTick.Store(&now)
	last := f.lastTick.Load()
	if last == nil {
		return
	}
	paused := pauseSince(*last, now)
	if paused < m.timing.FreezeThreshold/2 {
		return
	}
	m.mu.Lock()
	f.resumedAt = now
	m.mu.Unlock()
	if paused < m.timing.FreezeThreshold {
		return
	}
	f.mu.Lock()
	f.staleSince = now
	f.mu.Unlock()
	f.stale.Store(true)
	m.config.Events.Emit(eventFrozen, event.F("pause", paused))
	select {
	case m.pollNow <- struct{}{}:
	default:
	}
}

func (f *freshness) recordListRead(began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastListRead = began
}

func (f *freshness) recordListFailure(began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastListFailure = began
}

// markEvicted records that a peer had regarded this instance as gone. The peer may have taken over its minions, so from
// then on only a read of the list can refresh the view.
func (f *freshness) markEvicted(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictedAt = now
	f.stale.Store(true)
}

// checkRefreshed marks the view as fresh again once it is as new as it can be: the list has been read, or the list
// cannot be read and every instance of this data centre that may still run has answered and has not regarded this one
// as gone.
func (m *Members) checkRefreshed() {
	if !m.freshness.stale.Load() || !m.clearStaleIfRefreshed() {
		return
	}
	m.config.Events.Emit(eventRefreshed)
}

// clearStaleIfRefreshed clears the stale mark if the view has been refreshed, and reports whether it has.
func (m *Members) clearStaleIfRefreshed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &m.freshness
	f.mu.Lock()
	defer f.mu.Unlock()
	refreshedByList := !f.lastListRead.IsZero() && !f.lastListRead.Before(f.staleSince) && f.lastListRead.After(f.evictedAt)
	evicted := !f.evictedAt.IsZero() && !f.lastListRead.After(f.evictedAt)
	refreshedByPeers := !evicted && f.lastListFailure.After(f.staleSince) && m.confirmedSince(f.staleSince)
	if refreshedByList || refreshedByPeers {
		f.stale.Store(false)
	}
	return refreshedByList || refreshedByPeers
}

// confirmedSince reports whether every instance of this data centre that is not gone has answered a heartbeat sent
// after since. Instances of other data centres are not asked, because they own no minions of this one. The caller holds
// m.mu.
func (m *Members) confirmedSince(since time.Time) bool {
	for _, r := range m.records {
		if r.dc != m.config.DataCentre || r.gone(m.list.effectiveTime) {
			continue
		}
		if !r.confirmedAt.After(since) {
			return false
		}
	}
	return true
}
