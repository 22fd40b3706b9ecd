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
	appendTimeout      = 700 * time.Millisecond // for one attempt of a persistent writer; a healthy append takes about 10 ms
	retryPause         = 100 * time.Millisecond // pause before an append is retried; the log limits the rate of calls
	maxBatch           = 400                    // most records in one append; far below the log's limit of bytes per call
	maxBatchBytes      = 256 << 10              // most bytes in one append, so that a slow link carries it within appendTimeout
	suspectAfter       = 600 * time.Millisecond // the log is suspect when an append has failed for longer than this
	maxRefusedAttempts = 2                      // attempts of a refused append before its records fail
	refusedRetryPause  = 30 * time.Millisecond  // pause before a refused append is retried
	refuseNewFor       = 250 * time.Millisecond // time after a refusal during which new records are refused unsent
	maxInvalidAttempts = 3                      // attempts of an append that the log calls invalid before its records are sent in halves
	invalidRetryPause  = 50 * time.Millisecond  // pause between such attempts
	// persistentInvalidAttempts is the same for persistent writers, whose records are hard to do without: two seconds.
	persistentInvalidAttempts = 40
)

// DefaultRecordLimit is the largest size of a record if SetRecordLimit is not called, in bytes of key and value.
const DefaultRecordLimit = 256 << 10

// Writer appends records in order, several in one call. No record is written twice, however often a call is retried.
// While the log is suspect, a writer that is not persistent refuses records unsent with ErrSuspect.
type Writer struct {
	log        Log
	topic      string
	producer   string
	epoch      int64
	persistent bool                        // whether refused appends are retried until they succeed
	probe      func(context.Context) error // called before each append; may be nil
	limit      int                         // largest size of a record, see recordSize
	rejected   func(Record, error)         // called for each record that the log never takes

	mu               sync.Mutex
	pending          []queuedRecord // not sent yet
	lastWithdrawalID int64
	wake             chan struct{}
	failingSince     time.Time // since when the append in flight has failed; zero if it has not
	refusedAt        time.Time // when records last failed because the log refused them or a probe failed
	lastSuccess      time.Time // when an append last succeeded or the writer was created
	ended            error     // why Run returned; nil before
}

// queuedRecord is a record or a barrier in the queue of a writer.
type queuedRecord struct {
	record       Record
	done         func(error)
	barrier      bool  // whether there is no record; done is called after everything queued before
	withdrawalID int64 // identifies a record that can be withdrawn, 0 for any other
}

// NewWriter returns a writer of a topic. A persistent writer retries refused appends for as long as it runs.
func NewWriter(log Log, topic, producer string, epoch int64, persistent bool) *Writer {
	return &Writer{
		log: log, topic: topic, producer: producer, epoch: epoch, persistent: persistent, limit: DefaultRecordLimit, rejected: func(Record, error) {},
		wake: make(chan struct{}, 1), lastSuccess: time.Now(),
	}
}

// SetRejected sets what is called for each record that the log never takes, in addition to the function that was put with it. It must be
// called before Run.
func (w *Writer) SetRejected(rejected func(Record, error)) { w.rejected = rejected }

// SetRecordLimit sets the largest size of a record in bytes. It must be called before Run; 0 or less changes nothing.
func (w *Writer) SetRecordLimit(limit int) {
	if limit > 0 {
		w.limit = limit
	}
}

// SetProbe sets a check that is made before each append. If it fails, the records fail unsent with its error. SetProbe must be
// called before Run.
func (w *Writer) SetProbe(probe func(context.Context) error) { w.probe = probe }

// ErrSuspect says that the record was not sent because earlier appends were refused or stayed unanswered.
var ErrSuspect = errors.New("the log does not accept appends at present")

// Put queues records. done, which may be nil, is called once with the outcome of appending the last of them: nil if it was
// written, *UnknownError if it may or may not have been written, and any other error if it was not: *RecordSizeError if any of the
// records is too large, in which case none is written, and *InvalidError if the log will never take the last of them. Without records,
// done is called when the outcome of everything queued before is known. It is never called by the goroutine that calls Put.
func (w *Writer) Put(done func(error), records ...Record) {
	if err := w.checkSize(records...); err != nil {
		go finish([]queuedRecord{{done: done}}, err)
		return
	}
	if len(records) == 0 {
		w.queue(queuedRecord{done: done, barrier: true})
		return
	}
	batch := make([]queuedRecord, len(records))
	for i, r := range records {
		batch[i].record = r
	}
	batch[len(batch)-1].done = done
	w.queue(batch...)
}

