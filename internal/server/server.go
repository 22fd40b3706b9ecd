// Package server builds the components of one entry instance, connects them, and runs them from start to drain.
package server

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/clientlimit"
	"dogwoodnotch.example/dogwoodnotch/internal/configuration"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/idempotency"
	"dogwoodnotch.example/dogwoodnotch/internal/jobstore"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/metrics"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/rackowner"
	"dogwoodnotch.example/dogwoodnotch/internal/router"
	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/settings"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// metricsRequests is the number of requests for metrics that are answered at once. Each gathers all metrics in memory.
const metricsRequests = 4

// Server is one entry instance.
type Server struct {
	settings      *settings.Settings
	events        *event.Log
	scope         tally.Scope
	metrics       http.Handler
	metricsCloser io.Closer
	draining      atomic.Bool
	stopping      chan struct{} // closed when the drain begins, which ends the event streams

	peerNode   *peer.Node
	members    *membership.Members
	config     *configuration.Store
	jobs       *jobstore.Store
	keys       *idempotency.Keys
	minionPool *minion.Pool
	router     *router.Router
	rackOwner  *rackowner.Owner
	scheduler  *scheduler.Scheduler
	gateway    *scheduler.Gateway
	services   *scheduler.Services
	routes     *mux.Router
	clients    *clientlimit.Guard

	exchangeSuccessors func(context.Context) error // tells peers which successor holds whose request keys, and learns the same from them
}

// New builds an instance from its settings; nothing runs until Run is called. Log lines are written to logs. Its error has
// the kind Invalid.
func New(s *settings.Settings, logs io.Writer) (*Server, error) {
	events := event.NewLog(logs, string(s.Instance))
	scope, handler, closer := metrics.New(map[string]string{"instance": string(s.Instance)})
	clients := clientlimit.New(clientLimits(s.Clients), events, scope)
	handler = clients.Buffered(handler, metricsRequests)
	server := &Server{settings: s, clients: clients, events: events, scope: scope, metrics: handler, metricsCloser: closer, stopping: make(chan struct{})}
	ring, err := newKeyRing(s)
	if err != nil {
		return nil, err
	}
	if err := server.buildPeers(ring); err != nil {
		return nil, err
	}
	server.buildStreams(ring)
	if err := server.buildRequests(ring); err != nil {
		return nil, err
	}
	server.buildJobs()
	server.registerPeerCalls()
	server.attachHeartbeatValues()
	server.routes = server.buildRoutes()
	return server, nil
}

// newKeyRing returns a key ring with the peer keys of the settings.
func newKeyRing(s *settings.Settings) (*peer.KeyRing, error) {
	var keys []peer.SharedKey
	for _, k := range s.PeerKeys {
		keys = append(keys, peer.SharedKey{ID: k.ID, Secret: []byte(k.Secret), UseFrom: k.UseFrom})
	}
	return peer.NewKeyRing(keys, nil)
}

func (s *Server) buildPeers(ring *peer.KeyRing) error {
	node, err := peer.New(peer.Config{
		Self:      s.settings.Instance,
		Keys:      ring,
		Resolve:   func(id structs.InstanceID) (string, bool) { return s.members.PeerAddress(id) },
		BulkKinds: []string{configuration.CallFetch, jobstore.CallFetch, router.CallForward},
		Events:    s.events,
		Scope:     s.scope,
	})
	if err != nil {
		return err
	}
	s.peerNode = node
	timing := s.settings.Timing
	s.members, err = membership.New(membership.Config{
		Self:        s.settings.Instance,
		DataCentre:  s.settings.DataCentre,
		Address:     s.settings.Advertise,
		PeerAddress: s.settings.PeerAdvertise,
		Incarnation: membership.NewIncarnation(),
		List:        platform.NewList(platform.NewHTTPClient(), s.settings.InstanceList),
		Caller:      node,
		Timing: membership.Timing{
			Heartbeat:       timing.Heartbeat,
			HeartbeatRemote: timing.HeartbeatRemote,
			Suspect:         timing.SuspectAfter,
			ListPoll:        timing.ListPoll,
			FreezeThreshold: timing.FreezeThreshold,
		},
		Events: s.events,
		Scope:  s.scope,
	})
	return err
}

