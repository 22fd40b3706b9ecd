package rackowner

import (
	"context"
	"sync"

	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// maxPendingChanges is the number of queued changes from which on no rack owner is asked for more.
const maxPendingChanges = 4096

// feed is the queue between the goroutines that read changes from rack owners and the scheduler.
type feed struct {
	out     chan Change // read by the scheduler
	mu      sync.Mutex
	pending []Change
	wake    chan struct{} // holds a token when changes are pending
	drained chan struct{} // closed and replaced when the pending changes are taken
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

func (f *feed) takeAll() []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	batch := f.pending
	f.pending = nil
	close(f.drained)
	f.drained = make(chan struct{})
	return batch
}

// forward moves pending changes to the out channel until ctx ends, and then closes the channel.
func (f *feed) forward(ctx context.Context) {
	defer close(f.out)
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		for _, c := range f.takeAll() {
			select {
			case f.out <- c:
			case <-ctx.Done():
				return
			}
		}
	}
}

// waitForRoom waits until fewer than maxPendingChanges changes are pending, or until ctx ends.
func (f *feed) waitForRoom(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		full := len(f.pending) >= maxPendingChanges
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

// remoteOwner is the endpoint of a rack owner that is reached by peer calls.
type remoteOwner struct {
	caller peer.Caller
	id     structs.InstanceID
}

// Attach calls rackowner.attach.
func (r remoteOwner) Attach(ctx context.Context, request AttachRequest) (AttachResponse, error) {
	var response AttachResponse
	err := r.caller.Call(ctx, r.id, kindAttach, request, &response)
	return response, err
}

// Changes calls rackowner.changes.
func (r remoteOwner) Changes(ctx context.Context, request ChangesRequest) (ChangesResponse, error) {
	var response ChangesResponse
	err := r.caller.Call(ctx, r.id, kindChanges, request, &response)
	return response, err
}

// RenewGangs calls rackowner.renew_gangs.
func (r remoteOwner) RenewGangs(ctx context.Context, request RenewGangsRequest) (RenewGangsResponse, error) {
	var response RenewGangsResponse
	err := r.caller.Call(ctx, r.id, kindRenewGangs, request, &response)
	return response, err
}

// Command calls rackowner.hold, .start, .release, .stop or .forget.
func (r remoteOwner) Command(ctx context.Context, kind string, request CommandRequest) (CommandResponse, error) {
	var response CommandResponse
	err := r.caller.Call(ctx, r.id, kind, request, &response)
	return response, err
}
