package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// class orders waiting work: all of a lower class goes first. It answers days on which more is asked for than the fleet can
// do: work that can still be of use goes before work that cannot.
type class int

const (
	guaranteed class = iota // urgent, and its customer's urgent jobs need no more than the customer's guarantee
	urgent                  // of the most urgent queues, beyond the guarantee
	onTime                  // can still end within its objective
	late                    // can still end within lateFactor times its objective
	overdue                 // no longer of use in time
	classes    = iota
)

const (
	lateFactor = 3.0 // an end within this many times the objective still counts for something
	// priorityStep moves work of each lower priority back in the order of latest starts. It is a fraction of the slack that
	// long jobs have, so that priorities decide under high load and none is put off for ever.
	priorityStep = 10 * time.Second
)

// rank is a step's place in the order of waiting work.
type rank struct {
	step  *step
	class class
	start time.Time // latest start that keeps the objective
}

// rankStep places a step in the order of waiting work.
func (s *Scheduler) rankStep(st *step, now time.Time) rank {
	o := st.occurrence
	begin := o.due
	if begin.IsZero() {
		begin = o.job.spec.Submitted
	}
	whole, remaining := s.chain(o)
	objective := objective(o, whole)
	r := rank{step: st, start: begin.Add(objective - remaining + time.Duration(o.job.terms.Priority)*priorityStep)}
	end := now.Add(remaining)
	limit := begin.Add(time.Duration(lateFactor * float64(objective)))
	switch {
	case o.job.terms.Priority == 0 && s.withinGuarantee(o.job):
		r.class = guaranteed
	case st.spec.Permanent:
		r.class = onTime
	case o.job.terms.Priority == 0 && !end.After(limit):
		r.class = urgent
	case !end.After(begin.Add(objective)):
		r.class = onTime
	case !end.After(limit):
		r.class = late
	default:
		r.class = overdue
	}
	return r
}

// withinGuarantee reports whether the urgent jobs of the job's customer need no more than the customer's guarantee.
func (s *Scheduler) withinGuarantee(j *job) bool {
	c := s.c.Catalog.Get()
	return c != nil && s.loads[j.spec.Customer] <= c.Guarantee(j.spec.Customer)
}

// sortRanks orders waiting work.
func sortRanks(ranks []rank) {
	slices.SortStableFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.start.Compare(b.start))
	})
}
