package minion

import (
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Defaults for a service whose text gives no bounds.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

// reconcile brings the members into agreement with the view and the specification.
func (p *Pool) reconcile() {
	text := p.cfg.Text()
	if text == nil {
		return
	}
	seen := map[structs.MinionID]bool{}
	for i := range text.Services {
		service := &text.Services[i]
		if service.Minions == nil {
			continue
		}
		slots := slotsOf(service)
		for _, instance := range p.cfg.View.Minions(p.centre, service.Name) {
			seen[structs.MinionID(instance.ID)] = true
			p.follow(service.Name, instance, slots)
		}
	}
	p.dropUnlisted(seen)
}

// slotsOf returns how many slots of one minion may be used. During a change of owner two owners may hold connections,
// one for each slot and one for the status.
func slotsOf(service *spec.Service) int {
	slots, connections := service.Minions.Slots, service.Minions.Connections
	if slots <= 0 {
		slots = defaultSlots
	}
	if connections <= 0 {
		connections = defaultConnections
	}
	return max(1, min(slots, connections/2-1))
}

// follow updates one listed minion.
func (p *Pool) follow(service structs.ServiceName, instance platform.Instance, slots int) {
	id := structs.MinionID(instance.ID)
	ownerID := p.cfg.View.Owner(p.centre, ownerKey(id))
	owner := ownerID == p.self
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[id]
	if m != nil && (m.address != instance.Address || m.service != service) {
		p.releaseLocked(m) // another process has the name; the old one is dropped when its requests have ended
		return
	}
	if m == nil {
		if !owner || p.draining || instance.State == platform.StateLeaving {
			return
		}
		m = newMember(id, service, instance.Address, slots)
		p.members[id] = m
	}
	if ownerID != "" {
		p.followOwnerLocked(m, owner)
	}
	p.followStateLocked(m, instance.State == platform.StateLeaving, slots)
}

// followOwnerLocked is not called while a minion has no owner: the last instance of a data centre takes no part in the
// ownership any more once it is leaving, and finishes its requests at the minions that it has.
func (p *Pool) followOwnerLocked(m *member, owner bool) {
	switch {
	case !owner:
		p.releaseLocked(m)
	case m.phase == phaseReleased && !p.draining:
		m.phase = phaseClaiming
		clear(m.cleared)
	}
}

func (p *Pool) followStateLocked(m *member, leaving bool, slots int) {
	if leaving && !m.leaving() {
		p.cfg.Events.Emit(eventLeaving, event.F("minion", m.id), event.F("source", "list"))
	}
	m.listed = true
	m.listLeave = leaving
	m.slots = slots
	p.reindexLocked(m)
}

// dropUnlisted releases the minions that the list no longer shows, and forgets released ones whose requests have ended.
func (p *Pool) dropUnlisted(seen map[structs.MinionID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, m := range p.members {
		if !seen[id] {
			m.listed = false
			p.releaseLocked(m)
		}
		if m.phase == phaseReleased && m.inFlight == 0 && len(m.foreignBy) == 0 {
			m.closeConnections()
			delete(p.members, id)
		}
	}
}
