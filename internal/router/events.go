package router

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package.
var (
	eventDraining = event.Define(1700, "router draining", zerolog.InfoLevel,
		"This instance rejects new requests and finishes those it has accepted.", "")
	eventDrained = event.Define(1701, "router drained", zerolog.InfoLevel,
		"Every accepted request has finished.", "")
	eventBudgetSpent = event.Define(1702, "retry budget spent", zerolog.WarnLevel,
		"The retry budget of a service is exhausted; failed requests are not retried.",
		"Check the minions of the service.")
)
