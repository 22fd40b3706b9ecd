package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// standingFleet returns a harness with ten workers of 8 accelerators in one rack.
func standingFleet(t *testing.T) (*harness, []*worker) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	var workers []*worker
	for i := range 10 {
		workers = append(workers, h.addWorker(workerName(i), "r1", 8))
	}
	return h, workers
}

// Guards against a job that stands beside free room because each worker of its service is quarantined.
func TestJobDoesNotStandWhileAllWorkersAreQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, workers := standingFleet(t)
		h.quarantineFor(maxQuarantine, workers...)
		j := wholeWorker(1)
		h.submit(j)
		h.playFor(standstillAfter, workers, func() {})
		assert.Equal(t, h.fleet.startsOf(j.ID), 1, "starts after %v", standstillAfter)
	})
}

// Guards against a permanent task that stands beside free room on quarantined workers because its queue allows one attempt, which does not
// count for permanent tasks.
func TestPermanentTaskWithOneAttemptUsesQuarantinedWorkers(t *testing.T) {
	for _, attempts := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, workers := standingFleet(t)
				h.book(1, workers[:7]...)
				h.quarantineFor(maxQuarantine, workers[7:]...)
				j := permanent(wholeWorker(1))
				j.QueueSettings.MaxAttempts = attempts
				h.submit(j)
				h.playFor(standstillAfter, workers, func() {})
				assert.Equal(t, h.fleet.startsOf(j.ID), 1, "starts after %v", standstillAfter)
			})
		})
	}
}

// Guards against a gang that waits without a bound because each of the workers that are reserved for it goes to a single task as soon as it is
// free.
func TestGangStartsBesideSingleTasksThatStand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, workers := standingFleet(t)
		h.scheduler.urgentArrivedAt = time.Time{}
		for _, w := range workers[:3] { // the only ones that the gang and the single tasks can use
			w.info.Labels = append(w.info.Labels, "big")
		}
		gang := gangOf(902, 3)
		gang.Steps[0].Label, gang.QueueSettings.Stretch = "big", 1.1 // the earliest of all latest starts
		begun := map[runKey]time.Time{}
		for tick := 0; tick < 600 && h.fleet.startsOf(gang.ID) == 0; tick++ {
			if tick%4 == 0 {
				j := singleStepJob(1000+tick, stepOf(1))
				j.Steps[0].Resources.Accelerators, j.Steps[0].Label = 4, "big"
				h.submit(j)
			}
			if tick == 10 {
				gang.Submitted = time.Now()
				h.submit(gang)
			}
			now := time.Now()
			for _, w := range workers {
				report := HeartbeatReport{Clock: 1000}
				for _, r := range h.runsOn(w) {
					key := runKey{r.Task, r.Run}
					if begun[key].IsZero() {
						begun[key] = now
					}
					if now.Sub(begun[key]) < 2*time.Second {
						report.Running = append(report.Running, r)
						continue
					}
					report.Ended = append(report.Ended, EndReport{w.lastHandledEnd + int64(len(report.Ended)) + 1, r.Task, r.Run, EndDone, ""})
				}
				h.report(w, report)
			}
			h.tickAt(time.Now())
			h.pass()
			synctest.Wait()
			time.Sleep(tickPeriod)
		}
		singles := h.fleet.started() - h.fleet.startsOf(gang.ID)
		assert.Equal(t, h.fleet.startsOf(gang.ID), 3, "the gang has not started within 59 s, in which %d single tasks have", singles)
	})
}

// Guards against guaranteed work that waits because a permanent task, which may not be stopped, takes the room that is reserved for it.
func TestPermanentTaskLeavesRoomThatIsReservedForGuaranteedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, workers := standingFleet(t)
		h.guarantee(80)
		h.book(8, workers[3:]...)
		h.book(1, workers[2]) // ends later; not a run that can be stopped
		gang := gangOf(902, 3)
		gang.QueueSettings.Priority = 0
		h.submit(gang)
		j := permanent(wholeWorker(1))
		j.Steps[0].Count, j.Steps[0].MaxUnavailable = 2, 1
		h.submit(j)
		h.playFor(standstillAfter, workers, func() {})
		h.book(-1, workers[2])
		h.playFor(standstillAfter, workers, func() {})
		assert.Equal(t, h.fleet.startsOf(gang.ID), 3, "the gang has not started %v after its last worker became free; %d permanent tasks have", standstillAfter, h.fleet.startsOf(j.ID))
	})
}

// BenchmarkPassWithStandingJobs makes passes over 1000 jobs of whole workers while each of 540 workers has 1 of 8 accelerators in use.
func BenchmarkPassWithStandingJobs(b *testing.B) {
	for _, stands := range []bool{false, true} {
		for _, n := range []int{200, 1000} {
			b.Run(fmt.Sprintf("stands=%v,jobs=%d", stands, n), func(b *testing.B) {
				s := benchmarkScheduler(b, func(int) bool { return true })
				for _, w := range s.workers {
					w.free.Accelerators--
				}
				submitStanding(s, n, stands)
				s.mu.Lock()
				defer s.mu.Unlock()
				s.pass(time.Now())
				for b.Loop() {
					s.pass(time.Now())
				}
			})
		}
	}
}

func submitStanding(s *Scheduler, n int, stands bool) {
	var entries []*workload.Job
	for i := range n {
		j := wholeWorker(i)
		j.Submitted = time.Now()
		entries = append(entries, j)
	}
	for _, j := range entries {
		s.Load(ledger.Entry{ID: j.ID, Submission: j})
		if stands {
			s.jobs[j.ID].standsSince = time.Now().Add(-time.Minute)
		}
	}
}

// Guards against a job that stands beside quarantined workers because the first of its waiting tasks, which is on its last attempt, may not run
// there, while the second may.
func TestTaskOnItsLastAttemptDoesNotHoldUpTheOthers(t *testing.T) {
	for _, priority := range []int{0, 1} {
		t.Run(fmt.Sprint("priority ", priority), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, workers := standingFleet(t)
				h.book(1, workers[:7]...)
				h.quarantineFor(maxQuarantine, workers[7:]...)
				j := wholeWorker(1)
				j.Steps[0].Count, j.QueueSettings.Priority = 2, priority
				h.submit(j)
				h.pass()
				h.scheduler.mu.Lock()
				h.scheduler.jobs[j.ID].occurrences[0].steps[0].units[0].failures = j.QueueSettings.MaxAttempts - 1
				h.scheduler.mu.Unlock()
				h.playFor(standstillAfter, workers, func() {})
				assert.Equal(t, h.fleet.startsOf(j.ID), 1, "starts after %v", standstillAfter)
			})
		})
	}
}

// Guards against an urgent job that has to wait for preemptions, because silent workers without work make a service count as mostly idle
// although its usable workers are full.
func TestHeadroomIsKeptOnUsableWorkersBesideSilentOnes(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	for i := range 5 {
		h.addWorker(workerName(i), "r1", 8)
	}
	h.fillWithLowPriority(21) // more than half of 40
	for i := range 6 {
		h.silence(h.addWorker(workerName(5+i), "r1", 8))
	}
	h.submit(singleStepJob(901, stepOf(30)))
	h.pass()
	awaitStarts(t, h.fleet, 32)
	urgent := singleStepJob(902, stepOf(8))
	urgent.QueueSettings.Priority = 0
	h.submit(urgent)
	h.pass()
	awaitStarts(t, h.fleet, 40)
	assert.Equal(t, h.fleet.stopped(), 0)
}
