package router_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/fairqueue"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const (
	simSlots         = 48 // 6 minions of 8 slots
	simQueueCapacity = 4096
	simTime          = 40 * time.Second
	simWarmUp        = 5 * time.Second
)

var simStart = time.Unix(1_000_000, 0)

// discipline is a queueing discipline under comparison.
type discipline interface {
	push(item *fairqueue.Item, now time.Time)
	pop(now time.Time) *fairqueue.Item
	done(item *fairqueue.Item, ranFor time.Duration, now time.Time)
}

// fifoDiscipline is the naive queue: a bounded list in order of arrival.
type fifoDiscipline struct{ items []*fairqueue.Item }

func (f *fifoDiscipline) push(item *fairqueue.Item, _ time.Time) {
	if len(f.items) < simQueueCapacity {
		f.items = append(f.items, item)
	}
}

func (f *fifoDiscipline) pop(time.Time) *fairqueue.Item {
	if len(f.items) == 0 {
		return nil
	}
	item := f.items[0]
	f.items = f.items[1:]
	return item
}

func (f *fifoDiscipline) done(*fairqueue.Item, time.Duration, time.Time) {}

// fairDiscipline is the queue that the router uses.
type fairDiscipline struct{ queue *fairqueue.Queue }

func (f fairDiscipline) push(item *fairqueue.Item, now time.Time) { _, _ = f.queue.Push(item, now) }
func (f fairDiscipline) pop(now time.Time) *fairqueue.Item {
	f.queue.Expire(now)
	item, _ := f.queue.Pop(now)
	return item
}
func (f fairDiscipline) done(item *fairqueue.Item, ranFor time.Duration, now time.Time) {
	f.queue.Done(item, ranFor, now)
}

// simKind is a kind with its true mean service time and its deadline.
type simKind struct {
	fairqueue.Kind
	mean     time.Duration
	deadline time.Duration
}

var simKinds = []simKind{
	{fairqueue.Kind{Name: "book", Share: 0.5, Urgency: 90}, 50 * time.Millisecond, 2 * time.Second},
	{fairqueue.Kind{Name: "quote", Share: 0.3, Urgency: 50}, 20 * time.Millisecond, time.Second},
	{fairqueue.Kind{Name: "reprice", Share: 0.1, Urgency: 10}, 100 * time.Millisecond, 5 * time.Second},
}

var simWeights = map[structs.Customer]float64{"a": 4, "b": 2, "c": 1}

// newFair declares run times that are ten times too short or too long, chosen at random for each kind.
func newFair(random *rand.Rand) discipline {
	var kinds []fairqueue.Kind
	for _, k := range simKinds {
		k.RunTime = k.mean / 10
		if random.IntN(2) == 0 {
			k.RunTime = k.mean * 10
		}
		kinds = append(kinds, k.Kind)
	}
	queue := fairqueue.New(fairqueue.Config{Capacity: simQueueCapacity, MaxCallers: 1000, MaxCustomers: 10, Kinds: kinds,
		Weight: func(c structs.Customer) float64 { return simWeights[c] }})
	queue.SetSlots(simSlots)
	return fairDiscipline{queue}
}

func newFIFO(*rand.Rand) discipline { return &fifoDiscipline{} }

// stream is the sequence of requests of one caller and kind. load is a multiple of the capacity of all slots.
type stream struct {
	kind     int
	customer structs.Customer
	caller   structs.Caller
	load     float64
}

// streamResult holds the results of one stream after the warm-up.
type streamResult struct {
	offered, inTime int
	work            time.Duration // service time of the requests answered in time
	latencies       []time.Duration
}

func (c *streamResult) success() float64 { return float64(c.inTime) / float64(max(c.offered, 1)) }

func p99(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return simTime // nothing was answered in time
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

// simEvent is the arrival of a request (item is nil) or the end of a run.
type simEvent struct {
	at     time.Time
	stream int
	item   *fairqueue.Item
	ranFor time.Duration
}

// eventQueue is a heap of events in order of time.
type eventQueue []simEvent

// Len implements heap.Interface.
func (a eventQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }

// Swap implements heap.Interface.
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(simEvent)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// arrival is the value of a simulated item: its stream and its time of arrival.
type arrival struct {
	stream int
	at     time.Time
}

// simulate runs the streams against a queue in virtual time, with Poisson arrivals and exponential service times. Each
// stream has its own random numbers, so its requests are the same with and without the other streams.
func simulate(newQueue func(*rand.Rand) discipline, streams []stream, seed uint64) []streamResult {
	queue := newQueue(rand.New(rand.NewPCG(seed, 0)))
	results := slices.Repeat([]streamResult{{}}, len(streams))
	var events eventQueue
	var randoms []*rand.Rand
	next := func(now time.Time, i int) {
		kind := simKinds[streams[i].kind]
		gap := kind.mean.Seconds() / (streams[i].load * simSlots) * randoms[i].ExpFloat64()
		heap.Push(&events, simEvent{at: now.Add(time.Duration(gap * float64(time.Second))), stream: i})
	}
	for i, s := range streams {
		randoms = append(randoms, rand.New(rand.NewPCG(seed, streamHash(s))))
		next(simStart, i)
	}
	free := simSlots
	for events[0].at.Before(simStart.Add(simTime)) {
		e := heap.Pop(&events).(simEvent)
		if e.item == nil {
			s := streams[e.stream]
			kind := simKinds[s.kind]
			item := &fairqueue.Item{Kind: kind.Name, Customer: s.customer, Caller: s.caller, Deadline: e.at.Add(kind.deadline), Value: arrival{e.stream, e.at}}
			if e.at.After(simStart.Add(simWarmUp)) {
				results[e.stream].offered++
			}
			queue.push(item, e.at)
			next(e.at, e.stream)
		} else {
			free++
			queue.done(e.item, e.ranFor, e.at)
			results[e.item.Value.(arrival).stream].add(e)
		}
		for free > 0 {
			item := queue.pop(e.at)
			if item == nil {
				break
			}
			free--
			i := item.Value.(arrival).stream
			ranFor := time.Duration(randoms[i].ExpFloat64() * float64(simKinds[streams[i].kind].mean))
			heap.Push(&events, simEvent{at: e.at.Add(ranFor), item: item, ranFor: ranFor})
		}
	}
	return results
}

func (c *streamResult) add(e simEvent) {
	arrivedAt := e.item.Value.(arrival).at
	if arrivedAt.Before(simStart.Add(simWarmUp)) || e.at.After(e.item.Deadline) {
		return
	}
	c.inTime++
	c.work += e.ranFor
	c.latencies = append(c.latencies, e.at.Sub(arrivedAt))
}

func streamHash(s stream) uint64 {
	hash := uint64(14695981039346656037)
	for _, b := range []byte(fmt.Sprint(s.kind, s.customer, s.caller)) {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	return hash
}

// jainIndex returns Jain's fairness index of the given amounts.
func jainIndex(amounts []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range amounts {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(amounts)) * squares)
}
