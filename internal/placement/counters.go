package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// maxLevels is the number of block levels of the largest worker.
const maxLevels = 7

// counters count the accelerators and cells of a data centre that are available. Depending on the use, available means
// free, or outside the cells of guaranteed jobs.
type counters struct {
	accelerators   int
	blocks         [maxLevels]int // aligned blocks of 2^level accelerators, by level
	racksByWorkers []int          // number of racks, by number of entirely available workers
}

// cellCount is the number of available cells of a size.
func (n *counters) cellCount(c cellSize) int {
	switch c.scope {
	case inWorker:
		return n.blocks[c.units]
	case inRack:
		total := 0
		for whole := c.units; whole < len(n.racksByWorkers); whole++ {
			total += n.racksByWorkers[whole] * (whole / c.units)
		}
		return total
	default:
		return n.racksByWorkers[len(n.racksByWorkers)-1] / c.units
	}
}

// wholeWorkers is the number of workers that are available entirely.
func (n *counters) wholeWorkers() int {
	total := 0
	for whole, racks := range n.racksByWorkers {
		total += whole * racks
	}
	return total
}

// addMask adds the accelerators and blocks of a worker's mask, or subtracts them when sign is -1.
func (n *counters) addMask(mask uint64, sign int) {
	n.accelerators += sign * bits.OnesCount64(mask)
	for level := 0; mask != 0; level++ {
		n.blocks[level] += sign * bits.OnesCount64(mask)
		if level+1 == maxLevels {
			return
		}
		mask &= mask >> (1 << level)
		mask &= blockMultiples[level+1]
	}
}

// moveRack updates the counts for a rack whose number of entirely available workers changed.
func (n *counters) moveRack(from, to int) {
	last := len(n.racksByWorkers) - 1
	n.racksByWorkers[min(from, last)]--
	n.racksByWorkers[min(to, last)]++
}

// worker is the state of one worker.
type worker struct {
	id           structs.WorkerID
	rack         *rack
	accelerators int    // number of usable accelerators
	free         uint64 // mask of accelerators that no job uses, empty while the worker is lost
	unreserved   uint64 // mask of accelerators outside the cells of guaranteed jobs, empty while the worker is lost
	usedBy       []*job // by accelerator: job that uses it, nil when free
	reservedBy   []*job // by accelerator: guaranteed job whose cell contains it; the cell may be larger than the job
	lost         bool
	class        *group[workerClass, *worker] // nil when nothing is free
	classIndex   int                          // position in class.items
}

// all is the mask of the worker's accelerators.
func (w *worker) all() uint64 { return bitRange(0, w.accelerators) }

// masks computes the masks of free and of unreserved accelerators.
func (w *worker) masks() (free, unreserved uint64) {
	if w.lost {
		return 0, 0
	}
	for i, owner := range w.usedBy {
		bit := uint64(1) << i
		if owner == nil {
			free |= bit
		}
		if w.reservedBy[i] == nil {
			unreserved |= bit
		}
	}
	return free, unreserved
}

// rack is the state of one rack. Workers beyond the declared number per rack are used, but form no cells of racks.
type rack struct {
	id                structs.RackID
	workers           []*worker // by identifier
	freeWorkers       int       // entirely free workers
	unreservedWorkers int       // workers outside the cells of guaranteed jobs
	class             *group[rackClass, *rack]
	classIndex        int // position in class.items
}

func (r *rack) addWorker(w *worker) {
	i, _ := slices.BinarySearchFunc(r.workers, w.id, func(other *worker, id structs.WorkerID) int {
		return cmp.Compare(other.id, id)
	})
	r.workers = slices.Insert(r.workers, i, w)
}

func (r *rack) removeWorker(w *worker) {
	r.workers = slices.DeleteFunc(r.workers, func(other *worker) bool { return other == w })
}

// compareRacks orders racks by length of the identifier and then by the identifier, so that racks with the same prefix
// are in the order of their numbers.
func compareRacks(a, b structs.RackID) int {
	if byLength := cmp.Compare(len(a), len(b)); byLength != 0 {
		return byLength
	}
	return cmp.Compare(a, b)
}
