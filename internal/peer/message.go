package peer

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// protocolVersion is the version of the messages. A receiver refuses any other one.
const protocolVersion = 1

// maxClockSkew is the largest difference between the clocks of two instances.
const maxClockSkew = time.Second

// message is a request or an answer. An answer has the request's id and no kind.
type message struct {
	Version   int        `msgpack:"v"`
	ID        uint64     `msgpack:"i"`
	Kind      string     `msgpack:"k,omitempty"`
	Deadline  int64      `msgpack:"d,omitempty"` // Unix time in ms
	Remaining int64      `msgpack:"r,omitempty"` // time left at sending in µs
	Payload   []byte     `msgpack:"p,omitempty"` // msgpack
	Error     *wireError `msgpack:"e,omitempty"`
}

// wireError carries an errkind.Error.
type wireError struct {
	Code    string `msgpack:"c"`
	Status  int    `msgpack:"s"`
	Exit    int    `msgpack:"x"`
	Message string `msgpack:"m"`
	Remedy  string `msgpack:"r"`
}

// maxErrorText bounds the texts of an error on the wire.
const maxErrorText = 2 << 10

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
		Message: text[:min(len(text), maxErrorText)],
		Remedy:  typed.Remedy[:min(len(typed.Remedy), maxErrorText)],
	}
}

// fromWire returns the remote error. Its chain holds neither ErrNotSent nor ErrPeerGone, whatever the remote one held.
func (e *wireError) fromWire() error {
	kind := errkind.Kind{Code: e.Code, Status: e.Status, Exit: e.Exit}
	return errkind.New(kind, e.Remedy, "%s", e.Message)
}

// setDeadline sends both the time and the time left.
func (m *message) setDeadline(deadline, now time.Time) {
	m.Deadline = deadline.UnixMilli()
	m.Remaining = max(1, deadline.Sub(now).Microseconds())
}

// deadline returns when the request ends by this process's clock. The time left is exact when the request arrives at
// once. The time itself, with an allowance for skew, covers a request that lay unread while the receiver was frozen.
func (m *message) deadline(now time.Time) time.Time {
	byRemaining := now.Add(min(time.Duration(m.Remaining)*time.Microsecond, maxCallTime))
	byClock := time.UnixMilli(m.Deadline).Add(maxClockSkew)
	if byClock.Before(byRemaining) {
		return byClock
	}
	return byRemaining
}

// withinCallTime bounds the time of a call whose context has no deadline or a very late one.
func withinCallTime(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := maxCallTime
	if _, has := ctx.Deadline(); !has {
		limit = defaultCallTime
	}
	return context.WithTimeout(ctx, limit)
}
