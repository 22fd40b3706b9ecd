package queue

import (
	"cmp"
	"container/heap"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// View is the state that the order depends on besides the queue.
type View struct {
	Now time.Time
	// Entitled reports whether a customer has an unused guaranteed cell for that many accelerators. Nil means that
	// guaranteed entries always have one.
	Entitled func(structs.Customer, int) bool
	// Used is the number of accelerators that a customer uses now. Nil means none.
	Used func(structs.Customer) int
}

// Next returns up to limit waiting jobs in the order in which they should start, without those that exceed their
// customer's quota. The cost depends on limit and on the number of customers, not on that of waiting jobs.
func (q *Queue) Next(view View, limit int) []Entry {
	q.decay(view.Now)
	walk := q.newWalk(view)
	next := walk.take(nil, limit, true)
	walk.restart()
	return walk.take(next, limit, false)
}

// walk visits the jobs of all lanes in order without changing the lanes: children of a heap's item follow it.
type walk struct {
	queue    *Queue
	view     View
	frontier frontier
	lead     lead
}

func (q *Queue) newWalk(view View) *walk {
	w := &walk{queue: q, view: view, lead: q.newLead()}
	for _, a := range q.customers {
		w.addRoot(a, laneGuaranteed)
	}
	return w
}

// restart begins the pass over all jobs, in which the guaranteed ones that were not entitled count as any other.
func (w *walk) restart() {
	w.frontier = w.frontier[:0]
	for _, a := range w.queue.customers {
		w.addRoot(a, laneGuaranteed)
		w.addRoot(a, laneOther)
	}
}

func (w *walk) addRoot(a *account, lane int) {
	if len(a.lanes[lane]) > 0 && !w.exhausted(a) {
		w.add(a, lane, 0, w.lead.level(a))
	}
}

func (w *walk) used(a *account) int {
	if w.view.Used == nil {
		return 0
	}
	return w.view.Used(a.name)
}

// exhausted reports whether a customer uses its whole quota.
func (w *walk) exhausted(a *account) bool {
	return a.share.Quota > 0 && w.used(a) >= a.share.Quota
}

func (w *walk) entitled(e Entry) bool {
	return w.view.Entitled == nil || w.view.Entitled(e.Job.Customer, e.Job.Accelerators)
}

// take appends jobs until there are limit. The guaranteed pass takes the entitled ones, the other pass the rest.
func (w *walk) take(next []Entry, limit int, guaranteed bool) []Entry {
	for len(next) < limit && len(w.frontier) > 0 {
		head := w.pop()
		e := head.item.entry
		entitled := head.item.lane == laneGuaranteed && w.entitled(e)
		quota := head.item.account.share.Quota
		allowed := quota == 0 || w.used(head.item.account)+e.Job.Accelerators <= quota
		if entitled == guaranteed && allowed {
			next = append(next, e)
		}
	}
	return next
}

func (w *walk) pop() step {
	head := heap.Pop(&w.frontier).(step)
	for _, child := range []int{2*head.item.at + 1, 2*head.item.at + 2} {
		if child < len(head.item.account.lanes[head.item.lane]) {
			w.add(head.item.account, head.item.lane, child, head.level)
		}
	}
	return head
}

func (w *walk) add(a *account, lane, at, level int) {
	heap.Push(&w.frontier, step{a.lanes[lane][at], level})
}

// step is a job that the walk can visit next.
type step struct {
	item  *item
	level int // of the customer's lead
}

// frontier is a heap of steps: the more urgent first, then the customer with the lower level, then the earlier
// key.
type frontier []step

func (f frontier) Len() int      { return len(f) }
func (f frontier) Swap(i, k int) { f[i], f[k] = f[k], f[i] }

func (f frontier) Less(i, k int) bool {
	order := cmp.Or(
		cmp.Compare(f[k].item.entry.Job.Urgency, f[i].item.entry.Job.Urgency),
		cmp.Compare(f[i].level, f[k].level),
		f[i].item.key.Compare(f[k].item.key),
		cmp.Compare(f[i].item.entry.Job.ID, f[k].item.entry.Job.ID),
	)
	return order < 0
}

// Push is for container/heap.
func (f *frontier) Push(x any) { *f = append(*f, x.(step)) }

// Pop is for container/heap.
func (f *frontier) Pop() any {
	last := len(*f) - 1
	s := (*f)[last]
	*f = (*f)[:last]
	return s
}
