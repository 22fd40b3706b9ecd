package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

const (
	// collectTimeout bounds how long collecting a status or dump may take.
	collectTimeout = 5 * time.Second
	// followWriteTimeout bounds one write to a follower, so that a stalled one cannot hold its connection open.
	followWriteTimeout = 10 * time.Second
	// keepAliveInterval is the time between empty lines to a follower; a write that fails shows that it has disconnected.
	keepAliveInterval = 5 * time.Second
	// maxFollowers bounds the connections of one instance that follow its events.
	maxFollowers = 32
)

// Section is a named part of a status or dump. Collect returns a value that encodes as JSON.
type Section struct {
	Name    string
	Collect func(ctx context.Context) any
}

// EventsBody is the answer to GET /v1/events without follow. With follow, the answer is a stream with one event.Record per
// line, and an empty line at intervals as a keep-alive.
type EventsBody struct {
	Events []event.Record `json:"events"`
}

// HealthBody is the answer to a health check.
type HealthBody struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// Status holds the handlers for status, state dump, events, health checks and metrics.
type Status struct {
	Auth    *Authenticator
	Status  []Section
	Dump    []Section
	Live    func() error // nil: always live
	Ready   func() error
	Events  *event.Log
	Metrics http.Handler
	// Done is closed when the instance starts to drain, which ends all event streams. nil: never.
	Done <-chan struct{}

	followers chan struct{} // semaphore of maxFollowers slots
}

// Register adds the handlers to a router. Health checks and metrics need no token.
func (h *Status) Register(router *mux.Router) {
	h.followers = make(chan struct{}, maxFollowers)
	router.HandleFunc("/v1/status", h.Auth.operatorsOnly(sectionsHandler(h.Status))).Methods(http.MethodGet)
	router.HandleFunc("/dump", h.Auth.operatorsOnly(sectionsHandler(h.Dump))).Methods(http.MethodGet)
	router.HandleFunc("/v1/events", h.Auth.operatorsOnly(h.events)).Methods(http.MethodGet)
	router.HandleFunc("/healthz/live", healthHandler(h.Live)).Methods(http.MethodGet, http.MethodHead)
	router.HandleFunc("/healthz/ready", healthHandler(h.Ready)).Methods(http.MethodGet, http.MethodHead)
	router.Handle("/metrics", h.Metrics).Methods(http.MethodGet)
}

// sectionsHandler answers with the values of all sections by name.
func sectionsHandler(parts []Section) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), collectTimeout)
		defer cancel()
		collected := make(map[string]any, len(parts))
		for _, part := range parts {
			collected[part.Name] = part.Collect(ctx)
		}
		WriteJSON(w, http.StatusOK, collected)
	}
}

func healthHandler(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if check != nil {
			if err := check(); err != nil {
				WriteJSON(w, http.StatusServiceUnavailable, HealthBody{Reason: err.Error()})
				return
			}
		}
		WriteJSON(w, http.StatusOK, HealthBody{OK: true})
	}
}

func (h *Status) events(w http.ResponseWriter, r *http.Request) {
	since := uint64(0)
	if text := r.URL.Query().Get("since"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			WriteError(w, errkind.New(errkind.Invalid, "give the sequence number of the last event that you have received", "since is not a whole number"), "", 0)
			return
		}
		since = number
	}
	if follow := r.URL.Query().Get("follow"); follow != "1" && follow != "true" {
		records, _ := h.Events.Since(since)
		WriteJSON(w, http.StatusOK, EventsBody{Events: records})
		return
	}
	select {
	case h.followers <- struct{}{}:
		defer func() { <-h.followers }()
		h.follow(w, r, since)
	default:
		WriteError(w, errkind.New(errkind.Overloaded, "disconnect another follower", "%d followers are connected already", maxFollowers), "", time.Second)
	}
}

// follow writes events as they happen until the follower disconnects or the instance drains.
func (h *Status) follow(w http.ResponseWriter, r *http.Request, since uint64) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	idle := time.NewTicker(keepAliveInterval)
	defer idle.Stop()
	for {
		records, changed := h.Events.Since(since)
		_ = control.SetWriteDeadline(time.Now().Add(followWriteTimeout)) // not supported by test writers
		for _, record := range records {
			if encoder.Encode(record) != nil {
				return
			}
			since = record.Sequence
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-idle.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-h.Done:
			return
		case <-r.Context().Done():
			return
		}
	}
}
