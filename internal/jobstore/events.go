package jobstore

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

var eventWriteFails = event.Define(1300, "job changes not written", zerolog.WarnLevel,
	"Submissions, cancellations or results could not be appended to the log, or the log's answer was lost. Callers get an error.",
	"Check the log service.")
