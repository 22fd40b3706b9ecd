package placement

import (
	"iter"
	"math/bits"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Borrower is a job that can be preempted.
type Borrower struct {
	Job structs.JobID
	Attributes
	Accelerators int
}

// WorkLost is the accelerator time that preemption would waste: the time since the job's last checkpoint or start,
// times its accelerators. It is 0 when the job writes a checkpoint before it stops.
func (b Borrower) WorkLost(now time.Time) time.Duration {
	if b.Checkpoints || now.Before(b.SavedAt) {
		return 0
	}
	return now.Sub(b.SavedAt) * time.Duration(b.Accelerators)
}

// Eviction is a choice of accelerators that are free once its victims have stopped. It is valid until the cluster
// changes.
type Eviction struct {
	Victims []Borrower // valid until the next step of the iteration
	search  *search
	parts   []part
}

// Placement returns the choice as a placement.
func (e Eviction) Placement() Placement {
	var members []Member
	for _, p := range e.parts {
		members = append(members, newMember(p.worker, p.mask))
	}
	placement := e.search.placement(members)
	for _, v := range e.Victims {
		placement.Victims = append(placement.Victims, v.Job)
	}
	return placement
}

// VictimOrder compares two sets of victims. A negative result means that preempting a is better than preempting b.
type VictimOrder func(a, b []Borrower) int

// Evictions iterates over the choices that a request has when borrowers are preempted. A request with an unused
// guaranteed cell may preempt all borrowers; any other request only less urgent ones and those that Request.MayPreempt
// allows. Workers of a gang are chosen one by one in the order of compareVictims. The errors are those of Place for
// requests that can never be placed.
func (c *Cluster) Evictions(r Request, compareVictims VictimOrder) (iter.Seq[Eviction], error) {
	if err := c.checkRequest(r); err != nil {
		return nil, err
	}
	c.refreshGuarantees()
	s := c.newSearch(r)
	e := &evictions{search: s, compareVictims: compareVictims}
	switch {
	case !e.canFreeEnough():
		return func(func(Eviction) bool) {}, nil
	case r.Accelerators <= c.geometry.acceleratorsPerWorker:
		return e.yieldBlocks, nil
	case r.Accelerators <= c.geometry.rackSize():
		return e.yieldInRacks, nil
	default:
		return e.yieldAcrossRacks, nil
	}
}

// evictions enumerates the choices for one request.
type evictions struct {
	*search
	compareVictims VictimOrder
	victims        []Borrower // victims of the choice at hand
}

// canFreeEnough reports whether the free accelerators and those of borrowers that may be preempted add up to the
// request. This cheap check avoids the search for most waiting jobs.
func (e *evictions) canFreeEnough() bool {
	if e.cellSize != nil || e.request.MayPreempt != nil {
		return true
	}
	total := e.free.accelerators
	for urgency := range min(max(0, e.request.Urgency), len(e.borrowed)) {
		total += e.borrowed[urgency]
	}
	return total >= e.request.Accelerators && total > e.free.accelerators
}

// evictable reports whether the request may preempt a job.
func (e *evictions) evictable(j *job) bool {
	if j.cellIndex >= 0 {
		return false
	}
	if e.cellSize != nil || j.Urgency < e.request.Urgency {
		return true
	}
	return j.Urgency == e.request.Urgency && e.request.MayPreempt != nil && e.request.MayPreempt(j.placement.Job)
}

// addVictims adds the users of the masked accelerators to the victims. It returns false when one of them must not be
// preempted.
func (e *evictions) addVictims(w *worker, mask uint64) bool {
	for busy := mask &^ w.free; busy != 0; busy &= busy - 1 {
		j := w.usedBy[bits.TrailingZeros64(busy)]
		if j == nil || !e.evictable(j) {
			return false
		}
		known := slices.ContainsFunc(e.victims, func(b Borrower) bool { return b.Job == j.placement.Job })
		if !known {
			e.victims = append(e.victims, Borrower{j.placement.Job, j.Attributes, j.accelerators})
		}
	}
	return true
}

// yieldBlocks yields the blocks of single workers that hold the request.
func (e *evictions) yieldBlocks(yield func(Eviction) bool) {
	n := e.request.Accelerators
	step := 1 << blockLevel(n)
	for _, r := range e.sortedRacks {
		for _, w := range r.workers {
			if w.lost || e.request.Avoid[w.id] {
				continue
			}
			for at := 0; at+n <= w.accelerators && (at == 0 || at+step <= w.accelerators); at += step {
				if !e.yieldBlock(w, at, yield) {
					return
				}
			}
		}
	}
}

// yieldBlock yields one block if it can be freed, and reports whether the iteration goes on.
func (e *evictions) yieldBlock(w *worker, at int, yield func(Eviction) bool) bool {
	mask := bitRange(at, e.request.Accelerators)
	e.victims = e.victims[:0]
	if !e.addVictims(w, mask) || e.cellSize != nil && !e.canReserve(w.optionAt(at, 1), e.rackUnreserved(w)) {
		return true
	}
	return yield(Eviction{e.victims, e.search, []part{{w, mask}}})
}

// rackUnreserved is the number of unreserved workers of the rack of w, 0 when w itself is partly reserved.
func (e *evictions) rackUnreserved(w *worker) int {
	if e.entirelyUnreserved(w) {
		return w.rack.unreservedWorkers
	}
	return 0
}
