package server

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

var (
	eventStarted = event.Define(1000, "instance started", zerolog.InfoLevel,
		"The instance listens for callers and peers.", "")
	eventDraining = event.Define(1001, "instance draining", zerolog.InfoLevel,
		"The instance was asked to stop: it takes no new work, finishes what it has and hands over what it owns.", "")
	eventStopped = event.Define(1002, "instance stopped", zerolog.InfoLevel,
		"The instance has handed over everything and ends.", "")
	eventKeysNotHandedOver = event.Define(1003, "request keys not handed over", zerolog.WarnLevel,
		"No successor is known to have taken over the request keys. Requests with these keys get the outcome unknown.",
		"Nothing for a single instance. When it repeats, look for peers that cannot be reached.")
)
