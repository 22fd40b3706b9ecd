package placement

import (
	"math/bits"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// reserveCell gives j a guaranteed cell that contains its accelerators. It changes nothing and reports false when there
// is no such cell, or when holding it would leave more guaranteed cells missing.
func (c *Cluster) reserveCell(j *job, sizeIndex int) bool {
	cellParts, ok := c.cellAround(j.parts, c.guarantees.sizes[sizeIndex])
	if !ok {
		return false
	}
	before := c.slacks()
	c.assignCell(j, sizeIndex, cellParts)
	if c.missingGrew(before) {
		c.releaseCell(j)
		return false
	}
	return true
}

// assignCell turns the borrower j into the holder of a guaranteed cell.
func (c *Cluster) assignCell(j *job, sizeIndex int, cellParts []part) {
	c.addBorrowed(j, -1)
	j.cellIndex = sizeIndex
	j.placement.CellSize = c.guarantees.sizes[sizeIndex].accelerators
	j.cellParts = cellParts
	c.guarantees.addUnused(j.placement.Customer, sizeIndex, -1)
	c.setReservedBy(j, j)
}

// releaseCell turns j into a borrower and returns its cell to the unused ones of its customer.
func (c *Cluster) releaseCell(j *job) {
	if j.cellIndex < 0 {
		return
	}
	c.guarantees.addUnused(j.placement.Customer, j.cellIndex, 1)
	c.setReservedBy(j, nil)
	j.cellIndex = -1
	j.placement.CellSize = 0
	j.cellParts = nil
	c.addBorrowed(j, 1)
}

// addBorrowed adds the accelerators of j to the borrowed ones, or subtracts them when sign is -1.
func (c *Cluster) addBorrowed(j *job, sign int) {
	c.borrowed[min(max(0, j.Urgency), structs.MaxUrgency)] += sign * j.accelerators
}

// setReservedBy records holder as the job whose cell contains the accelerators of j's cell; nil frees them.
func (c *Cluster) setReservedBy(j, holder *job) {
	for _, p := range j.cellParts {
		for mask := p.mask; mask != 0; mask &= mask - 1 {
			p.worker.reservedBy[bits.TrailingZeros64(mask)] = holder
		}
		c.updateMasks(p.worker)
		if holder == nil {
			c.dropIfUnused(p.worker)
		}
	}
}

// cellAround returns the accelerators of an unreserved cell that contains parts: the aligned block, or the workers or
// racks of parts and as many others as the cell needs.
func (c *Cluster) cellAround(parts []part, size cellSize) ([]part, bool) {
	switch size.scope {
	case inWorker:
		return blockAround(parts, size)
	case inRack:
		return c.workersAround(parts, size)
	default:
		return c.racksAround(parts, size)
	}
}

// blockAround returns the aligned block within one worker that contains parts.
func blockAround(parts []part, size cellSize) ([]part, bool) {
	if len(parts) != 1 {
		return nil, false
	}
	p := parts[0]
	at := bits.TrailingZeros64(p.mask) &^ (size.accelerators - 1)
	block := bitRange(at, size.accelerators)
	ok := p.mask != 0 && p.mask&^block == 0 && block&^p.worker.unreserved == 0
	return []part{{p.worker, block}}, ok
}

func (c *Cluster) entirelyUnreserved(w *worker) bool {
	return w.unreserved == bitRange(0, c.geometry.acceleratorsPerWorker)
}

// workersAround returns size.units unreserved workers of one rack, those of parts among them.
func (c *Cluster) workersAround(parts []part, size cellSize) ([]part, bool) {
	r := parts[0].worker.rack
	var region []part
	included := map[structs.WorkerID]bool{}
	for _, p := range parts {
		if p.worker.rack != r || !c.entirelyUnreserved(p.worker) {
			return nil, false
		}
		included[p.worker.id] = true
		region = append(region, part{p.worker, p.worker.unreserved})
	}
	for _, w := range r.workers {
		if len(region) < size.units && !included[w.id] && c.entirelyUnreserved(w) {
			region = append(region, part{w, w.unreserved})
		}
	}
	return region, len(region) == size.units
}

// racksAround returns size.units unreserved racks, those of parts among them.
func (c *Cluster) racksAround(parts []part, size cellSize) ([]part, bool) {
	var racks []*rack
	included := map[structs.RackID]bool{}
	for _, p := range parts {
		r := p.worker.rack
		if !included[r.id] {
			included[r.id] = true
			racks = append(racks, r)
		}
	}
	for _, r := range c.sortedRacks {
		if len(racks) < size.units && !included[r.id] && r.unreservedWorkers >= c.geometry.workersPerRack {
			racks = append(racks, r)
		}
	}
	if len(racks) != size.units {
		return nil, false
	}
	return c.wholeRacks(racks, parts)
}

// wholeRacks returns the declared number of unreserved workers of each rack, those of parts among them.
func (c *Cluster) wholeRacks(racks []*rack, parts []part) ([]part, bool) {
	var region []part
	for _, r := range racks {
		var inside []part
		for _, p := range parts {
			if p.worker.rack == r {
				inside = append(inside, p)
			}
		}
		rest, ok := c.rackAround(r, inside)
		if !ok {
			return nil, false
		}
		region = append(region, rest...)
	}
	return region, true
}

// rackAround returns the declared number of unreserved workers of a rack, those of inside among them.
func (c *Cluster) rackAround(r *rack, inside []part) ([]part, bool) {
	whole := cellSize{scope: inRack, units: c.geometry.workersPerRack}
	if len(inside) > 0 {
		return c.workersAround(inside, whole)
	}
	for _, w := range r.workers {
		if c.entirelyUnreserved(w) {
			return c.workersAround([]part{{w, w.unreserved}}, whole)
		}
	}
	return nil, false
}
