// Package fairqueue implements the bounded queue of requests to one service that wait for a slot.
//
// A free slot goes to the kind that has used the least of its guaranteed share, or to the most urgent kind when all
// kinds with waiting items have used up their shares. Within a kind customers share by weight, and callers of a
// customer share equally, both measured in service time. Operations take logarithmic time in the number of kinds,
// customers and callers. The queue reads no clock and is not safe for concurrent use.
package fairqueue

import (
	"container/list"
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const (
	minShare        = 0.01                   // least share that counts when a kind's part of a full queue is computed
	minWeight       = 0.001                  // least weight of a customer
	probeInterval   = 250 * time.Millisecond // time without a dispatch after which a late item is a probe
	firstRoundShare = 0.5                    // part of a round over the callers that a caller's first item waits on average
)

// Kind describes one kind of request.
type Kind struct {
	Name    structs.KindName
	Share   float64 // guaranteed share of the slots, 0 to 1
	Urgency int
	RunTime time.Duration // declared service time, used until enough are measured
}

// Config holds the limits, kinds and customer weights of a queue.
type Config struct {
	Capacity     int // largest number of waiting items
	MaxCallers   int // callers of one customer with flows of their own in one kind; items of further callers are refused
	MaxCustomers int // customers with flows of their own in one kind; items of further customers are refused
	Kinds        []Kind
	Weight       func(structs.Customer) float64
}

// Item is a request in a queue. It must be pushed once only.
type Item struct {
	Kind     structs.KindName
	Customer structs.Customer
	Caller   structs.Caller
	Deadline time.Time
	Value    any

	kindQueue        *kindQueue
	customer         *flow
	caller           *flow
	element          *list.Element // nil while not in the queue
	latestStart      time.Time
	latestStartIndex int // position in Queue.byLatestStart
	pushedAt         time.Time
	chargedSeconds   float64 // expected service time that was charged at dispatch
	inFlight         bool    // it was dispatched and has not ended
	usesGuarantee    bool    // its slot is charged to the guarantee of its kind
}

// LatestStart returns when the item must be dispatched to meet its deadline, as estimated when it was pushed.
func (i *Item) LatestStart() time.Time { return i.latestStart }

// Reason tells why an item was refused.
type Reason string

// Reasons to refuse an item.
const (
	ReasonFull           Reason = "queue is full"
	ReasonLate           Reason = "deadline cannot be met"
	ReasonUnknownKind    Reason = "kind is not known"
	ReasonTooManyCallers Reason = "customer has too many callers"
)

// RefusedError reports that an item was not queued.
type RefusedError struct {
	Reason Reason
	Wait   time.Duration // expected wait of the item, 0 when it was not estimated
}

// Error returns the reason and the expected wait.
func (e *RefusedError) Error() string { return fmt.Sprintf("%s (expected wait %v)", e.Reason, e.Wait) }

// Queue is the queue of one service.
type Queue struct {
	config        Config
	kinds         map[structs.KindName]*kindQueue
	byGuarantee   *indexedHeap[*kindQueue] // kinds with waiting items and a share, least used guarantee first
	byUrgency     *indexedHeap[*kindQueue] // kinds with waiting items, most urgent first
	longest       *indexedHeap[*kindQueue] // kinds with waiting items, those with most items for their share first
	byLatestStart *indexedHeap[*Item]      // waiting items, earliest latest start first
	slots         int                      // slots that the guaranteed shares refer to
	waitingItems  int                      // over all kinds
}

// New returns an empty queue.
func New(config Config) *Queue {
	q := &Queue{
		kinds:         map[structs.KindName]*kindQueue{},
		byGuarantee:   newIndexedHeap(lessGuaranteeUsed, func(k *kindQueue) *int { return &k.guaranteeIndex }),
		byUrgency:     newIndexedHeap(moreUrgent, func(k *kindQueue) *int { return &k.urgencyIndex }),
		longest:       newIndexedHeap(longerKind, func(k *kindQueue) *int { return &k.longestIndex }),
		byLatestStart: newIndexedHeap(earlierStart, func(i *Item) *int { return &i.latestStartIndex }),
	}
	q.Configure(config)
	return q
}

// Configure replaces the configuration. Items of a kind that is no longer listed stay in the queue without a guarantee.
func (q *Queue) Configure(config Config) {
	q.config = config
	for _, k := range q.kinds {
		k.Share, k.Urgency, k.configured = 0, 0, false
	}
	for _, wanted := range config.Kinds {
		k := q.kinds[wanted.Name]
		if k == nil {
			k = newKindQueue()
			q.kinds[wanted.Name] = k
		}
		k.Kind = wanted
		k.configured = true
		k.estimate.declared = wanted.RunTime
	}
	for name, k := range q.kinds {
		if !k.configured && k.waiting == 0 && k.inFlight == 0 {
			delete(q.kinds, name)
		}
	}
	q.rebuildHeaps()
}

// SetSlots sets the number of slots that the guaranteed shares refer to.
func (q *Queue) SetSlots(slots int) { q.slots = slots }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.waitingItems }

