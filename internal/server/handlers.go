package server

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/configuration"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

const maxPublishBytes = 2 << 20

func (s *Server) handlers() *mux.Router {
	routes := mux.NewRouter()
	auth := &api.Authenticator{Text: s.text, OperatorTokensSHA256: s.settings.OperatorTokensSHA256}
	(&api.Requests{Auth: auth, Router: s.router, Keys: keyIssuer{s}}).Register(routes)
	(&api.Jobs{Auth: auth, Gateway: s.gateway}).Register(routes)
	routes.HandleFunc("/v1/config", func(w http.ResponseWriter, r *http.Request) {
		if err := auth.Operator(r); err != nil {
			api.WriteError(w, err, "", 0)
			return
		}
		var request configuration.PublishRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPublishBytes)).Decode(&request); err != nil {
			api.WriteError(w, errkind.Wrap(err, errkind.Invalid, "send JSON", "cannot read the request"), "", 0)
			return
		}
		result, err := s.config.Publish(r.Context(), request)
		if err != nil {
			api.WriteError(w, err, "", 0)
			return
		}
		api.WriteJSON(w, http.StatusOK, result)
	}).Methods(http.MethodPost)
	routes.HandleFunc("/healthz/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	routes.HandleFunc("/healthz/ready", s.ready)
	routes.Handle("/metrics", s.metrics)
	return routes
}

// ready tells the balancer whether to send requests here.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() || s.text() == nil || !s.members.Fresh() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
