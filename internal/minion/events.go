package minion

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package.
var (
	eventClaimed = event.Define(1800, "minion claimed", zerolog.InfoLevel,
		"This instance took over a minion and sends requests to its free slots.", "")
	eventReleased = event.Define(1801, "minion released", zerolog.InfoLevel,
		"This instance sends a minion no new requests: another one owns it, this one is draining, or the minion is unlisted.", "")
	eventUnhealthy = event.Define(1802, "minion unhealthy", zerolog.WarnLevel,
		"A minion refused a connection, so it gets no requests until it answers a status request.",
		"Check the minion's process and its network.")
	eventHealthy = event.Define(1803, "minion healthy", zerolog.InfoLevel,
		"A minion answered its first status request, or answers again, so it may get requests.", "")
	eventLeaving = event.Define(1804, "minion leaving", zerolog.InfoLevel,
		"The instance list or the minion itself reports that it is leaving, so it gets no new requests.", "")
	eventPaused = event.Define(1805, "minion owner paused", zerolog.WarnLevel,
		"This process was suspended for longer than the freeze threshold; it claims its minions again before it uses them.",
		"Check the host for memory pressure and for suspended processes.")
)
