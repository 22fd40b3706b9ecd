package server

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/jobstore"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// instanceStatus is the section of the status on the instance itself.
type instanceStatus struct {
	Instance         structs.InstanceID `json:"instance"`
	DataCentre       structs.DataCentre `json:"data_centre"`
	Draining         bool               `json:"draining"`
	Scheduler        structs.InstanceID `json:"scheduler"` // instance that should be the data centre's scheduler
	SchedulerActive  bool               `json:"scheduler_active"`
	WorkersOwned     int                `json:"workers_owned"`
	WorkersReachable int                `json:"workers_reachable"`
}

func (s *Server) instanceStatus() instanceStatus {
	self, dc := s.members.Self()
	reachable, owned := s.rackOwner.Workers()
	return instanceStatus{
		Instance:         self,
		DataCentre:       dc,
		Draining:         s.draining.Load(),
		Scheduler:        s.members.Owner(dc, membership.OwnerKeyScheduler),
		SchedulerActive:  s.scheduler.Active(),
		WorkersOwned:     owned,
		WorkersReachable: reachable,
	}
}

// configurationStatus is the section of the status on the specification.
type configurationStatus struct {
	Version  uint64    `json:"version"`
	InForce  uint64    `json:"in_force"`
	UpToDate time.Time `json:"up_to_date"` // when the log was last read to its end; zero: never
}

func (s *Server) configurationStatus() configurationStatus {
	current, _ := s.config.Current()
	return configurationStatus{Version: current.Version, InForce: current.InForce, UpToDate: current.UpToDate}
}

// jobsStatus is the section of the status on the data centre's job stream.
type jobsStatus struct {
	Open     int       `json:"open"`
	Position uint64    `json:"position"` // offset of the next record to read
	UpToDate time.Time `json:"up_to_date"`
}

func (s *Server) jobsStatus() jobsStatus {
	return jobsStatus{Open: s.jobs.CountOpen(), Position: s.jobs.Position(), UpToDate: s.jobs.UpToDate()}
}

// servicesDown maps each service that is down in the data centre to the service that it is missing.
func (s *Server) servicesDown() map[structs.ServiceName]structs.ServiceName {
	down := map[structs.ServiceName]structs.ServiceName{}
	text := s.text()
	if text == nil {
		return down
	}
	for _, service := range text.Services {
		if up, missing := s.services.Up(service.Name); !up {
			down[service.Name] = missing
		}
	}
	return down
}

// membershipDump is the section of the state dump on this instance's view of the deployment.
type membershipDump struct {
	Fresh        bool                                               `json:"fresh"`
	Entries      []structs.InstanceID                               `json:"entries"` // those of this data centre that take part in ownership
	AllEntries   map[structs.InstanceID]structs.DataCentre          `json:"all_entries"`
	Workers      []platform.Instance                                `json:"workers"`
	PeerFreeSlot map[structs.ServiceName]map[structs.InstanceID]int `json:"peer_free_slots"`
}

func (s *Server) membershipDump() membershipDump {
	_, dc := s.members.Self()
	dump := membershipDump{
		Fresh:        s.members.Fresh(),
		Entries:      s.members.Entries(dc),
		AllEntries:   s.members.AllEntries(),
		Workers:      s.members.Workers(dc),
		PeerFreeSlot: map[structs.ServiceName]map[structs.InstanceID]int{},
	}
	if text := s.text(); text != nil {
		for _, service := range text.Services {
			if service.Minions != nil {
				dump.PeerFreeSlot[service.Name] = freeSlots{s.members}.FreeSlots(service.Name)
			}
		}
	}
	return dump
}

func (s *Server) openJobs() []jobstore.Entry {
	open, _ := s.jobs.OpenJobs()
	return open
}
