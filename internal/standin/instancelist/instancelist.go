// Package instancelist is a stand-in for the platform's instance list. It shows the list as it was some time ago, and its
// outage can be switched on. It is for tests and demonstrations.
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

// keptSnapshots bounds the history from which a lagging list is served.
const keptSnapshots = 1024

// Faults are what can be switched on while the list runs.
type Faults struct {
	Outage bool  `json:"outage"` // every call of GET /instances fails with 503
	LagMS  int64 `json:"lag_ms"` // age of the list that is shown
}

// Service is the list. It is an http.Handler.
type Service struct {
	router *mux.Router

	mu        sync.Mutex
	current   map[string]platform.Instance
	revision  uint64
	snapshots []platform.InstanceList
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

// ServeHTTP serves the list's calls.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Put adds or replaces instances.
func (s *Service) Put(instances ...platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range instances {
		s.current[i.ID] = i
	}
	s.record()
}

// Delete removes an instance.
func (s *Service) Delete(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, id)
	s.record()
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// record keeps the present list as a snapshot, in order of the ids.
func (s *Service) record() {
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

// shown returns the newest snapshot that is at least as old as the lag.
func (s *Service) shown() (platform.InstanceList, bool) {
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
	list, up := s.shown()
	if !up {
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
	_ = json.NewEncoder(w).Encode(list) // a failed write means that the client has gone
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
