package rackowner

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package.
var (
	eventSessionClaimed = event.Define(1900, "worker session claimed", zerolog.InfoLevel,
		"This instance claimed the session of a worker in a rack that it owns.", "")
	eventSessionLost = event.Define(1901, "worker session lost", zerolog.WarnLevel,
		"The worker did not answer for one session lifetime, or another instance claimed its session.",
		"If no other instance claimed the session, check the worker.")
	eventSessionReleased = event.Define(1902, "worker session released", zerolog.InfoLevel,
		"This instance no longer owns the worker or is shutting down, so it released the session.", "")
	eventSchedulerAttached = event.Define(1903, "scheduler attached", zerolog.InfoLevel,
		"A scheduler claimed the scheduler role at this rack owner.", "")
	eventWithheld = event.Define(1904, "task lease renewal withheld", zerolog.WarnLevel,
		"Task leases are not extended: a gang member is lost, the scheduler sent no renewal, or it asked to withhold them.", "")
	eventRoleLost = event.Define(1905, "scheduler role lost", zerolog.WarnLevel,
		"A rack owner refused this scheduler because another one holds the role.", "")
)
