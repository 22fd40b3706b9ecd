package queue

import (
	"cmp"
	"container/heap"
	"time"
)

// item is a waiting job in a heap of its customer.
type item struct {
	entry   Entry
	key     time.Time // start key
	account *account
	class   int
	index   int // position in the heap
}

// jobHeap is a heap of jobs of one customer and class, the more urgent first, then those with the earlier start key.
type jobHeap []*item

// compareItems orders two jobs of a heap by urgency, start key and id.
func compareItems(a, b *item) int {
	return cmp.Or(
		cmp.Compare(b.entry.Job.Urgency, a.entry.Job.Urgency),
		a.key.Compare(b.key),
		cmp.Compare(a.entry.Job.ID, b.entry.Job.ID),
	)
}

func (l jobHeap) Len() int           { return len(l) }
func (l jobHeap) Less(i, k int) bool { return compareItems(l[i], l[k]) < 0 }

func (l jobHeap) Swap(i, k int) {
	l[i], l[k] = l[k], l[i]
	l[i].index = i
	l[k].index = k
}

// Push implements heap.Interface.
func (l *jobHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*l)
	*l = append(*l, it)
}

// Pop implements heap.Interface.
func (l *jobHeap) Pop() any {
	last := len(*l) - 1
	it := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	return it
}

func (l *jobHeap) push(it *item)   { heap.Push(l, it) }
func (l *jobHeap) remove(it *item) { heap.Remove(l, it.index) }
