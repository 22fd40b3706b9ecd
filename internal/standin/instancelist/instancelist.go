// Package instancelist is a stand-in for the platform's instance list, with faults that can be switched on: an outage, and a lag by
// which the list is out of date. It is for tests and demonstrations.
package instancelist

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
)

// keptSnapshots limits the history from which a lagging list is served.
const keptSnapshots = 1024

// Faults can be switched on while the list runs. The zero value means no faults.
type Faults struct {
	Outage bool  `json:"outage"` // GET /instances fails with 503
	LagMS  int64 `json:"lag_ms"` // age of the list that is shown
}

// Service is an instance list. It is an http.Handler and safe for concurrent use.
type Service struct {
	router *mux.Router

	mu        sync.Mutex
	current   map[string]platform.Instance // instances by id
	revision  uint64
	snapshots []platform.InstanceList // snapshots, oldest first; the last one is the current list
	faults    Faults
}

// New returns an empty list.
func New() *Service {
	s := &Service{router: mux.NewRouter(), current: map[string]platform.Instance{}}
	s.snapshots = []platform.InstanceList{{AsOf: time.Now().UTC()}}
	s.router.HandleFunc("/instances", s.handleGet).Methods(http.MethodGet)
	s.router.HandleFunc("/instances/{id}", s.handlePut).Methods(http.MethodPut)
	s.router.HandleFunc("/instances/{id}", s.handleDelete).Methods(http.MethodDelete)
	s.router.HandleFunc("/control/list", s.handleControl).Methods(http.MethodPost)
	return s
}

// ServeHTTP serves one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Put adds or replaces instances.
func (s *Service) Put(instances ...platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range instances {
		s.current[i.ID] = i
	}
	s.recordSnapshot()
}

// Delete removes an instance.
func (s *Service) Delete(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, id)
	s.recordSnapshot()
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// recordSnapshot stores the current list as a snapshot, in the order of the ids. The caller holds mu.
func (s *Service) recordSnapshot() {
	s.revision++
	ids := slices.Sorted(maps.Keys(s.current))
	list := platform.InstanceList{Revision: s.revision, AsOf: time.Now().UTC()}
	for _, id := range ids {
		list.Instances = append(list.Instances, s.current[id])
	}
	s.snapshots = append(s.snapshots, list)
	if len(s.snapshots) > keptSnapshots {
		s.snapshots = slices.Clone(s.snapshots[keptSnapshots/2:])
	}
}

// visible returns the newest snapshot that is at least as old as the lag. It returns false during an outage.
func (s *Service) visible() (platform.InstanceList, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().UTC().Add(-time.Duration(s.faults.LagMS) * time.Millisecond)
	i := len(s.snapshots) - 1
	for i > 0 && s.snapshots[i].AsOf.After(asOf) {
		i--
	}
	list := s.snapshots[i]
	list.AsOf = asOf
	return list, !s.faults.Outage
}

func (s *Service) handleGet(w http.ResponseWriter, r *http.Request) {
	list, available := s.visible()
	if !available {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(list.Revision, 10))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // a failed write means that the caller has gone
}

func (s *Service) handlePut(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	instance.ID = mux.Vars(r)["id"]
	s.Put(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) handleDelete(w http.ResponseWriter, r *http.Request) {
	s.Delete(mux.Vars(r)["id"])
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) handleControl(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
