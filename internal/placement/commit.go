package placement

import (
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Commit puts a placement in force. It assigns the accelerators of the victims to the job at once, so that no other job
// gets them while the victims stop; the caller starts the job after it has released the victims. The error has kind
// Conflict when accelerators are in use by other jobs, or when the placement would make a guaranteed cell impossible to
// form; then nothing has changed.
func (c *Cluster) Commit(p Placement, a Attributes) error {
	c.refreshGuarantees()
	j, err := c.newJob(p, a)
	if err != nil {
		return err
	}
	if err := c.checkConflicts(j); err != nil {
		return err
	}
	c.takeAccelerators(j)
	if i := c.unusedCellIndex(p); p.CellSize == 0 || i >= 0 && c.reserveCell(j, i) {
		return nil
	}
	delete(c.jobs, p.Job)
	c.addUsed(p.Customer, -j.accelerators)
	c.addBorrowed(j, -1)
	c.returnAccelerators(j)
	return errkind.New(errkind.Conflict, "place the job again",
		"reserving a cell of %d accelerators for job %q would make another guaranteed cell impossible to form",
		p.CellSize, p.Job)
}

// Restore puts the placement of a job in force that a new scheduler leader found running, and returns it as committed:
// a guaranteed placement is demoted to a borrower when its customer has no such cell left, or when keeping the cell
// would make another guaranteed cell impossible to form. The error has kind Conflict when accelerators are in use or
// workers are not available; then nothing has changed.
func (c *Cluster) Restore(p Placement, a Attributes) (Placement, error) {
	j, err := c.newJob(p, a)
	if err != nil {
		return Placement{}, err
	}
	if err := c.checkConflicts(j); err != nil {
		return Placement{}, err
	}
	c.takeAccelerators(j)
	if i := c.unusedCellIndex(p); p.CellSize > 0 && (i < 0 || !c.reserveCell(j, i)) {
		c.demote(j)
		c.guaranteesStale = true
	}
	return j.placement, nil
}

// SetAttributes replaces the attributes of a placement, for example after a checkpoint. It reports whether the job has
// a placement.
func (c *Cluster) SetAttributes(id structs.JobID, a Attributes) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if j.cellIndex < 0 {
		c.addBorrowed(j, -1)
	}
	j.Attributes = a
	if j.cellIndex < 0 {
		c.addBorrowed(j, 1)
	}
	return true
}

// unusedCellIndex is the index of the placement's cell size, -1 when its customer has no unused cell of that size.
func (c *Cluster) unusedCellIndex(p Placement) int {
	i := c.guarantees.sizeIndex(p.CellSize)
	if i < 0 || c.guarantees.unused[p.Customer] == nil || c.guarantees.unused[p.Customer][i] <= 0 {
		return -1
	}
	return i
}

// newJob checks the form of a placement and returns it as a borrower.
func (c *Cluster) newJob(p Placement, a Attributes) (*job, error) {
	if c.jobs[p.Job] != nil || p.Job == "" || len(p.Members) == 0 {
		return nil, errkind.New(errkind.Conflict, "release the earlier placement first",
			"job %q has a placement already, or the new placement has no job or no members", p.Job)
	}
	j := &job{placement: p, Attributes: a, cellIndex: -1}
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
		if at < 0 || at >= w.accelerators || one.mask&(1<<at) != 0 {
			return part{}, errkind.New(errkind.Invalid, "list each accelerator of the worker once",
				"worker %q has no accelerator %d, or it is listed twice", m.Worker, at)
		}
		one.mask |= 1 << at
	}
	if one.mask == 0 {
		return part{}, errkind.New(errkind.Invalid, "list at least one accelerator",
			"the placement lists no accelerator of worker %q", m.Worker)
	}
	return one, nil
}

// checkConflicts returns an error of kind Conflict when j needs an accelerator of a job that is not one of its victims
// or holds a cell.
func (c *Cluster) checkConflicts(j *job) error {
	for _, p := range j.parts {
		for at, owner := range p.worker.usedBy {
			if p.mask&(1<<at) == 0 || owner == nil {
				continue
			}
			if owner.cellIndex >= 0 || !slices.Contains(j.placement.Victims, owner.placement.Job) {
				return errkind.New(errkind.Conflict, "place the job again",
					"accelerator %d of worker %q is used by job %q", at, p.worker.id, owner.placement.Job)
			}
		}
	}
	return nil
}

// takeAccelerators adds j as a borrower and assigns its accelerators to it.
func (c *Cluster) takeAccelerators(j *job) {
	c.jobs[j.placement.Job] = j
	c.addBorrowed(j, 1)
	c.addUsed(j.placement.Customer, j.accelerators)
	for _, p := range j.parts {
		for at := range p.worker.usedBy {
			if p.mask&(1<<at) != 0 {
				p.worker.usedBy[at] = j
			}
		}
		c.updateMasks(p.worker)
	}
}

func (c *Cluster) addUsed(customer structs.Customer, delta int) {
	c.guarantees.usedAccelerators[customer] += delta
	if c.guarantees.usedAccelerators[customer] == 0 {
		delete(c.guarantees.usedAccelerators, customer)
	}
}
