package ledger

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Timings of a writer.
const (
	appendTimeout  = 700 * time.Millisecond // a healthy append takes about 10 ms; beyond this its answer counts as lost
	retryPause     = 100 * time.Millisecond // between attempts of the same append; the log refuses calls beyond its rate
	maxBatch       = 400                    // records of one append; far below the log's bytes per call
	maxBatchBytes  = 256 << 10              // bytes of one append, so that a slow link carries it within appendTimeout
	suspectAfter   = 600 * time.Millisecond // without an answer for this long, records that are not sent yet are refused
	refusedRetries = 2                      // attempts of a refused append before its records are given back
	refusedPause   = 30 * time.Millisecond  // between them
	refusedFor     = 250 * time.Millisecond // after a refusal, new records are refused unsent
)

// Writer appends records in order, several to a call, each exactly once however often a call is repeated.
type Writer struct {
	log        Log
	topic      string
	producer   string
	epoch      int64
	persistent bool // repeats refused appends until they succeed
	probe      func(context.Context) error

	mu       sync.Mutex
	pending  []queued
	offers   int64 // records that can be taken back so far
	wake     chan struct{}
	failedAt time.Time // since when the append in flight has no answer; zero when the log answers
	refused  time.Time // when the log last refused records for good
	lastGood time.Time // when the log last took records or the writer was made
	ended    error
}

type queued struct {
	record  Record
	done    func(error)
	barrier bool  // carries no record
	offer   int64 // names a record that can be taken back, 0 for none
}

// NewWriter returns a writer of a topic. A persistent writer repeats refused appends for as long as it runs.
func NewWriter(log Log, topic, producer string, epoch int64, persistent bool) *Writer {
	return &Writer{log: log, topic: topic, producer: producer, epoch: epoch, persistent: persistent, wake: make(chan struct{}, 1), lastGood: time.Now()}
}

// ProbeWith sets a check to be made before each append. When it fails, the records are given back unsent with its error. It is
// called before Run.
func (w *Writer) ProbeWith(probe func(context.Context) error) { w.probe = probe }

// ErrSuspect says that the log does not answer, so the record was not sent.
var ErrSuspect = errors.New("the log does not answer at present")

// Put queues records. done is called once, when the append of the last of them is known to have succeeded (nil) or to have
// done nothing; it may be nil. Without records it is called when all that was queued before is known. It is never called
// by the goroutine that calls Put.
func (w *Writer) Put(done func(error), records ...Record) {
	if len(records) == 0 {
		w.queue(queued{done: done, barrier: true})
		return
	}
	batch := make([]queued, len(records))
	for i, r := range records {
		batch[i].record = r
	}
	batch[len(batch)-1].done = done
	w.queue(batch...)
}

// Offer queues one record, as Put does. The returned function takes the record back and reports whether it could: true says
// that the record was not sent and never will be, and done is not called.
func (w *Writer) Offer(done func(error), r Record) (withdraw func() bool) {
	w.mu.Lock()
	w.offers++
	number := w.offers
	w.mu.Unlock()
	w.queue(queued{record: r, done: done, offer: number})
	return func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		i := slices.IndexFunc(w.pending, func(q queued) bool { return q.offer == number })
		if i >= 0 {
			w.pending = slices.Concat(w.pending[:i], w.pending[i+1:])
		}
		return i >= 0
	}
}

func (w *Writer) queue(batch ...queued) {
	w.mu.Lock()
	if err := w.refusal(); err != nil {
		w.mu.Unlock()
		go finish(batch, err)
		return
	}
	w.pending = append(w.pending, batch...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) refusal() error {
	if w.ended != nil {
		return w.ended
	}
	if !w.persistent && (w.suspect() || time.Since(w.refused) < refusedFor) {
		return ErrSuspect
	}
	return nil
}

// Suspect reports whether the log has not answered for a while.
func (w *Writer) Suspect() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspect()
}

func (w *Writer) suspect() bool {
	return !w.failedAt.IsZero() && time.Since(w.failedAt) > suspectAfter
}

