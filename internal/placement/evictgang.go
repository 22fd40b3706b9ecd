package placement

import (
	"cmp"
	"slices"
)

// closeChoices is the number of runs of racks that are compared exactly. The others are ruled out by the number of
// victims on their workers, so that the cost of a gang's preemption stays linear in the number of workers.
const closeChoices = 64

// choice is a worker that a gang could take whole, with those who would have to yield.
type choice struct {
	worker  *worker
	victims []Borrower
}

// stretch is a run of neighbouring racks that can hold the gang.
type stretch struct {
	first, end int
	rough      float64 // expected victims, up to a factor
}

// inRacks chooses one rack; a borrower may take several when no single one can do.
func (e *evictions) inRacks(yield func(Eviction) bool) {
	var racks [][]choice
	for _, r := range e.order {
		if e.size == nil || e.allowsRack(r.openWhole) {
			racks = append(racks, e.choices(r))
		}
	}
	if !e.best(racks, 1, yield) && e.size == nil {
		e.overRacks(yield)
	}
}

// overRacks chooses the shortest runs of neighbouring racks; for a guaranteed cell, whole open racks.
func (e *evictions) overRacks(yield func(Eviction) bool) {
	if e.size != nil && !e.allowsRacks(e.size.units) {
		return
	}
	var racks [][]choice
	for _, r := range e.order {
		if e.size == nil || r.openWhole >= e.geometry.workers {
			racks = append(racks, e.choices(r))
		}
	}
	if length := e.shortest(racks); length > 0 {
		e.best(racks, length, yield)
	}
}

// choices returns the workers of a rack that the gang could take, those whose users yield most easily first.
func (e *evictions) choices(r *rack) []choice {
	var choices []choice
	for _, w := range r.workers {
		usable := w.count == e.geometry.accelerators && !w.lost && !e.request.Avoid[w.id]
		if !usable || e.size != nil && !e.wholeOpen(w) {
			continue
		}
		e.victims = nil
		if e.gather(w, w.all()) {
			choices = append(choices, choice{w, e.victims})
		}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return e.prefer(a.victims, b.victims) })
	return choices
}

// shortest is the least number of neighbouring racks with enough workers, 0 when all together have too few.
func (e *evictions) shortest(racks [][]choice) int {
	needed := e.workersFor(e.request.Accelerators)
	best, have, first := 0, 0, 0
	for last := range racks {
		have += len(racks[last])
		for have-len(racks[first]) >= needed {
			have -= len(racks[first])
			first++
		}
		if have >= needed && (best == 0 || last-first+1 < best) {
			best = last - first + 1
		}
	}
	return best
}

// best yields the runs of that many racks which are likely to displace fewest, and reports whether there was one.
func (e *evictions) best(racks [][]choice, length int, yield func(Eviction) bool) bool {
	stretches := e.stretches(racks, length)
	slices.SortStableFunc(stretches, func(a, b stretch) int { return cmp.Compare(a.rough, b.rough) })
	for _, s := range stretches[:min(closeChoices, len(stretches))] {
		if !yield(e.take(slices.Concat(racks[s.first:s.end]...))) {
			break
		}
	}
	return len(stretches) > 0
}

func (e *evictions) stretches(racks [][]choice, length int) []stretch {
	needed := e.workersFor(e.request.Accelerators)
	var found []stretch
	for first := 0; first+length <= len(racks); first++ {
		run := racks[first : first+length]
		have, victims := 0, 0
		for _, choices := range run {
			have += len(choices)
			victims += countVictims(choices, needed)
		}
		if have >= needed {
			rough := float64(victims)
			if length > 1 {
				rough /= float64(have)
			}
			found = append(found, stretch{first, first + length, rough})
		}
	}
	return found
}

// countVictims adds up the victims of the first workers, at most limit.
func countVictims(choices []choice, limit int) int {
	victims := 0
	for _, c := range choices[:min(limit, len(choices))] {
		victims += len(c.victims)
	}
	return victims
}

// take takes the workers whose users yield most easily until the request is satisfied.
func (e *evictions) take(choices []choice) Eviction {
	slices.SortStableFunc(choices, func(a, b choice) int { return e.prefer(a.victims, b.victims) })
	e.victims = nil
	var parts []part
	left := e.request.Accelerators
	for _, chosen := range choices {
		count := min(left, chosen.worker.count)
		if count == 0 {
			break
		}
		parts = append(parts, part{chosen.worker, run(0, count)})
		e.gather(chosen.worker, run(0, count))
		left -= count
	}
	return Eviction{e.victims, e.search, parts}
}
