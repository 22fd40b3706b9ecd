package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Limits of reservations. Without reservations, small tasks can fill every gap, so that large gangs never find a rack.
const (
	maxReservedShare  = 0.15             // largest share of a service's accelerators kept free for units that do not fit yet
	maxReservedByOne  = 0.3              // the same if it is for a single unit
	maxReservationAge = 10 * time.Second // age at which a reservation is chosen anew; longer than nearly all tasks run
)

// reserve keeps workers free for a unit that does not fit yet, so that smaller work cannot starve it. It picks the workers
// that are expected to be free first, within one rack for a gang that should run in one. They are kept from pass to pass
// until the unit starts, since workers that are chosen anew in each pass never become free.
func (p *plan) reserve(pl *pool, u *unit) {
	if len(pl.workers) == 0 || u.index >= 0 && 2*pl.scarceCapacity(u.step.resources()) <= pl.scarceCapacity(pl.workers[0].info.Capacity) {
		return // small tasks find room without a reservation
	}
	if len(u.reservedWorkers) > 0 {
		return
	}
	var best []*worker
	bestFreeIn := time.Duration(1 << 62)
	for _, set := range p.candidateSets(pl, u) {
		chosen, freeIn := p.earliestFree(set, u)
		if chosen != nil && freeIn < bestFreeIn {
			best, bestFreeIn = chosen, freeIn
		}
	}
	if best != nil && p.keepFree(pl, u, best) {
		u.reservedWorkers, u.reservedAt = best, p.now
		p.scheduler.config.Events.Emit(eventReserved, event.F("job", u.job().spec.ID), event.F("unit", u.name().Key()), event.F("workers", len(best)), event.F("rack", best[0].info.Rack), event.F("free_in_ms", bestFreeIn.Milliseconds()))
	}
}

// keepFree keeps workers free for a unit, and reports whether the limit on reserved resources allows it.
func (p *plan) keepFree(pl *pool, u *unit, workers []*worker) bool {
	reserved := int64(0)
	for _, w := range workers {
		reserved += pl.scarceCapacity(w.info.Capacity)
	}
	limit := maxReservedShare
	if pl.reserved == 0 {
		limit = maxReservedByOne // else the largest gangs would never fit in a small fleet
	}
	if pl.reserved+reserved > int64(limit*float64(pl.scarceTotal())) {
		return false
	}
	pl.reserved += reserved
	for _, w := range workers {
		p.keptFor[w] = u.step
	}
	return true
}

// keepReservations renews a step's reservations of earlier passes; it is called in the order of waiting work. A reservation ends when one
// of its workers is no longer usable or is kept for other work, when the limit on reserved resources no longer allows it, and after
// maxReservationAge.
func (p *plan) keepReservations(r rank) {
	if r.class >= late && !r.assured {
		return // the step's assured rank came before
	}
	pl := p.pools[r.step.occurrence.job.queueSettings.Service]
	for _, u := range r.step.units {
		if len(u.reservedWorkers) == 0 || u.state != waiting {
			continue
		}
		usable := func(w *worker) bool { return w.usable(p.now) && !p.scheduler.evacuated(w) && p.allowed(w, u) }
		if pl == nil || p.now.Sub(u.reservedAt) > maxReservationAge || !allWorkers(u.reservedWorkers, usable) || !p.keepFree(pl, u, u.reservedWorkers) {
			u.reservedWorkers = nil
		}
	}
}

func allWorkers(workers []*worker, satisfies func(*worker) bool) bool {
	return !slices.ContainsFunc(workers, func(w *worker) bool { return !satisfies(w) })
}

// candidateSets returns the sets of workers within which a unit may be placed as a whole.
func (p *plan) candidateSets(pl *pool, u *unit) [][]*worker {
	spec := u.step.spec
	if spec.DataRack != "" && len(pl.racks[spec.DataRack]) > 0 {
		return [][]*worker{pl.racks[spec.DataRack]}
	}
	if u.index < 0 && spec.SameRack && p.fitsInOneRack(pl, u, capacityOf) {
		var sets [][]*worker
		for _, name := range sortedKeys(pl.racks) {
			sets = append(sets, pl.racks[name])
		}
		return sets
	}
	return [][]*worker{pl.workers}
}

// earliestFree returns the workers of a set that are expected to have room for the unit first, and when the last of them
// has.
func (p *plan) earliestFree(set []*worker, u *unit) ([]*worker, time.Duration) {
	resources, need := u.step.resources(), u.size()
	type candidate struct {
		worker *worker
		tasks  int
		freeIn time.Duration
	}
	var candidates []candidate
	for _, w := range set {
		if !p.allowed(w, u) {
			continue
		}
		n := resources.Count(capacityOf(w))
		if limit := u.step.spec.MaxPerWorker; limit > 0 {
			n = min(n, limit)
		}
		if n == 0 {
			continue
		}
		freeIn := time.Duration(0)
		for _, m := range w.members {
			freeIn = max(freeIn, p.scheduler.expectedRemaining(m, p.now))
		}
		candidates = append(candidates, candidate{w, n, freeIn})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.freeIn, b.freeIn) })
	var chosen []*worker
	for _, c := range candidates {
		chosen = append(chosen, c.worker)
		need -= c.tasks
		if need <= 0 {
			return chosen, c.freeIn
		}
	}
	return nil, 0
}
