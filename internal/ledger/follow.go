package ledger

import (
	"context"
	"errors"
	"time"
)

// Timings of a reader.
const (
	readWait     = 800 * time.Millisecond // long poll; short, so that a silent connection is noticed soon
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

	next int64
}

// Run follows the topic until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.Load(ctx); err != nil {
			r.pause(ctx, err)
			continue
		}
		r.Tail(ctx)
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
	r.next = batch.End
	return nil
}

// Tail reads on after Load, until the topic must be loaded anew or ctx ends.
func (r *Reader) Tail(ctx context.Context) {
	for ctx.Err() == nil {
		if r.Pace > 0 {
			sleep(ctx, r.Pace)
		}
		err := r.Step(ctx)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
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
		sleep(ctx, readBackoff)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
