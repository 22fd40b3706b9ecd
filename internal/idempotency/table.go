package idempotency

import (
	"container/list"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// clock returns an issuer's time. It never goes back, so a key that was rejected as expired, and whose record may have
// been dropped, never becomes valid again.
type clock struct {
	base      time.Time // the issuer's time at localBase
	localBase time.Time // by this process's clock
	latest    time.Time
	localNow  func() time.Time
}

func newClock(base time.Time, localNow func() time.Time) *clock {
	return &clock{base: base.Round(0), localBase: localNow(), latest: base.Round(0), localNow: localNow}
}

// now returns the issuer's time, based on this process's monotonic clock.
func (c *clock) now() time.Time {
	now := c.base.Add(c.localNow().Sub(c.localBase))
	if now.After(c.latest) {
		c.latest = now
	}
	return c.latest
}

// phase is the state of the run of a used key.
type phase uint8

const (
	phaseRunning phase = iota
	phaseAnswered
	phaseUnknown
)

// record is the record of a used key.
type record struct {
	serial   uint64
	expires  int64 // Unix time in ns
	phase    phase
	dropped  bool          // no longer in its table
	response *Response     // nil when it is not recorded
	element  *list.Element // element of Keys.responses, nil without a response
	done     chan struct{} // closed when the run ends; nil unless the key is running here
}

// table holds the used keys of one issuer. A key without a record has not been used. Keys.mu guards it.
type table struct {
	issuer        Issuer
	generation    uint32 // number of times the table was handed over
	clock         *clock
	highestSerial uint64 // highest serial that was issued
	records       map[uint64]*record
	byExpiry      map[int64][]*record // keyed by Unix second
	sweptUntil    int64               // last Unix second whose records were taken out of byExpiry
	closed        bool                // handed over or about to be; no further key runs here
}

func newTable(issuer Issuer, c *clock) *table {
	return &table{
		issuer:     issuer,
		clock:      c,
		records:    make(map[uint64]*record),
		byExpiry:   make(map[int64][]*record),
		sweptUntil: c.now().Unix() - 1,
	}
}

// add records a used key.
func (t *table) add(r *record) {
	t.records[r.serial] = r
	second := max(r.expires/int64(time.Second), t.sweptUntil+1)
	t.byExpiry[second] = append(t.byExpiry[second], r)
}

// takeExpired removes from byExpiry, and returns, the records of keys that have expired and are not running.
func (t *table) takeExpired() []*record {
	var ended []*record
	var running []*record
	until := t.clock.now().Unix() - 1
	for ; t.sweptUntil < until; t.sweptUntil++ {
		second := t.sweptUntil + 1
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
		t.byExpiry[t.sweptUntil+1] = append(t.byExpiry[t.sweptUntil+1], running...)
	}
	return ended
}

// allExpired reports whether every key of the table has expired.
func (t *table) allExpired(lifetime time.Duration) bool {
	return len(t.records) == 0 && t.clock.now().Sub(t.clock.base) > lifetime
}

// Response is the recorded answer of a minion, which a repeated request receives.
type Response struct {
	Status int                 `msgpack:"s"`
	Header map[string][]string `msgpack:"h"`
	Body   []byte              `msgpack:"b"`
}

// size returns the approximate memory that a response takes in bytes.
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

// Action says what to do with a request that carries a key.
type Action uint8

// Actions. Only ActionRun lets the request reach a minion.
const (
	ActionRun        Action = iota + 1 // run the request and end Decision.Run
	ActionRecorded                     // return the recorded Decision.Response
	ActionInProgress                   // the request is running; Decision.Done is closed when it ends
	ActionUnknown                      // the request may have run and its response is not known
	ActionExpired                      // the key has expired; an earlier request with it may have run
	ActionForward                      // forward the request to Decision.To, which decides
)

// Decision is the result of Begin.
type Decision struct {
	Action   Action
	Run      *Run
	Response *Response // shared; must not be modified
	Done     <-chan struct{}
	To       structs.InstanceID
}
