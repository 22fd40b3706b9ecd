package fairqueue

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

var start = time.Unix(1_000_000, 0)

// init fixes the seed and the number of the generated sequences unless flags override them. 2,000 sequences are needed
// to reach the bound of the saved guarantee.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

func testConfig(capacity int) Config {
	return Config{
		Capacity: capacity, MaxCallers: 100, MaxCustomers: 10,
		Kinds: []Kind{
			{Name: "book", Share: 0.5, Urgency: 90, RunTime: 50 * time.Millisecond},
			{Name: "quote", Share: 0.3, Urgency: 50, RunTime: 20 * time.Millisecond},
			{Name: "reprice", Urgency: 10, RunTime: 100 * time.Millisecond},
		},
		Weight: func(c structs.Customer) float64 { return map[structs.Customer]float64{"a": 4, "b": 1, "c": 2}[c] },
	}
}

// referenceQueue is the same queue without heaps: each step scans all waiting items.
type referenceQueue struct {
	kinds   map[structs.KindName]*referenceKind
	waiting []*referenceItem
	slots   int
}

type referenceKind struct {
	Kind
	estimate           estimate
	guaranteeUsedUntil time.Time
	customers          *referenceFlows
	callers            map[string]*referenceFlows // by customer
}

type referenceFlows struct {
	tags                map[string]float64
	virtualTime, maxTag float64
	inFlight            int
}

type referenceItem struct {
	id                     int
	kind                   *referenceKind
	customer, caller       string
	weight, chargedSeconds float64
	usesGuarantee          bool
}

func newReferenceQueue(cfg Config, slots int) *referenceQueue {
	q := &referenceQueue{kinds: map[structs.KindName]*referenceKind{}, slots: slots}
	for _, k := range cfg.Kinds {
		q.kinds[k.Name] = &referenceKind{
			Kind: k, estimate: estimate{declared: k.RunTime},
			customers: newReferenceFlows(), callers: map[string]*referenceFlows{},
		}
	}
	return q
}

func newReferenceFlows() *referenceFlows { return &referenceFlows{tags: map[string]float64{}} }

// begin raises the tag of a flow that had no waiting items to the virtual time.
func (f *referenceFlows) begin(name string, active []string) {
	if len(active) == 0 && f.inFlight == 0 {
		f.virtualTime = f.maxTag
	}
	if !slices.Contains(active, name) {
		f.tags[name] = max(f.tags[name], f.virtualTime)
		f.maxTag = max(f.maxTag, f.tags[name])
	}
}

func (f *referenceFlows) charge(name string, cost float64) {
	f.tags[name] += cost
	f.maxTag = max(f.maxTag, f.tags[name])
}

func (f *referenceFlows) lowest(active []string) string {
	return slices.MinFunc(active, func(a, b string) int {
		switch {
		case f.tags[a] < f.tags[b] || (f.tags[a] == f.tags[b] && a < b):
			return -1
		default:
			return 1
		}
	})
}

