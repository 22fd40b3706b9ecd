package placement

import (
	"cmp"
	"math/bits"
	"slices"
)

// A gang that needs more accelerators than one worker has takes whole workers, and an aligned block of one more worker
// for the remainder.

// chooseInRack chooses workers of one rack: the rack that loses the least value of cells for the workload, then the one
// with the fewest free workers.
func (s *search) chooseInRack() ([]Member, bool) {
	wholeWorkers := s.request.Accelerators / s.geometry.acceleratorsPerWorker
	racks := s.free.racksByWorkers[s.geometry.workersPerRack]
	type candidate struct {
		group *group[rackClass, *rack]
		loss  float64
	}
	var candidates []candidate
	for _, g := range s.rackClasses.nonEmpty {
		if g.key.freeWorkers < wholeWorkers || s.cellSize != nil && !s.canReserveInRack(g.key.unreservedWorkers) {
			continue
		}
		loss := s.workload.rackLoss(g.key.freeWorkers, g.key.freeWorkers-wholeWorkers, racks)
		candidates = append(candidates, candidate{g, loss})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.loss, b.loss),
			cmp.Compare(a.group.key.freeWorkers, b.group.key.freeWorkers),
			cmp.Compare(a.group.key.unreservedWorkers, b.group.key.unreservedWorkers),
		)
	})
	for _, candidate := range candidates {
		for _, r := range slices.Backward(candidate.group.items) {
			if members, ok := s.placeInRack(r); ok {
				return members, true
			}
		}
	}
	return nil, false
}

// placeInRack chooses workers for the whole gang in the given rack.
func (s *search) placeInRack(r *rack) ([]Member, bool) {
	wholeWorkers := s.request.Accelerators / s.geometry.acceleratorsPerWorker
	remainder := s.request.Accelerators % s.geometry.acceleratorsPerWorker
	workers := s.freeWorkers(r)
	if len(workers) < wholeWorkers {
		return nil, false
	}
	members := wholeMembers(workers[:wholeWorkers])
	if remainder == 0 {
		return members, true
	}
	if last, ok := s.chooseRemainder(r, workers[:wholeWorkers], remainder); ok {
		return append(members, last), true
	}
	return nil, false
}

// freeWorkers returns the entirely free workers of a rack; for a guaranteed request only those outside the cells of
// other guaranteed jobs. For borrowers the workers within such cells come first, because no preemption can reclaim them
// for another guarantee.
func (s *search) freeWorkers(r *rack) []*worker {
	var reserved, unreserved []*worker
	whole := bitRange(0, s.geometry.acceleratorsPerWorker)
	for _, w := range r.workers {
		switch {
		case w.free != whole || s.request.Avoid[w.id]:
		case w.unreserved == whole:
			unreserved = append(unreserved, w)
		case s.cellSize == nil:
			reserved = append(reserved, w)
		}
	}
	return append(reserved, unreserved...)
}

func wholeMembers(workers []*worker) []Member {
	members := make([]Member, 0, len(workers)+1)
	for _, w := range workers {
		members = append(members, newMember(w, w.all()))
	}
	return members
}

// chooseRemainder chooses a block of count accelerators in the worker with the fewest free accelerators.
func (s *search) chooseRemainder(r *rack, taken []*worker, count int) (Member, bool) {
	var best *worker
	for _, w := range r.workers {
		unusable := s.request.Avoid[w.id] || slices.Contains(taken, w) || s.freeStarts(w, count) == 0
		if unusable || s.cellSize != nil && !s.entirelyUnreserved(w) {
			continue
		}
		if best == nil || bits.OnesCount64(w.free) < bits.OnesCount64(best.free) {
			best = w
		}
	}
	if best == nil {
		return Member{}, false
	}
	return newMember(best, bitRange(bits.TrailingZeros64(s.freeStarts(best, count)), count)), true
}

// chooseAcrossRacks chooses whole workers in the shortest run of neighbouring racks that has enough free ones.
func (s *search) chooseAcrossRacks() ([]Member, bool) {
	needed := s.workersFor(s.request.Accelerators)
	if s.free.wholeWorkers() < needed {
		return nil, false
	}
	var window []*rack
	first, available := 0, 0
	for last, r := range s.sortedRacks {
		available += s.usableWorkers(r)
		for available-s.usableWorkers(s.sortedRacks[first]) >= needed {
			available -= s.usableWorkers(s.sortedRacks[first])
			first++
		}
		if available >= needed && (window == nil || last-first+1 < len(window)) {
			window = s.sortedRacks[first : last+1]
		}
	}
	if window == nil {
		return nil, false
	}
	return s.takeWorkers(window), true
}

// workersFor is the number of workers that hold n accelerators.
func (s *search) workersFor(n int) int {
	return (n + s.geometry.acceleratorsPerWorker - 1) / s.geometry.acceleratorsPerWorker
}

// usableWorkers is the number of entirely free workers of a rack that the request need not avoid.
func (s *search) usableWorkers(r *rack) int {
	if len(s.request.Avoid) == 0 {
		return r.freeWorkers
	}
	return len(s.freeWorkers(r))
}

// takeWorkers takes workers of the racks until the request is satisfied, from the racks with the most free workers
// first.
func (s *search) takeWorkers(racks []*rack) []Member {
	racks = slices.Clone(racks)
	slices.SortStableFunc(racks, func(a, b *rack) int { return s.usableWorkers(b) - s.usableWorkers(a) })
	left := s.request.Accelerators
	var members []Member
	for _, r := range racks {
		for _, w := range s.freeWorkers(r) {
			count := min(left, s.geometry.acceleratorsPerWorker)
			if count > 0 {
				members = append(members, newMember(w, bitRange(0, count)))
				left -= count
			}
		}
	}
	return members
}

// chooseWholeRacks chooses whole racks for a guaranteed cell, as close to each other as possible.
func (s *search) chooseWholeRacks() ([]Member, bool) {
	size := s.geometry.rackSize()
	needed := (s.request.Accelerators + size - 1) / size
	if s.cellSize.scope != acrossRacks || !s.canReserveRacks(s.cellSize.units) {
		return nil, false
	}
	var positions []int
	var free []*rack
	for i, r := range s.sortedRacks {
		if r.unreservedWorkers >= s.geometry.workersPerRack && len(s.freeWorkers(r)) >= s.geometry.workersPerRack {
			positions = append(positions, i)
			free = append(free, r)
		}
	}
	if len(free) < needed {
		return nil, false
	}
	best := 0
	for i := 1; i+needed <= len(free); i++ {
		if positions[i+needed-1]-positions[i] < positions[best+needed-1]-positions[best] {
			best = i
		}
	}
	return s.takeWorkers(free[best : best+needed]), true
}
