package scheduler

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// startingRacks takes orders to hold accelerators and to start tasks.
type startingRacks struct{ fleetRacks }

func (startingRacks) Hold(context.Context, structs.Task, time.Duration) error { return nil }
func (startingRacks) Start(context.Context, structs.Task) error               { return nil }

// Guards against a gang that never starts: a borrower that it has preempted stops, is placed again elsewhere before the gang is
// looked at again, and then runs on. A wait for its end would last as long as the borrower, which may be a service's task.
func TestGangStartsAlthoughItsVictimRunsAgain(t *testing.T) {
	t.Parallel()
	config, changes := capacityFleet(2 * workersPerRack)
	term := rebuilt(config, changes)
	term.starter.Commands = startingRacks{}
	now := time.Now()
	victim := term.jobs[Key("c", "0-0")]
	gang := newJob(Key("c", "gang"), structs.Job{ID: "gang", Customer: "c", Kind: "k", DataCentre: "dc", Accelerators: 2, RunTime: time.Hour}, fromCustomer, now)
	gang.placement = placement.Placement{Job: gang.key, Customer: "c", Members: []placement.Member{{Worker: "worker-00000", Accelerators: []int{0, 1}}}}
	gang.setState(structs.JobStarting, now)
	gang.victims = map[structs.JobID]uint64{}
	term.jobs[gang.key] = gang
	term.preempt(gang, victim.key, now)
	term.reconcileStarting(context.Background(), gang, now)
	assert.Assert(t, !gang.busy, "the victim has not stopped yet")

	term.unplace(victim)
	victim.placement.Members[0].Worker = "worker-00001"
	term.bindWorkers(victim)
	victim.setState(structs.JobRunning, now)
	term.reconcileStarting(context.Background(), gang, now)
	assert.Assert(t, gang.busy, "the gang's start begins")
}
