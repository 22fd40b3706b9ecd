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

// speedUp divides the server's time bounds, so that a test of the longest one stays short.
const speedUp = 15

type echo struct{}

func (echo) Do(_ context.Context, request router.Request) router.Response {
	return router.Response{Outcome: structs.OutcomeAnswered, Answer: &minion.Answer{Status: http.StatusOK, Body: request.Body}}
}

// startFront serves the callers' calls with the server's own settings and returns the address.
func startFront(t *testing.T) string {
	digest := sha256.Sum256([]byte("t"))
	text := &spec.Text{Customers: []spec.Customer{{Name: "jetty", TokenSHA256: []string{hex.EncodeToString(digest[:])}}}}
	text.Limits.RequestBodyBytes = 1 << 20
	auth := &api.Authenticator{Text: func() *spec.Text { return text }}
	routes := mux.NewRouter()
	(&api.Requests{Auth: auth, Router: echo{}, BodyReadTimeout: readTimeout / speedUp}).Register(routes)
	(&api.Jobs{Auth: auth}).Register(routes)
	front := newFront(routes)
	assert.Assert(t, front.ReadHeaderTimeout > 0 && front.ReadTimeout > 0 && front.WriteTimeout > 0 && front.IdleTimeout > 0)
	front.ReadHeaderTimeout /= speedUp
	front.ReadTimeout /= speedUp
	front.IdleTimeout /= speedUp
	listener, err := listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	t.Cleanup(func() {
		front.Close()
		<-served
	})
	return listener.Addr().String()
}

// send writes the parts with a pause before each one until the server answers or closes the connection. status is 0
// when it closed without an answer; the answer's body is decoded when it is JSON.
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

// chunks returns the parts as bytes, so that sending them allocates nothing.
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
// much, and against a server that stops serving others meanwhile.
func TestHostileCallers(t *testing.T) {
	const requests, jobs = "/v1/services/raft-booking/requests/book", "/v1/jobs"
	drip := strings.Split(strings.Repeat("x", 200), "")
	deep := strings.Repeat("[", 60<<10)
	cases := map[string]struct {
		parts  []string
		pause  time.Duration
		status int // 0: closed
		kind   string
	}{
		"slow header":          {parts: append([]string{"POST / HTTP/1.1\r\nHost: x\r\nA: "}, drip...), pause: 100 * time.Millisecond},
		"no header":            {parts: []string{""}},
		"large header":         {parts: []string{"GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 1<<20)}, status: 431},
		"slow request body":    {parts: append([]string{post(requests, 1000)}, drip...), pause: 100 * time.Millisecond, status: 400, kind: "invalid"},
		"stalled request body": {parts: []string{post(requests, 1000), "x"}, status: 400, kind: "invalid"},
		"slow job body":        {parts: append([]string{post(jobs, 1000)}, drip...), pause: 100 * time.Millisecond, status: 400, kind: "invalid"},
		"large request body":   {parts: []string{post(requests, 1<<30), strings.Repeat("x", 2<<20)}, status: 413, kind: "too_large"},
		"large job body":       {parts: []string{post(jobs, 1<<30), strings.Repeat("x", 100<<10)}, status: 413, kind: "too_large"},
		"deep JSON":            {parts: []string{post(jobs, len(deep)), deep}, status: 400, kind: "invalid"},
		"unknown call":         {parts: []string{post("/v1/nothing", 0)}, status: 404, kind: "not_found"},
	}
	address := startFront(t)
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

// TestLargeSendersTakeBoundedMemory guards against a server that keeps what callers send beyond the limits.
func TestLargeSendersTakeBoundedMemory(t *testing.T) {
	address := startFront(t)
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

// TestStalledReaderIsGivenUp guards against a caller that does not read its answer and holds the handler without bound.
func TestStalledReaderIsGivenUp(t *testing.T) {
	routes := mux.NewRouter()
	written := make(chan error, 1)
	routes.HandleFunc("/large", func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20)) // more than the sockets' buffers hold
		written <- err
	})
	front := newFront(routes)
	front.WriteTimeout /= 90
	listener, err := listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	_, err = conn.Write([]byte("GET /large HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NilError(t, err)
	select {
	case err := <-written:
		assert.Assert(t, err != nil)
	case <-time.After(5 * time.Second):
		t.Error("the handler still writes")
	}
	conn.Close()
	front.Close()
	<-served
}