func (q *referenceQueue) customersOf(k *referenceKind) (names []string) {
	for _, w := range q.waiting {
		if w.kind == k {
			names = append(names, w.customer)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (q *referenceQueue) callersOf(k *referenceKind, customer string) (names []string) {
	for _, w := range q.waiting {
		if w.kind == k && w.customer == customer {
			names = append(names, w.caller)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (q *referenceQueue) push(w *referenceItem) {
	if w.kind.callers[w.customer] == nil {
		w.kind.callers[w.customer] = newReferenceFlows()
	}
	w.kind.callers[w.customer].begin(w.caller, q.callersOf(w.kind, w.customer))
	w.kind.customers.begin(w.customer, q.customersOf(w.kind))
	q.waiting = append(q.waiting, w)
}

// longest returns the name with the greatest length, the first in alphabetical order among equals.
func longest(names []string, length func(string) float64) string {
	return slices.MinFunc(names, func(a, b string) int {
		if length(a) > length(b) || (length(a) == length(b) && a < b) {
			return -1
		}
		return 1
	})
}

func (q *referenceQueue) count(match func(*referenceItem) bool) (total float64) {
	for _, w := range q.waiting {
		if match(w) {
			total++
		}
	}
	return total
}

// victim is the newest item of the caller that exceeds its part of the queue the most.
func (q *referenceQueue) victim() *referenceItem {
	var kinds []string
	weights := map[string]float64{}
	for _, w := range q.waiting {
		kinds = append(kinds, string(w.kind.Name))
		weights[w.customer] = w.weight
	}
	kind := q.kinds[structs.KindName(longest(kinds, func(name string) float64 {
		k := q.kinds[structs.KindName(name)]
		return q.count(func(w *referenceItem) bool { return w.kind == k }) / max(k.Share, minShare)
	}))]
	customer := longest(q.customersOf(kind), func(name string) float64 {
		return q.count(func(w *referenceItem) bool { return w.kind == kind && w.customer == name }) / weights[name]
	})
	caller := longest(q.callersOf(kind, customer), func(name string) float64 {
		return q.count(func(w *referenceItem) bool { return w.kind == kind && w.customer == customer && w.caller == name })
	})
	newest := q.waiting[0]
	for _, w := range q.waiting {
		if w.kind == kind && w.customer == customer && w.caller == caller {
			newest = w
		}
	}
	return newest
}

func (q *referenceQueue) remove(w *referenceItem) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *referenceItem) bool { return other == w })
}

func (q *referenceQueue) pop(now time.Time) *referenceItem {
	if len(q.waiting) == 0 {
		return nil
	}
	var mostUrgent, leastUsed *referenceKind
	for _, w := range q.waiting {
		k := w.kind
		if mostUrgent == nil || k.Urgency > mostUrgent.Urgency {
			mostUrgent = k
		}
		if k.Share > 0 && k.guaranteeUsedUntil.Before(now) &&
			(leastUsed == nil || k.guaranteeUsedUntil.Before(leastUsed.guaranteeUsedUntil) ||
				(k.guaranteeUsedUntil.Equal(leastUsed.guaranteeUsedUntil) && k.Name < leastUsed.Name)) {
			leastUsed = k
		}
	}
	k := mostUrgent
	if leastUsed != nil {
		k = leastUsed
	}
	customer := k.customers.lowest(q.customersOf(k))
	caller := k.callers[customer].lowest(q.callersOf(k, customer))
	first := slices.IndexFunc(q.waiting, func(w *referenceItem) bool {
		return w.kind == k && w.customer == customer && w.caller == caller
	})
	w := q.waiting[first]
	q.remove(w)
	q.charge(w, now)
	return w
}

// charge charges the expected service time of a dispatched item.
func (q *referenceQueue) charge(w *referenceItem, now time.Time) {
	k := w.kind
	w.chargedSeconds = k.estimate.mean().Seconds()
	for flows, name := range map[*referenceFlows]string{k.customers: w.customer, k.callers[w.customer]: w.caller} {
		flows.virtualTime = max(flows.virtualTime, flows.tags[name])
		flows.inFlight++
	}
	k.callers[w.customer].charge(w.caller, w.chargedSeconds)
	k.customers.charge(w.customer, w.chargedSeconds/w.weight)
	w.usesGuarantee = k.guaranteeUsedUntil.Before(now)
	if w.usesGuarantee && k.Share > 0 {
		if k.guaranteeUsedUntil.Before(now.Add(-maxSavedGuarantee)) {
			k.guaranteeUsedUntil = now.Add(-maxSavedGuarantee)
		}
		k.guaranteeUsedUntil = k.guaranteeUsedUntil.Add(
			time.Duration(w.chargedSeconds / (k.Share * float64(q.slots)) * float64(time.Second)))
	}
}

func (q *referenceQueue) done(w *referenceItem, serviceTime time.Duration, now time.Time) {
	k := w.kind
	correction := serviceTime.Seconds() - w.chargedSeconds
	k.callers[w.customer].charge(w.caller, correction)
	k.customers.charge(w.customer, correction/w.weight)
	k.callers[w.customer].inFlight--
	k.customers.inFlight--
	if w.usesGuarantee && k.Share > 0 {
		k.guaranteeUsedUntil = k.guaranteeUsedUntil.Add(
			time.Duration(correction / (k.Share * float64(q.slots)) * float64(time.Second)))
	}
	k.estimate.add(serviceTime, now)
}

// TestQueueMatchesReference guards against heaps that are not updated: each step must give the same item as the
// reference queue, which scans all items.
func TestQueueMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 1 // so that a few requests use up a guarantee
		cfg := testConfig(15)
		queue, reference := New(cfg), newReferenceQueue(cfg, slots)
		queue.SetSlots(slots)
		now, pushed := start, 0
		var items, running []*Item
		value := func(i *Item) *referenceItem { return i.Value.(*referenceItem) }
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				kind := rapid.SampledFrom(cfg.Kinds).Draw(t, "kind").Name
				customer := rapid.SampledFrom([]structs.Customer{"a", "b", "c"}).Draw(t, "customer")
				caller := structs.Caller(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "caller")))
				pushed++
				w := &referenceItem{
					id: pushed, kind: reference.kinds[kind], customer: string(customer), caller: string(caller),
					weight: cfg.Weight(customer),
				}
				item := &Item{Kind: kind, Customer: customer, Caller: caller, Deadline: now.Add(time.Hour), Value: w}
				evicted, err := queue.Push(item, now)
				reference.push(w)
				if len(reference.waiting) <= cfg.Capacity {
					assert.NilError(t, err)
					assert.Assert(t, evicted == nil)
				} else {
					victim := reference.victim()
					reference.remove(victim)
					assert.Equal(t, victim == w, err != nil)
					assert.Assert(t, victim == w || value(evicted) == victim)
				}
				items = append(items, item)
			},
			"pop": func(t *rapid.T) {
				item, late := queue.Pop(now)
				assert.Equal(t, len(late), 0)
				want := reference.pop(now)
				assert.Equal(t, item == nil, want == nil)
				if item != nil {
					assert.Equal(t, value(item).id, want.id)
					running = append(running, item)
				}
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "index")
				serviceTime := time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
				queue.Done(running[i], serviceTime, now)
				reference.done(value(running[i]), serviceTime, now)
				running = slices.Delete(running, i, i+1)
			},
			"remove": func(t *rapid.T) {
				if len(items) == 0 {
					t.Skip("nothing was pushed")
				}
				item := rapid.SampledFrom(items).Draw(t, "item")
				assert.Equal(t, queue.Remove(item), slices.Contains(reference.waiting, value(item)))
				reference.remove(value(item))
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { assert.Equal(t, queue.Len(), len(reference.waiting)) },
		})
	})
}

