package membership

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package, numbers 1500 to 1599.
var (
	eventEntries = event.Define(1500, "entries changed", zerolog.InfoLevel,
		"The entry instances that take part in ownership in the own data centre changed.", "")
	eventListDown = event.Define(1501, "instance list down", zerolog.WarnLevel,
		"The instance list cannot be read; the last view is kept and refined by heartbeats.", "Check the instance list.")
	eventListUp      = event.Define(1502, "instance list up", zerolog.InfoLevel, "The instance list can be read again.", "")
	eventListIgnored = event.Define(1503, "instance list ignored", zerolog.WarnLevel,
		"The instance list answered with an older list than before or with one without entry instances.",
		"Check the instance list.")
	eventFrozen = event.Define(1504, "process was frozen", zerolog.WarnLevel,
		"The heartbeat loop did not run for longer than freeze_threshold; nothing is dispatched until the view is refreshed.",
		"Check the host for overload or suspension when it repeats.")
	eventRefreshed = event.Define(1505, "view refreshed", zerolog.InfoLevel, "The view is fresh; dispatching may go on.", "")
	eventDropped   = event.Define(1506, "own instance not listed", zerolog.ErrorLevel,
		"The instance list no longer shows this instance, so it takes part in nothing.",
		"Replace the instance, or find out why the platform dropped it.")
	eventGone = event.Define(1507, "instance gone", zerolog.InfoLevel, "Another entry instance is known to have ended.", "")
)
