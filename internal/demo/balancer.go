package demo

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readyPoll    = 100 * time.Millisecond
	readyTimeout = 500 * time.Millisecond
)

// entry is one entry instance as the platform's balancer sees it.
type entry struct {
	id         string
	dataCentre string
	address    string
	killed     atomic.Bool // ended with SIGKILL by the demonstration
	ready      atomic.Bool
}

// balancer spreads calls over the entry instances that say they are ready.
type balancer struct {
	client  *http.Client
	entries []*entry
	next    atomic.Uint64
}

// run polls the readiness of every entry instance until ctx ends.
func (b *balancer) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, e := range b.entries {
		group.Go(func() { b.watch(ctx, e) })
	}
	group.Wait()
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

// pick returns the next ready entry instance, nil when none is ready.
func (b *balancer) pick() *entry {
	for range b.entries {
		e := b.entries[b.next.Add(1)%uint64(len(b.entries))]
		if e.ready.Load() {
			return e
		}
	}
	return nil
}

// pickIn returns a ready entry instance of a data centre, nil when none is ready.
func (b *balancer) pickIn(dataCentre string) *entry {
	for range b.entries {
		e := b.entries[b.next.Add(1)%uint64(len(b.entries))]
		if e.dataCentre == dataCentre && e.ready.Load() {
			return e
		}
	}
	return nil
}

// waitAllReady returns when every entry instance is ready, or with ctx's error.
func (b *balancer) waitAllReady(ctx context.Context) error {
	for {
		ready := 0
		for _, e := range b.entries {
			if e.ready.Load() {
				ready++
			}
		}
		if ready == len(b.entries) {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
