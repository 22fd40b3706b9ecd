// Package peer carries calls between entry instances: msgpack messages over authenticated TCP connections.
package peer

import (
	"context"
	"errors"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// ErrNotSent is in the chain of a call's error when no byte of the request has left this process, so the receiver
// cannot have acted on it. After any other error the receiver may have acted.
var ErrNotSent = errors.New("request was not sent")

// ErrPeerGone is in the chain of a call's error when the peer's host refused the connection, so its process is known
// to have ended. A timeout does not prove that, because a frozen process may resume.
var ErrPeerGone = errors.New("peer refused the connection")

// Caller sends calls to other entry instances.
type Caller interface {
	// Call sends request, waits for the answer until ctx ends and decodes it into response, or ignores it if response is
	// nil. The handler's context has ctx's deadline. An errkind.Error that the remote handler returns keeps its kind. A
	// call to the own instance runs the handler directly.
	Call(ctx context.Context, to structs.InstanceID, kind string, request, response any) error
}

// Handler serves one kind of call. from is the authenticated name of the calling instance. decode decodes the request,
// which is msgpack. The returned value is encoded as the answer.
type Handler func(ctx context.Context, from structs.InstanceID, decode func(into any) error) (any, error)

// Registrar registers handlers. All handlers must be registered before the node serves.
type Registrar interface {
	Handle(kind string, handler Handler)
}
