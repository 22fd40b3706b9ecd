package gang

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package.
var (
	eventAborted = event.Define(2100, "gang start aborted", zerolog.InfoLevel,
		"A member could not be held or started in time, so all members are being released.", "")
	eventUncertain = event.Define(2101, "gang member uncertain", zerolog.WarnLevel,
		"A member may have started and cannot be reached; it may run alone for at most one task lease.",
		"Check the connection to the worker if this happens repeatedly.")
)
