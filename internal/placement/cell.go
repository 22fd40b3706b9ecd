package placement

import (
	"math/bits"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// openCell lets j hold a cell of size i around its accelerators. It changes nothing and reports false when there is
// none that leaves the other guarantees whole.
func (c *Cluster) openCell(j *job, i int) bool {
	region, ok := c.region(j.parts, c.ledger.cells[i])
	if !ok {
		return false
	}
	before := c.slacks()
	c.hold(j, i, region)
	if c.worse(before) {
		c.closeCell(j)
		return false
	}
	return true
}

func (c *Cluster) hold(j *job, i int, region []part) {
	c.lend(j, -1)
	j.cell = i
	j.placement.CellSize = c.ledger.cells[i].size
	j.held = region
	c.ledger.addUnused(j.placement.Customer, i, -1)
	c.mark(j, j)
}

// closeCell makes j a borrower. The cell becomes an unused one of its customer.
func (c *Cluster) closeCell(j *job) {
	if j.cell < 0 {
		return
	}
	c.ledger.addUnused(j.placement.Customer, j.cell, 1)
	c.mark(j, nil)
	j.cell = -1
	j.placement.CellSize = 0
	j.held = nil
	c.lend(j, 1)
}

// lend counts the accelerators of a borrower.
func (c *Cluster) lend(j *job, sign int) {
	c.lent[min(max(0, j.Urgency), structs.MaxUrgency)] += sign * j.accelerators
}

// mark sets the holder of the accelerators of the cell of j.
func (c *Cluster) mark(j, holder *job) {
	for _, p := range j.held {
		for mask := p.mask; mask != 0; mask &= mask - 1 {
			p.worker.cells[bits.TrailingZeros64(mask)] = holder
		}
		c.refresh(p.worker)
		if holder == nil {
			c.forgetIfUnused(p.worker)
		}
	}
}

// region returns the accelerators of an open cell around parts: the aligned block, or the touched workers or racks and
// as many others as the cell needs.
func (c *Cluster) region(parts []part, size cell) ([]part, bool) {
	switch size.scope {
	case inWorker:
		return blockAround(parts, size)
	case inRack:
		return c.workersAround(parts, size)
	default:
		return c.racksAround(parts, size)
	}
}

func blockAround(parts []part, size cell) ([]part, bool) {
	if len(parts) != 1 {
		return nil, false
	}
	p := parts[0]
	at := bits.TrailingZeros64(p.mask) &^ (size.size - 1)
	block := run(at, size.size)
	ok := p.mask != 0 && p.mask&^block == 0 && block&^p.worker.open == 0
	return []part{{p.worker, block}}, ok
}

func (c *Cluster) wholeOpen(w *worker) bool { return w.open == run(0, c.geometry.accelerators) }

func (c *Cluster) workersAround(parts []part, size cell) ([]part, bool) {
	r := parts[0].worker.rack
	var region []part
	taken := map[structs.WorkerID]bool{}
	for _, p := range parts {
		if p.worker.rack != r || !c.wholeOpen(p.worker) {
			return nil, false
		}
		taken[p.worker.id] = true
		region = append(region, part{p.worker, p.worker.open})
	}
	for _, w := range r.workers {
		if len(region) < size.units && !taken[w.id] && c.wholeOpen(w) {
			region = append(region, part{w, w.open})
		}
	}
	return region, len(region) == size.units
}

func (c *Cluster) racksAround(parts []part, size cell) ([]part, bool) {
	var racks []*rack
	taken := map[structs.RackID]bool{}
	for _, p := range parts {
		r := p.worker.rack
		if !taken[r.id] {
			taken[r.id] = true
			racks = append(racks, r)
		}
	}
	for _, r := range c.order {
		if len(racks) < size.units && !taken[r.id] && r.openWhole >= c.geometry.workers {
			racks = append(racks, r)
		}
	}
	if len(racks) != size.units {
		return nil, false
	}
	return c.wholeRacks(racks, parts)
}

// wholeRacks returns all open workers of racks, the declared number of each with those of parts among them.
func (c *Cluster) wholeRacks(racks []*rack, parts []part) ([]part, bool) {
	var region []part
	for _, r := range racks {
		var inside []part
		for _, p := range parts {
			if p.worker.rack == r {
				inside = append(inside, p)
			}
		}
		rest, ok := c.workersOf(r, inside)
		if !ok {
			return nil, false
		}
		region = append(region, rest...)
	}
	return region, true
}

func (c *Cluster) workersOf(r *rack, inside []part) ([]part, bool) {
	whole := cell{scope: inRack, units: c.geometry.workers}
	if len(inside) > 0 {
		return c.workersAround(inside, whole)
	}
	for _, w := range r.workers {
		if c.wholeOpen(w) {
			return c.workersAround([]part{{w, w.open}}, whole)
		}
	}
	return nil, false
}
