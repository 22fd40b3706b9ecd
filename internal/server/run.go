package server

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/clientlimit"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Limits of the HTTP interface and timeouts of the drain's steps.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// writeTimeout counts from the end of a request's header. It exceeds the longest wait of a job call, 60 s. Calls that
	// may take longer, namely requests to a service and the event stream, set their own write deadline when they write.
	writeTimeout = 90 * time.Second
	// partWriteTimeout bounds one write. An answer of the largest size is one write.
	partWriteTimeout = 30 * time.Second
	idleTimeout      = 60 * time.Second
	maxHeaderBytes   = 64 << 10
	// balancerGrace is how long a draining instance still accepts requests after its readiness check has started to fail.
	// By then the load balancer has noticed and sends no more requests.
	balancerGrace = time.Second
	leaveTimeout  = 2 * time.Second // to tell the peers that this instance is leaving
	endTimeout    = time.Second     // to tell the peers that this instance has ended
)

// Run runs the instance until ctx ends or a component fails, then drains it. It returns nil after a complete drain.
func (s *Server) Run(ctx context.Context) error {
	httpListener, err := listen(ctx, s.settings.Listen)
	if err != nil {
		return err
	}
	peerListener, err := listen(ctx, s.settings.PeerListen)
	if err != nil {
		httpListener.Close()
		return err
	}
	s.events.Emit(eventStarted, event.F("listen", s.settings.Listen), event.F("peer_listen", s.settings.PeerListen))
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	httpServer := newHTTPServer(s.routes)
	s.clients.Configure(httpServer)
	group, workCtx := errgroup.WithContext(workCtx)
	s.startComponents(workCtx, group, peerListener)
	group.Go(func() error { return ignoreServerClosed(httpServer.Serve(s.clients.Listener(httpListener, "http"))) })
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
	}
	drainError := s.drain(workCtx, httpServer)
	stop()
	runError := group.Wait()
	s.events.Emit(eventStopped)
	_ = s.metricsCloser.Close() // flushes metrics; a failure is harmless as the process ends
	return errors.Join(drainError, runError)
}

// clientLimits returns the limits for clients. Where the settings say nothing, they are those of newHTTPServer.
func clientLimits(c clientlimit.Settings) clientlimit.Limits {
	c.HeaderBytes = cmp.Or(c.HeaderBytes, maxHeaderBytes)
	c.HeaderTimeoutMS = cmp.Or(c.HeaderTimeoutMS, readHeaderTimeout.Milliseconds())
	c.BodyTimeoutMS = cmp.Or(c.BodyTimeoutMS, readTimeout.Milliseconds())
	c.IdleTimeoutMS = cmp.Or(c.IdleTimeoutMS, idleTimeout.Milliseconds())
	c.WriteTimeoutMS = cmp.Or(c.WriteTimeoutMS, partWriteTimeout.Milliseconds())
	l := c.Derive(0, 0)
	l.MemoryBytes += l.DecodeBytes // bodies are passed on without being decoded, or are small
	l.DecodeBytes = 0
	l.Collect = true
	return l
}

// newHTTPServer returns the HTTP server of an instance. Its limits bound how long a caller can hold a connection and how
// large a header can be. Unknown paths and methods get an api.ErrorBody.
func newHTTPServer(routes *mux.Router) *http.Server {
	api.RejectUnknownRoutes(routes)
	return &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// listen opens a TCP listener. Its error has the kind Unavailable.
func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "free the address or change it in the settings", "cannot listen on %s", address)
	}
	return listener, nil
}

// startComponents starts every component in group; each runs until ctx ends.
func (s *Server) startComponents(ctx context.Context, group *errgroup.Group, peerListener net.Listener) {
	group.Go(func() error { return ignoreCancelled(s.peerNode.Serve(ctx, peerListener)) })
	components := []func(context.Context) error{
		s.members.Run, s.config.Run, s.jobs.Run, s.keys.Run, s.exchangeSuccessors, s.minionPool.Run, s.router.Run,
		s.rackOwner.Run, s.scheduler.Run, s.services.Run, s.followConfiguration, s.followJobs,
	}
	for _, run := range components {
		group.Go(func() error { return ignoreCancelled(run(ctx)) })
	}
}

// drain hands over everything that this instance owns. The order of its steps keeps every accepted request from being
// lost: the readiness check fails, the instance gives up ownership, accepted requests finish, the request keys move to a
// successor, and only then are the minions released and connections closed.
func (s *Server) drain(workCtx context.Context, httpServer *http.Server) error {
	ctx, cancel := context.WithTimeout(workCtx, s.settings.Timing.DrainTimeout)
	defer cancel()
	s.events.Emit(eventDraining, event.F("timeout", s.settings.Timing.DrainTimeout))
	s.draining.Store(true)
	close(s.stopping)
	s.keys.StopIssuing()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	s.members.Leave(leaveCtx)
	cancelLeave()
	wait(ctx, balancerGrace)
	errs := []error{s.router.Drain(ctx)}
	successor, err := s.keys.Handover(ctx, s.successorCandidates())
	if err != nil {
		s.events.Emit(eventKeysNotHandedOver, event.F("successor", successor), event.F("error", err))
	}
	handedOver := time.Now()
	errs = append(errs, s.minionPool.Drain(ctx), httpServer.Shutdown(ctx))
	if err == nil {
		wait(ctx, s.successionPropagation()-time.Since(handedOver))
	}
	endCtx, cancelEnd := context.WithTimeout(ctx, endTimeout)
	s.members.End(endCtx)
	cancelEnd()
	return errors.Join(errs...)
}

// successionPropagation returns how long an instance that has handed over its request keys still answers its peers. The
// name of the successor takes one heartbeat to reach the partners in each other data centre and one more from them to the
// rest. When an instance ended earlier, peers answered with the outcome unknown for keys that the successor holds.
func (s *Server) successionPropagation() time.Duration {
	return 2 * (s.settings.Timing.HeartbeatRemote + s.settings.Timing.Heartbeat)
}

// successorCandidates returns the instances that may take over the request keys: the others in this data centre, or all
// others when it has none.
func (s *Server) successorCandidates() []structs.InstanceID {
	self, dc := s.members.Self()
	var candidates []structs.InstanceID
	for _, id := range s.members.Entries(dc) {
		if id != self {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) > 0 {
		return candidates
	}
	for id := range s.members.AllEntries() {
		if id != self {
			candidates = append(candidates, id)
		}
	}
	return candidates
}

// wait returns after d, or as soon as ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
