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
	sizeDelay      = 400 * time.Millisecond  // further delay of an instance without processor share, in proportion
	callTimeout    = 900 * time.Millisecond  // of one call to the log
	pollWait       = 500 * time.Millisecond  // long poll of followers
	retryPause     = 100 * time.Millisecond  // after a failed call
	resignTimeout  = 500 * time.Millisecond  // for the last record of a holder that stops
	AuthorityLimit = 8 * time.Second         // how long a holder acts on its last confirmed heartbeat while the log is silent
)

// termKey is the only key of the topic.
const termKey = "term"

var (
	eventClaimed  = event.Define(2400, "term claimed", zerolog.InfoLevel, "This instance became the scheduler.", "")
	eventLost     = event.Define(2401, "term lost", zerolog.WarnLevel, "Another instance is the scheduler now, or a worker or the log refused this instance's term.", "")
	eventResigned = event.Define(2402, "term resigned", zerolog.InfoLevel, "This instance gave the scheduler role up because it stops.", "")
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
}

// Term is a held term. Its context ends when the term is lost.
type Term struct {
	Number  int64
	Context context.Context // ends with the term
	// Orderly tells that the previous holder gave its term up, so that it sends no more orders.
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

// awaitVacancy follows the topic until the role is vacant. orderly tells that the last holder resigned.
func (e *Elector) awaitVacancy(ctx context.Context) (orderly, ok bool) {
	loaded := false
	silentSince := time.Now()
	delay := claimAfter + e.handicap()
	for ctx.Err() == nil {
		if !loaded {
			if err := e.load(ctx); err != nil {
				e.failed(ctx, err)
				continue
			}
			loaded = true
			silentSince = time.Now()
		}
		if state := e.Current(); e.vacant(state) {
			if state.Term > 0 {
				wait.For(ctx, time.Duration(rand.Int64N(int64(claimSpread)))+e.handicap()/2)
			}
			return state.Resigned || state.Term == 0, ctx.Err() == nil
		}
		news, err := e.follow(ctx)
		switch {
		case err != nil:
			var trimmed *ledger.TrimmedError
			loaded = !errors.As(err, &trimmed)
			e.failed(ctx, err)
			silentSince = time.Now() // only silence during which the log answers counts against the holder
		case news:
			silentSince = time.Now()
		case time.Since(silentSince) > delay:
			return false, true
		}
	}
	return false, false
}

// vacant reports whether nobody holds the role, or an earlier process of this instance does.
func (e *Elector) vacant(s State) bool {
	return s.Term == 0 || s.Resigned || s.Holder == e.instance && s.Incarnation != e.incarnation
}

// handicap lets larger instances claim first.
func (e *Elector) handicap() time.Duration {
	return time.Duration((1-e.size)*float64(sizeDelay)) + time.Duration(rand.Int64N(int64(claimSpread)))
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

// follow waits for a heartbeat or another change.
func (e *Elector) follow(ctx context.Context) (news bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+pollWait)
	defer cancel()
	e.mu.Lock()
	from := e.end
	e.mu.Unlock()
	batch, err := e.log.Read(callCtx, ledger.TermTopic, from, pollWait)
	if err != nil {
		return false, err
	}
	e.answered()
	e.observe(batch)
	return len(batch.Records) > 0, nil
}

func (e *Elector) observe(batch ledger.Batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end = max(e.end, batch.End)
	for _, record := range batch.Records {
		var state State
		if err := msgpack.Unmarshal(record.Value, &state); err != nil || state.Term < e.current.Term {
			continue
		}
		if state.Term != e.current.Term || state.Resigned != e.current.Resigned {
			e.events.Emit(eventObserved, event.F("term", state.Term), event.F("holder", state.Holder), event.F("resigned", state.Resigned))
		}
		e.current = state
	}
}

// claim tries to become the holder of the next term.
func (e *Elector) claim(ctx context.Context) bool {
	e.mu.Lock()
	previous, at := e.current, e.end
	e.mu.Unlock()
	next := State{Term: previous.Term + 1, Holder: e.instance, Incarnation: e.incarnation}
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
	e.current, e.confirmed = next, sent
	e.mu.Unlock()
	e.events.Emit(eventClaimed, event.F("term", next.Term), event.F("previous_holder", previous.Holder), event.F("previous_resigned", previous.Resigned))
	return true
}

// write appends a state if the topic ends at the given offset, and notes the new end.
func (e *Elector) write(ctx context.Context, s State, at int64) error {
	data, err := msgpack.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode term: %w", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	end, err := e.log.Append(callCtx, ledger.TermTopic, []ledger.Record{{Key: termKey, Value: data}}, ledger.Writing{At: at, Exactly: true})
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
			e.resign(term)
			return
		case <-term.Context.Done():
			e.events.Emit(eventLost, event.F("term", term.Number), event.F("cause", context.Cause(term.Context)))
			return
		case <-ticker.C:
			if err := e.renew(ctx, term); err != nil && ctx.Err() == nil {
				term.Lose(err)
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

// resign makes the role vacant, so that another instance need not wait for silence.
func (e *Elector) resign(term *Term) {
	term.cancel(context.Canceled)
	e.mu.Lock()
	last, at := e.current, e.end
	e.mu.Unlock()
	last.Resigned = true
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := e.write(ctx, last, at); err != nil {
		e.failed(ctx, err)
		return
	}
	e.events.Emit(eventResigned, event.F("term", term.Number))
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
