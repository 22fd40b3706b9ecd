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

var keyA = peer.SharedKey{ID: "a", Secret: []byte("0123456789abcdef")}
var keyB = peer.SharedKey{ID: "b", Secret: []byte("fedcba9876543210"), UseFrom: time.Unix(1000, 0)}

// addressBook resolves the addresses of the nodes for each other.
type addressBook struct {
	mu        sync.Mutex
	addresses map[structs.InstanceID]string
}

func (book *addressBook) resolve(id structs.InstanceID) (string, bool) {
	book.mu.Lock()
	defer book.mu.Unlock()
	address, known := book.addresses[id]
	return address, known
}

func (book *addressBook) set(id structs.InstanceID, address string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	if book.addresses == nil {
		book.addresses = make(map[structs.InstanceID]string)
	}
	book.addresses[id] = address
}

// start runs a node until the test ends; stop ends it earlier.
func (book *addressBook) start(t testing.TB, id structs.InstanceID, setup func(*peer.Node), keys ...peer.SharedKey) (node *peer.Node, stop func()) {
	t.Helper()
	ring, err := peer.NewKeyRing(keys, nil)
	assert.NilError(t, err)
	node, err = peer.New(peer.Config{Self: id, Keys: ring, Resolve: book.resolve})
	assert.NilError(t, err)
	if setup != nil {
		setup(node)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	book.set(id, listener.Addr().String())
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

type payload struct{ Value string }

func echo(node *peer.Node) {
	node.Handle("echo", func(_ context.Context, from structs.InstanceID, decode func(any) error) (any, error) {
		var request payload
		if err := decode(&request); err != nil {
			return nil, err
		}
		return payload{string(from) + ":" + request.Value}, nil
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
		var request payload
		return &request, decode(&request)
	})
}

// Guards against an answer that reaches the wrong call, and against remote errors that lose their kind or claim wrongly
// that the request was not sent.
func TestCallsAndTypedErrors(t *testing.T) {
	var book addressBook
	a, _ := book.start(t, "a", echo, keyA)
	book.start(t, "b", echo, keyA)
	ctx := withTimeout(t, 10*time.Second)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			var answer payload
			value := strings.Repeat("x", i)
			assert.Check(t, a.Call(ctx, "b", "echo", payload{value}, &answer))
			assert.Check(t, answer.Value == "a:"+value)
		})
	}
	group.Wait()
	for _, to := range []structs.InstanceID{"a", "b"} {
		err := a.Call(ctx, to, "fail", nil, nil)
		assert.Assert(t, errkind.Is(err, errkind.LostRace), "%v", err)
		assert.Assert(t, errkind.Is(a.Call(ctx, to, "panic", nil, nil), errkind.Internal))
		assert.Assert(t, errkind.Is(a.Call(ctx, to, "nothing", nil, nil), errkind.NotFound))
		assert.Assert(t, !errors.Is(err, peer.ErrNotSent), "ErrNotSent of the handler's own call must not reach the caller")
	}
	var body payload
	large := strings.Repeat("y", structs.MaxBodyBytes)
	assert.NilError(t, a.Call(ctx, "b", "router.forward", payload{large}, &body))
	assert.Assert(t, body.Value == large)
	assert.Assert(t, errors.Is(a.Call(ctx, "b", "echo", payload{large}, nil), peer.ErrNotSent), "too large for a control connection")
}

// Guards against ErrNotSent when the receiver may have acted, against ErrPeerGone when its process may resume, and
// against these errors being absent when they apply, which would prevent a retry.
func TestErrNotSentAndErrPeerGone(t *testing.T) {
	var book addressBook
	a, _ := book.start(t, "a", echo, keyA)
	_, stop := book.start(t, "b", echo, keyA)
	assert.NilError(t, a.Call(withTimeout(t, 5*time.Second), "b", "echo", payload{}, nil)) // establishes the connection
	err := a.Call(withTimeout(t, 50*time.Millisecond), "b", "wait", nil, nil)
	assert.Assert(t, errkind.Is(err, errkind.Deadline), "%v", err)
	assert.Assert(t, !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrPeerGone), "%v", err)

	stop()
	for range 100 { // a call on a connection that was just closed may have been sent
		err = a.Call(withTimeout(t, time.Second), "b", "echo", payload{}, nil)
		if errors.Is(err, peer.ErrNotSent) {
			break
		}
		assert.Assert(t, errkind.Is(err, errkind.Unknown), "%v", err)
	}
	assert.Assert(t, errors.Is(err, peer.ErrNotSent) && errors.Is(err, peer.ErrPeerGone), "%v", err)
	err = a.Call(withTimeout(t, time.Second), "c", "echo", payload{}, nil)
	assert.Assert(t, errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrPeerGone), "%v", err)

	frozen, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts, the process never answers
	assert.NilError(t, err)
	defer frozen.Close()
	book.set("d", frozen.Addr().String())
	err = a.Call(withTimeout(t, 100*time.Millisecond), "d", "echo", payload{}, nil)
	assert.Assert(t, errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrPeerGone), "%v", err)
}

// Guards against serving peers without a listed key or connections meant for another instance, and against a key
// rotation during which instances refuse each other.
func TestKeysAndUnauthenticatedPeers(t *testing.T) {
	var book addressBook
	old, _ := book.start(t, "old", echo, keyA)
	both, _ := book.start(t, "both", echo, keyA, keyB) // uses key b, accepts both
	fresh, _ := book.start(t, "fresh", echo, keyB)
	stranger, _ := book.start(t, "stranger", echo, peer.SharedKey{ID: "a", Secret: []byte("not the same key")})
	ctx := withTimeout(t, 10*time.Second)
	assert.NilError(t, fresh.Call(ctx, "both", "echo", payload{}, nil))
	assert.NilError(t, both.Call(ctx, "fresh", "echo", payload{}, nil))
	for _, c := range []struct {
		from *peer.Node
		to   structs.InstanceID
	}{{old, "fresh"}, {fresh, "old"}, {stranger, "both"}, {old, "stranger"}, {both, "old"}} {
		err := c.from.Call(ctx, c.to, "echo", payload{}, nil)
		assert.Assert(t, errors.Is(err, peer.ErrNotSent), "%s: %v", c.to, err)
		assert.Assert(t, !errors.Is(err, peer.ErrPeerGone))
	}
	address, _ := book.resolve("fresh")
	book.set("somebody", address)
	assert.Assert(t, errors.Is(fresh.Call(ctx, "somebody", "echo", payload{}, nil), peer.ErrNotSent))
}
