package peer

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package, numbers 1400 to 1499.
var (
	eventConnectionRejected = event.Define(1400, "peer connection rejected", zerolog.WarnLevel,
		"An incoming connection did not prove possession of a shared key.",
		"Check peer_keys on both instances; otherwise find out who connects to the peer port.")
	eventDialFailed = event.Define(1401, "peer dial rejected", zerolog.WarnLevel,
		"Another instance did not accept this instance's proof, or did not prove possession of a shared key itself.",
		"Check that peer_keys lists the same secrets on both instances.")
	eventHandlerPanic = event.Define(1402, "peer handler panicked", zerolog.ErrorLevel,
		"The handler of a call panicked; the caller got an internal error.",
		"Report this with the stack in the event.")
	eventAnswerTooLarge = event.Define(1403, "peer answer too large", zerolog.WarnLevel,
		"The answer to a call was larger than its connection allows, so the caller got an error instead.", "")
)
