package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/configuration"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

const (
	// maxPublishBytes bounds the body of a publish. A text has at most 1 MiB, and JSON escapes a byte to at most six.
	maxPublishBytes = 7 << 20
	// versionTimeout bounds how long reading an older text from the log may take.
	versionTimeout = 5 * time.Second
	// publishRetryAfter is the delay that a failed publish suggests before a retry.
	publishRetryAfter = 2 * time.Second
)

// ConfigStore is the part of configuration.Store that the handlers use.
type ConfigStore interface {
	Current() (configuration.Current, bool)
	Publish(ctx context.Context, request configuration.PublishRequest) (configuration.PublishResult, error)
	History() []configuration.Entry
	VersionText(ctx context.Context, version uint64) (string, error)
}

// ConfigBody is the answer to GET /v1/config and GET /v1/config/versions/{n}. InForce and UpToDate are set for the
// current version only.
type ConfigBody struct {
	Version  uint64     `json:"version"`
	InForce  uint64     `json:"in_force,omitempty"` // version that this instance applies; older than Version only when the newest text is unusable
	UpToDate *time.Time `json:"up_to_date,omitempty"`
	Text     string     `json:"text"`
}

// HistoryBody is the answer to GET /v1/config/history.
type HistoryBody struct {
	Entries []configuration.Entry `json:"entries"` // oldest first
}

// LostRaceBody is the answer to a publish whose base version is no longer the current one.
type LostRaceBody struct {
	configuration.PublishResult
	ErrorBody
}

// Config holds the handlers that show and publish the specification. All need an operator's token.
type Config struct {
	Auth  *Authenticator
	Store ConfigStore
}

// Register adds the handlers to a router.
func (h *Config) Register(router *mux.Router) {
	router.HandleFunc("/v1/config", h.Auth.operatorsOnly(h.show)).Methods(http.MethodGet)
	router.HandleFunc("/v1/config", h.Auth.operatorsOnly(h.publish)).Methods(http.MethodPost)
	router.HandleFunc("/v1/config/history", h.Auth.operatorsOnly(h.history)).Methods(http.MethodGet)
	router.HandleFunc("/v1/config/versions/{n}", h.Auth.operatorsOnly(h.version)).Methods(http.MethodGet)
}

// operatorsOnly wraps a handler so that it answers only requests with an operator's token.
func (a *Authenticator) operatorsOnly(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := a.Operator(r); err != nil {
			WriteError(w, err, "", 0)
			return
		}
		next(w, r)
	}
}

func (h *Config) show(w http.ResponseWriter, _ *http.Request) {
	current, ok := h.Store.Current()
	if !ok {
		WriteError(w, errkind.New(errkind.NotFound, "publish a text with: dogwoodnotch publish FILE --base=0",
			"no configuration is in force at this instance"), "", 0)
		return
	}
	body := ConfigBody{Version: current.Version, InForce: current.InForce, Text: current.Raw}
	if !current.UpToDate.IsZero() {
		body.UpToDate = &current.UpToDate
	}
	WriteJSON(w, http.StatusOK, body)
}

func (h *Config) publish(w http.ResponseWriter, r *http.Request) {
	var request configuration.PublishRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPublishBytes)).Decode(&request); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			WriteError(w, errkind.New(errkind.TooLarge, "shorten the text to 1 MiB", "the request has more than %d bytes", maxPublishBytes), "", 0)
			return
		}
		WriteError(w, errkind.Wrap(err, errkind.Invalid, "send base_version, publish_id, author and text as JSON", "cannot decode the request"), "", 0)
		return
	}
	result, err := h.Store.Publish(r.Context(), request)
	if err != nil {
		WriteError(w, err, "", publishRetryAfter)
		return
	}
	if result.Result != configuration.LostRace {
		WriteJSON(w, http.StatusOK, result)
		return
	}
	body := LostRaceBody{PublishResult: result, ErrorBody: ErrorBody{
		Kind:    errkind.LostRace.Code,
		Message: "another text has been published since; the current version is " + strconv.FormatUint(result.Version, 10),
		Remedy:  "merge the difference into the text and publish it with the current version as its base",
	}}
	WriteJSON(w, errkind.LostRace.Status, body)
}

func (h *Config) history(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, HistoryBody{Entries: h.Store.History()})
}

func (h *Config) version(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(mux.Vars(r)["n"], 10, 64)
	if err != nil {
		WriteError(w, errkind.New(errkind.Invalid, "give a version number", "the version is not a whole number"), "", 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), versionTimeout)
	defer cancel()
	text, err := h.Store.VersionText(ctx, number)
	if err != nil {
		WriteError(w, err, "", 0)
		return
	}
	WriteJSON(w, http.StatusOK, ConfigBody{Version: number, Text: text})
}
