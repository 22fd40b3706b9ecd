package placement

import (
	"cmp"
	"math/bits"
)

// Place chooses accelerators for a request and changes nothing. A request whose customer has an unused guaranteed cell
// that is large enough gets the smallest such cell; any other request borrows. Among the candidates that leave all
// other guaranteed cells available, Place chooses the one that fragments the free accelerators least.
//
// The error has kind CannotRun when the request exceeds the size of the data centre, Unavailable when it must wait
// (preemption.Choose may still find victims for it), Conflict when the job is placed already, Invalid otherwise.
func (c *Cluster) Place(r Request) (Placement, error) {
	if err := c.checkRequest(r); err != nil {
		return Placement{}, err
	}
	c.refreshGuarantees()
	s := c.newSearch(r)
	members, ok := s.chooseMembers()
	if !ok && s.cellSize != nil {
		return Placement{}, c.cellUnavailableError(r, s.cellIndex)
	}
	if !ok {
		return Placement{}, c.noRoomError(r)
	}
	return s.placement(members), nil
}

// search is the search for accelerators for one request.
type search struct {
	*Cluster
	request   Request
	cellIndex int         // size of the guaranteed cell as an index into guarantees.sizes, -1 when the request borrows
	cellSize  *cellSize   // size of the guaranteed cell, nil when the request borrows
	scarce    scarceSizes // scarce sizes larger than cellSize
}

func (c *Cluster) newSearch(r Request) *search {
	s := &search{Cluster: c, request: r, cellIndex: -1}
	if !r.Borrow {
		s.cellIndex = c.guarantees.smallestUnused(r.Customer, r.Accelerators)
	}
	if s.cellIndex >= 0 {
		s.cellSize = &c.guarantees.sizes[s.cellIndex]
		s.scarce = c.scarceAbove(s.cellIndex)
	}
	return s
}

func (s *search) placement(members []Member) Placement {
	p := Placement{Job: s.request.Job, Customer: s.request.Customer, Members: members}
	if s.cellSize != nil {
		p.CellSize = s.cellSize.accelerators
	}
	return p
}

func (s *search) chooseMembers() ([]Member, bool) {
	n := s.request.Accelerators
	switch {
	case n > s.free.accelerators:
		return nil, false
	case n <= s.geometry.acceleratorsPerWorker:
		return s.chooseInWorker()
	case s.cellSize != nil && n > s.geometry.rackSize():
		return s.chooseWholeRacks()
	case s.cellSize != nil:
		return s.chooseInRack()
	}
	if members, ok := s.chooseInRack(); ok {
		return members, true
	}
	return s.chooseAcrossRacks()
}

// scarceSizes are sizes of which no unreserved cell may be destroyed, because guarantees need all of them.
type scarceSizes struct {
	lowestLevel  int   // lowest level of such a block within a worker, maxLevels when there is none
	workerCounts []int // workers of each such cell within a rack
	rackCounts   []int // racks of each such cell of whole racks
}

// scarceAbove returns the scarce sizes among those larger than the given one.
func (c *Cluster) scarceAbove(cellIndex int) scarceSizes {
	scarce := scarceSizes{lowestLevel: maxLevels}
	for k := cellIndex + 1; k < len(c.guarantees.sizes); k++ {
		if c.slack(k) > 0 {
			continue
		}
		switch size := c.guarantees.sizes[k]; size.scope {
		case inWorker:
			scarce.lowestLevel = min(scarce.lowestLevel, size.units)
		case inRack:
			scarce.workerCounts = append(scarce.workerCounts, size.units)
		default:
			scarce.rackCounts = append(scarce.rackCounts, size.units)
		}
	}
	return scarce
}

// canReserveWorkers reports whether a cell can take the wanted number of the unreserved workers of a rack without
// destroying a scarce cell.
func (s *search) canReserveWorkers(unreserved, wanted int) bool {
	full := s.geometry.workersPerRack
	before := min(unreserved, full)
	after := min(unreserved-wanted, full)
	for _, units := range s.scarce.workerCounts {
		if before/units > after/units {
			return false
		}
	}
	return before < full || after == full || s.canReserveRacks(1)
}

// canReserveRacks reports whether a cell can take the wanted number of unreserved racks without destroying a scarce
// cell.
func (s *search) canReserveRacks(wanted int) bool {
	unreserved := s.unreserved.racksByWorkers[s.geometry.workersPerRack]
	for _, units := range s.scarce.rackCounts {
		if unreserved/units > (unreserved-wanted)/units {
			return false
		}
	}
	return true
}

