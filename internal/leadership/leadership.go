// Package leadership elects the instance that is the scheduler of a deployment. A keyed record in the log names the holder of the
// role and its term, and the holder rewrites it as a heartbeat. Every write is conditional on the end of the topic, so at most one
// of two competing claims succeeds.
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

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Timings of the election.
const (
	heartbeatInterval = 350 * time.Millisecond // time between heartbeats; each costs one write, and up to one read per instance
	// claimAfter is the time without a heartbeat, while the log answers, after which the role is claimed. It leaves room for
	// several heartbeats and a slow answer.
	claimAfter        = 1300 * time.Millisecond
	claimJitter       = 250 * time.Millisecond  // largest random delay of a claim, so that instances do not all claim at once
	maxSizeDelay      = 1200 * time.Millisecond // further delay of a claim by an instance without any processor share
	successorDelay    = 500 * time.Millisecond  // head start of the named successor of a resigned holder; a claim takes about 20 ms
	callTimeout       = 900 * time.Millisecond  // time limit of one call to the log
	pollWait          = 500 * time.Millisecond  // duration of a long poll of the topic
	retryPause        = 100 * time.Millisecond  // pause after a failed call
	resignTimeout     = 500 * time.Millisecond  // time limit of writing the resignation
	leaveNotice       = 750 * time.Millisecond  // time from announcing a resignation to resigning, in which the largest instances end a pause and read the announcement
	takeoverRatio     = 1.5                     // least ratio of an instance's processor share to the holder's for requesting the term
	candidacyInterval = 3 * time.Second         // least time between two requests for the same term
	minTermAge        = time.Second             // a younger term is not requested
)

// Keys of the topic.
const (
	termKey      = "term"      // record of the holder
	candidateKey = "candidate" // record of the last instance that requested the term
)

var (
	eventClaimed  = event.Define(2400, "term claimed", zerolog.InfoLevel, "This instance became the scheduler.", "")
	eventLost     = event.Define(2401, "term lost", zerolog.WarnLevel, "This instance is no longer the scheduler: another instance claimed the next term, or a worker or the log refused this one.", "")
	eventResigned = event.Define(2402, "term resigned", zerolog.InfoLevel, "This instance gave up the scheduler role because it stops or because a larger instance requested it.", "")
	eventObserved = event.Define(2403, "term observed", zerolog.InfoLevel, "This instance learnt who the scheduler is.", "")
	eventFailed   = event.Define(2404, "term log call failed", zerolog.WarnLevel, "A call to the log for the election had no usable answer. Further failures in a row are counted, not logged.", "Check the log service if this persists.")
	eventAnswered = event.Define(2405, "term log answers again", zerolog.InfoLevel, "A call to the log for the election was answered after failures.", "")
)

// State is the record of the current holder.
type State struct {
	Term        int64  `msgpack:"t"`
	Holder      string `msgpack:"h"` // instance name
	Incarnation string `msgpack:"i"` // identifies the holder's process
	Resigned    bool   `msgpack:"r,omitempty"`
	Heartbeats  int64  `msgpack:"b,omitempty"` // number of heartbeats in this term
	// SinceClaim is how long after its claim the holder made this record, by its own clock; 0 in the record of the claim.
	SinceClaim time.Duration `msgpack:"p,omitempty"`
	// Leaving says that the holder resigns after leaveNotice.
	Leaving bool `msgpack:"g,omitempty"`

	ProcessorShare float64 `msgpack:"s,omitempty"` // share of a core that the holder may use, 0 to 1
	LargestShare   float64 `msgpack:"l,omitempty"` // largest processor share of any holder so far
	Successor      string  `msgpack:"n,omitempty"` // incarnation in whose favour the holder resigned, may be empty

	// EarlierAuthority is how long after this record holders of earlier terms may still grant leases of full length; nil if the record
	// does not say so.
	EarlierAuthority *time.Duration `msgpack:"e,omitempty"`
	// LeaseAuthority is how long after this record the holder may still grant leases of full length if it confirms no further heartbeat;
	// nil if the record does not say so.
	LeaseAuthority *time.Duration `msgpack:"f,omitempty"`
	// LeasesLeft names workers that the holder grants no leases before it has written a record without them, and how long after this
	// record leases there may last; zero or negative if they are over.
	LeasesLeft map[string]time.Duration `msgpack:"w,omitempty"`
	// RunsRecorded says that records show all runs that this holder and earlier ones have started.
	RunsRecorded bool `msgpack:"u,omitempty"`
}

