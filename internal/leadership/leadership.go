// Package leadership elects the scheduler of a deployment. A keyed record in the log names the holder and its term; the
// holder repeats it as a heartbeat, and every write is conditional on the end of the topic, so of two claims one succeeds.
package leadership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Timings of the election.
const (
	heartbeat      = 350 * time.Millisecond  // between two heartbeats; each costs one write and a read per instance
	claimAfter     = 1300 * time.Millisecond // without a heartbeat while the log answers; several heartbeats and a slow answer
	claimSpread    = 250 * time.Millisecond  // random part of a claim's delay, so that instances do not all claim at once
	sizeDelay      = 1200 * time.Millisecond // further delay of an instance without processor share, in proportion to the largest
	successorDelay = 500 * time.Millisecond  // for the named successor of a holder that gave its term up; a claim takes about 20 ms
	callTimeout    = 900 * time.Millisecond  // of one call to the log
	pollWait       = 500 * time.Millisecond  // long poll of followers
	retryPause     = 100 * time.Millisecond  // after a failed call
	resignTimeout  = 500 * time.Millisecond  // for the last record of a holder that stops
	outrankFactor  = 1.5                     // times the holder's processor share from which on an instance asks for the term
	candidacyPause = 3 * time.Second         // between two requests for the same term
	settledAfter   = time.Second             // age of a term from which on it may be asked for
	AuthorityLimit = 8 * time.Second         // how long a holder acts on its last confirmed heartbeat while the log is silent
)

// Keys of the topic.
const (
	termKey      = "term"      // the holder
	candidateKey = "candidate" // the last instance that asked for the term
)

var (
	eventClaimed  = event.Define(2400, "term claimed", zerolog.InfoLevel, "This instance became the scheduler.", "")
	eventLost     = event.Define(2401, "term lost", zerolog.WarnLevel, "Another instance is the scheduler now, or a worker or the log refused this instance's term.", "")
	eventResigned = event.Define(2402, "term resigned", zerolog.InfoLevel, "This instance gave the scheduler role up because it stops or a larger instance asked for it.", "")
	eventObserved = event.Define(2403, "term observed", zerolog.InfoLevel, "This instance learnt who the scheduler is.", "")
	eventFailed   = event.Define(2404, "term log call failed", zerolog.WarnLevel, "A call to the log for the election had no usable answer. Repeats are counted, not logged.", "Check the log service when it lasts.")
	eventAnswered = event.Define(2405, "term log answers again", zerolog.InfoLevel, "A call to the log for the election was answered after failures.", "")
)

// State is the record of the current holder.
type State struct {
	Term        int64  `msgpack:"t"`
	Holder      string `msgpack:"h"` // instance name
	Incarnation string `msgpack:"i"` // of the holder's process
	Resigned    bool   `msgpack:"r,omitempty"`
	Beat        int64  `msgpack:"b,omitempty"`

	Size      float64 `msgpack:"s,omitempty"` // processor share of the holder's machine
	Largest   float64 `msgpack:"l,omitempty"` // largest processor share of any holder so far
	Successor string  `msgpack:"n,omitempty"` // incarnation for which a resigned holder made way
}

// candidate is the record of an instance that asks a smaller holder for its term. Scheduling costs most of a small machine's
// processor time, so that on it orders are late whenever much starts or ends at a time.
type candidate struct {
	Term        int64   `msgpack:"t"`
	Incarnation string  `msgpack:"i"`
	Size        float64 `msgpack:"s"`
}

// Term is a held term. Its context ends when the term is lost.
type Term struct {
	Number  int64
	Context context.Context // ends with the term
	// Orderly tells that the previous holder gave its term up or was an earlier process here, so that it sends no more orders.
	Orderly bool

	elector *Elector
	cancel  context.CancelCauseFunc
}

