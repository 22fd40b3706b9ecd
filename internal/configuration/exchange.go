package configuration

import (
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// CallFetch is the kind of the call that fetches the state of a peer that is ahead.
const CallFetch = "configuration.fetch"

// Register registers the handler of the fetch call.
func (s *Store) Register(registrar peer.Registrar) { s.exchange.Register(registrar) }

// RecordPeerPosition processes the position that a peer's heartbeat reports, see Position. It never blocks.
func (s *Store) RecordPeerPosition(from structs.InstanceID, version, next uint64) {
	if version > s.fold.version() {
		s.exchange.RecordPeerPosition(from, next)
	}
}

func (s *Store) entries() []structs.InstanceID {
	var ids []structs.InstanceID
	for id := range s.options.Entries() {
		ids = append(ids, id)
	}
	return ids
}
