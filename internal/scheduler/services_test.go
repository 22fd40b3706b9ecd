package scheduler_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Guards against a service's tasks that are not started, not replaced when their worker is lost, started before the tasks
// of a service that they depend on, or kept after they were removed from the specification.
func TestServiceTasksKeptRunning(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2, 1, standin.Options{})
	here := []structs.DataCentre{dc}
	r.text.Services = []spec.Service{
		{Name: "booking", DependsOn: []structs.ServiceName{"tide"}, Tasks: []spec.ServiceTask{{Name: "front", Count: 1, Accelerators: 1, DataCentres: here}}},
		{Name: "tide", Tasks: []spec.ServiceTask{{Name: "solver", Count: 2, Accelerators: 1, DataCentres: here}}},
	}
	e := r.instance("e1")
	gateway := &scheduler.Gateway{View: e.view, Caller: e.port, Jobs: r.jobs, Scheduler: e.sched}
	gateway.Register(e.port)
	services := scheduler.NewServices(gateway)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- services.Run(ctx) }()
	defer func() { cancel(); <-done }()
	tasks := func(part string) (running int, first time.Time, worker structs.WorkerID) {
		for _, run := range r.fleet.Report() {
			if !strings.Contains(string(run.Job), part) {
				continue
			}
			if first.IsZero() {
				first = run.Started
			}
			if run.Ended.IsZero() {
				running++
				worker = run.Worker
			}
		}
		return running, first, worker
	}
	running := func(part string) int { n, _, _ := tasks(part); return n }
	r.await("all run", 5*time.Second, func() bool { return running("tide/solver") == 2 && running("booking/front") == 1 })
	_, front, _ := tasks("booking/front")
	_, solver, worker := tasks("tide/solver")
	assert.Assert(t, front.After(solver), "a task started before its dependency")
	r.control(string(worker), "kill", 0)
	down := func() structs.ServiceName {
		var response struct {
			Down map[structs.ServiceName]structs.ServiceName `msgpack:"down"`
		}
		assert.NilError(t, e.port.Call(ctx, e.id, "scheduler.services", struct{}{}, &response))
		return response.Down["booking"]
	}
	r.await("booking is down", 5*time.Second, func() bool { return down() != "" })
	r.await("replaced", 5*time.Second, func() bool { return running("tide/solver") == 2 && running("booking/front") == 1 })
	r.await("booking is up", 5*time.Second, func() bool { up, _ := services.Up("booking"); return up })
	next := *r.text
	next.Services = nil
	r.setText(&next)
	r.await("stopped", 5*time.Second, func() bool { return r.busyAccelerators() == 0 })
}

// Guards against quotas that are exceeded, and explanations that do not name the limiting field of the specification.
func TestQuotaAndExplain(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2, 2, standin.Options{})
	r.text.Customers[0].Quota.Accelerators = 8
	e := r.instance("e1")
	gateway := &scheduler.Gateway{View: e.view, Caller: e.port, Jobs: r.jobs, Scheduler: e.sched}
	gateway.Register(e.port)
	r.submit("first", 8, 300*time.Millisecond)
	r.await("the first runs", 5*time.Second, func() bool { return r.running("first") == 1 })
	r.submit("second", 4, 20*time.Millisecond)
	r.await("the second is explained", 5*time.Second, func() bool {
		status, err := gateway.Explain(context.Background(), dc, "harbour-clubs", "second")
		return err == nil && strings.Contains(status.Reason, "customers.harbour-clubs.quota.accelerators is 8, 8 are used")
	})
	assert.Equal(t, r.running("second"), 0)
	status, err := gateway.Wait(context.Background(), dc, "harbour-clubs", "second", 5*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, status.State, structs.JobFinished)
	_, err = gateway.Explain(context.Background(), dc, "harbour-clubs", "nobody")
	assert.ErrorContains(t, err, "knows no job")
}

// Guards against a worker that fails all tasks and keeps getting more of them, uses up the max_attempts of jobs or is never
// readmitted, and against workers that are excluded because of a job that fails everywhere.
func TestFailingWorkerAndFailingJob(t *testing.T) {
	t.Parallel()
	r := newRig(t, 6, 3, standin.Options{FailAfter: 10 * time.Millisecond, FailJob: func(j structs.Job) bool {
		return strings.HasSuffix(string(j.ID), "bad")
	}})
	r.probeInterval = 300 * time.Millisecond
	r.instance("e1")
	r.control("w000", "fail", 0)
	for i := range 60 {
		r.submit(fmt.Sprintf("job%d", i), 1, 40*time.Millisecond)
	}
	r.submit("bad", 1, 40*time.Millisecond)
	for i := range 60 {
		id := fmt.Sprintf("job%d", i)
		r.await(id+" finishes", 10*time.Second, func() bool { return r.result(id) != nil })
		assert.Equal(t, r.result(id).State, structs.JobFinished, r.result(id).Message)
	}
	failed := 0
	for _, run := range r.fleet.Report() {
		if run.Worker == "w000" && !strings.Contains(string(run.Job), "probe") {
			failed++
		}
	}
	assert.Assert(t, failed > 0 && failed <= 10, "%d tasks were started on the failing worker", failed)
	r.await("the bad job is stopped", 10*time.Second, func() bool { return r.result("bad") != nil })
	assert.Equal(t, r.result("bad").State, structs.JobFailed)
	assert.Assert(t, len(r.runs("bad")) <= 5+1, "max_attempts is 5")
	r.control("w000", "heal", 0)
	r.submit("all", 48, 20*time.Millisecond)
	r.await("the worker is used again", 10*time.Second, func() bool { return r.result("all") != nil })
}
