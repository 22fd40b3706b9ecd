package fairqueue

import "time"

// maxSavedGuarantee is how much unused guarantee a kind can save up, as the time in which it accrues. Thanks to the
// saved guarantee a kind with a varying load that is below its share on average waits only for the next free slot.
const maxSavedGuarantee = time.Second

// kindQueue holds the waiting items of one kind, by customer and caller.
type kindQueue struct {
	Kind
	configured   bool // the kind is in the current configuration
	customers    *flowSet
	estimate     estimate
	waiting      int // number of waiting items
	inFlight     int // number of dispatched items that have not ended
	lastDispatch time.Time
	// guaranteeUsedUntil is the time up to which the kind has used its guarantee. While it is in the past, the kind may
	// take a slot from its guarantee. Guarantee that is older than maxSavedGuarantee expires, see chargeGuarantee.
	guaranteeUsedUntil time.Time

	// Positions in the heaps of the queue.
	guaranteeIndex int
	urgencyIndex   int
	longestIndex   int
}

func newKindQueue() *kindQueue {
	return &kindQueue{customers: newFlowSet(), guaranteeIndex: -1, urgencyIndex: -1, longestIndex: -1}
}

// probeDue reports whether no item of the kind was dispatched, and its service time measured, within probeInterval.
func (k *kindQueue) probeDue(now time.Time) bool { return now.Sub(k.lastDispatch) > probeInterval }

// effectiveShare is the share that counts when kinds are compared by length.
func (k *kindQueue) effectiveShare() float64 { return max(k.Share, minShare) }

// guaranteeAvailable reports whether the kind may take a slot from its guarantee.
func (k *kindQueue) guaranteeAvailable(now time.Time) bool { return k.guaranteeUsedUntil.Before(now) }

// chargeGuarantee charges cost seconds of one slot to the guarantee. Slots that a kind gets beyond its guarantee are
// not charged.
func (k *kindQueue) chargeGuarantee(cost float64, slots int, now time.Time) {
	if earliest := now.Add(-maxSavedGuarantee); k.guaranteeUsedUntil.Before(earliest) {
		k.guaranteeUsedUntil = earliest
	}
	k.adjustGuarantee(cost, slots)
}

// adjustGuarantee adds cost seconds of one slot, which may be negative, to the used guarantee.
func (k *kindQueue) adjustGuarantee(cost float64, slots int) {
	if guaranteed := k.Share * float64(slots); guaranteed > 0 {
		k.guaranteeUsedUntil = k.guaranteeUsedUntil.Add(time.Duration(cost / guaranteed * float64(time.Second)))
	}
}

func lessGuaranteeUsed(a, b *kindQueue) bool {
	if !a.guaranteeUsedUntil.Equal(b.guaranteeUsedUntil) {
		return a.guaranteeUsedUntil.Before(b.guaranteeUsedUntil)
	}
	return a.Name < b.Name
}

func moreUrgent(a, b *kindQueue) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	return a.Name < b.Name
}

func longerKind(a, b *kindQueue) bool {
	left, right := float64(a.waiting)/a.effectiveShare(), float64(b.waiting)/b.effectiveShare()
	if left != right {
		return left > right
	}
	return a.Name < b.Name
}

func earlierStart(a, b *Item) bool { return a.latestStart.Before(b.latestStart) }

// updateHeaps moves a kind to its position in the heaps.
func (q *Queue) updateHeaps(k *kindQueue) {
	waits := k.waiting > 0
	q.byUrgency.update(k, waits)
	q.longest.update(k, waits)
	q.byGuarantee.update(k, waits && k.Share > 0)
}

// rebuildHeaps restores the order of all heaps after the configuration has changed.
func (q *Queue) rebuildHeaps() {
	q.byUrgency.reorder()
	q.longest.reorder()
	q.byGuarantee.reorder()
	for _, k := range q.kinds {
		q.updateHeaps(k)
	}
}
