package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

var testKey = SharedKey{ID: "a", Secret: []byte("0123456789abcdef")}

// startPair starts a server, whose address it returns, and a client that resolves every instance to address.
func startPair(t testing.TB, limits timeouts, setup ...func(server *Node)) (server, client *Node, address *atomic.Value) {
	t.Helper()
	address = &atomic.Value{}
	for _, n := range []struct {
		id   structs.InstanceID
		node **Node
	}{{"server", &server}, {"client", &client}} {
		keys, err := NewKeyRing([]SharedKey{testKey}, nil)
		assert.NilError(t, err)
		*n.node, err = New(Config{
			Self: n.id, Keys: keys,
			Resolve: func(structs.InstanceID) (string, bool) { return address.Load().(string), true },
		})
		assert.NilError(t, err)
		t.Cleanup((*n.node).Close)
	}
	server.timeouts = limits
	server.Handle("echo", func(_ context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var value any
		return value, decode(&value)
	})
	for _, f := range setup {
		f(server)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address.Store(listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return server, client, address
}

var defaultTimeouts = timeouts{handshakeTimeout, frameTimeout, idleTimeout}

func call(t testing.TB, client *Node, d time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return client.Call(ctx, "server", "echo", "x", nil)
}

// nested encodes arrays nested to a depth.
func nested(depth int) []byte { return append(bytes.Repeat([]byte{0x91}, depth), 0xc0) }

// framed puts the length of data in front of it.
func framed(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// Guards against frames that crash the decoder, make it allocate far more than was sent or are accepted although they
// are malformed, and against refusing a field of a later version.
func TestFrames(t *testing.T) {
	for name, data := range map[string][]byte{
		"nested too deeply":    nested(9 << 20),
		"array without values": {0xdd, 0xff, 0xff, 0xff, 0xff},
		"map without values":   {0xdf, 0x7f, 0xff, 0xff, 0xff, 0xc0},
		"text cut short":       {0xdb, 0xff, 0xff, 0xff, 0xff, 'x'},
		"bytes cut short":      {0xc6, 0x00, 0x00, 0x00, 0x05, 'x'},
		"two values":           {0xc0, 0xc0},
		"nothing":              {},
		"reserved code":        {0xc1},
	} {
		var value any
		assert.Assert(t, decodeValue(data, &value) != nil, name)
	}
	var value any
	assert.NilError(t, decodeValue(nested(codec.MaxDepth), &value))
	later, err := msgpack.Marshal(map[string]any{"v": 1, "i": 7, "zz": []any{map[string]int{"x": 1}}})
	assert.NilError(t, err)
	var m message
	assert.NilError(t, decodeValue(later, &m))
	assert.Equal(t, m.ID, uint64(7))

	_, err = readFrame(bytes.NewReader(framed(make([]byte, 101))), 100)
	assert.Assert(t, errors.Is(err, errFrameTooLarge))
	short := append(binary.BigEndian.AppendUint32(nil, MaxBulkBytes), 1, 2, 3)
	allocated := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			_, err = readFrame(bytes.NewReader(short), MaxBulkBytes)
		}
	}).AllocedBytesPerOp()
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	assert.Assert(t, allocated < 2*readChunkBytes, "%d bytes were allocated for a frame of 3 bytes that announces 9 MiB", allocated)
}

// Guards against damage by an authenticated peer that sends malformed, oversized, slow or unknown messages.
func TestHostilePeer(t *testing.T) {
	_, client, _ := startPair(t, timeouts{time.Second, 100 * time.Millisecond, time.Minute})
	open := func() *session {
		s, err := client.connect(linkKey{to: "server"})
		assert.NilError(t, err)
		t.Cleanup(func() { client.untrack(s.rawConn) })
		assert.NilError(t, s.conn.SetDeadline(time.Now().Add(5*time.Second)))
		return s
	}
	answer := func(s *session, m message) *message {
		frame, err := encodeFrame(m, MaxControlBytes)
		assert.NilError(t, err)
		_, err = s.conn.Write(frame)
		assert.NilError(t, err)
		data, err := readFrame(s.reader, MaxControlBytes)
		assert.NilError(t, err)
		var received message
		assert.NilError(t, decodeValue(data, &received))
		return &received
	}
	withDeadline := func(m message) message {
		m.setDeadline(time.Now().Add(time.Second), time.Now())
		return m
	}
	s := open()
	assert.Equal(t, answer(s, withDeadline(message{Version: 2, ID: 1, Kind: "echo"})).Error.Code, errkind.Invalid.Code)
	assert.Equal(t, answer(s, withDeadline(message{Version: 1, ID: 2, Kind: "nothing"})).Error.Code, errkind.NotFound.Code)
	deep := answer(s, withDeadline(message{Version: 1, ID: 3, Kind: "echo", Payload: nested(500_000)}))
	assert.Equal(t, deep.Error.Code, errkind.Invalid.Code)
	assert.Equal(t, answer(s, message{Version: 1, ID: 4, Kind: "echo", Remaining: 1e6}).Error.Code, errkind.Deadline.Code)

	for name, data := range map[string][]byte{
		"oversized": {0xff, 0xff, 0xff, 0xff},
		"malformed": framed([]byte("\xc1\xc1")),
		"slow":      {0, 0, 0, 100, 1, 2, 3},
	} {
		s := open()
		_, err := s.conn.Write(data)
		assert.NilError(t, err)
		_, err = s.conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded), name)
		var timeout net.Error
		assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "%s: the connection stayed open", name)
	}
	assert.NilError(t, call(t, client, 5*time.Second))
}

