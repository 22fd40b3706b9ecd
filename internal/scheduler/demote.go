package scheduler

import (
	"slices"
	"time"
)

// syncCells updates the jobs that the placement view demoted to borrowers, because guarantees could not be formed otherwise,
// and those that got a guaranteed cell again. It visits only the jobs that are demoted now or were at the last call.
func (t *term) syncCells() {
	demoted := t.cluster.Demoted()
	for _, key := range t.demoted {
		t.syncCell(t.jobs[key])
	}
	for _, key := range demoted {
		t.syncCell(t.jobs[key])
	}
	t.demoted = demoted
}

// syncCell updates the cell size of a job from the placement view.
func (t *term) syncCell(j *job) {
	if j == nil || !j.placed {
		return
	}
	current, booked := t.cluster.Lookup(j.key)
	if booked && current.CellSize != j.placement.CellSize {
		t.chargeUntil(j, time.Now()) // under the cell size that applied until now
		j.placement.CellSize = current.CellSize
	}
}

// setGuarantees puts the guarantees of the specification in force. A change of them can move any job to another cell.
func (t *term) setGuarantees() error {
	guarantees := guaranteesOf(t.text, t.dc)
	if err := t.cluster.SetGuarantees(guarantees); err != nil {
		return err
	}
	if slices.Equal(guarantees, t.guarantees) {
		return nil
	}
	t.guarantees = guarantees
	for _, j := range t.jobs {
		t.syncCell(j)
	}
	return nil
}
