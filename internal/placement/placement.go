// Package placement holds the cells of a data centre, the accounting of guarantees and the choice of accelerators.
//
// Cells follow the idea of HiveD (Zhao et al., OSDI 2020): accelerator, worker, rack and data centre form a hierarchy,
// and guarantees are numbers of cells. Invariant after every commit: all unused guarantees can be formed at once by
// preempting borrowers alone.
package placement

import (
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Worker describes a worker for placement.
type Worker struct {
	ID           structs.WorkerID
	Rack         structs.RackID
	Accelerators int
}

// Guarantee is Count cells of Size accelerators for a customer.
type Guarantee struct {
	Customer structs.Customer
	Size     int
	Count    int
}

// Missing is a guaranteed shape that cannot be formed because workers are lost.
type Missing struct {
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
