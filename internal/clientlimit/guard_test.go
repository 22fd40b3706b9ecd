package clientlimit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// testLimits are limits that no test reaches unless it changes them.
func testLimits() Limits {
	return Limits{
		Connections: 100, MemoryBytes: 64 << 20, DecodeBytes: 1 << 20, HeaderBytes: 16 << 10, HeaderTimeout: 20 * time.Second,
		BodyTimeout: 20 * time.Second, IdleTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second, BodyWait: 20 * time.Millisecond, Grace: graceTime,
	}
}

// serve serves a handler with a guard and returns the guard and the address.
func serve(t *testing.T, limits Limits, h http.HandlerFunc) (*Guard, string) {
	g := New(limits, event.Discard(), tally.NoopScope)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: h}
	g.Configure(s)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Serve(g.Listener(l, "test"))
	}()
	t.Cleanup(func() {
		s.Close()
		<-ended
		awaitNothingHeld(t, g)
	})
	return g, l.Addr().String()
}

// awaitNothingHeld waits until every connection has released its charge.
func awaitNothingHeld(t *testing.T, g *Guard) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.mu.Lock()
		defer g.mu.Unlock()
		if len(g.conns) != 0 || g.used != 0 || g.closing != 0 || g.closingHeld != 0 {
			return poll.Continue("%d connections, %d bytes, %d closing with %d bytes", len(g.conns), g.used, g.closing, g.closingHeld)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// client is a connection of a test.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{t: t, Conn: conn, reader: bufio.NewReader(conn)}
}

// ask sends text and returns the status of the response, 0 if the connection was closed without one.
func (c *client) ask(text string) int {
	c.t.Helper()
	_, _ = io.WriteString(c, text)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// awaitClosed reads until the server has closed the connection.
func (c *client) awaitClosed() {
	c.t.Helper()
	_, err := io.Copy(io.Discard, c)
	var timeout net.Error
	assert.Assert(c.t, !errors.As(err, &timeout) || !timeout.Timeout(), "the connection is still open")
}

const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// getWithHead returns a request whose head has n bytes.
func getWithHead(n int) string {
	const start, end = "GET / HTTP/1.1\r\nHost: x\r\nA: ", "\r\n\r\n"
	return start + strings.Repeat("x", n-len(start)-len(end)) + end
}

func ok(http.ResponseWriter, *http.Request) {}

// Guards against a refusal of heads that the operator allows, and against heads over the limit that are read on.
func TestHeadsAreServedUpToTheLimitAndRefusedAboveIt(t *testing.T) {
	g, address := serve(t, testLimits(), ok)
	for range 2 { // the second request on the connection begins in the idle state
		c := dial(t, address)
		assert.Equal(t, c.ask(getWithHead(16<<10)), http.StatusOK)
		assert.Equal(t, c.ask(getWithHead(16<<10)), http.StatusOK)
		assert.Equal(t, c.ask(getWithHead(32<<10)), http.StatusRequestHeaderFieldsTooLarge)
		assert.Equal(t, c.ask(get), 0)
	}
	g.SetOperator(Operator{HeaderBytes: 64 << 10})
	assert.Equal(t, dial(t, address).ask(getWithHead(64<<10)), http.StatusOK)
	assert.Equal(t, dial(t, address).ask(getWithHead(128<<10)), http.StatusRequestHeaderFieldsTooLarge)
	g.SetOperator(Operator{HeaderBytes: 1}) // a smaller limit of the operator does not lower the setting
	assert.Equal(t, dial(t, address).ask(getWithHead(16<<10)), http.StatusOK)
}

// Guards against a crowd of new connections that has idle connections of ordinary callers closed, or keeps new callers out.
func TestConnectionsWithoutRequestsAreClosedFirst(t *testing.T) {
	limits := testLimits()
	limits.Connections = 20
	_, address := serve(t, limits, ok)
	var ordinary, silent []*client
	for range 5 {
		c := dial(t, address)
		assert.Equal(t, c.ask(get), http.StatusOK)
		ordinary = append(ordinary, c)
	}
	for range 60 {
		silent = append(silent, dial(t, address))
		time.Sleep(2 * time.Millisecond)
	}
	assert.Equal(t, dial(t, address).ask(get), http.StatusOK)
	for _, c := range ordinary {
		assert.Equal(t, c.ask(get), http.StatusOK)
	}
	assert.Equal(t, silent[0].ask(get), 0)
}

// Guards against a flood of connections that leaves a caller no time to send its request.
func TestNewConnectionsHaveTimeToSendARequest(t *testing.T) {
	limits := testLimits()
	limits.Connections, limits.Grace = 4, 3*time.Second
	_, address := serve(t, limits, ok)
	first := dial(t, address)
	for range 8 {
		dial(t, address)
	}
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, first.ask(get), http.StatusOK)
}

