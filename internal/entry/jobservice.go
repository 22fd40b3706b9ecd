// Package entry serves callers at an entry instance: it accepts jobs, cancels them and reports their states. A job is accepted
// once its record is in the log, so it makes no difference which instance a caller asks.
package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Time limits for serving callers.
const (
	recordTimeout    = 1500 * time.Millisecond // for writing a record; short enough for the caller to retry if the outcome is unknown
	staleAfter       = 2500 * time.Millisecond // age of the job index above which a job that it does not contain may exist
	maxReadyAge      = 1700 * time.Millisecond // largest age of the job index of a ready instance; allows for the time between two reads and a slow answer
	refreshTimeout   = 80 * time.Millisecond   // for reading new records before a job's state is reported
	readBackTimeout  = 700 * time.Millisecond  // for reading a cancellation back, so that the answer can say whether the job exists
	readBackInterval = 20 * time.Millisecond   // between checks whether it was read
	localOutageLimit = time.Second             // duration of an outage up to which it may affect this instance only, so callers retry elsewhere at once
	quietGap         = 800 * time.Millisecond  // by how much the time since the last answer of the log may exceed an outage's duration, since calls are rare
	outageRetryAfter = time.Second             // retry delay for callers in a longer outage; short, since they give up after a few seconds
)

var (
	eventAccepted          = event.Define(2600, "job accepted", zerolog.InfoLevel, "The job was accepted: its record is in the log.", "")
	eventRefused           = event.Define(2601, "job refused", zerolog.WarnLevel, "The job was not accepted and never runs, unless another attempt to submit it is accepted.", "")
	eventOutcomeUnknown    = event.Define(2602, "job outcome open", zerolog.WarnLevel, "The log did not confirm in time whether it has the job's record. The caller was told that the outcome is unknown.", "Check the log service if this persists.")
	eventCancelled         = event.Define(2603, "cancellation accepted", zerolog.InfoLevel, "The cancellation was accepted: its record is in the log.", "")
	eventRepeated          = event.Define(2605, "job repeated", zerolog.InfoLevel, "A known job was submitted again. It remains a single job.", "")
	eventCallRejected      = event.Define(2606, "call turned away", zerolog.WarnLevel, "A call was rejected: there is no configuration yet, the one in force does not have the queue or the key, or the job is invalid.", "")
	eventUnknownCancelled  = event.Define(2607, "unknown job cancelled", zerolog.InfoLevel, "The cancellation of a job that is not in the log was recorded, so a submission that the log has not carried out yet never runs.", "")
	eventCancelNotRecorded = event.Define(2604, "cancellation not recorded", zerolog.WarnLevel, "The log did not confirm the cancellation in time. The caller was told to retry.", "")
)

// JobService accepts, cancels and reports jobs. It is safe for concurrent use.
type JobService struct {
	index  *ledger.JobIndex
	reader *ledger.Reader // keeps the index up to date
	writer *ledger.Writer
	log    *ledger.MonitoredLog // used by the reader and the writer
	events *event.Log
	scope  tally.Scope
}

// New returns a service that reads job states from index, which reader keeps up to date, and writes records with writer. Reader
// and writer must use log.
func New(index *ledger.JobIndex, reader *ledger.Reader, writer *ledger.Writer, log *ledger.MonitoredLog, events *event.Log, scope tally.Scope) *JobService {
	return &JobService{index: index, reader: reader, writer: writer, log: log, events: events, scope: scope}
}

