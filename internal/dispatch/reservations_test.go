package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// gangOf returns a job of one gang of n tasks with 8 accelerators each, in one rack.
func gangOf(number, n int) *workload.Job {
	step := stepOf(n)
	step.Resources.Accelerators, step.Gang, step.SameRack = 8, true, true
	return singleStepJob(number, step)
}

// endAll reports that all runs on a worker ended well.
func (h *harness) endAll(w *worker) {
	h.t.Helper()
	var ends []EndReport
	for i, r := range h.runsOn(w) {
		ends = append(ends, EndReport{w.lastHandledEnd + int64(i) + 1, r.Task, r.Run, EndDone, ""})
	}
	h.report(w, HeartbeatReport{Ended: ends})
}

// Guards against gangs that never start although workers become free: headroom must not take the workers that drain for a
// gang, and small tasks must not fill them again.
func TestReservedWorkersDrainForTheirGang(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	var workers []*worker
	for i := range 14 {
		workers = append(workers, h.addWorker(fmt.Sprintf("w%02d", i), []string{"r1", "r2"}[i/7], 8))
	}
	h.fillWithLowPriority(57) // more than half of 112, so headroom is kept
	h.submit(singleStepJob(901, stepOf(1000)))
	h.pass()
	awaitStarts(t, h.fleet, 88) // all but the headroom, which is whole workers with at least 20 % of the accelerators
	for _, w := range workers {
		h.report(w, HeartbeatReport{Running: h.runsOn(w)})
	}
	gang := gangOf(902, 4)
	gang.Terms.Stretch = 1.1 // gives it the earliest of all latest starts
	h.submit(gang)
	for range 4 {
		h.pass()
		for _, w := range workers {
			if len(h.scheduler.jobs[gang.ID].occurrences[0].steps[0].units[0].members) > 0 {
				return
			}
			h.endAll(w)
			h.pass()
		}
	}
	t.Fatal("the gang did not start although every worker became free four times")
}

// Guards against a gang that waits although more than enough is free, because all racks with room for it are kept for
// urgent work.
func TestGangUsesHeadroomWhenAsMuchIsFreeElsewhere(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 8)
	}
	var others []*worker
	for _, id := range []string{"x1", "x2", "x3", "x4", "x5", "x6", "x7"} {
		others = append(others, h.addWorker(id, "r2", 8))
	}
	big := stepOf(7)
	big.Resources.Accelerators, big.MaxPerWorker = 6, 1
	h.submit(singleStepJob(901, big)) // leaves 2 free accelerators on each of seven workers, too few for a task of 8
	h.pass()
	awaitStarts(t, h.fleet, 7)
	for _, w := range others {
		h.report(w, HeartbeatReport{Running: h.runsOn(w)})
	}
	h.submit(gangOf(902, 2))
	h.pass()
	assert.Equal(t, len(h.scheduler.jobs[singleStepJob(902, big).ID].occurrences[0].steps[0].units[0].members), 2)
}
