package placement

import (
	"math/bits"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// fleet is the accelerators that no guaranteed job holds: a mask per worker, by rack.
type fleet [][]uint64

// openFleet derives the fleet from the cells of at least the given size that jobs hold, not from counters.
func openFleet(c *Cluster, least int) fleet {
	var open fleet
	for _, r := range c.order {
		masks := []uint64{}
		for _, w := range r.workers {
			mask := w.all()
			for _, j := range c.jobs {
				for _, p := range j.held {
					if p.worker == w && j.placement.CellSize >= least {
						mask &^= p.mask
					}
				}
			}
			if !w.lost {
				masks = append(masks, mask)
			}
		}
		open = append(open, masks)
	}
	return open
}

func (f fleet) with(rack, worker int, mask uint64) fleet {
	next := slices.Clone(f)
	next[rack] = slices.Clone(f[rack])
	next[rack][worker] = mask
	return next
}

func (f fleet) key(rest int) string {
	var key []byte
	for _, masks := range f {
		for _, mask := range masks {
			key = append(key, byte(mask))
		}
		key = append(key, '/')
	}
	return string(append(key, byte(rest)))
}

// packable searches all ways to form the wanted cells, largest first, on the accelerators of f.
func packable(g geometry, f fleet, wanted []cell, failed map[string]bool) bool {
	if len(wanted) == 0 {
		return true
	}
	key := f.key(len(wanted))
	if failed[key] {
		return false
	}
	for _, next := range positions(g, f, wanted[0]) {
		if packable(g, next, wanted[1:], failed) {
			return true
		}
	}
	failed[key] = true
	return false
}

// positions returns what is left of f for every place of one cell. Whole workers of a rack are interchangeable, as
// are whole racks.
func positions(g geometry, f fleet, c cell) []fleet {
	var found []fleet
	whole := run(0, g.accelerators)
	if c.scope == acrossRacks {
		left, taken := f, 0
		for i := range f {
			if taken < c.units && takeWorkers(&left, i, g.workers, whole) {
				taken++
			}
		}
		if taken == c.units {
			found = append(found, left)
		}
		return found
	}
	for i, masks := range f {
		if c.scope == inRack {
			left := f
			if takeWorkers(&left, i, c.units, whole) {
				found = append(found, left)
			}
			continue
		}
		for k, mask := range masks {
			for at := 0; at+c.size <= g.accelerators && !slices.Contains(masks[:k], mask); at += c.size {
				if block := run(at, c.size); block&^mask == 0 {
					found = append(found, f.with(i, k, mask&^block))
				}
			}
		}
	}
	return found
}

func takeWorkers(f *fleet, rack, count int, whole uint64) bool {
	left := *f
	for k, mask := range left[rack] {
		if mask == whole && count > 0 {
			left = left.with(rack, k, 0)
			count--
		}
	}
	if count == 0 {
		*f = left
	}
	return count == 0
}

// wantedCells lists guarantees as cells, largest first.
func wantedCells(g geometry, unused map[Guarantee]int) []cell {
	var wanted []cell
	for guarantee, count := range unused {
		c, _ := g.cellOf(guarantee.Size)
		for range count {
			wanted = append(wanted, c)
		}
	}
	slices.SortFunc(wanted, func(a, b cell) int { return b.size - a.size })
	return wanted
}

// candidates lists every place for a job that fills a cell of the given size, within a worker or a rack, on free
// accelerators that no guaranteed job holds.
func candidates(c *Cluster, size cell) [][]Member {
	var found [][]Member
	for _, r := range c.order {
		var whole []*worker
		for _, w := range r.workers {
			usable := w.free & w.open
			for at := 0; size.scope == inWorker && at+size.size <= w.count; at += size.size {
				if run(at, size.size)&^usable == 0 {
					found = append(found, []Member{member(w, run(at, size.size))})
				}
			}
			if usable == run(0, c.geometry.accelerators) {
				whole = append(whole, w)
			}
		}
		for set := uint(0); size.scope == inRack && set < 1<<len(whole); set++ {
			if bits.OnesCount(set) == size.units {
				found = append(found, members(whole, set))
			}
		}
	}
	return found
}

func members(workers []*worker, set uint) []Member {
	var list []Member
	for i, w := range workers {
		if set&(1<<i) != 0 {
			list = append(list, member(w, w.all()))
		}
	}
	return list
}

// without is the fleet after a job with these members holds them.
func (f fleet) without(c *Cluster, list []Member) fleet {
	left := f
	for i, r := range c.order {
		at := 0
		for _, w := range r.workers {
			for _, m := range list {
				if m.Worker == w.id {
					left = left.with(i, at, left[i][at]&^maskOf(m))
				}
			}
			if !w.lost {
				at++
			}
		}
	}
	return left
}

func maskOf(m Member) uint64 {
	mask := uint64(0)
	for _, at := range m.Accelerators {
		mask |= 1 << at
	}
	return mask
}

// unusedGuarantees counts from the granted guarantees and the jobs that hold cells of at least the given size.
func unusedGuarantees(c *Cluster, granted []Guarantee, least int) map[Guarantee]int {
	unused := map[Guarantee]int{}
	for _, g := range granted {
		unused[Guarantee{Customer: g.Customer, Size: g.Size}] += g.Count
	}
	for _, j := range c.jobs {
		if j.cell >= 0 && j.placement.CellSize >= least {
			unused[Guarantee{Customer: j.placement.Customer, Size: j.placement.CellSize}]--
		}
	}
	return unused
}

func borrowers(c *Cluster, ids []structs.JobID) bool {
	return !slices.ContainsFunc(ids, func(id structs.JobID) bool { return c.jobs[id].cell >= 0 })
}
