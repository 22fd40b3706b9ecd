package scheduler_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/rackowner"
	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func needMeasure(t *testing.T) {
	t.Helper()
	if os.Getenv("DOGWOODNOTCH_MEASURE") != "1" {
		t.Skip("set DOGWOODNOTCH_MEASURE=1 to run the measures")
	}
}

func printMeasure(name string, naive, ours float64, unit string, seeds int) {
	fmt.Printf("measure name=%s naive=%.4g ours=%.4g ratio=%.4g unit=%s seeds=%d\n", name, naive, ours, ours/max(naive, 1e-9), unit, seeds)
}

// Measures urgent_start, the time until an urgent job starts on a fleet full of borrowers, with the default timings and
// checkpoints of 5 s, the slowest allowed. The naive version submits the job without urgency, so that it waits until
// borrowers end.
func TestMeasureUrgentStart(t *testing.T) {
	needMeasure(t)
	const rounds = 3
	worst := map[int]time.Duration{}
	for round := range rounds {
		for _, urgency := range []int{0, 100} {
			worst[urgency] = max(worst[urgency], urgentStart(t, urgency, time.Duration(round)*300*time.Millisecond))
		}
	}
	printMeasure("urgent_start", worst[0].Seconds(), worst[100].Seconds(), "s", rounds)
	assert.Assert(t, worst[100] <= urgentBound)
}

func urgentStart(t *testing.T, urgency int, offset time.Duration) time.Duration {
	r := newRig(t, 12, 4, standin.Options{})
	r.timing = rackowner.DefaultTiming()
	r.checkpointGrace = 5 * time.Second
	e := r.instance("e1")
	defer e.drain()
	for i := range 24 {
		r.submit(fmt.Sprintf("borrower%d", i), 4, 15*time.Second, func(j *structs.Job) { j.Checkpoint = 5 * time.Second })
	}
	r.await("the fleet is full", 10*time.Second, func() bool { return r.busyAccelerators() == 96 })
	time.Sleep(offset)
	begun := time.Now()
	r.submit("urgent", 64, time.Second, func(j *structs.Job) { j.Urgency = urgency })
	r.await("the job starts", 60*time.Second, func() bool { return r.running("urgent") == 8 })
	return time.Since(begun)
}

// Measures failing_worker, the tasks that are started on a worker that fails every task immediately, one in fifty. The naive
// version gives each job to the first worker with a free accelerator and retries it after a failure.
func TestMeasureFailingWorker(t *testing.T) {
	needMeasure(t)
	const jobs = 2000
	options := standin.Options{FailAfter: 5 * time.Millisecond}
	r := newRig(t, 50, 8, options)
	r.probeInterval = time.Second
	e := r.instance("e1")
	r.control("w000", "fail", 0)
	for i := range jobs {
		r.submit(fmt.Sprintf("job%d", i), 1, 50*time.Millisecond)
	}
	r.await("all finish", 60*time.Second, func() bool { return len(r.jobs.Unfinished()) == 0 })
	e.drain()
	ours, wasted := r.countFailedTasks()
	naive := countNaiveFailures(t, options, jobs)
	printMeasure("failing_worker", float64(naive), float64(ours), "tasks_on_failing_worker", 1)
	fmt.Printf("measure name=failing_worker_waste naive=- ours=%.4g ratio=- unit=share_of_work_after_detection seeds=1\n", wasted)
	assert.Assert(t, ours <= 10)
	assert.Assert(t, wasted < 0.01)
}

// countFailedTasks counts the tasks of customers on the failing worker w000, and the share of all work that probes took
// there after its detection.
func (r *rig) countFailedTasks() (tasks int, wasted float64) {
	var waste, all time.Duration
	for _, run := range r.fleet.Report() {
		took := run.Ended.Sub(run.Started)
		all += took
		switch {
		case run.Worker != "w000":
		case run.Job[0] == '/':
			waste += took
		default:
			tasks++
		}
	}
	return tasks, waste.Seconds() / all.Seconds()
}

