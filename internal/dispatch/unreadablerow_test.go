package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that waits for ever for a worker that answers, but of whose reports one row cannot be read.
func TestSuspicionOfAWorkerWithAnUnreadableRowEnds(t *testing.T) {
	h, task, _, holder := inOutage(t)
	next := h.nextTerm()
	for _, id := range []string{"w1", "w2", "w3"} {
		if id != holder.info.ID {
			next.addWorker(id, "r1", 1)
		}
	}
	w := next.observeSilent(holder.info)
	begin := time.Now()
	next.scheduler.mu.Lock()
	for _, other := range next.scheduler.workers {
		other.leasesOverAt = begin // those of the earlier leader are over
	}
	next.scheduler.mu.Unlock()
	for range 20 {
		next.report(w, HeartbeatReport{Clock: 1000, Partial: true, Unreadable: 1})
		next.settle()
		time.Sleep(50 * time.Millisecond)
	}
	next.scheduler.mu.Lock()
	defer next.scheduler.mu.Unlock()
	assert.Equal(t, next.scheduler.unitOf(task).suspectedOn, 0)
}

// Guards against a task that waits without a bound for a worker whose leases are renewed although its reports cannot be read, and against runs
// that are cut short because one report of their worker could not be read.
func TestLeasesLapseWhileWorkWaitsForAReportThatCannotBeRead(t *testing.T) {
	cases := map[string]struct {
		suspected bool
		unread    HeartbeatReport
		lapses    bool
		starts    int // of the task that waits
		runs      int // of the other task on the worker
	}{
		"work waits":                    {suspected: true, unread: HeartbeatReport{Clock: 1000, Partial: true, Unreadable: 1}, lapses: true, starts: 1, runs: 2},
		"nothing waits":                 {unread: HeartbeatReport{Clock: 1000, Partial: true, Unreadable: 1}, runs: 1},
		"more ends than a report holds": {suspected: true, unread: HeartbeatReport{Clock: 1000, Partial: true}, runs: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarnessConfigured(t, func(c *Config) { c.PreviousAuthority = 0 }, newMemoryLedger(), newMemoryLedger())
				w := h.addWorker("w1", "r1", 8)
				running, waits := singleStepJob(1, stepOf(1)), singleStepJob(2, stepOf(1))
				h.runJob(running)
				if c.suspected {
					h.submit(waits)
					h.scheduler.mu.Lock()
					j := h.scheduler.jobs[waits.ID]
					j.createOccurrence(0)
					h.scheduler.suspect(j.occurrences[0].steps[0].units[0], []string{w.info.ID})
					h.scheduler.mu.Unlock()
				}
				heartbeat := func() (granted bool) {
					h.scheduler.mu.Lock()
					order, _ := h.scheduler.nextHeartbeat(w, time.Now())
					h.scheduler.mu.Unlock()
					h.report(w, c.unread)
					h.settle()
					return order.LeaseEnd > 0
				}
				for end := time.Now().Add(maxSilence); time.Now().Before(end); time.Sleep(heartbeatRetryPause) {
					assert.Assert(t, heartbeat())
				}
				later := singleStepJob(3, stepOf(1))
				h.submit(later)
				h.settle()
				synctest.Wait()
				assert.Equal(t, h.fleet.startsOf(later.ID) == 0, c.lapses, "a start would renew the leases")
				lapses := false
				for end := time.Now().Add(expiryOf(testLease) + heartbeatRetryPause); time.Now().Before(end); time.Sleep(heartbeatRetryPause) {
					lapses = !heartbeat() || lapses
				}
				h.settleOrders()
				assert.Equal(t, lapses, c.lapses)
				assert.Equal(t, h.fleet.startsOf(waits.ID), c.starts)
				assert.Equal(t, h.fleet.startsOf(running.ID), c.runs, "runs of the other task on the worker")
			})
		})
	}
}
