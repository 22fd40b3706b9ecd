package placement

import (
	"iter"
	"math/bits"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Borrower is a job that can be made to yield.
type Borrower struct {
	Job structs.JobID
	Attributes
	Accelerators int
}

// WorkLost is the accelerator time since the job last saved its work, 0 when it saves it before it stops.
func (b Borrower) WorkLost(now time.Time) time.Duration {
	if b.Checkpoints || now.Before(b.SavedAt) {
		return 0
	}
	return now.Sub(b.SavedAt) * time.Duration(b.Accelerators)
}

// Eviction is a choice of accelerators that is free once its victims have yielded. It is valid until the cluster
// changes.
type Eviction struct {
	Victims []Borrower // reused by the iteration
	search  *search
	parts   []part
}

// Placement returns the choice as a placement.
func (e Eviction) Placement() Placement {
	var members []Member
	for _, p := range e.parts {
		members = append(members, member(p.worker, p.mask))
	}
	placement := e.search.placement(members)
	for _, v := range e.Victims {
		placement.Victims = append(placement.Victims, v.Job)
	}
	return placement
}

// Prefer compares two sets of victims; a negative result means that a should yield rather than b.
type Prefer func(a, b []Borrower) int

// Evictions iterates over the choices that a request has when borrowers yield: all borrowers for a request with an
// unused guaranteed cell, less urgent ones and those that Request.MayPreempt names for any other. Within a rack the
// workers are chosen by prefer, one by one.
// The error is that of Place for a request that could never run.
func (c *Cluster) Evictions(r Request, prefer Prefer) (iter.Seq[Eviction], error) {
	if err := c.checkRequest(r); err != nil {
		return nil, err
	}
	c.settle()
	s := c.newSearch(r)
	e := &evictions{search: s, prefer: prefer}
	switch {
	case !e.enough():
		return func(func(Eviction) bool) {}, nil
	case r.Accelerators <= c.geometry.accelerators:
		return e.inWorkers, nil
	case r.Accelerators <= c.geometry.rackSize():
		return e.inRacks, nil
	default:
		return e.overRacks, nil
	}
}

// evictions enumerates the choices for one request.
type evictions struct {
	*search
	prefer  Prefer
	victims []Borrower
}

// enough reports whether borrowers that may yield and what is free add up to the request. It spares most waiting jobs
// the search.
func (e *evictions) enough() bool {
	if e.size != nil || e.request.MayPreempt != nil {
		return true
	}
	total := e.free.accelerators
	for urgency := range min(max(0, e.request.Urgency), len(e.lent)) {
		total += e.lent[urgency]
	}
	return total >= e.request.Accelerators && total > e.free.accelerators
}

// evictable reports whether a job may be made to yield.
func (e *evictions) evictable(j *job) bool {
	if j.cell >= 0 {
		return false
	}
	if e.size != nil || j.Urgency < e.request.Urgency {
		return true
	}
	return j.Urgency == e.request.Urgency && e.request.MayPreempt != nil && e.request.MayPreempt(j.placement.Job)
}

// gather adds the users of the masked accelerators to the victims. It reports false when one may not yield.
func (e *evictions) gather(w *worker, mask uint64) bool {
	for busy := mask &^ w.free; busy != 0; busy &= busy - 1 {
		j := w.owner[bits.TrailingZeros64(busy)]
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

func (e *evictions) inWorkers(yield func(Eviction) bool) {
	n := e.request.Accelerators
	step := 1 << blockLevel(n)
	for _, r := range e.order {
		for _, w := range r.workers {
			if w.lost || e.request.Avoid[w.id] {
				continue
			}
			for at := 0; at+n <= w.count && (at == 0 || at+step <= w.count); at += step {
				if !e.tryBlock(w, at, yield) {
					return
				}
			}
		}
	}
}

// tryBlock yields one block and reports whether the iteration goes on.
func (e *evictions) tryBlock(w *worker, at int, yield func(Eviction) bool) bool {
	mask := run(at, e.request.Accelerators)
	e.victims = e.victims[:0]
	if !e.gather(w, mask) || e.size != nil && !e.safe(w.optionAt(at, 1), e.openWholeOf(w)) {
		return true
	}
	return yield(Eviction{e.victims, e.search, []part{{w, mask}}})
}

// openWholeOf is the number of whole open workers of the rack of w when w is one of them, 0 otherwise.
func (e *evictions) openWholeOf(w *worker) int {
	if e.wholeOpen(w) {
		return w.rack.openWhole
	}
	return 0
}
