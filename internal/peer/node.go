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

// Limits on connections and calls.
const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	frameTimeout     = 10 * time.Second // for one frame, from its first to its last byte
	idleTimeout      = time.Minute      // time without frames or calls after which a connection is closed
	defaultCallTime  = 10 * time.Second // for a call whose context has no deadline
	maxCallTime      = 2 * time.Minute  // for any call
	// redialDelay is the time after a failed dial in which calls fail with its error, and the delay after a failed Accept.
	redialDelay = 100 * time.Millisecond

	maxInboundConns   = 4096 // connections, outbound ones included, above which an inbound one is refused
	maxHandshakes     = 128  // connections that have not yet proved possession of a key
	handshakeRate     = 500  // handshakes per second; one takes about 0.2 ms of CPU time
	handshakeBurst    = 256
	maxRunningControl = 512      // calls of one control connection that run at the same time
	maxRunningBulk    = 64       // calls of one bulk connection that run at the same time
	maxPendingCalls   = 4096     // calls of one outbound connection that wait for an answer
	maxInboundBytes   = 96 << 20 // memory for large requests that are being received or handled
	largeFrameBytes   = 64 << 10 // size above which a frame counts against maxInboundBytes
	bulkConnections   = 4        // bulk connections to one peer
	maxKindBytes      = 64       // length of the name of a kind of call
)

// Config configures a node.
type Config struct {
	Self structs.InstanceID
	Keys *KeyRing
	// Resolve returns the host:port at which an instance listens for peers, false when it is not known.
	Resolve func(structs.InstanceID) (string, bool)
	// BulkKinds lists kinds of calls whose request or answer may exceed MaxControlBytes, in addition to knownBulkKinds.
	BulkKinds []string
	Events    *event.Log
	Scope     tally.Scope
}

// knownBulkKinds are the kinds of calls that carry bodies, snapshots or whole tables.
var knownBulkKinds = []string{
	"router.forward", "configuration.fetch", "idempotency.handover", "rackowner.attach", "rackowner.changes",
}

// Node is one instance's end of the peer protocol. It implements Caller and Registrar.
type Node struct {
	config    Config
	tls       *tls.Config
	handlers  map[string]Handler
	bulkKinds map[string]bool
	metrics   nodeMetrics

	ctx    context.Context // ends when the node closes
	cancel context.CancelFunc
	tasks  sync.WaitGroup // every goroutine of the node

	mu           sync.Mutex
	closed       bool
	links        map[linkKey]*link
	conns        map[net.Conn]struct{}
	nextBulkSlot atomic.Uint64 // counter that spreads calls over the bulk connections

	timeouts          timeouts
	runningHandshakes chan struct{}
	handshakeLimiter  *rate.Limiter // limits the rate of inbound handshakes
	inboundMemory     *semaphore.Weighted
	eventLimiter      *rate.Limiter // limits events that unauthenticated peers can cause
}

// timeouts holds handshakeTimeout, frameTimeout and idleTimeout. Tests use shorter ones.
type timeouts struct{ handshake, frame, idle time.Duration }

type nodeMetrics struct {
	calls, notSent, failed, handled, refused, rejected tally.Counter
	latency                                            tally.Timer
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
		config:            config,
		tls:               tlsConfig,
		handlers:          make(map[string]Handler),
		bulkKinds:         make(map[string]bool),
		metrics:           newNodeMetrics(config.Scope.SubScope("peer")),
		ctx:               ctx,
		cancel:            cancel,
		links:             make(map[linkKey]*link),
		conns:             make(map[net.Conn]struct{}),
		timeouts:          timeouts{handshakeTimeout, frameTimeout, idleTimeout},
		runningHandshakes: make(chan struct{}, maxHandshakes),
		handshakeLimiter:  rate.NewLimiter(handshakeRate, handshakeBurst),
		inboundMemory:     semaphore.NewWeighted(maxInboundBytes),
		eventLimiter:      rate.NewLimiter(1, 5),
	}
	for _, kind := range append(knownBulkKinds, config.BulkKinds...) {
		n.bulkKinds[kind] = true
	}
	return n, nil
}

func newNodeMetrics(scope tally.Scope) nodeMetrics {
	return nodeMetrics{
		calls:    scope.Counter("calls"),
		notSent:  scope.Counter("calls_not_sent"),
		failed:   scope.Counter("calls_failed"),
		handled:  scope.Counter("calls_handled"),
		refused:  scope.Counter("calls_refused"),
		rejected: scope.Counter("connections_rejected"),
		latency:  scope.Timer("call_latency"),
	}
}

// Handle registers the handler of one kind of call. It panics if the kind is empty, too long or already registered.
func (n *Node) Handle(kind string, handler Handler) {
	if _, taken := n.handlers[kind]; taken || kind == "" || len(kind) > maxKindBytes {
		panic(fmt.Sprintf("kind of call %q is empty, too long or registered twice", kind))
	}
	n.handlers[kind] = handler
}

// Serve accepts connections until ctx ends. Then it closes the listener and all connections and waits for the node's
// goroutines. Other instances conclude from a refused connection that this process has ended, so end ctx only when
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
			wait.For(ctx, redialDelay)
			continue
		}
		n.accept(conn)
	}
}

// temporary reports whether a later Accept may succeed, for example after the process ran out of file descriptors.
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

// runHandler calls the handler of a request and returns its encoded answer. A panic of the handler becomes an error.
func (n *Node) runHandler(ctx context.Context, from structs.InstanceID, kind string, payload []byte) (answer []byte, err error) {
	handler, known := n.handlers[kind]
	if !known {
		return nil, errkind.New(errkind.NotFound, "run the same version on every instance", "kind of call %.64q is not known here", kind)
	}
	defer func() {
		if cause := recover(); cause != nil {
			n.config.Events.Emit(eventHandlerPanic, event.F("kind", kind), event.F("panic", cause), event.F("stack", string(debug.Stack())))
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