// MeanServiceTime returns the mean service time of a kind, the declared run time while there are too few samples, or 0
// for an unknown kind.
func (q *Queue) MeanServiceTime(name structs.KindName) time.Duration {
	if k := q.kinds[name]; k != nil {
		return k.estimate.mean()
	}
	return 0
}

// Push queues an item, or returns a *RefusedError when the item is not expected to meet its deadline, the queue is
// full, the kind is unknown or there are too many customers or callers. While nothing else waits, the expectation does
// not matter: an idle slot costs nothing, and the run shows whether the service has become faster. When the queue is
// full and another caller uses more than its part of it, that caller's newest item is evicted and returned instead.
func (q *Queue) Push(item *Item, now time.Time) (evicted *Item, err error) {
	item.latestStartIndex = -1
	k := q.kinds[item.Kind]
	if k == nil || !k.configured {
		return nil, &RefusedError{Reason: ReasonUnknownKind}
	}
	if !q.assignFlows(item, k) {
		return nil, &RefusedError{Reason: ReasonTooManyCallers}
	}
	budget := item.Deadline.Sub(now)
	required := k.estimate.requiredTime(budget)
	wait := q.expectedWait(item, now)
	if wait+required > budget && q.waitingItems > 0 && (k.waiting > 0 || !k.probeDue(now)) {
		return nil, &RefusedError{Reason: ReasonLate, Wait: wait}
	}
	item.pushedAt = now
	item.latestStart = item.Deadline.Add(-required)
	q.insert(item, now)
	if q.waitingItems <= q.config.Capacity {
		return nil, nil
	}
	evicted = q.evict()
	if evicted == item {
		return nil, &RefusedError{Reason: ReasonFull, Wait: wait}
	}
	return evicted, nil
}

// assignFlows finds or adds the flows of an item. It returns false when there are too many customers or callers.
func (q *Queue) assignFlows(item *Item, k *kindQueue) bool {
	weight := max(q.config.Weight(item.Customer), minWeight)
	customer := k.customers.get(string(item.Customer), weight, max(q.config.MaxCustomers, 1))
	if customer == nil {
		return false
	}
	if customer.callers == nil {
		customer.callers = newFlowSet()
	}
	caller := customer.callers.get(string(item.Caller), 1, max(q.config.MaxCallers, 1))
	if caller == nil {
		return false
	}
	item.kindQueue, item.customer, item.caller = k, customer, caller
	return true
}

// expectedWait estimates the wait of a new item. Its caller gets one dispatch in each round over the customer's callers
// that have waiting items.
func (q *Queue) expectedWait(item *Item, now time.Time) time.Duration {
	active := item.customer.callers.active.len()
	if active == 0 {
		return 0
	}
	bound := item.kindQueue.estimate.mean() / time.Duration(max(q.slots, 1))
	round := float64(active) * float64(item.customer.expectedDispatchGap(now, bound))
	return time.Duration(round * (float64(item.caller.waiting) + firstRoundShare))
}

func (q *Queue) insert(item *Item, now time.Time) {
	k := item.kindQueue
	item.element = item.caller.items.PushBack(item)
	item.customer.callers.added(item.caller, now)
	k.customers.added(item.customer, now)
	k.waiting++
	q.waitingItems++
	q.byLatestStart.update(item, true)
	q.updateHeaps(k)
}