func (s *Server) buildStreams(ring *peer.KeyRing) {
	log := platform.NewLog(platform.NewHTTPClient(), s.settings.LogService)
	limiter := configuration.NewAppendLimiter(s.countRunningEntries)
	timing := s.settings.Timing
	s.config = configuration.New(configuration.Options{
		Self:      s.settings.Instance,
		Log:       log,
		Keys:      ring,
		Limiter:   limiter,
		Events:    s.events,
		Metrics:   s.scope,
		Peers:     s.peerNode,
		Entries:   s.members.AllEntries,
		Retention: timing.LogRetention,
		PollWait:  timing.ConfigPoll,
	})
	s.jobs = jobstore.New(jobstore.Options{
		DataCentre: s.settings.DataCentre,
		Log:        log,
		Keys:       ring,
		Limiter:    limiter,
		Events:     s.events,
		Metrics:    s.scope,
		Retention:  timing.LogRetention,
		PollWait:   timing.ConfigPoll,
		MaxOpen:    s.maxOpenJobs,
		Peers:      s.peerNode,
		Self:       s.settings.Instance,
		Entries:    s.localEntries,
	})
}

// countRunningEntries returns the number of entry instances that are not known to have ended. They share the limit on
// appends to the log.
func (s *Server) countRunningEntries() int {
	count := 0
	for id := range s.members.AllEntries() {
		if !s.members.Gone(id) {
			count++
		}
	}
	return count
}

// localEntries returns every known entry instance of this data centre, including suspected and leaving ones.
func (s *Server) localEntries() []structs.InstanceID {
	_, ownCentre := s.members.Self()
	var ids []structs.InstanceID
	for id, dc := range s.members.AllEntries() {
		if dc == ownCentre {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *Server) text() *spec.Text { return s.config.Text() }

// maxOpenJobs returns the limit on unfinished jobs, 0 while no specification is in force.
func (s *Server) maxOpenJobs() int {
	text := s.text()
	if text == nil {
		return 0
	}
	return text.Limits.QueuedJobs
}

func (s *Server) buildRequests(ring *peer.KeyRing) error {
	var err error
	s.keys, err = idempotency.New(idempotency.Config{
		Self:      idempotency.Issuer{Instance: s.settings.Instance, Incarnation: membership.NewIncarnation()},
		Ring:      ring,
		Directory: s.members,
		Caller:    s.peerNode,
		Lifetime:  s.settings.Timing.KeyLifetime,
		Events:    s.events,
		Scope:     s.scope,
	})
	if err != nil {
		return err
	}
	s.minionPool = minion.New(minion.Config{
		View:            s.members,
		Peers:           s.peerNode,
		Text:            s.text,
		Events:          s.events,
		Scope:           s.scope,
		StatusInterval:  s.settings.Timing.MinionStatusPoll,
		FreezeThreshold: s.settings.Timing.FreezeThreshold,
	})
	s.router = router.New(router.Config{
		Text:         s.text,
		Pool:         router.FromPool(s.minionPool),
		Keys:         newRouterKeys(s.keys),
		Peers:        freeSlots{members: s.members},
		Calls:        s.peerNode,
		Dependencies: dependencies{server: s},
		Events:       s.events,
		Scope:        s.scope,
	})
	return nil
}

func (s *Server) registerPeerCalls() {
	s.members.Register(s.peerNode)
	s.config.Register(s.peerNode)
	s.jobs.Register(s.peerNode)
	s.keys.Register(s.peerNode)
	s.minionPool.Register(s.peerNode)
	s.router.Register(s.peerNode)
	s.rackOwner.Register(s.peerNode)
	s.gateway.Register(s.peerNode)
}