// PutWithdrawable queues one record, as Put does. The returned function withdraws the record and reports whether it could: if
// so, the record was not sent and never will be, and done is not called.
func (w *Writer) PutWithdrawable(done func(error), r Record) (withdraw func() bool) {
	if err := w.checkSize(r); err != nil {
		go finish([]queuedRecord{{done: done}}, err)
		return func() bool { return false }
	}
	w.mu.Lock()
	w.lastWithdrawalID++
	id := w.lastWithdrawalID
	w.mu.Unlock()
	w.queue(queuedRecord{record: r, done: done, withdrawalID: id})
	return func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		i := slices.IndexFunc(w.pending, func(q queuedRecord) bool { return q.withdrawalID == id })
		if i >= 0 {
			w.pending = slices.Concat(w.pending[:i], w.pending[i+1:])
		}
		return i >= 0
	}
}

// checkSize returns an error if any of the records is too large for the log.
func (w *Writer) checkSize(records ...Record) error {
	for _, r := range records {
		if size := recordSize(r); size > w.limit {
			err := &RecordSizeError{Key: r.Key, Size: size, Limit: w.limit}
			w.rejected(r, err)
			return err
		}
	}
	return nil
}

// recordSize returns the size of a record in the log: the length of its key in one byte, the key and the value.
func recordSize(r Record) int { return 1 + len(r.Key) + len(r.Value) }

// queue adds records to the queue, or fails them if new records are rejected.
func (w *Writer) queue(batch ...queuedRecord) {
	w.mu.Lock()
	if err := w.rejection(); err != nil {
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

// rejection returns the error for new records that must not be queued, or nil.
func (w *Writer) rejection() error {
	if w.ended != nil {
		return w.ended
	}
	if !w.persistent && (w.suspect() || time.Since(w.refusedAt) < refuseNewFor) {
		return ErrSuspect
	}
	return nil
}

// Suspect reports whether the append in flight has failed for longer than suspectAfter.
func (w *Writer) Suspect() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspect()
}

func (w *Writer) suspect() bool {
	return !w.failingSince.IsZero() && time.Since(w.failingSince) > suspectAfter
}

// FailingFor returns the time since the last successful append if the latest one failed, else 0.
func (w *Writer) FailingFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failingSince.IsZero() && !w.refusedAt.After(w.lastSuccess) {
		return 0
	}
	return time.Since(w.lastSuccess)
}

// rejectPendingIfSuspect fails the queued records of a writer that is not persistent if the log is suspect.
func (w *Writer) rejectPendingIfSuspect() {
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

// Run appends queued records until ctx ends or the writer is fenced, and returns the reason.
func (w *Writer) Run(ctx context.Context) error {
	sequence := int64(1)
	for {
		batch := w.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return w.stop(ctx.Err(), nil)
			case <-w.wake:
			}
			continue
		}
		if w.probe != nil {
			if err := w.probe(ctx); err != nil {
				w.noteRefusal()
				finish(batch, err)
				continue
			}
		}
		if unfinished, err := w.appendValid(ctx, batch, &sequence); err != nil {
			return w.stop(err, unfinished)
		}
	}
}

// appendValid appends a batch and reports the outcome of its records. If the log calls the batch invalid, its halves are appended one after
// the other, so that only the records fail that the log never takes. It returns an error if the writer must end, and the records whose
// outcome is not known then.
func (w *Writer) appendValid(ctx context.Context, batch []queuedRecord, sequence *int64) (unfinished []queuedRecord, err error) {
	outcome, err := w.append(ctx, batch, sequence)
	if err != nil {
		return batch, err
	}
	if outcome == nil {
		*sequence++
	}
	if !IsInvalid(outcome) || len(batch) == 1 {
		if IsInvalid(outcome) {
			w.rejected(batch[0].record, outcome)
		}
		finish(batch, outcome)
		return nil, nil
	}
	first, second := batch[:len(batch)/2], batch[len(batch)/2:]
	if unfinished, err := w.appendValid(ctx, first, sequence); err != nil {
		return append(unfinished[:len(unfinished):len(unfinished)], second...), err
	}
	return w.appendValid(ctx, second, sequence)
}

