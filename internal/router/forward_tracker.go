package router

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// reportDelay is the longest time until a forwarded request shows up in the free slots that the peer reports: one
// heartbeat interval and its transmission.
const reportDelay = 300 * time.Millisecond

// forwardTracker tracks the requests of one service that this instance has forwarded, and the free slots of its peers.
type forwardTracker struct {
	outstanding map[structs.InstanceID]*peerForwards
	refusedAt   map[structs.InstanceID]time.Time // when runAtPeer last returned full for each peer
	freeSlots   map[structs.InstanceID]int       // by peer, as last reported
	freeSlotsAt time.Time                        // when freeSlots was read
}

func newForwardTracker() forwardTracker {
	return forwardTracker{outstanding: map[structs.InstanceID]*peerForwards{}, refusedAt: map[structs.InstanceID]time.Time{}}
}

// peerForwards counts the requests that were forwarded to one peer. Periods are reportDelay long.
type peerForwards struct {
	running        int
	currentPeriod  int // requests sent since periodStart
	previousPeriod int // requests sent in the period before it
	periodStart    time.Time
}

// begin records that a request is sent to a peer now.
func (f *forwardTracker) begin(to structs.InstanceID, now time.Time) {
	p := f.outstanding[to]
	if p == nil {
		p = &peerForwards{periodStart: now}
		f.outstanding[to] = p
	}
	p.advance(now)
	p.running++
	p.currentPeriod++
}

// end records that a forwarded request has ended.
func (f *forwardTracker) end(to structs.InstanceID) {
	p := f.outstanding[to]
	p.running--
	if p.running == 0 {
		delete(f.outstanding, to)
	}
}

// unreported returns how many running requests the peer's last report may not include yet.
func (f *forwardTracker) unreported(to structs.InstanceID, now time.Time) int {
	p := f.outstanding[to]
	if p == nil {
		return 0
	}
	p.advance(now)
	return min(p.running, p.currentPeriod+p.previousPeriod)
}

// advance starts a new period when the current one is over.
func (p *peerForwards) advance(now time.Time) {
	switch age := now.Sub(p.periodStart); {
	case age >= 2*reportDelay:
		p.previousPeriod, p.currentPeriod, p.periodStart = 0, 0, now
	case age >= reportDelay:
		p.previousPeriod, p.currentPeriod, p.periodStart = p.currentPeriod, 0, now
	}
}
