package scheduler

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/queue"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Guards against a customer that is charged for borrowed use only when its jobs end, so that its waiting jobs come first
// until then, and against charges for guaranteed use or twice for the same time.
func TestRunningJobsAreCharged(t *testing.T) {
	t.Parallel()
	const ranFor = 6 * time.Hour
	for wantFirst, cellSize := range map[structs.Customer]int{"other": 0, "c": 2} {
		config, changes := capacityFleet(workersPerRack)
		config.ChargeInterval = time.Millisecond
		text := config.Text()
		text.Customers[0].Guarantees = []spec.Guarantee{{DataCentre: "dc", Size: 2, Count: workersPerRack * tasksPerWorker}}
		text.Customers = append(text.Customers, spec.Customer{Name: "other", Weight: 1})
		now := time.Now()
		for _, c := range changes {
			for i := range c.State.Tasks {
				c.State.Tasks[i].Task.LaunchedAt = now.Add(-ranFor)
				c.State.Tasks[i].Task.CellSize = cellSize
			}
		}
		stream := config.Jobs.(*fleetJobs)
		for i, customer := range []structs.Customer{"c", "other"} {
			waiting := structs.Job{ID: "waits", Customer: customer, Kind: "k", DataCentre: "dc", Accelerators: 8,
				RunTime: time.Hour, SubmittedAt: now.Add(time.Duration(i) * time.Second)}
			stream.unfinished = append(stream.unfinished, Accepted{Job: waiting})
		}
		term := rebuilt(config, changes)
		for range 5 {
			time.Sleep(2 * time.Millisecond)
			term.step(context.Background())
		}
		next := term.queue.Next(queue.View{Now: now, Entitled: term.cluster.Entitled, Used: term.cluster.Used}, 2)
		assert.Equal(t, len(next), 2)
		assert.Equal(t, next[0].Job.Customer, wantFirst)
		j := term.jobs["c/0-0"]
		assert.Assert(t, j.charged >= ranFor && j.charged <= time.Since(now.Add(-ranFor)), "charged for %v", j.charged)
	}
}
