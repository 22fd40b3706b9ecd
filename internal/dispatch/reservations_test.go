package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// gangOf returns a job of one gang of n tasks with 8 accelerators each, in one rack.
func gangOf(number, n int) *workload.Job {
	step := tasks(n)
	step.Resources.Accelerators, step.Gang, step.SameRack = 8, true, true
	return jobOf(number, step)
}

// end reports that everything on a worker ended well.
func (b *bench) end(w *worker) {
	b.t.Helper()
	var ends []EndReport
	for i, r := range b.running(w) {
		ends = append(ends, EndReport{w.processed + int64(i) + 1, r.Task, r.Run, EndDone, ""})
	}
	b.report(w, HeartbeatReport{Ended: ends})
}

// Guards against gangs that wait for ever beside free workers: the room kept for urgent work must not take the workers that drain
// for a gang, and small tasks must not fill them again.
func TestReservedWorkersDrainForTheirGang(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	var workers []*worker
	for i := range 14 {
		workers = append(workers, b.worker(fmt.Sprintf("w%02d", i), []string{"r1", "r2"}[i/7], 8))
	}
	b.fill(57) // more than half of 112
	b.submit(jobOf(901, tasks(1000)))
	b.pass()
	awaitStarts(t, b.fleet, 88) // all but the headroom, whole workers of at least 20 %
	for _, w := range workers {
		b.report(w, HeartbeatReport{Running: b.running(w)})
	}
	gang := gangOf(902, 4)
	gang.Terms.Stretch = 1.1 // its start is the most pressing one
	b.submit(gang)
	for range 4 {
		b.pass()
		for _, w := range workers {
			if len(b.s.jobs[gang.ID].occurrences[0].steps[0].units[0].members) > 0 {
				return
			}
			b.end(w)
			b.pass()
		}
	}
	t.Fatal("the gang did not start although every worker became free four times")
}

// Guards against a gang that waits although more than enough is free, because all racks with room for it are kept for urgent work.
func TestGangUsesHeadroomWhenAsMuchIsFreeElsewhere(t *testing.T) {
	b := newBench(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		b.worker(id, "r1", 8)
	}
	var others []*worker
	for _, id := range []string{"x1", "x2", "x3", "x4", "x5", "x6", "x7"} {
		others = append(others, b.worker(id, "r2", 8))
	}
	big := tasks(7)
	big.Resources.Accelerators, big.MaxPerWorker = 6, 1
	b.submit(jobOf(901, big)) // leaves 2 accelerators on each of seven workers, none of which holds a task of 8
	b.pass()
	awaitStarts(t, b.fleet, 7)
	for _, w := range others {
		b.report(w, HeartbeatReport{Running: b.running(w)})
	}
	b.submit(gangOf(902, 2))
	b.pass()
	assert.Equal(t, len(b.s.jobs[jobOf(902, big).ID].occurrences[0].steps[0].units[0].members), 2)
}
