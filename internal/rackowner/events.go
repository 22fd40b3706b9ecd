package rackowner

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package.
var (
	eventSessionClaimed = event.Define(1900, "worker session claimed", zerolog.InfoLevel,
		"This instance became the rack owner of the worker.", "")
	eventSessionLost = event.Define(1901, "worker session lost", zerolog.WarnLevel,
		"The worker did not answer for one session lifetime, or another owner claimed it.",
		"Check the worker when no other instance claims it.")
	eventSessionReleased = event.Define(1902, "worker session released", zerolog.InfoLevel,
		"Another instance is the rack's owner now, so the session was given back.", "")
	eventSchedulerAttached = event.Define(1903, "scheduler attached", zerolog.InfoLevel,
		"A scheduler took the role at this rack owner.", "")
	eventWithheld = event.Define(1904, "task lease renewal withheld", zerolog.WarnLevel,
		"A gang's task leases are not extended, because a member is lost or the scheduler is not heard.", "")
	eventRoleLost = event.Define(1905, "scheduler role lost", zerolog.WarnLevel,
		"A rack owner refused this scheduler in favour of another one.", "")
)