// finish reports the outcome of a batch to those who put its records.
func finish(batch []queuedRecord, err error) {
	for _, q := range batch {
		if q.done != nil {
			q.done(err)
		}
	}
}

// stop fails the queued records and those that are put later. The outcome of the batch in flight is unknown.
func (w *Writer) stop(err error, inFlight []queuedRecord) error {
	w.mu.Lock()
	w.ended = err
	rest := w.pending
	w.pending = nil
	w.mu.Unlock()
	finish(inFlight, &UnknownError{err})
	finish(rest, err)
	return err
}

// nextBatch removes the records of the next append from the queue, at most maxBatch and, if there are several, maxBatchBytes.
func (w *Writer) nextBatch() []queuedRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.pending) && n < maxBatch {
		size += len(w.pending[n].record.Key) + len(w.pending[n].record.Value) + 8 // allows for the framing
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := w.pending[:n:n]
	w.pending = w.pending[n:]
	return batch
}

// append retries one append until its outcome is known: nil if it was written, *RefusedError or *InvalidError if it was not. It returns an
// error only if the writer must end.
func (w *Writer) append(ctx context.Context, batch []queuedRecord, sequence *int64) (outcome, err error) {
	records := make([]Record, 0, len(batch))
	for _, q := range batch {
		if !q.barrier {
			records = append(records, q.record)
		}
	}
	if len(records) == 0 {
		*sequence-- // nothing is sent, so the sequence number stays unused
		return nil, nil
	}
	uncertain := false // an earlier attempt may have taken effect
	for attempt := 1; ; attempt++ {
		options := AppendOptions{Producer: w.producer, Epoch: w.epoch, Sequence: *sequence}
		wait := retryPause
		callCtx, cancel := context.WithTimeout(ctx, w.attemptTimeout())
		_, err := w.log.Append(callCtx, w.topic, records, options)
		cancel()
		var wrongSequence *SequenceError
		switch {
		case err == nil:
			w.noteAttempt(true)
			return nil, nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case IsFenced(err):
			return nil, err
		case errors.As(err, &wrongSequence):
			if uncertain && wrongSequence.Expected == *sequence+1 {
				w.noteAttempt(true) // the unanswered attempt took effect, but the log no longer keeps its answer
				return nil, nil
			}
			*sequence = wrongSequence.Expected
		case IsRefused(err):
			if !w.persistent && !uncertain && attempt >= maxRefusedAttempts {
				w.noteRefusal()
				return &RefusedError{}, nil
			}
			w.noteAttempt(false)
			wait = refusedRetryPause
		case IsInvalid(err):
			// An earlier attempt without an answer was as invalid, so it had no effect.
			if attempt >= w.invalidAttempts() {
				w.noteAnswer()
				return err, nil
			}
			wait = invalidRetryPause
		default:
			uncertain = true
			w.noteAttempt(false)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
		w.rejectPendingIfSuspect()
	}
}

// invalidAttempts returns how often an append is attempted that the log calls invalid.
func (w *Writer) invalidAttempts() int {
	if w.persistent {
		return persistentInvalidAttempts
	}
	return maxInvalidAttempts
}

// attemptTimeout returns how long an attempt may take. Without persistence, the first attempt ends when the log becomes suspect,
// so that the records queued behind it fail in time.
func (w *Writer) attemptTimeout() time.Duration {
	if w.persistent {
		return appendTimeout
	}
	return suspectAfter
}

// noteRefusal records that a batch failed for good without having been written.
func (w *Writer) noteRefusal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failingSince = time.Time{}
	w.refusedAt = time.Now()
}

// noteAnswer records that the log has decided on an append, so that it accepts others.
func (w *Writer) noteAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failingSince = time.Time{}
}

// noteAttempt records whether an attempt succeeded.
func (w *Writer) noteAttempt(succeeded bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case succeeded:
		w.failingSince, w.lastSuccess = time.Time{}, time.Now()
	case w.failingSince.IsZero():
		// The start of an attempt that timed out. A refused attempt took less time, but is counted in the same way.
		w.failingSince = time.Now().Add(-w.attemptTimeout())
	}
}
