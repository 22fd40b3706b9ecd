package placement

import (
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Commit puts a placement in force. Accelerators of its victims pass to it at once, so that nobody else gets them while
// the victims stop; the caller starts the job when it has released them. The error has kind Conflict when the
// accelerators are in use or the placement would make a guarantee impossible to form; then nothing changed.
func (c *Cluster) Commit(p Placement, a Attributes) error {
	c.settle()
	j, err := c.newJob(p, a)
	if err != nil {
		return err
	}
	if err := c.checkOwners(j); err != nil {
		return err
	}
	c.own(j)
	if i := c.unusedOf(p); p.CellSize == 0 || i >= 0 && c.openCell(j, i) {
		return nil
	}
	delete(c.jobs, p.Job)
	c.addUsed(p.Customer, -j.accelerators)
	c.lend(j, -1)
	c.handBack(j)
	return errkind.New(errkind.Conflict, "place the job again",
		"a cell of %d accelerators for job %q would leave a guarantee that cannot be formed", p.CellSize, p.Job)
}

// Restore puts a placement in force that was found running after a change of scheduler, and returns it as it counts
// now: one that was guaranteed becomes a borrower when its customer has no such cell, or when keeping the cell
// would make another guarantee impossible to form. The error has kind Conflict when its accelerators are in use or
// its workers are unknown; then nothing changed.
func (c *Cluster) Restore(p Placement, a Attributes) (Placement, error) {
	j, err := c.newJob(p, a)
	if err != nil {
		return Placement{}, err
	}
	if err := c.checkOwners(j); err != nil {
		return Placement{}, err
	}
	c.own(j)
	if i := c.unusedOf(p); p.CellSize > 0 && (i < 0 || !c.openCell(j, i)) {
		c.demote(j)
		c.unsettled = true
	}
	return j.placement, nil
}

// Describe replaces the attributes of a placement, for example after a checkpoint. It reports whether there is one.
func (c *Cluster) Describe(id structs.JobID, a Attributes) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if j.cell < 0 {
		c.lend(j, -1)
	}
	j.Attributes = a
	if j.cell < 0 {
		c.lend(j, 1)
	}
	return true
}

// unusedOf is the index of the cell that a placement uses, -1 when its customer has none.
func (c *Cluster) unusedOf(p Placement) int {
	i := c.ledger.index(p.CellSize)
	if i < 0 || c.ledger.unused[p.Customer] == nil || c.ledger.unused[p.Customer][i] <= 0 {
		return -1
	}
	return i
}

func (c *Cluster) newJob(p Placement, a Attributes) (*job, error) {
	if c.jobs[p.Job] != nil || p.Job == "" || len(p.Members) == 0 {
		return nil, errkind.New(errkind.Conflict, "release the earlier placement first",
			"job %q has a placement already, or this one is empty", p.Job)
	}
	j := &job{placement: p, Attributes: a, cell: -1}
	j.placement.CellSize = 0
	for _, m := range p.Members {
		one, err := c.partOf(m)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(j.parts, func(other part) bool { return other.worker == one.worker }) {
			return nil, errkind.New(errkind.Invalid, "list each worker once", "worker %q is listed twice", m.Worker)
		}
		j.parts = append(j.parts, one)
		j.accelerators += len(m.Accelerators)
	}
	return j, nil
}

func (c *Cluster) partOf(m Member) (part, error) {
	w := c.workers[m.Worker]
	if w == nil || w.lost {
		return part{}, errkind.New(errkind.Conflict, "place the job again", "worker %q is not available", m.Worker)
	}
	one := part{worker: w}
	for _, at := range m.Accelerators {
		if at < 0 || at >= w.count || one.mask&(1<<at) != 0 {
			return part{}, errkind.New(errkind.Invalid, "list each accelerator of the worker once",
				"worker %q has no accelerator %d, or it is listed twice", m.Worker, at)
		}
		one.mask |= 1 << at
	}
	if one.mask == 0 {
		return part{}, errkind.New(errkind.Invalid, "list at least one accelerator", "worker %q has no part", m.Worker)
	}
	return one, nil
}

func (c *Cluster) checkOwners(j *job) error {
	for _, p := range j.parts {
		for at, owner := range p.worker.owner {
			if p.mask&(1<<at) == 0 || owner == nil {
				continue
			}
			if owner.cell >= 0 || !slices.Contains(j.placement.Victims, owner.placement.Job) {
				return errkind.New(errkind.Conflict, "place the job again",
					"accelerator %d of worker %q is used by job %q", at, p.worker.id, owner.placement.Job)
			}
		}
	}
	return nil
}

func (c *Cluster) own(j *job) {
	c.jobs[j.placement.Job] = j
	c.lend(j, 1)
	c.addUsed(j.placement.Customer, j.accelerators)
	for _, p := range j.parts {
		for at := range p.worker.owner {
			if p.mask&(1<<at) != 0 {
				p.worker.owner[at] = j
			}
		}
		c.refresh(p.worker)
	}
}

func (c *Cluster) addUsed(customer structs.Customer, delta int) {
	c.ledger.used[customer] += delta
	if c.ledger.used[customer] == 0 {
		delete(c.ledger.used, customer)
	}
}
