// Package peer carries calls between entry instances: msgpack messages over authenticated TCP connections.
package peer

import (
	"context"
	"errors"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// ErrNotSent is in the chain of a call's error when no byte of the request has left this process, so the receiver
// cannot have acted on it. Any other error leaves open whether the receiver acted.
var ErrNotSent = errors.New("request was not sent")

// ErrPeerGone is in the chain of a call's error when the peer's host refused the connection, so its process is known
// to be gone. A timeout does not give it: a frozen process may wake up.
var ErrPeerGone = errors.New("peer refused the connection")

// Caller sends calls to other entry instances.
type Caller interface {
	// Call sends request, waits for the answer until ctx ends and decodes it into response (nil: ignored). The
	// receiver sees ctx's deadline. A typed error of the remote handler (errkind.Error) arrives typed. Calls to the own
	// instance run the handler directly.
	Call(ctx context.Context, to structs.InstanceID, kind string, request, response any) error
}

// Handler serves one kind of call. from is the authenticated name of the caller. decode fills the request from
// msgpack. The returned value is encoded as the answer.
type Handler func(ctx context.Context, from structs.InstanceID, decode func(into any) error) (any, error)

// Registrar registers handlers. All are registered before the node serves.
type Registrar interface {
	Handle(kind string, handler Handler)
}
