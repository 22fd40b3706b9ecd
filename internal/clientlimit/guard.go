package clientlimit

import (
	"bytes"
	"cmp"
	"context"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// What clients hold, in bytes of memory.
const (
	connectionBytes = 24 << 10 // goroutine, read and write buffers of net/http, structures of the kernel
	requestBytes    = 40 << 10 // of a request in progress: its context, response and what the kernel has received of the next ones
	headerFactor    = 24       // for each byte of a head; the worst are lines of 4 bytes, each with an entry in the map of fields
	fieldBytes      = 160      // for each field of a head that has been read
	valueBytes      = 32       // for each value of a field
	bodyFactor      = 2        // for each byte of a body, as buffers grow by doubling
	decodeFactor    = 16       // for each byte of a decoded body: the decoder's buffer and lists of numbers of one digit
)

// Choice of the connections to close.
const (
	// smallBytes is what a connection may hold without being closed for lack of memory. The limit of connections bounds these, so that
	// requests of ordinary size are served while large ones take the whole budget.
	smallBytes    = connectionBytes + 16<<10
	pendingWeight = 16          // of the age of a connection without a complete request; an idle one has weight 1
	unreadAfter   = time.Second // from which on a response that is not read makes its connection a candidate
	// graceTime is the weighted age, in units of pendingWeight, below which connections are not closed for new ones, which wait in the kernel's queue
	// meanwhile: with 600 clients that open connections again and again, about one in ten ordinary callers was reset without it.
	graceTime  = 100 * time.Millisecond
	burstPause = 10 * time.Second // without refusals, after which the next refusal starts a new burst
)

// Reasons for which a request is refused or a connection closed, in metrics and log lines.
const (
	reasonHeaderBytes = "header bytes"
	reasonHeaderTime  = "header time"
	reasonBodyTime    = "body time"
	reasonUnread      = "response not read"
	reasonMemory      = "memory"
	reasonConnections = "connections"
	reasonDecoding    = "decoding"
	reasonAccept      = "accept"
)

var eventLimited = event.Define(2900, "clients limited", zerolog.WarnLevel,
	"A client was refused or its connection closed because of a limit. Further ones are counted, not logged, until there was none for 10 s; earlier is the number of the burst before.",
	"Look at the metric client_refusals by reason. If ordinary callers are affected, raise the limit or add instances.")

// phase is what a connection is doing.
type phase int

const (
	phaseHead   phase = iota // the first request is awaited, or a head is being read
	phaseBody                // a body is being read, or what a handler left of it
	phaseAnswer              // the request is being answered, and no more of it is waited for
	phaseIdle                // between two requests
)

// Operator holds the limits of the operator's configuration. They raise the settings where they are larger.
type Operator struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Slack beyond the operator's times, so that a client that uses them in full is not cut off by the time its bytes are under way.
const timeSlack = time.Second

// Guard bounds what the clients of a process hold. It is safe for concurrent use.
type Guard struct {
	limits  Limits
	events  *event.Log
	scope   tally.Scope
	decodes *semaphore.Weighted

	mu          sync.Mutex
	conns       map[*conn]struct{}
	used        int64 // bytes held by conns
	closing     int   // connections that were closed for a limit and whose goroutine has not ended yet
	closingHeld int64 // bytes that they still hold
	garbage     int64 // bytes that are no longer held and have not been collected, if the guard collects them
	collecting  bool
	strained    atomic.Bool // whether closed connections or garbage may hold something, so that reads must look
	headerBytes int64       // effective limit
	extraHeader time.Duration
	extraIdle   time.Duration
	lastRefusal time.Time
	burst       int // refusals of the present burst
}

// New returns a guard.
func New(limits Limits, events *event.Log, scope tally.Scope) *Guard {
	return &Guard{
		limits: limits, events: events, scope: scope, decodes: semaphore.NewWeighted(limits.DecodeBytes),
		conns: map[*conn]struct{}{}, headerBytes: int64(limits.HeaderBytes),
	}
}

// Limits returns the limits of the guard.
func (g *Guard) Limits() Limits { return g.limits }

// SetOperator puts the limits of the operator's configuration in force.
func (g *Guard) SetOperator(o Operator) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.headerBytes = int64(min(max(g.limits.HeaderBytes, o.HeaderBytes), MaxHeaderBytes))
	g.extraHeader = max(o.HeaderTimeout+timeSlack-g.limits.HeaderTimeout, 0)
	g.extraIdle = max(o.IdleTimeout+timeSlack-g.limits.IdleTimeout, 0)
}

