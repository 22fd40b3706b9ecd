package placement

import (
	"cmp"
	"math/bits"
	"slices"
)

// A gang of more accelerators than one worker has takes whole workers, and an aligned block of one more worker for what
// is left over.

// inRack chooses workers of one rack: the rack whose cells suffer least, then the one with fewest free workers.
func (s *search) inRack() ([]Member, bool) {
	full := s.request.Accelerators / s.geometry.accelerators
	racks := s.free.racks[s.geometry.workers]
	type candidate struct {
		group *group[rackClass, *rack]
		loss  float64
	}
	var candidates []candidate
	for _, g := range s.spaces.live {
		if g.key.freeWhole < full || s.size != nil && !s.allowsRack(g.key.openWhole) {
			continue
		}
		loss := s.workload.rackLoss(g.key.freeWhole, g.key.freeWhole-full, racks)
		candidates = append(candidates, candidate{g, loss})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.loss, b.loss),
			cmp.Compare(a.group.key.freeWhole, b.group.key.freeWhole),
			cmp.Compare(a.group.key.openWhole, b.group.key.openWhole),
		)
	})
	for _, candidate := range candidates {
		for _, r := range slices.Backward(candidate.group.items) {
			if members, ok := s.gangIn(r); ok {
				return members, true
			}
		}
	}
	return nil, false
}

// gangIn places the whole gang in one rack.
func (s *search) gangIn(r *rack) ([]Member, bool) {
	full := s.request.Accelerators / s.geometry.accelerators
	rest := s.request.Accelerators % s.geometry.accelerators
	workers := s.freeWorkers(r)
	if len(workers) < full {
		return nil, false
	}
	members := wholeMembers(workers[:full])
	if rest == 0 {
		return members, true
	}
	if last, ok := s.remainder(r, workers[:full], rest); ok {
		return append(members, last), true
	}
	return nil, false
}

// freeWorkers returns the workers of a rack that are free entirely; for a guaranteed request only those that no
// guaranteed cell holds. For borrowers the held ones come first, since nobody can reclaim them.
func (s *search) freeWorkers(r *rack) []*worker {
	var held, open []*worker
	whole := run(0, s.geometry.accelerators)
	for _, w := range r.workers {
		switch {
		case w.free != whole || s.request.Avoid[w.id]:
		case w.open == whole:
			open = append(open, w)
		case s.size == nil:
			held = append(held, w)
		}
	}
	return append(held, open...)
}

func wholeMembers(workers []*worker) []Member {
	members := make([]Member, 0, len(workers)+1)
	for _, w := range workers {
		members = append(members, member(w, w.all()))
	}
	return members
}

// remainder chooses a block for what is left over, in the worker with fewest free accelerators.
func (s *search) remainder(r *rack, taken []*worker, rest int) (Member, bool) {
	var best *worker
	for _, w := range r.workers {
		unusable := s.request.Avoid[w.id] || slices.Contains(taken, w) || s.starts(w, rest) == 0
		if unusable || s.size != nil && !s.wholeOpen(w) {
			continue
		}
		if best == nil || bits.OnesCount64(w.free) < bits.OnesCount64(best.free) {
			best = w
		}
	}
	if best == nil {
		return Member{}, false
	}
	return member(best, run(bits.TrailingZeros64(s.starts(best, rest)), rest)), true
}

// acrossRacks chooses whole workers over the shortest run of neighbouring racks that has enough.
func (s *search) acrossRacks() ([]Member, bool) {
	needed := s.workersFor(s.request.Accelerators)
	if s.free.wholeWorkers() < needed {
		return nil, false
	}
	var window []*rack
	first, have := 0, 0
	for last, r := range s.order {
		have += s.usable(r)
		for have-s.usable(s.order[first]) >= needed {
			have -= s.usable(s.order[first])
			first++
		}
		if have >= needed && (window == nil || last-first+1 < len(window)) {
			window = s.order[first : last+1]
		}
	}
	if window == nil {
		return nil, false
	}
	return s.fill(window), true
}

func (s *search) workersFor(n int) int {
	return (n + s.geometry.accelerators - 1) / s.geometry.accelerators
}

// usable is the number of free workers of a rack that are not to be avoided.
func (s *search) usable(r *rack) int {
	if len(s.request.Avoid) == 0 {
		return r.freeWhole
	}
	return len(s.freeWorkers(r))
}

// fill takes workers of the racks until the request is satisfied, from the racks with most free workers first.
func (s *search) fill(racks []*rack) []Member {
	racks = slices.Clone(racks)
	slices.SortStableFunc(racks, func(a, b *rack) int { return s.usable(b) - s.usable(a) })
	left := s.request.Accelerators
	var members []Member
	for _, r := range racks {
		for _, w := range s.freeWorkers(r) {
			count := min(left, s.geometry.accelerators)
			if count > 0 {
				members = append(members, member(w, run(0, count)))
				left -= count
			}
		}
	}
	return members
}

// fullRacks chooses whole racks for a guaranteed cell, as near to each other as possible.
func (s *search) fullRacks() ([]Member, bool) {
	size := s.geometry.rackSize()
	needed := (s.request.Accelerators + size - 1) / size
	if s.size.scope != acrossRacks || !s.allowsRacks(s.size.units) {
		return nil, false
	}
	var positions []int
	var free []*rack
	for i, r := range s.order {
		if r.openWhole >= s.geometry.workers && len(s.freeWorkers(r)) >= s.geometry.workers {
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
	return s.fill(free[best : best+needed]), true
}
