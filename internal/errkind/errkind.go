// Package errkind defines the errors that callers and operators see. Each has a kind, a message and a remedy.
package errkind

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
)

// Kind classifies an error. It determines the HTTP status of an answer and the exit code of a command.
type Kind struct {
	Code   string // stable name for programs
	Status int    // HTTP status
	Exit   int    // process exit code
}

// Kinds of errors.
var (
	Invalid      = Kind{"invalid", http.StatusBadRequest, 2}
	Unauthorised = Kind{"unauthorised", http.StatusUnauthorized, 3}
	Forbidden    = Kind{"forbidden", http.StatusForbidden, 3}
	NotFound     = Kind{"not_found", http.StatusNotFound, 4}
	Conflict     = Kind{"conflict", http.StatusConflict, 5}
	LostRace     = Kind{"lost_race", http.StatusConflict, 5}
	TooLarge     = Kind{"too_large", http.StatusRequestEntityTooLarge, 2}
	KeyRequired  = Kind{"key_required", http.StatusPreconditionRequired, 2}
	KeyExpired   = Kind{"key_expired", http.StatusGone, 6}
	InProgress   = Kind{"in_progress", http.StatusConflict, 5}
	Overloaded   = Kind{"overloaded", http.StatusTooManyRequests, 7}
	Deadline     = Kind{"deadline", http.StatusGatewayTimeout, 7}
	Unavailable  = Kind{"unavailable", http.StatusServiceUnavailable, 7}
	Dependency   = Kind{"dependency_down", http.StatusServiceUnavailable, 7}
	Unknown      = Kind{"unknown_outcome", http.StatusBadGateway, 8}
	CannotRun    = Kind{"cannot_run", http.StatusUnprocessableEntity, 9}
	Internal     = Kind{"internal", http.StatusInternalServerError, 1}
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Message string // what happened
	Remedy  string // what the user can do about it
	Cause   error  // underlying error, may be nil
}

// Error returns the message, the cause and the remedy in one line.
func (e *Error) Error() string {
	text := e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		text += " (" + e.Remedy + ")"
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error of the given kind with a stack trace.
func New(kind Kind, remedy, format string, args ...any) error {
	return eris.Wrap(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}, kind.Code)
}

// Wrap returns an error of the given kind with a stack trace and cause in its chain.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) error {
	return eris.Wrap(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Cause: cause}, kind.Code)
}

// As returns the typed error in err's chain; any other error becomes one of kind Internal.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: Internal, Message: err.Error(), Remedy: "report this error with the state dump of the instance"}
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
