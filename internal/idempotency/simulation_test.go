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

// simulation runs instances in virtual time under faults and counts how often the request of each key reached a minion.
type simulation struct {
	t            assert.TestingT
	draw         func(label string, n int) int // returns a number from 0 to n-1
	naive        bool
	now          time.Time
	ring         *peer.KeyRing
	nodes        []*simNode
	keys         []string
	attempts     []*attempt
	delayedCalls []func() // handover calls that arrive after the sender has timed out
	runs         map[string]int
	faults       bool // handover calls may fail
}

// simNode is a simulated instance.
type simNode struct {
	*Keys
	sim          *simulation
	id           structs.InstanceID
	skew         time.Duration
	dead, frozen bool
	handler      peer.Handler
}

// attempt is a run that Begin allowed.
type attempt struct {
	key        string
	node       *simNode
	run        *Run
	dispatched bool
	ended      bool
}

func newSimulation(t assert.TestingT, draw func(string, int) int, naive bool) *simulation {
	keys, err := peer.NewKeyRing([]peer.SharedKey{{ID: "a", Secret: []byte("0123456789abcdef")}}, nil)
	assert.NilError(t, err)
	sim := &simulation{t: t, draw: draw, naive: naive, faults: true, now: time.Unix(1_000_000, 0), ring: keys, runs: make(map[string]int)}
	for i := range 4 {
		sim.nodes = append(sim.nodes, &simNode{sim: sim, id: structs.InstanceID(fmt.Sprintf("n%d", i)), skew: time.Duration(i) * 333 * time.Millisecond})
		sim.nodes[i].restart(1)
	}
	return sim
}

// restart replaces the process of the instance by a new one without state.
func (n *simNode) restart(incarnation uint64) {
	k, err := New(Config{
		Self: Issuer{n.id, incarnation}, Ring: n.sim.ring, Directory: n.sim, Caller: n,
		Now: func() time.Time { return n.sim.now.Add(n.skew) },
	})
	assert.NilError(n.sim.t, err)
	k.Register(n)
	n.Keys = k
	n.dead = false
}

func (n *simNode) up() bool { return !n.dead && !n.frozen }

// Handle implements peer.Registrar.
func (n *simNode) Handle(_ string, handler peer.Handler) { n.handler = handler }

// Gone implements Directory.
func (sim *simulation) Gone(id structs.InstanceID) bool { return sim.node(id).dead }