// Elector takes part in the election for one instance.
type Elector struct {
	log         ledger.Log
	instance    string
	incarnation string
	size        float64 // processor share, 0 to 1
	events      *event.Log
	clock       func() time.Duration // counts time during which the instance was suspended
	able        func() bool          // whether the instance knows what a scheduler must know

	mu        sync.Mutex
	current   State
	since     time.Time // when the current term was first seen
	candidate candidate // for the current term, as last seen
	asked     time.Time // when that candidate was seen
	end       int64
	confirmed time.Duration // when the heartbeat that was last confirmed was sent
	failures  int           // calls in a row without a usable answer
}

// Config of an elector.
type Config struct {
	Log         ledger.Log
	Instance    string
	Incarnation string
	Size        float64
	Events      *event.Log
	Clock       func() time.Duration
	Able        func() bool
}

// New returns an elector.
func New(c Config) *Elector {
	return &Elector{log: c.Log, instance: c.Instance, incarnation: c.Incarnation, size: min(c.Size, 1), events: c.Events, clock: c.Clock, able: c.Able}
}

// Current returns the last observed holder.
func (e *Elector) Current() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Run takes part until ctx ends. lead is called for each held term and returns when the term's context ends.
func (e *Elector) Run(ctx context.Context, lead func(*Term)) {
	for ctx.Err() == nil {
		orderly, ok := e.awaitVacancy(ctx)
		if !ok {
			return
		}
		if !e.able() {
			wait.For(ctx, retryPause)
			continue
		}
		if e.claim(ctx) {
			e.hold(ctx, lead, orderly)
		}
	}
}

// awaitVacancy follows the topic until the role is vacant. orderly tells that the last holder sends no more orders.
func (e *Elector) awaitVacancy(ctx context.Context) (orderly, ok bool) {
	loaded := false
	silentSince := time.Now()
	spread := time.Duration(rand.Int64N(int64(claimSpread)))
	for ctx.Err() == nil {
		if !loaded {
			if err := e.load(ctx); err != nil {
				e.failed(ctx, err)
				continue
			}
			loaded = true
			silentSince = time.Now()
		}
		state := e.Current()
		if e.vacant(state) {
			wait.For(ctx, e.turn(state))
			return true, ctx.Err() == nil
		}
		e.standFor(ctx, state)
		left := claimAfter + e.handicap(state) + spread - time.Since(silentSince)
		if left <= 0 {
			return false, true
		}
		news, err := e.follow(ctx, min(left, pollWait))
		switch {
		case err != nil:
			var trimmed *ledger.TrimmedError
			loaded = !errors.As(err, &trimmed)
			e.failed(ctx, err)
			silentSince = time.Now() // only silence during which the log answers counts against the holder
		case news:
			silentSince = time.Now()
		}
	}
	return false, false
}

// vacant reports whether nobody holds the role, or an earlier process of this instance does.
func (e *Elector) vacant(s State) bool { return s.Term == 0 || s.Resigned || e.earlier(s) }

// earlier reports whether an earlier process of this instance holds the role.
func (e *Elector) earlier(s State) bool {
	return s.Holder == e.instance && s.Incarnation != e.incarnation
}

// turn returns how long to wait before claiming a vacant role, so that the best instance claims first.
func (e *Elector) turn(s State) time.Duration {
	if s.Term == 0 || e.earlier(s) && !s.Resigned || s.Successor == e.incarnation {
		return 0
	}
	pause := e.handicap(s) + time.Duration(rand.Int64N(int64(claimSpread)))
	if s.Successor != "" {
		pause += successorDelay
	}
	return pause
}

// handicap lets larger instances claim first.
func (e *Elector) handicap(s State) time.Duration {
	largest := max(s.Largest, e.size)
	if largest == 0 {
		return 0
	}
	return time.Duration((1 - e.size/largest) * float64(sizeDelay))
}

