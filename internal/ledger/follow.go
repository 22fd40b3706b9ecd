package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Timings of a reader.
const (
	readWait    = 600 * time.Millisecond // duration of a long poll; short, so that a silent connection is noticed soon
	readTimeout = readWait + 900*time.Millisecond
	loadTimeout = 5 * time.Second        // for reading the newest record of every key
	readBackoff = 150 * time.Millisecond // pause after a failed read
)

// Reader follows one topic: first the newest record of each key, then each record as it is appended.
type Reader struct {
	Log   Log
	Topic string
	// MinInterval is the pause before each read, so that one read returns many records; 0 reads without a pause.
	MinInterval time.Duration
	// Reset, which may be nil, is called before Record is called for the newest record of each key. This happens at the start
	// and again when the log has dropped records that were not read yet.
	Reset func()
	// Record is called for each record, in order.
	Record func(Record)
	// Synced, which may be nil, is called whenever the reader has caught up with the log. Record has been called for all that
	// was appended before the given time, when the answered call was sent.
	Synced func(sent time.Time)
	// Failed is called for each call without a usable answer, and with an UnhandledError for each record at which Record panicked.
	Failed func(error)

	next   int64 // offset of the next record to read
	loaded bool  // whether Load has succeeded since the start or since records were missed

	mu         sync.Mutex
	waiting    bool          // whether the reader pauses between two reads
	readNow    chan struct{} // ends the pause
	nextAnswer chan struct{} // closed after the next read
}

// Refresh makes the reader read at once if it is pausing, and waits for that read, at most until ctx ends. If the reader is not
// pausing, a long poll is in progress that returns each record as soon as it is appended.
func (r *Reader) Refresh(ctx context.Context) {
	r.mu.Lock()
	if !r.waiting {
		r.mu.Unlock()
		return
	}
	fresh := r.nextAnswer
	select {
	case r.readNow <- struct{}{}:
	default:
	}
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-fresh:
	}
}

// waitInterval pauses for MinInterval or until Refresh is called.
func (r *Reader) waitInterval(ctx context.Context) {
	r.mu.Lock()
	r.waiting = true
	if r.readNow == nil {
		r.readNow = make(chan struct{}, 1)
	}
	if r.nextAnswer == nil {
		r.nextAnswer = make(chan struct{})
	}
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(r.MinInterval):
	case <-r.readNow:
	}
}

// answered wakes the callers of Refresh after a read.
func (r *Reader) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = false
	if r.nextAnswer != nil {
		close(r.nextAnswer)
		r.nextAnswer = nil
	}
}

// Run follows the topic until ctx ends. If Load was called before, Run continues where it ended.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.loaded {
			if err := r.Load(ctx); err != nil {
				r.backOff(ctx, err)
				continue
			}
		}
		r.tail(ctx)
	}
}

// Load reads the newest record of each key and passes it to Record.
func (r *Reader) Load(ctx context.Context) error {
	sent := time.Now()
	batch, err := LoadNewest(ctx, r.Log, r.Topic)
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

// LoadNewest reads the newest record of each key of a topic. Its time is limited, since an open connection may have gone silent for good.
func LoadNewest(ctx context.Context, log Log, topic string) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return log.Newest(ctx, topic)
}

// tail reads new records after Load, until the topic must be loaded again or ctx ends.
func (r *Reader) tail(ctx context.Context) {
	for ctx.Err() == nil {
		if r.MinInterval > 0 {
			r.waitInterval(ctx)
		}
		err := r.ReadOnce(ctx)
		r.answered()
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			r.loaded = false
			r.Failed(err)
			return
		}
		if err != nil {
			r.backOff(ctx, err)
		}
	}
}

// ReadOnce makes one read and passes the records to Record.
func (r *Reader) ReadOnce(ctx context.Context) error {
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
		r.handle(record)
	}
}

// handle passes on one record. A panic costs this record: all readers of the topic get it, so the process would end at each instance.
func (r *Reader) handle(record Record) {
	defer func() {
		if cause := recover(); cause != nil {
			r.Failed(&UnhandledError{Key: record.Key, Cause: eris.Errorf("%v", cause)})
		}
	}()
	r.Record(record)
}

func (r *Reader) synced(sent time.Time) {
	if r.Synced != nil {
		r.Synced(sent)
	}
}

func (r *Reader) backOff(ctx context.Context, err error) {
	if ctx.Err() == nil {
		r.Failed(err)
		wait.For(ctx, readBackoff)
	}
}