// Configure adds the guard to a server that serves a listener of the guard. It replaces the server's handler and hooks.
func (g *Guard) Configure(s *http.Server) {
	s.Handler = g.handler(s.Handler)
	s.MaxHeaderBytes = MaxHeaderBytes // the connections have the effective limit
	s.ReadHeaderTimeout, s.IdleTimeout = g.limits.HeaderTimeout, g.limits.IdleTimeout
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.becomeIdle()
		}
	}
}

type connKey struct{}

// handler tells the connection when its request is complete, and bounds the time in which its body arrives.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.startAnswer(r.Header)
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		c.limitBodyTime()
		b := &body{ReadCloser: r.Body, conn: c}
		r.Body = b
		defer b.leave()
		next.ServeHTTP(w, r)
	})
}

// AcquireDecode reserves the memory for decoding a body of n bytes. It waits a short time for it, and reports false if there is none.
func (g *Guard) AcquireDecode(ctx context.Context, n int) (release func(), ok bool) {
	weight := min(int64(n)*decodeFactor, g.limits.DecodeBytes)
	if g.decodes.TryAcquire(weight) {
		return func() { g.decodes.Release(weight) }, true
	}
	ctx, cancel := context.WithTimeout(ctx, g.limits.BodyWait)
	defer cancel()
	if g.decodes.Acquire(ctx, weight) != nil {
		g.refuse(reasonDecoding, "")
		return nil, false
	}
	return func() { g.decodes.Release(weight) }, true
}

// Buffered returns a handler that runs at most n requests of next at a time and holds their responses in memory, so that clients that do not
// read them hold no more than the response's bytes. Requests that find no room within a second get 503.
func (g *Guard) Buffered(next http.Handler, n int64) http.Handler {
	slots := semaphore.NewWeighted(n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), time.Second)
		defer cancel()
		if slots.Acquire(ctx, 1) != nil {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		response := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		func() {
			defer slots.Release(1)
			next.ServeHTTP(response, r)
		}()
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.hold(int64(response.body.Cap()))
		}
		w.WriteHeader(response.status)
		_, _ = w.Write(response.body.Bytes()) // fails only if the client has closed the connection
	})
}

// bufferedResponse is a response that is held in memory.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// refuse counts a refusal, and logs the first one of a burst.
func (g *Guard) refuse(reason, port string) {
	g.scope.Tagged(map[string]string{"reason": reason, "port": port}).Counter("client_refusals").Inc(1)
	now := time.Now()
	g.mu.Lock()
	earlier, first := g.burst, now.Sub(g.lastRefusal) > burstPause
	g.lastRefusal = now
	if first {
		g.burst = 0
	}
	g.burst++
	connections, used := len(g.conns), g.used
	g.mu.Unlock()
	if first {
		g.events.Emit(eventLimited, event.F("reason", reason), event.F("port", port), event.F("connections", connections),
			event.F("held_bytes", used), event.F("earlier", earlier))
	}
}