// standFor asks a smaller holder for its term, unless an instance that is as large did so lately.
func (e *Elector) standFor(ctx context.Context, s State) {
	if s.Size == 0 || e.size < outrankFactor*s.Size || !e.able() {
		return
	}
	e.mu.Lock()
	early := time.Since(e.since) < settledAfter
	rival := e.candidate.Term == s.Term && e.candidate.Size >= e.size && time.Since(e.asked) < candidacyPause
	at := e.end
	e.mu.Unlock()
	if early || rival {
		return
	}
	data, err := msgpack.Marshal(candidate{Term: s.Term, Incarnation: e.incarnation, Size: e.size})
	if err == nil {
		err = e.append(ctx, ledger.Record{Key: candidateKey, Value: data}, at)
	}
	var moved *ledger.MovedError
	if err != nil && !errors.As(err, &moved) { // moved: the holder or another candidate wrote first
		e.failed(ctx, err)
		return
	}
	e.mu.Lock()
	e.candidate, e.asked = candidate{s.Term, e.incarnation, e.size}, time.Now()
	e.mu.Unlock()
}

// successor returns the incarnation of a larger instance that asked for the term, or "".
func (e *Elector) successor(term int64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.candidate.Term != term || e.candidate.Size < outrankFactor*e.size {
		return ""
	}
	return e.candidate.Incarnation
}

func (e *Elector) load(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	batch, err := e.log.Newest(callCtx, ledger.TermTopic)
	if err != nil {
		return err
	}
	e.answered()
	e.observe(batch)
	return nil
}

// follow waits for a heartbeat or another change, at most for the given time.
func (e *Elector) follow(ctx context.Context, patience time.Duration) (news bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+pollWait)
	defer cancel()
	e.mu.Lock()
	from := e.end
	e.mu.Unlock()
	batch, err := e.log.Read(callCtx, ledger.TermTopic, from, patience)
	if err != nil {
		return false, err
	}
	e.answered()
	return e.observe(batch), nil
}

// observe takes in records and reports whether the holder wrote any of them.
func (e *Elector) observe(batch ledger.Batch) (heard bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end = max(e.end, batch.End)
	for _, record := range batch.Records {
		if record.Key == candidateKey {
			e.observeCandidate(record)
			continue
		}
		var state State
		if err := msgpack.Unmarshal(record.Value, &state); err != nil || state.Term < e.current.Term {
			continue
		}
		heard = true
		if state.Term != e.current.Term || state.Resigned != e.current.Resigned {
			e.since = time.Now()
			e.events.Emit(eventObserved, event.F("term", state.Term), event.F("holder", state.Holder), event.F("size", state.Size), event.F("resigned", state.Resigned), event.F("successor", state.Successor))
		}
		e.current = state
	}
	return heard
}

func (e *Elector) observeCandidate(record ledger.Record) {
	var c candidate
	if err := msgpack.Unmarshal(record.Value, &c); err != nil || c.Term < e.candidate.Term {
		return // of another writer, or for a term that is over
	}
	e.candidate, e.asked = c, time.Now()
}

// claim tries to become the holder of the next term.
func (e *Elector) claim(ctx context.Context) bool {
	e.mu.Lock()
	previous, at := e.current, e.end
	e.mu.Unlock()
	next := State{Term: previous.Term + 1, Holder: e.instance, Incarnation: e.incarnation, Size: e.size, Largest: max(previous.Largest, e.size)}
	sent := e.clock()
	if err := e.write(ctx, next, at); err != nil {
		e.failed(ctx, err)
		if err := e.load(ctx); err != nil { // the claim may have taken effect without an answer
			e.failed(ctx, err)
			return false
		}
		now := e.Current()
		if now.Term != next.Term || now.Incarnation != e.incarnation || now.Resigned {
			return false
		}
	}
	e.mu.Lock()
	e.current, e.confirmed, e.since = next, sent, time.Now()
	e.mu.Unlock()
	e.events.Emit(eventClaimed, event.F("term", next.Term), event.F("previous_holder", previous.Holder), event.F("previous_resigned", previous.Resigned))
	return true
}

// write appends a state if the topic ends at the given offset.
func (e *Elector) write(ctx context.Context, s State, at int64) error {
	data, err := msgpack.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode term: %w", err)
	}
	return e.append(ctx, ledger.Record{Key: termKey, Value: data}, at)
}

