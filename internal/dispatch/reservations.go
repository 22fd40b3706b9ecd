package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Limits of reservations. They answer days on which small tasks fill every gap, so that large gangs never find a rack.
const (
	reserveShare = 0.3              // most of a service's accelerators kept free for work that does not fit yet
	reserveLimit = 10 * time.Second // age at which a reservation is chosen anew; longer than nearly all tasks run
)

// reserve keeps workers free for a unit that does not fit yet, so that smaller work does not keep it out for ever. It picks
// the workers, in one rack for a gang that needs one, that are expected to be free first. They are kept from pass to pass until the
// unit starts, since workers that are chosen anew each time never drain.
func (p *plan) reserve(pl *pool, u *unit) {
	if u.index >= 0 && 2*u.step.room().Accelerators <= pl.workers[0].info.Capacity.Accelerators {
		return // small tasks find room without help
	}
	if len(u.held) > 0 {
		return
	}
	var best []*worker
	bestBusy := time.Duration(1 << 62)
	for _, set := range p.candidateSets(pl, u) {
		chosen, busy := p.soonest(set, u)
		if chosen != nil && busy < bestBusy {
			best, bestBusy = chosen, busy
		}
	}
	if best != nil && p.hold(pl, u, best) {
		u.held, u.heldAt = best, p.now
		p.s.c.Events.Emit(eventReserved, event.F("job", u.job().spec.ID), event.F("unit", u.name().Key()), event.F("workers", len(best)), event.F("rack", best[0].info.Rack), event.F("free_in_ms", bestBusy.Milliseconds()))
	}
}

// hold keeps workers free for a unit and reports whether the budget for it suffices.
func (p *plan) hold(pl *pool, u *unit, workers []*worker) bool {
	kept := int64(0)
	for _, w := range workers {
		kept += w.info.Capacity.Accelerators
	}
	if pl.reserved+kept > int64(reserveShare*float64(pl.total)) {
		return false
	}
	pl.reserved += kept
	for _, w := range workers {
		p.blocked[w] = u.step
	}
	return true
}

// keepReservations holds again what earlier passes reserved, in the order of waiting work. A reservation ends when one of its
// workers can no longer be used or is held for another, when the budget shrinks, and after reserveLimit.
func (p *plan) keepReservations(ranks []rank) {
	for _, r := range ranks {
		pl := p.pools[r.step.occurrence.job.terms.Service]
		for _, u := range r.step.units {
			if len(u.held) == 0 || u.state != waiting {
				continue
			}
			usable := func(w *worker) bool { return w.usable(p.now) && p.allowed(w, u) }
			if pl == nil || p.now.Sub(u.heldAt) > reserveLimit || !all(u.held, usable) || !p.hold(pl, u, u.held) {
				u.held = nil
			}
		}
	}
}

func all(workers []*worker, holds func(*worker) bool) bool {
	return !slices.ContainsFunc(workers, func(w *worker) bool { return !holds(w) })
}

// candidateSets returns the groups of workers in which a unit may be placed whole.
func (p *plan) candidateSets(pl *pool, u *unit) [][]*worker {
	spec := u.step.spec
	if spec.DataRack != "" && len(pl.racks[spec.DataRack]) > 0 {
		return [][]*worker{pl.racks[spec.DataRack]}
	}
	if u.index < 0 && spec.SameRack && p.possibleInOneRack(pl, u) {
		var sets [][]*worker
		for _, name := range sortedKeys(pl.racks) {
			sets = append(sets, pl.racks[name])
		}
		return sets
	}
	return [][]*worker{pl.workers}
}

// soonest returns the workers of a set that are expected to have room for the unit first, and when the last of them has.
func (p *plan) soonest(set []*worker, u *unit) ([]*worker, time.Duration) {
	room, need := u.step.room(), u.size()
	type seat struct {
		w    *worker
		n    int
		busy time.Duration
	}
	var seats []seat
	for _, w := range set {
		if !p.allowed(w, u) {
			continue
		}
		n := room.Count(whole(w))
		if limit := u.step.spec.MaxPerWorker; limit > 0 {
			n = min(n, limit)
		}
		if n == 0 {
			continue
		}
		busy := time.Duration(0)
		for _, m := range w.members {
			busy = max(busy, p.s.expectedLeft(m))
		}
		seats = append(seats, seat{w, n, busy})
	}
	slices.SortStableFunc(seats, func(a, b seat) int { return cmp.Compare(a.busy, b.busy) })
	var chosen []*worker
	for _, st := range seats {
		chosen = append(chosen, st.w)
		need -= st.n
		if need <= 0 {
			return chosen, st.busy
		}
	}
	return nil, 0
}