// Guards against unauthenticated connections that stay open, send garbage or complete TLS without a proof, and so keep
// peers from connecting.
func TestUnauthenticatedConnections(t *testing.T) {
	server, client, address := startPair(t, timeouts{200 * time.Millisecond, time.Second, time.Minute})
	target := address.Load().(string)
	var strangers []net.Conn
	for i := range 2 * maxHandshakes {
		conn, err := net.Dial("tcp", target)
		assert.NilError(t, err)
		defer conn.Close()
		if i%2 == 0 {
			_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		}
		strangers = append(strangers, conn)
	}
	for _, conn := range strangers {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := io.Copy(io.Discard, conn)
		var timeout net.Error
		assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "an unauthenticated connection stayed open")
	}
	assert.Equal(t, len(server.runningHandshakes), 0)
	conn, err := tls.Dial("tcp", target, &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write(framed(make([]byte, maxHelloBytes+1)))
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, conn)
	var timeout net.Error
	assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout())
	assert.NilError(t, call(t, client, 5*time.Second))
}

// Guards against a proof that is valid on another connection, when reflected to its sender, or for another name.
func TestProofIsBound(t *testing.T) {
	keys, err := NewKeyRing([]SharedKey{testKey}, nil)
	assert.NilError(t, err)
	h := hello{From: "a", To: "b"}
	h.sign(keys, []byte("connection 1"), roleDialer)
	assert.NilError(t, h.verify(keys, []byte("connection 1"), roleDialer))
	assert.Assert(t, h.verify(keys, []byte("connection 2"), roleDialer) != nil)
	assert.Assert(t, h.verify(keys, []byte("connection 1"), roleListener) != nil)
	for _, change := range []func(*hello){
		func(h *hello) { h.From = "c" }, func(h *hello) { h.To = "c" }, func(h *hello) { h.Class = classBulk },
		func(h *hello) { h.KeyID = "c" }, func(h *hello) { h.Proof = nil }, func(h *hello) { h.Version = 2 },
	} {
		changed := h
		change(&changed)
		assert.Assert(t, changed.verify(keys, []byte("connection 1"), roleDialer) != nil)
	}
}

// relay starts a proxy and replaces address by the proxy's. join connects each accepted connection with a new one to
// the old address.
func relay(t *testing.T, address *atomic.Value, join func(in, out net.Conn)) {
	target := address.Load().(string)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	address.Store(listener.Addr().String())
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			join(in, out)
		}
	}()
}

// Guards against calls that keep using a connection after a partition: TCP may retransmit on it only minutes later.
func TestCallsResumeAfterPartition(t *testing.T) {
	_, client, address := startPair(t, defaultTimeouts)
	var first, cut atomic.Bool
	relay(t, address, func(in, out net.Conn) {
		toServer := &droppingConn{Conn: out, dropping: &cut, enabled: first.CompareAndSwap(false, true)}
		go func() { _, _ = io.Copy(toServer, in); out.Close() }()
		go func() { _, _ = io.Copy(in, out); in.Close() }()
	})
	assert.NilError(t, call(t, client, time.Second))
	cut.Store(true)
	err := call(t, client, silenceLimit+100*time.Millisecond)
	assert.Assert(t, errkind.Is(err, errkind.Deadline) && !errors.Is(err, ErrNotSent), "%v", err)
	assert.NilError(t, call(t, client, time.Second), "a new connection must work")
}

// droppingConn discards what is written while dropping is set, if enabled.
type droppingConn struct {
	net.Conn
	dropping *atomic.Bool
	enabled  bool
}

