package gang

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package.
var (
	eventAborted = event.Define(2100, "gang start aborted", zerolog.InfoLevel,
		"A member could not be held or started, so all members were released.", "")
	eventUncertain = event.Define(2101, "gang member uncertain", zerolog.WarnLevel,
		"A member may have started and cannot be reached; it runs alone for at most one task lease.",
		"Check the connection to the worker when this repeats.")
)
