package demo

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/minion"
)

const (
	leavingEvery = 5               // every fifth minion leaves, so that each data centre has some
	leavingRuns  = 4               // at least in leavingLoad, so that a minion that is not avoided would be offered more
	leavingBound = 3 * time.Second // section 1.1, invariant 6
	leavingWatch = 6 * time.Second // how long offers are watched for
	leavingLoad  = 2 * time.Second // the load of a minion is counted over this time before it leaves
)

// checkLeaving guards against a request that is offered to a minion later than 3 s after it says that it is leaving.
// Half of the leaving minions still accept requests, so that only what they say tells the instances.
func checkLeaving(ctx context.Context, t *testing.T, r *run) {
	loadContext, stopLoad := context.WithCancel(ctx)
	l := startLoad(loadContext, r) // beside the load of the whole test, so that each minion has requests all the time
	defer l.group.Wait()
	defer stopLoad()
	pause(ctx, leavingLoad)
	began := time.Now()
	for i := 0; i < len(r.fleet.minionAddresses); i += leavingEvery {
		leaving, accept := true, i/leavingEvery%2 == 0
		assert.NilError(t, r.control(ctx, r.fleet.minionAddresses[i], "/control", minion.Control{Leaving: &leaving, AcceptLeaving: &accept}))
	}
	pause(ctx, leavingWatch)
	var worst time.Duration
	least := math.MaxInt
	for i := 0; i < len(r.fleet.minionAddresses); i += leavingEvery {
		var report minion.Report
		assert.NilError(t, getJSON(ctx, r.client, "http://"+r.fleet.minionAddresses[i]+"/report", &report))
		load := runsBetween(report, began.Add(-leavingLoad), began)
		assert.Check(t, load >= leavingRuns, "minion %d ran only %d requests in the %v before it left", i, load, leavingLoad)
		least = min(least, load)
		assert.Check(t, report.LatestAfterLeaving <= leavingBound, "minion %d was offered a request %v after it began to leave", i, report.LatestAfterLeaving)
		worst = max(worst, report.LatestAfterLeaving)
	}
	fmt.Printf("latest offer to a leaving minion: %v after it began to leave; each ran at least %d requests in the %v before\n",
		worst.Round(time.Millisecond), least, leavingLoad)
}

func runsBetween(report minion.Report, from, to time.Time) int {
	n := 0
	for _, run := range report.Runs {
		if run.Started.After(from) && run.Started.Before(to) {
			n++
		}
	}
	return n
}
