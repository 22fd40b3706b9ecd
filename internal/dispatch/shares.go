package dispatch

import "time"

// Shares of a service's accelerators that work keeps although other work goes before it in the order. On days that ask for more
// than the fleet has, the order alone would leave the least urgent kind without anything, and work that was set back by a lost
// worker would wait until the load ends.
const (
	priorityShare = 0.1  // for each priority but the highest, for work that can still end in time to be of use
	overdueShare  = 0.04 // for work of all priorities that no longer can
)

// shareUse is what work that has a share holds and has been promised, in accelerators.
type shareUse struct{ held, promised int64 }

// assureShares marks the steps that go before others since their kind of work holds less than its share of the service. Steps are
// marked in the order of waiting work until what they ask for would fill the share.
func (p *plan) assureShares(ranks []rank) {
	uses := map[shareKey]*shareUse{}
	for _, pl := range p.pools {
		for _, w := range pl.workers {
			for _, m := range w.members {
				key := shareKey{pl, m.unit.job().queueSettings.Priority, m.unit.startedOverdue}
				key.use(uses).held += m.resources.Accelerators
			}
		}
	}
	for i := range ranks {
		r := &ranks[i]
		pl := p.pools[r.step.occurrence.job.queueSettings.Service]
		if pl == nil || r.class <= urgent {
			continue
		}
		share := priorityShare
		if r.class == overdue {
			share = overdueShare
		}
		use := shareKey{pl, r.step.occurrence.job.queueSettings.Priority, r.class == overdue}.use(uses)
		if use.held+use.promised >= int64(share*float64(pl.accelerators)) {
			continue
		}
		r.assured = true
		use.promised += r.step.waitingAccelerators(p.now)
	}
}

// shareKey identifies work that has a share of its own: that of one priority, or all overdue work.
type shareKey struct {
	pool     *pool
	priority int
	overdue  bool
}

// use returns the use of the work's share.
func (k shareKey) use(uses map[shareKey]*shareUse) *shareUse {
	if k.overdue {
		k.priority = 0
	}
	if uses[k] == nil {
		uses[k] = &shareUse{}
	}
	return uses[k]
}

// waitingAccelerators returns the accelerators that the step's units that may start now ask for.
func (st *step) waitingAccelerators(now time.Time) int64 {
	n := int64(0)
	for _, u := range st.units {
		if u.state == waiting && !now.Before(u.notBefore) {
			n += st.spec.Resources.Accelerators * int64(u.size())
		}
	}
	return n
}
