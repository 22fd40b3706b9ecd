// Package entry answers callers at an entry instance: it accepts jobs, cancels them and tells their state. A job is accepted
// when its record is in the log; which instance answers makes no difference.
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
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Limits of answering.
const (
	recordPatience = 1500 * time.Millisecond // for the log to answer; a caller learns of an open outcome while it can still retry
	staleAfter     = 2500 * time.Millisecond // a view older than this cannot tell that a job does not exist
	readyWithin    = 1700 * time.Millisecond // age of the view up to which an instance is ready; two open reads and a pause
	refreshWithin  = 80 * time.Millisecond   // for the log's news before a job's state is told
	youngOutage    = time.Second             // up to this age the log may be out for this instance only, so callers retry elsewhere at once
	outagePause    = time.Second             // told to callers when the log is out for longer; they give up after a few seconds
)

var (
	eventAccepted   = event.Define(2600, "job accepted", zerolog.InfoLevel, "The job's record is in the log.", "")
	eventRejected   = event.Define(2601, "job refused", zerolog.WarnLevel, "The job was not accepted and never runs, unless an attempt elsewhere is accepted.", "")
	eventOpen       = event.Define(2602, "job outcome open", zerolog.WarnLevel, "The log did not say in time whether it has the record. The caller is told that the outcome is unknown.", "Check the log service when it lasts.")
	eventCancelled  = event.Define(2603, "cancellation accepted", zerolog.InfoLevel, "The cancellation's record is in the log.", "")
	eventRepeated   = event.Define(2605, "job repeated", zerolog.InfoLevel, "A job that is known was handed in again. It remains one job.", "")
	eventTurnedAway = event.Define(2606, "call turned away", zerolog.WarnLevel, "A call named no queue, no customer or no job that can be understood, judged by the configuration in force.", "")
	eventCancelOpen = event.Define(2604, "cancellation not recorded", zerolog.WarnLevel, "The log did not take the cancellation in time. The caller is told to retry.", "")
)

// Desk answers callers. It is safe for concurrent use.
type Desk struct {
	board  *ledger.JobIndex
	reader *ledger.Reader // of the board
	writer *ledger.Writer
	log    *ledger.MonitoredLog // that all of these use
	events *event.Log
	scope  tally.Scope
}

// New returns a desk that answers from a board, which reader keeps, and records with a writer. Both use log.
func New(board *ledger.JobIndex, reader *ledger.Reader, writer *ledger.Writer, log *ledger.MonitoredLog, events *event.Log, scope tally.Scope) *Desk {
	return &Desk{board: board, reader: reader, writer: writer, log: log, events: events, scope: scope}
}

