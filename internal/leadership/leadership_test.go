package leadership

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
	"dogwoodnotch.example/dogwoodnotch/platform"
)

// election runs electors that share a store and records which of them hold a term.
type election struct {
	store   *store.Store
	address string // of the store

	mu      sync.Mutex
	holders map[string]*Term // by instance name
	terms   []int64          // numbers in the order in which the terms were claimed
}

func newElection(t *testing.T) *election {
	e := &election{store: store.New(), holders: map[string]*Term{}}
	server := httptest.NewServer(e.store)
	t.Cleanup(server.Close)
	e.address = server.Listener.Addr().String()
	return e
}

// join starts an elector of an instance with a whole processor and returns a function that stops it.
func (e *election) join(t *testing.T, name, incarnation string, clock func() time.Duration) context.CancelFunc {
	return e.joinWithShare(t, name, incarnation, 1, clock)
}

// joinWithShare starts an elector of an instance with the given share of a processor and returns a function that stops it.
func (e *election) joinWithShare(t *testing.T, name, incarnation string, share float64, clock func() time.Duration) context.CancelFunc {
	elector := New(Config{
		Log: platform.NewStore(platform.NewClient(), e.address), Instance: name, Incarnation: incarnation, ProcessorShare: share,
		Events: event.Discard(), Clock: clock, Eligible: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		elector.Run(ctx, e.lead(name))
	}()
	stop := func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return stop
}

func (e *election) lead(name string) func(*Term) {
	return func(term *Term) {
		e.mu.Lock()
		e.holders[name] = term
		e.terms = append(e.terms, term.Number)
		e.mu.Unlock()
		<-term.Context.Done()
		e.mu.Lock()
		delete(e.holders, name)
		e.mu.Unlock()
	}
}

// await waits until exactly one instance holds a term and returns its name.
func (e *election) await(t *testing.T) string {
	t.Helper()
	holder := ""
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.holders) != 1 {
			return poll.Continue("%d holders", len(e.holders))
		}
		for holder = range e.holders {
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
	return holder
}

func (e *election) term(name string) *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holders[name]
}

var processStart = time.Now()

func monotonic() time.Duration { return time.Since(processStart) }

// Guards against two holders of one term, even if the store's answers are lost.
func TestOneInstanceHoldsEachTerm(t *testing.T) {
	e := newElection(t)
	e.store.SetFaults(store.Faults{LoseAnswers: 0.4})
	for i := range 4 {
		e.join(t, fmt.Sprintf("entry-%d", i), fmt.Sprint(i), monotonic)
	}
	e.await(t)
	time.Sleep(2 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := map[int64]bool{}
	for _, n := range e.terms {
		assert.Assert(t, !seen[n], "term %d was claimed twice", n)
		seen[n] = true
	}
}

// Guards against a role that stays vacant after its holder has resigned, and against a new holder that does not learn that its
// predecessor resigned.
func TestRoleMovesWhenItsHolderResigns(t *testing.T) {
	e := newElection(t)
	stops := map[string]context.CancelFunc{}
	for _, name := range []string{"entry-0", "entry-1"} {
		stops[name] = e.join(t, name, name, monotonic)
	}
	first := e.await(t)
	start := time.Now()
	stops[first]()
	second := e.await(t)
	assert.Assert(t, second != first)
	assert.Assert(t, time.Since(start) < claimAfter, "the role was claimed only after the holder's silence")
	assert.Equal(t, e.term(second).EarlierAuthority, time.Duration(0))
	assert.Equal(t, e.term(second).Number, int64(2))
}

// Guards against a change of the scheduler for no other reason than an outage of the store.
func TestStoreOutageDoesNotChangeTheHolder(t *testing.T) {
	e := newElection(t)
	for i := range 3 {
		e.join(t, fmt.Sprintf("entry-%d", i), fmt.Sprint(i), monotonic)
	}
	holder := e.await(t)
	term := e.term(holder)
	e.store.SetFaults(store.Faults{Outage: true})
	time.Sleep(3 * time.Second)
	e.store.SetFaults(store.Faults{})
	time.Sleep(2 * time.Second)
	assert.Equal(t, e.await(t), holder)
	assert.Equal(t, e.term(holder), term)
}

// Guards against a holder that was suspended and then gives orders before it notices that its term may have ended.
func TestAuthorityEndsWithoutConfirmedHeartbeats(t *testing.T) {
	e := newElection(t)
	var mu sync.Mutex
	suspended := time.Duration(0)
	e.join(t, "entry-0", "x", func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return monotonic() + suspended
	})
	term := e.term(e.await(t))
	assert.Assert(t, term.Authority())
	e.store.SetFaults(store.Faults{Outage: true})
	mu.Lock()
	suspended = AuthorityLimit
	mu.Unlock()
	assert.Assert(t, !term.Authority())
}

// Guards against a restarted instance that waits for heartbeats of its own earlier process.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	e := newElection(t)
	sharedStore := e.store
	stop := e.join(t, "entry-0", "first", monotonic)
	e.await(t)
	sharedStore.SetFaults(store.Faults{Outage: true}) // so that the first process cannot resign
	stop()
	sharedStore.SetFaults(store.Faults{})
	start := time.Now()
	e.join(t, "entry-0", "second", monotonic)
	e.await(t)
	assert.Assert(t, time.Since(start) < claimAfter)
}

// Guards against a small instance that remains the scheduler, with late orders, although a much larger one is available, and
// against a role that moves between instances of similar size.
func TestMuchLargerInstanceTakesTheRoleOver(t *testing.T) {
	e := newElection(t)
	e.joinWithShare(t, "small", "1", 0.2, monotonic)
	assert.Equal(t, e.await(t), "small")
	e.joinWithShare(t, "similar", "2", 0.25, monotonic)
	e.joinWithShare(t, "large", "3", 0.8, monotonic)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.term("large") == nil {
			return poll.Continue("the large instance does not hold the role")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	term := e.term("large")
	assert.Equal(t, term.EarlierAuthority, time.Duration(0))
	assert.Equal(t, term.Number, int64(2), "the role did not go to the large instance directly")
	e.joinWithShare(t, "larger", "4", 1, monotonic)
	time.Sleep(3 * time.Second)
	assert.Equal(t, e.term("large"), term, "the role moved to an instance that is only a little larger")
}

// Guards against a small instance that claims the role before a large one does when the holder is lost.
func TestLargestInstanceClaimsWhenTheHolderIsLost(t *testing.T) {
	e := newElection(t)
	stop := e.joinWithShare(t, "first", "1", 0.8, monotonic)
	e.await(t)
	for i := range 4 {
		e.joinWithShare(t, fmt.Sprintf("small-%d", i), fmt.Sprintf("s%d", i), 0.2, monotonic)
	}
	e.joinWithShare(t, "second", "2", 0.8, monotonic)
	time.Sleep(heartbeatInterval)
	e.store.SetFaults(store.Faults{Outage: true}) // so that the holder cannot resign
	stop()
	e.store.SetFaults(store.Faults{})
	assert.Equal(t, e.await(t), "second")
}
