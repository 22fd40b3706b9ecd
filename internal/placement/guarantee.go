package placement

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// ledger counts guarantees by customer and size. The sizes form a chain in which each divides the next, so a packing
// of all unused cells exists if and only if, at each size, the open cells are at least the demand of that size and of
// the larger ones.
type ledger struct {
	cells      []cell  // rising sizes
	contained  [][]int // [small][large] cells of the small size within one of the large size
	guaranteed map[structs.Customer][]int
	unused     map[structs.Customer][]int
	demand     []int // unused cells by size, over all customers
	used       map[structs.Customer]int
	demoted    map[structs.JobID]*job
	settled    []int // slacks after the last attempt to re-establish missing shapes
}

func newLedger(g geometry, cells []cell) ledger {
	l := ledger{
		cells:      cells,
		guaranteed: map[structs.Customer][]int{},
		unused:     map[structs.Customer][]int{},
		demand:     make([]int, len(cells)),
		used:       map[structs.Customer]int{},
		demoted:    map[structs.JobID]*job{},
	}
	for i, small := range cells {
		l.contained = append(l.contained, make([]int, len(cells)))
		for k := i; k < len(cells); k++ {
			l.contained[i][k] = g.contained(small, cells[k])
		}
	}
	return l
}

func (l *ledger) grant(guarantee Guarantee) {
	i := l.index(guarantee.Size)
	if l.guaranteed[guarantee.Customer] == nil {
		l.guaranteed[guarantee.Customer] = make([]int, len(l.cells))
		l.unused[guarantee.Customer] = make([]int, len(l.cells))
	}
	l.guaranteed[guarantee.Customer][i] += guarantee.Count
	l.unused[guarantee.Customer][i] += guarantee.Count
	l.demand[i] += guarantee.Count
}

func (l *ledger) index(size int) int {
	return slices.IndexFunc(l.cells, func(c cell) bool { return c.size == size })
}

// smallest is the index of the customer's smallest unused cell that holds n accelerators, -1 when there is none.
func (l *ledger) smallest(customer structs.Customer, n int) int {
	for i, count := range l.unused[customer] {
		if count > 0 && l.cells[i].size >= n {
			return i
		}
	}
	return -1
}

func (l *ledger) addUnused(customer structs.Customer, i, delta int) {
	l.unused[customer][i] += delta
	l.demand[i] += delta
}

// slack is the number of open cells of a size beyond the demand; a negative one is missing.
func (c *Cluster) slack(i int) int {
	slack := c.open.cells(c.ledger.cells[i])
	for k := i; k < len(c.ledger.cells); k++ {
		slack -= c.ledger.demand[k] * c.ledger.contained[i][k]
	}
	return slack
}

func (c *Cluster) slacks() []int {
	slacks := make([]int, len(c.ledger.cells))
	for i := range slacks {
		slacks[i] = c.slack(i)
	}
	return slacks
}

// worse reports whether a missing shape appeared, or grew, since before was taken.
func (c *Cluster) worse(before []int) bool {
	for i, slack := range before {
		if c.slack(i) < min(0, slack) {
			return true
		}
	}
	return false
}

func (c *Cluster) complete() bool {
	for i := range c.ledger.cells {
		if c.slack(i) < 0 {
			return false
		}
	}
	return true
}

// Missing returns the unused guarantees that cannot be formed because workers are lost, larger sizes formed first and
// customers in the order of their names.
func (c *Cluster) Missing() []MissingCells {
	c.settle()
	var missing []MissingCells
	customers := slices.Sorted(maps.Keys(c.ledger.unused))
	formed := make([]int, len(c.ledger.cells))
	for i := len(c.ledger.cells) - 1; i >= 0; i-- {
		left := c.open.cells(c.ledger.cells[i])
		for k := i + 1; k < len(formed); k++ {
			left -= formed[k] * c.ledger.contained[i][k]
		}
		for _, customer := range customers {
			wanted := c.ledger.unused[customer][i]
			got := min(wanted, max(0, left))
			left -= got
			formed[i] += got
			if got < wanted {
				missing = append(missing, MissingCells{customer, c.ledger.cells[i].size, wanted - got})
			}
		}
	}
	return missing
}

