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

// book takes accelerators of each of the workers, as runs do.
func (h *harness) book(accelerators int64, workers ...*worker) {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	for _, w := range workers {
		w.free.Accelerators -= accelerators
	}
}

// quarantineFor quarantines workers so that they get no probe before the given time is over.
func (h *harness) quarantineFor(pause time.Duration, workers ...*worker) {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	for _, w := range workers {
		w.health.quarantine, w.health.quarantinedUntil = pause, time.Now().Add(pause)
	}
}

// playFor lets the scheduler act, and the workers that are not silent answer it, after each change.
func (h *harness) playFor(d time.Duration, workers []*worker, change func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tickPeriod) {
		for _, w := range workers {
			if w.responsive {
				h.report(w, HeartbeatReport{Clock: 1000, Running: h.runsOn(w)})
			}
		}
		h.scheduler.mu.Lock()
		change()
		h.scheduler.mu.Unlock()
		h.tickAt(time.Now())
		h.pass()
		synctest.Wait()
	}
}

// startsOf returns the number of tasks of a job that were ordered to start.
func (f *scriptedFleet) startsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, o := range f.starts {
		if o.Task.Job == job {
			n++
		}
	}
	return n
}

// Guards against a job that has nothing running for over 3 s although it has room and less than half of its service is in use, as the room is
// kept for other work, in the wrong racks or on quarantined workers.
func TestJobDoesNotStandBesideFreeRoom(t *testing.T) {
	gang := func(h *harness, tasks int) *workload.Job {
		j := gangOf(902, tasks)
		h.scheduler.urgentArrivedAt = time.Time{} // or the gang would reserve workers beside those that are kept for urgent work
		h.submit(j)
		h.pass()
		return j
	}
	noChange := func() {}
	cases := map[string]struct {
		job   *workload.Job
		setUp func(h *harness, workers []*worker) (change func())
		waits bool
	}{
		"room reserved for a gang": {job: wholeWorker(1), setUp: func(h *harness, workers []*worker) func() {
			h.book(4, workers[2:10]...)
			gang(h, 3)
			return noChange
		}},
		"room reserved for a gang while half is in use": {job: wholeWorker(1), waits: true, setUp: func(h *harness, workers []*worker) func() {
			h.book(5, workers[2:10]...)
			gang(h, 3)
			return noChange
		}},
		"room kept for urgent work while workers are silent": {job: singleStepJob(1, stepOf(1)), setUp: func(h *harness, workers []*worker) func() {
			h.book(1, workers[:2]...)
			h.book(8, workers[2:5]...)
			for _, w := range workers[5:] {
				h.silence(w)
			}
			return func() { h.scheduler.urgentArrivedAt = time.Now() }
		}},
		"room in two racks while workers are silent": {job: gangOf(1, 4), setUp: func(h *harness, workers []*worker) func() {
			h.book(8, append(workers[:2:2], workers[5:7]...)...)
			for _, w := range append(workers[4:5:5], workers[9:]...) {
				h.silence(w)
			}
			return noChange
		}},
		"room on quarantined workers": {job: wholeWorker(1), setUp: func(h *harness, workers []*worker) func() {
			h.book(1, workers[:7]...)
			h.quarantineFor(time.Hour, workers[7:]...)
			return noChange
		}},
		"room on quarantined workers for a last attempt": {job: lastAttempt(wholeWorker(1)), waits: true, setUp: func(h *harness, workers []*worker) func() {
			h.book(1, workers[:7]...)
			h.quarantineFor(time.Hour, workers[7:]...)
			return noChange
		}},
		"room reserved for a gang, for a permanent task": {job: permanent(wholeWorker(1)), setUp: func(h *harness, workers []*worker) func() {
			h.book(6, workers[2:10]...)
			gang(h, 3)
			return noChange
		}},
		"room reserved for a gang, for a permanent task once": {job: permanent(wholeWorker(1)), waits: true, setUp: func(h *harness, workers []*worker) func() {
			h.book(6, workers[1:10]...)
			gang(h, 3)
			return noChange
		}},
		"room of a preemption": {job: wholeWorker(1), waits: true, setUp: func(h *harness, workers []*worker) func() {
			h.book(4, workers[2:10]...)
			u := h.scheduler.jobs[gang(h, 3).ID].occurrences[0].steps[0].units[0]
			u.job().queueSettings.Priority = 0
			return func() { u.preemptedWorkers, u.preemptedAt = workers[:2], time.Now() }
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, newMemoryLedger(), newMemoryLedger())
				var workers []*worker
				for i := range 10 {
					workers = append(workers, h.addWorker(workerName(i), fmt.Sprintf("r%d", i/5), 8))
				}
				change := c.setUp(h, workers)
				h.submit(c.job)
				h.playFor(standstillAfter, workers, change)
				starts := h.fleet.startsOf(c.job.ID)
				assert.Equal(t, starts == 0, c.waits, "%d tasks have started after %v", starts, standstillAfter)
			})
		})
	}
}

// permanent returns the job with a task that does not end.
func permanent(j *workload.Job) *workload.Job {
	j.Steps[0].Permanent = true
	return j
}

// lastAttempt returns the job with a limit of one attempt.
func lastAttempt(j *workload.Job) *workload.Job {
	j.QueueSettings.MaxAttempts = 1
	return j
}

// fleetOfTen returns a harness with ten workers of 8 accelerators in one rack.
func fleetOfTen(t *testing.T) (*harness, []*worker) {
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
		h, workers := fleetOfTen(t)
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
				h, workers := fleetOfTen(t)
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
		h, workers := fleetOfTen(t)
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
		h, workers := fleetOfTen(t)
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

// BenchmarkPassWithJobsAtAStandstill makes passes over 1000 jobs of whole workers while each of 540 workers has 1 of 8 accelerators in use.
func BenchmarkPassWithJobsAtAStandstill(b *testing.B) {
	for _, stands := range []bool{false, true} {
		for _, n := range []int{200, 1000} {
			b.Run(fmt.Sprintf("stands=%v,jobs=%d", stands, n), func(b *testing.B) {
				s := benchmarkScheduler(b, func(int) bool { return true })
				for _, w := range s.workers {
					w.free.Accelerators--
				}
				submitAtAStandstill(s, n, stands)
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

func submitAtAStandstill(s *Scheduler, n int, stands bool) {
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
				h, workers := fleetOfTen(t)
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
