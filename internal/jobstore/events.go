package jobstore

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

var eventWriteFails = event.Define(1300, "job changes not written", zerolog.WarnLevel,
	"Submissions, cancellations or results could not be written to the log, or its answer was lost. Callers are told.",
	"Check the log service.")