// add counts a new connection. It returns false if there is no room for it.
func (g *Guard) add(c *conn) bool {
	g.mu.Lock()
	var victims []*conn
	if len(g.conns) >= g.limits.Connections {
		victims = g.choose(len(g.conns)-g.limits.Connections+1+g.limits.Connections/32, 0)
	}
	fits := len(g.conns) < g.limits.Connections
	if fits {
		g.conns[c] = struct{}{}
		c.since = time.Now()
		g.charge(c, connectionBytes)
		victims = append(victims, g.reduce()...)
	}
	open, used := len(g.conns), g.used
	g.mu.Unlock()
	g.scope.Gauge("client_connections").Update(float64(open))
	g.scope.Gauge("client_held_bytes").Update(float64(used))
	g.closeAll(victims)
	return fits
}

// charge adds to what a connection holds. g.mu must be held.
func (g *Guard) charge(c *conn, n int64) {
	if c.removed {
		return
	}
	c.held += n
	g.used += n
}

// reduce removes connections while they hold more than the budget, and returns them. g.mu must be held.
func (g *Guard) reduce() []*conn {
	if g.used <= g.limits.MemoryBytes {
		return nil
	}
	return g.choose(0, g.used-g.limits.MemoryBytes/8*7)
}

// choose removes the worst connections, at least count of them that hold at least bytes together if there are as many, and returns them.
// g.mu must be held.
func (g *Guard) choose(count int, bytes int64) []*conn {
	now := time.Now()
	type candidate struct {
		conn  *conn
		age   time.Duration // weighted
		score float64
	}
	var candidates []candidate
	for c := range g.conns {
		if age, ok := c.weightedAge(now); ok && (count > 0 || c.held > smallBytes) {
			candidates = append(candidates, candidate{c, age, float64(c.held) * age.Seconds()})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	var chosen []*conn
	for _, v := range candidates {
		if len(chosen) >= count && bytes <= 0 || count > 0 && len(chosen) > 0 && v.age < g.limits.Grace*pendingWeight {
			break
		}
		bytes -= v.conn.held
		v.conn.reason = reasonMemory
		if count > 0 {
			v.conn.reason = reasonConnections
		}
		g.remove(v.conn)
		chosen = append(chosen, v.conn)
	}
	return chosen
}

// remove takes a connection that is to be closed out of the account. What it holds counts as closing until its goroutine has ended.
// g.mu must be held.
func (g *Guard) remove(c *conn) {
	c.removed = true
	g.used -= c.held
	g.closing++
	g.closingHeld += c.held
	g.strained.Store(true)
	delete(g.conns, c)
}

// discard counts bytes that are no longer held, and starts a collection when there are many. g.mu must be held.
func (g *Guard) discard(bytes int64) {
	if !g.limits.Collect {
		return
	}
	g.garbage += bytes
	g.strained.Store(true)
	if g.collecting || g.garbage < g.limits.MemoryBytes/2 {
		return
	}
	g.collecting = true
	go func() {
		g.mu.Lock()
		before := g.garbage
		g.mu.Unlock()
		runtime.GC()
		g.mu.Lock()
		g.garbage -= before
		g.collecting = false
		g.mu.Unlock()
	}()
}

// awaitRoom delays a read while connections that were closed have not released what they hold. Otherwise a crowd that opens connections
// faster than the process can end them would exceed the budget.
func (g *Guard) awaitRoom(c *conn) {
	if p := c.in(); p == phaseAnswer || p == phaseIdle || !g.strained.Load() {
		return
	}
	for deadline := time.Now().Add(maxRoomWait); ; time.Sleep(closingPause) {
		g.mu.Lock()
		full := !c.removed && g.used+g.closingHeld+g.garbage > g.limits.MemoryBytes/2*3
		g.strained.Store(g.closingHeld+g.garbage > 0)
		g.mu.Unlock()
		if !full || time.Now().After(deadline) {
			return
		}
	}
}

// closeAll resets connections that were chosen. Their goroutines end when they next use them.
func (g *Guard) closeAll(chosen []*conn) {
	for _, c := range chosen {
		reset(c.Conn)
		g.refuse(c.reason, c.port)
	}
}

// reset closes a connection and drops what the kernel holds of it.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is closed already
	}
	c.Close()
}
