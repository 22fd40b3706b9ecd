package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// preemptionTimeout is how long workers are kept for a unit for which other work was preempted. It covers a stop with its
// checkpoint and the report of the end.
const preemptionTimeout = 2500 * time.Millisecond

// victim is a unit that may be preempted.
type victim struct {
	unit *unit
	cost float64 // accelerator-seconds of work that would be lost
}

// preempt stops less urgent work so that an urgent unit can start, and keeps the resources for the unit. If that does not
// make enough room, it reserves workers.
func (p *plan) preempt(pl *pool, r rank, u *unit) {
	if slices.ContainsFunc(u.preemptedWorkers, p.scheduler.evacuated) {
		u.preemptedWorkers = nil
	}
	if len(u.preemptedWorkers) > 0 && p.now.Sub(u.preemptedAt) < preemptionTimeout {
		p.claimWorkers(u)
		return
	}
	workers, victims, cost := p.bestPreemption(pl, r, u, func(*worker) bool { return true })
	delay := p.scheduler.stopTime() + startOverhead
	if g := p.goal(u.step); g != nil && g.fastestFirst && !allWorkers(workers, func(w *worker) bool { return g.suits(w, delay) }) {
		forSpeed := r
		forSpeed.class = urgent // permanent and other urgent work make room for work within a guarantee, but not for its speed
		suited, itsVictims, itsCost := p.bestPreemption(pl, forSpeed, u, func(w *worker) bool { return g.suits(w, delay) })
		if suited != nil && itsCost-cost <= preemptionGain*p.ownWork(pl, u, g) {
			workers, victims, cost = suited, itsVictims, itsCost
		}
	}
	if workers == nil {
		p.reserve(pl, u)
		return
	}
	p.carryOutPreemption(u, workers, victims, cost)
}

// bestPreemption returns the workers of those that match on which the unit fits after the preemption that loses the least work, the units to
// preempt, and the accelerator-seconds lost.
func (p *plan) bestPreemption(pl *pool, r rank, u *unit, match func(*worker) bool) (best []*worker, bestVictims []*unit, bestCost float64) {
	for _, set := range p.candidateSets(pl, u) {
		workers, victims, cost := p.cheapestPreemption(set, r, u, match)
		if workers != nil && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = workers, victims, cost
		}
	}
	return best, bestVictims, bestCost
}

// carryOutPreemption stops the victims and keeps the workers for the unit.
func (p *plan) carryOutPreemption(u *unit, workers []*worker, victims []*unit, cost float64) {
	for _, v := range victims {
		p.scheduler.stopUnit(v, causePreempted)
	}
	p.scheduler.config.Events.Emit(eventPreempting, event.F("job", u.job().spec.ID), event.F("unit", u.name().Key()), event.F("stopped_units", len(victims)), event.F("lost_accelerator_s", cost))
	u.preemptedWorkers, u.preemptedAt = workers, p.now
	p.claimWorkers(u)
}

// claimWorkers keeps the workers on which work was preempted for a unit free for its step. A single task also claims its
// own resources there, so that the step's other tasks preempt work for themselves.
func (p *plan) claimWorkers(u *unit) {
	for _, w := range u.preemptedWorkers {
		p.keptFor[w], p.preemptedFor[w] = u.step, true
		if u.index >= 0 {
			p.claimed[w] = p.claimed[w].Plus(u.step.resources())
		}
	}
}

// cheapestPreemption returns the workers of a set that match on which the unit fits after the preemption that loses the least work,
// the units to preempt, and the accelerator-seconds lost.
func (p *plan) cheapestPreemption(set []*worker, r rank, u *unit, match func(*worker) bool) ([]*worker, []*unit, float64) {
	resources, need := u.step.resources(), u.size()
	type candidate struct {
		worker  *worker
		tasks   int
		victims []victim
		cost    float64
	}
	var candidates []candidate
	for _, w := range set {
		if !match(w) || !p.allowed(w, u) {
			continue
		}
		workerVictims, n, cost := p.victimsOn(w, r, u, resources, need)
		if n > 0 {
			candidates = append(candidates, candidate{w, n, workerVictims, cost})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(a.cost/float64(a.tasks), b.cost/float64(b.tasks))
	})
	var workers []*worker
	var victims []*unit
	total := 0.0
	for _, c := range candidates {
		if !mayAllStop(victims, c.victims) {
			continue
		}
		workers = append(workers, c.worker)
		for _, v := range c.victims {
			victims = append(victims, v.unit)
		}
		total += c.cost
		need -= c.tasks
		if need <= 0 {
			return workers, victims, total
		}
	}
	return nil, nil, 0
}

