package fairqueue

import "time"

// burst is how much unused guarantee a kind can save up. A kind whose load is below its share on average then waits for
// nothing but the next free slot, although its load varies.
const burst = time.Second

// kind is the queue of one kind.
type kind struct {
	Kind
	listed       bool // in the present configuration
	customers    *level
	estimate     estimate
	size         int // waiting items
	inUse        int // dispatched items that have not ended
	lastDispatch time.Time
	// paidUntil is the moment up to which the kind has used its guarantee. It is at least burst ago; the guarantee gives
	// the kind a slot while it is in the past.
	paidUntil time.Time

	guaranteedPlace int
	waitingPlace    int
	longestPlace    int
}

func newKind() *kind {
	return &kind{customers: newLevel(), guaranteedPlace: -1, waitingPlace: -1, longestPlace: -1}
}

// probeDue reports whether the kind has not been measured for a while.
func (k *kind) probeDue(now time.Time) bool { return now.Sub(k.lastDispatch) > probeGap }

func (k *kind) part() float64 { return max(k.Share, minShare) }

// guaranteed reports whether the kind's guarantee gives it a slot now.
func (k *kind) guaranteed(now time.Time) bool { return k.paidUntil.Before(now) }

// pay uses up the guarantee for cost seconds of one slot. What a kind gets beyond its guarantee is not paid for.
func (k *kind) pay(cost float64, slots int, now time.Time) {
	if earliest := now.Add(-burst); k.paidUntil.Before(earliest) {
		k.paidUntil = earliest
	}
	k.correct(cost, slots)
}

func (k *kind) correct(cost float64, slots int) {
	if guaranteed := k.Share * float64(slots); guaranteed > 0 {
		k.paidUntil = k.paidUntil.Add(time.Duration(cost / guaranteed * float64(time.Second)))
	}
}

func leastPaid(a, b *kind) bool {
	if !a.paidUntil.Equal(b.paidUntil) {
		return a.paidUntil.Before(b.paidUntil)
	}
	return a.Name < b.Name
}

func moreUrgent(a, b *kind) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	return a.Name < b.Name
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
	q.guaranteed.set(k, waits && k.Share > 0)
}

// replace restores all orders after the configuration has changed.
func (q *Queue) replace() {
	q.waiting.rebuild()
	q.longest.rebuild()
	q.guaranteed.rebuild()
	for _, k := range q.kinds {
		q.place(k)
	}
}
