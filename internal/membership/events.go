package membership

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package, numbers 1500 to 1599.
var (
	eventEntries = event.Define(1500, "entries changed", zerolog.InfoLevel,
		"The set of entry instances of this data centre that may own keys changed.", "")
	eventListDown = event.Define(1501, "instance list down", zerolog.WarnLevel,
		"The instance list cannot be read; the last list stays in use, and heartbeats keep the view up to date.", "Check the instance list.")
	eventListUp      = event.Define(1502, "instance list up", zerolog.InfoLevel, "The instance list can be read again.", "")
	eventListIgnored = event.Define(1503, "instance list ignored", zerolog.WarnLevel,
		"The instance list returned a list that is older than an earlier one, or one without entry instances; it was ignored.",
		"Check the instance list.")
	eventFrozen = event.Define(1504, "process was frozen", zerolog.WarnLevel,
		"The heartbeat loop did not run for longer than freeze_threshold; nothing is dispatched until the view is refreshed.",
		"If this happens again, check the host for overload or suspension.")
	eventRefreshed = event.Define(1505, "view refreshed", zerolog.InfoLevel, "The view is up to date again; dispatching resumes.", "")
	eventDelisted  = event.Define(1506, "own instance not listed", zerolog.ErrorLevel,
		"The instance list no longer contains this instance, so it owns no keys and dispatches nothing.",
		"Replace the instance, or find out why the platform removed it from the list.")
	eventListRowsIgnored = event.Define(1508, "rows of the instance list ignored", zerolog.WarnLevel,
		"Rows of the instance list cannot be decoded and are left out. Written when their number changes.", "Check which program wrote them.")
	eventGone = event.Define(1507, "instance gone", zerolog.InfoLevel, "Another entry instance is known to have ended.", "")
)
