package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// maxLevels is the number of block levels of the largest worker.
const maxLevels = 7

// counters count the cells of a data centre that are available: free ones, or those that no guaranteed job holds.
type counters struct {
	accelerators int
	blocks       [maxLevels]int // aligned blocks of 2^level
	racks        []int          // racks by number of whole workers, the last for all workers of the rack
}

// cells is the number of cells of c that are available.
func (n *counters) cells(c cell) int {
	switch c.scope {
	case inWorker:
		return n.blocks[c.units]
	case inRack:
		total := 0
		for whole := c.units; whole < len(n.racks); whole++ {
			total += n.racks[whole] * (whole / c.units)
		}
		return total
	default:
		return n.racks[len(n.racks)-1] / c.units
	}
}

// wholeWorkers is the number of workers that are available entirely.
func (n *counters) wholeWorkers() int {
	total := 0
	for whole, racks := range n.racks {
		total += whole * racks
	}
	return total
}

func (n *counters) addMask(mask uint64, sign int) {
	n.accelerators += sign * bits.OnesCount64(mask)
	for level := 0; mask != 0; level++ {
		n.blocks[level] += sign * bits.OnesCount64(mask)
		if level+1 == maxLevels {
			return
		}
		mask &= mask >> (1 << level)
		mask &= aligned[level+1]
	}
}

// moveRack counts a rack whose number of whole workers changed.
func (n *counters) moveRack(from, to int) {
	last := len(n.racks) - 1
	n.racks[min(from, last)]--
	n.racks[min(to, last)]++
}

// worker is the state of one worker.
type worker struct {
	id    structs.WorkerID
	rack  *rack
	count int    // usable accelerators
	free  uint64 // accelerators that no job uses, none while the worker is lost
	open  uint64 // accelerators outside the cells of guaranteed jobs, none while the worker is lost
	owner []*job // job that uses each accelerator, nil when free
	cells []*job // guaranteed job whose cell holds each accelerator; the cell may be larger than the job
	lost  bool
	class *group[class, *worker] // nil when nothing is free
	pos   int
}

// all is the mask of the worker's accelerators.
func (w *worker) all() uint64 { return run(0, w.count) }

// masks derives the free and the open accelerators from the owners.
func (w *worker) masks() (free, open uint64) {
	if w.lost {
		return 0, 0
	}
	for i, owner := range w.owner {
		bit := uint64(1) << i
		if owner == nil {
			free |= bit
		}
		if w.cells[i] == nil {
			open |= bit
		}
	}
	return free, open
}

// rack is the state of one rack. Workers beyond the declared number per rack are used, but form no cells of racks.
type rack struct {
	id        structs.RackID
	workers   []*worker // by identifier
	freeWhole int       // workers that are free entirely
	openWhole int       // workers of which no guaranteed job holds a part
	class     *group[rackClass, *rack]
	pos       int
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

// compareRacks orders racks by identifier, those that end in a number by that number: neighbours are adjacent.
func compareRacks(a, b structs.RackID) int {
	if byLength := cmp.Compare(len(a), len(b)); byLength != 0 {
		return byLength
	}
	return cmp.Compare(a, b)
}
