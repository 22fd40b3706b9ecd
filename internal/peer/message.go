package peer

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// protocolVersion is the version of the message format. A receiver refuses any other version.
const protocolVersion = 1

// maxClockSkew is the largest difference that is assumed between the clocks of two instances.
const maxClockSkew = time.Second

// message is a request or an answer. An answer carries the request's id and no kind.
type message struct {
	Version   int        `msgpack:"v"`
	ID        uint64     `msgpack:"i"`
	Kind      string     `msgpack:"k,omitempty"`
	Deadline  int64      `msgpack:"d,omitempty"` // Unix time in ms
	Remaining int64      `msgpack:"r,omitempty"` // time left at sending in µs
	Payload   []byte     `msgpack:"p,omitempty"` // msgpack
	Error     *wireError `msgpack:"e,omitempty"`
}

// wireError is the encoded form of an errkind.Error.
type wireError struct {
	Code    string `msgpack:"c"`
	Status  int    `msgpack:"s"`
	Exit    int    `msgpack:"x"`
	Message string `msgpack:"m"`
	Remedy  string `msgpack:"r"`
}

// maxErrorTextBytes is the largest size of an error's message and of its remedy on the wire.
const maxErrorTextBytes = 2 << 10

func toWire(err error) *wireError {
	typed := errkind.As(err)
	if typed.Kind == errkind.Internal && errors.Is(err, context.DeadlineExceeded) {
		typed = &errkind.Error{Kind: errkind.Deadline, Message: err.Error(), Remedy: "allow more time"}
	}
	text := typed.Message
	if typed.Cause != nil {
		text += ": " + typed.Cause.Error()
	}
	return &wireError{
		Code:    typed.Kind.Code,
		Status:  typed.Kind.Status,
		Exit:    typed.Kind.Exit,
		Message: text[:min(len(text), maxErrorTextBytes)],
		Remedy:  typed.Remedy[:min(len(typed.Remedy), maxErrorTextBytes)],
	}
}

// fromWire returns the remote error. Its chain never holds ErrNotSent or ErrPeerGone, because these describe calls of
// the remote instance.
func (e *wireError) fromWire() error {
	kind := errkind.Kind{Code: e.Code, Status: e.Status, Exit: e.Exit}
	return errkind.New(kind, e.Remedy, "%s", e.Message)
}

// setDeadline sets the deadline both as a time and as the time left.
func (m *message) setDeadline(deadline, now time.Time) {
	m.Deadline = deadline.UnixMilli()
	m.Remaining = max(1, deadline.Sub(now).Microseconds())
}

// deadline returns the request's deadline by this process's clock: the earlier of two. The one computed from the time
// left is right if the request was read soon after it was sent. The absolute one, plus an allowance for clock skew,
// limits a request that lay unread while the receiver was frozen.
func (m *message) deadline(now time.Time) time.Time {
	byRemaining := now.Add(min(time.Duration(m.Remaining)*time.Microsecond, maxCallTime))
	byClock := time.UnixMilli(m.Deadline).Add(maxClockSkew)
	if byClock.Before(byRemaining) {
		return byClock
	}
	return byRemaining
}

// withinCallTime limits the time of a call to maxCallTime, or to defaultCallTime if its context has no deadline.
func withinCallTime(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := maxCallTime
	if _, has := ctx.Deadline(); !has {
		limit = defaultCallTime
	}
	return context.WithTimeout(ctx, limit)
}
