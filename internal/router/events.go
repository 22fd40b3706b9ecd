package router

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package.
var (
	eventDraining = event.Define(1700, "router draining", zerolog.InfoLevel,
		"This instance refuses new requests and finishes the accepted ones.", "")
	eventDrained = event.Define(1701, "router drained", zerolog.InfoLevel,
		"Every accepted request has its outcome.", "")
	eventBudgetSpent = event.Define(1702, "retry budget spent", zerolog.WarnLevel,
		"Requests of a service fail faster than the retry budget allows them to be repeated.",
		"Check the minions of the service.")
)
