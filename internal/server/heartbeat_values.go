package server

import (
	"context"

	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Topics of the values that heartbeats carry.
const (
	topicFreeSlots     = "free_slots"
	topicConfiguration = "configuration"
	topicJobs          = "jobs"
)

// configurationPosition is the value of topicConfiguration.
type configurationPosition struct {
	Version uint64 `msgpack:"v"`
	Next    uint64 `msgpack:"n"` // offset of the first record not yet applied
}

// attachHeartbeatValues registers the values that this instance sends to its peers in heartbeats.
func (s *Server) attachHeartbeatValues() {
	s.members.Attach(topicFreeSlots, membership.SameDataCentre, func() any { return s.freeSlots() })
	s.members.Attach(topicConfiguration, membership.Everywhere, func() any {
		version, next := s.config.Position()
		return configurationPosition{Version: version, Next: next}
	})
	s.members.Attach(topicJobs, membership.SameDataCentre, func() any { return s.jobs.Position() })
	s.exchangeSuccessors = s.keys.ExchangeSuccessors(s.members, s.members)
}

// freeSlots returns the number of free slots on this instance's minions for every service that takes requests. It is
// empty while the instance drains.
func (s *Server) freeSlots() map[structs.ServiceName]int {
	free := map[structs.ServiceName]int{}
	text := s.text()
	if text == nil || s.draining.Load() {
		return free
	}
	for _, service := range text.Services {
		if service.Minions != nil {
			free[service.Name] = s.minionPool.Free(service.Name)
		}
	}
	return free
}

// followJobs passes the positions of the data centre's other instances in the job stream to the job store until ctx ends.
func (s *Server) followJobs(ctx context.Context) error {
	for {
		changed := s.members.Watch(topicJobs)
		for _, id := range s.localEntries() {
			var next uint64
			_, found, err := s.members.Value(id, topicJobs, &next)
			if found && err == nil {
				s.jobs.RecordPeerPosition(id, next)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// followConfiguration passes the positions of all other instances to the configuration store until ctx ends.
func (s *Server) followConfiguration(ctx context.Context) error {
	for {
		changed := s.members.Watch(topicConfiguration)
		for id := range s.members.AllEntries() {
			var position configurationPosition
			_, found, err := s.members.Value(id, topicConfiguration, &position)
			if found && err == nil {
				s.config.RecordPeerPosition(id, position.Version, position.Next)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
