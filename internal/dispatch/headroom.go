package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// headroomShare is the share of a service's scarcest resource that is left free for urgent work. A preemption takes most of a
// second, which is about the whole slack of a small urgent job, so under high load such jobs must find resources that are
// free already.
const headroomShare = 0.2

// headroomHold is how long after the latest urgent work resources are left free for more of it. Urgent customers send several jobs a second
// while they are active; without the limit, other work waited until less than half of the service was in use, however long that took.
const headroomHold = 5 * time.Second

// permanentStartWait is how long a permanent task that was never at work leaves the headroom to urgent work.
const permanentStartWait = 2 * time.Second

// headroomWait is how long other work leaves the headroom to urgent work on a service of which permanent tasks hold half or more.
const headroomWait = 10 * time.Second

// mayUseHeadroom reports whether a unit may run on workers that are kept free for urgent work: if it is urgent, or permanent and not
// just submitted. Permanent tasks that run do not make room for others, so on a fleet that is full of them one that was lost would never
// start again beside idle workers, and other work would wait for ever for less than half of the service to be in use.
func (p *plan) mayUseHeadroom(u *unit) bool {
	waited := time.Duration(0)
	if !u.waitingAt.IsZero() {
		waited = p.now.Sub(u.waitingAt)
	}
	switch {
	case u.urgent():
		return true
	case u.step.spec.Permanent:
		return u.run > 0 || waited > permanentStartWait
	}
	pl := p.pools[u.job().queueSettings.Service]
	return pl != nil && pl.mostlyPermanent() && waited > headroomWait
}

// markHeadroom keeps workers free for urgent work. It picks them rack by rack, beginning with the rack with the most free
// room since urgent gangs often should run in one rack, and workers with the most room first, in the pool's scarcest resource. Workers that
// are reserved do not count, since their room is used as soon as the reserving unit fits. If workers differ in speed, those that urgent work
// can use come first.
func (p *plan) markHeadroom(pl *pool) {
	if pl.mostlyIdle() || p.now.Sub(p.scheduler.urgentArrivedAt) > headroomHold {
		return
	}
	missing := pl.headroomTarget
	if p.scheduler.uneven {
		missing = p.markHeadroomAmong(pl, missing, func(w *worker) bool { return w.boundedTime() <= headroomSlowdown })
	}
	p.markHeadroomAmong(pl, missing, func(w *worker) bool { return !p.scheduler.uneven || w.boundedTime() > headroomSlowdown })
}

// markHeadroomAmong marks workers that match until nothing is missing, and returns what still is.
func (p *plan) markHeadroomAmong(pl *pool, missing int64, match func(*worker) bool) int64 {
	names := sortedKeys(pl.racks)
	freeByRack := map[string]int64{}
	for _, name := range names {
		for _, w := range pl.racks[name] {
			if match(w) {
				freeByRack[name] += pl.scarceCapacity(w.free)
			}
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(freeByRack[b], freeByRack[a]) })
	for _, name := range names {
		workers := slices.Clone(pl.racks[name])
		slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(pl.scarceCapacity(b.free), pl.scarceCapacity(a.free)) })
		for _, w := range workers {
			free := pl.scarceCapacity(w.free)
			if missing <= 0 || free <= 0 {
				break
			}
			if p.keptFor[w] == nil && match(w) {
				p.headroomWorkers[w] = true
				missing -= free
			}
		}
	}
	return missing
}

// chooseFromHeadroom places a gang that fits only on workers kept free for urgent work, if enough room stays free
// elsewhere. The caller then marks the headroom anew.
func (p *plan) chooseFromHeadroom(pl *pool, u *unit) []*worker {
	if u.urgent() || u.index >= 0 || len(p.headroomWorkers) == 0 {
		return nil
	}
	freeAfter := -pl.scarceCapacity(u.step.resources()) * int64(u.size())
	for _, w := range pl.workers {
		freeAfter += max(pl.scarceCapacity(w.free), 0)
	}
	if freeAfter < pl.headroomTarget {
		return nil
	}
	var marked []*worker
	for _, w := range pl.workers {
		if p.headroomWorkers[w] {
			marked = append(marked, w)
			delete(p.headroomWorkers, w)
		}
	}
	chosen := p.chooseWorkers(pl, u)
	for _, w := range marked {
		p.headroomWorkers[w] = chosen == nil
	}
	return chosen
}