// canReserveInRack reports whether a cell of whole workers or racks can be reserved that includes workers of a rack
// with that many unreserved workers.
func (s *search) canReserveInRack(unreserved int) bool {
	if s.cellSize.scope == inRack {
		return unreserved >= s.cellSize.units && s.canReserveWorkers(unreserved, s.cellSize.units)
	}
	racks := s.unreserved.racksByWorkers[s.geometry.workersPerRack]
	return unreserved >= s.geometry.workersPerRack && racks >= s.cellSize.units && s.canReserveRacks(s.cellSize.units)
}

// canReserve reports whether the cell around an option within a worker can be reserved. rackUnreserved is the number of
// unreserved workers of the rack, 0 when the worker itself is partly reserved.
func (s *search) canReserve(o option, rackUnreserved int) bool {
	if s.cellSize == nil {
		return true
	}
	if s.cellSize.scope != inWorker {
		return rackUnreserved > 0 && s.canReserveInRack(rackUnreserved)
	}
	if o.unreservedLevel < s.cellSize.units || o.unreservedLevel >= s.scarce.lowestLevel {
		return false
	}
	return rackUnreserved == 0 || s.canReserveWorkers(rackUnreserved, 1)
}

// score rates a candidate. The lowest score wins; its fields are compared in order.
type score struct {
	fragmentation   float64 // loss of cells that the workload could use
	unreservedLevel int     // level of the unreserved block around it: blocks that are broken already are used first
	rackFreeWorkers int     // free workers of the rack: racks with few of them are filled first
	workerFree      int     // free accelerators of the worker: workers with few of them are filled first
}

func (a score) less(b score) bool {
	order := cmp.Or(
		cmp.Compare(a.fragmentation, b.fragmentation),
		cmp.Compare(a.unreservedLevel, b.unreservedLevel),
		cmp.Compare(a.rackFreeWorkers, b.rackFreeWorkers),
		cmp.Compare(a.workerFree, b.workerFree),
	)
	return order < 0
}

// chooseInWorker chooses accelerators of one worker. It compares classes of workers, not single workers.
func (s *search) chooseInWorker() ([]Member, bool) {
	n := s.request.Accelerators
	loss := s.workload.blockLoss(n)
	racks := s.free.racksByWorkers[s.geometry.workersPerRack]
	var best score
	var chosen Member
	found := false
	for _, g := range s.workerClasses.nonEmpty {
		if g.key.freeAccelerators < n {
			continue
		}
		rackLoss := 0.0
		if g.key.entirelyFree {
			rackLoss = s.workload.rackLoss(g.key.rackFreeWorkers, g.key.rackFreeWorkers-1, racks)
		}
		for _, o := range s.optionsOf(g, n) {
			candidate := score{
				rackLoss + loss[max(0, o.freeLevel)], o.unreservedLevel, g.key.rackFreeWorkers, g.key.freeAccelerators,
			}
			if found && !candidate.less(best) || !s.canReserve(o, g.key.rackUnreserved) {
				continue
			}
			if w, at, ok := s.findWorker(g, o); ok {
				best, found = candidate, true
				chosen = newMember(w, bitRange(at, n))
			}
		}
	}
	return []Member{chosen}, found
}

// findWorker returns a worker of the group that the request need not avoid, and the first accelerator of the option on
// it.
func (s *search) findWorker(g *group[workerClass, *worker], o option) (*worker, int, bool) {
	n := s.request.Accelerators
	for i := len(g.items) - 1; i >= 0; i-- {
		w := g.items[i]
		if s.request.Avoid[w.id] {
			continue
		}
		for starts := s.freeStarts(w, n); starts != 0; starts &= starts - 1 {
			at := bits.TrailingZeros64(starts)
			if w.optionAt(at, n) == o {
				return w, at, true
			}
		}
	}
	return nil, 0, false
}

func newMember(w *worker, mask uint64) Member {
	m := Member{Worker: w.id, Accelerators: make([]int, 0, bits.OnesCount64(mask))}
	for ; mask != 0; mask &= mask - 1 {
		m.Accelerators = append(m.Accelerators, bits.TrailingZeros64(mask))
	}
	return m
}
