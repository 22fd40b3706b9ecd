package placement

import (
	"math/bits"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
)

// maxAccelerators bounds the accelerators of one worker: their state is one 64-bit mask.
const maxAccelerators = 64

// aligned[l] has a bit at each multiple of 2^l.
var aligned = [...]uint64{
	^uint64(0), 0x5555555555555555, 0x1111111111111111, 0x0101010101010101, 0x0001000100010001, 0x0000000100000001, 1,
}

// geometry is the declared form of a data centre's racks.
type geometry struct {
	workers      int // workers per rack
	accelerators int // accelerators per worker
	racks        int // declared racks
}

func newGeometry(racks spec.Racks) geometry {
	return geometry{
		workers:      max(1, racks.WorkersPerRack),
		accelerators: min(max(1, racks.AcceleratorsPerWorker), maxAccelerators),
		racks:        racks.Count,
	}
}

func (g geometry) rackSize() int { return g.workers * g.accelerators }

// blockLevel is the level of the smallest aligned block that holds n accelerators of one worker. Such a block
// is larger than the worker when the accelerators per worker are no power of two and only a whole worker holds n.
func blockLevel(n int) int { return bits.Len(uint(n - 1)) }

// scope is the part of the hierarchy that a size is a multiple of.
type scope int

const (
	inWorker    scope = iota // aligned block within a worker
	inRack                   // whole workers of one rack
	acrossRacks              // whole racks
)

// cell is a size of guarantees. units counts its level (2^units accelerators), workers or racks, depending on scope.
type cell struct {
	size  int
	scope scope
	units int
}

// cellOf classifies a size. The error has kind Invalid.
func (g geometry) cellOf(size int) (cell, error) {
	switch {
	case size > 0 && size <= g.accelerators && size&(size-1) == 0:
		return cell{size, inWorker, bits.Len(uint(size)) - 1}, nil
	case size > 0 && size%g.accelerators == 0 && size <= g.rackSize():
		return cell{size, inRack, size / g.accelerators}, nil
	case size > 0 && size%g.rackSize() == 0:
		return cell{size, acrossRacks, size / g.rackSize()}, nil
	}
	return cell{}, errkind.New(errkind.Invalid,
		"use a power of two within a worker, a whole number of workers within a rack, or a whole number of racks",
		"guaranteed size %d is no shape of racks with %d workers of %d accelerators", size, g.workers, g.accelerators)
}

// contained is the number of cells of the smaller size within one of the larger size.
func (g geometry) contained(small, large cell) int {
	switch {
	case small.scope == large.scope && small.scope == inWorker:
		return large.size / small.size
	case small.scope == large.scope:
		return large.units / small.units
	case small.scope == inRack:
		return large.units * (g.workers / small.units)
	case large.scope == inRack:
		return large.units * (g.accelerators >> small.units)
	default:
		return large.units * g.workers * (g.accelerators >> small.units)
	}
}

// chain returns the distinct sizes of the guarantees in rising order. The error has kind Invalid.
func (g geometry) chain(guarantees []Guarantee) ([]cell, error) {
	var cells []cell
	for _, guarantee := range guarantees {
		c, err := g.cellOf(guarantee.Size)
		if err != nil {
			return nil, err
		}
		cells = append(cells, c)
	}
	slices.SortFunc(cells, func(a, b cell) int { return a.size - b.size })
	cells = slices.Compact(cells)
	for i := 1; i < len(cells); i++ {
		if cells[i].size%cells[i-1].size != 0 {
			return nil, errkind.New(errkind.Invalid, "choose sizes of which each divides the next",
				"guaranteed sizes %d and %d do not divide one another", cells[i-1].size, cells[i].size)
		}
	}
	return cells, nil
}

// blocks keeps the lowest bit of each aligned block of 2^level set bits.
func blocks(mask uint64, level int) uint64 {
	for l := range level {
		mask &= mask >> (1 << l)
		mask &= aligned[l+1]
	}
	return mask
}

// run is a mask of count bits from the bit at.
func run(at, count int) uint64 {
	if count >= 64 {
		return ^uint64(0) << at
	}
	return (uint64(1)<<count - 1) << at
}