// candidate is the record of an instance that requests the term of a smaller holder. Scheduling takes most of a small machine's
// processor time, so orders from it are late whenever many tasks start or end at once.
type candidate struct {
	Term           int64   `msgpack:"t"`
	Incarnation    string  `msgpack:"i"`
	ProcessorShare float64 `msgpack:"s"`
}

// Term is a held term. Its context ends when the term is lost.
type Term struct {
	Number  int64
	Context context.Context // ends with the term
	// EarlierAuthority is how long after the claim holders of earlier terms may still grant leases of full length. It is 0 if all of them
	// are known to have stopped, because they resigned or were earlier processes of an instance that claimed the role again, or if their
	// authority has certainly ended, and negative if none of them can have granted any for some time before the claim.
	EarlierAuthority time.Duration
	// LeasesLeft names workers that no earlier holder grants leases any more, and how long after the claim leases there may last.
	LeasesLeft map[string]time.Duration

	elector  *Elector
	previous State // last record of the previous holder
	cancel   context.CancelCauseFunc
	claimed  time.Duration // when the role was claimed, by the elector's clock
	leaving  bool          // whether the holder announces its resignation; used by the goroutine that sends heartbeats

	mu       sync.Mutex
	withhold Withholder // nil until the holder has one
}

// Elector takes part in the election for one instance.
type Elector struct {
	log            ledger.Log
	instance       string
	incarnation    string
	processorShare float64 // share of a core that this instance may use, 0 to 1
	events         *event.Log
	clock          func() time.Duration // monotonic; includes time during which the machine was suspended
	eligible       func() bool          // whether the instance has the configuration that a scheduler needs
	leaseAuthority time.Duration        // how long after a confirmed heartbeat a term of this instance grants leases of full length

	mu              sync.Mutex
	current         State         // last observed record of the holder
	previous        State         // the record upon which this instance claimed the role
	termSeenAt      time.Time     // when the current term was first seen
	candidate       candidate     // latest request for a term, observed or made
	candidateSeenAt time.Time     // when that request was observed or made
	topicEnd        int64         // offset after the last known record of the topic
	confirmedAt     time.Duration // when the last confirmed heartbeat was sent, by clock
	heardAt         time.Duration // latest time at which the last record that was read can have been made, by clock
	silentSince     time.Duration // when the holder probably made its last record, by clock
	timing          recordTiming  // tells when the records of the holder were made
	readSentAt      time.Duration // when the last answered read was sent, by clock
	earlierUntil    time.Duration // until when holders of earlier terms than the one held may grant leases of full length, by clock
	failures        int           // number of calls in a row without a usable answer
}

// Config holds the settings and dependencies of an elector.
type Config struct {
	Log            ledger.Log
	Instance       string
	Incarnation    string  // identifies this process among those of the instance
	ProcessorShare float64 // share of a core that the instance may use; more than 1 counts as 1
	Events         *event.Log
	Clock          func() time.Duration // monotonic; must include time during which the machine was suspended
	Eligible       func() bool          // whether the instance can schedule; false keeps it from claiming the role
	// LeaseAuthority is how long after its last confirmed heartbeat the holder grants leases of full length, at most AuthorityLimit.
	LeaseAuthority time.Duration
}

// New returns an elector.
func New(c Config) *Elector {
	return &Elector{
		log: c.Log, instance: c.Instance, incarnation: c.Incarnation, processorShare: min(c.ProcessorShare, 1), events: c.Events, clock: c.Clock,
		eligible: c.Eligible, leaseAuthority: c.LeaseAuthority,
	}
}

