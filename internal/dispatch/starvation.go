package dispatch

import (
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Bounds against starvation. The order of classes alone lets work wait for as long as a load lasts that asks for more than the
// fleet has: work that was set back by a lost worker and can no longer end within its objective, and on small services whole
// priorities.
const (
	// setBackShare is the share of a service's accelerators up to which work of the classes late and overdue goes before other work
	// that is not urgent, the oldest first. On a service whose share is less than one accelerator, only starvationBound holds.
	setBackShare = 0.04
	// starvationBound is how long a kind of work may wait and hold nothing before a step of it goes before all work that is not
	// urgent.
	starvationBound = 15 * time.Second
)

// kind is what the bounds against starvation hold for: the work of one priority in a service, or all its work that is set back.
type kind struct {
	service  string
	priority int // 0 for work that is set back
	setBack  bool
}

// kindOf returns the kind of a job's work while it has the given class.
func kindOf(j *job, c class) kind {
	if c >= late {
		return kind{service: j.queueSettings.Service, setBack: true}
	}
	return kind{service: j.queueSettings.Service, priority: j.queueSettings.Priority}
}

// kindUse is what a kind of work holds and what the steps that were moved forward for it ask for, in the pool's scarcest resource.
type kindUse struct{ held, movedForward int64 }

// preventStarvation marks the steps that go before others that are not urgent.
func (p *plan) preventStarvation(ranks []rank) {
	uses := p.usesByKind()
	holdsNothingSince := map[kind]time.Time{}
	for _, r := range byLatestStart(ranks) {
		if r.class <= urgent {
			continue
		}
		k := kindOf(r.step.occurrence.job, r.class)
		since, known := p.scheduler.holdsNothingSince[k]
		if !known {
			since = p.now
		}
		pl := p.pools[k.service]
		if pl == nil {
			holdsNothingSince[k] = since
			continue
		}
		use := uses[k]
		if use == nil {
			use = &kindUse{}
			uses[k] = use
		}
		if use.held == 0 {
			holdsNothingSince[k] = since
			r.starved = use.movedForward == 0 && p.now.Sub(since) > starvationBound
		}
		r.assured = k.setBack && use.held+use.movedForward < int64(setBackShare*float64(pl.scarceTotal()))
		if r.starved || r.assured {
			use.movedForward += pl.scarceResource(r.step.resources()) * int64(r.step.tasksToStart(p.now))
		}
	}
	p.scheduler.holdsNothingSince = holdsNothingSince
}

// byLatestStart returns the ranks in the order of their latest starts.
func byLatestStart(ranks []rank) []*rank {
	sorted := make([]*rank, len(ranks))
	for i := range ranks {
		sorted[i] = &ranks[i]
	}
	slices.SortStableFunc(sorted, func(a, b *rank) int { return a.latestStart.Compare(b.latestStart) })
	return sorted
}

// usesByKind returns what each kind of work holds.
func (p *plan) usesByKind() map[kind]*kindUse {
	uses := map[kind]*kindUse{}
	for _, pl := range p.pools {
		for _, w := range pl.workers {
			for _, m := range w.members {
				k := kindOf(m.unit.job(), m.unit.startedAs)
				if uses[k] == nil {
					uses[k] = &kindUse{}
				}
				uses[k].held += pl.scarceResource(m.resources)
			}
		}
	}
	return uses
}

// scarceResource returns how much of the pool's scarcest resource a task needs: accelerators, at least one, or cores in a pool
// without accelerators.
func (pl *pool) scarceResource(r workload.Resources) int64 {
	if pl.accelerators == 0 {
		return max(r.CPU/1000, 1)
	}
	return max(r.Accelerators, 1)
}

// scarceTotal returns how much of its scarcest resource the pool has.
func (pl *pool) scarceTotal() int64 {
	if pl.accelerators == 0 {
		return pl.cpu / 1000
	}
	return pl.accelerators
}

// tasksToStart returns the number of the step's tasks that wait and may start now.
func (st *step) tasksToStart(now time.Time) int {
	n := 0
	for _, u := range st.units {
		if u.state == waiting && !now.Before(u.notBefore) {
			n += u.size()
		}
	}
	return n
}
