package scheduler

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/rackowner"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Shape of the fleet of the capacity benchmarks. The largest has 38,000 workers for 140,000 tasks, all in one data centre.
const (
	workersPerRack    = 8
	stepsAfterRebuild = 1000 // steps after which all work caused by the rebuild is done
	tasksPerWorker    = 4    // tasks on each worker: 140,000 / 38,000 rounded up
)

type fleetView struct {
	membership.View
	workers []platform.Instance
}

func (v fleetView) Self() (structs.InstanceID, structs.DataCentre) { return "a", "dc" }

func (v fleetView) Workers(structs.DataCentre) []platform.Instance { return v.workers }

type fleetRacks struct{ rackowner.Racks }

func (fleetRacks) Withhold(context.Context, []structs.JobID) error               { return nil }
func (fleetRacks) Release(context.Context, structs.Task) error                   { return nil }
func (fleetRacks) Forget(context.Context, structs.Task) error                    { return nil }
func (fleetRacks) Stop(context.Context, structs.Task, bool, time.Duration) error { return nil }

type fleetJobs struct {
	Jobs
	unfinished []Accepted
	changed    chan struct{}
}

func (j *fleetJobs) Unfinished() []Accepted   { return j.unfinished }
func (j *fleetJobs) CurrentAsOf() time.Time   { return time.Now() }
func (j *fleetJobs) Changed() <-chan struct{} { return j.changed }
func (j *fleetJobs) Find(structs.Customer, structs.JobID) (Accepted, *Result, bool) {
	return Accepted{}, nil, false
}

// capacityFleet returns a data centre in which every worker runs tasksPerWorker tasks, and the report of all workers.
func capacityFleet(workers int) (Config, []rackowner.Change) {
	text := &spec.Text{
		DataCentres: []spec.DataCentre{{Name: "dc", Racks: spec.Racks{Count: workers / workersPerRack, WorkersPerRack: workersPerRack, AcceleratorsPerWorker: 8}}},
		Customers:   []spec.Customer{{Name: "c", Weight: 1, Guarantees: []spec.Guarantee{{DataCentre: "dc", Size: 8, Count: workers / 8}}}},
		JobKinds:    []spec.JobKind{{Name: "k", MaxAccelerators: 128, MaxRunTime: time.Hour, MaxAttempts: 20}},
		Limits:      spec.Limits{QueuedJobs: 20000},
	}
	jobs := &fleetJobs{changed: make(chan struct{})}
	view := fleetView{}
	changes := make([]rackowner.Change, 0, workers)
	for i := range workers {
		id := structs.WorkerID(fmt.Sprintf("worker-%05d", i))
		rack := structs.RackID(fmt.Sprintf("rack-%04d", i/workersPerRack))
		view.workers = append(view.workers, platform.Instance{ID: string(id), Rack: rack})
		state := &platform.WorkerState{Worker: id, Accelerators: 8}
		for n := range tasksPerWorker {
			job := structs.Job{ID: structs.JobID(fmt.Sprintf("%d-%d", i, n)), Customer: "c", Kind: "k", DataCentre: "dc", Accelerators: 2, RunTime: time.Hour}
			jobs.unfinished = append(jobs.unfinished, Accepted{Job: job})
			job.ID = Key(job.Customer, job.ID)
			task := structs.Task{Job: job, Attempt: 1, Members: 1, Worker: id, Accelerators: []int{2 * n, 2*n + 1}}
			state.Tasks = append(state.Tasks, platform.TaskStatus{Task: task, Phase: platform.TaskRunning, Sequence: uint64(n)})
		}
		changes = append(changes, rackowner.Change{Worker: id, Rack: rack, Reachable: true, Full: true, State: state})
	}
	return New(Config{
		View: view, Text: func() *spec.Text { return text }, Jobs: jobs, Timing: rackowner.DefaultTiming(),
		CheckpointGrace: 5 * time.Second, Log: event.Discard(), Metrics: tally.NoopScope,
	}).config, changes
}

func rebuilt(config Config, changes []rackowner.Change) *term {
	t := newTerm(config, "dc", fleetRacks{})
	for _, c := range changes {
		t.apply(c)
	}
	t.synced = true
	t.step(context.Background())
	return t
}

// BenchmarkRebuild measures the time in which a new scheduler rebuilds its view of a data centre once the rack owners'
// reports have arrived, and the memory of that view.
func BenchmarkRebuild(b *testing.B) {
	for _, workers := range []int{1000, 4000, 16000, 38000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			config, changes := capacityFleet(workers)
			var used float64
			for b.Loop() {
				before := liveBytes()
				t := rebuilt(config, changes)
				used = liveBytes() - before
				assert.Equal(b, len(t.jobs), workers*tasksPerWorker)
			}
			b.ReportMetric(used/float64(workers*tasksPerWorker), "B/task")
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/op")
		})
	}
}

// BenchmarkChange measures the time that the scheduler spends on one reported change of a task and the decisions after it.
func BenchmarkChange(b *testing.B) {
	for _, workers := range []int{1000, 4000, 16000, 38000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			config, changes := capacityFleet(workers)
			t := rebuilt(config, changes)
			ctx := context.Background()
			for range stepsAfterRebuild {
				t.step(ctx)
			}
			sequence := uint64(tasksPerWorker)
			i := 0
			for b.Loop() {
				c := changes[i%len(changes)]
				sequence++
				status := c.State.Tasks[0]
				status.Sequence = sequence
				status.RanFor += time.Second
				state := platform.WorkerState{Worker: c.Worker, Accelerators: 8, Sequence: sequence, Tasks: []platform.TaskStatus{status}}
				t.apply(rackowner.Change{Worker: c.Worker, Rack: c.Rack, Reachable: true, State: &state})
				t.step(ctx)
				i++
			}
		})
	}
}

func liveBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
