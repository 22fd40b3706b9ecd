package peer_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var secretA = peer.SharedKey{ID: "a", Secret: []byte("0123456789abcdef")}
var secretB = peer.SharedKey{ID: "b", Secret: []byte("fedcba9876543210"), UseFrom: time.Unix(1000, 0)}

// network gives nodes each other's addresses.
type network struct {
	mu        sync.Mutex
	addresses map[structs.InstanceID]string
}

func (w *network) resolve(id structs.InstanceID) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	address, known := w.addresses[id]
	return address, known
}

func (w *network) set(id structs.InstanceID, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addresses == nil {
		w.addresses = make(map[structs.InstanceID]string)
	}
	w.addresses[id] = address
}

// start runs a node until the test ends; stop ends it earlier.
func (w *network) start(t testing.TB, id structs.InstanceID, setup func(*peer.Node), keys ...peer.SharedKey) (node *peer.Node, stop func()) {
	t.Helper()
	ring, err := peer.NewKeyRing(keys, nil)
	assert.NilError(t, err)
	node, err = peer.New(peer.Config{Self: id, Keys: ring, Resolve: w.resolve})
	assert.NilError(t, err)
	if setup != nil {
		setup(node)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w.set(id, listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Serve(ctx, listener) }()
	stop = sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-ended)
	})
	t.Cleanup(stop)
	return node, stop
}

func withTimeout(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

type text struct{ Value string }

func echo(node *peer.Node) {
	node.Handle("echo", func(_ context.Context, from structs.InstanceID, decode func(any) error) (any, error) {
		var request text
		if err := decode(&request); err != nil {
			return nil, err
		}
		return text{string(from) + ":" + request.Value}, nil
	})
	node.Handle("fail", func(context.Context, structs.InstanceID, func(any) error) (any, error) {
		return nil, errkind.Wrap(peer.ErrNotSent, errkind.LostRace, "read it again", "somebody else was first")
	})
	node.Handle("panic", func(context.Context, structs.InstanceID, func(any) error) (any, error) { panic("fault") })
	node.Handle("wait", func(ctx context.Context, _ structs.InstanceID, _ func(any) error) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	node.Handle("router.forward", func(_ context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var request text
		return &request, decode(&request)
	})
}

// Guards against an answer that reaches another call, and against remote errors that lose their type or that claim by
// mistake that the request was not sent.
func TestCallsAndTypedErrors(t *testing.T) {
	var w network
	a, _ := w.start(t, "a", echo, secretA)
	w.start(t, "b", echo, secretA)
	ctx := withTimeout(t, 10*time.Second)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			var answer text
			value := strings.Repeat("x", i)
			assert.Check(t, a.Call(ctx, "b", "echo", text{value}, &answer))
			assert.Check(t, answer.Value == "a:"+value)
		})
	}
	group.Wait()
	for _, to := range []structs.InstanceID{"a", "b"} {
		err := a.Call(ctx, to, "fail", nil, nil)
		assert.Assert(t, errkind.Is(err, errkind.LostRace), "%v", err)
		assert.Assert(t, errkind.Is(a.Call(ctx, to, "panic", nil, nil), errkind.Internal))
		assert.Assert(t, errkind.Is(a.Call(ctx, to, "nothing", nil, nil), errkind.NotFound))
		assert.Assert(t, !errors.Is(err, peer.ErrNotSent), "the handler's error says nothing about this call")
	}
	var body text
	large := strings.Repeat("y", structs.MaxBodyBytes)
	assert.NilError(t, a.Call(ctx, "b", "router.forward", text{large}, &body))
	assert.Assert(t, body.Value == large)
	assert.Assert(t, errors.Is(a.Call(ctx, "b", "echo", text{large}, nil), peer.ErrNotSent), "too large for a control connection")
}

// Guards against an error that says "not sent" or "gone" when the receiver may have acted or may wake up, and against
// the opposite error, which would keep a request from being retried.
func TestErrNotSentAndErrPeerGone(t *testing.T) {
	var w network
	a, _ := w.start(t, "a", echo, secretA)
	_, stop := w.start(t, "b", echo, secretA)
	assert.NilError(t, a.Call(withTimeout(t, 5*time.Second), "b", "echo", text{}, nil)) // connects
	err := a.Call(withTimeout(t, 50*time.Millisecond), "b", "wait", nil, nil)
	assert.Assert(t, errkind.Is(err, errkind.Deadline), "%v", err)
	assert.Assert(t, !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrPeerGone), "%v", err)

	stop()
	for range 100 { // a call on a connection that was just closed may have been sent
		err = a.Call(withTimeout(t, time.Second), "b", "echo", text{}, nil)
		if errors.Is(err, peer.ErrNotSent) {
			break
		}
		assert.Assert(t, errkind.Is(err, errkind.Unknown), "%v", err)
	}
	assert.Assert(t, errors.Is(err, peer.ErrNotSent) && errors.Is(err, peer.ErrPeerGone), "%v", err)
	err = a.Call(withTimeout(t, time.Second), "c", "echo", text{}, nil)
	assert.Assert(t, errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrPeerGone), "%v", err)

	frozen, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts, the process never answers
	assert.NilError(t, err)
	defer frozen.Close()
	w.set("d", frozen.Addr().String())
	err = a.Call(withTimeout(t, 100*time.Millisecond), "d", "echo", text{}, nil)
	assert.Assert(t, errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrPeerGone), "%v", err)
}

// Guards against strangers, holders of a retired key and misdirected connections being served, and against a rotation
// during which instances refuse one another.
func TestKeysAndStrangers(t *testing.T) {
	var w network
	old, _ := w.start(t, "old", echo, secretA)
	both, _ := w.start(t, "both", echo, secretA, secretB) // uses b, accepts both
	fresh, _ := w.start(t, "fresh", echo, secretB)
	stranger, _ := w.start(t, "stranger", echo, peer.SharedKey{ID: "a", Secret: []byte("not the same key")})
	ctx := withTimeout(t, 10*time.Second)
	assert.NilError(t, fresh.Call(ctx, "both", "echo", text{}, nil))
	assert.NilError(t, both.Call(ctx, "fresh", "echo", text{}, nil))
	for _, c := range []struct {
		from *peer.Node
		to   structs.InstanceID
	}{{old, "fresh"}, {fresh, "old"}, {stranger, "both"}, {old, "stranger"}, {both, "old"}} {
		err := c.from.Call(ctx, c.to, "echo", text{}, nil)
		assert.Assert(t, errors.Is(err, peer.ErrNotSent), "%s: %v", c.to, err)
		assert.Assert(t, !errors.Is(err, peer.ErrPeerGone))
	}
	address, _ := w.resolve("fresh")
	w.set("somebody", address)
	assert.Assert(t, errors.Is(fresh.Call(ctx, "somebody", "echo", text{}, nil), peer.ErrNotSent))
}