func (c *droppingConn) Write(data []byte) (int, error) {
	if c.enabled && c.dropping.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// FuzzFrame guards against input that crashes the codec, or that it decodes but cannot encode again.
func FuzzFrame(f *testing.F) {
	request, err := encodeFrame(message{Version: 1, ID: 1, Kind: "echo", Payload: []byte{1}, Error: &wireError{Code: "x"}}, 1000)
	assert.NilError(f, err)
	greeting, err := encodeFrame(hello{Version: 1, From: "a", KeyID: "k", Proof: []byte{1}}, 1000)
	assert.NilError(f, err)
	for _, seed := range [][]byte{request, greeting, framed(nested(100)), framed([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}), {0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := readFrame(bytes.NewReader(data), maxHelloBytes)
		if err != nil {
			return
		}
		var greeting hello
		_ = decodeValue(body, &greeting)
		var value any
		_ = decodeValue(body, &value)
		var first, second message
		if decodeValue(body, &first) != nil {
			return
		}
		again, err := encodeFrame(first, 2*MaxControlBytes)
		assert.NilError(t, err)
		assert.NilError(t, decodeValue(again[headerBytes:], &second))
		last, err := encodeFrame(second, 2*MaxControlBytes)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, last)
	})
}

// Guards against ErrNotSent for a request that was sent in part, and against a receiver that does not read delaying its
// callers beyond their deadlines.
func TestReceiverThatDoesNotRead(t *testing.T) {
	server, client, address := startPair(t, defaultTimeouts)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	address.Store(listener.Addr().String())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = server.handshakeAsListener(conn)
		}
	}()
	s, err := client.connect(linkKey{to: "server", class: classBulk})
	assert.NilError(t, err)
	defer client.untrack(s.rawConn)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	started := time.Now()
	waiting := make(chan error, 1)
	go func() {
		time.Sleep(100 * time.Millisecond)
		_, err := s.call(ctx, "router.forward", nil)
		waiting <- err
	}()
	_, err = s.call(ctx, "router.forward", make([]byte, structs.MaxBodyBytes))
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%v", err)
	err = <-waiting
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	assert.Assert(t, time.Since(started) < 5*time.Second)
}

// Guards against a call that fails because its connection was closed as idle.
func TestIdleConnectionIsReplaced(t *testing.T) {
	_, client, _ := startPair(t, timeouts{time.Second, time.Second, 30 * time.Millisecond})
	for range 3 {
		assert.NilError(t, call(t, client, 5*time.Second))
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against ErrNotSent for a request that ran, and against a request that runs twice, when connections break at
// any byte.
func TestNotSentMeansNotRun(t *testing.T) {
	var ran sync.Map
	count := func(_ context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var id int
		err := decode(&id)
		times, _ := ran.LoadOrStore(id, &atomic.Int64{})
		times.(*atomic.Int64).Add(1)
		return id, err
	}
	_, client, address := startPair(t, defaultTimeouts, func(server *Node) { server.Handle("count", count) })
	random := rand.New(rand.NewPCG(1, 2))
	relay(t, address, func(in, out net.Conn) {
		toServer, toClient := random.Int64N(6000), random.Int64N(6000)
		go func() { _, _ = io.CopyN(out, in, toServer); out.Close(); in.Close() }()
		go func() { _, _ = io.CopyN(in, out, toClient); out.Close(); in.Close() }()
	})
	var group sync.WaitGroup
	var notSent, answered, unknown atomic.Int64
	for worker := range 8 {
		group.Go(func() {
			for i := range 150 {
				id := worker*1000 + i
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				var answer int
				err := client.Call(ctx, "server", "count", id, &answer)
				cancel()
				var count int64
				if times, has := ran.Load(id); has {
					count = times.(*atomic.Int64).Load()
				}
				switch {
				case err == nil:
					answered.Add(1)
					assert.Check(t, answer == id && count == 1, "%d ran %d times and was answered %d", id, count, answer)
				case errors.Is(err, ErrNotSent):
					notSent.Add(1)
					// Within redialDelay of a failed dial calls fail at once, so without a pause few connections would be tried.
					time.Sleep(10 * time.Millisecond)
					assert.Check(t, count == 0, "%d ran although it was not sent", id)
				default:
					unknown.Add(1)
					assert.Check(t, count <= 1)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d answered, %d not sent, %d with unknown outcome", answered.Load(), notSent.Load(), unknown.Load())
	assert.Assert(t, answered.Load() > 0 && notSent.Load() > 0 && unknown.Load() > 0)
}
