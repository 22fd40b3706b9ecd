package idempotency

import (
	"container/list"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// clock tells an issuer's time. It never goes back, so a key that was refused as expired, and whose record may have
// been dropped, is never valid again.
type clock struct {
	base   time.Time // the issuer's time at the moment from
	from   time.Time // by this process's clock
	latest time.Time
	local  func() time.Time
}

func newClock(base time.Time, local func() time.Time) *clock {
	return &clock{base: base.Round(0), from: local(), latest: base.Round(0), local: local}
}

// now returns the issuer's time by the monotonic clock.
func (c *clock) now() time.Time {
	now := c.base.Add(c.local().Sub(c.from))
	if now.After(c.latest) {
		c.latest = now
	}
	return c.latest
}

// phase is what is known about the run of a used key.
type phase uint8

const (
	phaseRunning phase = iota
	phaseAnswered
	phaseUnknown
)

// record is a used key.
type record struct {
	serial   uint64
	expires  int64 // Unix time in ns
	phase    phase
	dropped  bool          // no longer in its table
	response *Response     // nil when it is not recorded
	element  *list.Element // of Keys.responses when there is a response
	done     chan struct{} // closed when the run ends; nil unless it is running here
}

// table holds the used keys of one issuer. A key without a record has not been used. Keys.mu guards it.
type table struct {
	issuer     Issuer
	generation uint32 // how often the table was handed over
	clock      *clock
	issued     uint64 // highest serial
	records    map[uint64]*record
	byExpiry   map[int64][]*record // by Unix second
	swept      int64               // seconds up to this one are done
	closed     bool                // handed over or about to be: no key runs here any more
}

func newTable(issuer Issuer, c *clock) *table {
	return &table{
		issuer:   issuer,
		clock:    c,
		records:  make(map[uint64]*record),
		byExpiry: make(map[int64][]*record),
		swept:    c.now().Unix() - 1,
	}
}

// add records a used key.
func (t *table) add(r *record) {
	t.records[r.serial] = r
	second := max(r.expires/int64(time.Second), t.swept+1)
	t.byExpiry[second] = append(t.byExpiry[second], r)
}

// expired removes from the index, and returns, the ended records of keys that are refused as expired from now on.
func (t *table) expired() []*record {
	var ended []*record
	var running []*record
	until := t.clock.now().Unix() - 1
	for ; t.swept < until; t.swept++ {
		second := t.swept + 1
		for _, r := range t.byExpiry[second] {
			switch {
			case r.dropped:
			case r.phase == phaseRunning:
				running = append(running, r)
			default:
				ended = append(ended, r)
			}
		}
		delete(t.byExpiry, second)
	}
	if len(running) > 0 {
		t.byExpiry[t.swept+1] = append(t.byExpiry[t.swept+1], running...)
	}
	return ended
}

// finished reports whether every key of the table has expired.
func (t *table) finished(lifetime time.Duration) bool {
	return len(t.records) == 0 && t.clock.now().Sub(t.clock.base) > lifetime
}

// Response is the answer of a minion, as it is given to a repeated request.
type Response struct {
	Status int                 `msgpack:"s"`
	Header map[string][]string `msgpack:"h"`
	Body   []byte              `msgpack:"b"`
}

// size returns about the memory that a response takes.
func (r *Response) size() int {
	size := len(r.Body) + 64
	for name, values := range r.Header {
		size += len(name) + 32
		for _, v := range values {
			size += len(v) + 16
		}
	}
	return size
}

// Action is what to do with a request that carries a key.
type Action uint8

// Actions. Only ActionRun lets the request reach a minion.
const (
	ActionRun        Action = iota + 1 // run it and finish Decision.Run
	ActionRecorded                     // return Decision.Response
	ActionInProgress                   // it is running; Decision.Done is closed when it ends
	ActionUnknown                      // it may have run and its response is not known
	ActionExpired                      // the key has expired; an earlier request with it may have run
	ActionForward                      // ask Decision.To, which decides
)

// Decision is the answer of Begin.
type Decision struct {
	Action   Action
	Run      *Run
	Response *Response // shared, must not be changed
	Done     <-chan struct{}
	To       structs.InstanceID
}
