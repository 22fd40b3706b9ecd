package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Guards against a failing job whose count of failures starts anew at every change of the scheduler.
func TestFailuresSurviveChangeOfScheduler(t *testing.T) {
	t.Parallel()
	r := newRig(t, 6, 3, standin.Options{FailAfter: 10 * time.Millisecond, FailJob: func(structs.Job) bool { return true }})
	const limit = 5 // max_attempts of the rig's kind
	present := r.instance("e1")
	r.submit("bad", 1, time.Hour)
	for n, next := range []structs.InstanceID{"e2", "e3"} {
		r.await("the job fails", 10*time.Second, func() bool { return len(r.runs("bad")) >= 2*(n+1) && r.running("bad") == 0 })
		present.drain()
		present = r.instance(next)
	}
	r.await("the job is stopped", 10*time.Second, func() bool { return r.result("bad") != nil })
	assert.Equal(t, r.result("bad").State, structs.JobFailed)
	assert.Equal(t, r.result("bad").Attempts, limit)
	assert.Equal(t, len(r.runs("bad")), limit)
}
