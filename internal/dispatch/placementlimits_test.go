package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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
