package minion

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// phase is the state of this instance's ownership of a minion.
type phase int

const (
	phaseClaiming phase = iota // other instances are being asked to release the minion
	phaseOwned                 // this instance may send it requests
	phaseReleased              // no new requests; those in flight may still run
)

func (p phase) String() string { return [...]string{"claiming", "owned", "released"}[p] }

// member is a minion of the pool. The fields of the first group are immutable, the others are guarded by the pool's
// mutex.
type member struct {
	id           structs.MinionID
	service      structs.ServiceName
	address      string
	transport    *http.Transport // connections for requests
	statusClient *http.Client    // a single connection for status requests
	statusNow    chan struct{}   // triggers an immediate status request

	phase           phase
	releasedBy      map[structs.InstanceID]bool // instances that have released the minion since the claim began
	foreignInFlight map[structs.InstanceID]int  // for each earlier owner, the requests that it still waits for
	orphans         int                         // slots that are or may be busy with requests that nobody waits for
	settledAt       time.Time                   // a status requested after this time counts every orphan that is still running
	statusFailed    bool                        // the latest status request failed
	statusLate      bool                        // the latest status took longer than settleTime
	awaitingCount   bool                        // the minion gets no requests until its orphans can be counted
	inFlight        int                         // slots that this instance has taken
	slotsTaken      uint64                      // slots that this instance has ever taken
	specSlots       int                         // slots that the specification allows for all owners together
	reportedSlots   int                         // slots that the minion reports; 0 before its first status
	listed          bool                        // the instance list shows the minion
	listedLeaving   bool                        // the instance list says that the minion is leaving
	reportedLeaving bool                        // the minion says that it is leaving
	healthy         bool                        // false until the first status, after a refused connection and with an old status
	refusing        bool                        // the minion has refused a request since its latest status
	statusAt        time.Time                   // when the latest successful status was requested
	cancelStatus    context.CancelFunc          // ends the status loop; nil when none runs
	statusLoopDone  chan struct{}               // closed when the latest status loop has ended
	heapIndex       int                         // index in the service's heap; -1 when it is not in the heap
}

func newMember(id structs.MinionID, service structs.ServiceName, address string, slots int) *member {
	return &member{
		id:              id,
		service:         service,
		address:         address,
		transport:       newTransport(slots),
		statusClient:    &http.Client{Transport: newTransport(1)},
		statusNow:       make(chan struct{}, 1),
		releasedBy:      map[structs.InstanceID]bool{},
		foreignInFlight: map[structs.InstanceID]int{},
		specSlots:       slots,
		heapIndex:       -1,
	}
}

// foreignSlots returns the number of slots that are or may be busy with requests that this instance does not wait for.
func (m *member) foreignSlots() int {
	total := m.orphans
	for _, n := range m.foreignInFlight {
		total += n
	}
	return total
}

// usable reports whether the minion may get new requests, provided that its status is recent enough.
func (m *member) usable() bool {
	return m.phase == phaseOwned && m.listed && !m.leaving() && m.healthy && !m.refusing && !m.awaitingCount
}

func (m *member) leaving() bool { return m.listedLeaving || m.reportedLeaving }

func (m *member) hasFreeSlot() bool { return m.usable() && m.inFlight+m.foreignSlots() < m.slotLimit() }

// slotLimit returns the number of slots that all owners together may use.
func (m *member) slotLimit() int {
	if m.reportedSlots > 0 {
		return min(m.specSlots, m.reportedSlots)
	}
	return m.specSlots
}

// foreignRequests returns the number of requests that earlier owners still wait for.
func (m *member) foreignRequests() int { return m.foreignSlots() - m.orphans }

func (m *member) stopStatus() {
	if m.cancelStatus != nil {
		m.cancelStatus()
		m.cancelStatus = nil
	}
}

func (m *member) requestStatus() {
	select {
	case m.statusNow <- struct{}{}:
	default: // an immediate status request is already due
	}
}

func (m *member) closeConnections() {
	m.transport.CloseIdleConnections()
	m.statusClient.CloseIdleConnections()
}

func (m *member) report() Report {
	return Report{ID: m.id, Service: m.service, Address: m.address, Phase: m.phase.String(), Slots: m.slotLimit(),
		InFlight: m.inFlight, Foreign: m.foreignSlots(), Leaving: m.leaving(), Healthy: m.healthy}
}

// reindexLocked updates the member's place in its service's heap of minions with free slots. It must be called after
// each change that affects the place, and reports whether the member has a free slot.
func (p *Pool) reindexLocked(m *member) bool {
	minions := p.available[m.service]
	if minions == nil {
		minions = &minionHeap{}
		p.available[m.service] = minions
	}
	free := m.hasFreeSlot()
	switch {
	case free && m.heapIndex < 0:
		heap.Push(minions, m)
	case free:
		heap.Fix(minions, m.heapIndex)
	case m.heapIndex >= 0:
		heap.Remove(minions, m.heapIndex)
	}
	return free
}

// minionHeap is a min-heap of the minions with free slots, ordered by load.
type minionHeap struct{ members []*member }

func (h *minionHeap) leastLoaded() *member { return h.members[0] }

// Len is part of heap.Interface.
func (h *minionHeap) Len() int { return len(h.members) }

// Less is part of heap.Interface.
func (h *minionHeap) Less(i, j int) bool {
	a, b := h.members[i], h.members[j]
	if a.inFlight != b.inFlight {
		return a.inFlight < b.inFlight
	}
	return a.slotsTaken < b.slotsTaken
}

// Swap is part of heap.Interface.
func (h *minionHeap) Swap(i, j int) {
	h.members[i], h.members[j] = h.members[j], h.members[i]
	h.members[i].heapIndex = i
	h.members[j].heapIndex = j
}

// Push is part of heap.Interface.
func (h *minionHeap) Push(x any) {
	m := x.(*member)
	m.heapIndex = len(h.members)
	h.members = append(h.members, m)
}

// Pop is part of heap.Interface.
func (h *minionHeap) Pop() any {
	last := len(h.members) - 1
	m := h.members[last]
	h.members[last] = nil
	h.members = h.members[:last]
	m.heapIndex = -1
	return m
}
