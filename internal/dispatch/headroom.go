package dispatch

import (
	"cmp"
	"slices"
)

// headroomShare is the share of a service's accelerators that less urgent work leaves free. A stop takes most of a second,
// which is about the whole slack of a small urgent job, so on days of high load such jobs must find room that is free already.
const headroomShare = 0.2

// keepHeadroom blocks workers for all but urgent work. It picks them rack by rack, from the rack with the most free
// accelerators on, since urgent gangs often need one rack, and whole workers first.
func (p *plan) keepHeadroom(pl *pool) {
	if pl.idle() {
		return
	}
	missing := int64(headroomShare * float64(pl.total))
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
			p.headroom[w] = true
			missing -= w.free.Accelerators
		}
	}
}
