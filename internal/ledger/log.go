// Package ledger keeps the durable state of jobs in the platform's log: submissions and cancellations written by every
// entry instance, and outcomes and task runs written by the scheduler of the current term.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Topics of the log. All are compacted by key, so the newest record of each key outlives the log's retention.
const (
	JobsTopic = "keyed.jobs" // submissions, cancellations and outcomes
	RunsTopic = "keyed.runs" // state of each started unit, written and read by schedulers only
	TermTopic = "keyed.term" // the current scheduler and its heartbeats
)

// Record is one keyed record. A nil Value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	End     int64 // offset after the last record of the topic
}

// Writing options of an append. The zero value appends unconditionally.
type Writing struct {
	At       int64  // with Exactly: the append succeeds only if the topic ends here
	Exactly  bool   // whether At applies
	Producer string // with Epoch and Sequence: makes a repeated append idempotent and fences older epochs
	Epoch    int64
	Sequence int64
}

// Log is the platform's append-only log as this package needs it.
type Log interface {
	// Append adds records all or nothing and returns the offset after the last one. An empty list with a producer only
	// sets the producer's epoch. Errors: *RefusedError, *UnknownError, *FencedError, *SequenceError, *MovedError.
	Append(ctx context.Context, topic string, records []Record, w Writing) (end int64, err error)
	// Read returns records from an offset on, waiting up to wait for the first. Errors: *TrimmedError, *UnknownError.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of every key. Records after Batch.End may or may not be included, so the caller
	// continues to read from there and may see a record twice.
	Newest(ctx context.Context, topic string) (Batch, error)
}

// RefusedError says that the log did nothing.
type RefusedError struct{ Status int }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("the log refused the call with status %d", e.Status)
}

// UnknownError says that the call may or may not have taken effect.
type UnknownError struct{ Cause error }

func (e *UnknownError) Error() string { return "the log gave no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// FencedError says that a writer with a higher epoch has taken over.
type FencedError struct{}

func (e *FencedError) Error() string { return "a later term has taken over the log" }

// SequenceError says which sequence number the log expects of the producer.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("the log expects sequence number %d", e.Expected)
}

// MovedError says that the topic no longer ends where a conditional append expected it.
type MovedError struct{ End int64 }

func (e *MovedError) Error() string { return fmt.Sprintf("the topic ends at offset %d", e.End) }

// TrimmedError says that the requested records have expired.
type TrimmedError struct{ First int64 }

func (e *TrimmedError) Error() string { return fmt.Sprintf("the log starts at offset %d", e.First) }

// IsRefused reports whether err says that nothing was done.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// IsFenced reports whether err says that a later term has taken over.
func IsFenced(err error) bool {
	var fenced *FencedError
	return errors.As(err, &fenced)
}
