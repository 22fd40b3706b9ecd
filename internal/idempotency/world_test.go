package idempotency

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// world runs some instances in virtual time under faults and counts at the minion how often each key ran.
type world struct {
	t      assert.TestingT
	draw   func(label string, n int) int // a number below n
	naive  bool
	now    time.Time
	ring   *peer.KeyRing
	nodes  []*worldNode
	keys   []string
	ops    []*op
	late   []func() // calls that arrive after their sender has given up
	runs   map[string]int
	faults bool // hand-over calls may fail
}

type worldNode struct {
	*Keys
	world        *world
	id           structs.InstanceID
	skew         time.Duration
	dead, frozen bool
	handler      peer.Handler
}

// op is a run that Begin allowed.
type op struct {
	key        string
	node       *worldNode
	run        *Run
	dispatched bool
	ended      bool
}

func newWorld(t assert.TestingT, draw func(string, int) int, naive bool) *world {
	keys, err := peer.NewKeyRing([]peer.SharedKey{{ID: "a", Secret: []byte("0123456789abcdef")}}, nil)
	assert.NilError(t, err)
	w := &world{t: t, draw: draw, naive: naive, faults: true, now: time.Unix(1_000_000, 0), ring: keys, runs: make(map[string]int)}
	for i := range 4 {
		w.nodes = append(w.nodes, &worldNode{world: w, id: structs.InstanceID(fmt.Sprintf("n%d", i)), skew: time.Duration(i) * 333 * time.Millisecond})
		w.nodes[i].restart(1)
	}
	return w
}

func (n *worldNode) restart(incarnation uint64) {
	k, err := New(Config{
		Self: Issuer{n.id, incarnation}, Ring: n.world.ring, Directory: n.world, Caller: n,
		Now: func() time.Time { return n.world.now.Add(n.skew) },
	})
	assert.NilError(n.world.t, err)
	k.Register(n)
	n.Keys = k
	n.dead = false
}

func (n *worldNode) up() bool { return !n.dead && !n.frozen }

// Handle implements peer.Registrar.
func (n *worldNode) Handle(_ string, handler peer.Handler) { n.handler = handler }

// Gone implements Directory.
func (w *world) Gone(id structs.InstanceID) bool { return w.node(id).dead }

func (w *world) node(id structs.InstanceID) *worldNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// Call implements peer.Caller for hand-overs, with lost requests, lost answers and late arrival.
func (n *worldNode) Call(ctx context.Context, to structs.InstanceID, _ string, request, _ any) error {
	target := n.world.node(to)
	data, err := msgpack.Marshal(request)
	assert.NilError(n.world.t, err)
	decode := func(into any) error { return msgpack.Unmarshal(data, into) }
	if target.dead {
		return errors.Join(peer.ErrNotSent, peer.ErrPeerGone)
	}
	fault := 0
	if n.world.faults {
		fault = n.world.draw("fault of a hand-over call", 6)
	}
	if target.frozen && fault == 0 {
		fault = 4
	}
	switch fault {
	case 1:
		return peer.ErrNotSent
	case 2:
		return context.DeadlineExceeded
	case 3:
		_, _ = target.handler(ctx, n.id, decode)
		return context.DeadlineExceeded
	case 4:
		handler := target.handler
		n.world.late = append(n.world.late, func() { _, _ = handler(ctx, n.id, decode) })
		return context.DeadlineExceeded
	default:
		_, err = target.handler(ctx, n.id, decode)
		return err
	}
}

// begin asks a node about a key, in the naive version the live node that the key hashes to.
func (n *worldNode) begin(key string) (Decision, error) {
	if !n.world.naive {
		return n.Begin(key, customer, service)
	}
	var live []structs.InstanceID
	for _, other := range n.world.nodes {
		if other.up() {
			live = append(live, other.id)
		}
	}
	ticket, err := n.sealer.open(key)
	assert.NilError(n.world.t, err)
	name := fmt.Sprint(ticket.Issuer, ticket.Serial) // the same in every run, unlike the sealed key
	if owner := membership.Rendezvous(live, name); owner != n.id {
		return Decision{Action: ActionForward, To: owner}, nil
	}
	ticket.Serial = xxhash.Sum64String(name) // one table for the keys of all issuers
	defer func(issued uint64) { n.own.issued = issued }(n.own.issued)
	n.own.issued = ^uint64(0)
	return n.decide(n.own, ticket)
}

