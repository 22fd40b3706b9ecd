package placement

import (
	"math/bits"
)

// workerClass holds all properties of a worker that matter for a decision: workers of one class are interchangeable.
// The number of classes depends on the accelerators per worker and the workers per rack, not on the number of workers.
type workerClass struct {
	form             uint64 // see worker.form
	freeAccelerators int    // accelerators of the worker that no job uses
	rackFreeWorkers  int    // entirely free workers of its rack
	rackUnreserved   int    // unreserved workers of its rack, 0 when the worker itself is partly reserved
	entirelyFree     bool   // no job uses the worker
}

// rackClass holds all properties of a rack that matter for a decision on a gang.
type rackClass struct {
	freeWorkers       int
	unreservedWorkers int
}

// Leaf states of the block tree of a worker.
const (
	leafFree         = 0 // free and unreserved
	leafBorrowed     = 1 // used by a borrower and unreserved
	leafUnusedInCell = 2 // free, in the cell of a guaranteed job
	leafUsedInCell   = 3 // used, in the cell of a guaranteed job; or absent
	leafStates       = 4
)

// form is the canonical form of the binary tree of a worker's aligned blocks. It is equal for workers that differ only
// in the order of sibling blocks. The form of a block is a number made from those of its two halves, see pairForms.
func (w *worker) form(accelerators int) uint64 {
	var forms [maxAccelerators]uint64
	width := 1 << blockLevel(accelerators)
	for i := range width {
		forms[i] = w.leaf(i)
	}
	for width > 1 {
		width /= 2
		for i := range width {
			forms[i] = pairForms(forms[2*i], forms[2*i+1])
		}
	}
	return forms[0]
}

func (w *worker) leaf(i int) uint64 {
	bit := uint64(1) << i
	switch {
	case i >= w.accelerators:
		return leafUsedInCell
	case w.free&w.unreserved&bit != 0:
		return leafFree
	case w.unreserved&bit != 0:
		return leafBorrowed
	case w.free&bit != 0:
		return leafUnusedInCell
	default:
		return leafUsedInCell
	}
}

// maxExactForm is the bound below which the numbers of pairs of forms fit into 64 bits.
const maxExactForm = 1 << 31

// pairForms numbers the unordered pair of two forms of one level. The number b*(b+1)/2 + a for a <= b is unique. For
// workers of more than 32 accelerators it would exceed 64 bits, so a hash of the pair is used instead.
func pairForms(a, b uint64) uint64 {
	a, b = min(a, b), max(a, b)
	if b < maxExactForm {
		return b*(b+1)/2 + a
	}
	high, low := bits.Mul64(a^0x9E3779B97F4A7C15, b|1)
	return high ^ low ^ bits.RotateLeft64(b, 32) | 1<<63
}

func (c *Cluster) classOf(w *worker) workerClass {
	key := workerClass{
		form:             w.form(c.geometry.acceleratorsPerWorker),
		freeAccelerators: bits.OnesCount64(w.free),
		rackFreeWorkers:  w.rack.freeWorkers,
		entirelyFree:     w.free == bitRange(0, c.geometry.acceleratorsPerWorker),
	}
	if c.entirelyUnreserved(w) {
		key.rackUnreserved = w.rack.unreservedWorkers
	}
	return key
}

// indexWorker moves a worker to the group of its class. Workers without free accelerators are in no group.
func (c *Cluster) indexWorker(w *worker) {
	if w.free == 0 {
		c.unindexWorker(w)
		return
	}
	key := c.classOf(w)
	if w.class != nil && w.class.key == key {
		return
	}
	c.unindexWorker(w)
	w.class = c.workerClasses.add(key, w)
	w.classIndex = len(w.class.items) - 1
}

func (c *Cluster) unindexWorker(w *worker) {
	if w.class == nil {
		return
	}
	if moved, ok := c.workerClasses.remove(w.class, w.classIndex); ok {
		moved.classIndex = w.classIndex
	}
	w.class = nil
}

func (c *Cluster) indexRack(r *rack) {
	key := rackClass{r.freeWorkers, r.unreservedWorkers}
	c.unindexRack(r)
	r.class = c.rackClasses.add(key, r)
	r.classIndex = len(r.class.items) - 1
}

func (c *Cluster) unindexRack(r *rack) {
	if r.class == nil {
		return
	}
	if moved, ok := c.rackClasses.remove(r.class, r.classIndex); ok {
		moved.classIndex = r.classIndex
	}
	r.class = nil
}

// optionKey identifies the options that workers of one form have for jobs of count accelerators.
type optionKey struct {
	form         uint64
	count        int
	entirelyFree bool
}

// option is what matters of a free block of a worker for a decision: blocks with equal options are interchangeable.
type option struct {
	freeLevel       int // level of the largest free block that contains it
	unreservedLevel int // level of the largest unreserved block that contains its first accelerator, -1 when there is none
}

// optionsOf returns the distinct options for count accelerators on workers of the group.
func (c *Cluster) optionsOf(g *group[workerClass, *worker], count int) []option {
	key := optionKey{g.key.form, count, g.key.entirelyFree}
	if known, ok := c.optionCache[key]; ok {
		return known
	}
	if len(c.optionCache) >= maxOptions {
		clear(c.optionCache)
	}
	var found []option
	w := g.items[0]
	for starts := c.freeStarts(w, count); starts != 0; starts &= starts - 1 {
		found = appendUnique(found, w.optionAt(bits.TrailingZeros64(starts), count))
	}
	c.optionCache[key] = found
	return found
}

// maxOptions is the number of entries of Cluster.optionCache above which the cache is cleared.
const maxOptions = 1 << 16

func appendUnique(options []option, o option) []option {
	for _, known := range options {
		if known == o {
			return options
		}
	}
	return append(options, o)
}

// freeStarts is a mask of the first accelerators of the free aligned blocks that hold count accelerators.
func (c *Cluster) freeStarts(w *worker, count int) uint64 {
	level := blockLevel(count)
	if 1<<level <= c.geometry.acceleratorsPerWorker {
		return blockStarts(w.free, level)
	}
	return uint64(oneIfEqual(w.free, bitRange(0, c.geometry.acceleratorsPerWorker)))
}

func (w *worker) optionAt(at, count int) option {
	return option{levelAround(w.free, at, blockLevel(count)), levelAround(w.unreserved, at, 0)}
}

// levelAround is the level of the largest aligned block within mask that contains the accelerator at, starting with
// level low. It is low-1 when not even the block of level low lies within mask.
func levelAround(mask uint64, at, low int) int {
	level := low
	for level < maxLevels {
		size := 1 << level
		block := bitRange(at&^(size-1), size)
		if block&^mask != 0 {
			break
		}
		level++
	}
	return level - 1
}
