// Package preemption chooses which borrowers yield for a guaranteed or urgent job.
package preemption

import (
	"cmp"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/placement"
)

// Choose returns a placement for the request with the borrowers that must yield first: fewest, then least urgent, then
// least work lost. A request with an unused guaranteed cell may displace any borrower, another one only less urgent
// borrowers and those that Request.MayPreempt names; guaranteed work never yields. It changes nothing. When nobody can
// yield, the answer is that of Cluster.Place.
func Choose(cluster *placement.Cluster, request placement.Request) (placement.Placement, error) {
	prefer := func(a, b []placement.Borrower) int { return compare(a, b, request.Now) }
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

// compare orders two sets of victims by what stopping them costs.
func compare(a, b []placement.Borrower, now time.Time) int {
	return cmp.Or(
		cmp.Compare(len(a), len(b)),
		cmp.Compare(mostUrgent(a), mostUrgent(b)),
		cmp.Compare(workLost(a, now), workLost(b, now)),
	)
}

func mostUrgent(victims []placement.Borrower) int {
	most := 0
	for _, v := range victims {
		most = max(most, v.Urgency)
	}
	return most
}

func workLost(victims []placement.Borrower, now time.Time) time.Duration {
	lost := time.Duration(0)
	for _, v := range victims {
		lost += v.WorkLost(now)
	}
	return lost
}
