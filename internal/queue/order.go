package queue

import (
	"cmp"
	"container/heap"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// View is the state outside the queue that the order depends on.
type View struct {
	Now time.Time
	// Entitled reports whether a customer has an unused guaranteed cell for the given number of accelerators. Nil means
	// that every guaranteed entry has one.
	Entitled func(structs.Customer, int) bool
	// Used is the number of accelerators that a customer uses now. Nil means none.
	Used func(structs.Customer) int
}

// Next returns up to limit waiting jobs in the order in which they should start, without those that would exceed their
// customer's quota. The cost depends on limit and on the number of customers, not on the number of waiting jobs.
func (q *Queue) Next(view View, limit int) []Entry {
	q.decay(view.Now)
	walk := q.newWalk(view)
	next := walk.collect(nil, limit, true)
	walk.startSecondPass()
	return walk.collect(next, limit, false)
}

// walk visits the jobs of all heaps in order without changing the heaps: after an item of a heap its children can follow.
type walk struct {
	queue    *Queue
	view     View
	frontier frontier
	lead     lead
}

func (q *Queue) newWalk(view View) *walk {
	w := &walk{queue: q, view: view, lead: q.newLead()}
	for _, a := range q.customers {
		w.addRoot(a, classGuaranteed)
	}
	return w
}

// startSecondPass begins the pass over all jobs, in which guaranteed ones without an unused guaranteed cell count like any
// other.
func (w *walk) startSecondPass() {
	w.frontier = w.frontier[:0]
	for _, a := range w.queue.customers {
		w.addRoot(a, classGuaranteed)
		w.addRoot(a, classOther)
	}
}

// addRoot makes the first job of a customer's heap a candidate, unless the customer's quota is used up.
func (w *walk) addRoot(a *account, class int) {
	if len(a.heaps[class]) > 0 && !w.quotaExhausted(a) {
		w.add(a, class, 0, w.lead.level(a))
	}
}

func (w *walk) used(a *account) int {
	if w.view.Used == nil {
		return 0
	}
	return w.view.Used(a.name)
}

// quotaExhausted reports whether a customer uses its whole quota.
func (w *walk) quotaExhausted(a *account) bool {
	return a.share.Quota > 0 && w.used(a) >= a.share.Quota
}

func (w *walk) entitled(e Entry) bool {
	return w.view.Entitled == nil || w.view.Entitled(e.Job.Customer, e.Job.Accelerators)
}

// collect appends jobs within their quota until there are limit of them. The first, guaranteed pass collects the jobs with
// an unused guaranteed cell, the second pass all others.
func (w *walk) collect(next []Entry, limit int, guaranteed bool) []Entry {
	for len(next) < limit && len(w.frontier) > 0 {
		head := w.pop()
		e := head.item.entry
		entitled := head.item.class == classGuaranteed && w.entitled(e)
		quota := head.item.account.share.Quota
		allowed := quota == 0 || w.used(head.item.account)+e.Job.Accelerators <= quota
		if entitled == guaranteed && allowed {
			next = append(next, e)
		}
	}
	return next
}

// pop removes the next candidate and makes its children in the heap candidates.
func (w *walk) pop() candidate {
	head := heap.Pop(&w.frontier).(candidate)
	for _, child := range []int{2*head.item.index + 1, 2*head.item.index + 2} {
		if child < len(head.item.account.heaps[head.item.class]) {
			w.add(head.item.account, head.item.class, child, head.level)
		}
	}
	return head
}

func (w *walk) add(a *account, class, index, level int) {
	heap.Push(&w.frontier, candidate{a.heaps[class][index], level})
}

// candidate is a job that the walk can visit next.
type candidate struct {
	item  *item
	level int // level of the customer's lead
}

// frontier is a heap of candidates: the more urgent first, then those of customers with a lower level, then those with the
// earlier start key.
type frontier []candidate

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

// Push implements heap.Interface.
func (f *frontier) Push(x any) { *f = append(*f, x.(candidate)) }

// Pop implements heap.Interface.
func (f *frontier) Pop() any {
	last := len(*f) - 1
	s := (*f)[last]
	*f = (*f)[:last]
	return s
}
