package leadership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// quietLog is the topic of terms in virtual time: each call takes a while, and reads wait for records.
type quietLog struct {
	termLog

	mu      sync.Mutex
	latency time.Duration
	written time.Time     // when the last record was written
	before  time.Time     // when the record before it was written
	changed chan struct{} // closed at the next append
}

// quietClient is one instance's access to the log.
type quietClient struct {
	*quietLog
	calls int  // number of reads
	cut   bool // whether calls are refused
	skip  int  // every skip-th append is refused, 0 for none
	tries int
}

func (c *quietClient) Append(ctx context.Context, topic string, records []ledger.Record, o ledger.AppendOptions) (int64, error) {
	time.Sleep(c.latency / 2)
	defer time.Sleep(c.latency / 2)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tries++; c.cut || c.skip > 0 && c.tries%c.skip == 0 {
		return 0, &ledger.RefusedError{}
	}
	end, err := c.termLog.Append(ctx, topic, records, o)
	if err == nil {
		c.before, c.written = c.written, time.Now()
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return end, err
}

func (c *quietClient) Read(ctx context.Context, topic string, from int64, wait time.Duration) (ledger.Batch, error) {
	time.Sleep(c.latency / 2)
	defer time.Sleep(c.latency / 2)
	deadline := time.After(wait)
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	for {
		c.mu.Lock()
		batch, err := c.termLog.Read(ctx, topic, from, wait)
		changed, cut := c.changed, c.cut
		c.mu.Unlock()
		if cut {
			return ledger.Batch{}, &ledger.RefusedError{}
		}
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-deadline:
			return batch, nil
		case <-ctx.Done():
			return ledger.Batch{}, &ledger.UnknownError{Cause: ctx.Err()}
		}
	}
}

// contest runs electors in virtual time.
type contest struct {
	log     *quietLog
	clients map[string]*quietClient
	cancels map[string]context.CancelFunc
	claims  chan string
}

// runContest runs a contest among instances of the given shares, of which the first holds the role before the others join.
func runContest(t *testing.T, latency time.Duration, names []string, shares []float64, test func(*testing.T, *contest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		log := &quietLog{latency: latency, changed: make(chan struct{})}
		c := &contest{log: log, clients: map[string]*quietClient{}, cancels: map[string]context.CancelFunc{}, claims: make(chan string, 100)}
		for i, name := range names {
			ctx, cancel := context.WithCancel(t.Context())
			c.clients[name], c.cancels[name] = &quietClient{quietLog: log}, cancel
			elector := New(Config{
				Log: c.clients[name], Instance: name, Incarnation: name, ProcessorShare: shares[i], Events: event.Discard(),
				Clock: func() time.Duration { return time.Since(start) }, Eligible: func() bool { return true },
			})
			go elector.Run(ctx, func(term *Term) {
				c.claims <- name
				<-term.Context.Done()
			})
			time.Sleep(100*time.Millisecond + rand.N(heartbeatInterval)) // the instances are out of step
		}
		defer func() {
			for _, cancel := range c.cancels {
				cancel()
			}
			time.Sleep(time.Minute) // lets the goroutines end
		}()
		assert.Equal(t, <-c.claims, names[0])
		test(t, c)
	})
}

// lose cuts an instance off and returns how long after the last record the next one claimed the role.
func (c *contest) lose(name string) (next string, silence time.Duration) {
	c.log.mu.Lock()
	c.clients[name].cut = true
	last := c.log.written
	c.log.mu.Unlock()
	next = <-c.claims
	c.cancels[name]()
	return next, time.Since(last)
}

// reads returns how often an instance has read.
func (c *contest) reads(name string) int {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return c.clients[name].calls
}

// Guards against a lost holder that is replaced later because instances that claim after larger ones pause between reads, and against a
// claim while the holder may still write: the bounds are those of an instance that reads each heartbeat as it is written.
func TestPausesDelayNoClaim(t *testing.T) {
	const latency = 10 * time.Millisecond
	for _, share := range []float64{0.8, 0.6, 0.5, 0.4, 0.2, 0.15} {
		for range 40 {
			runContest(t, latency, []string{"holder", "next"}, []float64{0.8, share}, func(t *testing.T, c *contest) {
				time.Sleep(5*time.Second + rand.N(5*time.Second))
				assert.Equal(t, len(c.claims), 0, "the role moved although its holder was alive")
				_, silence := c.lose("holder")
				earliest := claimAfter + time.Duration((1-share/0.8)*float64(maxSizeDelay))
				assert.Assert(t, silence >= earliest-50*time.Millisecond, "share %v: claimed after %v", share, silence)
				assert.Assert(t, silence <= earliest+claimJitter+6*latency, "share %v: claimed after %v", share, silence)
			})
		}
	}
}

