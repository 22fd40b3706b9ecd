package fairqueue

import (
	"container/list"
	"time"
)

// gapWeight is the weight of the newest sample in the moving average of the time between two dispatches.
const gapWeight = 0.2

// flow is a customer within a kind, or a caller within a customer. The flows of one flowSet share by start-time fair
// queueing (Goyal, Vin and Cheng, SIGCOMM 1996): the flow with the lowest start tag is served next, and its tag rises
// by the service time that it received, divided by its weight.
type flow struct {
	name     string
	weight   float64
	tag      float64   // start tag, in seconds of service divided by the weight
	waiting  int       // number of waiting items
	inFlight int       // number of dispatched items that have not ended
	callers  *flowSet  // callers of a customer; nil when the flow is a caller
	items    list.List // waiting items of a caller, oldest first; empty for a customer

	meanGap  time.Duration // moving average of the time between two dispatches while items waited
	gapBegan time.Time     // time of the last dispatch, or when the first item began to wait

	// Positions in the heaps of the flowSet.
	activeIndex  int
	idleIndex    int
	longestIndex int
}

// flowSet is a set of flows that share the slots of their parent: the customers of a kind, or the callers of a
// customer.
type flowSet struct {
	flows       map[string]*flow
	active      *indexedHeap[*flow] // flows with waiting items, lowest tag first
	idle        *indexedHeap[*flow] // flows without waiting or dispatched items, lowest tag first
	longest     *indexedHeap[*flow] // flows with waiting items, those with most items for their weight first
	virtualTime float64             // highest tag of a served flow; rises to maxTag when all flows are idle
	maxTag      float64             // highest tag so far
	inFlight    int
}

func newFlowSet() *flowSet {
	return &flowSet{
		flows:   map[string]*flow{},
		active:  newIndexedHeap(lowerTag, func(f *flow) *int { return &f.activeIndex }),
		idle:    newIndexedHeap(lowerTag, func(f *flow) *int { return &f.idleIndex }),
		longest: newIndexedHeap(longerFlow, func(f *flow) *int { return &f.longestIndex }),
	}
}

func lowerTag(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

func longerFlow(a, b *flow) bool {
	left, right := float64(a.waiting)*b.weight, float64(b.waiting)*a.weight
	if left != right {
		return left > right
	}
	return a.name < b.name
}

// get returns the flow with the given name and adds it when it is unknown. It returns nil when a new flow would exceed
// the limit.
func (s *flowSet) get(name string, weight float64, limit int) *flow {
	if f := s.flows[name]; f != nil {
		f.weight = weight
		return f
	}
	s.dropIdle(limit)
	if len(s.flows) >= limit {
		return nil
	}
	f := &flow{name: name, weight: weight, activeIndex: -1, idleIndex: -1, longestIndex: -1}
	s.flows[name] = f
	s.idle.update(f, true)
	return f
}

// dropIdle drops the idle flows whose tags are not above the virtual time: a new flow would start with the same tag.
// When the set is full, it also drops idle flows with the lowest tags until it is below the limit.
func (s *flowSet) dropIdle(limit int) {
	if s.active.len() == 0 && s.inFlight == 0 {
		s.virtualTime = s.maxTag
	}
	for s.idle.len() > 0 {
		f := s.idle.first()
		if f.tag > s.virtualTime && len(s.flows) < limit {
			return
		}
		s.idle.update(f, false)
		delete(s.flows, f.name)
	}
}

// added records that an item began to wait in the flow.
func (s *flowSet) added(f *flow, now time.Time) {
	if f.waiting == 0 {
		s.dropIdle(len(s.flows) + 1)
		f.tag = max(f.tag, s.virtualTime)
		s.maxTag = max(s.maxTag, f.tag)
		f.gapBegan = now
		s.flows[f.name] = f
	}
	f.waiting++
	s.updateHeaps(f)
}

// removed records that an item left the flow without being dispatched.
func (s *flowSet) removed(f *flow) {
	f.waiting--
	s.updateHeaps(f)
}

// dispatched records that an item of the flow was dispatched and is expected to take cost seconds.
func (s *flowSet) dispatched(f *flow, cost float64, now time.Time) {
	s.virtualTime = max(s.virtualTime, f.tag)
	f.waiting--
	f.inFlight++
	s.inFlight++
	f.measureGap(now)
	s.charge(f, cost)
}

// ended records that a dispatched item ended and took correction seconds longer than expected.
func (s *flowSet) ended(f *flow, correction float64) {
	f.inFlight--
	s.inFlight--
	s.charge(f, correction)
}

// charge raises the tag of a flow by cost seconds of service, which may be negative.
func (s *flowSet) charge(f *flow, cost float64) {
	f.tag += cost / f.weight
	s.maxTag = max(s.maxTag, f.tag)
	s.updateHeaps(f)
}

// updateHeaps moves a flow to its position in the heaps.
func (s *flowSet) updateHeaps(f *flow) {
	waiting := f.waiting > 0
	s.active.update(f, waiting)
	s.longest.update(f, waiting)
	s.idle.update(f, !waiting && f.inFlight == 0)
}

func (f *flow) measureGap(now time.Time) {
	gap := now.Sub(f.gapBegan)
	f.gapBegan = now
	if f.meanGap == 0 {
		f.meanGap = gap
		return
	}
	f.meanGap += time.Duration(gapWeight * float64(gap-f.meanGap))
}

// expectedDispatchGap returns the expected time between two dispatches while items wait, at least the given bound.
func (f *flow) expectedDispatchGap(now time.Time, bound time.Duration) time.Duration {
	return max(f.meanGap, now.Sub(f.gapBegan), bound)
}
