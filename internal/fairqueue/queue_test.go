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

// The generated sequences are the same in every run unless the flags say otherwise. 2,000 of them are needed to reach
// the bound of the saved guarantee.
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

// naive is the same queue without any index: it looks at every waiting item at every step.
type naive struct {
	kinds   map[structs.KindName]*naiveKind
	waiting []*naiveItem
	slots   int
}

type naiveKind struct {
	Kind
	estimate  estimate
	paidUntil time.Time
	customers *naiveLevel
	callers   map[string]*naiveLevel // by customer
}

type naiveLevel struct {
	tag          map[string]float64
	now, highest float64
	inUse        int
}

type naiveItem struct {
	id               int
	kind             *naiveKind
	customer, caller string
	weight, cost     float64
	paid             bool
}

func newNaive(cfg Config, slots int) *naive {
	n := &naive{kinds: map[structs.KindName]*naiveKind{}, slots: slots}
	for _, k := range cfg.Kinds {
		n.kinds[k.Name] = &naiveKind{Kind: k, estimate: estimate{declared: k.RunTime}, customers: newNaiveLevel(), callers: map[string]*naiveLevel{}}
	}
	return n
}

func newNaiveLevel() *naiveLevel { return &naiveLevel{tag: map[string]float64{}} }

func (l *naiveLevel) begin(name string, active []string) {
	if len(active) == 0 && l.inUse == 0 {
		l.now = l.highest
	}
	if !slices.Contains(active, name) {
		l.tag[name] = max(l.tag[name], l.now)
		l.highest = max(l.highest, l.tag[name])
	}
}

func (l *naiveLevel) charge(name string, cost float64) {
	l.tag[name] += cost
	l.highest = max(l.highest, l.tag[name])
}

func (l *naiveLevel) lowest(active []string) string {
	return slices.MinFunc(active, func(a, b string) int {
		switch {
		case l.tag[a] < l.tag[b] || (l.tag[a] == l.tag[b] && a < b):
			return -1
		default:
			return 1
		}
	})
}

