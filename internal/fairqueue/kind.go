package fairqueue

import "time"

// kind is the queue of one kind.
type kind struct {
	Kind
	listed       bool // in the present configuration
	customers    *level
	estimate     estimate
	size         int // waiting items
	inUse        int // dispatched items that have not ended
	lastDispatch time.Time

	underPlace   int
	waitingPlace int
	longestPlace int
}

func newKind() *kind {
	return &kind{customers: newLevel(), underPlace: -1, waitingPlace: -1, longestPlace: -1}
}

// probeDue reports whether the kind has not been measured for a while.
func (k *kind) probeDue(now time.Time) bool { return now.Sub(k.lastDispatch) > probeGap }

func (k *kind) part() float64 { return max(k.Share, minShare) }

// usage is the number of used slots for the kind's share.
func (k *kind) usage() float64 { return float64(k.inUse) / k.part() }

func lessUsed(a, b *kind) bool {
	if a.usage() != b.usage() {
		return a.usage() < b.usage()
	}
	return a.Name < b.Name
}

func moreUrgent(a, b *kind) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	return lessUsed(a, b)
}

func longerKind(a, b *kind) bool {
	left, right := float64(a.size)/a.part(), float64(b.size)/b.part()
	if left != right {
		return left > right
	}
	return a.Name < b.Name
}

func soonerStart(a, b *Item) bool { return a.latestStart.Before(b.latestStart) }

// place puts the kind at its place in the orders of the queue.
func (q *Queue) place(k *kind) {
	waits := k.size > 0
	q.waiting.set(k, waits)
	q.longest.set(k, waits)
	q.under.set(k, waits && q.belowGuarantee(k))
}

func (q *Queue) belowGuarantee(k *kind) bool {
	return float64(k.inUse) < k.Share*float64(q.slots)
}

// replace restores all orders after the configuration or the number of slots has changed.
func (q *Queue) replace() {
	q.waiting.rebuild()
	q.longest.rebuild()
	q.under.rebuild()
	for _, k := range q.kinds {
		q.place(k)
	}
}
