package stream

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

var (
	eventStarted = event.Define(1250, "stream started at snapshot", zerolog.InfoLevel,
		"The fold of a stream started at a snapshot.", "")
	eventReadFails = event.Define(1251, "stream cannot be read", zerolog.WarnLevel,
		"Reading a stream of the log fails. The instance keeps its state and tries again.",
		"Check the log service. If the error says that there is no snapshot to start from, keep an instance that has the state running.")
	eventReadWorks = event.Define(1252, "stream can be read again", zerolog.InfoLevel,
		"Reading a stream of the log works again.", "")
	eventGap = event.Define(1253, "stream has a gap", zerolog.WarnLevel,
		"Records were dropped by retention before this instance read them. It starts again at a snapshot.",
		"Check that the setting log_retention is not longer than the log's retention.")
	eventForged = event.Define(1254, "record refused", zerolog.ErrorLevel,
		"A record does not carry the HMAC of a peer key. All instances pass over it.",
		"Find out who writes to the stream.")
	eventHalted = event.Define(1255, "stream halted at unknown key", zerolog.ErrorLevel,
		"A record is signed with a key that the settings do not list. The fold stops before it until a peer hands on a newer state.",
		"Add the key to peer_keys and restart the instance.")
	eventAdopted = event.Define(1256, "stream state adopted", zerolog.InfoLevel,
		"The state of a stream was taken over from a peer that was ahead.", "")
	eventSnapshot = event.Define(1257, "snapshot written", zerolog.InfoLevel,
		"This instance wrote a snapshot of a stream.", "")
	eventSnapshotFails = event.Define(1258, "snapshot not written", zerolog.WarnLevel,
		"A due snapshot could not be written. It is tried again.", "Check the log service.")
	eventGapClosed = event.Define(1259, "stream gap closed", zerolog.ErrorLevel,
		"Records were dropped by retention before any instance read them, in an outage as long as the retention. The stream goes on without them; their senders were told that the outcome is unknown.",
		"Repeat publishes and submissions whose outcome was unknown. Consider a longer retention of the log.")
	eventFetchFails = event.Define(1260, "stream state not fetched from peer", zerolog.DebugLevel,
		"A peer that may be ahead did not hand on its state. Another one or the log is tried.", "")
	eventServesFromPeers = event.Define(1261, "stream state taken from peers", zerolog.WarnLevel,
		"The log could not be read at start, so the newest state that the peers hold is used.",
		"Check the log service.")
)
