package router

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// unseenFor is how long a forwarded request may be missing from what the peer reports: a heartbeat and its way.
const unseenFor = 300 * time.Millisecond

// forwards counts what this instance has sent to each peer for one service.
type forwards struct {
	outstanding map[structs.InstanceID]*sent
	full        map[structs.InstanceID]time.Time // when a peer last refused
	free        map[structs.InstanceID]int       // as reported
	freeAsOf    time.Time
}

func newForwards() forwards {
	return forwards{outstanding: map[structs.InstanceID]*sent{}, full: map[structs.InstanceID]time.Time{}}
}

// sent counts the requests at one peer.
type sent struct {
	running int
	recent  int // sent since begins
	before  int // sent in the period before begins
	begins  time.Time
}

// begin counts a request that is sent now.
func (f *forwards) begin(to structs.InstanceID, now time.Time) {
	s := f.outstanding[to]
	if s == nil {
		s = &sent{begins: now}
		f.outstanding[to] = s
	}
	s.turn(now)
	s.running++
	s.recent++
}

// end counts a request out.
func (f *forwards) end(to structs.InstanceID) {
	s := f.outstanding[to]
	s.running--
	if s.running == 0 {
		delete(f.outstanding, to)
	}
}

// unseen returns how many running requests the peer's report may not contain yet.
func (f *forwards) unseen(to structs.InstanceID, now time.Time) int {
	s := f.outstanding[to]
	if s == nil {
		return 0
	}
	s.turn(now)
	return min(s.running, s.recent+s.before)
}

// turn begins a new period when the present one is over.
func (s *sent) turn(now time.Time) {
	switch age := now.Sub(s.begins); {
	case age >= 2*unseenFor:
		s.before, s.recent, s.begins = 0, 0, now
	case age >= unseenFor:
		s.before, s.recent, s.begins = s.recent, 0, now
	}
}
