// Package placement holds the cells of a data centre, the accounting of guarantees and the choice of accelerators.
//
// Cells follow the idea of HiveD (Zhao et al., OSDI 2020): accelerator, worker, rack and data centre form a hierarchy,
// and guarantees are numbers of cells. Invariant after every commit: all unused guarantees can be formed at once by
// preempting borrowers alone, except those that Missing reports.
package placement

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Worker describes a worker for placement.
type Worker struct {
	ID           structs.WorkerID
	Rack         structs.RackID
	Accelerators int // those above the declared accelerators per worker are not used
}

// Guarantee is Count cells of Size accelerators for a customer.
type Guarantee struct {
	Customer structs.Customer
	Size     int
	Count    int
}

// MissingCells is a guaranteed shape that cannot be formed because workers are lost.
type MissingCells struct {
	Customer structs.Customer
	Size     int
	Count    int
}

// Member is one task's part of a placement.
type Member struct {
	Worker       structs.WorkerID
	Accelerators []int
}

// Placement is a choice of accelerators for a job. It changes nothing until it is committed.
type Placement struct {
	Job      structs.JobID
	Customer structs.Customer
	CellSize int // guaranteed cell that it uses, 0 when it borrows
	Members  []Member
	Victims  []structs.JobID // borrowers that must yield first
}

// Request asks for accelerators. Job must be unique in the data centre: job ids are unique per customer only, so the
// scheduler qualifies them with the customer.
type Request struct {
	Job          structs.JobID
	Customer     structs.Customer
	Accelerators int
	Urgency      int                       // 0 to structs.MaxUrgency; matters for preemption only
	Borrow       bool                      // never use a guarantee
	Avoid        map[structs.WorkerID]bool // workers that must not be used
	Now          time.Time                 // time of the decision, for the work that victims lose
	// MayPreempt reports whether a borrower of the same urgency must yield as well, see queue.Queue.Overtakes. Nil means none.
	MayPreempt func(structs.JobID) bool
}

// Attributes describe a placed job for the choice of victims.
type Attributes struct {
	Urgency     int
	SavedAt     time.Time // start or last checkpoint: work since then is lost when the job is stopped
	Checkpoints bool      // the job saves its work when it is asked to yield
}

// Shape is a size of jobs with its share of the demand.
type Shape struct {
	Size   int
	Weight float64
}