// Current returns the last observed holder.
func (e *Elector) Current() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Run takes part in the election until ctx ends. It calls lead for each held term; lead must return when the term's context ends.
func (e *Elector) Run(ctx context.Context, lead func(*Term)) {
	for ctx.Err() == nil {
		if !e.awaitVacancy(ctx) {
			return
		}
		if !e.eligible() {
			wait.For(ctx, retryPause)
			continue
		}
		if e.claim(ctx) {
			e.holdTerm(ctx, lead)
		}
	}
}

// awaitVacancy follows the topic until this instance should claim the role. It returns false if ctx ended.
func (e *Elector) awaitVacancy(ctx context.Context) bool {
	loaded := false
	silentSince := time.Now() // does not include a suspension of the machine, during which the log answered nothing
	jitter := time.Duration(rand.Int64N(int64(claimJitter)))
	for ctx.Err() == nil {
		if !loaded {
			if err := e.load(ctx); err != nil {
				e.noteFailure(ctx, err)
				continue
			}
			loaded = true
			silentSince = time.Now()
		}
		state := e.Current()
		if e.vacant(state) {
			wait.For(ctx, e.vacancyDelay(state)-time.Since(silentSince))
			return ctx.Err() == nil
		}
		e.requestTerm(ctx, state)
		deadline := silentSince.Add(claimAfter + e.sizeDelay(state) + jitter)
		pause := max(min(e.pauseBeforeRead(state), time.Until(deadline)-watchTime), 0)
		wait.For(ctx, pause)
		left := time.Until(deadline)
		if left <= 0 && pause == 0 {
			return true
		}
		heard, err := e.follow(ctx, max(min(left, pollWait), 0), pause > 0)
		switch {
		case err != nil:
			var trimmed *ledger.TrimmedError
			loaded = !errors.As(err, &trimmed)
			e.noteFailure(ctx, err)
			silentSince = time.Now() // silence counts against the holder only while the log answers
		case heard:
			silentSince = time.Now().Add(-e.sinceLastRecord())
		}
	}
	return false
}

// vacant reports whether nobody holds the role, or an earlier process of this instance does.
func (e *Elector) vacant(s State) bool { return s.Term == 0 || s.Resigned || e.heldByEarlierProcess(s) }

// heldByEarlierProcess reports whether s names an earlier process of this instance as the holder.
func (e *Elector) heldByEarlierProcess(s State) bool {
	return s.Holder == e.instance && s.Incarnation != e.incarnation
}

// vacancyDelay returns how long to wait before claiming a vacant role, so that the most suitable instance claims first.
func (e *Elector) vacancyDelay(s State) time.Duration {
	if s.Term == 0 || e.heldByEarlierProcess(s) && !s.Resigned || s.Successor == e.incarnation {
		return 0
	}
	pause := e.sizeDelay(s) + time.Duration(rand.Int64N(int64(claimJitter)))
	if s.Successor != "" {
		pause += successorDelay
	}
	return pause
}

// sizeDelay returns the part of a claim's delay that lets larger instances claim first. It is in proportion to how far this
// instance's processor share is below the largest known one.
func (e *Elector) sizeDelay(s State) time.Duration {
	largest := max(s.LargestShare, e.processorShare)
	if largest == 0 {
		return 0
	}
	return time.Duration((1 - e.processorShare/largest) * float64(maxSizeDelay))
}