// Guards against a small instance that claims before a larger one because it takes the holder to be silent for longer than it was, and
// against one that claims while the holder merely skips heartbeats, so that the estimate misleads.
func TestRhythmOfAHolderThatSkipsHeartbeats(t *testing.T) {
	for range 20 {
		runContest(t, 10*time.Millisecond, []string{"holder", "small", "large"}, []float64{0.8, 0.2, 0.8}, func(t *testing.T, c *contest) {
			c.log.mu.Lock()
			c.clients["holder"].skip = 2 + rand.IntN(3)
			c.log.mu.Unlock()
			time.Sleep(20*time.Second + rand.N(time.Second))
			assert.Equal(t, len(c.claims), 0, "the role moved although its holder was alive")
			next, silence := c.lose("holder")
			assert.Equal(t, next, "large")
			assert.Assert(t, silence >= claimAfter, "claimed after %v", silence)
		})
	}
}

// Guards against a planned handover that leaves the role vacant for longer because the others pause between reads, and against one that
// takes long to begin.
func TestPausesDelayNoHandover(t *testing.T) {
	const latency = 10 * time.Millisecond
	for _, share := range []float64{0.8, 0.4, 0.2} {
		for range 20 {
			runContest(t, latency, []string{"holder", "next"}, []float64{0.8, share}, func(t *testing.T, c *contest) {
				time.Sleep(5*time.Second + rand.N(time.Second))
				start := time.Now()
				c.cancels["holder"]()
				<-c.claims
				c.log.mu.Lock()
				vacant, begun := c.log.written.Sub(c.log.before), c.log.before.Sub(start)
				c.log.mu.Unlock()
				bound := time.Duration((1-share/0.8)*float64(maxSizeDelay)) + claimJitter + 6*latency
				assert.Assert(t, vacant <= bound, "share %v: vacant for %v", share, vacant)
				assert.Assert(t, begun <= leaveNotice+3*latency, "resigned after %v", begun)
			})
		}
	}
}

// Guards against a lost holder that counts as having less authority than it has, because its last heartbeat was read late or says something
// odd, and against work that waits because the read was late: the bound is that of an instance that reads each heartbeat as it is written.
func TestAuthorityAfterALateRead(t *testing.T) {
	const pause = 700 * time.Millisecond
	for odd, most := range map[time.Duration]time.Duration{0: 5 * time.Millisecond, time.Hour: pause, -time.Hour: pause, -time.Second: pause} {
		s := newSuccession(t)
		a, first := s.claim("a", "1")
		b := s.join("b", "2")
		for range 20 {
			for range 2 {
				s.clock += heartbeatInterval
				assert.NilError(t, a.renew(t.Context(), first))
			}
			if odd == 0 {
				s.clock += time.Duration(len(s.log.records)%3) * time.Millisecond
			}
			_, err := b.follow(t.Context(), 0, false)
			assert.NilError(t, err)
		}
		s.clock += heartbeatInterval
		first.claimed -= odd
		assert.NilError(t, a.renew(t.Context(), first))
		made := s.clock
		s.clock += pause - heartbeatInterval
		_, err := b.follow(t.Context(), 0, true)
		assert.NilError(t, err)
		if odd == 0 {
			assert.Assert(t, b.heardAt >= made, "%v before it was made", made-b.heardAt)
		}
		assert.Assert(t, b.heardAt >= made-heartbeatInterval, "odd %v: %v before it was made", odd, made-b.heardAt) // the time between the reads
		assert.Assert(t, b.heardAt <= made+most, "odd %v: %v after it was made", odd, b.heardAt-made)
	}
}

// Guards against instances that read each heartbeat for itself. The count is that of an idle minute.
func TestSmallInstancesReadSeveralHeartbeatsAtOnce(t *testing.T) {
	runContest(t, 5*time.Millisecond, []string{"holder", "large", "middle", "small"}, []float64{0.8, 0.8, 0.4, 0.2}, func(t *testing.T, c *contest) {
		time.Sleep(10 * time.Second)
		before := map[string]int{}
		for name := range c.clients {
			before[name] = c.reads(name)
		}
		time.Sleep(time.Minute)
		perSecond := func(name string) float64 { return float64(c.reads(name)-before[name]) / 60 }
		t.Logf("reads of the term a second: large %.2f, middle %.2f, small %.2f", perSecond("large"), perSecond("middle"), perSecond("small"))
		assert.Assert(t, perSecond("large") < 2.2)
		assert.Assert(t, perSecond("middle") < 1.4)
		assert.Assert(t, perSecond("small") < 1.1)
	})
}