// Guards against a few connections with large bodies that take the whole budget, and against the closing of small ones for it.
func TestConnectionsThatHoldMostAreClosedFirst(t *testing.T) {
	limits := testLimits()
	limits.MemoryBytes = 1 << 20
	_, address := serve(t, limits, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	small := dial(t, address)
	assert.Equal(t, small.ask(get), http.StatusOK)
	_, _ = io.WriteString(small, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na")
	time.Sleep(20 * time.Millisecond) // the small body has waited longer than the large ones
	var large []*client
	for range 4 {
		c := dial(t, address)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("x", 250_000))
		large = append(large, c)
		time.Sleep(20 * time.Millisecond)
	}
	closed := 0
	for _, c := range large {
		if c.ask(strings.Repeat("x", 50_000)) == 0 {
			closed++
		}
	}
	assert.Assert(t, closed >= 2, "%d of 4 were closed", closed)
	assert.Equal(t, small.ask("b"), http.StatusOK)
}

// Guards against the closing of small requests and idle connections because large requests in progress take the whole budget.
func TestSmallRequestsAreServedWhileLargeOnesTakeTheBudget(t *testing.T) {
	limits := testLimits()
	limits.MemoryBytes = 1 << 20
	release := make(chan struct{})
	_, address := serve(t, limits, func(_ http.ResponseWriter, r *http.Request) {
		if n, _ := io.Copy(io.Discard, r.Body); n > 100 {
			<-release
		}
	})
	idle := dial(t, address)
	assert.Equal(t, idle.ask(get), http.StatusOK)
	var large []*client
	for range 5 {
		c := dial(t, address)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 200_000))
		large = append(large, c)
		time.Sleep(20 * time.Millisecond)
	}
	small := dial(t, address)
	_, _ = io.WriteString(small, get[:10])
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, small.ask(get[10:]), http.StatusOK)
	assert.Equal(t, idle.ask(get), http.StatusOK)
	close(release)
	assert.Equal(t, large[0].ask(""), http.StatusOK)
}

// Guards against bodies that no handler reads and that the client holds back: net/http waits for them before it sends the response.
func TestBodiesThatAreHeldBackDoNotKeepOthersOut(t *testing.T) {
	limits := testLimits()
	limits.Connections = 4
	_, address := serve(t, limits, ok)
	for range 4 {
		_, _ = io.WriteString(dial(t, address), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\na")
	}
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, dial(t, address).ask(get), http.StatusOK)
}

