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
	// collectTimeout bounds the collection of a status or dump.
	collectTimeout = 5 * time.Second
	// followWriteTimeout bounds one write to a follower, so that a stalled one holds its connection no longer.
	followWriteTimeout = 10 * time.Second
	// followIdle is the interval of empty lines by which a vanished follower is noticed.
	followIdle = 5 * time.Second
	// maxFollowers bounds the followers of one instance.
	maxFollowers = 32
)

// Section is a named part of a status or dump. Collect returns a value that encodes as JSON.
type Section struct {
	Name    string
	Collect func(ctx context.Context) any
}

// EventsBody is the answer to GET /v1/events without follow. With follow the answer is one event.Record a line, without
// Content-Length, and an empty line when nothing happens.
type EventsBody struct {
	Events []event.Record `json:"events"`
}

// HealthBody is the answer to a health check.
type HealthBody struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// Status holds the handlers for operators' views and for the balancer's checks.
type Status struct {
	Auth    *Authenticator
	Status  []Section
	Dump    []Section
	Live    func() error // nil: always live
	Ready   func() error
	Events  *event.Log
	Metrics http.Handler
	// Done is closed when the instance drains; followers are then released. nil: never.
	Done <-chan struct{}

	followers chan struct{}
}

// Register adds the handlers to a router. Health checks and metrics need no token.
func (h *Status) Register(router *mux.Router) {
	h.followers = make(chan struct{}, maxFollowers)
	router.HandleFunc("/v1/status", h.Auth.operators(sections(h.Status))).Methods(http.MethodGet)
	router.HandleFunc("/dump", h.Auth.operators(sections(h.Dump))).Methods(http.MethodGet)
	router.HandleFunc("/v1/events", h.Auth.operators(h.events)).Methods(http.MethodGet)
	router.HandleFunc("/healthz/live", health(h.Live)).Methods(http.MethodGet, http.MethodHead)
	router.HandleFunc("/healthz/ready", health(h.Ready)).Methods(http.MethodGet, http.MethodHead)
	router.Handle("/metrics", h.Metrics).Methods(http.MethodGet)
}

func sections(parts []Section) http.HandlerFunc {
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

func health(check func() error) http.HandlerFunc {
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
			WriteError(w, errkind.New(errkind.Invalid, "give the sequence number of the last event that you have", "since is not a number"), "", 0)
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
		WriteError(w, errkind.New(errkind.Overloaded, "end another one", "%d followers are connected already", maxFollowers), "", time.Second)
	}
}

// follow writes events as they happen until the follower, or the instance, leaves.
func (h *Status) follow(w http.ResponseWriter, r *http.Request, since uint64) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	idle := time.NewTicker(followIdle)
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
