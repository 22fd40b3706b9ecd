// Package placement chooses accelerators for the jobs of one data centre and keeps the guarantees of its customers.
//
// A guarantee is a number of cells as in HiveD (Zhao et al., OSDI 2020): aligned blocks within a worker, whole workers
// of one rack, or whole racks. A job either holds a cell of its customer or borrows accelerators and may be preempted.
// Invariant after every commit: preempting borrowers alone frees all unused guaranteed cells at once, except those that
// Missing reports.
package placement

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Worker is a worker that jobs can be placed on.
type Worker struct {
	ID           structs.WorkerID
	Rack         structs.RackID
	Accelerators int // accelerators beyond the declared number per worker are not used
}

// Guarantee entitles a customer to Count cells of Size accelerators.
type Guarantee struct {
	Customer structs.Customer
	Size     int
	Count    int
}

// MissingCells is a number of unused guaranteed cells that cannot be formed because workers are lost.
type MissingCells struct {
	Customer structs.Customer
	Size     int
	Count    int
}

// Member is the part of a placement on one worker.
type Member struct {
	Worker       structs.WorkerID
	Accelerators []int
}

// Placement assigns accelerators to a job. It takes effect when it is committed.
type Placement struct {
	Job      structs.JobID
	Customer structs.Customer
	CellSize int // accelerators of the guaranteed cell that the job holds, 0 when it borrows
	Members  []Member
	Victims  []structs.JobID // borrowers to preempt before the job starts
}

// Request asks for accelerators. Job must be unique in the data centre: job identifiers are unique per customer only,
// so the scheduler qualifies them with the customer.
type Request struct {
	Job          structs.JobID
	Customer     structs.Customer
	Accelerators int
	Urgency      int                       // 0 to structs.MaxUrgency; only preemption considers it
	Borrow       bool                      // never use a guaranteed cell
	Avoid        map[structs.WorkerID]bool // workers to leave out
	Now          time.Time                 // time of the decision; determines how much work victims lose
	// MayPreempt reports whether the job may preempt a given borrower of the same urgency, see queue.Queue.Overtakes.
	// Nil means that it may preempt none.
	MayPreempt func(structs.JobID) bool
}

// Attributes are the properties of a placed job that the choice of victims depends on.
type Attributes struct {
	Urgency     int
	SavedAt     time.Time // start or last checkpoint; work done since then is lost when the job is stopped
	Checkpoints bool      // the job writes a checkpoint when it is preempted, and loses no work
}

// JobSize is a job size with its share of the demand.
type JobSize struct {
	Size   int
	Weight float64
}
