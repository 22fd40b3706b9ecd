package scheduler_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Guards against jobs that run past max_run_time, in one attempt or over several attempts and schedulers, and against jobs
// that are ended without a reason and a remedy or that keep their accelerators.
func TestMaxRunTimeEndsJob(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2, 2, standin.Options{})
	first := r.instance("e1")
	r.submit("long", 16, time.Hour, func(j *structs.Job) { j.MaxRunTime = 1500 * time.Millisecond })
	r.await("the gang runs", 5*time.Second, func() bool { return r.running("long") == 2 })
	time.Sleep(500 * time.Millisecond)
	r.submit("urgent", 16, 100*time.Millisecond, func(j *structs.Job) { j.Urgency = 100 })
	r.await("the urgent job runs", 5*time.Second, func() bool { return r.running("urgent") == 2 })
	r.await("the gang runs again", 5*time.Second, func() bool { return r.running("long") == 2 })
	first.drain()
	r.instance("e2")
	r.await("the gang is stopped", 10*time.Second, func() bool { return r.result("long") != nil })
	result := r.result("long")
	assert.Equal(t, result.State, structs.JobFailed)
	assert.Assert(t, strings.Contains(result.Message, "max_run_time is 1.5s; split the job"), result.Message)
	r.await("accelerators are free", 2*time.Second, func() bool { return r.busyAccelerators() == 0 })
	var ran time.Duration
	for _, run := range r.runs("long") {
		ran += run.Ended.Sub(run.Started) / 2
	}
	assert.Assert(t, ran > 1400*time.Millisecond && ran < 2500*time.Millisecond, "ran for %v", ran)
}