// requestTerm asks the holder to resign if it is much smaller than this instance, unless an instance that is as large as this one
// did so within candidacyInterval.
func (e *Elector) requestTerm(ctx context.Context, s State) {
	if s.ProcessorShare == 0 || e.processorShare < takeoverRatio*s.ProcessorShare || !e.eligible() {
		return
	}
	e.mu.Lock()
	tooEarly := time.Since(e.termSeenAt) < minTermAge
	alreadyRequested := e.candidate.Term == s.Term && e.candidate.ProcessorShare >= e.processorShare && time.Since(e.candidateSeenAt) < candidacyInterval
	at := e.topicEnd
	e.mu.Unlock()
	if tooEarly || alreadyRequested {
		return
	}
	data, err := msgpack.Marshal(candidate{Term: s.Term, Incarnation: e.incarnation, ProcessorShare: e.processorShare})
	if err == nil {
		err = e.append(ctx, ledger.Record{Key: candidateKey, Value: data}, at)
	}
	var moved *ledger.MovedError
	if err != nil && !errors.As(err, &moved) { // a MovedError says that the holder or another candidate wrote first
		e.noteFailure(ctx, err)
		return
	}
	e.mu.Lock()
	e.candidate, e.candidateSeenAt = candidate{s.Term, e.incarnation, e.processorShare}, time.Now()
	e.mu.Unlock()
}

// successor returns the incarnation of a much larger instance that requested the term, or "".
func (e *Elector) successor(term int64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.candidate.Term != term || e.candidate.ProcessorShare < takeoverRatio*e.processorShare {
		return ""
	}
	return e.candidate.Incarnation
}

// load reads the newest records of the topic.
func (e *Elector) load(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := e.clock()
	batch, err := e.log.Newest(callCtx, ledger.TermTopic)
	if err != nil {
		return err
	}
	e.noteAnswer()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timing = recordTiming{}
	e.readSentAt = sent
	e.observe(batch, e.clock())
	return nil
}

// follow waits for new records, at most for maxWait, and reports whether the holder wrote any of them. paused says whether there was a pause
// before the read.
func (e *Elector) follow(ctx context.Context, maxWait time.Duration, paused bool) (heard bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+pollWait)
	defer cancel()
	e.mu.Lock()
	from := e.topicEnd
	e.mu.Unlock()
	sent := e.clock()
	batch, err := e.log.Read(callCtx, ledger.TermTopic, from, maxWait)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.timing = recordTiming{}
		return false, err
	}
	e.noteAnswerLocked()
	cut := false
	if n := len(batch.Records); n > 0 {
		end := batch.Records[n-1].Offset + 1
		cut, batch.End = end < batch.End, end // the records that are missing must be read before a claim
	}
	// A record that was awaited counts from when it was read. So does the last one of a late or cut answer: the holder may have written since.
	earliest := e.clock()
	if paused && !cut && earliest-sent <= slowAnswer {
		earliest = e.readSentAt // a new record was appended after the read before was sent
	}
	e.readSentAt = sent
	heard = e.observe(batch, earliest)
	e.timing.noteRead(heard && !cut, paused, sent, e.clock()) // after a cut answer the next read follows at once
	return heard, nil
}

// observe updates the elector's state from records that were appended at earliest, by clock, and reports whether the holder wrote any of
// them. The caller holds mu.
func (e *Elector) observe(batch ledger.Batch, earliest time.Duration) (heard bool) {
	e.topicEnd = max(e.topicEnd, batch.End)
	for _, record := range batch.Records {
		if record.Key == candidateKey {
			e.observeCandidate(record)
			continue
		}
		e.heardAt = e.clock()
		var state State
		if err := codec.Unmarshal(record.Value, &state); err != nil || state.Term < e.current.Term {
			continue
		}
		heard = true
		e.heardAt, e.silentSince = e.timing.made(state, earliest, e.heardAt)
		if state.Term != e.current.Term || state.Resigned != e.current.Resigned {
			e.termSeenAt = time.Now()
			e.events.Emit(eventObserved, event.F("term", state.Term), event.F("holder", state.Holder), event.F("size", state.ProcessorShare), event.F("resigned", state.Resigned), event.F("successor", state.Successor))
		}
		e.current = state
	}
	return heard
}

// sinceLastRecord returns how long ago the holder probably made its last record.
func (e *Elector) sinceLastRecord() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock() - e.silentSince
}

