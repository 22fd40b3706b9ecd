package rackowner

import (
	"context"
	"sync"

	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// feedRoom is the number of queued changes above which no rack owner is asked for more.
const feedRoom = 4096

// feed queues changes between the goroutines that read them from rack owners and the scheduler.
type feed struct {
	out     chan Change
	mu      sync.Mutex
	pending []Change
	wake    chan struct{} // one token: something is pending
	drained chan struct{} // closed and replaced when the queue was emptied
}

func newFeed() *feed {
	return &feed{out: make(chan Change), wake: make(chan struct{}, 1), drained: make(chan struct{})}
}

func (f *feed) put(c Change) {
	f.mu.Lock()
	f.pending = append(f.pending, c)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *feed) take() []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	batch := f.pending
	f.pending = nil
	close(f.drained)
	f.drained = make(chan struct{})
	return batch
}

// pump moves changes to the channel until ctx ends, then closes it.
func (f *feed) pump(ctx context.Context) {
	defer close(f.out)
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		for _, c := range f.take() {
			select {
			case f.out <- c:
			case <-ctx.Done():
				return
			}
		}
	}
}

// waitRoom waits until the queue is short enough to read more.
func (f *feed) waitRoom(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		full := len(f.pending) >= feedRoom
		drained := f.drained
		f.mu.Unlock()
		if !full {
			return
		}
		select {
		case <-drained:
		case <-ctx.Done():
		}
	}
}

// remote reaches a rack owner through peer calls.
type remote struct {
	caller peer.Caller
	id     structs.InstanceID
}

// Attach calls rackowner.attach.
func (r remote) Attach(ctx context.Context, request AttachRequest) (AttachResponse, error) {
	var response AttachResponse
	err := r.caller.Call(ctx, r.id, kindAttach, request, &response)
	return response, err
}

// Changes calls rackowner.changes.
func (r remote) Changes(ctx context.Context, request ChangesRequest) (ChangesResponse, error) {
	var response ChangesResponse
	err := r.caller.Call(ctx, r.id, kindChanges, request, &response)
	return response, err
}

// RenewGangs calls rackowner.renew_gangs.
func (r remote) RenewGangs(ctx context.Context, request RenewGangsRequest) (RenewGangsResponse, error) {
	var response RenewGangsResponse
	err := r.caller.Call(ctx, r.id, kindRenewGangs, request, &response)
	return response, err
}

// Command calls rackowner.hold, .start, .release, .stop or .forget.
func (r remote) Command(ctx context.Context, kind string, request CommandRequest) (CommandResponse, error) {
	var response CommandResponse
	err := r.caller.Call(ctx, r.id, kind, request, &response)
	return response, err
}
