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

// checkRequest rejects malformed requests, jobs that are placed already and sizes that no state of the cluster could
// hold.
func (c *Cluster) checkRequest(r Request) error {
	if r.Accelerators <= 0 || r.Job == "" {
		return errkind.New(errkind.Invalid, "name the job and ask for at least 1 accelerator",
			"job %q asks for %d accelerators", r.Job, r.Accelerators)
	}
	if c.jobs[r.Job] != nil {
		return errkind.New(errkind.Conflict, "release the placement first", "job %q is placed already", r.Job)
	}
	most := max(c.geometry.declaredRacks, len(c.racks)) * c.geometry.rackSize()
	if r.Accelerators > most {
		return errkind.New(errkind.CannotRun, "ask for fewer accelerators or use a larger data centre",
			"job %q needs %d accelerators, the data centre has at most %d", r.Job, r.Accelerators, most)
	}
	return nil
}

// cellUnavailableError tells why a customer's unused guaranteed cell cannot be used at present.
func (c *Cluster) cellUnavailableError(r Request, cellIndex int) error {
	size := c.guarantees.sizes[cellIndex].accelerators
	if missing := c.missingCells(r, size); missing > 0 {
		return errkind.New(errkind.Unavailable, "wait until lost workers return or guaranteed jobs end",
			"customer %q has %d guaranteed cells of %d accelerators that cannot be formed because workers are lost",
			r.Customer, missing, size)
	}
	return errkind.New(errkind.Unavailable, "preempt borrowers",
		"borrowers use the guaranteed cell of %d accelerators of customer %q", size, r.Customer)
}

func (c *Cluster) missingCells(r Request, size int) int {
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
		"job %q needs %d adjacent accelerators; %d are free, but not in a suitable block or set of workers",
		r.Job, r.Accelerators, c.free.accelerators)
}

// Entitled reports whether a customer has an unused guaranteed cell that holds n accelerators.
func (c *Cluster) Entitled(customer structs.Customer, n int) bool {
	return c.guarantees.smallestUnused(customer, n) >= 0
}
