package queue

import (
	"cmp"
	"container/heap"
	"time"
)

// item is a waiting job in its lane.
type item struct {
	entry   Entry
	key     time.Time
	account *account
	lane    int
	at      int // position in the lane
}

// lane is a heap of a customer's jobs: the more urgent first, then the earlier start key.
type lane []*item

func compare(a, b *item) int {
	return cmp.Or(
		cmp.Compare(b.entry.Job.Urgency, a.entry.Job.Urgency),
		a.key.Compare(b.key),
		cmp.Compare(a.entry.Job.ID, b.entry.Job.ID),
	)
}

func (l lane) Len() int           { return len(l) }
func (l lane) Less(i, k int) bool { return compare(l[i], l[k]) < 0 }

func (l lane) Swap(i, k int) {
	l[i], l[k] = l[k], l[i]
	l[i].at = i
	l[k].at = k
}

// Push is for container/heap.
func (l *lane) Push(x any) {
	it := x.(*item)
	it.at = len(*l)
	*l = append(*l, it)
}

// Pop is for container/heap.
func (l *lane) Pop() any {
	last := len(*l) - 1
	it := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	return it
}

func (l *lane) push(it *item)   { heap.Push(l, it) }
func (l *lane) remove(it *item) { heap.Remove(l, it.at) }
