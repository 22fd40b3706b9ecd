package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// freshness tells whether this process has run without a long pause and has heard from the outside since the last one.
type freshness struct {
	lastTick atomic.Pointer[time.Time]
	stale    atomic.Bool // set at start and after a freeze until the view is refreshed
	dropped  atomic.Bool // the list no longer shows this instance

	resumed time.Time // end of the last pause; Members.mu guards it

	mu       sync.Mutex
	since    time.Time // reads and heartbeats that began later refresh the view
	list     time.Time // start of the last successful read of the list
	listFail time.Time // start of the last failed one
	evicted  time.Time // when a peer last said that it had taken this instance for gone
}

// Fresh implements View. It compares both clocks: the monotonic one stands still while a virtual machine is suspended,
// and the wall clock can be set back.
func (m *Members) Fresh() bool {
	f := &m.fresh
	last := f.lastTick.Load()
	if last == nil || f.stale.Load() || f.dropped.Load() {
		return false
	}
	return pauseSince(*last, m.config.Now()) < m.timing.FreezeThreshold
}

// pauseSince returns the longer of the times by the monotonic and by the wall clock.
func pauseSince(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// noticeFreeze marks the view as stale before it notes that the loop runs again, so that Fresh is never true between.
func (m *Members) noticeFreeze(now time.Time) {
	f := &m.fresh
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
	f.resumed = now
	m.mu.Unlock()
	if paused < m.timing.FreezeThreshold {
		return
	}
	f.mu.Lock()
	f.since = now
	f.mu.Unlock()
	f.stale.Store(true)
	m.config.Events.Emit(eventFrozen, event.F("pause", paused))
	select {
	case m.poll <- struct{}{}:
	default:
	}
}

func (f *freshness) listRead(began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = began
}

func (f *freshness) listFailed(began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listFail = began
}

// evict notes that a peer had taken this instance for gone. It may have taken over its minions, so only the list can
// then tell how things stand.
func (f *freshness) evict(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evicted = now
	f.stale.Store(true)
}

// noticeRefresh ends staleness once the view is as new as it can be: the list has been read, or it is down and every
// instance of the own data centre that may still run has answered without having taken this one for gone.
func (m *Members) noticeRefresh() {
	if !m.fresh.stale.Load() || !m.refreshed() {
		return
	}
	m.config.Events.Emit(eventRefreshed)
}

// refreshed ends staleness if it can.
func (m *Members) refreshed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &m.fresh
	f.mu.Lock()
	defer f.mu.Unlock()
	byList := !f.list.IsZero() && !f.list.Before(f.since) && f.list.After(f.evicted)
	evicted := !f.evicted.IsZero() && !f.list.After(f.evicted)
	byPeers := !evicted && f.listFail.After(f.since) && m.confirmedSince(f.since)
	if byList || byPeers {
		f.stale.Store(false)
	}
	return byList || byPeers
}

// confirmedSince reports whether every instance of the own data centre that is not gone has answered a heartbeat that
// began after since. The instances of other data centres own none of its minions. m.mu is held.
func (m *Members) confirmedSince(since time.Time) bool {
	for _, r := range m.records {
		if r.dc != m.config.DataCentre || r.gone(m.list.evidence) {
			continue
		}
		if !r.confirmed.After(since) {
			return false
		}
	}
	return true
}