// observeCandidate keeps the request for a term that a record holds.
func (e *Elector) observeCandidate(record ledger.Record) {
	var c candidate
	if err := codec.Unmarshal(record.Value, &c); err != nil || c.Term < e.candidate.Term {
		return // unreadable, or for a term that has ended
	}
	e.candidate, e.candidateSeenAt = c, time.Now()
}

// claim tries to become the holder of the next term.
func (e *Elector) claim(ctx context.Context) bool {
	e.mu.Lock()
	previous, at := e.current, e.topicEnd
	e.mu.Unlock()
	next := State{Term: previous.Term + 1, Holder: e.instance, Incarnation: e.incarnation, ProcessorShare: e.processorShare, LargestShare: max(previous.LargestShare, e.processorShare)}
	earlier := e.authorityBefore(previous)
	next.EarlierAuthority, next.LeaseAuthority, next.LeasesLeft = &earlier, &e.leaseAuthority, e.leasesLeft(previous)
	sent := e.clock()
	if err := e.write(ctx, next, at); err != nil {
		e.noteFailure(ctx, err)
		if err := e.load(ctx); err != nil { // the claim may have taken effect although its answer was lost
			e.noteFailure(ctx, err)
			return false
		}
		now := e.Current()
		if now.Term != next.Term || now.Incarnation != e.incarnation || now.Resigned {
			return false
		}
	}
	e.mu.Lock()
	e.current, e.previous, e.confirmedAt, e.termSeenAt = next, previous, sent, time.Now()
	e.earlierUntil = e.clock() + *next.EarlierAuthority // no earlier holder has confirmed a heartbeat since the claim took effect
	e.mu.Unlock()
	e.events.Emit(eventClaimed, event.F("term", next.Term), event.F("previous_holder", previous.Holder), event.F("previous_resigned", previous.Resigned), event.F("earlier_authority_ms", next.EarlierAuthority.Milliseconds()))
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

// append adds a record if the topic ends at the given offset, and keeps the new end.
func (e *Elector) append(ctx context.Context, r ledger.Record, at int64) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	end, err := e.log.Append(callCtx, ledger.TermTopic, []ledger.Record{r}, ledger.AppendOptions{ExpectedEnd: at, Conditional: true})
	if err != nil {
		return err
	}
	e.noteAnswer()
	e.mu.Lock()
	e.topicEnd = end
	e.mu.Unlock()
	return nil
}

// newTerm returns the term that this instance has claimed.
func (e *Elector) newTerm(ctx context.Context) *Term {
	e.mu.Lock()
	state, previous := e.current, e.previous
	e.mu.Unlock()
	term := &Term{Number: state.Term, EarlierAuthority: *state.EarlierAuthority, LeasesLeft: state.LeasesLeft, elector: e, previous: previous, claimed: e.clock()}
	term.Context, term.cancel = context.WithCancelCause(ctx)
	return term
}

// holdTerm runs lead and sends heartbeats until the term is lost or ctx ends.
func (e *Elector) holdTerm(ctx context.Context, lead func(*Term)) {
	term := e.newTerm(context.WithoutCancel(ctx))
	leadReturned := make(chan struct{})
	go func() {
		defer close(leadReturned)
		lead(term)
	}()
	e.sendHeartbeats(ctx, term)
	<-leadReturned
}

// sendHeartbeats sends heartbeats until the term ends. It resigns if a larger instance requests the term. If ctx ends, it announces that and
// resigns after leaveNotice, or at once if the announcement fails.
func (e *Elector) sendHeartbeats(ctx context.Context, term *Term) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	callCtx := context.WithoutCancel(ctx)
	ending := ctx.Done()
	var resign <-chan time.Time
	var toldAt time.Time // when ctx ended
	for {
		select {
		case <-ending:
			ending, resign, toldAt = nil, time.After(leaveNotice), time.Now()
			term.leaving = true
		case <-resign:
			e.resign(term, "")
			return
		case <-term.Context.Done():
			e.events.Emit(eventLost, event.F("term", term.Number), event.F("cause", context.Cause(term.Context)))
			return
		case <-ticker.C:
			if ctx.Err() != nil && (!term.leaving || time.Since(toldAt) >= leaveNotice) {
				continue // the announcement or the resignation is due, and a heartbeat to a silent log takes callTimeout
			}
		}
		if err := e.renew(callCtx, term); err != nil {
			term.Lose(err)
			continue
		}
		if larger := e.successor(term.Number); larger != "" {
			e.resign(term, larger)
			return
		}
		if term.leaving && !e.Current().Leaving { // the log did not take the announcement, so there is nothing to wait for
			e.resign(term, "")
			return
		}
	}
}

