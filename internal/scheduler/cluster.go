package scheduler

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/preemption"
	"dogwoodnotch.example/dogwoodnotch/internal/queue"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// adoptText puts a changed specification in force.
func (t *term) adoptText() {
	text := t.config.Text()
	if text == t.text || text == nil {
		return
	}
	dc := findDataCentre(text, t.dc)
	if dc == nil {
		return
	}
	policy := policyOf(dc, text)
	if t.queue == nil {
		t.queue = queue.New(policy)
	}
	t.queue.SetPolicy(policy)
	t.text = text
	t.placementDue = true
	if t.cluster == nil || t.racksSpec != dc.Racks {
		t.buildCluster(dc.Racks)
	}
	if err := t.setGuarantees(); err != nil {
		t.config.Log.Emit(eventGuaranteesRefused, event.F("cause", err))
	}
}

// buildCluster rebuilds the placement view from the known workers and placed jobs. Unusable workers are removed last, so
// that the jobs on them keep their accelerators booked.
func (t *term) buildCluster(racks spec.Racks) {
	t.racksSpec = racks
	t.cluster = placement.NewCluster(racks)
	t.guarantees = nil // jobs are restored as borrowers and get their cells when the guarantees are set again
	for _, w := range t.workers {
		if w.accelerators > 0 {
			t.cluster.SetWorker(w.placement())
		}
	}
	for _, starting := range []bool{false, true} { // victims before the jobs that they yield to, which are still starting
		for _, j := range t.jobs {
			if j.placed && j.origin != fromProbe && (j.state == structs.JobStarting) == starting {
				t.restore(j)
			}
		}
	}
	for _, w := range t.workers {
		if !t.usable(w) {
			t.cluster.LoseWorker(w.id)
		}
	}
}

// usable reports whether new work may be placed on a worker.
func (t *term) usable(w *worker) bool { return w.reachable && !t.excluded[w.id] }

// restore books the accelerators of a placed job. The placement view decides whether they count as guaranteed.
func (t *term) restore(j *job) {
	restored, err := t.cluster.Restore(j.placement, attributes(j, time.Now()))
	if err != nil {
		t.config.Log.Emit(eventBookingInconsistent, event.F("job", j.key), event.F("cause", err))
		return
	}
	j.placement.CellSize = restored.CellSize
}

func attributes(j *job, savedAt time.Time) placement.Attributes {
	return placement.Attributes{Urgency: j.info.Urgency, SavedAt: savedAt, Checkpoints: j.info.Checkpoint > 0}
}

// choose finds a placement, by preemption when too few accelerators are free.
func (t *term) choose(r placement.Request) (placement.Placement, error) {
	p, err := t.cluster.Place(r)
	if errkind.Is(err, errkind.Unavailable) {
		return preemption.Choose(t.cluster, r)
	}
	return p, err
}

// logMissingCells logs the guaranteed cells that cannot be formed because workers are lost, by customer and size: each
// when it first appears or its count changes.
func (t *term) logMissingCells() {
	now := map[placement.MissingCells]bool{}
	for _, m := range t.cluster.Missing() {
		now[m] = true
		if !t.missingCells[m] {
			t.config.Log.Emit(eventCellsMissing, event.F("customer", m.Customer), event.F("size", m.Size), event.F("count", m.Count))
		}
	}
	t.missingCells = now
}

func policyOf(dc *spec.DataCentre, text *spec.Text) queue.Policy {
	racks := dc.Racks
	policy := queue.Policy{
		MaxJobs:      text.Limits.QueuedJobs,
		Accelerators: racks.Count * racks.WorkersPerRack * racks.AcceleratorsPerWorker,
		Customers:    map[structs.Customer]queue.Share{},
	}
	for i := range text.Customers {
		c := &text.Customers[i]
		policy.Customers[c.Name] = queue.Share{Weight: c.Weight, Quota: c.Quota.Accelerators}
	}
	return policy
}

func guaranteesOf(text *spec.Text, dc structs.DataCentre) []placement.Guarantee {
	var all []placement.Guarantee
	for i := range text.Customers {
		for _, g := range text.Customers[i].Guarantees {
			if g.DataCentre == dc {
				all = append(all, placement.Guarantee{Customer: text.Customers[i].Name, Size: g.Size, Count: g.Count})
			}
		}
	}
	return all
}

// couldUseGuarantee reports whether a job's customer holds a guarantee that could serve it.
func (t *term) couldUseGuarantee(info structs.Job) bool {
	for _, g := range guaranteesOf(t.text, t.dc) {
		if g.Customer == info.Customer && g.Size >= info.Accelerators {
			return true
		}
	}
	return false
}

// enqueue makes a job wait for its start. The job enters the queue in endPauses, as soon as it may start.
func (t *term) enqueue(j *job) {
	if j.origin == fromProbe {
		return
	}
	t.paused[j.key] = true
	t.placementDue = true
}

// dequeue ends the wait of a job for its start.
func (t *term) dequeue(j *job) {
	delete(t.paused, j.key)
	if t.queue != nil {
		t.queue.Remove(j.key)
	}
}

// endPauses moves the paused jobs that may start now into the queue, and schedules the next placement for
// the end of the next pause.
func (t *term) endPauses(now time.Time) {
	t.nextPlacement = time.Time{}
	for key := range t.paused {
		j := t.jobs[key]
		if j == nil || j.state != structs.JobWaiting {
			delete(t.paused, key)
			continue
		}
		if until, reason := t.pausedUntil(j, now); now.Before(until) {
			j.reason = reason
			t.schedulePlacement(until)
			continue
		}
		delete(t.paused, key)
		t.queue.Requeue(t.entry(j))
	}
}

// entry is the queue's view of a job, with the qualified id.
func (t *term) entry(j *job) queue.Entry {
	info := j.info
	info.ID = j.key
	return queue.Entry{Job: info, Attained: j.attained, Guaranteed: t.couldUseGuarantee(info)}
}
