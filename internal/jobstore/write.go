package jobstore

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const (
	// maxQueuedWrites bounds the writes that wait. It holds the largest expected wave of 5,000 cancellations.
	maxQueuedWrites = 8192
	// maxBatch bounds the changes of one record. Changes that arrive during an append share the next one, so a wave needs
	// few of the log's several hundred appends per second.
	maxBatch = 256
	// writeTimeout bounds one append with its wait for the limiter.
	writeTimeout = 5 * time.Second
	// confirmTimeout bounds the wait for the fold after an append.
	confirmTimeout = 5 * time.Second
)

// States of a write. A waiter that gives up before the writer has taken its write knows that it never reaches the log.
const (
	writeWaits int32 = iota
	writeTaken
	writeGivenUp
)

type write struct {
	op    op
	state atomic.Int32
	done  chan error // buffered; the result of the append
}

// Submit accepts a job, once per customer and id. A repeated submission returns the job as it is now. The error is of
// kind Conflict (the id names another job), Overloaded or Unavailable (not accepted), or Unknown (a retry with the same
// id tells).
func (s *Store) Submit(ctx context.Context, job structs.Job) (Entry, error) {
	ref := RefOf(job)
	if s.reader.UpToDate().IsZero() {
		return Entry{}, errkind.New(errkind.Unavailable, "try again later", "the job stream has not been read yet; the job was not accepted")
	}
	if entry, known := s.fold.get(ref); known {
		return sameJob(entry, job)
	}
	if open, limit := s.fold.open(), s.options.MaxOpen(); open >= limit {
		return Entry{}, errkind.New(errkind.Overloaded, "try again when jobs have ended", "%d jobs are open; the limit is %d", open, limit)
	}
	err := s.write(ctx, op{Kind: opSubmit, Ref: ref, Job: &job}, func() bool {
		_, known := s.fold.get(ref)
		return known
	})
	if entry, known := s.fold.get(ref); known {
		return sameJob(entry, job)
	}
	return Entry{Job: job}, err
}

// Cancel ends a job that has not ended. It returns the job as it is then: finished when that was recorded first. The
// error is of kind NotFound, Unavailable (not cancelled) or Unknown.
func (s *Store) Cancel(ctx context.Context, ref Ref) (Entry, error) {
	return s.end(ctx, op{Kind: opCancel, Ref: ref})
}

// Finish records how a job ended. When it returns nil the record is in the log and the worker may forget the task. The
// error is of kind NotFound, Invalid, Unavailable or Unknown; the call may be repeated.
func (s *Store) Finish(ctx context.Context, ref Ref, result Result) (Entry, error) {
	if !result.State.Final() {
		return Entry{}, errkind.New(errkind.Invalid, "pass a final state", "state %q is not final", result.State)
	}
	return s.end(ctx, op{Kind: opFinish, Ref: ref, Result: &result})
}

func (s *Store) end(ctx context.Context, o op) (Entry, error) {
	entry, known := s.fold.get(o.Ref)
	if !known {
		return Entry{}, notFound(o.Ref)
	}
	if entry.Final() {
		return entry, nil
	}
	err := s.write(ctx, o, func() bool {
		entry, known := s.fold.get(o.Ref)
		return !known || entry.Final()
	})
	if entry, known := s.fold.get(o.Ref); known && entry.Final() {
		return entry, nil
	}
	return entry, err
}

// write appends a change and waits until the fold shows it. seen tells whether it does.
func (s *Store) write(ctx context.Context, o op, seen func() bool) error {
	w := &write{op: o, done: make(chan error, 1)}
	select {
	case s.queue <- w:
	default:
		return errkind.New(errkind.Overloaded, "try again later", "%d changes wait for the log; nothing was written", maxQueuedWrites)
	}
	var err error
	select {
	case err = <-w.done:
	case <-ctx.Done():
		if w.state.CompareAndSwap(writeWaits, writeGivenUp) {
			return errkind.Wrap(ctx.Err(), errkind.Unavailable, "try again later", "the log was not reached in time; nothing was written")
		}
		err = ctx.Err()
	}
	if errors.Is(err, platform.ErrNotAppended) {
		return errkind.Wrap(err, errkind.Unavailable, "try again later", "the log cannot be written; nothing was written")
	}
	confirm, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if s.reader.WaitUntil(confirm, seen) == nil || err == nil {
		return nil // an acknowledged record counts, even when it cannot be read back yet
	}
	return errkind.Wrap(err, errkind.Unknown, "repeat the call; the same id is never accepted twice", "the log did not confirm the change in time")
}

// writeQueued appends waiting changes in batches until ctx ends.
func (s *Store) writeQueued(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-s.queue:
			s.appendBatch(ctx, s.collect(first))
		}
	}
}

// collect takes first and the writes that wait behind it, without those that were given up.
func (s *Store) collect(first *write) []*write {
	var taken []*write
	for next := first; next != nil; {
		if next.state.CompareAndSwap(writeWaits, writeTaken) {
			taken = append(taken, next)
		}
		next = nil
		if len(taken) < maxBatch {
			select {
			case next = <-s.queue:
			default:
			}
		}
	}
	return taken
}

func (s *Store) appendBatch(ctx context.Context, writes []*write) {
	if len(writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	record := batch{Ops: make([]op, 0, len(writes))}
	for _, w := range writes {
		record.Ops = append(record.Ops, w.op)
	}
	_, err := s.reader.Append(ctx, kindBatch, &record)
	if err != nil {
		s.options.Metrics.Counter("jobstore_append_failures").Inc(1)
		s.options.Events.Emit(eventWriteFails, event.F("changes", len(writes)), event.F("error", err))
	}
	for _, w := range writes {
		w.done <- err
	}
}

// sameJob returns the entry when a submission repeats it. Only what the caller chooses is compared.
func sameJob(entry Entry, job structs.Job) (Entry, error) {
	have := entry.Job
	if have.Kind == job.Kind && have.Accelerators == job.Accelerators && have.RunTime == job.RunTime && have.DataCentre == job.DataCentre {
		return entry, nil
	}
	return entry, errkind.New(errkind.Conflict, "choose another id", "id %s already names another job", job.ID)
}