// victimsOn returns the units to preempt on a worker so that up to need tasks fit, how many tasks then fit, and the
// accelerator-seconds lost.
func (p *plan) victimsOn(w *worker, r rank, u *unit, resources workload.Resources, need int) ([]victim, int, float64) {
	free := w.free.Minus(p.claimed[w])
	var candidates []victim
	for _, m := range w.members {
		if m.stopWanted || m.unit.state == done {
			free = free.Plus(m.resources) // its resources become free without a preemption
			continue
		}
		if p.mayPreempt(m.unit, r) {
			candidates = append(candidates, victim{m.unit, p.lostWork(m.unit)})
		}
	}
	limit := min(need, u.spreadAllowance(w))
	n := min(resources.Count(free), limit)
	if n == limit {
		return nil, n, 0
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.unit.name().Key(), b.unit.name().Key()))
	})
	var chosen []victim
	cost := 0.0
	for _, v := range candidates {
		if slices.ContainsFunc(chosen, func(c victim) bool { return c.unit == v.unit }) || !mayAllStop(unitsOf(chosen), []victim{v}) {
			continue
		}
		for _, m := range v.unit.members {
			if m.worker == w && m.state != ended {
				free = free.Plus(m.resources)
			}
		}
		chosen = append(chosen, v)
		cost += v.cost
		if n = min(resources.Count(free), limit); n == limit {
			break
		}
	}
	return chosen, n, cost
}

// mayPreempt reports whether a running unit may be preempted for work of rank r. Permanent work never ends by itself, so it makes room
// for work within a guarantee, as far as its customer allows it to be unavailable.
func (p *plan) mayPreempt(v *unit, r rank) bool {
	if v.state != active || v.step.spec.Permanent && r.class != guaranteed {
		return false
	}
	if v.job().queueSettings.Priority > 0 {
		return true
	}
	return r.class == guaranteed && !p.scheduler.withinGuarantee(v.job())
}

// unitsOf returns the units of victims.
func unitsOf(victims []victim) []*unit {
	units := make([]*unit, len(victims))
	for i, v := range victims {
		units[i] = v.unit
	}
	return units
}

// mayAllStop reports whether more units may be stopped beside those chosen before, so that of no permanent step more tasks are unavailable
// than its customer allows.
func mayAllStop(chosen []*unit, more []victim) bool {
	stopping := map[*step]int{}
	for _, u := range append(slices.Clone(chosen), unitsOf(more)...) {
		stopping[u.step] += u.size()
	}
	for st, tasks := range stopping {
		if limit := st.spec.MaxUnavailable; st.spec.Permanent && limit > 0 && st.unavailable()+tasks > limit {
			return false
		}
	}
	return true
}

// unavailable returns the number of tasks of a permanent step that are not at work.
func (s *step) unavailable() int {
	n := 0
	for _, u := range s.units {
		for i := range u.size() {
			if u.state != active || !u.members[i].atWork() {
				n++
			}
		}
	}
	return n
}

// atWork reports whether the member's run is known to be at work and is not being stopped.
func (m *member) atWork() bool {
	return m.state == running && !m.stopWanted && m.percent >= fullyAtWork
}

// fullyAtWork is the progress that a worker reports of a permanent task that is at work.
const fullyAtWork = 100

// lostWork returns the work that is lost if a unit is stopped, in seconds of the scarcest resource.
func (p *plan) lostWork(u *unit) float64 {
	pl := p.pools[u.job().queueSettings.Service]
	loss := 0.0
	for _, m := range u.members {
		lost := pl.scarceLoss(m.lossOf(time.Time{}, p.now))
		if u.step.spec.Checkpoints {
			// Only the work since the last checkpoint, and the time to restore it, is lost.
			lost = min(lost, time.Second*time.Duration(pl.scarceCapacity(m.resources)))
		}
		loss += lost.Seconds() + 0.1
	}
	return loss
}
