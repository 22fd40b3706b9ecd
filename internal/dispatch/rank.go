package dispatch

import (
	"cmp"
	"time"
)

// class is the first criterion in the order of waiting work: all work of a lower class goes first. When more work waits
// than the fleet can do, work that can still meet its objective goes before work that cannot.
type class int

const (
	guaranteed class  = iota // priority 0, and the customer's urgent demand is within its guarantee
	urgent                   // priority 0 beyond the guarantee; can still end within lateFactor times its objective
	onTime                   // can still end within its objective, or is permanent
	late                     // can still end within lateFactor times its objective
	overdue                  // can no longer end within lateFactor times its objective
	classCount = iota        // number of classes
)

const (
	lateFactor = 3.0 // an end within this many times the objective is late but still useful
	// priorityDelay moves work back in the order of latest starts, once for each step of lower priority. It is a fraction
	// of the slack that long jobs have, so priorities decide under high load and no work is put off for ever.
	priorityDelay = 10 * time.Second
)

// rank is a step's position in the order of waiting work.
type rank struct {
	step        *step
	class       class
	latestStart time.Time // latest start that meets the objective, moved back by the priority
	assured     bool      // late or overdue, and goes before other work that is not urgent up to setBackShare
	starved     bool      // goes before all work that is not urgent, since its kind has held nothing for starvationBound
}

// rankStep returns a step's rank.
func (s *Scheduler) rankStep(st *step, now time.Time) rank {
	o := st.occurrence
	earliestStart := o.earliestStart()
	criticalPath, remaining := s.expectedCriticalPath(o)
	objective := latencyObjective(o, criticalPath)
	r := rank{step: st, latestStart: earliestStart.Add(objective - remaining + time.Duration(o.job.queueSettings.Priority)*priorityDelay)}
	end := now.Add(remaining)
	limit := earliestStart.Add(time.Duration(lateFactor * float64(objective)))
	switch {
	case o.job.queueSettings.Priority == 0 && s.withinGuarantee(o.job):
		r.class = guaranteed
	case st.spec.Permanent:
		r.class = onTime
	case o.job.queueSettings.Priority == 0 && !end.After(limit):
		r.class = urgent
	case !end.After(earliestStart.Add(objective)):
		r.class = onTime
	case !end.After(limit):
		r.class = late
	default:
		r.class = overdue
	}
	return r
}

// withinGuarantee reports whether the urgent demand of the job's customer is within its guaranteed accelerators.
func (s *Scheduler) withinGuarantee(j *job) bool {
	c := s.config.Catalog.Get()
	return c != nil && s.urgentDemand[j.spec.Customer] <= c.Guarantee(j.spec.Customer)
}

// compareRanks orders waiting work: urgent work by class, then starved work, then assured work whatever its class, then all other work by
// class; otherwise by latest start.
func compareRanks(a, b rank) int {
	if group := cmp.Compare(a.group(), b.group()); group != 0 {
		return group
	}
	if a.group() == assuredGroup {
		return a.latestStart.Compare(b.latestStart)
	}
	return cmp.Or(cmp.Compare(a.class, b.class), a.latestStart.Compare(b.latestStart))
}

// Groups are the first criterion in the order of waiting work.
const (
	urgentGroup = iota
	starvedGroup
	assuredGroup
	otherGroup
)

func (r rank) group() int {
	switch {
	case r.class <= urgent:
		return urgentGroup
	case r.starved:
		return starvedGroup
	case r.assured:
		return assuredGroup
	}
	return otherGroup
}
