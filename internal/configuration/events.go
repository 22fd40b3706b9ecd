package configuration

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

var (
	eventLowerVersionRefused = event.Define(1200, "lower configuration refused", zerolog.ErrorLevel,
		"A snapshot or a peer's state had a lower version than the one in force and was refused.",
		"Report this with the state dumps of both instances.")
	eventUnusable = event.Define(1201, "configuration not usable", zerolog.ErrorLevel,
		"The accepted text does not pass the checks of this release. The instance keeps using the last text that does.",
		"Publish a text that passes the checks of every running release, or upgrade the instance.")
	eventInForce = event.Define(1202, "configuration in force", zerolog.InfoLevel,
		"A new version of the text is in force at this instance.", "")
)
