package placement

import (
	"math/bits"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Cluster is the placement state of one data centre: workers, committed placements and guarantees. Counters of free
// and guaranteed cells are kept up to date, so that a check costs the number of sizes and not that of workers.
// It is not safe for concurrent use: the scheduler's decision loop owns it.
type Cluster struct {
	geometry geometry
	workers  map[structs.WorkerID]*worker
	racks    map[structs.RackID]*rack
	order    []*rack // by identifier, neighbours are adjacent
	jobs     map[structs.JobID]*job
	free     counters // accelerators that no job uses
	open     counters // accelerators that no guaranteed job holds
	classes  groups[class, *worker]
	spaces   groups[rackClass, *rack]
	options  map[optionKey][]option
	ledger   ledger
	workload workload
	lent     [structs.MaxUrgency + 1]int // accelerators of borrowers by urgency

	unsettled bool // workers or placements changed since guarantees were re-established
}

// job is a committed placement.
type job struct {
	placement Placement
	Attributes
	accelerators int
	parts        []part
	cell         int    // index of its cell in the chain of guaranteed sizes, -1 when it borrows
	held         []part // accelerators of its cell
	demoted      bool   // it borrows although it was placed as guaranteed
}

// part is the accelerators of a job on one worker.
type part struct {
	worker *worker
	mask   uint64
}

// NewCluster returns an empty data centre whose racks have the declared form.
func NewCluster(racks spec.Racks) *Cluster {
	c := &Cluster{jobs: map[structs.JobID]*job{}}
	c.reset(newGeometry(racks))
	return c
}

func (c *Cluster) reset(g geometry) {
	c.geometry = g
	c.workers = map[structs.WorkerID]*worker{}
	c.racks = map[structs.RackID]*rack{}
	c.order = nil
	c.free = counters{racks: make([]int, g.workers+1)}
	c.open = counters{racks: make([]int, g.workers+1)}
	c.classes = newGroups[class, *worker]()
	c.spaces = newGroups[rackClass, *rack]()
	c.options = map[optionKey][]option{}
	c.ledger = newLedger(g, nil)
	c.SetWorkload(nil)
}

// SetWorker adds a worker, or brings one back that was lost. Placements that were committed on it are still in force.
func (c *Cluster) SetWorker(described Worker) {
	count := min(max(0, described.Accelerators), c.geometry.accelerators)
	known := c.workers[described.ID]
	if known != nil && known.count == count && known.rack.id == described.Rack {
		c.setLost(known, false)
		return
	}
	w := &worker{id: described.ID, rack: c.rack(described.Rack), count: count, lost: true}
	w.owner = make([]*job, count)
	w.cells = make([]*job, count)
	if known != nil {
		c.replace(known, w)
	}
	c.workers[w.id] = w
	w.rack.addWorker(w)
	c.setLost(w, false)
}

// replace moves the placements of a worker whose description changed. Accelerators that no longer exist are dropped, and
// cells around the worker are formed anew.
func (c *Cluster) replace(known, w *worker) {
	for _, j := range c.jobsOn(known) {
		if j.cell >= 0 {
			c.demote(j)
		}
	}
	c.setLost(known, true)
	known.rack.removeWorker(known)
	copy(w.owner, known.owner)
	for _, j := range c.jobsOn(known) {
		for i := range j.parts {
			if j.parts[i].worker == known {
				j.parts[i] = part{w, j.parts[i].mask & w.all()}
			}
		}
	}
}

func (c *Cluster) rack(id structs.RackID) *rack {
	if known := c.racks[id]; known != nil {
		return known
	}
	r := &rack{id: id}
	c.racks[id] = r
	i, _ := slices.BinarySearchFunc(c.order, id, func(other *rack, id structs.RackID) int {
		return compareRacks(other.id, id)
	})
	c.order = slices.Insert(c.order, i, r)
	c.free.racks[0]++
	c.open.racks[0]++
	c.indexRack(r)
	return r
}

// LoseWorker takes a worker out of use and returns the jobs that have accelerators on it, in the order of its
// accelerators. They stay committed until the caller releases them; the worker may return before.
func (c *Cluster) LoseWorker(id structs.WorkerID) []structs.JobID {
	w := c.workers[id]
	if w == nil || w.lost {
		return nil
	}
	c.setLost(w, true)
	var ids []structs.JobID
	for _, j := range c.jobsOn(w) {
		if slices.Contains(w.owner, j) {
			ids = append(ids, j.placement.Job)
		}
	}
	c.forgetIfUnused(w)
	return ids
}

func (c *Cluster) setLost(w *worker, lost bool) {
	if w.lost == lost {
		return
	}
	w.lost = lost
	c.ledger.settled = nil
	c.unsettled = true
	c.refresh(w)
}

func (c *Cluster) jobsOn(w *worker) []*job {
	var jobs []*job
	for _, owner := range slices.Concat(w.owner, w.cells) {
		if owner != nil && !slices.Contains(jobs, owner) {
			jobs = append(jobs, owner)
		}
	}
	return jobs
}

// forgetIfUnused drops a lost worker without placements, so that replaced workers do not accumulate.
func (c *Cluster) forgetIfUnused(w *worker) {
	if !w.lost || c.workers[w.id] != w || len(c.jobsOn(w)) > 0 {
		return
	}
	delete(c.workers, w.id)
	w.rack.removeWorker(w)
	if len(w.rack.workers) == 0 {
		c.forgetRack(w.rack)
	}
}

func (c *Cluster) forgetRack(r *rack) {
	delete(c.racks, r.id)
	c.order = slices.DeleteFunc(c.order, func(other *rack) bool { return other == r })
	c.free.racks[0]--
	c.open.racks[0]--
	c.unindexRack(r)
}

// refresh recomputes the masks of a worker from its owners and updates counters and indexes by the difference.
func (c *Cluster) refresh(w *worker) {
	free, open := w.masks()
	if free == w.free && open == w.open {
		return
	}
	whole := run(0, c.geometry.accelerators)
	freeDelta := equal(free, whole) - equal(w.free, whole)
	openDelta := equal(open, whole) - equal(w.open, whole)
	c.free.addMask(w.free, -1)
	c.open.addMask(w.open, -1)
	w.free, w.open = free, open
	c.free.addMask(free, 1)
	c.open.addMask(open, 1)
	if freeDelta == 0 && openDelta == 0 {
		c.indexWorker(w)
		return
	}
	c.moveRack(w.rack, freeDelta, openDelta)
}

// moveRack changes the whole workers of a rack and indexes it and its workers anew.
func (c *Cluster) moveRack(r *rack, freeDelta, openDelta int) {
	c.free.moveRack(r.freeWhole, r.freeWhole+freeDelta)
	c.open.moveRack(r.openWhole, r.openWhole+openDelta)
	r.freeWhole += freeDelta
	r.openWhole += openDelta
	c.indexRack(r)
	for _, w := range r.workers {
		c.indexWorker(w)
	}
}

func equal(a, b uint64) int {
	if a == b {
		return 1
	}
	return 0
}

// Free is the number of accelerators that no job uses.
func (c *Cluster) Free() int { return c.free.accelerators }

// Capacity is the number of accelerators of the workers that are not lost.
func (c *Cluster) Capacity() int {
	total := 0
	for _, w := range c.workers {
		if !w.lost {
			total += w.count
		}
	}
	return total
}

// Used returns the accelerators of a customer's committed placements, borrowed ones included.
func (c *Cluster) Used(customer structs.Customer) int {
	return c.ledger.used[customer]
}

// Lookup returns a committed placement with its current cell size: a guaranteed placement is demoted to a borrower when
// changed guarantees or lost workers leave no other way to form the guarantees.
func (c *Cluster) Lookup(id structs.JobID) (Placement, bool) {
	c.settle()
	j := c.jobs[id]
	if j == nil {
		return Placement{}, false
	}
	return j.placement, true
}

// Release ends a placement, also that of a job which never started. Accelerators that its victims have not yet
// given back return to them.
func (c *Cluster) Release(id structs.JobID) error {
	j := c.jobs[id]
	if j == nil {
		return errkind.New(errkind.NotFound, "release a placement once", "job %q has no placement", id)
	}
	delete(c.jobs, id)
	delete(c.ledger.demoted, id)
	c.addUsed(j.placement.Customer, -j.accelerators)
	c.closeCell(j)
	c.lend(j, -1)
	c.handBack(j)
	c.unsettled = true
	return nil
}

func (c *Cluster) handBack(j *job) {
	for _, p := range j.parts {
		for mask := p.mask; mask != 0; mask &= mask - 1 {
			at := bits.TrailingZeros64(mask)
			if p.worker.owner[at] == j {
				p.worker.owner[at] = c.formerOwner(j, p.worker, at)
			}
		}
		c.refresh(p.worker)
		c.forgetIfUnused(p.worker)
	}
}

func (c *Cluster) formerOwner(j *job, w *worker, at int) *job {
	for _, id := range j.placement.Victims {
		victim := c.jobs[id]
		if victim != nil && victim.holds(w, at) {
			return victim
		}
	}
	return nil
}

func (j *job) holds(w *worker, at int) bool {
	for _, p := range j.parts {
		if p.worker == w && p.mask&(1<<at) != 0 {
			return true
		}
	}
	return false
}
