package server

import (
	"context"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// buildRoutes returns the routes of the HTTP interface.
func (s *Server) buildRoutes() *mux.Router {
	routes := mux.NewRouter()
	auth := &api.Authenticator{Text: s.text, OperatorTokensSHA256: s.settings.OperatorTokensSHA256}
	(&api.Requests{Auth: auth, Router: s.router, Keys: s.keys}).Register(routes)
	(&api.Jobs{Auth: auth, Gateway: s.gateway}).Register(routes)
	(&api.Config{Auth: auth, Store: s.config}).Register(routes)
	(&api.Status{
		Auth:    auth,
		Status:  s.statusSections(),
		Dump:    s.dumpSections(),
		Ready:   s.ready,
		Events:  s.events,
		Metrics: s.metrics,
		Done:    s.stopping,
	}).Register(routes)
	return routes
}

// ready returns an error while the load balancer should send no requests to this instance. Its kind is Unavailable.
func (s *Server) ready() error {
	switch {
	case s.draining.Load():
		return errkind.New(errkind.Unavailable, "use another instance", "the instance is draining")
	case s.text() == nil:
		return errkind.New(errkind.Unavailable, "publish a specification, or check the log service and the peers", "no configuration is in force")
	case !s.members.Fresh():
		return errkind.New(errkind.Unavailable, "wait until the instance has refreshed its view", "the view of the deployment is out of date")
	default:
		return nil
	}
}

// statusSections returns the sections of the status: a summary of the instance and its data centre.
func (s *Server) statusSections() []api.Section {
	return []api.Section{
		{Name: "instance", Collect: func(context.Context) any { return s.instanceStatus() }},
		{Name: "configuration", Collect: func(context.Context) any { return s.configurationStatus() }},
		{Name: "jobs", Collect: func(context.Context) any { return s.jobsStatus() }},
		{Name: "services_down", Collect: func(context.Context) any { return s.servicesDown() }},
		{Name: "queues", Collect: func(context.Context) any { return s.router.Statuses() }},
	}
}

// dumpSections returns the sections of the state dump: the status and the details behind it.
func (s *Server) dumpSections() []api.Section {
	return append(s.statusSections(),
		api.Section{Name: "membership", Collect: func(context.Context) any { return s.membershipDump() }},
		api.Section{Name: "minions", Collect: func(context.Context) any { return s.minionPool.Reports() }},
		api.Section{Name: "request_keys_used", Collect: func(context.Context) any { return s.keys.Used() }},
		api.Section{Name: "open_jobs", Collect: func(context.Context) any { return s.openJobs() }},
		api.Section{Name: "settings", Collect: func(context.Context) any { return s.settings }},
	)
}
