// Package ledger keeps the durable state of jobs in the platform's log. Every entry instance writes submissions and
// cancellations; the scheduler of the current term writes outcomes and the state of task runs.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Topics of the log. All are compacted by key: the newest record of each key is kept beyond the log's retention.
const (
	JobsTopic = "keyed.jobs" // submissions, cancellations and outcomes
	RunsTopic = "keyed.runs" // state of each started unit; only schedulers write and read it
	TermTopic = "keyed.term" // the current scheduler, its heartbeats, and requests to take over
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

// AppendOptions are the conditions of an append. The zero value appends unconditionally.
type AppendOptions struct {
	ExpectedEnd int64  // if Conditional is set, the append succeeds only if the topic ends at this offset
	Conditional bool   // whether ExpectedEnd applies
	Producer    string // if set, Epoch and Sequence make a repeated append idempotent, and older epochs are fenced
	Epoch       int64
	Sequence    int64
}

// Log is the platform's append-only log as this package needs it.
type Log interface {
	// Append adds all records or none and returns the offset after the last one. An empty list with a producer only
	// sets the producer's epoch. Errors: *RefusedError, *InvalidError, *UnknownError, *FencedError, *SequenceError, *MovedError.
	Append(ctx context.Context, topic string, records []Record, options AppendOptions) (end int64, err error)
	// Read returns records from an offset on. It waits at most the given time for the first of them. Errors: *TrimmedError,
	// *RefusedError, *UnknownError.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of every key. Records after Batch.End may or may not be included, so the caller reads
	// on from Batch.End and may see a record twice. Errors: *RefusedError, *UnknownError.
	Newest(ctx context.Context, topic string) (Batch, error)
}

// RefusedError says that the log refused the call, which had no effect.
type RefusedError struct{ Status int }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("the log refused the call with status %d", e.Status)
}

// InvalidError says that the log will never accept the records, for example because one of them is too large. The call had no effect.
type InvalidError struct{ Cause error }

func (e *InvalidError) Error() string { return "the log does not take the records: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// RecordSizeError says that a record exceeds the log's limit, so that it was not sent.
type RecordSizeError struct {
	Key         string
	Size, Limit int // bytes
}

func (e *RecordSizeError) Error() string {
	return fmt.Sprintf("the record %.40q has %d bytes, and the log takes at most %d", e.Key, e.Size, e.Limit)
}

// UnhandledError says that handling a record panicked. The record is skipped.
type UnhandledError struct {
	Key   string
	Cause error
}

func (e *UnhandledError) Error() string {
	return fmt.Sprintf("handling the record %.40q panicked: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnhandledError) Unwrap() error { return e.Cause }

// UnknownError says that the call may or may not have taken effect.
type UnknownError struct{ Cause error }

func (e *UnknownError) Error() string { return "the log gave no usable answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// FencedError says that the call was refused because a writer with a higher epoch has taken over.
type FencedError struct{}

func (e *FencedError) Error() string { return "a later term has taken over the log" }

// SequenceError says that the sequence number was wrong, and which one the log expects of the producer.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("the log expects sequence number %d", e.Expected)
}

// MovedError says that a conditional append had no effect because the topic ends elsewhere.
type MovedError struct{ End int64 }

func (e *MovedError) Error() string {
	return fmt.Sprintf("conditional append failed: the topic ends at offset %d", e.End)
}

// TrimmedError says that the log has dropped the requested records.
type TrimmedError struct{ First int64 }

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("the records were dropped: the log starts at offset %d", e.First)
}

// IsRefused reports whether err says that the log refused the call, which had no effect.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// IsInvalid reports whether err says that the log will never accept the records.
func IsInvalid(err error) bool {
	var invalid *InvalidError
	return errors.As(err, &invalid)
}

// IsUnrecordable reports whether err says that a record was not and never can be written.
func IsUnrecordable(err error) bool {
	var size *RecordSizeError
	return errors.As(err, &size) || IsInvalid(err)
}

// IsFenced reports whether err says that a later term has taken over.
func IsFenced(err error) bool {
	var fenced *FencedError
	return errors.As(err, &fenced)
}
