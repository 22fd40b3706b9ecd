package fairqueue

import (
	"container/list"
	"time"
)

// gapWeight is the weight of the newest sample in the mean time between two dispatches.
const gapWeight = 0.2

// flow is a customer within a kind, or a caller within a customer. Flows of one level share by start-time fair
// queueing (Goyal, Vin and Cheng, SIGCOMM 1996): the flow with the lowest tag is served, and its tag rises by the
// service time that it received, divided by its weight.
type flow struct {
	name    string
	weight  float64
	tag     float64 // seconds of service divided by the weight
	size    int     // waiting items
	inUse   int     // dispatched items that have not ended
	callers *level  // of a customer; nil for a caller
	items   list.List

	gap       time.Duration // mean time between two dispatches while items waited
	gapBegins time.Time     // last dispatch, or the moment when the first item began to wait

	activePlace  int
	idlePlace    int
	longestPlace int
}

// level is a set of flows that share what their parent gets.
type level struct {
	flows   map[string]*flow
	active  *ordered[*flow] // with waiting items, lowest tag first
	idle    *ordered[*flow] // without waiting or dispatched items, lowest tag first
	longest *ordered[*flow] // with waiting items, longest for its weight first
	now     float64         // tag of the flow served last
	highest float64         // highest tag given so far
	inUse   int
}

func newLevel() *level {
	return &level{
		flows:   map[string]*flow{},
		active:  newOrdered(lowerTag, func(f *flow) *int { return &f.activePlace }),
		idle:    newOrdered(lowerTag, func(f *flow) *int { return &f.idlePlace }),
		longest: newOrdered(longerFlow, func(f *flow) *int { return &f.longestPlace }),
	}
}

func lowerTag(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

func longerFlow(a, b *flow) bool {
	left, right := float64(a.size)*b.weight, float64(b.size)*a.weight
	if left != right {
		return left > right
	}
	return a.name < b.name
}

// get returns the flow with the given name. It returns nil when a new one would exceed limit.
func (l *level) get(name string, weight float64, limit int) *flow {
	if f := l.flows[name]; f != nil {
		f.weight = weight
		return f
	}
	l.forget(limit)
	if len(l.flows) >= limit {
		return nil
	}
	f := &flow{name: name, weight: weight, activePlace: -1, idlePlace: -1, longestPlace: -1}
	l.flows[name] = f
	l.idle.set(f, true)
	return f
}

// forget drops idle flows that have no advantage or disadvantage left over a new flow. When the level is full, it also
// drops the idle flow that is ahead by the least.
func (l *level) forget(limit int) {
	if l.active.len() == 0 && l.inUse == 0 {
		l.now = l.highest
	}
	for l.idle.len() > 0 {
		f := l.idle.least()
		if f.tag > l.now && len(l.flows) < limit {
			return
		}
		l.idle.set(f, false)
		delete(l.flows, f.name)
	}
}

// added records that an item began to wait in the flow.
func (l *level) added(f *flow, now time.Time) {
	if f.size == 0 {
		l.forget(len(l.flows) + 1)
		f.tag = max(f.tag, l.now)
		l.highest = max(l.highest, f.tag)
		f.gapBegins = now
		l.flows[f.name] = f
	}
	f.size++
	l.place(f)
}

// removed records that an item left the flow without being dispatched.
func (l *level) removed(f *flow) {
	f.size--
	l.place(f)
}

// dispatched records that an item of the flow was dispatched and is expected to take cost seconds.
func (l *level) dispatched(f *flow, cost float64, now time.Time) {
	l.now = max(l.now, f.tag)
	f.size--
	f.inUse++
	l.inUse++
	f.measureGap(now)
	l.charge(f, cost)
}

// ended records that a dispatched item ended and took correction seconds longer than expected.
func (l *level) ended(f *flow, correction float64) {
	f.inUse--
	l.inUse--
	l.charge(f, correction)
}

func (l *level) charge(f *flow, cost float64) {
	f.tag += cost / f.weight
	l.highest = max(l.highest, f.tag)
	l.place(f)
}

func (l *level) place(f *flow) {
	waiting := f.size > 0
	l.active.set(f, waiting)
	l.longest.set(f, waiting)
	l.idle.set(f, !waiting && f.inUse == 0)
}

func (f *flow) measureGap(now time.Time) {
	gap := now.Sub(f.gapBegins)
	f.gapBegins = now
	if f.gap == 0 {
		f.gap = gap
		return
	}
	f.gap += time.Duration(gapWeight * float64(gap-f.gap))
}

// expectedGap returns the time to expect between two dispatches while items wait, at least the given bound.
func (f *flow) expectedGap(now time.Time, bound time.Duration) time.Duration {
	return max(f.gap, now.Sub(f.gapBegins), bound)
}