// Guards against a pause while nothing is known about when records were made, while the holder leaves, or at an instance that may become the
// named successor.
func TestNoPauseWithoutEvidence(t *testing.T) {
	s := newSuccession(t)
	b := s.join("b", "2")
	state := State{Term: 3, ProcessorShare: 1}
	for name, c := range map[string]struct {
		change func(*recordTiming, *State)
		pauses bool
	}{
		"steady holder":                {func(*recordTiming, *State) {}, true},
		"holder of an earlier version": {func(r *recordTiming, _ *State) { r.known = false }, false},
		"no record read as written":    {func(r *recordTiming, _ *State) { r.exact = false }, false},
		"new term":                     {func(_ *recordTiming, s *State) { s.Term++ }, false},
		"no heartbeat in last read":    {func(r *recordTiming, _ *State) { r.waiting = true }, false},
		"slow log":                     {func(r *recordTiming, _ *State) { r.slowUntil = s.clock + 1 }, false},
		"holder leaves":                {func(_ *recordTiming, s *State) { s.Leaving = true }, false},
		"much smaller holder":          {func(_ *recordTiming, s *State) { s.ProcessorShare = 0.5 }, false},
	} {
		now := state
		b.timing = recordTiming{term: 3, known: true, exact: true}
		c.change(&b.timing, &now)
		assert.Equal(t, b.pauseBeforeRead(now) > 0, c.pauses, name)
	}
	var r recordTiming
	r.made(State{Term: 3, Heartbeats: 5}, 0, time.Second)
	assert.Assert(t, !r.known, "a record without SinceClaim")
}

// lateLog answers a read after a time by the clock of a succession, with a limited number of records.
type lateLog struct {
	*succession
	takes time.Duration
	most  int
}

func (l *lateLog) Append(ctx context.Context, topic string, records []ledger.Record, o ledger.AppendOptions) (int64, error) {
	return l.log.Append(ctx, topic, records, o)
}

func (l *lateLog) Newest(ctx context.Context, topic string) (ledger.Batch, error) {
	return l.log.Newest(ctx, topic)
}

func (l *lateLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (ledger.Batch, error) {
	batch, err := l.log.Read(ctx, topic, from, wait)
	l.clock += l.takes
	batch.Records = batch.Records[:min(l.most, len(batch.Records))]
	return batch, err
}

// Guards against a claim at once after a read whose answer was late or cut, because its last record is old: the holder may have written since.
func TestLateOrCutAnswerIsNoSilence(t *testing.T) {
	for name, c := range map[string]struct {
		takes time.Duration
		most  int
	}{
		"late": {1200 * time.Millisecond, 100},
		"cut":  {time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccession(t)
			a, term := s.claim("a", "1")
			b := s.join("b", "2")
			s.clock += heartbeatInterval
			assert.NilError(t, a.renew(t.Context(), term))
			_, err := b.follow(t.Context(), 0, false)
			assert.NilError(t, err)
			for range 6 {
				s.clock += heartbeatInterval
				assert.NilError(t, a.renew(t.Context(), term))
			}
			b.log = &lateLog{succession: s, takes: c.takes, most: c.most}
			heard, err := b.follow(t.Context(), 0, true)
			assert.NilError(t, err)
			assert.Assert(t, heard)
			assert.Equal(t, b.sinceLastRecord(), time.Duration(0))
			assert.Equal(t, b.topicEnd, b.current.Heartbeats+1, "records were skipped")
		})
	}
}

// stalledLog takes appends of a quietClient only if its holder is not stalled; otherwise they end with their time limit.
type stalledLog struct {
	*quietClient
	stalled atomic.Bool
}

func (l *stalledLog) Append(ctx context.Context, topic string, records []ledger.Record, o ledger.AppendOptions) (int64, error) {
	if l.stalled.Load() {
		<-ctx.Done()
		return 0, &ledger.UnknownError{Cause: ctx.Err()}
	}
	return l.quietClient.Append(ctx, topic, records, o)
}

