package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// reservationTime is how long workers are kept for a unit for which room is being reclaimed. It covers a stop with its
// checkpoint and the report of the end.
const reservationTime = 2500 * time.Millisecond

// victim is a unit that may be stopped for more urgent work.
type victim struct {
	unit *unit
	cost float64 // accelerator-seconds of work that would be lost
}

// reclaim stops less urgent work so that an urgent unit can begin, and keeps the room for it.
func (p *plan) reclaim(pl *pool, r rank, u *unit) {
	if len(u.reserved) > 0 && p.now.Sub(u.reservedAt) < reservationTime {
		p.claim(u)
		return
	}
	var best []*worker
	var bestVictims []*unit
	bestCost := 0.0
	for _, set := range p.candidateSets(pl, u) {
		workers, victims, cost := p.cheapest(set, r, u)
		if workers != nil && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = workers, victims, cost
		}
	}
	if best == nil {
		p.reserve(pl, u)
		return
	}
	for _, v := range bestVictims {
		p.s.stopUnit(v, "room for an urgent job")
	}
	p.s.c.Events.Emit(eventReclaiming, event.F("job", u.job().spec.ID), event.F("unit", u.name().Key()), event.F("stopped_units", len(bestVictims)), event.F("lost_accelerator_s", bestCost))
	u.reserved, u.reservedAt = best, p.now
	p.claim(u)
}

// claim keeps a unit's reserved workers for its step, and room for the unit itself if it is a single task, so that the other
// tasks of the step reclaim room of their own.
func (p *plan) claim(u *unit) {
	for _, w := range u.reserved {
		p.blocked[w] = u.step
		if u.index >= 0 {
			p.claimed[w] = p.claimed[w].Plus(u.step.room())
		}
	}
}

// cheapest finds workers of a set on which the unit fits after stopping less urgent work that loses the least.
func (p *plan) cheapest(set []*worker, r rank, u *unit) ([]*worker, []*unit, float64) {
	room, need := u.step.room(), u.size()
	type seat struct {
		w       *worker
		n       int
		victims []victim
		cost    float64
	}
	var seats []seat
	for _, w := range set {
		if !p.allowed(w, u) {
			continue
		}
		seatVictims, n, cost := p.victimsOn(w, r, u, room, need)
		if n > 0 {
			seats = append(seats, seat{w, n, seatVictims, cost})
		}
	}
	slices.SortStableFunc(seats, func(a, b seat) int {
		return cmp.Compare(a.cost/float64(a.n), b.cost/float64(b.n))
	})
	var workers []*worker
	var victims []*unit
	total := 0.0
	for _, st := range seats {
		workers = append(workers, st.w)
		for _, v := range st.victims {
			victims = append(victims, v.unit)
		}
		total += st.cost
		need -= st.n
		if need <= 0 {
			return workers, victims, total
		}
	}
	return nil, nil, 0
}

// victimsOn returns which units on a worker would have to end so that up to need tasks fit, how many then fit, and the cost.
func (p *plan) victimsOn(w *worker, r rank, u *unit, room workload.Resources, need int) ([]victim, int, float64) {
	free := w.free.Minus(p.claimed[w])
	var candidates []victim
	for _, m := range w.members {
		if m.stop || m.unit.state == done {
			free = free.Plus(m.room) // its room comes back without further orders
			continue
		}
		if p.mayStop(m.unit, r) {
			candidates = append(candidates, victim{m.unit, p.lossOf(m.unit)})
		}
	}
	limit := min(need, u.spreadLeft(w))
	n := min(room.Count(free), limit)
	if n == limit {
		return nil, n, 0
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.unit.name().Key(), b.unit.name().Key()))
	})
	var chosen []victim
	cost := 0.0
	for _, v := range candidates {
		if slices.ContainsFunc(chosen, func(c victim) bool { return c.unit == v.unit }) {
			continue
		}
		for _, m := range v.unit.members {
			if m.worker == w && m.state != ended {
				free = free.Plus(m.room)
			}
		}
		chosen = append(chosen, v)
		cost += v.cost
		if n = min(room.Count(free), limit); n == limit {
			break
		}
	}
	return chosen, n, cost
}

// mayStop reports whether a running unit is less urgent than the step that needs room.
func (p *plan) mayStop(v *unit, r rank) bool {
	if v.step.spec.Permanent || v.state != active {
		return false
	}
	if v.job().terms.Priority > 0 {
		return true
	}
	return r.class == guaranteed && !p.s.withinGuarantee(v.job())
}

// lossOf returns the accelerator-seconds that stopping a unit throws away.
func (p *plan) lossOf(u *unit) float64 {
	loss := 0.0
	for _, m := range u.members {
		ran := time.Duration(0)
		if !m.since.IsZero() {
			ran = p.now.Sub(m.since)
		}
		if u.step.spec.Checkpoints {
			ran = min(ran, time.Second) // all but the work since the last checkpoint and the restore is kept
		}
		loss += ran.Seconds()*float64(m.room.Accelerators) + 0.1
	}
	return loss
}
