package placement

import (
	"math/bits"
)

// class is what matters of a worker for a decision: workers of one class are interchangeable. The number of classes
// depends on the accelerators per worker and the workers per rack, not on the number of workers.
type class struct {
	form      uint64 // canonical form of the block tree
	free      int    // accelerators that no job uses
	freeWhole int    // whole free workers of its rack
	openWhole int    // whole open workers of its rack, 0 when the worker itself is not open entirely
	whole     bool   // entirely free
}

// rackClass is what matters of a rack for a decision on a gang.
type rackClass struct {
	freeWhole int
	openWhole int
}

// Leaf states of the block tree of a worker.
const (
	leafFree   = 0 // unused and open
	leafLent   = 1 // used by a borrower, open
	leafLoose  = 2 // unused remainder of a guaranteed cell
	leafTaken  = 3 // used in a guaranteed cell, or absent
	leafStates = 4
)

// form is the canonical form of a worker's block tree: equal for workers that differ only in the order of sibling
// blocks. An unordered pair of forms a <= b of one level is numbered b*(b+1)/2 + a, which is unique. Workers of more
// than 32 accelerators are identified by a mixed hash of the pair instead, since the numbers exceed 64 bits.
func (w *worker) form(accelerators int) uint64 {
	var forms [maxAccelerators]uint64
	width := 1 << blockLevel(accelerators)
	for i := range width {
		forms[i] = w.leaf(i)
	}
	for width > 1 {
		width /= 2
		for i := range width {
			forms[i] = pair(forms[2*i], forms[2*i+1])
		}
	}
	return forms[0]
}

func (w *worker) leaf(i int) uint64 {
	bit := uint64(1) << i
	switch {
	case i >= w.count:
		return leafTaken
	case w.free&w.open&bit != 0:
		return leafFree
	case w.open&bit != 0:
		return leafLent
	case w.free&bit != 0:
		return leafLoose
	default:
		return leafTaken
	}
}

// exactPairs bounds the forms for which the numbering of pairs stays within 64 bits.
const exactPairs = 1 << 31

func pair(a, b uint64) uint64 {
	a, b = min(a, b), max(a, b)
	if b < exactPairs {
		return b*(b+1)/2 + a
	}
	high, low := bits.Mul64(a^0x9E3779B97F4A7C15, b|1)
	return high ^ low ^ bits.RotateLeft64(b, 32) | 1<<63
}

func (c *Cluster) classOf(w *worker) class {
	key := class{
		form:      w.form(c.geometry.accelerators),
		free:      bits.OnesCount64(w.free),
		freeWhole: w.rack.freeWhole,
		whole:     w.free == run(0, c.geometry.accelerators),
	}
	if c.wholeOpen(w) {
		key.openWhole = w.rack.openWhole
	}
	return key
}

// indexWorker moves a worker to the group of its class. Workers without free accelerators are in none.
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
	w.class = c.classes.add(key, w)
	w.pos = len(w.class.items) - 1
}

func (c *Cluster) unindexWorker(w *worker) {
	if w.class == nil {
		return
	}
	if moved, ok := c.classes.remove(w.class, w.pos); ok {
		moved.pos = w.pos
	}
	w.class = nil
}

func (c *Cluster) indexRack(r *rack) {
	key := rackClass{r.freeWhole, r.openWhole}
	c.unindexRack(r)
	r.class = c.spaces.add(key, r)
	r.pos = len(r.class.items) - 1
}

func (c *Cluster) unindexRack(r *rack) {
	if r.class == nil {
		return
	}
	if moved, ok := c.spaces.remove(r.class, r.pos); ok {
		moved.pos = r.pos
	}
	r.class = nil
}

// optionKey identifies the options that workers of a form have for jobs of a size.
type optionKey struct {
	form  uint64
	count int
	whole bool
}

// option is a way to place a job within a worker.
type option struct {
	free int // level of the largest free block around it
	open int // level of the largest open block around it, -1 when a guaranteed job holds the accelerators
}

// optionsOf returns the distinct options for count accelerators on workers of the group.
func (c *Cluster) optionsOf(g *group[class, *worker], count int) []option {
	key := optionKey{g.key.form, count, g.key.whole}
	if known, ok := c.options[key]; ok {
		return known
	}
	if len(c.options) >= maxOptions {
		clear(c.options)
	}
	var found []option
	w := g.items[0]
	for starts := c.starts(w, count); starts != 0; starts &= starts - 1 {
		found = appendNew(found, w.optionAt(bits.TrailingZeros64(starts), count))
	}
	c.options[key] = found
	return found
}

// maxOptions bounds the remembered options.
const maxOptions = 1 << 16

func appendNew(options []option, o option) []option {
	for _, known := range options {
		if known == o {
			return options
		}
	}
	return append(options, o)
}

// starts is a mask of the first accelerators of free aligned blocks that hold count accelerators.
func (c *Cluster) starts(w *worker, count int) uint64 {
	level := blockLevel(count)
	if 1<<level <= c.geometry.accelerators {
		return blocks(w.free, level)
	}
	return uint64(equal(w.free, run(0, c.geometry.accelerators)))
}

func (w *worker) optionAt(at, count int) option {
	return option{levelAround(w.free, at, blockLevel(count)), levelAround(w.open, at, 0)}
}

// levelAround is the level of the largest aligned block around the accelerator at that lies within mask, or low-1 when
// there is none at level low.
func levelAround(mask uint64, at, low int) int {
	level := low
	for level < maxLevels {
		size := 1 << level
		block := run(at&^(size-1), size)
		if block&^mask != 0 {
			break
		}
		level++
	}
	return level - 1
}
