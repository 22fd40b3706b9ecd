package idempotency

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package, numbers 1600 to 1699.
var (
	eventFull = event.Define(1600, "request key table full", zerolog.WarnLevel,
		"The table of used request keys is full. Requests with unused keys are rejected as not run until keys expire.",
		"Add entry instances or lower the rate of non-idempotent requests.")
	eventHandedOver = event.Define(1601, "request keys handed over", zerolog.InfoLevel,
		"The successor has confirmed that it took over the request keys.", "")
	eventHandoverUnconfirmed = event.Define(1602, "request key handover unconfirmed", zerolog.WarnLevel,
		"The successor did not confirm that it took over the request keys. No other successor is tried, because two could run the same key.",
		"Requests whose keys it did not take over get the outcome unknown.")
	eventAdopted = event.Define(1603, "request keys adopted", zerolog.InfoLevel,
		"This instance took over the request keys of an instance that is stopping and acts as their issuer.", "")
)
