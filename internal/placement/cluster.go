package placement

import (
	"math/bits"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Cluster is the placement state of one data centre: workers, committed placements and guarantees. It keeps counts of
// the available cells, so the cost of checking the guarantees grows with the number of cell sizes, not of workers. It
// is not safe for concurrent use: the scheduler's decision loop owns it.
type Cluster struct {
	geometry      geometry
	workers       map[structs.WorkerID]*worker
	racks         map[structs.RackID]*rack
	sortedRacks   []*rack // by identifier, which puts neighbouring racks next to each other
	jobs          map[structs.JobID]*job
	free          counters // accelerators and cells that no job uses
	unreserved    counters // accelerators and cells outside the cells of guaranteed jobs
	workerClasses groups[workerClass, *worker]
	rackClasses   groups[rackClass, *rack]
	optionCache   map[optionKey][]option
	guarantees    guaranteeTable
	workload      workload
	borrowed      [structs.MaxUrgency + 1]int // accelerators that borrowers use, by their urgency

	guaranteesStale bool // workers or placements changed since refreshGuarantees ran
}

// job is a committed placement.
type job struct {
	placement Placement
	Attributes
	accelerators int
	parts        []part
	cellIndex    int    // size of its cell as an index into guarantees.sizes, -1 when it borrows
	cellParts    []part // accelerators of its cell, used or not
	demoted      bool   // it held a guaranteed cell and borrows now
}

// part is a set of accelerators of one worker.
type part struct {
	worker *worker
	mask   uint64
}

// NewCluster returns the state of a data centre without workers whose racks have the declared size.
func NewCluster(racks spec.Racks) *Cluster {
	c := &Cluster{jobs: map[structs.JobID]*job{}}
	c.reset(newGeometry(racks))
	return c
}

func (c *Cluster) reset(g geometry) {
	c.geometry = g
	c.workers = map[structs.WorkerID]*worker{}
	c.racks = map[structs.RackID]*rack{}
	c.sortedRacks = nil
	c.free = counters{racksByWorkers: make([]int, g.workersPerRack+1)}
	c.unreserved = counters{racksByWorkers: make([]int, g.workersPerRack+1)}
	c.workerClasses = newGroups[workerClass, *worker]()
	c.rackClasses = newGroups[rackClass, *rack]()
	c.optionCache = map[optionKey][]option{}
	c.guarantees = newGuaranteeTable(g, nil)
	c.SetWorkload(nil)
}

// SetWorker adds a worker, brings a lost one back, or changes a worker's description. Placements that are committed on
// it stay in force.
func (c *Cluster) SetWorker(described Worker) {
	count := min(max(0, described.Accelerators), c.geometry.acceleratorsPerWorker)
	known := c.workers[described.ID]
	if known != nil && known.accelerators == count && known.rack.id == described.Rack {
		c.setLost(known, false)
		return
	}
	w := &worker{id: described.ID, rack: c.ensureRack(described.Rack), accelerators: count, lost: true}
	w.usedBy = make([]*job, count)
	w.reservedBy = make([]*job, count)
	if known != nil {
		c.replaceWorker(known, w)
	}
	c.workers[w.id] = w
	w.rack.addWorker(w)
	c.setLost(w, false)
}

// replaceWorker moves the placements of a worker whose description changed to its new state. Accelerators that no
// longer exist are dropped, and jobs with a cell on the worker are demoted until they can get a cell again.
func (c *Cluster) replaceWorker(known, w *worker) {
	for _, j := range c.jobsOn(known) {
		if j.cellIndex >= 0 {
			c.demote(j)
		}
	}
	c.setLost(known, true)
	known.rack.removeWorker(known)
	copy(w.usedBy, known.usedBy)
	for _, j := range c.jobsOn(known) {
		for i := range j.parts {
			if j.parts[i].worker == known {
				j.parts[i] = part{w, j.parts[i].mask & w.all()}
			}
		}
	}
}

// ensureRack returns the rack, which it adds when it is unknown.
func (c *Cluster) ensureRack(id structs.RackID) *rack {
	if known := c.racks[id]; known != nil {
		return known
	}
	r := &rack{id: id}
	c.racks[id] = r
	i, _ := slices.BinarySearchFunc(c.sortedRacks, id, func(other *rack, id structs.RackID) int {
		return compareRacks(other.id, id)
	})
	c.sortedRacks = slices.Insert(c.sortedRacks, i, r)
	c.free.racksByWorkers[0]++
	c.unreserved.racksByWorkers[0]++
	c.indexRack(r)
	return r
}

// LoseWorker takes a worker out of use and returns the jobs that have accelerators on it, in the order of its
// accelerators. Their placements stay committed until the caller releases them; SetWorker may bring the worker back
// before that.
func (c *Cluster) LoseWorker(id structs.WorkerID) []structs.JobID {
	w := c.workers[id]
	if w == nil || w.lost {
		return nil
	}
	c.setLost(w, true)
	var ids []structs.JobID
	for _, j := range c.jobsOn(w) {
		if slices.Contains(w.usedBy, j) {
			ids = append(ids, j.placement.Job)
		}
	}
	c.dropIfUnused(w)
	return ids
}

func (c *Cluster) setLost(w *worker, lost bool) {
	if w.lost == lost {
		return
	}
	w.lost = lost
	c.guarantees.slacksAtRepair = nil
	c.guaranteesStale = true
	c.updateMasks(w)
}

// jobsOn returns the jobs that use accelerators of a worker or have a cell on it.
func (c *Cluster) jobsOn(w *worker) []*job {
	var jobs []*job
	for _, owner := range slices.Concat(w.usedBy, w.reservedBy) {
		if owner != nil && !slices.Contains(jobs, owner) {
			jobs = append(jobs, owner)
		}
	}
	return jobs
}

// dropIfUnused forgets a lost worker without placements, so that workers that never return do not accumulate.
func (c *Cluster) dropIfUnused(w *worker) {
	if !w.lost || c.workers[w.id] != w || len(c.jobsOn(w)) > 0 {
		return
	}
	delete(c.workers, w.id)
	w.rack.removeWorker(w)
	if len(w.rack.workers) == 0 {
		c.dropRack(w.rack)
	}
}

func (c *Cluster) dropRack(r *rack) {
	delete(c.racks, r.id)
	c.sortedRacks = slices.DeleteFunc(c.sortedRacks, func(other *rack) bool { return other == r })
	c.free.racksByWorkers[0]--
	c.unreserved.racksByWorkers[0]--
	c.unindexRack(r)
}

// updateMasks recomputes the masks of a worker and updates the counters and indexes by the difference.
func (c *Cluster) updateMasks(w *worker) {
	free, unreserved := w.masks()
	if free == w.free && unreserved == w.unreserved {
		return
	}
	whole := bitRange(0, c.geometry.acceleratorsPerWorker)
	freeDelta := oneIfEqual(free, whole) - oneIfEqual(w.free, whole)
	unreservedDelta := oneIfEqual(unreserved, whole) - oneIfEqual(w.unreserved, whole)
	c.free.addMask(w.free, -1)
	c.unreserved.addMask(w.unreserved, -1)
	w.free, w.unreserved = free, unreserved
	c.free.addMask(free, 1)
	c.unreserved.addMask(unreserved, 1)
	if freeDelta == 0 && unreservedDelta == 0 {
		c.indexWorker(w)
		return
	}
	c.updateRack(w.rack, freeDelta, unreservedDelta)
}

// updateRack changes the numbers of entirely free and unreserved workers of a rack and indexes the rack and its workers
// again.
func (c *Cluster) updateRack(r *rack, freeDelta, unreservedDelta int) {
	c.free.moveRack(r.freeWorkers, r.freeWorkers+freeDelta)
	c.unreserved.moveRack(r.unreservedWorkers, r.unreservedWorkers+unreservedDelta)
	r.freeWorkers += freeDelta
	r.unreservedWorkers += unreservedDelta
	c.indexRack(r)
	for _, w := range r.workers {
		c.indexWorker(w)
	}
}

func oneIfEqual(a, b uint64) int {
	if a == b {
		return 1
	}
	return 0
}

// Free is the number of accelerators that no job uses.
func (c *Cluster) Free() int { return c.free.accelerators }

// Capacity is the number of accelerators of all workers that are not lost.
func (c *Cluster) Capacity() int {
	total := 0
	for _, w := range c.workers {
		if !w.lost {
			total += w.accelerators
		}
	}
	return total
}

// Used returns the number of accelerators of a customer's committed placements, borrowed ones included.
func (c *Cluster) Used(customer structs.Customer) int {
	return c.guarantees.usedAccelerators[customer]
}

// Lookup returns a committed placement with its current cell size, which changes when the placement is demoted to a
// borrower or gets a cell again. Changed guarantees and lost workers cause demotions, see refreshGuarantees.
func (c *Cluster) Lookup(id structs.JobID) (Placement, bool) {
	c.refreshGuarantees()
	j := c.jobs[id]
	if j == nil {
		return Placement{}, false
	}
	return j.placement, true
}

// Release ends a placement, also that of a job that never started. Accelerators that its victims have not yet released
// return to them.
func (c *Cluster) Release(id structs.JobID) error {
	j := c.jobs[id]
	if j == nil {
		return errkind.New(errkind.NotFound, "release a placement once", "job %q has no placement", id)
	}
	delete(c.jobs, id)
	delete(c.guarantees.demoted, id)
	c.addUsed(j.placement.Customer, -j.accelerators)
	c.releaseCell(j)
	c.addBorrowed(j, -1)
	c.returnAccelerators(j)
	c.guaranteesStale = true
	return nil
}

// returnAccelerators frees the accelerators of j, except those that a victim of j still uses.
func (c *Cluster) returnAccelerators(j *job) {
	for _, p := range j.parts {
		for mask := p.mask; mask != 0; mask &= mask - 1 {
			at := bits.TrailingZeros64(mask)
			if p.worker.usedBy[at] == j {
				p.worker.usedBy[at] = c.victimUsing(j, p.worker, at)
			}
		}
		c.updateMasks(p.worker)
		c.dropIfUnused(p.worker)
	}
}

// victimUsing returns the victim of j that still uses an accelerator, nil when there is none.
func (c *Cluster) victimUsing(j *job, w *worker, at int) *job {
	for _, id := range j.placement.Victims {
		victim := c.jobs[id]
		if victim != nil && victim.uses(w, at) {
			return victim
		}
	}
	return nil
}

func (j *job) uses(w *worker, at int) bool {
	for _, p := range j.parts {
		if p.worker == w && p.mask&(1<<at) != 0 {
			return true
		}
	}
	return false
}