func (sim *simulation) node(id structs.InstanceID) *simNode {
	for _, n := range sim.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// Call implements peer.Caller for handovers, with lost requests, lost replies and delayed delivery.
func (n *simNode) Call(ctx context.Context, to structs.InstanceID, _ string, request, _ any) error {
	target := n.sim.node(to)
	data, err := msgpack.Marshal(request)
	assert.NilError(n.sim.t, err)
	decode := func(into any) error { return msgpack.Unmarshal(data, into) }
	if target.dead {
		return errors.Join(peer.ErrNotSent, peer.ErrPeerGone)
	}
	fault := 0
	if n.sim.faults {
		fault = n.sim.draw("fault of a handover call", 6)
	}
	if target.frozen && fault == 0 {
		fault = 4 // a frozen process handles the call later
	}
	switch fault {
	case 1: // not sent
		return peer.ErrNotSent
	case 2: // request lost
		return context.DeadlineExceeded
	case 3: // reply lost
		_, _ = target.handler(ctx, n.id, decode)
		return context.DeadlineExceeded
	case 4: // delivered after the sender has timed out
		handler := target.handler
		n.sim.delayedCalls = append(n.sim.delayedCalls, func() { _, _ = handler(ctx, n.id, decode) })
		return context.DeadlineExceeded
	default:
		_, err = target.handler(ctx, n.id, decode)
		return err
	}
}

// begin calls Begin at the instance. The naive version decides at the live instance to which the key hashes.
func (n *simNode) begin(key string) (Decision, error) {
	if !n.sim.naive {
		return n.Begin(key, customer, service)
	}
	var live []structs.InstanceID
	for _, other := range n.sim.nodes {
		if other.up() {
			live = append(live, other.id)
		}
	}
	ticket, err := n.sealer.open(key)
	assert.NilError(n.sim.t, err)
	name := fmt.Sprint(ticket.Issuer, ticket.Serial) // the same for each seed, unlike the sealed key
	if owner := membership.Rendezvous(live, name); owner != n.id {
		return Decision{Action: ActionForward, To: owner}, nil
	}
	ticket.Serial = xxhash.Sum64String(name) // a single table holds the keys of all issuers
	defer func(issued uint64) { n.own.highestSerial = issued }(n.own.highestSerial)
	n.own.highestSerial = ^uint64(0)
	return n.decide(n.own, ticket)
}

// request sends a request with a key to an instance and follows ActionForward.
func (sim *simulation) request(n *simNode, key string) Decision {
	for range 3 {
		if n == nil || !n.up() {
			return Decision{Action: ActionUnknown}
		}
		d, err := n.begin(key)
		if err != nil {
			return Decision{}
		}
		if d.Action == ActionRun {
			sim.attempts = append(sim.attempts, &attempt{key: key, node: n, run: d.Run})
		}
		if d.Action == ActionRecorded {
			assert.Equal(sim.t, string(d.Response.Body), key)
			assert.Assert(sim.t, sim.runs[key] > 0)
		}
		if d.Action != ActionForward {
			return d
		}
		n = sim.node(d.To)
	}
	return Decision{Action: ActionUnknown}
}

func (sim *simulation) pick(label string) *simNode { return sim.nodes[sim.draw(label, len(sim.nodes))] }

// pickAttempt returns a random unfinished attempt, nil when its process is not able to continue it.
func (sim *simulation) pickAttempt() *attempt {
	if len(sim.attempts) == 0 {
		return nil
	}
	a := sim.attempts[sim.draw("run", len(sim.attempts))]
	if a.ended || a.node.frozen || a.run.keys != a.node.Keys || a.node.dead {
		return nil
	}
	return a
}

// dispatch sends the request to the minion, unless it was sent.
func (a *attempt) dispatch() {
	if a != nil && !a.dispatched {
		a.dispatched = true
		a.node.sim.runs[a.key]++
	}
}

// finish ends the run with the outcome of the attempt. lost means that its outcome is unknown.
func (a *attempt) finish(lost bool) {
	if a == nil {
		return
	}
	a.ended = true
	switch {
	case lost:
		a.run.Unknown()
	case a.dispatched:
		a.run.Answered(&Response{Body: []byte(a.key)})
	default:
		a.run.NotRun()
	}
}

// step performs one random action.
func (sim *simulation) step() {
	switch n, action := sim.pick("instance"), sim.draw("action", 24); {
	case action < 3:
		sim.issue(n)
	case action < 10:
		if len(sim.keys) > 0 {
			sim.request(n, sim.keys[max(0, len(sim.keys)-1-sim.draw("key", 8))])
		}
	case action < 13:
		sim.pickAttempt().dispatch()
	case action < 16:
		sim.pickAttempt().finish(sim.draw("lost", 3) == 0)
	case action < 17:
		n.dead = !n.dead
		if !n.dead {
			n.restart(n.config.Self.Incarnation + 1)
		}
	case action < 19:
		n.frozen = !n.frozen
	case action < 20:
		if n.up() {
			n.startHandover()
		}
	case action < 22:
		sim.advanceTime()
		n.skew = time.Duration(sim.draw("skew in ms", 5000)) * time.Millisecond
	default:
		sim.deliverCalls()
	}
}

func (sim *simulation) issue(n *simNode) {
	if !n.up() {
		return
	}
	if keys, _, err := n.Issue(customer, service, 1); err == nil {
		sim.keys = append(sim.keys, keys...)
	}
}

// advanceTime advances the virtual clock, sometimes to about the expiry of a key, and drops expired records.
func (sim *simulation) advanceTime() {
	waits := []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, time.Second, time.Minute, defaultLifetime - time.Second}
	sim.now = sim.now.Add(waits[sim.draw("wait", len(waits))])
	for _, n := range sim.nodes {
		if n.up() {
			n.sweep()
		}
	}
}

// deliverCalls delivers one delayed call and exchanges successions between random instances.
func (sim *simulation) deliverCalls() {
	if len(sim.delayedCalls) > 0 {
		sim.delayedCalls[sim.draw("late call", len(sim.delayedCalls))]()
	}
	for _, n := range sim.nodes {
		sim.pick("listener").mergeSuccessions(n.successions())
	}
}

// startHandover hands over to the first instance that accepts, starting with a random one.
func (n *simNode) startHandover() {
	first := n.sim.draw("candidate", len(n.sim.nodes))
	var candidates []structs.InstanceID
	for i := range n.sim.nodes {
		candidates = append(candidates, n.sim.nodes[(first+i)%len(n.sim.nodes)].id)
	}
	_, _ = n.Handover(context.Background(), candidates)
}

// check fails when a key ran more than once.
func (sim *simulation) check() {
	for i, key := range sim.keys {
		assert.Assert(sim.t, sim.runs[key] <= 1, "key %d ran %d times", i, sim.runs[key])
	}
}
