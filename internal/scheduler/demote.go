package scheduler

import (
	"slices"
	"time"
)

// syncCells follows the placements that became borrowers because guarantees could not be formed otherwise, and those
// that got a cell again. It visits only jobs that are demoted or were at the last look.
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

// syncCell takes over the cell size that counts at present.
func (t *term) syncCell(j *job) {
	if j == nil || !j.placed {
		return
	}
	current, booked := t.cluster.Lookup(j.key)
	if booked && current.CellSize != j.placement.CellSize {
		t.chargeUntil(j, time.Now()) // at the terms that held until now
		j.placement.CellSize = current.CellSize
	}
}

// setGuarantees puts the guarantees of the specification in force. Changed ones can move any job to another cell.
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
