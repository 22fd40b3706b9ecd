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
}

func (l *list) Withheld() (int64, map[string]time.Duration) { return l.number, l.leasesLeft }

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
