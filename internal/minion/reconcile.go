package minion

import (
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Defaults for a service without bounds in its specification.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

// reconcile updates the pool's members from the view and the specification.
func (p *Pool) reconcile() {
	text := p.cfg.Text()
	if text == nil {
		return
	}
	listed := map[structs.MinionID]bool{}
	for i := range text.Services {
		service := &text.Services[i]
		if service.Minions == nil {
			continue
		}
		slots := slotsPerMinion(service)
		for _, instance := range p.cfg.View.Minions(p.dataCentre, service.Name) {
			listed[structs.MinionID(instance.ID)] = true
			p.updateMember(service.Name, instance, slots)
		}
	}
	p.dropUnlisted(listed)
}

// slotsPerMinion returns the number of slots of one minion that may be used. It is below half the connection limit,
// because two owners may be connected during a change of owner, each with one connection per slot and one for the
// status.
func slotsPerMinion(service *spec.Service) int {
	slots, connections := service.Minions.Slots, service.Minions.Connections
	if slots <= 0 {
		slots = defaultSlots
	}
	if connections <= 0 {
		connections = defaultConnections
	}
	return max(1, min(slots, connections/2-1))
}

// updateMember updates or adds one listed minion.
func (p *Pool) updateMember(service structs.ServiceName, instance platform.Instance, slots int) {
	id := structs.MinionID(instance.ID)
	ownerID := p.cfg.View.Owner(p.dataCentre, ownerKey(id))
	owned := ownerID == p.self
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[id]
	if m != nil && (m.address != instance.Address || m.service != service) {
		p.releaseLocked(m) // another process now has this id; the member is dropped when its requests have ended
		return
	}
	if m == nil {
		if !owned || p.draining || instance.State == platform.StateLeaving {
			return
		}
		m = newMember(id, service, instance.Address, slots)
		p.members[id] = m
	}
	if ownerID != "" {
		p.updateOwnerLocked(m, owned)
	}
	p.updateListedLocked(m, instance.State == platform.StateLeaving, slots)
}

// updateOwnerLocked releases a minion that has another owner, and claims a released one that this instance owns again.
//
// It must not be called for a minion without an owner. That happens when the last instance of a data centre is leaving:
// it can no longer be selected as owner, but must keep its minions to finish its requests.
func (p *Pool) updateOwnerLocked(m *member, owned bool) {
	switch {
	case !owned:
		p.releaseLocked(m)
	case m.phase == phaseReleased && !p.draining:
		m.phase = phaseClaiming
		clear(m.releasedBy)
	}
}

// updateListedLocked updates a minion from the instance list and the specification.
func (p *Pool) updateListedLocked(m *member, leaving bool, slots int) {
	if leaving && !m.leaving() {
		p.cfg.Events.Emit(eventLeaving, event.F("minion", m.id), event.F("source", "list"))
	}
	m.listed = true
	m.listedLeaving = leaving
	m.specSlots = slots
	p.reindexLocked(m)
}

// dropUnlisted releases the minions that are not in listed, and removes released ones whose requests have ended.
func (p *Pool) dropUnlisted(listed map[structs.MinionID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, m := range p.members {
		if !listed[id] {
			m.listed = false
			p.releaseLocked(m)
		}
		if m.phase == phaseReleased && m.inFlight == 0 && len(m.foreignInFlight) == 0 {
			m.closeConnections()
			delete(p.members, id)
		}
	}
}
