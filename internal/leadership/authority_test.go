package leadership

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// termLog is the topic of terms in memory.
type termLog struct {
	mu      sync.Mutex
	records []ledger.Record
}

func (l *termLog) Append(_ context.Context, _ string, records []ledger.Record, o ledger.AppendOptions) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := int64(len(l.records)); o.Conditional && o.ExpectedEnd != end {
		return 0, &ledger.MovedError{End: end}
	}
	for _, r := range records {
		r.Offset = int64(len(l.records))
		l.records = append(l.records, r)
	}
	return int64(len(l.records)), nil
}

func (l *termLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (ledger.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ledger.Batch{Records: l.records[from:], End: int64(len(l.records))}, nil
}

func (l *termLog) Newest(context.Context, string) (ledger.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ledger.Batch{Records: l.records, End: int64(len(l.records))}, nil
}

// succession is a series of terms on a clock that the test moves.
type succession struct {
	t     *testing.T
	log   *termLog
	clock time.Duration

	leaseAuthority time.Duration
}

func newSuccession(t *testing.T) *succession {
	return &succession{t: t, log: &termLog{}, clock: time.Hour, leaseAuthority: AuthorityLimit}
}

// claim lets a new process of an instance claim the role and returns its elector and term.
func (s *succession) claim(instance, incarnation string) (*Elector, *Term) {
	s.t.Helper()
	return s.claimWith(s.join(instance, incarnation))
}

// join returns the elector of a new process of an instance, which has read the topic.
func (s *succession) join(instance, incarnation string) *Elector {
	s.t.Helper()
	e := New(Config{
		Log: s.log, Instance: instance, Incarnation: incarnation, ProcessorShare: 1, Events: event.Discard(),
		Clock: func() time.Duration { return s.clock }, Eligible: func() bool { return true }, LeaseAuthority: s.leaseAuthority,
	})
	assert.NilError(s.t, e.load(s.t.Context()))
	return e
}

// claimWith lets an elector claim the role and returns its term.
func (s *succession) claimWith(e *Elector) (*Elector, *Term) {
	s.t.Helper()
	assert.Assert(s.t, e.claim(s.t.Context()))
	return e, e.newTerm(s.t.Context())
}

// Guards against tasks that are started again while a holder that was cut off still renews their leases: the holder after it had
// stopped, which says nothing about the one before. The bound is what the holder that was cut off may still use, on the same clock.
func TestEarlierHoldersMayActUntilTheirAuthorityEnds(t *testing.T) {
	for name, stop := range map[string]func(s *succession, e *Elector, term *Term) (instance, incarnation string){
		"resigns": func(_ *succession, e *Elector, term *Term) (string, string) {
			e.resign(term, "")
			return "c", "3"
		},
		"is killed and starts again": func(*succession, *Elector, *Term) (string, string) { return "b", "3" },
		"resigns after a heartbeat": func(s *succession, e *Elector, term *Term) (string, string) {
			assert.NilError(s.t, e.renew(s.t.Context(), term))
			e.resign(term, "")
			return "c", "3"
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccession(t)
			a, first := s.claim("a", "1")
			assert.NilError(t, a.renew(t.Context(), first))
			s.clock += claimAfter // a is cut off, and b claims after its silence
			b, second := s.claim("b", "2")
			assert.Assert(t, second.EarlierAuthority >= AuthorityLimit-claimAfter)
			s.clock += 400 * time.Millisecond
			_, third := s.claim(stop(s, b, second))
			assert.Equal(t, third.Number, int64(3))
			for s.clock += third.EarlierAuthority; first.Authority(); {
				t.Fatal("the first holder may act for longer than the third one believes")
			}
		})
	}
}

// Guards against an authority that is passed on without becoming less, so that each planned stop after the loss of a holder delays
// work on silent workers anew.
func TestEarlierAuthorityRunsOut(t *testing.T) {
	s := newSuccession(t)
	s.claim("a", "1")
	s.clock += claimAfter
	b, second := s.claim("b", "2")
	s.clock += 5 * time.Second
	assert.NilError(t, b.renew(t.Context(), second))
	b.resign(second, "")
	c, third := s.claim("c", "3")
	assert.Equal(t, third.EarlierAuthority, second.EarlierAuthority-5*time.Second)
	s.clock += 5 * time.Second
	assert.NilError(t, c.renew(t.Context(), third))
	c.resign(third, "")
	_, fourth := s.claim("d", "4")
	assert.Equal(t, fourth.EarlierAuthority, time.Duration(0))
}

// Guards against planned stops in series that do not hand over at once although all earlier holders have stopped.
func TestPlannedStopsInSeriesLeaveNoAuthority(t *testing.T) {
	s := newSuccession(t)
	for i, name := range []string{"a", "b", "c", "a"} {
		e, term := s.claim(name, string(rune('1'+i)))
		assert.Equal(t, term.EarlierAuthority, time.Duration(0))
		s.clock += time.Second
		e.resign(term, "")
	}
}

// Guards against a holder that is paused while others hold the role, and against one whose process ended and that claims again: only
// its own earlier process is known to have stopped.
func TestPausedHolderKeepsItsAuthorityInMind(t *testing.T) {
	s := newSuccession(t)
	_, first := s.claim("a", "1")
	s.clock += claimAfter // b takes the paused a to be lost
	_, second := s.claim("b", "2")
	s.clock += claimAfter // a's next process takes b, which is paused too, to be lost
	_, third := s.claim("a", "3")
	s.clock += third.EarlierAuthority
	assert.Assert(t, !first.Authority() && !second.Authority())
	assert.Equal(t, third.EarlierAuthority, AuthorityLimit)
}

