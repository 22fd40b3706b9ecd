package placement

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// HoldBack chooses the workers that a waiting gang should get once their jobs have ended: those of the rack that is
// expected to have enough whole workers soonest, or of neighbouring racks when one rack has too few. The caller avoids
// them for other jobs, so that small jobs do not keep the gang waiting for ever. remaining is the expected time until
// a job ends. It returns nil when the workers in use are too few for the gang.
func (c *Cluster) HoldBack(r Request, remaining func(structs.JobID) time.Duration) map[structs.WorkerID]bool {
	needed := (r.Accelerators + c.geometry.accelerators - 1) / c.geometry.accelerators
	racks := max(1, (needed+c.geometry.workers-1)/c.geometry.workers)
	var best []drain
	for first := range c.order {
		if first+racks > len(c.order) {
			break
		}
		var drains []drain
		for _, rack := range c.order[first : first+racks] {
			drains = append(drains, c.drains(rack, r, remaining)...)
		}
		if len(drains) < needed {
			continue
		}
		slices.SortStableFunc(drains, func(a, b drain) int { return cmp.Compare(a.after, b.after) })
		if best == nil || drains[needed-1].after < best[needed-1].after {
			best = drains[:needed]
		}
	}
	if best == nil {
		return nil
	}
	held := make(map[structs.WorkerID]bool, needed)
	for _, d := range best {
		held[d.worker.id] = true
	}
	return held
}

// drain is the time after which a worker is expected to be free.
type drain struct {
	worker *worker
	after  time.Duration
}

func (c *Cluster) drains(r *rack, request Request, remaining func(structs.JobID) time.Duration) []drain {
	var drains []drain
	for _, w := range r.workers {
		if w.lost || w.count < c.geometry.accelerators || request.Avoid[w.id] {
			continue
		}
		d := drain{worker: w}
		for _, j := range c.jobsOn(w) {
			d.after = max(d.after, remaining(j.placement.Job))
		}
		drains = append(drains, d)
	}
	return drains
}
