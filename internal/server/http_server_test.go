package server

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/router"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// speedUp divides the server's timeouts to keep the tests short.
const speedUp = 15

// echoRouter answers every request with its body.
type echoRouter struct{}

func (echoRouter) Do(_ context.Context, request router.Request) router.Response {
	return router.Response{Outcome: structs.OutcomeAnswered, Answer: &minion.Answer{Status: http.StatusOK, Body: request.Body}}
}

// startHTTPServer serves the callers' calls with the limits of the real server, timeouts divided by speedUp, and returns
// its address.
func startHTTPServer(t *testing.T) string {
	digest := sha256.Sum256([]byte("t"))
	text := &spec.Text{Customers: []spec.Customer{{Name: "jetty", TokenSHA256: []string{hex.EncodeToString(digest[:])}}}}
	text.Limits.RequestBodyBytes = 1 << 20
	auth := &api.Authenticator{Text: func() *spec.Text { return text }}
	routes := mux.NewRouter()
	(&api.Requests{Auth: auth, Router: echoRouter{}, BodyReadTimeout: readTimeout / speedUp}).Register(routes)
	(&api.Jobs{Auth: auth}).Register(routes)
	httpServer := newHTTPServer(routes)
	assert.Assert(t, httpServer.ReadHeaderTimeout > 0 && httpServer.ReadTimeout > 0 && httpServer.WriteTimeout > 0 && httpServer.IdleTimeout > 0)
	httpServer.ReadHeaderTimeout /= speedUp
	httpServer.ReadTimeout /= speedUp
	httpServer.IdleTimeout /= speedUp
	listener, err := listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- httpServer.Serve(listener) }()
	t.Cleanup(func() {
		httpServer.Close()
		<-served
	})
	return listener.Addr().String()
}

// send writes the parts with a pause after each one until the server answers or closes the connection. status is 0 when
// the server closed it without an answer. A JSON body of the answer is decoded into refusal.
func send(t *testing.T, address string, pause time.Duration, parts [][]byte) (status int, refusal api.ErrorBody) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	go func() {
		for _, part := range parts {
			if _, err := conn.Write(part); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		timeout, ok := err.(net.Error) //nolint:errorlint // the connection's own error
		assert.Assert(t, !ok || !timeout.Timeout(), "the server neither answered nor closed the connection")
		return 0, refusal
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&refusal)
	return response.StatusCode, refusal
}

// chunks converts the parts to bytes in advance, so that sending them allocates nothing.
func chunks(parts ...string) [][]byte {
	var all [][]byte
	for _, part := range parts {
		all = append(all, []byte(part))
	}
	return all
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer t\r\nContent-Length: %d\r\n\r\n", path, length)
}

// TestHostileCallers guards against callers that hold a connection or memory without bound by sending slowly or too
// much, and against a server that is unable to serve others afterwards.
func TestHostileCallers(t *testing.T) {
	const requests, jobs = "/v1/services/raft-booking/requests/book", "/v1/jobs"
	singleBytes := strings.Split(strings.Repeat("x", 200), "")
	deep := strings.Repeat("[", 60<<10)
	cases := map[string]struct {
		parts  []string
		pause  time.Duration
		status int // 0: closed without an answer
		kind   string
	}{
		"slow header":          {parts: append([]string{"POST / HTTP/1.1\r\nHost: x\r\nA: "}, singleBytes...), pause: 100 * time.Millisecond},
		"no header":            {parts: []string{""}},
		"large header":         {parts: []string{"GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 1<<20)}, status: 431},
		"slow request body":    {parts: append([]string{post(requests, 1000)}, singleBytes...), pause: 100 * time.Millisecond, status: 400, kind: "invalid"},
		"stalled request body": {parts: []string{post(requests, 1000), "x"}, status: 400, kind: "invalid"},
		"slow job body":        {parts: append([]string{post(jobs, 1000)}, singleBytes...), pause: 100 * time.Millisecond, status: 400, kind: "invalid"},
		"large request body":   {parts: []string{post(requests, 1<<30), strings.Repeat("x", 2<<20)}, status: 413, kind: "too_large"},
		"large job body":       {parts: []string{post(jobs, 1<<30), strings.Repeat("x", 100<<10)}, status: 413, kind: "too_large"},
		"deep JSON":            {parts: []string{post(jobs, len(deep)), deep}, status: 400, kind: "invalid"},
		"unknown call":         {parts: []string{post("/v1/nothing", 0)}, status: 404, kind: "not_found"},
	}
	address := startHTTPServer(t)
	t.Run("callers", func(t *testing.T) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				status, refusal := send(t, address, c.pause, chunks(c.parts...))
				assert.Equal(t, status, c.status)
				assert.Equal(t, refusal.Kind, c.kind)
				assert.Equal(t, refusal.Remedy != "", c.kind != "")
			})
		}
	})
	status, _ := send(t, address, 0, chunks(post(requests, 2)+"ok"))
	assert.Equal(t, status, http.StatusOK)
}

// TestLargeSendersTakeBoundedMemory guards against a server that buffers what callers send beyond the limits.
func TestLargeSendersTakeBoundedMemory(t *testing.T) {
	address := startHTTPServer(t)
	var before, after runtime.MemStats
	parts := chunks(post("/v1/jobs", 1<<30), strings.Repeat("x", 2<<20))
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 20 {
		status, _ := send(t, address, 0, parts)
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	}
	runtime.ReadMemStats(&after)
	allocated := (after.TotalAlloc - before.TotalAlloc) / 20
	assert.Assert(t, allocated < 1<<20, "%d bytes were allocated for one sender of 2 MiB", allocated)
}

// TestStalledReaderIsDisconnected guards against a caller that does not read its answer and so blocks the handler forever.
func TestStalledReaderIsDisconnected(t *testing.T) {
	routes := mux.NewRouter()
	written := make(chan error, 1)
	routes.HandleFunc("/large", func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20)) // more than the sockets' buffers hold
		written <- err
	})
	httpServer := newHTTPServer(routes)
	httpServer.WriteTimeout /= 90 // to 1 s
	listener, err := listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- httpServer.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	_, err = conn.Write([]byte("GET /large HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NilError(t, err)
	select {
	case err := <-written:
		assert.Assert(t, err != nil)
	case <-time.After(5 * time.Second):
		t.Error("the handler is still writing")
	}
	conn.Close()
	httpServer.Close()
	<-served
}