// evict removes the newest item of the caller that exceeds its part of the queue the most.
func (q *Queue) evict() *Item {
	k := q.longest.first()
	customer := k.customers.longest.first()
	caller := customer.callers.longest.first()
	item := caller.items.Back().Value.(*Item)
	q.Remove(item)
	return item
}

// Remove takes an item out of the queue. It returns false when the item is no longer there because it was dispatched,
// evicted or found late.
func (q *Queue) Remove(item *Item) bool {
	if item.element == nil {
		return false
	}
	q.detach(item)
	item.customer.callers.removed(item.caller)
	item.kindQueue.customers.removed(item.customer)
	q.updateHeaps(item.kindQueue)
	return true
}

// detach takes an item out of the queue without updating its flows and kind in the heaps.
func (q *Queue) detach(item *Item) {
	item.caller.items.Remove(item.element)
	item.element = nil
	item.kindQueue.waiting--
	q.waitingItems--
	q.byLatestStart.update(item, false)
}

// Expire removes and returns the items whose latest start has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	var late []*Item
	for q.byLatestStart.len() > 0 && !q.byLatestStart.first().latestStart.After(now) {
		item := q.byLatestStart.first()
		q.Remove(item)
		late = append(late, item)
	}
	return late
}

// Pop removes and returns the item that a free slot goes to, nil when none waits. It also removes and returns the late
// items that precede it and are no longer expected to meet their deadlines. The caller must report the end of the item
// with Done.
func (q *Queue) Pop(now time.Time) (item *Item, late []*Item) {
	for q.waitingItems > 0 {
		item = q.nextItem(now)
		if q.mayStart(item, now) {
			q.dispatch(item, now)
			return item, late
		}
		q.Remove(item)
		late = append(late, item)
	}
	return nil, late
}

// nextItem returns the item that a free slot goes to. The queue must not be empty.
func (q *Queue) nextItem(now time.Time) *Item {
	k := q.byUrgency.first()
	if q.byGuarantee.len() > 0 && q.byGuarantee.first().guaranteeAvailable(now) {
		k = q.byGuarantee.first()
	}
	caller := k.customers.active.first().callers.active.first()
	return caller.items.Front().Value.(*Item)
}

// mayStart reports whether an item may take a slot. Its deadline must not have passed, and it must be expected to meet
// it, be the only item, or serve as a probe that measures the service time of its kind.
func (q *Queue) mayStart(item *Item, now time.Time) bool {
	remaining := item.Deadline.Sub(now)
	if remaining <= 0 {
		return false
	}
	budget := item.Deadline.Sub(item.pushedAt)
	return item.kindQueue.estimate.requiredTime(budget) <= remaining ||
		q.waitingItems == 1 || item.kindQueue.probeDue(now)
}

// dispatch takes an item out of the queue and charges its expected service time.
func (q *Queue) dispatch(item *Item, now time.Time) {
	k := item.kindQueue
	item.chargedSeconds = k.estimate.mean().Seconds()
	item.inFlight = true
	q.detach(item)
	item.customer.callers.dispatched(item.caller, item.chargedSeconds, now)
	k.customers.dispatched(item.customer, item.chargedSeconds, now)
	k.inFlight++
	k.lastDispatch = now
	item.usesGuarantee = k.guaranteeAvailable(now)
	if item.usesGuarantee {
		k.chargeGuarantee(item.chargedSeconds, q.slots, now)
	}
	q.updateHeaps(k)
}

// Done reports that a popped item no longer uses a slot. serviceTime is 0 when the item did not run here; its flows are
// not charged then.
func (q *Queue) Done(item *Item, serviceTime time.Duration, now time.Time) {
	if !item.inFlight {
		return
	}
	item.inFlight = false
	k := item.kindQueue
	correction := serviceTime.Seconds() - item.chargedSeconds
	item.customer.callers.ended(item.caller, correction)
	k.customers.ended(item.customer, correction)
	k.inFlight--
	if item.usesGuarantee {
		k.adjustGuarantee(correction, q.slots)
	}
	if serviceTime > 0 {
		k.estimate.add(serviceTime, now)
	}
	q.updateHeaps(k)
}