// countNaiveFailures counts the tasks that a scheduler without exclusion starts on the failing worker.
func countNaiveFailures(t *testing.T, options standin.Options, jobs int) int {
	r := newRig(t, 50, 8, options)
	r.control("w000", "fail", 0)
	client := platform.NewHTTPClient()
	defer client.CloseIdleConnections()
	address := r.members.workers[0].Address
	fence := platform.Fence{Owner: "naive", Epoch: 1, SchedulerEpoch: 1}
	ctx := context.Background()
	started, done := 0, 0
	free := map[string]int{}
	used := map[string]bool{}
	attempts := map[structs.JobID]uint64{}
	var queue []structs.JobID
	for i := range jobs {
		queue = append(queue, structs.JobID(fmt.Sprintf("job%d", i)))
	}
	for _, w := range r.members.workers {
		_, err := platform.NewWorker(client, address, structs.WorkerID(w.ID)).Session(ctx, platform.SessionRequest{Fence: fence, TTLMS: 600_000})
		assert.NilError(t, err)
		free[w.ID] = 1<<8 - 1
	}
	since := map[string]uint64{}
	for done < jobs {
		for _, w := range r.members.workers {
			worker := platform.NewWorker(client, address, structs.WorkerID(w.ID))
			for index := 0; index < 8 && len(queue) > 0; index++ {
				if free[w.ID]&(1<<index) == 0 {
					continue
				}
				id := queue[0]
				queue = queue[1:]
				attempts[id]++
				free[w.ID] &^= 1 << index
				task := structs.Task{Job: structs.Job{ID: id, RunTime: 50 * time.Millisecond}, Attempt: attempts[id], Members: 1,
					Worker: structs.WorkerID(w.ID), Accelerators: []int{index}}
				assert.NilError(t, worker.Hold(ctx, platform.HoldRequest{Fence: fence, Task: task, TTLMS: 5000}))
				assert.NilError(t, worker.Start(ctx, platform.TaskCommand{Fence: fence, Job: id, Attempt: attempts[id], TaskLeaseMS: 600_000}))
				used[w.ID] = true
				if w.ID == "w000" {
					started++
				}
			}
			if !used[w.ID] {
				continue
			}
			state, err := worker.Renew(ctx, platform.RenewRequest{Fence: fence, TTLMS: 600_000, TaskLeaseMS: 600_000, Since: since[w.ID]})
			assert.NilError(t, err)
			since[w.ID] = state.Sequence
			for _, s := range state.Tasks {
				if s.Phase.Ended() {
					free[w.ID] |= 1 << s.Task.Accelerators[0]
				}
				switch s.Phase {
				case platform.TaskFinished:
					done++
				case platform.TaskFailed:
					queue = append(queue, s.Task.Job.ID)
				}
			}
		}
	}
	return started
}

// Measures cancel_wave, the slowest start of small jobs of one customer while 5,000 jobs of another one, 400 of them
// running, are cancelled at once. The naive version releases the cancelled jobs one by one before it starts others.
func TestMeasureCancelWave(t *testing.T) {
	needMeasure(t)
	const wave, runningJobs = 5000, 400
	r := newRig(t, 64, 8, standin.Options{})
	r.text.Customers = []spec.Customer{{Name: "harbour-clubs", Quota: spec.Quota{Accelerators: runningJobs}}, {Name: "small"}}
	r.instance("e1")
	for i := range wave {
		r.submit(fmt.Sprintf("job%d", i), 1, time.Hour)
	}
	r.await("the quota is used", 30*time.Second, func() bool { return r.busyAccelerators() == runningJobs })
	baseline := r.slowestStart("calm", func() {})
	duringWave := r.slowestStart("wave", func() {
		for i := range wave {
			_ = r.jobs.Cancel(context.Background(), "harbour-clubs", structs.JobID(fmt.Sprintf("job%d", i)))
		}
	})
	r.await("all are cancelled", 30*time.Second, func() bool { return len(r.jobs.Unfinished()) == 0 })
	r.await("accelerators are free", 10*time.Second, func() bool { return r.busyAccelerators() == 0 })
	naive := r.serialReleases(runningJobs)
	printMeasure("cancel_wave", naive.Seconds()/baseline.Seconds(), duringWave.Seconds()/baseline.Seconds(), "slowest_decision_over_calm", 1)
	fmt.Printf("cancel_wave: calm %v, wave %v\n", baseline, duringWave)
	assert.Assert(t, duringWave <= 2*baseline)
}

// slowestStart submits a small job every 10 ms for 2 s and returns the longest time from submission to start.
func (r *rig) slowestStart(name string, disturb func()) time.Duration {
	submitted := map[structs.JobID]time.Time{}
	var wg sync.WaitGroup
	for i := range 200 {
		id := structs.JobID(fmt.Sprintf("%s%d", name, i))
		submitted[scheduler.Key("small", id)] = time.Now()
		r.submit(string(id), 1, 20*time.Millisecond, func(j *structs.Job) { j.Customer = "small" })
		if i == 50 {
			wg.Add(1)
			go func() { defer wg.Done(); disturb() }()
		}
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	var slowest time.Duration
	r.await(name+" jobs have started", 30*time.Second, func() bool {
		started := 0
		for _, run := range r.fleet.Report() {
			if at, ok := submitted[run.Job]; ok {
				started++
				slowest = max(slowest, run.Started.Sub(at))
			}
		}
		return started >= len(submitted)
	})
	return slowest
}

// serialReleases is the time that n releases take one after the other.
func (r *rig) serialReleases(n int) time.Duration {
	client := platform.NewHTTPClient()
	defer client.CloseIdleConnections()
	begun := time.Now()
	for i := range n {
		w := r.members.workers[i%len(r.members.workers)]
		worker := platform.NewWorker(client, w.Address, structs.WorkerID(w.ID))
		_ = worker.Release(context.Background(), platform.TaskCommand{Job: "gone", Attempt: 1}) // refused, which takes as long
	}
	return time.Since(begun)
}
