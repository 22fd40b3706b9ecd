// Package preemption chooses the borrowers that must yield their accelerators to a guaranteed or more urgent job.
package preemption

import (
	"cmp"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/placement"
)

// Choose returns a placement for the request with the borrowers that must yield before it can start. It prefers fewer
// victims, then less urgent ones, then those that lose less work. A request that its customer's unused guaranteed cell
// covers may preempt any borrower; any other request may preempt less urgent borrowers and those that Request.MayPreempt
// accepts. Guaranteed work never yields. When no borrowers can make room, Choose returns the result of Cluster.Place. It
// does not change the cluster.
func Choose(cluster *placement.Cluster, request placement.Request) (placement.Placement, error) {
	prefer := func(a, b []placement.Borrower) int { return compareVictims(a, b, request.Now) }
	evictions, err := cluster.Evictions(request, prefer)
	if err != nil {
		return placement.Placement{}, err
	}
	var best placement.Placement
	var victims []placement.Borrower
	found := false
	for eviction := range evictions {
		if found && prefer(eviction.Victims, victims) >= 0 {
			continue
		}
		found = true
		best = eviction.Placement()
		victims = append(victims[:0], eviction.Victims...)
		if len(victims) == 0 {
			break
		}
	}
	if !found {
		return cluster.Place(request)
	}
	return best, nil
}

// compareVictims orders two sets of victims by the cost of stopping them.
func compareVictims(a, b []placement.Borrower, now time.Time) int {
	return cmp.Or(
		cmp.Compare(len(a), len(b)),
		cmp.Compare(highestUrgency(a), highestUrgency(b)),
		cmp.Compare(totalWorkLost(a, now), totalWorkLost(b, now)),
	)
}

// highestUrgency returns the urgency of the most urgent victim.
func highestUrgency(victims []placement.Borrower) int {
	highest := 0
	for _, v := range victims {
		highest = max(highest, v.Urgency)
	}
	return highest
}

// totalWorkLost returns the accelerator time that stopping the victims would lose.
func totalWorkLost(victims []placement.Borrower, now time.Time) time.Duration {
	lost := time.Duration(0)
	for _, v := range victims {
		lost += v.WorkLost(now)
	}
	return lost
}
