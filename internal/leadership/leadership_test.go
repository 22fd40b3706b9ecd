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

// election is electors that share a store; it notes who holds the term.
type election struct {
	store   *store.Store
	address string

	mu      sync.Mutex
	holders map[string]*Term
	terms   []int64 // in the order in which they were claimed
}

func newElection(t *testing.T) *election {
	e := &election{store: store.New(), holders: map[string]*Term{}}
	server := httptest.NewServer(e.store)
	t.Cleanup(server.Close)
	e.address = server.Listener.Addr().String()
	return e
}

// join starts an elector of an instance with a whole processor and returns what stops it.
func (e *election) join(t *testing.T, name, incarnation string, clock func() time.Duration) context.CancelFunc {
	return e.joinSized(t, name, incarnation, 1, clock)
}

// joinSized starts an elector of an instance with the given share of a processor and returns what stops it.
func (e *election) joinSized(t *testing.T, name, incarnation string, size float64, clock func() time.Duration) context.CancelFunc {
	elector := New(Config{
		Log: platform.NewStore(platform.NewClient(), e.address), Instance: name, Incarnation: incarnation, Size: size,
		Events: event.Discard(), Clock: clock, Able: func() bool { return true },
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

// await waits until one instance holds the term and returns its name.
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

var processBegan = time.Now()

func steady() time.Duration { return time.Since(processBegan) }

// Guards against two holders of one term, also when the store's answers are lost.
func TestOneInstanceHoldsEachTerm(t *testing.T) {
	e := newElection(t)
	e.store.SetFaults(store.Faults{LoseAnswers: 0.4})
	for i := range 4 {
		e.join(t, fmt.Sprintf("entry-%d", i), fmt.Sprint(i), steady)
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

// Guards against a role that stays vacant after its holder has left, and against a new holder that does not learn that the old
// one left in order.
func TestRoleMovesWhenItsHolderResigns(t *testing.T) {
	e := newElection(t)
	stops := map[string]context.CancelFunc{}
	for _, name := range []string{"entry-0", "entry-1"} {
		stops[name] = e.join(t, name, name, steady)
	}
	first := e.await(t)
	begun := time.Now()
	stops[first]()
	second := e.await(t)
	assert.Assert(t, second != first)
	assert.Assert(t, time.Since(begun) < claimAfter, "a resignation need not be awaited like silence")
	assert.Assert(t, e.term(second).Orderly)
	assert.Equal(t, e.term(second).Number, int64(2))
}

// Guards against a change of the scheduler that only the store's outage causes.
func TestOutageOfTheStoreMovesNoRole(t *testing.T) {
	e := newElection(t)
	for i := range 3 {
		e.join(t, fmt.Sprintf("entry-%d", i), fmt.Sprint(i), steady)
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

// Guards against a holder that was suspended and goes on to give orders before it notices.
func TestAuthorityEndsWithoutConfirmedHeartbeats(t *testing.T) {
	e := newElection(t)
	var mu sync.Mutex
	slept := time.Duration(0)
	e.join(t, "entry-0", "x", func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return steady() + slept
	})
	term := e.term(e.await(t))
	assert.Assert(t, term.Authority())
	e.store.SetFaults(store.Faults{Outage: true})
	mu.Lock()
	slept = AuthorityLimit
	mu.Unlock()
	assert.Assert(t, !term.Authority())
}

// Guards against an instance that waits for its own earlier process.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	e := newElection(t)
	data := e.store
	stop := e.join(t, "entry-0", "first", steady)
	e.await(t)
	data.SetFaults(store.Faults{Outage: true}) // so that the first process cannot resign
	stop()
	data.SetFaults(store.Faults{})
	begun := time.Now()
	e.join(t, "entry-0", "second", steady)
	e.await(t)
	assert.Assert(t, time.Since(begun) < claimAfter)
}

// Guards against a small instance that goes on scheduling for all, with orders that are late, while a large one is there; and
// against a role that moves between instances of nearly the same size.
func TestLargerInstanceTakesTheRoleOver(t *testing.T) {
	e := newElection(t)
	e.joinSized(t, "small", "1", 0.2, steady)
	assert.Equal(t, e.await(t), "small")
	e.joinSized(t, "similar", "2", 0.25, steady)
	e.joinSized(t, "large", "3", 0.8, steady)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.term("large") == nil {
			return poll.Continue("the large instance does not hold the role")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	term := e.term("large")
	assert.Assert(t, term.Orderly)
	assert.Equal(t, term.Number, int64(2), "the role went to the large instance directly")
	e.joinSized(t, "larger", "4", 1, steady)
	time.Sleep(3 * time.Second)
	assert.Equal(t, e.term("large"), term, "a little more is not worth a change")
}

// Guards against a small instance that claims the role of a lost holder before a large one does.
func TestLargestInstanceClaimsAfterALoss(t *testing.T) {
	e := newElection(t)
	stop := e.joinSized(t, "first", "1", 0.8, steady)
	e.await(t)
	for i := range 4 {
		e.joinSized(t, fmt.Sprintf("small-%d", i), fmt.Sprintf("s%d", i), 0.2, steady)
	}
	e.joinSized(t, "second", "2", 0.8, steady)
	time.Sleep(heartbeat)
	e.store.SetFaults(store.Faults{Outage: true}) // so that the holder cannot resign
	stop()
	e.store.SetFaults(store.Faults{})
	assert.Equal(t, e.await(t), "second")
}
