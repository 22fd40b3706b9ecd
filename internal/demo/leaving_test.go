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
	leavingEvery = 5               // every fifth minion leaves, so that each data centre has leaving minions
	leavingRuns  = 4               // minimum number of requests run in leavingLoad, so that a minion that is not avoided would be offered further requests
	leavingBound = 3 * time.Second // latest offer after a minion reports that it is leaving (section 1.1 of docs/design.md, invariant 6)
	leavingWatch = 6 * time.Second // observation time for offers after the minions begin to leave
	leavingLoad  = 2 * time.Second // time before leaving over which the load of a minion is counted
)

// checkLeaving guards against a request that is offered to a minion later than 3 s after it reports that it is leaving. Half of
// the leaving minions still accept requests, so that the instances can learn of it from the reported status only.
func checkLeaving(ctx context.Context, t *testing.T, r *run) {
	loadContext, stopLoad := context.WithCancel(ctx)
	l := startLoad(loadContext, r) // in addition to the load of TestFleet, so that each minion always has requests
	defer l.group.Wait()
	defer stopLoad()
	pause(ctx, leavingLoad)
	leftAt := time.Now()
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
		load := runsBetween(report, leftAt.Add(-leavingLoad), leftAt)
		assert.Check(t, load >= leavingRuns, "minion %d ran only %d requests in the %v before it left", i, load, leavingLoad)
		least = min(least, load)
		assert.Check(t, report.LatestAfterLeaving <= leavingBound, "minion %d was offered a request %v after it began to leave", i, report.LatestAfterLeaving)
		worst = max(worst, report.LatestAfterLeaving)
	}
	fmt.Printf("latest offer to a leaving minion: %v after it began to leave; each ran at least %d requests in the %v before\n",
		worst.Round(time.Millisecond), least, leavingLoad)
}

// runsBetween returns the number of requests that a minion started within a time window.
func runsBetween(report minion.Report, from, to time.Time) int {
	n := 0
	for _, run := range report.Runs {
		if run.Started.After(from) && run.Started.Before(to) {
			n++
		}
	}
	return n
}
