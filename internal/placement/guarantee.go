package placement

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// guaranteeTable counts guaranteed cells by customer and size. Each size divides the next larger one. Therefore all
// unused cells fit into the unreserved accelerators at once if and only if, for each size, the unreserved cells are at
// least the unused cells of that size and those contained in larger unused cells.
type guaranteeTable struct {
	sizes            []cellSize                 // distinct sizes of the guarantees, smallest first
	cellsWithin      [][]int                    // [small][large]: cells of the small size within one of the large size
	guaranteed       map[structs.Customer][]int // number of guaranteed cells by size
	unused           map[structs.Customer][]int // number of those that no job holds, by size
	unusedTotal      []int                      // unused cells of all customers by size
	usedAccelerators map[structs.Customer]int   // by all jobs of the customer, borrowers included
	demoted          map[structs.JobID]*job     // guaranteed jobs that borrow until they can get a cell again
	slacksAtRepair   []int                      // slacks after the last attempt to form missing cells; nil forces another
}

func newGuaranteeTable(g geometry, sizes []cellSize) guaranteeTable {
	t := guaranteeTable{
		sizes:            sizes,
		guaranteed:       map[structs.Customer][]int{},
		unused:           map[structs.Customer][]int{},
		unusedTotal:      make([]int, len(sizes)),
		usedAccelerators: map[structs.Customer]int{},
		demoted:          map[structs.JobID]*job{},
	}
	for i, small := range sizes {
		t.cellsWithin = append(t.cellsWithin, make([]int, len(sizes)))
		for k := i; k < len(sizes); k++ {
			t.cellsWithin[i][k] = g.cellsWithin(small, sizes[k])
		}
	}
	return t
}

func (t *guaranteeTable) add(guarantee Guarantee) {
	i := t.sizeIndex(guarantee.Size)
	if t.guaranteed[guarantee.Customer] == nil {
		t.guaranteed[guarantee.Customer] = make([]int, len(t.sizes))
		t.unused[guarantee.Customer] = make([]int, len(t.sizes))
	}
	t.guaranteed[guarantee.Customer][i] += guarantee.Count
	t.unused[guarantee.Customer][i] += guarantee.Count
	t.unusedTotal[i] += guarantee.Count
}

func (t *guaranteeTable) sizeIndex(size int) int {
	return slices.IndexFunc(t.sizes, func(c cellSize) bool { return c.accelerators == size })
}

// smallestUnused is the size index of the customer's smallest unused cell of at least n accelerators, -1 when there is
// none.
func (t *guaranteeTable) smallestUnused(customer structs.Customer, n int) int {
	for i, count := range t.unused[customer] {
		if count > 0 && t.sizes[i].accelerators >= n {
			return i
		}
	}
	return -1
}

func (t *guaranteeTable) addUnused(customer structs.Customer, i, delta int) {
	t.unused[customer][i] += delta
	t.unusedTotal[i] += delta
}

// slack is the number of unreserved cells of a size beyond those that unused guarantees need. When it is negative, that
// many cells are missing.
func (c *Cluster) slack(i int) int {
	slack := c.unreserved.cellCount(c.guarantees.sizes[i])
	for k := i; k < len(c.guarantees.sizes); k++ {
		slack -= c.guarantees.unusedTotal[k] * c.guarantees.cellsWithin[i][k]
	}
	return slack
}

func (c *Cluster) slacks() []int {
	slacks := make([]int, len(c.guarantees.sizes))
	for i := range slacks {
		slacks[i] = c.slack(i)
	}
	return slacks
}

// missingGrew reports whether more cells of some size are missing than when the slacks were before.
func (c *Cluster) missingGrew(before []int) bool {
	for i, slack := range before {
		if c.slack(i) < min(0, slack) {
			return true
		}
	}
	return false
}

// allFormable reports whether all unused guaranteed cells can be formed at once.
func (c *Cluster) allFormable() bool {
	for i := range c.guarantees.sizes {
		if c.slack(i) < 0 {
			return false
		}
	}
	return true
}

// Missing returns the unused guaranteed cells that cannot be formed because workers are lost. It counts larger cells as
// formed first, and within a size those of customers in the order of their names.
func (c *Cluster) Missing() []MissingCells {
	c.refreshGuarantees()
	var missing []MissingCells
	customers := slices.Sorted(maps.Keys(c.guarantees.unused))
	formed := make([]int, len(c.guarantees.sizes))
	for i := len(c.guarantees.sizes) - 1; i >= 0; i-- {
		left := c.unreserved.cellCount(c.guarantees.sizes[i])
		for k := i + 1; k < len(formed); k++ {
			left -= formed[k] * c.guarantees.cellsWithin[i][k]
		}
		for _, customer := range customers {
			wanted := c.guarantees.unused[customer][i]
			got := min(wanted, max(0, left))
			left -= got
			formed[i] += got
			if got < wanted {
				missing = append(missing, MissingCells{customer, c.guarantees.sizes[i].accelerators, wanted - got})
			}
		}
	}
	return missing
}