// Guards against a planned stop that sends further heartbeats to a silent log before it resigns.
func TestStopWhileTheLogIsSilentIsBounded(t *testing.T) {
	for range 40 {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			log := &stalledLog{quietClient: &quietClient{quietLog: &quietLog{latency: 10 * time.Millisecond, changed: make(chan struct{})}}}
			elector := New(Config{
				Log: log, Instance: "a", Incarnation: "1", ProcessorShare: 1, Events: event.Discard(),
				Clock: func() time.Duration { return time.Since(start) }, Eligible: func() bool { return true },
			})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				elector.Run(ctx, func(term *Term) { <-term.Context.Done() })
			}()
			time.Sleep(3 * time.Second)
			log.stalled.Store(true)
			time.Sleep(rand.N(3 * time.Second))
			stopped := time.Now()
			cancel()
			<-ended
			// A heartbeat in flight, the announcement and the resignation.
			limit := 2*(callTimeout+retryPause) + resignTimeout + retryPause
			assert.Assert(t, time.Since(stopped) <= limit, "stopped after %v", time.Since(stopped))
		})
	}
}

// silentLog leaves all calls without an answer for a time. A call that ends in between has no effect.
type silentLog struct {
	*quietClient
	outage *outage
}

// outage is a time during which a log answers nobody.
type outage struct {
	mu   sync.Mutex
	over chan struct{} // closed at the end; nil without an outage
}

func (o *outage) begin() (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	over := make(chan struct{})
	o.over = over
	return func() { close(over) }
}

func (o *outage) await(ctx context.Context) error {
	o.mu.Lock()
	over := o.over
	o.mu.Unlock()
	if over == nil {
		return nil
	}
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		return &ledger.UnknownError{Cause: ctx.Err()}
	}
}

func (l *silentLog) Append(ctx context.Context, topic string, records []ledger.Record, o ledger.AppendOptions) (int64, error) {
	if err := l.outage.await(ctx); err != nil {
		return 0, err
	}
	return l.quietClient.Append(ctx, topic, records, o)
}

func (l *silentLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (ledger.Batch, error) {
	if err := l.outage.await(ctx); err != nil {
		return ledger.Batch{}, err
	}
	return l.quietClient.Read(ctx, topic, from, wait)
}

// Guards against instances that claim the role of a living holder after an outage of the log in which a read after a pause was not answered.
func TestOutageDuringALateReadMovesNoRole(t *testing.T) {
	moved := 0
	const runs = 400
	for range runs {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			out := &outage{}
			log := &quietLog{latency: 10 * time.Millisecond, changed: make(chan struct{})}
			claims := make(chan string, 10)
			ctx, cancel := context.WithCancel(t.Context())
			for _, name := range []string{"a", "b"} {
				elector := New(Config{
					Log: &silentLog{&quietClient{quietLog: log}, out}, Instance: name, Incarnation: name, ProcessorShare: 0.8, Events: event.Discard(),
					Clock: func() time.Duration { return time.Since(start) }, Eligible: func() bool { return true },
				})
				go elector.Run(ctx, func(term *Term) {
					claims <- name
					<-term.Context.Done()
				})
				time.Sleep(100*time.Millisecond + rand.N(heartbeatInterval))
			}
			time.Sleep(4*time.Second + rand.N(2*time.Second))
			end := out.begin()
			time.Sleep(callTimeout + rand.N(450*time.Millisecond))
			end()
			time.Sleep(time.Second)
			moved += len(claims) - 1
			cancel()
			time.Sleep(time.Minute)
		})
	}
	assert.Equal(t, moved, 0, "the role moved in some of %d outages", runs)
}

// Guards against a lost holder that counts as having less authority than it has for the rest of its term, because its clock did not count a
// short stop of its virtual machine.
func TestAuthorityAfterAStopThatTheHolderDidNotCount(t *testing.T) {
	for _, stop := range []time.Duration{300 * time.Millisecond, time.Second, 1900 * time.Millisecond} {
		s := newSuccession(t)
		a, term := s.claim("a", "1")
		b := s.join("b", "2")
		made, lastMade := s.clock, s.clock
		beat := func() {
			s.clock += heartbeatInterval
			made = s.clock
			assert.NilError(t, a.renew(t.Context(), term))
		}
		for range 5 {
			beat()
			_, err := b.follow(t.Context(), 0, false)
			assert.NilError(t, err)
		}
		s.clock += stop
		term.claimed += stop
		for range 60 { // each read returns up to three heartbeats and is late by a random part of an interval
			beat()
			beat()
			late := rand.N(heartbeatInterval)
			s.clock += late
			_, err := b.follow(t.Context(), 0, true)
			assert.NilError(t, err)
			assert.Assert(t, b.heardAt <= s.clock)
			lastMade = made
			s.clock += heartbeatInterval - late
			made = s.clock
			assert.NilError(t, a.renew(t.Context(), term))
		}
		assert.Assert(t, b.heardAt >= lastMade-100*time.Millisecond, "stop of %v: %v before it was made", stop, lastMade-b.heardAt)
	}
}