// Submit accepts a job. Errors are of kind Unavailable when the job was not accepted and Unknown when that is open.
func (d *Desk) Submit(ctx context.Context, job *workload.Job) error {
	begun := time.Now()
	if view, known := d.board.Find(job.ID); known {
		d.count("submit", "repeated")
		d.events.Emit(eventRepeated, event.F("job", job.ID), event.F("queue", job.Queue), event.F("state", view.State), event.F("view_age_ms", d.board.Age(begun).Milliseconds()))
		if view.Customer != job.Customer {
			return errkind.New(errkind.Forbidden, "use an id of your own", "job %s belongs to another customer", job.ID)
		}
		return nil
	}
	err := d.record(ctx, ledger.SubmissionRecord(job))
	d.scope.Histogram("submit_latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)).RecordDuration(time.Since(begun))
	switch {
	case err == nil:
		d.board.Apply(ledger.Entry{ID: job.ID, Submission: job})
		d.count("submit", "accepted")
		d.events.Emit(eventAccepted, event.F("job", job.ID), event.F("customer", job.Customer), event.F("queue", job.Queue), event.F("took_ms", time.Since(begun).Milliseconds()))
		return nil
	case errkind.Is(err, errkind.Unknown):
		d.count("submit", "open")
		d.events.Emit(eventOpen, event.F("job", job.ID), event.F("queue", job.Queue), event.F("took_ms", time.Since(begun).Milliseconds()), event.F("cause", err))
	default:
		d.count("submit", "refused")
		d.events.Emit(eventRejected, event.F("job", job.ID), event.F("queue", job.Queue), event.F("took_ms", time.Since(begun).Milliseconds()), event.F("cause", err))
	}
	return err
}

// TurnAway notes a call that was rejected before it concerned a job: why, the id it named, and the version of the configuration
// that decided, 0 for none.
func (d *Desk) TurnAway(reason, id string, version int64) {
	d.count("turned_away", reason)
	d.events.Emit(eventTurnedAway, event.F("job", id), event.F("reason", reason), event.F("configuration", version))
}

// Cancel ends a job. Errors are of kind NotFound when there is no such job, and Unavailable or Unknown when the caller must
// retry.
func (d *Desk) Cancel(ctx context.Context, customer, id string) error {
	view, err := d.find(ctx, customer, id)
	if err != nil {
		return err
	}
	if view.State.Final() {
		return nil
	}
	now := time.Now()
	if err := d.record(ctx, ledger.CancellationRecord(id, now)); err != nil {
		d.count("cancel", "open")
		d.events.Emit(eventCancelOpen, event.F("job", id), event.F("cause", err))
		return err
	}
	d.board.Apply(ledger.Entry{ID: id, Cancellation: &ledger.Cancellation{Time: now}})
	d.count("cancel", "accepted")
	d.events.Emit(eventCancelled, event.F("job", id), event.F("state", view.State))
	return nil
}

// State returns a job's state. Errors are of kind NotFound when there is no such job, and Unavailable when that cannot be told.
func (d *Desk) State(ctx context.Context, customer, id string) (ledger.State, error) {
	view, err := d.find(ctx, customer, id)
	return view.State, err
}

// RetryAfter returns when a caller that was refused should come back: at once, and so to another instance, while the log may
// be out for this instance only.
func (d *Desk) RetryAfter() time.Duration {
	if max(d.writer.FailingFor(), d.log.Silence()) < youngOutage {
		return 0
	}
	return outagePause
}

// Pending returns the number of a queue's jobs that have not begun.
func (d *Desk) Pending(queue string) int { return d.board.Pending(queue) }

// Ready reports whether this instance can accept jobs and tell their states.
func (d *Desk) Ready() bool {
	return d.board.Age(time.Now()) < readyWithin && !d.writer.Suspect()
}

func (d *Desk) find(ctx context.Context, customer, id string) (ledger.JobView, error) {
	view, known := d.board.Find(id)
	if !known || !view.State.Final() {
		ctx, cancel := context.WithTimeout(ctx, refreshWithin)
		d.reader.Refresh(ctx)
		cancel()
		view, known = d.board.Find(id)
	}
	if known && view.Customer == customer {
		return view, nil
	}
	if !known && d.board.Age(time.Now()) > staleAfter {
		return view, errkind.New(errkind.Unavailable, "retry at another instance", "this instance cannot reach the log and does not know job %s", id)
	}
	return view, errkind.New(errkind.NotFound, "check the id", "there is no job %s", id)
}

// record writes one record and waits for the outcome, at most recordPatience.
func (d *Desk) record(ctx context.Context, r ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, recordPatience)
	defer cancel()
	outcome := make(chan error, 1)
	withdraw := d.writer.PutWithdrawable(func(err error) { outcome <- err }, r)
	select {
	case err := <-outcome:
		return recordError(err)
	case <-ctx.Done():
	}
	if withdraw() {
		return errkind.Wrap(ctx.Err(), errkind.Unavailable, "retry after a second", "the record was not sent in time")
	}
	select {
	case err := <-outcome: // it became known at the last moment
		return recordError(err)
	default:
		return errkind.Wrap(ctx.Err(), errkind.Unknown, "retry with the same id", "the log did not answer in time")
	}
}

// recordError translates the outcome of writing a record.
func recordError(err error) error {
	switch {
	case err == nil:
		return nil
	case ledger.IsRefused(err), errors.Is(err, ledger.ErrSuspect), errors.Is(err, ledger.ErrSilent):
		return errkind.Wrap(err, errkind.Unavailable, "retry after a second", "the log does not take records now")
	}
	return errkind.Wrap(err, errkind.Unknown, "retry with the same id", "the outcome is open")
}

func (d *Desk) count(call, outcome string) {
	d.scope.Tagged(map[string]string{"call": call, "outcome": outcome}).Counter("calls").Inc(1)
}