// SetGuarantees replaces all guarantees. Guaranteed placements keep a cell of the new guarantees when there is one and
// the others can still be formed; otherwise they are demoted to borrowers. The error has kind Invalid and means that
// nothing changed.
func (c *Cluster) SetGuarantees(guarantees []Guarantee) error {
	if err := checkGuarantees(guarantees); err != nil {
		return err
	}
	cells, err := c.geometry.chain(guarantees)
	if err != nil {
		return err
	}
	held := c.guaranteedJobs()
	for _, j := range held {
		c.demote(j)
	}
	previous := c.ledger
	c.ledger = newLedger(c.geometry, cells)
	c.ledger.used = previous.used
	c.ledger.demoted = previous.demoted
	for _, guarantee := range guarantees {
		c.ledger.grant(guarantee)
	}
	c.SetWorkload(c.workload.shapes)
	c.promote()
	return nil
}

// guaranteedJobs returns the jobs that hold cells, in the order of their identifiers so that decisions are repeatable.
func (c *Cluster) guaranteedJobs() []*job {
	var held []*job
	for _, j := range c.jobs {
		if j.cell >= 0 {
			held = append(held, j)
		}
	}
	slices.SortFunc(held, func(a, b *job) int { return cmp.Compare(a.placement.Job, b.placement.Job) })
	return held
}

// settle re-establishes the guarantees once after any number of changes, before they matter for an answer.
func (c *Cluster) settle() {
	if !c.unsettled {
		return
	}
	c.unsettled = false
	c.reestablish()
}

// reestablish makes the guarantees whole again after workers or placements changed. When a shape is missing, it demotes
// the guaranteed jobs with smaller cells and then restores each that takes no cell from a missing shape: a job
// that keeps a larger cell apart loses its protection, and its own cell becomes available again elsewhere.
func (c *Cluster) reestablish() {
	if c.complete() {
		c.ledger.settled = nil
		c.promote()
		return
	}
	if c.ledger.settled == nil || !slices.Equal(c.ledger.settled, c.slacks()) {
		c.demoteBelow(c.largestMissing())
	}
	c.promote()
	c.ledger.settled = c.slacks()
}

func (c *Cluster) largestMissing() int {
	for i := len(c.ledger.cells) - 1; i >= 0; i-- {
		if c.slack(i) < 0 {
			return i
		}
	}
	return -1
}

func (c *Cluster) demoteBelow(size int) {
	for _, j := range c.guaranteedJobs() {
		if j.cell < size {
			c.demote(j)
		}
	}
}

func (c *Cluster) demote(j *job) {
	c.closeCell(j)
	j.demoted = true
	c.ledger.demoted[j.placement.Job] = j
}

// Demoted returns the guaranteed placements that count as borrowers at present, in the order of their identifiers.
func (c *Cluster) Demoted() []structs.JobID {
	c.settle()
	return slices.Sorted(maps.Keys(c.ledger.demoted))
}

// promote gives demoted jobs a cell again: larger ones first, then the more urgent and the older ones.
func (c *Cluster) promote() {
	if len(c.ledger.demoted) == 0 {
		return
	}
	jobs := slices.Collect(maps.Values(c.ledger.demoted))
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(b.accelerators, a.accelerators),
			cmp.Compare(b.Urgency, a.Urgency),
			a.SavedAt.Compare(b.SavedAt),
			cmp.Compare(a.placement.Job, b.placement.Job),
		)
	})
	for _, j := range jobs {
		i := c.ledger.smallest(j.placement.Customer, j.accelerators)
		if i >= 0 && c.openCell(j, i) {
			j.demoted = false
			delete(c.ledger.demoted, j.placement.Job)
		}
	}
}
