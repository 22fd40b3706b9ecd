package dispatch

import (
	"cmp"
	"slices"
)

// headroomShare is the share of a service's accelerators that less urgent work leaves free. A stop takes most of a second, which
// is about the whole slack of a small urgent job, so on days of high load such jobs must find room that is free already.
const headroomShare = 0.2

// keepHeadroom blocks workers for all but urgent work. It picks them rack by rack, from the rack with the most free
// accelerators on, since urgent gangs often need one rack, and whole workers first. What is reserved for other work does not count,
// since it is used up as soon as that fits.
func (p *plan) keepHeadroom(pl *pool) {
	if pl.idle() {
		return
	}
	missing := pl.headroom
	names := sortedKeys(pl.racks)
	freeOf := map[string]int64{}
	for _, name := range names {
		for _, w := range pl.racks[name] {
			freeOf[name] += w.free.Accelerators
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(freeOf[b], freeOf[a]) })
	for _, name := range names {
		workers := slices.Clone(pl.racks[name])
		slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(b.free.Accelerators, a.free.Accelerators) })
		for _, w := range workers {
			if missing <= 0 || w.free.Accelerators <= 0 {
				break
			}
			if p.blocked[w] == nil {
				p.headroom[w] = true
				missing -= w.free.Accelerators
			}
		}
	}
}

// chooseFromHeadroom places a gang that only fits where room is kept for urgent work, if as much is free elsewhere. The
// caller then keeps that.
func (p *plan) chooseFromHeadroom(pl *pool, u *unit) []*worker {
	if u.urgent() || u.index >= 0 || len(p.headroom) == 0 {
		return nil
	}
	left := -u.step.room().Accelerators * int64(u.size())
	for _, w := range pl.workers {
		left += max(w.free.Accelerators, 0)
	}
	if left < pl.headroom {
		return nil
	}
	var kept []*worker
	for _, w := range pl.workers {
		if p.headroom[w] {
			kept = append(kept, w)
			delete(p.headroom, w)
		}
	}
	chosen := p.choose(pl, u)
	for _, w := range kept {
		p.headroom[w] = chosen == nil
	}
	return chosen
}
