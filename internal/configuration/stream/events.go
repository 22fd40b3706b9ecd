package stream

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

var (
	eventStartedAtSnapshot = event.Define(1250, "stream started at snapshot", zerolog.InfoLevel,
		"The instance restored the state of a stream from a snapshot and folds the records after it.", "")
	eventReadFails = event.Define(1251, "stream cannot be read", zerolog.WarnLevel,
		"Reading a stream of the log fails. The instance keeps its state and retries.",
		"Check the log service. If the error says that there is no snapshot to start from, keep an instance that has the state running.")
	eventReadWorks = event.Define(1252, "stream can be read again", zerolog.InfoLevel,
		"Reading a stream of the log works again.", "")
	eventGap = event.Define(1253, "stream has a gap", zerolog.WarnLevel,
		"Retention dropped records before this instance read them. It restarts from a snapshot.",
		"Check that the setting log_retention is not longer than the log's retention.")
	eventRecordRefused = event.Define(1254, "record refused", zerolog.ErrorLevel,
		"A record is malformed or its HMAC is wrong. All instances skip it.",
		"Find out who writes to the stream.")
	eventHalted = event.Define(1255, "stream halted at unknown key", zerolog.ErrorLevel,
		"A record is signed with a key that the settings do not list. The fold stops before it until a peer provides a newer state.",
		"Add the key to peer_keys and restart the instance.")
	eventAdopted = event.Define(1256, "stream state adopted", zerolog.InfoLevel,
		"The state of a stream was replaced by that of a peer that was ahead.", "")
	eventSnapshot = event.Define(1257, "snapshot written", zerolog.InfoLevel,
		"This instance wrote a snapshot of a stream.", "")
	eventSnapshotFails = event.Define(1258, "snapshot not written", zerolog.WarnLevel,
		"A snapshot that is due could not be written. The instance retries.", "Check the log service.")
	eventGapClosed = event.Define(1259, "stream gap closed", zerolog.ErrorLevel,
		"Retention dropped records before any instance read them, in an outage as long as the retention. The stream continues without them; their senders were told that the outcome is unknown.",
		"Repeat publishes and submissions whose outcome was unknown. Consider a longer retention of the log.")
	eventFetchFails = event.Define(1260, "stream state not fetched from peer", zerolog.DebugLevel,
		"A peer that may be ahead did not return its state. The instance tries other peers and the log.", "")
	eventServesFromPeers = event.Define(1261, "stream state taken from peers", zerolog.WarnLevel,
		"The log could not be read at start, so the instance uses the newest state that its peers hold.",
		"Check the log service.")
)