// Submit accepts a job. Submitting a known job again has no effect. Errors are of kind Forbidden if the id belongs to a job of
// another customer, Unavailable if the job was not accepted, and Unknown if it may or may not have been accepted.
func (s *JobService) Submit(ctx context.Context, job *workload.Job) error {
	start := time.Now()
	if view, known := s.index.Find(job.ID); known {
		s.count("submit", "repeated")
		s.events.Emit(eventRepeated, event.F("job", job.ID), event.F("queue", job.Queue), event.F("state", view.State), event.F("view_age_ms", s.index.Age(start).Milliseconds()))
		if view.Customer != job.Customer {
			return errkind.New(errkind.Forbidden, "choose another id", "job %s belongs to another customer", job.ID)
		}
		return nil
	}
	err := s.record(ctx, ledger.SubmissionRecord(job))
	s.scope.Histogram("submit_latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)).RecordDuration(time.Since(start))
	switch {
	case err == nil:
		s.index.Apply(ledger.Entry{ID: job.ID, Submission: job})
		s.count("submit", "accepted")
		s.events.Emit(eventAccepted, event.F("job", job.ID), event.F("customer", job.Customer), event.F("queue", job.Queue), event.F("took_ms", time.Since(start).Milliseconds()))
		return nil
	case errkind.Is(err, errkind.Unknown):
		s.count("submit", "open")
		s.events.Emit(eventOutcomeUnknown, event.F("job", job.ID), event.F("queue", job.Queue), event.F("took_ms", time.Since(start).Milliseconds()), event.F("cause", err))
	default:
		s.count("submit", "refused")
		s.events.Emit(eventRefused, event.F("job", job.ID), event.F("queue", job.Queue), event.F("took_ms", time.Since(start).Milliseconds()), event.F("cause", err))
	}
	return err
}

// RecordRejection counts and logs a call that was rejected before it was processed: the reason, the job id in the call, and the
// version of the configuration in force, 0 for none.
func (s *JobService) RecordRejection(reason, id string, version int64) {
	s.count("turned_away", reason)
	s.events.Emit(eventCallRejected, event.F("job", id), event.F("reason", reason), event.F("configuration", version))
}

// Cancel requests the end of a job. Errors are of kind NotFound if there is no such job, and Unavailable or Unknown if the caller
// must retry. NotFound tells the caller that the job never runs. A submission of it may still be on its way to the log, so the
// cancellation of an unknown job is recorded as well before it is answered.
func (s *JobService) Cancel(ctx context.Context, customer, id string) error {
	view, known := s.refreshed(ctx, id)
	if known && view.Customer != customer {
		return noSuchJob(id)
	}
	if known && view.State.Final() {
		return nil
	}
	c := ledger.Cancellation{Time: time.Now(), Unverified: !known, Customer: customer}
	if err := s.record(ctx, ledger.CancellationRecord(id, c)); err != nil {
		s.count("cancel", "open")
		s.events.Emit(eventCancelNotRecorded, event.F("job", id), event.F("known", known), event.F("cause", err))
		return err
	}
	if known {
		s.index.Apply(ledger.Entry{ID: id, Cancellation: &c})
	} else if s.readBack(ctx, customer, id) {
		if view, known = s.index.Find(id); !known || view.Customer != customer {
			s.count("cancel", "unknown")
			s.events.Emit(eventUnknownCancelled, event.F("job", id), event.F("customer", customer))
			return noSuchJob(id)
		}
	}
	s.count("cancel", "accepted")
	s.events.Emit(eventCancelled, event.F("job", id), event.F("known", known), event.F("state", view.State))
	return nil
}

// readBack waits until the index holds a cancellation that was recorded, at most for readBackTimeout, and reports whether it does. All
// that the log carried out before is then in the index as well, and a submission that it carries out later is cancelled.
func (s *JobService) readBack(ctx context.Context, customer, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	for !s.index.Cancelled(id, customer) {
		if ctx.Err() != nil {
			return false
		}
		s.reader.Refresh(ctx) // ends a pause of the reader; returns at once while a read is in progress
		wait.For(ctx, readBackInterval)
	}
	return true
}

// State returns a job's state. Errors are of kind NotFound if there is no such job, and Unavailable if this instance's job index
// is too old to say so.
func (s *JobService) State(ctx context.Context, customer, id string) (ledger.State, error) {
	view, err := s.find(ctx, customer, id)
	return view.State, err
}

// RetryAfter returns how long a refused caller should wait before it retries. It returns 0, which leads the caller to another
// instance, while an outage of the log may affect this instance only.
func (s *JobService) RetryAfter() time.Duration {
	if max(s.writer.FailingFor(), s.log.Silence()-quietGap) < localOutageLimit {
		return 0
	}
	return outageRetryAfter
}

// Pending returns the number of jobs of a queue that have not started.
func (s *JobService) Pending(queue string) int { return s.index.Pending(queue) }

// Ready reports whether this instance can accept jobs and report their states.
func (s *JobService) Ready() bool {
	return s.index.Age(time.Now()) < maxReadyAge && !s.writer.Suspect()
}

// find returns a job of a customer, after reading new records unless the job is known to have ended.
func (s *JobService) find(ctx context.Context, customer, id string) (ledger.JobView, error) {
	view, known := s.refreshed(ctx, id)
	if known && view.Customer == customer {
		return view, nil
	}
	if !known && s.index.Age(time.Now()) > staleAfter {
		return view, errkind.New(errkind.Unavailable, "retry at another instance", "this instance does not know job %s, and its view of the log is out of date", id)
	}
	return view, noSuchJob(id)
}

// refreshed returns what the index shows of a job, after reading new records unless the job is known to have ended.
func (s *JobService) refreshed(ctx context.Context, id string) (view ledger.JobView, known bool) {
	if view, known = s.index.Find(id); known && view.State.Final() {
		return view, known
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	s.reader.Refresh(ctx)
	return s.index.Find(id)
}

func noSuchJob(id string) error {
	return errkind.New(errkind.NotFound, "check the id", "there is no job %s", id)
}

// record writes one record and waits for the outcome, at most for recordTimeout.
func (s *JobService) record(ctx context.Context, r ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	outcome := make(chan error, 1)
	withdraw := s.writer.PutWithdrawable(func(err error) { outcome <- err }, r)
	select {
	case err := <-outcome:
		return recordError(err)
	case <-ctx.Done():
	}
	if withdraw() {
		return errkind.Wrap(ctx.Err(), errkind.Unavailable, "retry after a second", "the record was not sent in time")
	}
	select {
	case err := <-outcome: // it became known after ctx ended
		return recordError(err)
	default:
		return errkind.Wrap(ctx.Err(), errkind.Unknown, "retry with the same id", "the log did not answer in time")
	}
}

// recordError returns the error for callers after a record was written with the given outcome.
func recordError(err error) error {
	var tooLarge *ledger.RecordSizeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return errkind.Wrap(err, errkind.TooLarge, "submit a smaller job", "the job does not fit into a record of the log")
	case ledger.IsInvalid(err):
		return errkind.Wrap(err, errkind.Invalid, "submit another job", "the log does not take the job")
	case ledger.IsRefused(err), errors.Is(err, ledger.ErrSuspect), errors.Is(err, ledger.ErrSilent):
		return errkind.Wrap(err, errkind.Unavailable, "retry after a second", "the log does not accept records at present")
	}
	return errkind.Wrap(err, errkind.Unknown, "retry with the same id", "the outcome is unknown")
}

// count counts one call and its outcome.
func (s *JobService) count(call, outcome string) {
	s.scope.Tagged(map[string]string{"call": call, "outcome": outcome}).Counter("calls").Inc(1)
}