// Unable returns for how long the log has taken nothing, if it refused or left unanswered the last records; else 0.
func (w *Writer) Unable() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failedAt.IsZero() && !w.refused.After(w.lastGood) {
		return 0
	}
	return time.Since(w.lastGood)
}

// shed gives back what has not been sent, once the log is suspect.
func (w *Writer) shed() {
	if w.persistent {
		return
	}
	w.mu.Lock()
	if !w.suspect() {
		w.mu.Unlock()
		return
	}
	rest := w.pending
	w.pending = nil
	w.mu.Unlock()
	finish(rest, ErrSuspect)
}

// Run appends until ctx ends or the writer is fenced, and returns the reason.
func (w *Writer) Run(ctx context.Context) error {
	sequence := int64(1)
	for {
		batch := w.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return w.end(ctx.Err(), nil)
			case <-w.wake:
			}
			continue
		}
		if w.probe != nil {
			if err := w.probe(ctx); err != nil {
				w.noteRefused()
				finish(batch, err)
				continue
			}
		}
		written, err := w.append(ctx, batch, &sequence)
		if err != nil {
			return w.end(err, batch)
		}
		if !written {
			finish(batch, &RefusedError{})
			continue
		}
		sequence++
		finish(batch, nil)
	}
}

func finish(batch []queued, err error) {
	for _, q := range batch {
		if q.done != nil {
			q.done(err)
		}
	}
}

// end refuses what is queued. The outcome of a batch in flight is unknown.
func (w *Writer) end(err error, inFlight []queued) error {
	w.mu.Lock()
	w.ended = err
	rest := w.pending
	w.pending = nil
	w.mu.Unlock()
	finish(inFlight, &UnknownError{err})
	finish(rest, err)
	return err
}

func (w *Writer) take() []queued {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.pending) && n < maxBatch {
		size += len(w.pending[n].record.Key) + len(w.pending[n].record.Value) + 8
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := w.pending[:n:n]
	w.pending = w.pending[n:]
	return batch
}

// append repeats one append until its outcome is known. It returns an error only when the writer must end.
func (w *Writer) append(ctx context.Context, batch []queued, sequence *int64) (written bool, err error) {
	records := make([]Record, 0, len(batch))
	for _, q := range batch {
		if !q.barrier {
			records = append(records, q.record)
		}
	}
	if len(records) == 0 {
		*sequence-- // nothing is sent, so the number stays unused
		return true, nil
	}
	uncertain := false // an earlier attempt may have taken effect
	for attempt := 1; ; attempt++ {
		writing := Writing{Producer: w.producer, Epoch: w.epoch, Sequence: *sequence}
		wait := retryPause
		callCtx, cancel := context.WithTimeout(ctx, w.patience())
		_, err := w.log.Append(callCtx, w.topic, records, writing)
		cancel()
		var wrongSequence *SequenceError
		switch {
		case err == nil:
			w.note(true)
			return true, nil
		case ctx.Err() != nil:
			return false, ctx.Err()
		case IsFenced(err):
			return false, err
		case errors.As(err, &wrongSequence):
			if uncertain && wrongSequence.Expected == *sequence+1 {
				w.note(true) // the lost attempt took effect and is older than the answers that the log remembers
				return true, nil
			}
			*sequence = wrongSequence.Expected
		case IsRefused(err):
			if !w.persistent && !uncertain && attempt >= refusedRetries {
				w.noteRefused()
				return false, nil
			}
			w.note(false)
			wait = refusedPause
		default:
			uncertain = true
			w.note(false)
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(wait):
		}
		w.shed()
	}
}

// patience returns how long an attempt may take. A first attempt of a caller's record ends when the log becomes suspect, so
// that records behind it are given back in time.
func (w *Writer) patience() time.Duration {
	if w.persistent {
		return appendTimeout
	}
	return suspectAfter
}

// noteRefused notes that the log refused records for good.
func (w *Writer) noteRefused() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedAt = time.Time{}
	w.refused = time.Now()
}

func (w *Writer) note(answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case answered:
		w.failedAt, w.lastGood = time.Time{}, time.Now()
	case w.failedAt.IsZero():
		w.failedAt = time.Now().Add(-w.patience()) // the attempt has taken this long
	}
}
