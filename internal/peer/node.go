package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Bounds of connections and calls.
const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	frameTimeout     = 10 * time.Second // for one frame, from its first byte to its last
	idleTimeout      = time.Minute      // without any frame
	defaultCallTime  = 10 * time.Second // of a call whose context has no deadline
	maxCallTime      = 2 * time.Minute
	redialPause      = 100 * time.Millisecond // after a failed dial, calls fail with its error

	maxInbound        = 4096 // connections from other instances
	maxHandshakes     = 128  // connections that have not yet proved a key
	handshakeRate     = 500  // a second; one costs about 0.2 ms of a core
	handshakeBurst    = 256
	maxRunningControl = 512 // calls of one inbound connection
	maxRunningBulk    = 64
	maxPending        = 4096     // calls of one outbound connection
	maxInboundBytes   = 96 << 20 // of large requests that are being received or handled
	largeFrame        = 64 << 10
	bulkConnections   = 4 // to one peer
	maxKindBytes      = 64
)

// Config is what a node needs.
type Config struct {
	Self structs.InstanceID
	Keys *KeyRing
	// Resolve returns the host:port at which an instance listens for peers, false when it is not known.
	Resolve func(structs.InstanceID) (string, bool)
	// BulkKinds names kinds of calls whose request or answer may exceed MaxControlBytes, besides the known ones.
	BulkKinds []string
	Events    *event.Log
	Scope     tally.Scope
}

// knownBulkKinds are the calls of the design page that carry bodies, snapshots or whole tables.
var knownBulkKinds = []string{
	"router.forward", "configuration.fetch", "idempotency.handover", "rackowner.attach", "rackowner.changes",
}

// Node is one instance's end of the peer protocol. It implements Caller and Registrar.
type Node struct {
	config   Config
	tls      *tls.Config
	handlers map[string]Handler
	bulk     map[string]bool
	metrics  nodeMetrics

	ctx    context.Context // ends when the node closes
	cancel context.CancelFunc
	tasks  sync.WaitGroup // every goroutine of the node

	mu     sync.Mutex
	closed bool
	links  map[linkKey]*link
	conns  map[net.Conn]struct{}
	next   atomic.Uint64 // spreads calls over the bulk connections

	timeouts     timeouts
	handshakes   chan struct{}
	dials        *rate.Limiter // of inbound handshakes
	inboundBytes *semaphore.Weighted
	reports      *rate.Limiter // of events that strangers can cause
}

// timeouts holds the constants of the same names; tests shorten them.
type timeouts struct{ handshake, frame, idle time.Duration }

type nodeMetrics struct {
	calls, notSent, failed, handled, refused, strangers tally.Counter
	latency                                             tally.Timer
}

// New returns a node. Register the handlers, then call Serve.
func New(config Config) (*Node, error) {
	if config.Self == "" || config.Keys == nil || config.Resolve == nil {
		return nil, errkind.New(errkind.Invalid, "report this", "peer node needs a name, keys and a resolver")
	}
	if config.Events == nil {
		config.Events = event.Discard()
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	tlsConfig, err := newTLSConfig(time.Now())
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report this", "cannot make a certificate")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		config:       config,
		tls:          tlsConfig,
		handlers:     make(map[string]Handler),
		bulk:         make(map[string]bool),
		metrics:      newNodeMetrics(config.Scope.SubScope("peer")),
		ctx:          ctx,
		cancel:       cancel,
		links:        make(map[linkKey]*link),
		conns:        make(map[net.Conn]struct{}),
		timeouts:     timeouts{handshakeTimeout, frameTimeout, idleTimeout},
		handshakes:   make(chan struct{}, maxHandshakes),
		dials:        rate.NewLimiter(handshakeRate, handshakeBurst),
		inboundBytes: semaphore.NewWeighted(maxInboundBytes),
		reports:      rate.NewLimiter(1, 5),
	}
	for _, kind := range append(knownBulkKinds, config.BulkKinds...) {
		n.bulk[kind] = true
	}
	return n, nil
}

func newNodeMetrics(scope tally.Scope) nodeMetrics {
	return nodeMetrics{
		calls:     scope.Counter("calls"),
		notSent:   scope.Counter("calls_not_sent"),
		failed:    scope.Counter("calls_failed"),
		handled:   scope.Counter("calls_handled"),
		refused:   scope.Counter("calls_refused"),
		strangers: scope.Counter("connections_rejected"),
		latency:   scope.Timer("call_latency"),
	}
}

// Handle registers the handler of one kind of call. It panics when the kind is taken or its name is too long.
func (n *Node) Handle(kind string, handler Handler) {
	if _, taken := n.handlers[kind]; taken || kind == "" || len(kind) > maxKindBytes {
		panic(fmt.Sprintf("kind of call %q is empty, too long or registered twice", kind))
	}
	n.handlers[kind] = handler
}

// Serve accepts connections until ctx ends, then closes all connections and waits for the node's goroutines. The
// listener closes with it, and a refused connection tells the others that this process is gone: end ctx only when
// the process no longer uses anything that another instance may take over.
func (n *Node) Serve(ctx context.Context, listener net.Listener) error {
	defer n.Close()
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	defer listener.Close()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if !temporary(err) {
				return errkind.Wrap(err, errkind.Internal, "check peer_listen", "cannot accept peer connections")
			}
			wait.For(ctx, redialPause)
			continue
		}
		n.accept(conn)
	}
}

// temporary reports whether accepting may work again, for example after running out of file descriptors.
func temporary(err error) bool { return !errors.Is(err, net.ErrClosed) }

// Close closes all connections, ends running handlers' contexts and waits for the node's goroutines.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	for conn := range n.conns {
		conn.Close()
	}
	n.mu.Unlock()
	n.cancel()
	n.tasks.Wait()
}

// spawn runs task in a goroutine that Close waits for. It reports false once the node is closed.
func (n *Node) spawn(task func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		task()
	}()
	return true
}

// track makes Close close conn. It reports false once the node is closed.
func (n *Node) track(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[conn] = struct{}{}
	return true
}

func (n *Node) untrack(conn net.Conn) {
	conn.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

// run calls the handler of a request and returns its encoded answer.
func (n *Node) run(ctx context.Context, from structs.InstanceID, kind string, payload []byte) (answer []byte, err error) {
	handler, known := n.handlers[kind]
	if !known {
		return nil, errkind.New(errkind.NotFound, "run the same version on every instance", "kind of call %.64q is not known here", kind)
	}
	defer func() {
		if cause := recover(); cause != nil {
			n.config.Events.Emit(eventPanic, event.F("kind", kind), event.F("panic", cause), event.F("stack", string(debug.Stack())))
			err = errkind.New(errkind.Internal, "report this", "handler of %s panicked", kind)
		}
	}()
	n.metrics.handled.Inc(1)
	decode := func(into any) error {
		if err := decodeValue(payload, into); err != nil {
			return errkind.Wrap(err, errkind.Invalid, "run the same version on every instance", "request %s is malformed", kind)
		}
		return nil
	}
	value, err := handler(ctx, from, decode)
	if err != nil {
		return nil, err
	}
	return encodePayload(value)
}
