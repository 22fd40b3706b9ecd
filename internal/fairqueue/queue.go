// Package fairqueue is the bounded queue of the requests of one service that wait for a slot.
//
// A free slot goes to the kind that has used its guaranteed share least; when every kind with waiting items has used its
// share up, to the most urgent kind. Within a kind customers share by weight, and within a customer callers share equally, both
// measured in service time. Every operation costs logarithmic time in the number of kinds, customers and callers. The
// queue reads no clock. Callers synchronise access.
package fairqueue

import (
	"container/list"
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds and timings.
const (
	minShare  = 0.01                   // share that counts for the order of kinds and the room in a full queue
	minWeight = 0.001                  // of a customer
	probeGap  = 250 * time.Millisecond // after which one late item is dispatched all the same, to measure its kind anew
	firstPart = 0.5                    // of a round over the callers that the first item of a caller waits on average
)

// Kind describes one kind of request.
type Kind struct {
	Name    structs.KindName
	Share   float64 // guaranteed part of the slots, 0 to 1
	Urgency int
	RunTime time.Duration // declared
}

// Config sets the bounds of a queue.
type Config struct {
	Capacity     int // items in the queue
	MaxCallers   int // callers of one customer that are told apart in one kind
	MaxCustomers int // customers that are told apart in one kind
	Kinds        []Kind
	Weight       func(structs.Customer) float64
}

// Item is a request that waits. It is in at most one queue and is pushed once.
type Item struct {
	Kind     structs.KindName
	Customer structs.Customer
	Caller   structs.Caller
	Deadline time.Time
	Value    any

	kind        *kind
	customer    *flow
	caller      *flow
	element     *list.Element // nil while not in the queue
	latestStart time.Time
	expiryPlace int
	pushed      time.Time
	cost        float64 // seconds charged at dispatch
	inUse       bool
	paid        bool // from the guarantee of its kind
}

// LatestStart returns when the item must be dispatched to meet its deadline, as estimated when it was pushed.
func (i *Item) LatestStart() time.Time { return i.latestStart }

// Reason says why an item was refused.
type Reason string

// Reasons.
const (
	ReasonFull    Reason = "queue is full"
	ReasonLate    Reason = "deadline cannot be met"
	ReasonKind    Reason = "kind is not known"
	ReasonCallers Reason = "customer has too many callers"
)

// RefusedError reports that an item was not queued.
type RefusedError struct {
	Reason Reason
	Wait   time.Duration // expected wait of the item
}

// Error returns the reason and the expected wait.
func (e *RefusedError) Error() string { return fmt.Sprintf("%s (expected wait %v)", e.Reason, e.Wait) }

// Queue is the queue of one service.
type Queue struct {
	cfg        Config
	kinds      map[structs.KindName]*kind
	guaranteed *ordered[*kind] // with waiting items and a share, least used guarantee first
	waiting    *ordered[*kind] // with waiting items, most urgent first
	longest    *ordered[*kind] // with waiting items, longest for its share first
	expiry     *ordered[*Item] // by latest start
	slots      int
	size       int
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{
		kinds:      map[structs.KindName]*kind{},
		guaranteed: newOrdered(leastPaid, func(k *kind) *int { return &k.guaranteedPlace }),
		waiting:    newOrdered(moreUrgent, func(k *kind) *int { return &k.waitingPlace }),
		longest:    newOrdered(longerKind, func(k *kind) *int { return &k.longestPlace }),
		expiry:     newOrdered(soonerStart, func(i *Item) *int { return &i.expiryPlace }),
	}
	q.Configure(cfg)
	return q
}

// Configure replaces the bounds, kinds and weights. Items of a kind that is no longer listed stay, without a guarantee.
func (q *Queue) Configure(cfg Config) {
	q.cfg = cfg
	for _, k := range q.kinds {
		k.Share, k.Urgency, k.listed = 0, 0, false
	}
	for _, wanted := range cfg.Kinds {
		k := q.kinds[wanted.Name]
		if k == nil {
			k = newKind()
			q.kinds[wanted.Name] = k
		}
		k.Kind = wanted
		k.listed = true
		k.estimate.declared = wanted.RunTime
	}
	for name, k := range q.kinds {
		if !k.listed && k.size == 0 && k.inUse == 0 {
			delete(q.kinds, name)
		}
	}
	q.replace()
}

// SetSlots sets the number of slots of which the kinds have shares.
func (q *Queue) SetSlots(slots int) { q.slots = slots }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.size }

// Expected returns the mean service time of a kind, the declared one while little was measured, 0 for an unknown kind.
func (q *Queue) Expected(name structs.KindName) time.Duration {
	if k := q.kinds[name]; k != nil {
		return k.estimate.mean()
	}
	return 0
}

// Push queues an item. While nothing else waits it is queued whatever was measured, because an idle slot costs nothing and
// its run shows whether the service has become faster. It returns a *RefusedError when the item cannot meet its deadline or the queue is full. When the
// queue is full and another caller uses more than its part of it, that caller's newest item is evicted and returned.
func (q *Queue) Push(item *Item, now time.Time) (evicted *Item, err error) {
	item.expiryPlace = -1
	k := q.kinds[item.Kind]
	if k == nil || !k.listed {
		return nil, &RefusedError{Reason: ReasonKind}
	}
	if !q.resolve(item, k) {
		return nil, &RefusedError{Reason: ReasonCallers}
	}
	budget := item.Deadline.Sub(now)
	reserve := k.estimate.reserve(budget)
	wait := q.expectedWait(item, now)
	if wait+reserve > budget && q.size > 0 && (k.size > 0 || !k.probeDue(now)) {
		return nil, &RefusedError{Reason: ReasonLate, Wait: wait}
	}
	item.pushed = now
	item.latestStart = item.Deadline.Add(-reserve)
	q.insert(item, now)
	if q.size <= q.cfg.Capacity {
		return nil, nil
	}
	evicted = q.evict()
	if evicted == item {
		return nil, &RefusedError{Reason: ReasonFull, Wait: wait}
	}
	return evicted, nil
}

