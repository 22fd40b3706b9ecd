package placement

import (
	"cmp"
	"math/bits"
)

// Place chooses accelerators for a request and changes nothing. A request whose customer has an unused guaranteed cell
// that holds it gets the smallest such cell; any other one borrows. Among the safe candidates it chooses the one that
// fragments the free accelerators least.
//
// The error has kind CannotRun when no state of the data centre could hold the request, Unavailable when it must wait
// (a guaranteed one may use preemption.Choose instead), Conflict when the job is placed already, Invalid otherwise.
func (c *Cluster) Place(r Request) (Placement, error) {
	if err := c.checkRequest(r); err != nil {
		return Placement{}, err
	}
	c.settle()
	s := c.newSearch(r)
	members, ok := s.members()
	if !ok && s.size != nil {
		return Placement{}, c.lentError(r, s.index)
	}
	if !ok {
		return Placement{}, c.noRoomError(r)
	}
	return s.placement(members), nil
}

// search is the choice for one request.
type search struct {
	*Cluster
	request Request
	index   int   // of the guaranteed cell, -1 when it borrows
	size    *cell // nil when it borrows
	limits  limits
}

func (c *Cluster) newSearch(r Request) *search {
	s := &search{Cluster: c, request: r, index: -1}
	if !r.Borrow {
		s.index = c.ledger.smallest(r.Customer, r.Accelerators)
	}
	if s.index >= 0 {
		s.size = &c.ledger.cells[s.index]
		s.limits = c.limitsAbove(s.index)
	}
	return s
}

func (s *search) placement(members []Member) Placement {
	p := Placement{Job: s.request.Job, Customer: s.request.Customer, Members: members}
	if s.size != nil {
		p.CellSize = s.size.size
	}
	return p
}

func (s *search) members() ([]Member, bool) {
	n := s.request.Accelerators
	switch {
	case n > s.free.accelerators:
		return nil, false
	case n <= s.geometry.accelerators:
		return s.inWorker()
	case s.size != nil && n > s.geometry.rackSize():
		return s.fullRacks()
	case s.size != nil:
		return s.inRack()
	}
	if members, ok := s.inRack(); ok {
		return members, true
	}
	return s.acrossRacks()
}

// limits are the larger sizes of which no cell can be spared.
type limits struct {
	level   int   // smallest such level within a worker, maxLevels when there is none
	workers []int // numbers of workers of such cells within a rack
	racks   []int // numbers of racks of such cells
}

func (c *Cluster) limitsAbove(index int) limits {
	l := limits{level: maxLevels}
	for k := index + 1; k < len(c.ledger.cells); k++ {
		if c.slack(k) > 0 {
			continue
		}
		switch size := c.ledger.cells[k]; size.scope {
		case inWorker:
			l.level = min(l.level, size.units)
		case inRack:
			l.workers = append(l.workers, size.units)
		default:
			l.racks = append(l.racks, size.units)
		}
	}
	return l
}

// allowsWorkers reports whether taken whole open workers of a rack can be held.
func (s *search) allowsWorkers(open, taken int) bool {
	last := s.geometry.workers
	before := min(open, last)
	after := min(open-taken, last)
	for _, units := range s.limits.workers {
		if before/units > after/units {
			return false
		}
	}
	return before < last || after == last || s.allowsRacks(1)
}

// allowsRacks reports whether taken whole open racks can be held.
func (s *search) allowsRacks(taken int) bool {
	open := s.open.racks[s.geometry.workers]
	for _, units := range s.limits.racks {
		if open/units > (open-taken)/units {
			return false
		}
	}
	return true
}

// allowsRack reports whether a cell of one or more whole workers can be held in a rack with open whole open workers.
func (s *search) allowsRack(open int) bool {
	if s.size.scope == inRack {
		return open >= s.size.units && s.allowsWorkers(open, s.size.units)
	}
	racks := s.open.racks[s.geometry.workers]
	return open >= s.geometry.workers && racks >= s.size.units && s.allowsRacks(s.size.units)
}

// safe reports whether the cell around an option within a worker can be held. openWhole is 0 when the worker is not
// open entirely.
func (s *search) safe(o option, openWhole int) bool {
	if s.size == nil {
		return true
	}
	if s.size.scope != inWorker {
		return openWhole > 0 && s.allowsRack(openWhole)
	}
	if o.open < s.size.units || o.open >= s.limits.level {
		return false
	}
	return openWhole == 0 || s.allowsWorkers(openWhole, 1)
}

// score orders candidates, lower first.
type score struct {
	loss      float64 // of cells for the workload
	open      int     // guaranteed cells and borrowers both use what is broken already
	freeWhole int     // racks with few free workers are filled first
	free      int     // as are workers with few free accelerators
}

func (a score) less(b score) bool {
	order := cmp.Or(
		cmp.Compare(a.loss, b.loss),
		cmp.Compare(a.open, b.open),
		cmp.Compare(a.freeWhole, b.freeWhole),
		cmp.Compare(a.free, b.free),
	)
	return order < 0
}

// inWorker chooses accelerators of one worker: it compares the classes of workers, not the workers.
func (s *search) inWorker() ([]Member, bool) {
	n := s.request.Accelerators
	loss := s.workload.blockLoss(n)
	racks := s.free.racks[s.geometry.workers]
	var best score
	var chosen Member
	found := false
	for _, g := range s.classes.live {
		if g.key.free < n {
			continue
		}
		rackLoss := 0.0
		if g.key.whole {
			rackLoss = s.workload.rackLoss(g.key.freeWhole, g.key.freeWhole-1, racks)
		}
		for _, o := range s.optionsOf(g, n) {
			candidate := score{rackLoss + loss[max(0, o.free)], o.open, g.key.freeWhole, g.key.free}
			if found && !candidate.less(best) || !s.safe(o, g.key.openWhole) {
				continue
			}
			if w, at, ok := s.find(g, o); ok {
				best, found = candidate, true
				chosen = member(w, run(at, n))
			}
		}
	}
	return []Member{chosen}, found
}

// find returns a worker of the group that may be used, and the first accelerator of the option on it.
func (s *search) find(g *group[class, *worker], o option) (*worker, int, bool) {
	n := s.request.Accelerators
	for i := len(g.items) - 1; i >= 0; i-- {
		w := g.items[i]
		if s.request.Avoid[w.id] {
			continue
		}
		for starts := s.starts(w, n); starts != 0; starts &= starts - 1 {
			at := bits.TrailingZeros64(starts)
			if w.optionAt(at, n) == o {
				return w, at, true
			}
		}
	}
	return nil, 0, false
}

func member(w *worker, mask uint64) Member {
	m := Member{Worker: w.id, Accelerators: make([]int, 0, bits.OnesCount64(mask))}
	for ; mask != 0; mask &= mask - 1 {
		m.Accelerators = append(m.Accelerators, bits.TrailingZeros64(mask))
	}
	return m
}
