package placement

import (
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func checkGuarantees(guarantees []Guarantee) error {
	for _, g := range guarantees {
		if g.Count < 0 || g.Customer == "" {
			return errkind.New(errkind.Invalid, "name a customer and a count of at least 0",
				"guarantee of %d cells of %d for customer %q", g.Count, g.Size, g.Customer)
		}
	}
	return nil
}

// checkRequest finds requests that no state of the cluster could hold.
func (c *Cluster) checkRequest(r Request) error {
	if r.Accelerators <= 0 || r.Job == "" {
		return errkind.New(errkind.Invalid, "name the job and ask for at least 1 accelerator",
			"job %q asks for %d accelerators", r.Job, r.Accelerators)
	}
	if c.jobs[r.Job] != nil {
		return errkind.New(errkind.Conflict, "release the placement first", "job %q is placed already", r.Job)
	}
	most := max(c.geometry.racks, len(c.racks)) * c.geometry.rackSize()
	if r.Accelerators > most {
		return errkind.New(errkind.CannotRun, "ask for fewer accelerators or use a larger data centre",
			"job %q needs %d accelerators, the data centre has at most %d", r.Job, r.Accelerators, most)
	}
	return nil
}

func (c *Cluster) lentError(r Request, cellIndex int) error {
	size := c.ledger.cells[cellIndex].size
	if missing := c.missingOf(r, size); missing > 0 {
		return errkind.New(errkind.Unavailable, "wait until lost workers return or guaranteed jobs end",
			"customer %q has %d guaranteed shapes of %d accelerators that cannot be formed because workers are lost",
			r.Customer, missing, size)
	}
	return errkind.New(errkind.Unavailable, "preempt borrowers",
		"the guaranteed shape of %d accelerators of customer %q is lent to borrowers", size, r.Customer)
}

func (c *Cluster) missingOf(r Request, size int) int {
	for _, m := range c.Missing() {
		if m.Customer == r.Customer && m.Size == size {
			return m.Count
		}
	}
	return 0
}

func (c *Cluster) noRoomError(r Request) error {
	if r.Accelerators > c.free.accelerators {
		return errkind.New(errkind.Unavailable, "wait until jobs end",
			"job %q needs %d accelerators, %d are free", r.Job, r.Accelerators, c.free.accelerators)
	}
	return errkind.New(errkind.Unavailable, "wait until jobs end",
		"job %q needs %d adjacent accelerators; %d are free, but no free shape holds them",
		r.Job, r.Accelerators, c.free.accelerators)
}

// Entitled reports whether a customer has an unused guaranteed cell that holds n accelerators.
func (c *Cluster) Entitled(customer structs.Customer, n int) bool {
	return c.ledger.smallest(customer, n) >= 0
}
