package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// standstills returns the logged standstills.
func (h *harness) standstills() []event.Record {
	var found []event.Record
	records, _ := h.scheduler.config.Events.Since(0)
	for _, r := range records {
		if r.Number == eventStandstill.Number {
			found = append(found, r)
		}
	}
	return found
}

// standing returns the gauge of jobs that stand still for a reason.
func (h *harness) standing(reason string) float64 {
	if g := h.metrics.Snapshot().Gauges()["dispatch_standstill_jobs+reason="+reason]; g != nil {
		return g.Value()
	}
	return 0
}

// Guards against a job that could run and does not, of which nothing says what it waits for.
func TestStandstillIsReportedWithItsReason(t *testing.T) {
	blockStarts := func(h *harness) func() {
		over := make(chan struct{})
		h.fleet.startError = func(StartOrder) error { <-over; return errNoAnswer }
		return func() { close(over) }
	}
	id := singleStepJob(1, stepOf(1)).ID
	cases := map[string]func(h *harness, w *worker) (end func()){
		"room": func(h *harness, w *worker) func() {
			h.scheduler.Delist(w.info.ID)
			h.pass()
			return nil
		},
		standsUnseen: func(h *harness, _ *worker) func() {
			h.scheduler.jobs[id].createOccurrence(0)
			return nil
		},
		standsSetAside: func(h *harness, _ *worker) func() {
			h.scheduler.jobs[id].createOccurrence(0)
			h.scheduler.jobs[id].setAsideUntil = time.Now().Add(time.Minute)
			return nil
		},
		standsRecord: func(h *harness, _ *worker) func() {
			h.scheduler.mu.Lock()
			defer h.scheduler.mu.Unlock()
			h.scheduler.pass(time.Now())
			return nil
		},
		standsStart: func(h *harness, _ *worker) func() {
			end := blockStarts(h)
			h.pass()
			return end
		},
		standsStop: func(h *harness, _ *worker) func() {
			h.fleet.startError = func(StartOrder) error { return errNoAnswer }
			h.fleet.stopError = func(StopOrder) error { return errNoAnswer }
			h.pass()
			return nil
		},
		standsSilent: func(h *harness, w *worker) func() {
			h.pass()
			h.awaitRunning(w, 1)
			h.scheduler.heartbeatFailed(w, errNoAnswer)
			return nil
		},
	}
	for reason, stand := range cases {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, newMemoryLedger(), newMemoryLedger())
				w := h.addWorker("w1", "r1", 8)
				h.submit(singleStepJob(1, stepOf(1)))
				if end := stand(h, w); end != nil {
					defer end()
				}
				synctest.Wait()
				check := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tickPeriod) {
						h.tickAt(time.Now())
					}
				}
				check(standstillAfter)
				assert.Equal(t, len(h.standstills()), 0)
				check(2 * standstillPeriod)
				assert.Equal(t, h.standing(reason), 1.0)
				logged := h.standstills()
				assert.Equal(t, len(logged), 1)
				assert.Equal(t, logged[0].Fields["reason"], reason)
				check(standstillLogPeriod)
				assert.Equal(t, len(h.standstills()), 2)
			})
		})
	}
}

// Guards against a job that stands still although its service has room and is mostly idle, and is reported like one that has to wait.
func TestStandstillBesideFreeRoomIsMarked(t *testing.T) {
	cases := map[string]struct {
		accelerators, booked int64
		quarantined          bool
		want                 string
	}{
		"room twice over":                     {accelerators: 8, booked: 3, want: "true"},
		"room for less than two":              {accelerators: 1, want: "false"},
		"half in use":                         {accelerators: 8, booked: 4, want: "false"},
		"room on a worker that is not usable": {accelerators: 8, booked: 3, quarantined: true, want: "true"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, newMemoryLedger(), newMemoryLedger())
				w := h.addWorker("w1", "r1", c.accelerators)
				w.free.Accelerators -= c.booked
				if c.quarantined {
					w.health.quarantine, w.health.quarantinedUntil = time.Hour, time.Now().Add(time.Hour)
				}
				j := singleStepJob(1, stepOf(1))
				h.submit(j)
				h.scheduler.jobs[j.ID].createOccurrence(0)
				for end := time.Now().Add(standstillAfter + standstillPeriod); time.Now().Before(end); time.Sleep(tickPeriod) {
					h.report(w, HeartbeatReport{Clock: 1000})
					h.tickAt(time.Now())
				}
				logged := h.standstills()
				assert.Equal(t, len(logged), 1)
				assert.Equal(t, logged[0].Fields["beside_room"], c.want)
				marked := h.metrics.Snapshot().Gauges()["dispatch_standstill_beside_room+"].Value()
				assert.Equal(t, marked, map[string]float64{"true": 1, "false": 0}[c.want])
			})
		})
	}
}

// Guards against reports of jobs of which a run is at work, or whose next step waits for one.
func TestJobWithARunAtWorkDoesNotStandStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 1)
		j := singleStepJob(1, stepOf(2))
		after := stepOf(1)
		after.After = []int{0}
		j.Steps = append(j.Steps, after)
		h.submit(j)
		h.pass()
		for range 50 {
			time.Sleep(tickPeriod)
			h.report(w, HeartbeatReport{Running: h.runsOn(w)})
			h.tickAt(time.Now())
			h.pass()
		}
		assert.Equal(t, len(h.standstills()), 0)
		for _, reason := range standstillReasons {
			assert.Equal(t, h.standing(reason), 0.0, reason)
		}
	})
}

// BenchmarkStandstills checks 200 jobs that stand still, of which some are logged, beside 513 that run.
func BenchmarkStandstills(b *testing.B) {
	s := benchmarkScheduler(b, func(i int) bool { return i%20 == 0 })
	submitForBenchmark(s, 0, 50)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.pass(now)
	for b.Loop() {
		now = now.Add(standstillPeriod)
		s.noteStandstills(now)
	}
}
