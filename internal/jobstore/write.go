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
	// maxQueuedWrites is the length of the write queue. It has room for the largest expected burst, 5,000 cancellations
	// at once.
	maxQueuedWrites = 8192
	// maxBatch is the largest number of changes in one record. Changes that arrive during an append share the next one,
	// so that a burst uses few of the several hundred appends per second that the log can take.
	maxBatch = 256
	// writeTimeout bounds one append, including the wait for the limiter.
	writeTimeout = 5 * time.Second
	// confirmTimeout bounds the wait until the change has been read back from the stream.
	confirmTimeout = 5 * time.Second
)

// States of a write. A caller that gives up moves its write from pending to abandoned; if that succeeds, the change
// never reaches the log.
const (
	writePending int32 = iota
	writeClaimed
	writeAbandoned
)

// write is a change in the write queue.
type write struct {
	op       op
	state    atomic.Int32 // writePending, writeClaimed or writeAbandoned
	appended chan error   // receives the result of the append; buffered, so the sender never blocks
}

// Submit accepts a job, at most once per customer and id. A repeated submission returns the job's current entry. The
// error is of kind Conflict (the id belongs to a different job), Overloaded or Unavailable (the job was not accepted),
// or Unknown (outcome unknown; a retry with the same id resolves it).
func (s *Store) Submit(ctx context.Context, job structs.Job) (Entry, error) {
	ref := RefOf(job)
	if s.reader.UpToDate().IsZero() {
		return Entry{}, errkind.New(errkind.Unavailable, "try again later", "the job stream has not been read yet; the job was not accepted")
	}
	if entry, known := s.table.get(ref); known {
		return repeatedSubmission(entry, job)
	}
	if open, limit := s.table.countOpen(), s.options.MaxOpen(); open >= limit {
		return Entry{}, errkind.New(errkind.Overloaded, "try again after some jobs have ended", "%d jobs are open; the limit is %d", open, limit)
	}
	err := s.write(ctx, op{Kind: opSubmit, Ref: ref, Job: &job}, func() bool {
		_, known := s.table.get(ref)
		return known
	})
	if entry, known := s.table.get(ref); known {
		return repeatedSubmission(entry, job)
	}
	return Entry{Job: job}, err
}

// Cancel cancels a job that has not ended. On success it returns the final entry, which is not cancelled if another
// result was recorded first. The error is of kind NotFound, Overloaded or Unavailable (not cancelled), or Unknown.
func (s *Store) Cancel(ctx context.Context, ref Ref) (Entry, error) {
	return s.endJob(ctx, op{Kind: opCancel, Ref: ref})
}

// Finish records the result of a job. If the error is nil, the result is in the log and the worker may forget the task.
// The error is of kind NotFound, Invalid, Overloaded, Unavailable or Unknown. The call is idempotent.
func (s *Store) Finish(ctx context.Context, ref Ref, result Result) (Entry, error) {
	if !result.State.Final() {
		return Entry{}, errkind.New(errkind.Invalid, "pass a final state", "state %q is not final", result.State)
	}
	return s.endJob(ctx, op{Kind: opFinish, Ref: ref, Result: &result})
}

func (s *Store) endJob(ctx context.Context, o op) (Entry, error) {
	entry, known := s.table.get(o.Ref)
	if !known {
		return Entry{}, notFound(o.Ref)
	}
	if entry.Final() {
		return entry, nil
	}
	err := s.write(ctx, o, func() bool {
		entry, known := s.table.get(o.Ref)
		return !known || entry.Final()
	})
	if entry, known := s.table.get(o.Ref); known && entry.Final() {
		return entry, nil
	}
	return entry, err
}

// write queues a change, waits for its append and then until it has been read back, which applied reports. The error is
// of kind Overloaded or Unavailable if the change was not written, and Unknown if the outcome is unknown.
func (s *Store) write(ctx context.Context, o op, applied func() bool) error {
	w := &write{op: o, appended: make(chan error, 1)}
	select {
	case s.queue <- w:
	default:
		return errkind.New(errkind.Overloaded, "try again later", "the write queue is full with %d changes; nothing was written", maxQueuedWrites)
	}
	var err error
	select {
	case err = <-w.appended:
	case <-ctx.Done():
		if w.state.CompareAndSwap(writePending, writeAbandoned) {
			return errkind.Wrap(ctx.Err(), errkind.Unavailable, "try again later", "the change was still queued for the log; nothing was written")
		}
		err = ctx.Err()
	}
	if errors.Is(err, platform.ErrNotAppended) {
		return errkind.Wrap(err, errkind.Unavailable, "try again later", "the log cannot be written; nothing was written")
	}
	confirm, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if s.reader.WaitUntil(confirm, applied) == nil || err == nil {
		return nil // an acknowledged append is a success even if it cannot be read back yet
	}
	return errkind.Wrap(err, errkind.Unknown, "repeat the call; the same id is never accepted twice", "the log did not confirm the change in time")
}

// writeQueued appends queued changes in batches until ctx ends.
func (s *Store) writeQueued(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-s.queue:
			s.appendBatch(ctx, s.collectBatch(first))
		}
	}
}

// collectBatch returns up to maxBatch pending writes, beginning with first, and marks them as claimed. It skips
// abandoned writes.
func (s *Store) collectBatch(first *write) []*write {
	var taken []*write
	for next := first; next != nil; {
		if next.state.CompareAndSwap(writePending, writeClaimed) {
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
		w.appended <- err
	}
}

// repeatedSubmission returns the entry of an existing job if the submission is for the same job, and an error of kind
// Conflict otherwise. It compares only the fields that the submitter chooses.
func repeatedSubmission(entry Entry, job structs.Job) (Entry, error) {
	have := entry.Job
	if have.Kind == job.Kind && have.Accelerators == job.Accelerators && have.RunTime == job.RunTime && have.DataCentre == job.DataCentre {
		return entry, nil
	}
	return entry, errkind.New(errkind.Conflict, "choose another id", "id %s already belongs to a different job", job.ID)
}
