package placement

import (
	"math/bits"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
)

// maxAccelerators is the largest number of accelerators of one worker, whose state is kept in 64-bit masks.
const maxAccelerators = 64

// blockMultiples[l] has a bit at each multiple of 2^l.
var blockMultiples = [...]uint64{
	^uint64(0), 0x5555555555555555, 0x1111111111111111, 0x0101010101010101, 0x0001000100010001, 0x0000000100000001, 1,
}

// geometry is the declared size of a data centre and its racks.
type geometry struct {
	workersPerRack        int
	acceleratorsPerWorker int
	declaredRacks         int
}

func newGeometry(racks spec.Racks) geometry {
	return geometry{
		workersPerRack:        max(1, racks.WorkersPerRack),
		acceleratorsPerWorker: min(max(1, racks.AcceleratorsPerWorker), maxAccelerators),
		declaredRacks:         racks.Count,
	}
}

// rackSize is the number of accelerators of a rack.
func (g geometry) rackSize() int { return g.workersPerRack * g.acceleratorsPerWorker }

// blockLevel is the level of the smallest aligned block that holds n accelerators of one worker; a block of level l has
// 2^l accelerators. The block is larger than the worker when only the whole worker holds n accelerators and the number
// per worker is not a power of two.
func blockLevel(n int) int { return bits.Len(uint(n - 1)) }

// scope tells what the cells of a size consist of.
type scope int

const (
	inWorker    scope = iota // aligned block within a worker
	inRack                   // whole workers of one rack
	acrossRacks              // whole racks
)

// cellSize is a size of guaranteed cells. units is the level of the block, the number of workers or the number of
// racks, depending on scope.
type cellSize struct {
	accelerators int
	scope        scope
	units        int
}

// classify returns the cell size of a number of accelerators. The error has kind Invalid.
func (g geometry) classify(size int) (cellSize, error) {
	switch {
	case size > 0 && size <= g.acceleratorsPerWorker && size&(size-1) == 0:
		return cellSize{size, inWorker, bits.Len(uint(size)) - 1}, nil
	case size > 0 && size%g.acceleratorsPerWorker == 0 && size <= g.rackSize():
		return cellSize{size, inRack, size / g.acceleratorsPerWorker}, nil
	case size > 0 && size%g.rackSize() == 0:
		return cellSize{size, acrossRacks, size / g.rackSize()}, nil
	}
	return cellSize{}, errkind.New(errkind.Invalid,
		"use a power of two within a worker, a whole number of workers within a rack, or a whole number of racks",
		"no cell has %d accelerators in racks with %d workers of %d accelerators",
		size, g.workersPerRack, g.acceleratorsPerWorker)
}

// cellsWithin is the number of cells of the smaller size within one of the larger size.
func (g geometry) cellsWithin(small, large cellSize) int {
	switch {
	case small.scope == large.scope && small.scope == inWorker:
		return large.accelerators / small.accelerators
	case small.scope == large.scope:
		return large.units / small.units
	case small.scope == inRack:
		return large.units * (g.workersPerRack / small.units)
	case large.scope == inRack:
		return large.units * (g.acceleratorsPerWorker >> small.units)
	default:
		return large.units * g.workersPerRack * (g.acceleratorsPerWorker >> small.units)
	}
}

// sizeChain returns the distinct sizes of the guarantees, smallest first. The error has kind Invalid and tells of a
// size that no cell can have or that does not divide the next one.
func (g geometry) sizeChain(guarantees []Guarantee) ([]cellSize, error) {
	var sizes []cellSize
	for _, guarantee := range guarantees {
		c, err := g.classify(guarantee.Size)
		if err != nil {
			return nil, err
		}
		sizes = append(sizes, c)
	}
	slices.SortFunc(sizes, func(a, b cellSize) int { return a.accelerators - b.accelerators })
	sizes = slices.Compact(sizes)
	for i := 1; i < len(sizes); i++ {
		if sizes[i].accelerators%sizes[i-1].accelerators != 0 {
			return nil, errkind.New(errkind.Invalid, "choose sizes of which each divides the next larger one",
				"guaranteed size %d does not divide guaranteed size %d", sizes[i-1].accelerators, sizes[i].accelerators)
		}
	}
	return sizes, nil
}

// blockStarts is a mask of the first bits of the aligned blocks of 2^level bits that mask contains.
func blockStarts(mask uint64, level int) uint64 {
	for l := range level {
		mask &= mask >> (1 << l)
		mask &= blockMultiples[l+1]
	}
	return mask
}

// bitRange is a mask of count bits, the lowest of which is the bit at.
func bitRange(at, count int) uint64 {
	if count >= 64 {
		return ^uint64(0) << at
	}
	return (uint64(1)<<count - 1) << at
}
