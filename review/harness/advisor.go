package harness

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the advice service. The validity is that of the users' example.
const (
	DecisionTime   = 200 * time.Millisecond
	PerWorkerTime  = 10 * time.Millisecond
	TicketValidity = 3 * time.Second
	maxWaiting     = 32 // calls that may wait
)

// advisor is a stand-in for the advice service. It allows all workers, and handles one call at a time, in turn.
type advisor struct {
	address string

	mu      sync.Mutex
	waiting int
	turn    chan struct{} // holds a value while no call is handled; waiting calls are served in order
}

func startAdvisor(ctx context.Context) (*advisor, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &advisor{address: listener.Addr().String(), turn: make(chan struct{}, 1)}
	a.turn <- struct{}{}
	server := &http.Server{Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: callTimeout}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return a, nil
}

// serve answers after the decision time and the time of each worker named. A call whose caller has left is passed over.
func (a *advisor) serve(out http.ResponseWriter, in *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(in.Body).Decode(&call); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxWaiting {
		a.mu.Unlock()
		out.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	var mine bool
	select {
	case <-a.turn:
		mine = true
	case <-in.Context().Done():
	}
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	if !mine {
		return
	}
	defer func() { a.turn <- struct{}{} }()
	if in.Context().Err() != nil {
		return
	}
	time.Sleep(DecisionTime + time.Duration(len(call.Workers))*PerWorkerTime)
	allowed := [][2]string{}
	for _, id := range call.Workers {
		allowed = append(allowed, [2]string{id, "ticket-" + call.Step + "-" + id})
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"allowed": allowed, "validity_ms": TicketValidity.Milliseconds()}) // the caller may have gone
}
