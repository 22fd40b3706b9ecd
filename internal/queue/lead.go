package queue

import (
	"math"
	"time"
)

// leadLevelSize is the lead that makes one level, as the time in which a customer that uses exactly its share of the data
// centre receives that much service. Jobs of customers at a lower level come first. Within a level the start keys decide,
// so that short jobs come first.
const leadLevelSize = 2 * time.Hour

// toleratedLevels is the difference of levels between two customers up to which the start keys of their jobs decide on
// overtaking. Without this tolerance more jobs are preempted.
const toleratedLevels = 1

// lead measures how far customers are ahead in received service of the customer with waiting jobs that received least.
type lead struct {
	least    float64 // least service of a customer with waiting jobs, in accelerator-seconds divided by the weight
	perLevel float64 // service of one level, in accelerator-seconds divided by the weight
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
	return lead{least: least, perLevel: leadLevelSize.Seconds() * capacity / max(weights, 1)}
}

// level is the number of whole levels by which a customer is ahead, 0 when no customer has waiting jobs.
func (l lead) level(a *account) int {
	if math.IsInf(l.least, 1) {
		return 0
	}
	return int(max(0, a.service-l.least) / l.perLevel)
}

// Overtakes reports whether a waiting job may make a running borrower of the same urgency yield. The running job must have
// used its time slice. If the levels of the two customers differ by more than toleratedLevels, the customer with the lower
// level wins. Otherwise the earlier start key wins, where the running job's key includes the run time since its last
// start, ran.
func (q *Queue) Overtakes(waiting, running Entry, ran time.Duration) bool {
	if ran < minTimeSlice {
		return false
	}
	if waiting.Job.Customer != running.Job.Customer {
		l := q.newLead()
		ahead := l.level(q.account(running.Job.Customer)) - l.level(q.account(waiting.Job.Customer))
		if ahead > toleratedLevels || ahead < -toleratedLevels {
			return ahead > 0
		}
	}
	running.Attained += ran
	return startKey(waiting).Before(startKey(running))
}
