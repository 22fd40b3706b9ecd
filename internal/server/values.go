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
	Next    uint64 `msgpack:"n"` // offset of the first record that is not folded
}

func (s *Server) attachValues() {
	s.members.Attach(topicFreeSlots, membership.SameDataCentre, func() any { return s.freeSlots() })
	s.members.Attach(topicConfiguration, membership.Everywhere, func() any {
		version, next := s.config.Position()
		return configurationPosition{Version: version, Next: next}
	})
	s.members.Attach(topicJobs, membership.SameDataCentre, func() any { return s.jobs.Position() })
	s.successors = s.keys.ExchangeSuccessors(s.members, s.members)
}

// freeSlots returns the free slots of every service that takes requests.
func (s *Server) freeSlots() map[structs.ServiceName]int {
	free := map[structs.ServiceName]int{}
	text := s.text()
	if text == nil || s.draining.Load() {
		return free
	}
	for _, service := range text.Services {
		if service.Minions != nil {
			free[service.Name] = s.pool.Free(service.Name)
		}
	}
	return free
}

// followJobs tells the job store how far its peers of the data centre are, until ctx ends.
func (s *Server) followJobs(ctx context.Context) error {
	for {
		changed := s.members.Watch(topicJobs)
		for _, id := range s.entriesHere() {
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

// followConfiguration tells the configuration store how far its peers are, until ctx ends.
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
