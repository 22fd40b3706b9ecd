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
	// readWait is the duration of a long poll. It is limited because a silent connection is noticed only after readTimeout, and a view
	// is up to readWait + readTimeout old then, which must stay below the 3 s after which a configuration decides no request.
	readWait     = 1200 * time.Millisecond
	slowReadWait = 600 * time.Millisecond  // duration of a long poll of a slow log, which leaves more time for the answer
	slowLatency  = 250 * time.Millisecond  // latency above which the log counts as slow
	readGrace    = 900 * time.Millisecond  // time for an answer beyond the duration of the long poll
	readTimeout  = 1650 * time.Millisecond // time limit of a read, even if that leaves less than readGrace
	loadTimeout  = 5 * time.Second         // for reading the newest record of every key
	readBackoff  = 150 * time.Millisecond  // least time from sending a read that fails to the next one
)

// phase is what a reader does at present.
type phase int

const (
	idle      phase = iota // loading, or pausing after a failure
	pausing                // waiting before a read
	shortRead              // reading without waiting for records
	longPoll               // reading with a wait for records, each of which is returned as soon as it is appended
)

// Reader follows one topic: first the newest record of each key, then each record as it is appended.
type Reader struct {
	Log   Log
	Topic string
	// MinInterval is the pause before each read, so that one read returns many records; 0 reads without a pause.
	MinInterval time.Duration
	// Interval, if not 0, is the time from sending a read to sending the next, if that leaves a pause of MinInterval or more. These reads
	// do not wait for records, so the view is never older than Interval and the time of two answers. Refresh makes a long poll instead.
	Interval time.Duration
	// Reset, which may be nil, is called before Record is called for the newest record of each key. This happens at the start
	// and again when the log has dropped records that were not read yet.
	Reset func()
	// Record is called for each record, in order.
	Record func(Record)
	// Synced, which may be nil, is called whenever the reader has caught up with the log, or with what it was at an earlier read.
	// Record has been called for all that
	// was appended before the given time, when the answered call was sent.
	Synced func(sent time.Time)
	// Failed is called for each call without a usable answer, and with an UnhandledError for each record at which Record panicked.
	Failed func(error)

	next   int64 // offset of the next record to read
	loaded bool  // whether Load has succeeded since the start or since records were missed

	sent     time.Time     // when the last read was sent
	latency  time.Duration // time that the log needed for a recent answer, without the wait for records
	failures int           // number of reads in a row that failed
	// justLoaded says that nothing was read since Load, which may have taken so long that the view is old.
	justLoaded bool
	// trailedEnd is the end of the topic in an answer that did not reach it, to a read that was sent at trailedAt; 0 if the last answer did.
	trailedEnd int64
	trailedAt  time.Time

	mu      sync.Mutex
	phase   phase
	readNow chan struct{} // ends the pause
	fresh   chan struct{} // closed after the first read that is sent from now on; nil if nobody waits
}

// Refresh makes the reader read at once if it is pausing, and waits for that read, at most until ctx ends. It returns at once during a long
// poll, which returns each record as soon as it is appended, and after a failure.
func (r *Reader) Refresh(ctx context.Context) {
	r.mu.Lock()
	if r.phase == idle || r.phase == longPoll {
		r.mu.Unlock()
		return
	}
	if r.fresh == nil {
		r.fresh = make(chan struct{})
	}
	fresh := r.fresh
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

// enter notes what the reader does from now on.
func (r *Reader) enter(p phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = p
	if r.readNow == nil {
		r.readNow = make(chan struct{}, 1)
	}
}

// pauseBeforeRead pauses before the next read and returns how long that read may wait for records.
func (r *Reader) pauseBeforeRead(ctx context.Context) time.Duration {
	wait := readWait
	switch {
	case r.failures > 0 || r.justLoaded:
		wait = 0 // so that the view is up to date again as soon as possible
	case r.Interval > 0:
		wait = slowReadWait
	case r.latency > slowLatency:
		wait = slowReadWait
	}
	if r.MinInterval == 0 || r.failures == 1 || r.trailedEnd > 0 {
		return wait
	}
	r.enter(pausing)
	pause := r.MinInterval
	if r.failures == 0 {
		pause = max(pause, r.Interval-time.Since(r.sent)-r.latency)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.readNow:
		return wait
	case <-timer.C:
	}
	if r.Interval > 0 {
		return 0
	}
	return wait
}

// beginRead notes that a read is sent, and returns a function that wakes the callers of Refresh who wait for it.
func (r *Reader) beginRead(wait time.Duration) (end func(err error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = longPoll
	if wait == 0 {
		r.phase = shortRead
	}
	fresh := r.fresh
	r.fresh = nil
	select {
	case <-r.readNow: // this read serves those who asked before it
	default:
	}
	return func(err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if fresh != nil {
			close(fresh)
		}
		if err == nil {
			return
		}
		r.phase = idle
		if r.fresh != nil {
			close(r.fresh)
			r.fresh = nil
		}
	}
}

// Run follows the topic until ctx ends. If Load was called before, Run continues where it ended.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.loaded {
			r.enter(idle)
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
	r.sent = time.Now()
	sent := r.sent
	batch, err := LoadNewest(ctx, r.Log, r.Topic)
	if err != nil {
		return err
	}
	if r.Reset != nil {
		r.Reset()
	}
	r.deliver(batch)
	r.synced(sent)
	r.next, r.loaded, r.failures, r.justLoaded, r.trailedEnd = batch.End, true, 0, true, 0
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
		wait := r.pauseBeforeRead(ctx)
		end := r.beginRead(wait)
		err := r.Read(ctx, wait)
		end(err)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			r.loaded = false
			r.Failed(err)
			return
		}
		if err != nil {
			r.failures++
			r.backOff(ctx, err)
			continue
		}
		r.failures = 0
	}
}

// Read makes one read, which waits at most the given time for records, and passes them to Record.
func (r *Reader) Read(ctx context.Context, wait time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, min(wait+readGrace, readTimeout))
	defer cancel()
	r.sent = time.Now()
	sent := r.sent
	batch, err := r.Log.Read(callCtx, r.Topic, r.next, wait)
	if err != nil {
		return err
	}
	took := time.Since(sent)
	if len(batch.Records) == 0 || took > wait { // otherwise, it is not known how long the log waited
		r.latency = max(took-wait, 0)
	}
	r.deliver(batch)
	if n := len(batch.Records); n > 0 {
		r.next = batch.Records[n-1].Offset + 1
	}
	r.justLoaded = false
	r.noteSynced(len(batch.Records) > 0 && r.next < batch.End, batch.End, sent)
	return nil
}

// noteSynced calls Synced after an answer to a read that was sent at the given time, when the topic had the given end. A reader that stays
// behind is synced as of an earlier read once it has passed the end of that time.
func (r *Reader) noteSynced(behind bool, end int64, sent time.Time) {
	switch {
	case !behind:
		r.synced(sent)
		r.trailedEnd = 0
	case r.trailedEnd == 0:
		r.trailedEnd, r.trailedAt = end, sent
	case r.next >= r.trailedEnd:
		r.synced(r.trailedAt)
		r.trailedEnd, r.trailedAt = end, sent
	}
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
		wait.For(ctx, readBackoff-time.Since(r.sent))
	}
}