// errSuperseded is the cause of a term's end when another process has claimed the role.
var errSuperseded = errors.New("another instance claimed the next term")

// renew writes one heartbeat. It returns an error only if the term is lost; other failures are retried by the next heartbeat.
func (e *Elector) renew(ctx context.Context, term *Term) error {
	e.mu.Lock()
	next, at := e.current, e.topicEnd
	next.EarlierAuthority = e.earlierAuthority()
	e.mu.Unlock()
	if !e.holds(term, next) {
		return errSuperseded
	}
	next.Heartbeats++
	var number int64
	number, next.LeasesLeft = term.withheld()
	next.RunsRecorded = term.runsRecorded() // asked after the list, so that no start on its workers is left out
	next.Leaving = term.leaving
	sent := e.clock()
	next.SinceClaim = sent - term.claimed // after the durations that count from the record
	err := e.write(ctx, next, at)
	var moved *ledger.MovedError
	if errors.As(err, &moved) {
		if loadErr := e.load(ctx); loadErr != nil {
			e.noteFailure(ctx, loadErr)
			return nil
		}
		if !e.holds(term, e.Current()) {
			return errSuperseded
		}
		return nil // an earlier heartbeat took effect although its answer was lost, or a candidate wrote a request
	}
	if err != nil {
		e.noteFailure(ctx, err)
		return nil
	}
	e.mu.Lock()
	e.current, e.confirmedAt = next, sent
	e.mu.Unlock()
	term.confirmWithheld(number)
	return nil
}

// holds reports whether a state is that of the term. After another instance's claim was read, a write would be in its name.
func (e *Elector) holds(term *Term, s State) bool {
	return s.Term == term.Number && s.Incarnation == e.incarnation
}

// resign makes the role vacant, so that other instances need not wait for claimAfter. successor is the incarnation that should
// claim it, or "" for any.
func (e *Elector) resign(term *Term, successor string) {
	term.cancel(context.Canceled)
	e.mu.Lock()
	last, at := e.current, e.topicEnd
	last.EarlierAuthority = e.earlierAuthority()
	e.mu.Unlock()
	if !e.holds(term, last) {
		return
	}
	last.Resigned, last.Successor, last.SinceClaim = true, successor, e.clock()-term.claimed
	last.RunsRecorded = term.runsRecorded()
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := e.write(ctx, last, at); err != nil {
		e.noteFailure(ctx, err)
		return
	}
	e.mu.Lock()
	e.current = last
	e.mu.Unlock()
	e.events.Emit(eventResigned, event.F("term", term.Number), event.F("successor", successor))
}

// noteFailure counts a call without a usable answer and pauses before the next call. Only the first failure in a row is logged.
func (e *Elector) noteFailure(ctx context.Context, err error) {
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

// noteAnswer resets the count of failures after an answered call.
func (e *Elector) noteAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteAnswerLocked()
}

// noteAnswerLocked is noteAnswer for a caller that holds mu.
func (e *Elector) noteAnswerLocked() {
	failures := e.failures
	e.failures = 0
	if failures > 0 {
		e.events.Emit(eventAnswered, event.F("failed_calls", failures))
	}
}

// Lose ends the term, for example because a worker has refused an order on account of a later term.
func (t *Term) Lose(cause error) { t.cancel(cause) }
