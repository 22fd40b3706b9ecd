package minion

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package.
var (
	eventClaimed = event.Define(1800, "minion claimed", zerolog.InfoLevel,
		"This instance became the owner of a minion and may use its free slots.", "")
	eventReleased = event.Define(1801, "minion released", zerolog.InfoLevel,
		"This instance stopped using a minion because another instance owns it, or because this one is draining.", "")
	eventUnhealthy = event.Define(1802, "minion unhealthy", zerolog.WarnLevel,
		"A minion refused a connection or stopped answering its status, so it gets no work.",
		"Check the minion's process and its network.")
	eventHealthy = event.Define(1803, "minion healthy", zerolog.InfoLevel,
		"A minion answers its status again and gets work.", "")
	eventLeaving = event.Define(1804, "minion leaving", zerolog.InfoLevel,
		"The instance list or the minion itself says that it is leaving, so it gets no new work.", "")
	eventPaused = event.Define(1805, "minion owner paused", zerolog.WarnLevel,
		"This process did not run for longer than the freeze threshold; it claims its minions again before it uses them.",
		"Check the host for memory pressure or a suspended process.")
)
