package placement

import (
	"math/bits"
)

// workload holds the sizes of waiting or expected jobs with their shares. It rates how much a placement fragments the
// free accelerators, with the measure of Weng et al., "Beware of Fragmentation" (FGD), USENIX ATC 2023: the expected
// number of free accelerators that a job of the workload cannot use.
type workload struct {
	jobSizes       []JobSize
	cellSizes      []cellSize
	weights        []float64
	blockValue     [maxLevels]float64 // value of a block within a worker, by level: accelerators times weight
	rackValue      []float64          // value of the cells of whole workers in a rack, by its number of entirely free workers
	multiRackValue []float64          // values of cells of whole racks: accelerators times weight
	multiRackUnits []int              // numbers of racks of the cells in multiRackValue
}

// SetWorkload replaces the job sizes that placements avoid fragmentation for, with their shares as weights. When
// jobSizes is empty, the sizes of the guarantees and the powers of two up to 128 count equally.
func (c *Cluster) SetWorkload(jobSizes []JobSize) {
	w := workload{jobSizes: jobSizes, rackValue: make([]float64, c.geometry.workersPerRack+1)}
	if len(jobSizes) == 0 {
		jobSizes = c.defaultJobSizes()
	}
	for _, s := range jobSizes {
		if s.Size > 0 && s.Weight > 0 {
			w.add(c.geometry, c.geometry.roundUp(s.Size), s.Weight)
		}
	}
	c.workload = w
}

// largestGang is the largest power of two among the job sizes of the default workload, in accelerators.
const largestGang = 128

// defaultJobSizes returns the workload that is assumed when none is set.
func (c *Cluster) defaultJobSizes() []JobSize {
	var jobSizes []JobSize
	for size := 1; size <= largestGang; size *= 2 {
		jobSizes = append(jobSizes, JobSize{Size: size, Weight: 1})
	}
	for _, guaranteed := range c.guarantees.sizes {
		jobSizes = append(jobSizes, JobSize{Size: guaranteed.accelerators, Weight: 1})
	}
	return jobSizes
}

// roundUp returns the smallest cell size of at least n accelerators.
func (g geometry) roundUp(n int) cellSize {
	level := blockLevel(n)
	switch {
	case 1<<level <= g.acceleratorsPerWorker:
		return cellSize{1 << level, inWorker, level}
	case n <= g.rackSize():
		units := (n + g.acceleratorsPerWorker - 1) / g.acceleratorsPerWorker
		return cellSize{units * g.acceleratorsPerWorker, inRack, units}
	default:
		units := (n + g.rackSize() - 1) / g.rackSize()
		return cellSize{units * g.rackSize(), acrossRacks, units}
	}
}

func (w *workload) add(g geometry, size cellSize, weight float64) {
	w.cellSizes = append(w.cellSizes, size)
	w.weights = append(w.weights, weight)
	value := weight * float64(size.accelerators)
	switch size.scope {
	case inWorker:
		w.blockValue[size.units] += value
	case inRack:
		for whole := range w.rackValue {
			w.rackValue[whole] += value * float64(whole/size.units)
		}
	default:
		w.multiRackValue = append(w.multiRackValue, value)
		w.multiRackUnits = append(w.multiRackUnits, size.units)
	}
}

// blockLoss returns the value of the blocks within a worker that a job of count accelerators destroys, by level of the
// largest free block around the job.
func (w *workload) blockLoss(count int) [maxLevels]float64 {
	var loss [maxLevels]float64
	level := blockLevel(count)
	sum := 0.0
	remainder := bitRange(count, 1<<level-count)
	for k := range loss {
		switch {
		case k <= level:
			lost := 1<<(level-k) - bits.OnesCount64(blockStarts(remainder, k))
			sum += w.blockValue[k] * float64(lost)
		default:
			sum += w.blockValue[k]
		}
		loss[k] = sum
	}
	return loss
}

// rackLoss is the value of the cells of whole workers and racks that are destroyed when the number of entirely free
// workers of a rack falls from before to after. freeRacks is the number of entirely free racks before that.
func (w *workload) rackLoss(before, after, freeRacks int) float64 {
	last := len(w.rackValue) - 1
	loss := w.rackValue[min(before, last)] - w.rackValue[max(0, min(after, last))]
	if before < last || after >= last {
		return loss
	}
	for i, value := range w.multiRackValue {
		loss += value * float64(freeRacks/w.multiRackUnits[i]-(freeRacks-1)/w.multiRackUnits[i])
	}
	return loss
}

// Fragmentation is the share of the free accelerators, 0 to 1, that a job of one of the given sizes cannot use,
// averaged by weight. It is 0 when nothing is free.
func (c *Cluster) Fragmentation(jobSizes []JobSize) float64 {
	if c.free.accelerators == 0 {
		return 0
	}
	unusable, total := 0.0, 0.0
	for _, s := range jobSizes {
		if s.Size <= 0 {
			continue
		}
		size := c.geometry.roundUp(s.Size)
		usable := c.free.cellCount(size) * size.accelerators
		unusable += s.Weight * float64(c.free.accelerators-usable)
		total += s.Weight
	}
	if total == 0 {
		return 0
	}
	return unusable / total / float64(c.free.accelerators)
}
