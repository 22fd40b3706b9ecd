package minion

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// phase is how far this instance is with the ownership of a minion.
type phase int

const (
	phaseClaiming phase = iota // asks the other instances
	phaseOwned
	phaseReleased // another instance's; requests in flight may still run
)

func (p phase) String() string { return [...]string{"claiming", "owned", "released"}[p] }

// member is one minion. Its fields are guarded by the pool's mutex, but for the immutable first group.
type member struct {
	id        structs.MinionID
	service   structs.ServiceName
	address   string
	transport *http.Transport // for requests
	status    *http.Client    // for the status, over one connection
	poke      chan struct{}   // asks for a status at once

	phase     phase
	cleared   map[structs.InstanceID]bool // instances that said that they do not use it
	foreignBy map[structs.InstanceID]int  // requests of earlier owners that they still wait for
	orphans   int                         // busy slots whose requests nobody waits for
	settledAt time.Time                   // from then on the minion's status shows all that was sent to it before
	unread    bool                        // the latest status could not be read
	slow      bool                        // the latest status took longer than settle
	measuring bool                        // gets no work until its orphans have been counted
	inFlight  int
	starts    uint64 // slots taken so far
	slots     int    // of the specification, for all owners together
	said      int    // slots that the minion says it has, 0 before its first status
	listed    bool   // the instance list shows it
	listLeave bool   // the instance list says that it is leaving
	saidLeave bool   // the minion says that it is leaving
	healthy   bool
	refusing  bool               // it refused a request since its last status
	statusAt  time.Time          // when its last good status was asked for
	stop      context.CancelFunc // ends its status loop, nil when none runs
	done      chan struct{}      // closed when its latest status loop has ended
	index     int                // in its service's heap, -1 when absent
}

func newMember(id structs.MinionID, service structs.ServiceName, address string, slots int) *member {
	return &member{
		id:        id,
		service:   service,
		address:   address,
		transport: newTransport(slots),
		status:    &http.Client{Transport: newTransport(1)},
		poke:      make(chan struct{}, 1),
		cleared:   map[structs.InstanceID]bool{},
		foreignBy: map[structs.InstanceID]int{},
		slots:     slots,
		index:     -1,
	}
}

// foreign is the number of slots that are or may be busy with requests that are not this instance's.
func (m *member) foreign() int {
	total := m.orphans
	for _, n := range m.foreignBy {
		total += n
	}
	return total
}

// usable reports whether the minion may get new work, apart from the age of its status.
func (m *member) usable() bool {
	return m.phase == phaseOwned && m.listed && !m.leaving() && m.healthy && !m.refusing && !m.measuring
}

func (m *member) leaving() bool { return m.listLeave || m.saidLeave }

func (m *member) hasFreeSlot() bool { return m.usable() && m.inFlight+m.foreign() < m.limit() }

// limit is the number of slots that all owners together may use.
func (m *member) limit() int {
	if m.said > 0 {
		return min(m.slots, m.said)
	}
	return m.slots
}

// foreignWaited is the number of requests that earlier owners still wait for.
func (m *member) foreignWaited() int { return m.foreign() - m.orphans }

func (m *member) stopStatus() {
	if m.stop != nil {
		m.stop()
		m.stop = nil
	}
}

func (m *member) askStatus() {
	select {
	case m.poke <- struct{}{}:
	default: // a request is already pending
	}
}

func (m *member) closeConnections() {
	m.transport.CloseIdleConnections()
	m.status.CloseIdleConnections()
}

func (m *member) report() Report {
	return Report{ID: m.id, Service: m.service, Address: m.address, Phase: m.phase.String(), Slots: m.limit(),
		InFlight: m.inFlight, Foreign: m.foreign(), Leaving: m.leaving(), Healthy: m.healthy}
}

// reindexLocked puts the member at its place among its service's minions with free slots. It returns whether the
// member has a free slot.
func (p *Pool) reindexLocked(m *member) bool {
	ready := p.ready[m.service]
	if ready == nil {
		ready = &readyHeap{}
		p.ready[m.service] = ready
	}
	free := m.hasFreeSlot()
	switch {
	case free && m.index < 0:
		heap.Push(ready, m)
	case free:
		heap.Fix(ready, m.index)
	case m.index >= 0:
		heap.Remove(ready, m.index)
	}
	return free
}

// readyHeap orders the minions with free slots by their load.
type readyHeap struct{ members []*member }

func (h *readyHeap) least() *member { return h.members[0] }

// Len is part of heap.Interface.
func (h *readyHeap) Len() int { return len(h.members) }

// Less is part of heap.Interface.
func (h *readyHeap) Less(i, j int) bool {
	a, b := h.members[i], h.members[j]
	if a.inFlight != b.inFlight {
		return a.inFlight < b.inFlight
	}
	return a.starts < b.starts
}

// Swap is part of heap.Interface.
func (h *readyHeap) Swap(i, j int) {
	h.members[i], h.members[j] = h.members[j], h.members[i]
	h.members[i].index = i
	h.members[j].index = j
}

// Push is part of heap.Interface.
func (h *readyHeap) Push(x any) {
	m := x.(*member)
	m.index = len(h.members)
	h.members = append(h.members, m)
}

// Pop is part of heap.Interface.
func (h *readyHeap) Pop() any {
	last := len(h.members) - 1
	m := h.members[last]
	h.members[last] = nil
	h.members = h.members[:last]
	m.index = -1
	return m
}
