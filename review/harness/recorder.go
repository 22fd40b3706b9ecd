package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// recorder stands in front of the workers. It passes each call on and notes the orders to start and stop tasks.
type recorder struct {
	deployment *Deployment
	address    string
	workers    string // address of the workers

	mu     sync.Mutex
	starts map[string][]time.Time // when tasks began, by job
}

func startRecorder(ctx context.Context, d *Deployment, address, workers string) (*recorder, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	r := &recorder{deployment: d, address: address, workers: workers, starts: map[string][]time.Time{}}
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: callTimeout}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return r, nil
}

func (r *recorder) startsOf(job string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.starts[job]...)
}

func (r *recorder) serve(w http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	out, err := http.NewRequestWithContext(in.Context(), in.Method, "http://"+r.workers+in.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	out.Header = in.Header.Clone()
	resp, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler) // no answer
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.note(in, body, resp.StatusCode)
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer) // a failed write means that the caller has gone
}

// note records an order to start or stop a task, and when the worker took it.
func (r *recorder) note(in *http.Request, body []byte, status int) {
	if in.URL.Path != wire.StartCall && in.URL.Path != wire.StopCall {
		return
	}
	var order struct {
		Task string `json:"task"`
		Run  int    `json:"run"`
	}
	if json.Unmarshal(body, &order) != nil {
		return
	}
	r.deployment.Note("worker %s: %s %s run %d: %d", in.Header.Get(wire.TargetHeader), in.URL.Path, order.Task, order.Run, status)
	if in.URL.Path == wire.StartCall && status == http.StatusOK {
		job, _, _ := strings.Cut(order.Task, ".")
		r.mu.Lock()
		r.starts[job] = append(r.starts[job], time.Now())
		r.mu.Unlock()
	}
}