// resolve finds the flows of an item. It returns false when a bound would be exceeded.
func (q *Queue) resolve(item *Item, k *kind) bool {
	weight := max(q.cfg.Weight(item.Customer), minWeight)
	customer := k.customers.get(string(item.Customer), weight, max(q.cfg.MaxCustomers, 1))
	if customer == nil {
		return false
	}
	if customer.callers == nil {
		customer.callers = newLevel()
	}
	caller := customer.callers.get(string(item.Caller), 1, max(q.cfg.MaxCallers, 1))
	if caller == nil {
		return false
	}
	item.kind, item.customer, item.caller = k, customer, caller
	return true
}

// expectedWait estimates the wait of a new item: its caller gets one dispatch in each round over the customer's callers
// that have waiting items.
func (q *Queue) expectedWait(item *Item, now time.Time) time.Duration {
	active := item.customer.callers.active.len()
	if active == 0 {
		return 0
	}
	bound := item.kind.estimate.mean() / time.Duration(max(q.slots, 1))
	round := float64(active) * float64(item.customer.expectedGap(now, bound))
	return time.Duration(round * (float64(item.caller.size) + firstPart))
}

func (q *Queue) insert(item *Item, now time.Time) {
	k := item.kind
	item.element = item.caller.items.PushBack(item)
	item.customer.callers.added(item.caller, now)
	k.customers.added(item.customer, now)
	k.size++
	q.size++
	q.expiry.set(item, true)
	q.place(k)
}

// evict removes the newest item of the caller that uses the most room for its part.
func (q *Queue) evict() *Item {
	k := q.longest.least()
	customer := k.customers.longest.least()
	caller := customer.callers.longest.least()
	item := caller.items.Back().Value.(*Item)
	q.Remove(item)
	return item
}

// Remove takes a waiting item out of the queue. It returns false when the item is not in the queue: it was dispatched,
// evicted, or found late.
func (q *Queue) Remove(item *Item) bool {
	if item.element == nil {
		return false
	}
	q.detach(item)
	item.customer.callers.removed(item.caller)
	item.kind.customers.removed(item.customer)
	q.place(item.kind)
	return true
}

func (q *Queue) detach(item *Item) {
	item.caller.items.Remove(item.element)
	item.element = nil
	item.kind.size--
	q.size--
	q.expiry.set(item, false)
}

// Expire removes and returns the items whose latest start has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	var late []*Item
	for q.expiry.len() > 0 && !q.expiry.least().latestStart.After(now) {
		item := q.expiry.least()
		q.Remove(item)
		late = append(late, item)
	}
	return late
}

// Pop removes the item that a free slot goes to, nil when none waits. late holds items that were found on the way to be
// unable to meet their deadline; they are no longer in the queue. The caller reports the end of the item with Done.
func (q *Queue) Pop(now time.Time) (item *Item, late []*Item) {
	for q.size > 0 {
		item = q.next(now)
		if q.mayStart(item, now) {
			q.dispatch(item, now)
			return item, late
		}
		q.Remove(item)
		late = append(late, item)
	}
	return nil, late
}

// next returns the item that a free slot goes to. Something waits.
func (q *Queue) next(now time.Time) *Item {
	k := q.waiting.least()
	if q.guaranteed.len() > 0 && q.guaranteed.least().guaranteed(now) {
		k = q.guaranteed.least()
	}
	caller := k.customers.active.least().callers.active.least()
	return caller.items.Front().Value.(*Item)
}

func (q *Queue) mayStart(item *Item, now time.Time) bool {
	remaining := item.Deadline.Sub(now)
	if remaining <= 0 {
		return false
	}
	budget := item.Deadline.Sub(item.pushed)
	return item.kind.estimate.reserve(budget) <= remaining || q.size == 1 || item.kind.probeDue(now)
}

func (q *Queue) dispatch(item *Item, now time.Time) {
	k := item.kind
	item.cost = k.estimate.mean().Seconds()
	item.inUse = true
	q.detach(item)
	item.customer.callers.dispatched(item.caller, item.cost, now)
	k.customers.dispatched(item.customer, item.cost, now)
	k.inUse++
	k.lastDispatch = now
	item.paid = k.guaranteed(now)
	if item.paid {
		k.pay(item.cost, q.slots, now)
	}
	q.place(k)
}

// Done reports that a popped item no longer uses a slot. ranFor is its service time, 0 when it did not run here, in
// which case its flows are not charged for it.
func (q *Queue) Done(item *Item, ranFor time.Duration, now time.Time) {
	if !item.inUse {
		return
	}
	item.inUse = false
	k := item.kind
	correction := ranFor.Seconds() - item.cost
	item.customer.callers.ended(item.caller, correction)
	k.customers.ended(item.customer, correction)
	k.inUse--
	if item.paid {
		k.correct(correction, q.slots)
	}
	if ranFor > 0 {
		k.estimate.add(ranFor, now)
	}
	q.place(k)
}