// Guards against read deadlines that end a request in progress: net/http cancels a request's context when a read fails.
func TestNoDeadlineEndsARequestInProgress(t *testing.T) {
	limits := testLimits()
	limits.HeaderTimeout, limits.BodyTimeout, limits.IdleTimeout, limits.WriteTimeout = 500*time.Millisecond, 500*time.Millisecond, 500*time.Millisecond, 500*time.Millisecond
	var cancelled atomic.Int32
	_, address := serve(t, limits, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
			if r.Host == "x" { // other tests' clients may still call whatever listened on this port before
				cancelled.Add(1)
			}
		case <-time.After(time.Second):
		}
	})
	assert.Equal(t, dial(t, address).ask(get), http.StatusOK)
	assert.Equal(t, dial(t, address).ask("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"), http.StatusOK)
	assert.Equal(t, dial(t, address).ask("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), http.StatusOK)
	assert.Equal(t, cancelled.Load(), int32(0))
}

// Guards against clients that stop in the middle of a head, a body or a response and hold the connection for ever.
func TestClientsThatStopAreDisconnected(t *testing.T) {
	limits := testLimits()
	limits.HeaderTimeout, limits.BodyTimeout, limits.IdleTimeout, limits.WriteTimeout = 100*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond
	limits.SocketBytes = 8 << 10
	var large atomic.Bool
	answering := make(chan struct{}, 1)
	g, address := serve(t, limits, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if large.Load() {
			answering <- struct{}{}
			_, _ = w.Write(make([]byte, 32<<20))
		}
	})
	for name, text := range map[string]string{"head": get[:10], "body": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\na", "idle": get, "nothing": ""} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, address)
			_, _ = io.WriteString(c, text)
			c.awaitClosed()
			awaitNothingHeld(t, g)
		})
	}
	t.Run("head that began with the end of the last request", func(t *testing.T) {
		g.SetOperator(Operator{IdleTimeout: time.Hour})
		c := dial(t, address)
		_, _ = io.WriteString(c, get+get[:10])
		c.awaitClosed()
		awaitNothingHeld(t, g)
	})
	t.Run("response", func(t *testing.T) {
		large.Store(true)
		_, _ = io.WriteString(dial(t, address), get)
		<-answering
		awaitNothingHeld(t, g)
	})
}

// Guards against an operator's time that is larger than the setting and does not take effect.
func TestOperatorsTimesExtendTheSettings(t *testing.T) {
	limits := testLimits()
	limits.HeaderTimeout, limits.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond
	g, address := serve(t, limits, ok)
	g.SetOperator(Operator{HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second})
	c := dial(t, address)
	for range 2 {
		_, _ = io.WriteString(c, get[:10])
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, c.ask(get[10:]), http.StatusOK)
		time.Sleep(200 * time.Millisecond)
	}
}

// Guards against pipelined requests that are taken for idle or unfinished ones because they arrived with an earlier read.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	_, address := serve(t, testLimits(), ok)
	c := dial(t, address)
	_, _ = io.WriteString(c, strings.Repeat(get, 100))
	for range 100 {
		assert.Equal(t, c.ask(""), http.StatusOK)
	}
}

// failingListener fails a few times, as accept does without descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: []error{syscall.EMFILE, syscall.ENOBUFS}[l.failures%2]}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends because accept failed for lack of descriptors or memory.
func TestErrorsOfAcceptDoNotEndTheServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g := New(testLimits(), event.Discard(), tally.NoopScope)
	s := &http.Server{Handler: http.HandlerFunc(ok)}
	g.Configure(s)
	served := make(chan error, 1)
	go func() { served <- s.Serve(g.Listener(&failingListener{Listener: l, failures: 3}, "test")) }()
	assert.Equal(t, dial(t, l.Addr().String()).ask(get), http.StatusOK)
	s.Close()
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}

// Guards against decoded bodies that take more than their budget, and against shares that are not returned.
func TestDecodingHasABudget(t *testing.T) {
	g := New(testLimits(), event.Discard(), tally.NoopScope)
	release, ok := g.AcquireDecode(context.Background(), 1<<20) // more than fits, so it takes the whole budget
	assert.Assert(t, ok)
	_, ok = g.AcquireDecode(context.Background(), 100)
	assert.Assert(t, !ok)
	release()
	for range 100 {
		release, ok := g.AcquireDecode(context.Background(), 10_000)
		assert.Assert(t, ok)
		release()
	}
}

// Guards against a line of log for each refusal, and against refusals that are not logged at all.
func TestABurstOfRefusalsIsLoggedOnce(t *testing.T) {
	events := event.Discard()
	g := New(testLimits(), events, tally.NoopScope)
	for range 50 {
		g.refuse(reasonMemory, "test")
	}
	records, _ := events.Since(0)
	assert.Equal(t, len(records), 1)
	g.lastRefusal = time.Now().Add(-2 * burstPause)
	g.refuse(reasonMemory, "test")
	records, _ = events.Since(0)
	assert.Equal(t, len(records), 2)
	assert.Equal(t, records[1].Fields["earlier"], "50")
}

