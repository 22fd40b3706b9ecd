package placement

import (
	"math/bits"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// rackMasks holds a mask of accelerators per worker, by rack.
type rackMasks [][]uint64

// unreservedMasks returns the accelerators outside the cells of at least minCellSize accelerators that jobs hold. It
// derives them from the placements, not from the counters under test.
func unreservedMasks(c *Cluster, minCellSize int) rackMasks {
	var unreserved rackMasks
	for _, r := range c.sortedRacks {
		masks := []uint64{}
		for _, w := range r.workers {
			mask := w.all()
			for _, j := range c.jobs {
				for _, p := range j.cellParts {
					if p.worker == w && j.placement.CellSize >= minCellSize {
						mask &^= p.mask
					}
				}
			}
			if !w.lost {
				masks = append(masks, mask)
			}
		}
		unreserved = append(unreserved, masks)
	}
	return unreserved
}

func (m rackMasks) with(rack, worker int, mask uint64) rackMasks {
	next := slices.Clone(m)
	next[rack] = slices.Clone(m[rack])
	next[rack][worker] = mask
	return next
}

func (m rackMasks) key(rest int) string {
	var key []byte
	for _, masks := range m {
		for _, mask := range masks {
			key = append(key, byte(mask))
		}
		key = append(key, '/')
	}
	return string(append(key, byte(rest)))
}

// packable reports whether the wanted cells, largest first, can be formed at once on the accelerators of masks. It
// searches all ways; failed caches those that do not work.
func packable(g geometry, masks rackMasks, wanted []cellSize, failed map[string]bool) bool {
	if len(wanted) == 0 {
		return true
	}
	key := masks.key(len(wanted))
	if failed[key] {
		return false
	}
	for _, next := range afterPlacing(g, masks, wanted[0]) {
		if packable(g, next, wanted[1:], failed) {
			return true
		}
	}
	failed[key] = true
	return false
}

// afterPlacing returns what remains of the unreserved accelerators for each place of one cell. Whole workers of a rack
// are interchangeable, as are whole racks, so that one place stands for all of them.
func afterPlacing(g geometry, unreserved rackMasks, size cellSize) []rackMasks {
	var found []rackMasks
	whole := bitRange(0, g.acceleratorsPerWorker)
	if size.scope == acrossRacks {
		left, taken := unreserved, 0
		for i := range unreserved {
			if taken < size.units && takeWholeWorkers(&left, i, g.workersPerRack, whole) {
				taken++
			}
		}
		if taken == size.units {
			found = append(found, left)
		}
		return found
	}
	for i, masks := range unreserved {
		if size.scope == inRack {
			left := unreserved
			if takeWholeWorkers(&left, i, size.units, whole) {
				found = append(found, left)
			}
			continue
		}
		for k, mask := range masks {
			for at := 0; at+size.accelerators <= g.acceleratorsPerWorker && !slices.Contains(masks[:k], mask); at += size.accelerators {
				if block := bitRange(at, size.accelerators); block&^mask == 0 {
					found = append(found, unreserved.with(i, k, mask&^block))
				}
			}
		}
	}
	return found
}

// takeWholeWorkers removes count whole workers of a rack from masks and reports whether there were enough.
func takeWholeWorkers(masks *rackMasks, rack, count int, whole uint64) bool {
	left := *masks
	for k, mask := range left[rack] {
		if mask == whole && count > 0 {
			left = left.with(rack, k, 0)
			count--
		}
	}
	if count == 0 {
		*masks = left
	}
	return count == 0
}

// wantedCells lists the cells of unused guarantees, largest first.
func wantedCells(g geometry, unused map[Guarantee]int) []cellSize {
	var wanted []cellSize
	for guarantee, count := range unused {
		c, _ := g.classify(guarantee.Size)
		for range count {
			wanted = append(wanted, c)
		}
	}
	slices.SortFunc(wanted, func(a, b cellSize) int { return b.accelerators - a.accelerators })
	return wanted
}

// candidatePlaces lists every place for a job that fills a cell of the given size, within a worker or a rack, on free
// accelerators outside the cells of other jobs.
func candidatePlaces(c *Cluster, size cellSize) [][]Member {
	var found [][]Member
	for _, r := range c.sortedRacks {
		var whole []*worker
		for _, w := range r.workers {
			usable := w.free & w.unreserved
			for at := 0; size.scope == inWorker && at+size.accelerators <= w.accelerators; at += size.accelerators {
				if bitRange(at, size.accelerators)&^usable == 0 {
					found = append(found, []Member{newMember(w, bitRange(at, size.accelerators))})
				}
			}
			if usable == bitRange(0, c.geometry.acceleratorsPerWorker) {
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

// members returns the workers whose bits are in set, as members that use all accelerators.
func members(workers []*worker, set uint) []Member {
	var list []Member
	for i, w := range workers {
		if set&(1<<i) != 0 {
			list = append(list, newMember(w, w.all()))
		}
	}
	return list
}

// without returns m without the accelerators of the members.
func (m rackMasks) without(c *Cluster, list []Member) rackMasks {
	left := m
	for i, r := range c.sortedRacks {
		at := 0
		for _, w := range r.workers {
			for _, member := range list {
				if member.Worker == w.id {
					left = left.with(i, at, left[i][at]&^maskOf(member))
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

// unusedGuarantees counts the guaranteed cells that remain unused by the jobs with cells of at least minCellSize
// accelerators. It derives them from the placements, not from the counts under test.
func unusedGuarantees(c *Cluster, guarantees []Guarantee, minCellSize int) map[Guarantee]int {
	unused := map[Guarantee]int{}
	for _, g := range guarantees {
		unused[Guarantee{Customer: g.Customer, Size: g.Size}] += g.Count
	}
	for _, j := range c.jobs {
		if j.cellIndex >= 0 && j.placement.CellSize >= minCellSize {
			unused[Guarantee{Customer: j.placement.Customer, Size: j.placement.CellSize}]--
		}
	}
	return unused
}

func allBorrow(c *Cluster, ids []structs.JobID) bool {
	return !slices.ContainsFunc(ids, func(id structs.JobID) bool { return c.jobs[id].cellIndex >= 0 })
}
