package router

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/site"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testService = structs.ServiceName("raft-booking")

func testText() *spec.Text {
	return &spec.Text{
		Customers: []spec.Customer{{Name: "harbour-clubs", Weight: 4}, {Name: "jetty", Weight: 1}},
		Services: []spec.Service{{Name: testService, Minions: &spec.Minions{Slots: 8, Connections: 64}, Kinds: []spec.RequestKind{
			{Name: "book", Urgency: 90, Deadline: 2 * time.Second, Share: 0.5, RunTime: 5 * time.Millisecond},
			{Name: "quote", Urgency: 50, Deadline: time.Second, Idempotent: true, Share: 0.3, RunTime: 5 * time.Millisecond},
		}}},
	}
}

// entry is one entry instance with its pool, router and keys.
type entry struct {
	*site.Entry
	dataCentre *dataCentre
	id         structs.InstanceID
	pool       *minion.Pool
	router     *Router
	mu         sync.Mutex
	keys       map[string]BeginResult
}

// dataCentre is a data centre with its minions and entry instances.
type dataCentre struct {
	*site.Site
	t         *testing.T
	text      atomic.Pointer[spec.Text]
	minions   []*site.Minion
	entries   map[structs.InstanceID]*entry
	successor atomic.Value // the InstanceID of the instance that took over the keys of "gone"
}

// newDataCentre starts one minion for each of the given owners, and the instances that own them.
func newDataCentre(t *testing.T, serviceTime time.Duration, owners ...structs.InstanceID) *dataCentre {
	c := &dataCentre{Site: site.New(testService), t: t, entries: map[structs.InstanceID]*entry{}}
	c.text.Store(testText())
	for _, owner := range owners {
		m, err := c.AddMinion(owner, standin.Config{Slots: 8, ServiceTime: serviceTime})
		assert.NilError(t, err)
		t.Cleanup(m.Kill)
		c.minions = append(c.minions, m)
		if c.entries[owner] == nil {
			c.entries[owner] = c.newEntry(owner)
		}
	}
	for _, e := range c.entries {
		e.start()
	}
	free := func() (total int) {
		for _, e := range c.entries {
			total += e.pool.Free(testService)
		}
		return total
	}
	assert.Assert(t, eventually(func() bool { return free() == 8*len(owners) }))
	return c
}

func (c *dataCentre) newEntry(id structs.InstanceID) *entry {
	e := &entry{Entry: c.AddEntry(id), dataCentre: c, id: id, keys: map[string]BeginResult{}}
	e.pool = minion.New(minion.Config{View: e, Peers: e, Text: c.text.Load, Events: event.Discard(), StatusInterval: 50 * time.Millisecond})
	e.router = New(Config{Text: c.text.Load, Pool: FromPool(e.pool), Keys: e, Peers: e, Calls: e, Dependencies: e, Events: event.Discard()})
	e.pool.Register(e)
	e.router.Register(e)
	return e
}

func (e *entry) start() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = e.pool.Run(ctx) })
	running.Go(func() { _ = e.router.Run(ctx) })
	e.dataCentre.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// Down implements Dependencies.
func (e *entry) Down(structs.ServiceName) structs.ServiceName { return "" }

// FreeSlots implements Peers.
func (e *entry) FreeSlots(service structs.ServiceName) map[structs.InstanceID]int {
	free := map[structs.InstanceID]int{}
	for id, other := range e.dataCentre.entries {
		if id != e.id {
			free[id] = other.pool.Free(service)
		}
	}
	return free
}

// Begin implements Keys. A key is "issuer/serial".
func (e *entry) Begin(_ context.Context, key string, _ structs.Customer, _ structs.ServiceName) (BeginResult, error) {
	issuer, _, _ := strings.Cut(key, "/")
	if successor, ok := e.dataCentre.successor.Load().(structs.InstanceID); ok && issuer == "gone" {
		issuer = string(successor)
	}
	if issuer != string(e.id) {
		return BeginResult{State: KeyElsewhere, Issuer: structs.InstanceID(issuer)}, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	result, used := e.keys[key]
	if !used {
		e.keys[key] = BeginResult{State: KeyRunning}
	}
	return result, nil
}

// Finish implements Keys.
func (e *entry) Finish(key string, outcome structs.Outcome, answer *minion.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch outcome {
	case structs.OutcomeAnswered:
		e.keys[key] = BeginResult{State: KeyAnswered, Answer: answer}
	case structs.OutcomeNotRun:
		delete(e.keys, key)
	default:
		e.keys[key] = BeginResult{State: KeyUnknown}
	}
}

func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// MeasuredEntry starts one entry instance with 4 minions for the measurements.
func MeasuredEntry(t *testing.T) (*Router, *spec.Text, []*site.Minion) {
	c := newDataCentre(t, 0, "x", "x", "x", "x")
	return c.entries["x"].router, c.text.Load(), c.minions
}

// MeasuredPeers starts an entry instance with 4 minions (own) and one whose own slots are all taken (full), connected by
// peer nodes over TLS on loopback. Every request to the second instance therefore runs at the minions of the first.
// served returns how many requests the minions of each instance ran.
func MeasuredPeers(t *testing.T) (own, full *Router, text *spec.Text, served func() (own, full int)) {
	c := newDataCentre(t, 0, "x", "x", "x", "x", "z")
	x, z := c.entries["x"], c.entries["z"]
	for range 8 {
		slot := z.pool.Acquire(testService)
		assert.Assert(t, slot != nil)
		t.Cleanup(slot.Release)
	}
	nodes := peerNodes(t, "x", "z")
	x.router.Register(nodes["x"])
	z.router.cfg.Calls = nodes["z"]
	served = func() (own, full int) {
		for _, m := range c.minions[:4] {
			own += len(m.Report().Runs)
		}
		return own, len(c.minions[4].Report().Runs)
	}
	return x.router, z.router, c.text.Load(), served
}

// peerNodes starts a peer node for each instance.
func peerNodes(t *testing.T, ids ...structs.InstanceID) map[structs.InstanceID]*peer.Node {
	addresses, nodes := map[structs.InstanceID]string{}, map[structs.InstanceID]*peer.Node{}
	ring, err := peer.NewKeyRing([]peer.SharedKey{{ID: "k", Secret: []byte(strings.Repeat("s", 32))}}, nil)
	assert.NilError(t, err)
	resolve := func(id structs.InstanceID) (string, bool) { return addresses[id], addresses[id] != "" }
	for _, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addresses[id] = listener.Addr().String()
		node, err := peer.New(peer.Config{Self: id, Keys: ring, Resolve: resolve})
		assert.NilError(t, err)
		nodes[id] = node
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- node.Serve(ctx, listener) }()
		t.Cleanup(func() {
			cancel()
			assert.Check(t, <-ended)
		})
	}
	return nodes
}
