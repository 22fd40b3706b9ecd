package dispatch

import "time"

// Bounds against starvation. The order of classes alone lets work wait for as long as a load lasts that asks for more than the
// fleet has: work that was set back by a lost worker and can no longer end within its objective, and on small services whole
// priorities.
const (
	// setBackShare is the share of a service's accelerators up to which single tasks of the classes late and overdue go before other
	// work that is not urgent, the oldest first, and the same for gangs. On a service whose share is less than one accelerator, only
	// starvationBound holds.
	setBackShare = 0.04
	// starvationBound is how long a kind of work may wait and hold nothing before a step of it goes before all work that is not
	// urgent.
	starvationBound = 15 * time.Second
)

// kind is what the bounds against starvation hold for: the work of one priority in a service, or all its single tasks or gangs that
// are set back.
type kind struct {
	service  string
	priority int // 0 for work that is set back
	setBack  bool
	gang     bool // false for work that is not set back
}

// kindOf returns the kind of a step's work while it has the given class.
func kindOf(st *step, c class) kind {
	settings := st.occurrence.job.queueSettings
	if c >= late {
		return kind{service: settings.Service, setBack: true, gang: st.spec.Gang}
	}
	return kind{service: settings.Service, priority: settings.Priority}
}

// preventStarvation returns the ranks, marks those of starved work, and adds a second one for each step that was set back, with which
// the step goes before other work as far as the share of its kind allows.
func (p *plan) preventStarvation(ranks []rank) []rank {
	p.countHeld()
	first := map[kind]*rank{} // of each kind that holds nothing, the rank that goes first
	for i := range ranks {
		r := &ranks[i]
		k := kindOf(r.step, r.class)
		if r.class > urgent && p.held[k] == 0 && (first[k] == nil || compareRanks(*r, *first[k]) < 0) {
			first[k] = r
		}
	}
	holdsNothingSince := map[kind]time.Time{}
	for k, r := range first {
		since, known := p.scheduler.holdsNothingSince[k]
		if !known {
			since = p.now
		}
		holdsNothingSince[k] = since
		r.starved = p.now.Sub(since) > starvationBound
	}
	p.scheduler.holdsNothingSince = holdsNothingSince
	for _, r := range ranks {
		if r.class >= late {
			r.assured, r.starved = true, false
			ranks = append(ranks, r)
		}
	}
	return ranks
}

// countHeld counts what each kind of work holds, in its pool's scarcest resource.
func (p *plan) countHeld() {
	for _, pl := range p.pools {
		for _, w := range pl.workers {
			for _, m := range w.members {
				p.held[kindOf(m.unit.step, m.unit.startedAs)] += pl.scarceResource(m.resources)
			}
		}
	}
}

// shareIsFull reports whether work that was set back holds what it is assured of.
func (p *plan) shareIsFull(pl *pool, r rank) bool {
	return p.held[kindOf(r.step, r.class)] >= int64(setBackShare*float64(pl.scarceTotal()))
}

// noteHeld notes that a unit of rank r holds resources from now on.
func (p *plan) noteHeld(pl *pool, u *unit, r rank) {
	u.startedAs = r.class
	k := kindOf(u.step, r.class)
	p.held[k] += pl.scarceResource(u.step.resources()) * int64(u.size())
	delete(p.scheduler.holdsNothingSince, k)
}