// append adds a record if the topic ends at the given offset, and notes the new end.
func (e *Elector) append(ctx context.Context, r ledger.Record, at int64) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	end, err := e.log.Append(callCtx, ledger.TermTopic, []ledger.Record{r}, ledger.AppendOptions{ExpectedEnd: at, Conditional: true})
	if err != nil {
		return err
	}
	e.answered()
	e.mu.Lock()
	e.end = end
	e.mu.Unlock()
	return nil
}

// hold runs lead and repeats the heartbeat until the term is lost or ctx ends.
func (e *Elector) hold(ctx context.Context, lead func(*Term), orderly bool) {
	term := &Term{Number: e.Current().Term, Orderly: orderly, elector: e}
	term.Context, term.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	led := make(chan struct{})
	go func() {
		defer close(led)
		lead(term)
	}()
	e.beat(ctx, term)
	<-led
}

// beat repeats the heartbeat until the term ends; when ctx ends it resigns.
func (e *Elector) beat(ctx context.Context, term *Term) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.resign(term, "")
			return
		case <-term.Context.Done():
			e.events.Emit(eventLost, event.F("term", term.Number), event.F("cause", context.Cause(term.Context)))
			return
		case <-ticker.C:
			if err := e.renew(ctx, term); err != nil && ctx.Err() == nil {
				term.Lose(err)
				continue
			}
			if larger := e.successor(term.Number); larger != "" {
				e.resign(term, larger)
				return
			}
		}
	}
}

// errSuperseded says that another instance claimed the role.
var errSuperseded = errors.New("another instance claimed the next term")

// renew writes one heartbeat. It returns an error when the term is lost.
func (e *Elector) renew(ctx context.Context, term *Term) error {
	e.mu.Lock()
	next, at := e.current, e.end
	e.mu.Unlock()
	next.Beat++
	sent := e.clock()
	err := e.write(ctx, next, at)
	var moved *ledger.MovedError
	if errors.As(err, &moved) {
		if loadErr := e.load(ctx); loadErr != nil {
			e.failed(ctx, loadErr)
			return nil
		}
		now := e.Current()
		if now.Term != term.Number || now.Incarnation != e.incarnation {
			return errSuperseded
		}
		return nil // an earlier heartbeat took effect without an answer
	}
	if err != nil {
		e.failed(ctx, err)
		return nil
	}
	e.mu.Lock()
	e.current, e.confirmed = next, sent
	e.mu.Unlock()
	return nil
}

// resign makes the role vacant, so that another instance need not wait for silence. successor is the incarnation that is to
// have it, "" for any.
func (e *Elector) resign(term *Term, successor string) {
	term.cancel(context.Canceled)
	e.mu.Lock()
	last, at := e.current, e.end
	e.mu.Unlock()
	last.Resigned, last.Successor = true, successor
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := e.write(ctx, last, at); err != nil {
		e.failed(ctx, err)
		return
	}
	e.mu.Lock()
	e.current = last
	e.mu.Unlock()
	e.events.Emit(eventResigned, event.F("term", term.Number), event.F("successor", successor))
}

// failed notes a call without a usable answer. Only the first of a row is logged.
func (e *Elector) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	e.failures++
	first := e.failures == 1
	e.mu.Unlock()
	if first {
		e.events.Emit(eventFailed, event.F("cause", err))
	}
	wait.For(ctx, retryPause)
}

// answered ends a row of failed calls.
func (e *Elector) answered() {
	e.mu.Lock()
	failures := e.failures
	e.failures = 0
	e.mu.Unlock()
	if failures > 0 {
		e.events.Emit(eventAnswered, event.F("failed_calls", failures))
	}
}

// Lose ends the term, for example because a worker has seen a later one.
func (t *Term) Lose(cause error) { t.cancel(cause) }

// Authority reports whether the holder may still give orders: the term has not ended and its last confirmed heartbeat was
// sent recently. Time during which the instance was suspended counts.
func (t *Term) Authority() bool {
	if t.Context.Err() != nil {
		return false
	}
	t.elector.mu.Lock()
	defer t.elector.mu.Unlock()
	return t.elector.clock()-t.elector.confirmed < AuthorityLimit
}