func (n *naive) customersOf(k *naiveKind) (names []string) {
	for _, w := range n.waiting {
		if w.kind == k {
			names = append(names, w.customer)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (n *naive) callersOf(k *naiveKind, customer string) (names []string) {
	for _, w := range n.waiting {
		if w.kind == k && w.customer == customer {
			names = append(names, w.caller)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (n *naive) push(w *naiveItem) {
	if w.kind.callers[w.customer] == nil {
		w.kind.callers[w.customer] = newNaiveLevel()
	}
	w.kind.callers[w.customer].begin(w.caller, n.callersOf(w.kind, w.customer))
	w.kind.customers.begin(w.customer, n.customersOf(w.kind))
	n.waiting = append(n.waiting, w)
}

// longest returns the name with the most waiting items for its part.
func longest(names []string, length func(string) float64) string {
	return slices.MinFunc(names, func(a, b string) int {
		if length(a) > length(b) || (length(a) == length(b) && a < b) {
			return -1
		}
		return 1
	})
}

func (n *naive) count(match func(*naiveItem) bool) (total float64) {
	for _, w := range n.waiting {
		if match(w) {
			total++
		}
	}
	return total
}

// victim is the newest item of the caller that uses the most room for its part.
func (n *naive) victim() *naiveItem {
	var kinds []string
	weights := map[string]float64{}
	for _, w := range n.waiting {
		kinds = append(kinds, string(w.kind.Name))
		weights[w.customer] = w.weight
	}
	kind := n.kinds[structs.KindName(longest(kinds, func(name string) float64 {
		k := n.kinds[structs.KindName(name)]
		return n.count(func(w *naiveItem) bool { return w.kind == k }) / max(k.Share, minShare)
	}))]
	customer := longest(n.customersOf(kind), func(name string) float64 {
		return n.count(func(w *naiveItem) bool { return w.kind == kind && w.customer == name }) / weights[name]
	})
	caller := longest(n.callersOf(kind, customer), func(name string) float64 {
		return n.count(func(w *naiveItem) bool { return w.kind == kind && w.customer == customer && w.caller == name })
	})
	newest := n.waiting[0]
	for _, w := range n.waiting {
		if w.kind == kind && w.customer == customer && w.caller == caller {
			newest = w
		}
	}
	return newest
}

func (n *naive) remove(w *naiveItem) {
	n.waiting = slices.DeleteFunc(n.waiting, func(other *naiveItem) bool { return other == w })
}

func (n *naive) pop(now time.Time) *naiveItem {
	if len(n.waiting) == 0 {
		return nil
	}
	var urgent, owed *naiveKind
	for _, w := range n.waiting {
		k := w.kind
		if urgent == nil || k.Urgency > urgent.Urgency {
			urgent = k
		}
		if k.Share > 0 && k.paidUntil.Before(now) && (owed == nil || k.paidUntil.Before(owed.paidUntil) || (k.paidUntil.Equal(owed.paidUntil) && k.Name < owed.Name)) {
			owed = k
		}
	}
	k := urgent
	if owed != nil {
		k = owed
	}
	customer := k.customers.lowest(n.customersOf(k))
	caller := k.callers[customer].lowest(n.callersOf(k, customer))
	first := slices.IndexFunc(n.waiting, func(w *naiveItem) bool { return w.kind == k && w.customer == customer && w.caller == caller })
	w := n.waiting[first]
	n.remove(w)
	n.charge(w, now)
	return w
}

func (n *naive) charge(w *naiveItem, now time.Time) {
	k := w.kind
	w.cost = k.estimate.mean().Seconds()
	for level, name := range map[*naiveLevel]string{k.customers: w.customer, k.callers[w.customer]: w.caller} {
		level.now = max(level.now, level.tag[name])
		level.inUse++
	}
	k.callers[w.customer].charge(w.caller, w.cost)
	k.customers.charge(w.customer, w.cost/w.weight)
	w.paid = k.paidUntil.Before(now)
	if w.paid && k.Share > 0 {
		if k.paidUntil.Before(now.Add(-burst)) {
			k.paidUntil = now.Add(-burst)
		}
		k.paidUntil = k.paidUntil.Add(time.Duration(w.cost / (k.Share * float64(n.slots)) * float64(time.Second)))
	}
}

func (n *naive) done(w *naiveItem, ranFor time.Duration, now time.Time) {
	k := w.kind
	correction := ranFor.Seconds() - w.cost
	k.callers[w.customer].charge(w.caller, correction)
	k.customers.charge(w.customer, correction/w.weight)
	k.callers[w.customer].inUse--
	k.customers.inUse--
	if w.paid && k.Share > 0 {
		k.paidUntil = k.paidUntil.Add(time.Duration(correction / (k.Share * float64(n.slots)) * float64(time.Second)))
	}
	k.estimate.add(ranFor, now)
}

// TestQueueAgreesWithNaive guards against a wrong index: each step gives the same item as looking at all of them.
func TestQueueAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 1 // so that a few requests use a guarantee up
		cfg := testConfig(15)
		queue, plain := New(cfg), newNaive(cfg, slots)
		queue.SetSlots(slots)
		now, pushed := start, 0
		var items, running []*Item
		value := func(i *Item) *naiveItem { return i.Value.(*naiveItem) }
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				kind := rapid.SampledFrom(cfg.Kinds).Draw(t, "kind").Name
				customer := rapid.SampledFrom([]structs.Customer{"a", "b", "c"}).Draw(t, "customer")
				caller := structs.Caller(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "caller")))
				pushed++
				w := &naiveItem{id: pushed, kind: plain.kinds[kind], customer: string(customer), caller: string(caller), weight: cfg.Weight(customer)}
				item := &Item{Kind: kind, Customer: customer, Caller: caller, Deadline: now.Add(time.Hour), Value: w}
				evicted, err := queue.Push(item, now)
				plain.push(w)
				if len(plain.waiting) <= cfg.Capacity {
					assert.NilError(t, err)
					assert.Assert(t, evicted == nil)
				} else {
					victim := plain.victim()
					plain.remove(victim)
					assert.Equal(t, victim == w, err != nil)
					assert.Assert(t, victim == w || value(evicted) == victim)
				}
				items = append(items, item)
			},
			"pop": func(t *rapid.T) {
				item, late := queue.Pop(now)
				assert.Equal(t, len(late), 0)
				want := plain.pop(now)
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
				ranFor := time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
				queue.Done(running[i], ranFor, now)
				plain.done(value(running[i]), ranFor, now)
				running = slices.Delete(running, i, i+1)
			},
			"remove": func(t *rapid.T) {
				if len(items) == 0 {
					t.Skip("nothing was pushed")
				}
				item := rapid.SampledFrom(items).Draw(t, "item")
				assert.Equal(t, queue.Remove(item), slices.Contains(plain.waiting, value(item)))
				plain.remove(value(item))
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { assert.Equal(t, queue.Len(), len(plain.waiting)) },
		})
	})
}

// TestQueueRefusesLateWork guards against work that takes a slot although its answer comes after its deadline.
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
	item, late := queue.Pop(start.Add(200 * time.Millisecond)) // too late for the first one
	assert.Assert(t, item == second)
	assert.DeepEqual(t, len(late), 1)
	assert.Assert(t, late[0] == first)
	third, err := push(time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(queue.Expire(third.LatestStart().Add(-1))), 0)
	assert.Equal(t, len(queue.Expire(third.LatestStart())), 1)
	assert.Equal(t, queue.Len(), 0)
}

// TestQueueRecoversFromSlowSpell guards against a queue that goes on refusing everything after its service has become
// fast again, since what is refused is not measured.
func TestQueueRecoversFromSlowSpell(t *testing.T) {
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
	assert.Assert(t, served >= 90, "served %d of 100 requests in the first second after the slow spell", served)
}

// BenchmarkQueue shows the cost of a push, a pop and an end together as the number of waiting callers grows.
func BenchmarkQueue(b *testing.B) {
	for _, callers := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			cfg := testConfig(2 * callers)
			cfg.MaxCallers = 2 * callers
			queue := New(cfg)
			queue.SetSlots(8)
			push := func(caller int) {
				item := &Item{Kind: "quote", Customer: "a", Caller: structs.Caller(fmt.Sprint(caller)), Deadline: start.Add(100 * time.Hour)}
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