// request sends a request with a key to a node and follows forwards.
func (w *world) request(n *worldNode, key string) Decision {
	for range 3 {
		if n == nil || !n.up() {
			return Decision{Action: ActionUnknown}
		}
		d, err := n.begin(key)
		if err != nil {
			return Decision{}
		}
		if d.Action == ActionRun {
			w.ops = append(w.ops, &op{key: key, node: n, run: d.Run})
		}
		if d.Action == ActionRecorded {
			assert.Equal(w.t, string(d.Response.Body), key)
			assert.Assert(w.t, w.runs[key] > 0)
		}
		if d.Action != ActionForward {
			return d
		}
		n = w.node(d.To)
	}
	return Decision{Action: ActionUnknown}
}

func (w *world) pick(label string) *worldNode { return w.nodes[w.draw(label, len(w.nodes))] }

// pickOp returns a run whose process can go on with it.
func (w *world) pickOp() *op {
	if len(w.ops) == 0 {
		return nil
	}
	o := w.ops[w.draw("run", len(w.ops))]
	if o.ended || o.node.frozen || o.run.keys != o.node.Keys || o.node.dead {
		return nil
	}
	return o
}

func (o *op) dispatch() {
	if o != nil && !o.dispatched {
		o.dispatched = true
		o.node.world.runs[o.key]++
	}
}

func (o *op) finish(lost bool) {
	if o == nil {
		return
	}
	o.ended = true
	switch {
	case lost:
		o.run.Unknown()
	case o.dispatched:
		o.run.Answered(&Response{Body: []byte(o.key)})
	default:
		o.run.NotRun()
	}
}

// step does one random action.
func (w *world) step() {
	switch n, action := w.pick("instance"), w.draw("action", 24); {
	case action < 3:
		w.issue(n)
	case action < 10:
		if len(w.keys) > 0 {
			w.request(n, w.keys[max(0, len(w.keys)-1-w.draw("key", 8))])
		}
	case action < 13:
		w.pickOp().dispatch()
	case action < 16:
		w.pickOp().finish(w.draw("lost", 3) == 0)
	case action < 17:
		n.dead = !n.dead
		if !n.dead {
			n.restart(n.config.Self.Incarnation + 1)
		}
	case action < 19:
		n.frozen = !n.frozen
	case action < 20:
		if n.up() {
			n.handOver()
		}
	case action < 22:
		w.wait()
		n.skew = time.Duration(w.draw("skew in ms", 5000)) * time.Millisecond
	default:
		w.spread()
	}
}

func (w *world) issue(n *worldNode) {
	if !n.up() {
		return
	}
	if keys, _, err := n.Issue(customer, service, 1); err == nil {
		w.keys = append(w.keys, keys...)
	}
}

// wait passes time, often to about the expiry of a key, and drops expired records.
func (w *world) wait() {
	waits := []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, time.Second, time.Minute, defaultLifetime - time.Second}
	w.now = w.now.Add(waits[w.draw("wait", len(waits))])
	for _, n := range w.nodes {
		if n.up() {
			n.sweep()
		}
	}
}

// spread lets a late call arrive and exchanges successions.
func (w *world) spread() {
	if len(w.late) > 0 {
		w.late[w.draw("late call", len(w.late))]()
	}
	for _, n := range w.nodes {
		w.pick("listener").learn(n.successions())
	}
}

func (n *worldNode) handOver() {
	first := n.world.draw("candidate", len(n.world.nodes))
	var candidates []structs.InstanceID
	for i := range n.world.nodes {
		candidates = append(candidates, n.world.nodes[(first+i)%len(n.world.nodes)].id)
	}
	_, _ = n.Handover(context.Background(), candidates)
}

func (w *world) check() {
	for i, key := range w.keys {
		assert.Assert(w.t, w.runs[key] <= 1, "key %d ran %d times", i, w.runs[key])
	}
}
