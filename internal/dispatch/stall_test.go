package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// playTasks runs jobs of one task each, of the given run time and estimate, on simulated workers for some time. The first of the workers
// hangs if hung is set. It returns how many jobs were completed, how many runs were stopped as stalled, and the scheduler.
func playTasks(jobs int, runTime, estimate, length time.Duration, workers int, hung bool) (completed, stalled int, s *Scheduler) {
	ctx, cancel := context.WithCancel(context.Background())
	fleet := newSimFleet(1)
	var current catalog.Current
	current.Advance((&catalog.Catalog{Version: 1}).Build())
	s = New(ctx, Config{
		Fleet: fleet, Jobs: newSimLedger(ctx, nil), Runs: newSimLedger(ctx, nil), Term: &fakeTerm{}, Token: 1, Catalog: &current,
		Events: event.Discard(), Metrics: tally.NoopScope, Now: time.Now, Bounds: Bounds{Lease: simLease, StatusRetention: 1000 * time.Hour},
	})
	s.Recover(nil)
	var group sync.WaitGroup
	group.Go(func() { s.Run(ctx) })
	group.Go(func() { confirmLists(ctx, s) })
	for i := range workers {
		info := WorkerInfo{
			ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("host%d:1", i), Service: "render", Rack: "r", Labels: []string{"a", "r"},
			Capacity: workload.Resources{CPU: 64_000, MemoryMB: 262_144, Accelerators: 8},
		}
		fleet.add(info).hung = hung && i == 0
		s.Observe(info)
	}
	time.Sleep(time.Second)
	for n := range jobs {
		step := stepOf(1)
		step.Estimate = estimate
		j := singleStepJob(n+1, step)
		fleet.mu.Lock()
		fleet.jobs[j.ID] = &simJob{spec: j, runTimes: []time.Duration{runTime}}
		fleet.mu.Unlock()
		s.Load(ledger.Entry{ID: j.ID, Submission: j})
	}
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	var units []*unit // ended jobs keep none
	for _, j := range s.jobs {
		units = append(units, j.occurrences[0].steps[0].units...)
	}
	s.mu.Unlock()
	time.Sleep(length)
	s.mu.Lock()
	for _, j := range s.jobs {
		if j.state == ledger.Completed {
			completed++
		}
	}
	for _, u := range units {
		stalled += u.stalledRuns
	}
	s.mu.Unlock()
	cancel()
	group.Wait()
	time.Sleep(time.Minute) // lets the goroutines that send orders end
	return completed, stalled, s
}

// Guards against tasks that are stopped again and again, on workers that are quarantined for it, because one per cent of them takes longer
// than a limit that does not depend on their length. Estimates may be ten times too short or too long, or missing.
func TestLongTasksAreNotStoppedAsStalled(t *testing.T) {
	for _, runTime := range []time.Duration{500 * time.Millisecond, 10 * time.Second, 10 * time.Minute, 6 * time.Hour} {
		for _, factor := range []float64{0, 0.1, 1, 10} {
			synctest.Test(t, func(t *testing.T) {
				estimate := time.Duration(factor * float64(runTime))
				completed, stalled, s := playTasks(3, runTime, estimate, runTime+10*time.Second, 4, false)
				assert.Equal(t, completed, 3, "%v, estimated as %v", runTime, estimate)
				assert.Equal(t, stalled, 0, "%v, estimated as %v", runTime, estimate)
				for _, w := range s.workers {
					assert.Equal(t, w.health.quarantine, time.Duration(0))
				}
			})
		}
	}
}

// Guards against tasks that stay for good on a worker where nothing makes progress.
func TestTasksLeaveAWorkerThatHangs(t *testing.T) {
	for runTime, limit := range map[time.Duration]time.Duration{10 * time.Second: 20 * time.Second, 10 * time.Minute: 10 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			completed, stalled, s := playTasks(4, runTime, runTime, runTime+limit, 2, true)
			assert.Equal(t, completed, 4, "%v", runTime)
			assert.Assert(t, stalled > 0)
			assert.Assert(t, s.workers["w0"].health.quarantine > 0)
			assert.Equal(t, s.workers["w1"].health.quarantine, time.Duration(0))
		})
	}
}
