package demo

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readyPoll    = 100 * time.Millisecond // interval between two readiness probes of an instance
	readyTimeout = 500 * time.Millisecond // timeout of one readiness probe
)

// entry is an entry instance as the load balancer sees it.
type entry struct {
	id         string
	dataCentre string
	address    string
	killed     atomic.Bool // the demonstration killed it with SIGKILL
	ready      atomic.Bool // result of the latest readiness probe
}

// balancer stands in for the platform's load balancer: it distributes calls round-robin over the ready entry instances.
type balancer struct {
	client *http.Client
	next   atomic.Uint64 // round-robin position

	mu      sync.Mutex
	entries []*entry
}

// add adds an entry instance and probes its readiness until ctx ends.
func (b *balancer) add(ctx context.Context, e *entry) {
	b.mu.Lock()
	b.entries = append(b.entries, e)
	b.mu.Unlock()
	go b.watch(ctx, e)
}

// all returns every instance that was ever added.
func (b *balancer) all() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[:len(b.entries):len(b.entries)]
}

func (b *balancer) watch(ctx context.Context, e *entry) {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		e.ready.Store(b.probe(ctx, e))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) probe(ctx context.Context, e *entry) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+"/healthz/ready", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns the next ready entry instance, or nil if none is ready.
func (b *balancer) pick() *entry {
	entries := b.all()
	for range entries {
		e := entries[b.next.Add(1)%uint64(len(entries))]
		if e.ready.Load() {
			return e
		}
	}
	return nil
}

// waitReady waits until all given entry instances are ready or ctx ends.
func (b *balancer) waitReady(ctx context.Context, entries ...*entry) error {
	for {
		ready := 0
		for _, e := range entries {
			if e.ready.Load() {
				ready++
			}
		}
		if ready == len(entries) {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
