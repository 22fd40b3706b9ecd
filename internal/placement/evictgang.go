package placement

import (
	"cmp"
	"slices"
)

// maxComparedRuns is the number of runs of racks whose victims are compared exactly. The others are ruled out by an
// estimate of their victims, so that the cost of preempting for a gang stays linear in the number of workers.
const maxComparedRuns = 64

// workerChoice is a worker that a gang could take whole, with the jobs to preempt for that.
type workerChoice struct {
	worker  *worker
	victims []Borrower
}

// rackRun is the range [first, end) of neighbouring racks that can hold the gang.
type rackRun struct {
	first, end     int
	victimEstimate float64 // estimated number of victims; comparable between runs of the same length only
}

// yieldInRacks yields choices within one rack. For a borrower it continues with several racks when no single one
// suffices.
func (e *evictions) yieldInRacks(yield func(Eviction) bool) {
	var racks [][]workerChoice
	for _, r := range e.sortedRacks {
		if e.cellSize == nil || e.canReserveInRack(r.unreservedWorkers) {
			racks = append(racks, e.workerChoices(r))
		}
	}
	if !e.yieldBestRuns(racks, 1, yield) && e.cellSize == nil {
		e.yieldAcrossRacks(yield)
	}
}

// yieldAcrossRacks yields choices in the shortest runs of neighbouring racks; for a guaranteed cell, in whole
// unreserved racks.
func (e *evictions) yieldAcrossRacks(yield func(Eviction) bool) {
	if e.cellSize != nil && !e.canReserveRacks(e.cellSize.units) {
		return
	}
	var racks [][]workerChoice
	for _, r := range e.sortedRacks {
		if e.cellSize == nil || r.unreservedWorkers >= e.geometry.workersPerRack {
			racks = append(racks, e.workerChoices(r))
		}
	}
	if length := e.shortestRun(racks); length > 0 {
		e.yieldBestRuns(racks, length, yield)
	}
}

// workerChoices returns the workers of a rack that the gang could take whole, those with the best victims first.
func (e *evictions) workerChoices(r *rack) []workerChoice {
	var choices []workerChoice
	for _, w := range r.workers {
		usable := w.accelerators == e.geometry.acceleratorsPerWorker && !w.lost && !e.request.Avoid[w.id]
		if !usable || e.cellSize != nil && !e.entirelyUnreserved(w) {
			continue
		}
		e.victims = nil
		if e.addVictims(w, w.all()) {
			choices = append(choices, workerChoice{w, e.victims})
		}
	}
	slices.SortStableFunc(choices, func(a, b workerChoice) int { return e.compareVictims(a.victims, b.victims) })
	return choices
}

// shortestRun is the smallest number of neighbouring racks with enough workers, 0 when all racks together have too few.
func (e *evictions) shortestRun(racks [][]workerChoice) int {
	needed := e.workersFor(e.request.Accelerators)
	best, available, first := 0, 0, 0
	for last := range racks {
		available += len(racks[last])
		for available-len(racks[first]) >= needed {
			available -= len(racks[first])
			first++
		}
		if available >= needed && (best == 0 || last-first+1 < best) {
			best = last - first + 1
		}
	}
	return best
}

// yieldBestRuns yields choices in the runs of length racks that have the lowest estimates of victims. It reports
// whether there was such a run.
func (e *evictions) yieldBestRuns(racks [][]workerChoice, length int, yield func(Eviction) bool) bool {
	stretches := e.rackRuns(racks, length)
	slices.SortStableFunc(stretches, func(a, b rackRun) int { return cmp.Compare(a.victimEstimate, b.victimEstimate) })
	for _, s := range stretches[:min(maxComparedRuns, len(stretches))] {
		if !yield(e.evictWorkers(slices.Concat(racks[s.first:s.end]...))) {
			break
		}
	}
	return len(stretches) > 0
}

// rackRuns returns the runs of length racks that have enough workers, with estimates of their victims.
func (e *evictions) rackRuns(racks [][]workerChoice, length int) []rackRun {
	needed := e.workersFor(e.request.Accelerators)
	var found []rackRun
	for first := 0; first+length <= len(racks); first++ {
		run := racks[first : first+length]
		available, victims := 0, 0
		for _, choices := range run {
			available += len(choices)
			victims += countVictims(choices, needed)
		}
		if available >= needed {
			rough := float64(victims)
			if length > 1 {
				rough /= float64(available)
			}
			found = append(found, rackRun{first, first + length, rough})
		}
	}
	return found
}

// countVictims adds up the victims of the first limit workers. It counts a job on several workers several times.
func countVictims(choices []workerChoice, limit int) int {
	victims := 0
	for _, c := range choices[:min(limit, len(choices))] {
		victims += len(c.victims)
	}
	return victims
}

// evictWorkers takes the workers with the best victims until the request is satisfied.
func (e *evictions) evictWorkers(choices []workerChoice) Eviction {
	slices.SortStableFunc(choices, func(a, b workerChoice) int { return e.compareVictims(a.victims, b.victims) })
	e.victims = nil
	var parts []part
	left := e.request.Accelerators
	for _, chosen := range choices {
		count := min(left, chosen.worker.accelerators)
		if count == 0 {
			break
		}
		parts = append(parts, part{chosen.worker, bitRange(0, count)})
		e.addVictims(chosen.worker, bitRange(0, count))
		left -= count
	}
	return Eviction{e.victims, e.search, parts}
}