// Guards against derived limits that leave nothing for clients or nothing for the store, workers and peers.
func TestLimitsFollowFromTheMachine(t *testing.T) {
	for _, c := range []struct {
		memoryMB    int64
		descriptors int
		connections int
	}{
		{144, 3075, 307}, {144, 512, 128}, {536, 10_250, 1143}, {536, 3075, 1143}, {2000, 3075, 1375}, {16, 64, 32},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			l := Settings{}.Derive(c.memoryMB, c.descriptors)
			assert.Equal(t, l.Connections, c.connections)
			assert.Assert(t, l.MemoryBytes+l.DecodeBytes <= max(c.memoryMB<<20/5, minMemoryMB<<20))
			assert.Assert(t, l.HeaderBytes >= 16_384 && l.HeaderTimeout >= 3*time.Second && l.IdleTimeout >= 15*time.Second)
		})
	}
	assert.Equal(t, Settings{}.Derive(0, 0).MemoryBytes, int64(defaultMemoryBytes/2))
	assert.Equal(t, Settings{Connections: 50, MemoryMB: 8}.Derive(144, 3075).Connections, 50)
}

// Guards against settings that are taken although they make no sense.
func TestSettingsAreChecked(t *testing.T) {
	assert.NilError(t, Settings{}.Check())
	assert.NilError(t, Settings{Connections: 1000, MemoryMB: 64, HeaderBytes: 32768, HeaderTimeoutMS: 5000}.Check())
	for _, s := range []Settings{
		{Connections: -1}, {Connections: 3}, {MemoryMB: 1}, {HeaderBytes: 10}, {HeaderBytes: 2 << 20}, {HeaderTimeoutMS: -1}, {BodyTimeoutMS: -1},
		{IdleTimeoutMS: 1 << 40}, {WriteTimeoutMS: -5}, {BodyWaitMS: -1},
	} {
		assert.Assert(t, errkind.Is(s.Check(), errkind.Invalid), "%+v", s)
	}
}

// Guards against a planned stop that cuts off a request in progress, also while the limit of connections is reached.
func TestAPlannedStopLetsRequestsFinish(t *testing.T) {
	limits := testLimits()
	limits.Connections = 4
	g := New(limits, event.Discard(), tally.NoopScope)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	started := make(chan struct{}, 1)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})}
	g.Configure(s)
	go s.Serve(g.Listener(l, "test"))
	c := dial(t, l.Addr().String())
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na")
	<-started
	var others []*client
	for range 20 {
		others = append(others, dial(t, l.Addr().String()))
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	assert.Equal(t, c.ask(""), http.StatusOK)
	for _, silent := range others { // net/http itself waits 5 s for them
		silent.Close()
	}
	assert.NilError(t, <-stopped)
	awaitNothingHeld(t, g)
}

// Guards against buffered responses that differ from the handler's, and against more of them at once than allowed.
func TestBufferedResponsesAreThoseOfTheHandler(t *testing.T) {
	g := New(testLimits(), event.Discard(), tally.NoopScope)
	entered, leave := make(chan struct{}, 2), make(chan struct{})
	h := g.Buffered(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-leave
		w.Header().Set("A", "b")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "text")
	}), 1)
	first := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.ServeHTTP(first, httptest.NewRequest(http.MethodGet, "/", nil))
	}()
	<-entered
	second := httptest.NewRecorder()
	h.ServeHTTP(second, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Equal(t, second.Code, http.StatusServiceUnavailable)
	assert.Equal(t, second.Header().Get("Retry-After"), "1")
	close(leave)
	<-done
	assert.Equal(t, first.Code, http.StatusTeapot)
	assert.Equal(t, first.Header().Get("A"), "b")
	assert.Equal(t, first.Body.String(), "text")
}