// Guards against a record of an earlier version, which does not say how long holders before it may act, that counts as if none did.
func TestUnknownEarlierAuthorityIsTheWholeLimit(t *testing.T) {
	s := newSuccession(t)
	e, term := s.claim("a", "1")
	e.resign(term, "")
	last := e.Current()
	last.EarlierAuthority = nil
	assert.NilError(t, e.write(t.Context(), last, e.topicEnd))
	_, next := s.claim("b", "2")
	assert.Equal(t, next.EarlierAuthority, formerAuthorityLimit)
}

// Guards against work that waits for longer than the lost holder may act: its authority counts from its last heartbeat that was read, not
// from the claim.
func TestAuthorityOfASilentHolderCountsFromItsLastHeartbeat(t *testing.T) {
	s := newSuccession(t)
	a, first := s.claim("a", "1")
	b := s.join("b", "2")
	s.clock += time.Second
	assert.NilError(t, a.renew(t.Context(), first))
	_, err := b.follow(t.Context(), 0, false)
	assert.NilError(t, err)
	s.clock += claimAfter
	_, second := s.claimWith(b)
	assert.Equal(t, second.EarlierAuthority, AuthorityLimit-claimAfter)
	s.clock += second.EarlierAuthority
	assert.Assert(t, !first.Authority())
}

// Guards against a record of another program, or of a fault, that keeps work waiting for ever.
func TestRecordedAuthorityIsLimited(t *testing.T) {
	s := newSuccession(t)
	e, term := s.claim("a", "1")
	e.resign(term, "")
	last, odd := e.Current(), 1000*time.Hour
	last.EarlierAuthority = &odd
	assert.NilError(t, e.write(t.Context(), last, e.topicEnd))
	_, next := s.claim("b", "2")
	assert.Equal(t, next.EarlierAuthority, formerAuthorityLimit)
}

// Guards against work of lost workers that waits for leases which the lost holder could not have granted, and against leases that
// outlive what the next holder reckons with: tasks would run twice.
func TestLeasesEndByTheTimeThatTheNextHolderReckonsWith(t *testing.T) {
	for _, lease := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second} {
		for _, resigns := range []bool{false, true} {
			s := newSuccession(t)
			s.leaseAuthority = LeaseAuthority(lease)
			a, first := s.claim("a", "1")
			b := s.join("b", "2")
			s.clock += time.Second
			assert.NilError(t, a.renew(t.Context(), first))
			heardAt := s.clock
			_, err := b.follow(t.Context(), 0, false)
			assert.NilError(t, err)
			latest := time.Duration(0) // end of any lease of the first holder, which is cut off from now on
			for ; s.clock < heardAt+claimAfter; s.clock += 50 * time.Millisecond {
				latest = max(latest, s.clock+min(lease, lease+first.LeaseAuthority()))
			}
			_, term := s.claimWith(b)
			if resigns {
				b.resign(term, "")
				_, term = s.claim("c", "3")
			}
			bound := s.clock + term.EarlierAuthority + lease
			for ; first.Authority(); s.clock += 50 * time.Millisecond {
				latest = max(latest, s.clock+min(lease, lease+first.LeaseAuthority()))
			}
			assert.Assert(t, latest <= bound, "lease of %v, resigns %v: %v after the last heartbeat, %v expected", lease, resigns, latest-heardAt, bound-heardAt)
			target := max(leaseReach, lease)
			if resigns {
				target = max(target, claimAfter+lease) // the holder after it may have granted leases until then
			}
			assert.Assert(t, bound <= heardAt+target, "lease of %v, resigns %v: work waits for %v", lease, resigns, bound-heardAt)
		}
	}
}

// Guards against a holder that was superseded and writes in the name of the next one, whose record it has read: a heartbeat with what it
// believes of silent workers, or a resignation, upon which a third instance starts work that the second one still runs.
func TestSupersededHolderWritesNothingMore(t *testing.T) {
	s := newSuccession(t)
	a, first := s.claim("a", "1")
	first.Withhold(&list{number: 1, leasesLeft: map[string]time.Duration{"w1": 0}})
	s.clock += claimAfter
	b, second := s.claim("b", "2")
	written := len(s.log.records)
	for range 2 { // the tick may come once more before the end of the term is noticed
		assert.ErrorIs(t, a.renew(t.Context(), first), errSuperseded)
	}
	a.resign(first, "")
	assert.Equal(t, len(s.log.records), written)
	assert.NilError(t, b.renew(t.Context(), second))
	c := s.join("c", "3")
	assert.Equal(t, c.Current().Resigned, false)
	assert.Equal(t, len(c.Current().LeasesLeft), 0)
}

// Guards against leases of an earlier version's holder, which shortens none, that count as if it did.
func TestHolderOfAnEarlierVersionGrantsFullLeasesToTheEnd(t *testing.T) {
	s := newSuccession(t)
	s.leaseAuthority = 0
	e, _ := s.claim("a", "1")
	last := e.Current()
	last.LeaseAuthority = nil
	assert.NilError(t, e.write(t.Context(), last, e.topicEnd))
	_, next := s.claim("b", "2")
	assert.Equal(t, next.EarlierAuthority, AuthorityLimit)
}
