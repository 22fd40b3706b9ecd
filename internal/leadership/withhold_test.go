package leadership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// list is a holder's list of workers without leases.
type list struct {
	number     int64
	leasesLeft map[string]time.Duration
	confirmed  int64
	unrecorded bool // there are runs that no record shows
}

func (l *list) Withheld() (int64, map[string]time.Duration) { return l.number, l.leasesLeft }

func (l *list) RunsRecorded() bool { return !l.unrecorded }

func (l *list) ConfirmWithheld(number int64) { l.confirmed = number }

// Guards against work of a lost worker that waits for its leases anew after each change of the holder, also if a holder is lost before it
// has made a list itself.
func TestWhatAHolderKnowsOfSilentWorkersIsKnownToTheNextOnes(t *testing.T) {
	s := newSuccession(t)
	a, first := s.claim("a", "1")
	l := &list{number: 7, leasesLeft: map[string]time.Duration{"w1": 9 * time.Second}}
	first.Withhold(l)
	assert.NilError(t, a.renew(t.Context(), first))
	assert.Equal(t, l.confirmed, int64(7))
	left := 9 * time.Second
	for i, name := range []string{"b", "c", "d"} {
		next := s.join(name, string(rune('2'+i)))
		s.clock += claimAfter
		_, term := s.claimWith(next)
		left -= claimAfter
		assert.DeepEqual(t, term.LeasesLeft, map[string]time.Duration{"w1": left})
		s.clock += time.Second // the holder loads the jobs
		assert.NilError(t, next.renew(t.Context(), term))
		left -= time.Second
	}
}

// Guards against a lease for a worker that the next holder takes to get none: the heartbeat that no longer named it was not written.
func TestListThatIsNotWrittenIsNotConfirmed(t *testing.T) {
	s := newSuccession(t)
	a, first := s.claim("a", "1")
	l := &list{number: 7, leasesLeft: map[string]time.Duration{"w1": 9 * time.Second}}
	first.Withhold(l)
	assert.NilError(t, a.renew(t.Context(), first))
	s.clock += claimAfter
	_, second := s.claim("b", "2")
	l.number, l.leasesLeft = 8, nil
	assert.ErrorIs(t, a.renew(t.Context(), first), errSuperseded)
	assert.Equal(t, l.confirmed, int64(7))
	assert.Equal(t, second.LeasesLeft["w1"], 9*time.Second)
}

// Guards against work that waits for a worker on which no earlier holder can have started it, and against a second run beside one that an
// earlier holder started without a record.
func TestNextHolderKnowsWhereRunsMayBeUnrecorded(t *testing.T) {
	ends := map[string]func(s *succession, e *Elector, term *Term){
		"is lost": func(s *succession, _ *Elector, _ *Term) { s.clock += claimAfter },
		"resigns": func(_ *succession, e *Elector, term *Term) { e.resign(term, "") },
	}
	cases := map[string]struct {
		end                string
		atHeartbeat, atEnd bool // runs are unrecorded
		listed, other      bool // whether there may be some on a worker of the list, and on another one
	}{
		"a holder that is lost":                        {end: "is lost", other: true},
		"a holder that is lost with unrecorded runs":   {end: "is lost", atHeartbeat: true, listed: true, other: true},
		"a holder that resigns":                        {end: "resigns"},
		"a holder that resigns with unrecorded runs":   {end: "resigns", atEnd: true, listed: true, other: true},
		"a holder that resigns once they are recorded": {end: "resigns", atHeartbeat: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSuccession(t)
			a, first := s.claim("a", "1")
			l := &list{number: 7, leasesLeft: map[string]time.Duration{"w1": 9 * time.Second}, unrecorded: c.atHeartbeat}
			first.Withhold(l)
			assert.NilError(t, a.renew(t.Context(), first))
			l.unrecorded = c.atEnd
			ends[c.end](s, a, first)
			b, second := s.claim("b", "2")
			assert.Equal(t, second.MayHaveUnrecordedRuns("w1"), c.listed)
			assert.Equal(t, second.MayHaveUnrecordedRuns("w2"), c.other)

			b.resign(second, "") // before it knows of the runs of earlier terms
			_, third := s.claim("c", "3")
			assert.Assert(t, third.MayHaveUnrecordedRuns("w1"))
			assert.Assert(t, third.MayHaveUnrecordedRuns("w2"))
		})
	}
}
