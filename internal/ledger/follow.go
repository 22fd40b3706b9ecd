package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Timings of a reader.
const (
	readWait     = 600 * time.Millisecond // long poll; short, so that a silent connection is noticed soon
	readTimeout  = readWait + 900*time.Millisecond
	newestWithin = 5 * time.Second // whole read of all keys
	readBackoff  = 150 * time.Millisecond
)

// Reader follows one topic: first the newest record of each key, then each record as it is appended.
type Reader struct {
	Log   Log
	Topic string
	// Pace is the least time between reads, so that many records are taken at once; 0 reads without a pause.
	Pace time.Duration
	// Reset is called before the newest records are handed over, also again when the log has dropped records unread.
	Reset func()
	// Record is called for each record, in order.
	Record func(Record)
	// Synced is called after each answer of the log with the time at which the answered call was sent: all that had been
	// appended before it has been handed over.
	Synced func(sent time.Time)
	// Failed is called for each call without a usable answer.
	Failed func(error)

	next   int64
	loaded bool

	mu      sync.Mutex
	pausing bool          // between two reads
	hurry   chan struct{} // ends the pause
	fresh   chan struct{} // closed after the next answer
}

// Refresh makes the reader read at once if it is pausing, and waits until it has, at most until ctx ends. While it is not
// pausing, a read is open that returns each record as soon as it is appended.
func (r *Reader) Refresh(ctx context.Context) {
	r.mu.Lock()
	if !r.pausing {
		r.mu.Unlock()
		return
	}
	fresh := r.fresh
	select {
	case r.hurry <- struct{}{}:
	default:
	}
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-fresh:
	}
}

// rest pauses for the reader's pace.
func (r *Reader) rest(ctx context.Context) {
	r.mu.Lock()
	r.pausing = true
	if r.hurry == nil {
		r.hurry = make(chan struct{}, 1)
	}
	if r.fresh == nil {
		r.fresh = make(chan struct{})
	}
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(r.Pace):
	case <-r.hurry:
	}
}

// answered tells those who wait for a fresh view.
func (r *Reader) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausing = false
	if r.fresh != nil {
		close(r.fresh)
		r.fresh = nil
	}
}

// Run follows the topic until ctx ends. It goes on from an earlier Load.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.loaded {
			if err := r.Load(ctx); err != nil {
				r.pause(ctx, err)
				continue
			}
		}
		r.tail(ctx)
	}
}

// Load hands over the newest record of each key.
func (r *Reader) Load(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, newestWithin)
	defer cancel()
	sent := time.Now()
	batch, err := r.Log.Newest(callCtx, r.Topic)
	if err != nil {
		return err
	}
	if r.Reset != nil {
		r.Reset()
	}
	r.deliver(batch)
	r.synced(sent)
	r.next, r.loaded = batch.End, true
	return nil
}

// tail reads on after Load, until the topic must be loaded anew or ctx ends.
func (r *Reader) tail(ctx context.Context) {
	for ctx.Err() == nil {
		if r.Pace > 0 {
			r.rest(ctx)
		}
		err := r.Step(ctx)
		r.answered()
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			r.loaded = false
			r.Failed(err)
			return
		}
		if err != nil {
			r.pause(ctx, err)
		}
	}
}

// Step reads once.
func (r *Reader) Step(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	batch, err := r.Log.Read(callCtx, r.Topic, r.next, readWait)
	if err != nil {
		return err
	}
	r.deliver(batch)
	if n := len(batch.Records); n > 0 {
		r.next = batch.Records[n-1].Offset + 1
	}
	if len(batch.Records) == 0 || r.next >= batch.End {
		r.synced(sent)
	}
	return nil
}

func (r *Reader) deliver(batch Batch) {
	for _, record := range batch.Records {
		r.Record(record)
	}
}

func (r *Reader) synced(sent time.Time) {
	if r.Synced != nil {
		r.Synced(sent)
	}
}

func (r *Reader) pause(ctx context.Context, err error) {
	if ctx.Err() == nil {
		r.Failed(err)
		wait.For(ctx, readBackoff)
	}
}
