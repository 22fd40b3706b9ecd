package placement

import (
	"math/bits"
)

// workload is the sizes of jobs that are waiting, or expected, with their shares. It weighs how much a placement
// fragments the free accelerators, after the measure of Weng et al., "Beware of Fragmentation" (FGD), USENIX ATC 2023:
// the expected number of free accelerators that a job of the workload cannot use.
type workload struct {
	shapes   []Shape
	cells    []cell
	weights  []float64
	byLevel  [maxLevels]float64 // weight of in-worker blocks by level, times their size
	byWhole  []float64          // usable weight of a rack by number of whole free workers
	perRack  []float64          // weight of cells of racks, times their size
	rackSize []int              // racks per such cell
}

// SetWorkload replaces the shapes that placements keep room for, with shares as weights. Without any, the sizes of the
// guarantees and the powers of two up to 128 count equally.
func (c *Cluster) SetWorkload(shapes []Shape) {
	load := workload{shapes: shapes, byWhole: make([]float64, c.geometry.workers+1)}
	if len(shapes) == 0 {
		shapes = c.defaultShapes()
	}
	for _, s := range shapes {
		if s.Size > 0 && s.Weight > 0 {
			load.add(c.geometry, c.geometry.roundUp(s.Size), s.Weight)
		}
	}
	c.workload = load
}

// largestGang is the largest size that the default workload expects.
const largestGang = 128

func (c *Cluster) defaultShapes() []Shape {
	var shapes []Shape
	for size := 1; size <= largestGang; size *= 2 {
		shapes = append(shapes, Shape{Size: size, Weight: 1})
	}
	for _, guaranteed := range c.ledger.cells {
		shapes = append(shapes, Shape{Size: guaranteed.size, Weight: 1})
	}
	return shapes
}

// roundUp returns the smallest cell that holds n accelerators.
func (g geometry) roundUp(n int) cell {
	level := blockLevel(n)
	switch {
	case 1<<level <= g.accelerators:
		return cell{1 << level, inWorker, level}
	case n <= g.rackSize():
		units := (n + g.accelerators - 1) / g.accelerators
		return cell{units * g.accelerators, inRack, units}
	default:
		units := (n + g.rackSize() - 1) / g.rackSize()
		return cell{units * g.rackSize(), acrossRacks, units}
	}
}

func (l *workload) add(g geometry, shape cell, weight float64) {
	l.cells = append(l.cells, shape)
	l.weights = append(l.weights, weight)
	worth := weight * float64(shape.size)
	switch shape.scope {
	case inWorker:
		l.byLevel[shape.units] += worth
	case inRack:
		for whole := range l.byWhole {
			l.byWhole[whole] += worth * float64(whole/shape.units)
		}
	default:
		l.perRack = append(l.perRack, worth)
		l.rackSize = append(l.rackSize, shape.units)
	}
}

// blockLoss returns, by level of the largest free block around it, what a job of count accelerators takes from the
// cells within a worker.
func (l *workload) blockLoss(count int) [maxLevels]float64 {
	var loss [maxLevels]float64
	level := blockLevel(count)
	sum := 0.0
	rest := run(count, 1<<level-count)
	for k := range loss {
		switch {
		case k <= level:
			lost := 1<<(level-k) - bits.OnesCount64(blocks(rest, k))
			sum += l.byLevel[k] * float64(lost)
		default:
			sum += l.byLevel[k]
		}
		loss[k] = sum
	}
	return loss
}

// rackLoss is what the cells of workers and racks lose when a rack's whole free workers go from whole to less. racks
// is the number of racks that are free entirely.
func (l *workload) rackLoss(whole, less, racks int) float64 {
	last := len(l.byWhole) - 1
	loss := l.byWhole[min(whole, last)] - l.byWhole[max(0, min(less, last))]
	if whole < last || less >= last {
		return loss
	}
	for i, worth := range l.perRack {
		loss += worth * float64(racks/l.rackSize[i]-(racks-1)/l.rackSize[i])
	}
	return loss
}

// Fragmentation is the share of the free accelerators, 0 to 1, that a job of the given shapes cannot use, averaged by
// weight. It is 0 when nothing is free.
func (c *Cluster) Fragmentation(shapes []Shape) float64 {
	if c.free.accelerators == 0 {
		return 0
	}
	unusable, total := 0.0, 0.0
	for _, s := range shapes {
		if s.Size <= 0 {
			continue
		}
		size := c.geometry.roundUp(s.Size)
		usable := c.free.cells(size) * size.size
		unusable += s.Weight * float64(c.free.accelerators-usable)
		total += s.Weight
	}
	if total == 0 {
		return 0
	}
	return unusable / total / float64(c.free.accelerators)
}
