package queue

import (
	"math"
	"time"
)

// leadStep is the lead, in time of the customer's share of the data centre, at which a customer yields to those behind.
// Within one step the start keys decide, so that short jobs go first.
const leadStep = 2 * time.Hour

// tolerated is the difference of levels between customers at which start keys still decide on overtaking; fewer jobs
// are preempted than without it.
const tolerated = 1

// lead measures how far the service of customers is ahead of the one with waiting jobs that received least.
type lead struct {
	least   float64 // accelerator-seconds by weight
	perStep float64 // the same for one step
}

func (q *Queue) newLead() lead {
	least, weights := math.Inf(1), 0.0
	for _, a := range q.customers {
		if a.waiting() > 0 {
			least = min(least, a.service)
		}
		weights += a.share.weight()
	}
	capacity := float64(max(1, q.policy.Accelerators))
	return lead{least: least, perStep: leadStep.Seconds() * capacity / max(weights, 1)}
}

// level is the number of whole steps by which a customer is ahead.
func (l lead) level(a *account) int {
	if math.IsInf(l.least, 1) {
		return 0
	}
	return int(max(0, a.service-l.least) / l.perStep)
}

// Overtakes reports whether a waiting job may make a running borrower of the same urgency yield. The running one had its
// turn, and its customer is further ahead of its share by more than one step, or its start key with the service it
// attained is later and its customer is not that much further behind. ran is the time since its last start.
func (q *Queue) Overtakes(waiting, running Entry, ran time.Duration) bool {
	if ran < shortestTurn {
		return false
	}
	if waiting.Job.Customer != running.Job.Customer {
		l := q.newLead()
		ahead := l.level(q.account(running.Job.Customer)) - l.level(q.account(waiting.Job.Customer))
		if ahead > tolerated || ahead < -tolerated {
			return ahead > 0
		}
	}
	running.Attained += ran
	return startKey(waiting).Before(startKey(running))
}
