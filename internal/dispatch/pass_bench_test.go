package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// benchmarkScheduler returns a scheduler with 540 workers of 8 accelerators in racks of 8, of which each has a task on 8 accelerators
// unless idle says so.
func benchmarkScheduler(b *testing.B, idle func(worker int) bool) *Scheduler {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var current catalog.Current
	current.Advance((&catalog.Catalog{Version: 1, Customers: []catalog.Customer{{Name: "club"}}}).Build())
	s := New(ctx, Config{
		Fleet: &scriptedFleet{}, Jobs: newMemoryLedger(), Runs: newMemoryLedger(), Term: &fakeTerm{}, Token: 1, Catalog: &current, Events: event.Discard(),
		Metrics: tally.NoopScope, Now: time.Now, Bounds: Bounds{Lease: testLease, Stop: 200 * time.Millisecond, StatusRetention: time.Minute},
	})
	s.Recover(nil)
	now := time.Now()
	running := stepOf(1)
	running.Resources.Accelerators, running.Estimate = 8, time.Minute
	for i := range 540 {
		s.Observe(WorkerInfo{
			ID: fmt.Sprintf("w%04d", i), Address: fmt.Sprintf("w%04d:1", i), Service: "render", DataCentre: fmt.Sprintf("d%d", i/8%3), Rack: fmt.Sprintf("r%02d", i/8), Labels: []string{"a"},
			Capacity: workload.Resources{CPU: 128_000, MemoryMB: 262_144, Accelerators: 8},
		})
		w := s.workers[fmt.Sprintf("w%04d", i)]
		w.stopHeartbeats()
		w.responsive, w.lastAnswerAt, w.leasesOverAt = true, now.Add(24*time.Hour), now.Add(24*time.Hour)
		if idle(i) {
			continue
		}
		j := singleStepJob(10_000+i, running)
		s.Load(ledger.Entry{ID: j.ID, Submission: j})
		j.QueueSettings.Priority = 0 // not preempted
		u := s.jobs[j.ID]
		u.createOccurrence(0)
		s.startRun(u.occurrences[0].steps[0].units[0], []*worker{w}, now)
		for _, m := range w.members {
			m.state, m.runningSince, m.progressedAt = 2, now, now
		}
		j.QueueSettings.Priority = 1
	}
	return s
}

// submitForBenchmark submits urgent gangs, urgent tasks, gangs and wide steps of single tasks, n of each.
func submitForBenchmark(s *Scheduler, first, n int) {
	for i := range n {
		for kind := range 4 {
			step := stepOf([]int{5, 5, 13, 39}[kind])
			step.Gang, step.SameRack, step.Resources.Accelerators = kind%2 == 0, kind == 0 && i%2 == 0, []int64{4, 4, 2, 1}[kind]
			step.Estimate = []time.Duration{2100, 2100, 5800, 8100}[kind] * time.Millisecond
			j := singleStepJob(first+4*i+kind, step)
			j.Queue = fmt.Sprint("queue-", kind)
			j.QueueSettings.Priority, j.QueueSettings.Stretch = []int{0, 0, 1, 2}[kind], []float64{1.5, 1.5, 3, 3}[kind]
			s.Load(ledger.Entry{ID: j.ID, Submission: j})
		}
	}
}

// BenchmarkPassWithoutRoom makes passes over 200 waiting jobs while one in 20 of 540 workers is idle and the others are full.
func BenchmarkPassWithoutRoom(b *testing.B) {
	for name, speeds := range benchmarkedSpeeds() {
		b.Run(name, func(b *testing.B) {
			s := benchmarkScheduler(b, func(i int) bool { return i%20 == 0 })
			s.speeds = speeds
			submitForBenchmark(s, 0, 50)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pass(time.Now())
			for b.Loop() {
				s.pass(time.Now())
			}
		})
	}
}

// BenchmarkPassThatPlaces makes passes that place 80 jobs, 920 units, on 540 idle workers.
func BenchmarkPassThatPlaces(b *testing.B) {
	for name, speeds := range benchmarkedSpeeds() {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				s := benchmarkScheduler(b, func(int) bool { return true })
				s.speeds = speeds
				submitForBenchmark(s, 0, 20)
				s.mu.Lock()
				b.StartTimer()
				s.pass(time.Now())
				b.StopTimer()
				s.mu.Unlock()
				b.StartTimer()
			}
		})
	}
}

func benchmarkedSpeeds() map[string]speedSource {
	return map[string]speedSource{"alike": alikeSpeeds{}, "uneven": benchmarkSpeeds()}
}

// benchmarkSpeeds returns the slowdown of each worker of benchmarkScheduler.
func benchmarkSpeeds() knownSpeeds {
	speeds := knownSpeeds{}
	for i := range 540 {
		speeds[fmt.Sprintf("w%04d", i)] = []float64{0.6, 1, 1.6}[i*7%3]
	}
	return speeds
}
