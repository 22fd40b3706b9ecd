package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
)

// callCounter counts the calls of one instance to the store, by path and topic.
type callCounter struct {
	store http.Handler

	mu    sync.Mutex
	calls map[string]int
}

func (c *callCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.calls[r.URL.Path+" "+r.URL.Query().Get("topic")]++
	c.mu.Unlock()
	c.store.ServeHTTP(w, r)
}

func (c *callCounter) count(call string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[call]
}

// Guards against calls to the store that serve nothing: each costs the customer money, at each of many instances. The heartbeats of the
// scheduler are the measure of time, so that a slow machine changes nothing; the bounds leave room for reads that a loaded one repeats.
func TestIdleInstancesMakeFewCalls(t *testing.T) {
	const (
		heartbeat = "/v1/log-append keyed.term"
		readTerm  = "/v1/log-read keyed.term"
		readJobs  = "/v1/log-read keyed.jobs"
		readOp    = "/v1/log-read keyed.op"
		window    = 30 // heartbeats, each 350 ms after the one before
	)
	shares := []float64{0.8, 0.8, 0.4, 0.2, 0.2}
	s := store.New()
	s.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, 1, "secret"))
	counters := make([]*callCounter, len(shares))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for i, share := range shares {
		counters[i] = &callCounter{store: s, calls: map[string]int{}}
		server := httptest.NewServer(counters[i])
		t.Cleanup(server.Close)
		node := New(&Settings{
			Instance: fmt.Sprintf("entry-%d", i), Store: server.Listener.Addr().String(), Machine: Machine{ProcessorShare: share},
			Listen: Listen{Jobs: freeAddress(t), Readiness: freeAddress(t)}, Bounds: Bounds{LeaseMS: 3000, KeepStatusS: 60},
		}, &lockedBuffer{})
		running.Go(func() {
			if err := node.Run(ctx); err != nil {
				t.Errorf("instance %d: %v", i, err)
			}
		})
		if i == 0 {
			awaitCalls(t, counters[0], heartbeat, 3) // the first instance holds the role
		}
	}
	awaitCalls(t, counters[0], heartbeat, counters[0].count(heartbeat)+10)
	before := make([]map[string]int, len(shares))
	for i, c := range counters {
		before[i] = map[string]int{readTerm: c.count(readTerm), readJobs: c.count(readJobs), readOp: c.count(readOp)}
	}
	start := counters[0].count(heartbeat)
	awaitCalls(t, counters[0], heartbeat, start+window)
	for i, share := range shares {
		reads := map[string]int{}
		for call, n := range before[i] {
			reads[call] = counters[i].count(call) - n
		}
		t.Logf("share %.1f: in %d heartbeats, reads of the term %d, of jobs %d, of the operator's records %d", share, window, reads[readTerm], reads[readJobs], reads[readOp])
		assert.Assert(t, reads[readOp] <= window/2)
		if i > 0 { // the holder reads the jobs as the scheduler, too, and does not follow the term
			assert.Assert(t, reads[readJobs] <= window/2)
			assert.Assert(t, reads[readTerm] <= window*5/6)
		}
		if share < 0.4 {
			assert.Assert(t, reads[readTerm] <= window/2)
		}
	}
}

// awaitCalls waits until an instance has made n calls.
func awaitCalls(t *testing.T, c *callCounter, call string, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := c.count(call); got < n {
			return poll.Continue("%d of %d calls", got, n)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
}
