package idempotency

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package, numbers 1600 to 1699.
var (
	eventFull = event.Define(1600, "request key table full", zerolog.WarnLevel,
		"The table of used request keys is full; requests with new keys are refused as not run until keys expire.",
		"Add entry instances or lower the rate of non-idempotent requests.")
	eventHandedOver = event.Define(1601, "request keys handed over", zerolog.InfoLevel,
		"The successor has confirmed that it took over the request keys.", "")
	eventHandoverUnconfirmed = event.Define(1602, "request key handover unconfirmed", zerolog.WarnLevel,
		"The successor did not confirm that it took over the request keys; no other one is tried.",
		"Callers whose keys it did not take over get the outcome unknown.")
	eventAdopted = event.Define(1603, "request keys adopted", zerolog.InfoLevel,
		"This instance acts as the issuer of the request keys of another one that stopped.", "")
)
