package scheduler_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
)

// Guards against a running job that is still explained as guaranteed after the specification dropped its customer's
// guarantee, or as borrowed after the guarantee was restored.
func TestExplainFollowsDemotion(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2, 2, standin.Options{})
	r.text.Customers[0].Guarantees = []spec.Guarantee{{DataCentre: dc, Size: 8, Count: 1}}
	e := r.instance("e1")
	gateway := &scheduler.Gateway{View: e.view, Caller: e.port, Jobs: r.jobs, Scheduler: e.sched}
	gateway.Register(e.port)
	r.submit("job", 8, time.Hour)
	guaranteed := func() bool {
		status, err := gateway.Explain(context.Background(), dc, "harbour-clubs", "job")
		return err == nil && status.Guaranteed
	}
	r.await("the job runs", 5*time.Second, func() bool { return r.running("job") == 1 })
	r.await("it is guaranteed", time.Second, guaranteed)
	without := *r.text
	without.Customers = slices.Clone(r.text.Customers)
	without.Customers[0].Guarantees = nil
	r.setText(&without)
	r.await("it borrows", 2*time.Second, func() bool { return !guaranteed() })
	again := *r.text
	r.setText(&again)
	r.await("it is guaranteed again", 2*time.Second, guaranteed)
	assert.Equal(t, len(r.runs("job")), 1)
}