// SetGuarantees replaces all guarantees. A guaranteed placement gets a cell of the new guarantees when there is one and
// the other cells can still be formed; otherwise it is demoted to a borrower. The error has kind Invalid and means that
// nothing has changed.
func (c *Cluster) SetGuarantees(guarantees []Guarantee) error {
	if err := checkGuarantees(guarantees); err != nil {
		return err
	}
	sizes, err := c.geometry.sizeChain(guarantees)
	if err != nil {
		return err
	}
	guaranteed := c.guaranteedJobs()
	for _, j := range guaranteed {
		c.demote(j)
	}
	previous := c.guarantees
	c.guarantees = newGuaranteeTable(c.geometry, sizes)
	c.guarantees.usedAccelerators = previous.usedAccelerators
	c.guarantees.demoted = previous.demoted
	for _, guarantee := range guarantees {
		c.guarantees.add(guarantee)
	}
	c.SetWorkload(c.workload.jobSizes)
	c.promote()
	return nil
}

// guaranteedJobs returns the jobs that hold cells, in the order of their identifiers so that decisions are repeatable.
func (c *Cluster) guaranteedJobs() []*job {
	var guaranteed []*job
	for _, j := range c.jobs {
		if j.cellIndex >= 0 {
			guaranteed = append(guaranteed, j)
		}
	}
	slices.SortFunc(guaranteed, func(a, b *job) int { return cmp.Compare(a.placement.Job, b.placement.Job) })
	return guaranteed
}

// refreshGuarantees calls reassignCells when workers or placements have changed since the last call. Methods whose
// answers depend on the guarantees call it first, so that any number of changes costs one update.
func (c *Cluster) refreshGuarantees() {
	if !c.guaranteesStale {
		return
	}
	c.guaranteesStale = false
	c.reassignCells()
}

// reassignCells forms as many missing cells as possible after workers or placements changed. When a cell is missing, it
// demotes all jobs with smaller cells and then promotes each one that does not worsen the shortage. A job whose small
// cell splits a larger missing one thus becomes a borrower, and its own cell can be formed elsewhere.
func (c *Cluster) reassignCells() {
	if c.allFormable() {
		c.guarantees.slacksAtRepair = nil
		c.promote()
		return
	}
	if c.guarantees.slacksAtRepair == nil || !slices.Equal(c.guarantees.slacksAtRepair, c.slacks()) {
		c.demoteBelow(c.largestMissingSize())
	}
	c.promote()
	c.guarantees.slacksAtRepair = c.slacks()
}

// largestMissingSize is the index of the largest size of which cells are missing, -1 when none are.
func (c *Cluster) largestMissingSize() int {
	for i := len(c.guarantees.sizes) - 1; i >= 0; i-- {
		if c.slack(i) < 0 {
			return i
		}
	}
	return -1
}

// demoteBelow demotes the jobs with cells smaller than the given size.
func (c *Cluster) demoteBelow(sizeIndex int) {
	for _, j := range c.guaranteedJobs() {
		if j.cellIndex < sizeIndex {
			c.demote(j)
		}
	}
}

// demote turns a guaranteed job into a borrower until promote can give it a cell again.
func (c *Cluster) demote(j *job) {
	c.releaseCell(j)
	j.demoted = true
	c.guarantees.demoted[j.placement.Job] = j
}

// Demoted returns the guaranteed jobs that are borrowers at present, in the order of their identifiers.
func (c *Cluster) Demoted() []structs.JobID {
	c.refreshGuarantees()
	return slices.Sorted(maps.Keys(c.guarantees.demoted))
}

// promote gives demoted jobs a cell again where possible: larger jobs first, then more urgent and older ones.
func (c *Cluster) promote() {
	if len(c.guarantees.demoted) == 0 {
		return
	}
	jobs := slices.Collect(maps.Values(c.guarantees.demoted))
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(b.accelerators, a.accelerators),
			cmp.Compare(b.Urgency, a.Urgency),
			a.SavedAt.Compare(b.SavedAt),
			cmp.Compare(a.placement.Job, b.placement.Job),
		)
	})
	for _, j := range jobs {
		i := c.guarantees.smallestUnused(j.placement.Customer, j.accelerators)
		if i >= 0 && c.reserveCell(j, i) {
			j.demoted = false
			delete(c.guarantees.demoted, j.placement.Job)
		}
	}
}
