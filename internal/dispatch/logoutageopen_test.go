package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/leadership"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Guards against a next step that stands still in an outage of the whole store, in which the term's heartbeats are not confirmed either.
func TestNextStepStartsWhileTheTermIsNotConfirmed(t *testing.T) {
	for _, lease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		t.Run(lease.String(), func(t *testing.T) {
			h := newHarnessConfigured(t, func(c *Config) { c.Bounds.Lease = lease }, newMemoryLedger(), newMemoryLedger())
			for _, id := range []string{"w1", "w2", "w3"} {
				h.addWorker(id, "r1", 1)
			}
			j := chainJob(1)
			h.runJob(j)
			h.term.mu.Lock()
			h.term.unconfirmed = time.Second - leadership.LeaseAuthority(lease) // 1 s after the last confirmed heartbeat
			h.term.mu.Unlock()
			h.report(h.holderOf(taskName(j, 0), 1), endOf(1, taskName(j, 0), 1, EndDone))
			h.startWhatIsReady(2)
		})
	}
}

// Guards against a job that stands still for the outage because it was accepted just before it.
func TestJobAcceptedJustBeforeTheOutageStarts(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 1)
	}
	h.submit(singleStepJob(1, stepOf(1)))
	h.startWhatIsReady(1)
}

// Guards against an occurrence that becomes due in the outage and stands still.
func TestOccurrenceThatBecomesDueInTheOutageStarts(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, "r1", 1)
	}
	j := singleStepJob(1, stepOf(1))
	j.Schedule = workload.Schedule{Occurrences: 1, First: time.Now().Add(time.Second), Interval: time.Second}
	h.submit(j)
	h.settle()
	time.Sleep(300 * time.Millisecond)
	h.settle()
	h.makeLogLate()
	h.startWhatIsReady(1)
}

// Guards against work that waits for the leases of a lost worker on which it never ran, though no outage of the log took place.
func TestWaitingWorkDoesNotWaitForALostWorkerWithoutAnOutage(t *testing.T) {
	next, lost := loseStandbyWorker(t, func(*Config, string) {})
	assert.Equal(t, next.fleet.started(), 1, "the second step waits for %s, which never had it; 2 workers are idle; leases over in %v", lost, time.Until(next.scheduler.workers[lost].leasesOverAt))
}

// loseStandbyWorker lets the scheduler change and a worker be lost that the second step of a job names and on which it never ran, ends the
// first step, and returns the next scheduler, which has some changes in its configuration, with the lost worker.
func loseStandbyWorker(t *testing.T, change func(c *Config, lost string)) (next *harness, lost string) {
	t.Helper()
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		h.addWorker(id, "r1", 1)
	}
	j := chainJob(1)
	h.runJob(j)
	runner := h.holderOf(taskName(j, 0), 1)
	second := workload.TaskName{Job: j.ID, Step: 1}
	h.scheduler.mu.Lock()
	named := h.scheduler.unitOf(second).standby.named
	h.scheduler.mu.Unlock()
	lost = named[0]
	if lost == runner.info.ID {
		lost = named[1]
	}
	next = h.nextTermConfigured(func(c *Config) { change(c, lost) })
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		if id != lost && id != runner.info.ID {
			next.addWorker(id, "r1", 1)
		}
	}
	next.report(next.observeSilent(runner.info), endOf(1, taskName(j, 0), 1, EndDone))
	next.settle()
	time.Sleep(50 * time.Millisecond)
	return next, lost
}