// TestQueueRefusesLateWork guards against items that take a slot although they cannot end before their deadline.
func TestQueueRefusesLateWork(t *testing.T) {
	queue := New(testConfig(100))
	queue.SetSlots(1)
	measure := func() {
		for range minSamples {
			item := &Item{Kind: "quote", Customer: "a", Deadline: start.Add(time.Hour)}
			_, err := queue.Push(item, start)
			assert.NilError(t, err)
			popped, _ := queue.Pop(start)
			queue.Done(popped, 200*time.Millisecond, start) // ten times the declared run time
		}
	}
	measure()
	push := func(within time.Duration) (*Item, error) {
		item := &Item{Kind: "quote", Customer: "a", Deadline: start.Add(within)}
		_, err := queue.Push(item, start)
		return item, err
	}
	first, err := push(300 * time.Millisecond)
	assert.NilError(t, err)
	_, err = push(100 * time.Millisecond)
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Reason, ReasonLate)
	second, err := push(time.Second)
	assert.NilError(t, err)
	item, late := queue.Pop(start.Add(200 * time.Millisecond)) // too late for the first item
	assert.Assert(t, item == second)
	assert.DeepEqual(t, len(late), 1)
	assert.Assert(t, late[0] == first)
	third, err := push(time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(queue.Expire(third.LatestStart().Add(-1))), 0)
	assert.Equal(t, len(queue.Expire(third.LatestStart())), 1)
	assert.Equal(t, queue.Len(), 0)
}

// TestQueueRecoversFromSlowPeriod guards against a queue that refuses everything although its service has become fast
// again, because service times of refused items are never measured.
func TestQueueRecoversFromSlowPeriod(t *testing.T) {
	queue := New(testConfig(100))
	queue.SetSlots(1)
	now := start
	run := func(took time.Duration) bool {
		_, err := queue.Push(&Item{Kind: "quote", Customer: "a", Deadline: now.Add(500 * time.Millisecond)}, now)
		item, _ := queue.Pop(now)
		now = now.Add(10 * time.Millisecond)
		if item != nil {
			queue.Done(item, took, now)
		}
		return err == nil && item != nil
	}
	for range 500 {
		run(2 * time.Second)
	}
	served := 0
	for range 100 {
		if run(5 * time.Millisecond) {
			served++
		}
	}
	assert.Assert(t, served >= 90, "served %d of 100 requests in the first second after the slow period", served)
}

// BenchmarkQueue measures a push, a pop and an end together, by number of waiting callers.
func BenchmarkQueue(b *testing.B) {
	for _, callers := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			cfg := testConfig(2 * callers)
			cfg.MaxCallers = 2 * callers
			queue := New(cfg)
			queue.SetSlots(8)
			push := func(caller int) {
				item := &Item{
					Kind: "quote", Customer: "a", Caller: structs.Caller(fmt.Sprint(caller)),
					Deadline: start.Add(100 * time.Hour),
				}
				_, err := queue.Push(item, start)
				assert.NilError(b, err)
			}
			for caller := range callers {
				push(caller)
			}
			n := 0
			for b.Loop() {
				push(n % callers)
				item, _ := queue.Pop(start)
				queue.Done(item, time.Millisecond, start)
				n++
			}
		})
	}
}
