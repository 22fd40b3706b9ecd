package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of the HTTP interface and of the drain's steps.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// writeTimeout counts from the end of a call's header. It is above the longest wait of a job call, 60 s. Calls that
	// may take longer set their own write deadline when they write: requests to a service and the event stream.
	writeTimeout   = 90 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// balancerNotice is how long an instance goes on taking requests after it has said that it is not ready, so that the
	// balancer's checks notice first.
	balancerNotice = time.Second
	leaveTimeout   = 2 * time.Second
	endTimeout     = time.Second
)

// Run runs the instance until ctx ends, then drains it. It returns nil after a complete drain.
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
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	front := newFront(s.routes)
	group, work := errgroup.WithContext(work)
	s.startParts(work, group, peerListener)
	group.Go(func() error { return ignoreClosed(front.Serve(httpListener)) })
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	drainError := s.drain(work, front)
	stop()
	runError := group.Wait()
	s.events.Emit(eventStopped)
	_ = s.closer.Close() // flushes metrics; nothing can be done about a failure
	return errors.Join(drainError, runError)
}

// newFront returns the HTTP server of an instance, with the bounds on what a caller can hold open or send. Calls that
// routes does not have get a typed error.
func newFront(routes *mux.Router) *http.Server {
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

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "free the address or change the settings", "cannot listen on %s", address)
	}
	return listener, nil
}

// startParts starts every part; each runs until ctx ends.
func (s *Server) startParts(ctx context.Context, group *errgroup.Group, peerListener net.Listener) {
	group.Go(func() error { return ignoreEnd(s.node.Serve(ctx, peerListener)) })
	parts := []func(context.Context) error{
		s.members.Run, s.config.Run, s.jobs.Run, s.keys.Run, s.successors, s.pool.Run, s.router.Run,
		s.racks.Run, s.scheduler.Run, s.services.Run, s.followConfiguration, s.followJobs,
	}
	for _, run := range parts {
		group.Go(func() error { return ignoreEnd(run(ctx)) })
	}
}

// drain hands over everything that this instance owns. Its steps are in the order that keeps every accepted request whole:
// readiness first, then ownership, then the requests in flight, then the request keys.
func (s *Server) drain(work context.Context, front *http.Server) error {
	ctx, cancel := context.WithTimeout(work, s.settings.Timing.DrainTimeout)
	defer cancel()
	s.events.Emit(eventDraining, event.F("timeout", s.settings.Timing.DrainTimeout))
	s.draining.Store(true)
	close(s.stopping)
	s.keys.StopIssuing()
	leave, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	s.members.Leave(leave)
	cancelLeave()
	wait(ctx, balancerNotice)
	errs := []error{s.router.Drain(ctx)}
	successor, err := s.keys.Handover(ctx, s.successorCandidates())
	if err != nil {
		s.events.Emit(eventKeysNotHandedOver, event.F("successor", successor), event.F("error", err))
	}
	handedOver := time.Now()
	errs = append(errs, s.pool.Drain(ctx), front.Shutdown(ctx))
	if err == nil {
		wait(ctx, s.successionNotice()-time.Since(handedOver))
	}
	end, cancelEnd := context.WithTimeout(ctx, endTimeout)
	s.members.End(end)
	cancelEnd()
	return errors.Join(errs...)
}

// successionNotice is how long an instance that has handed over its request keys still answers its peers: a succession
// passes one heartbeat to the partners in each other data centre and one more from them to the rest. An instance that
// had ended before that made peers answer unknown for keys that the successor holds.
func (s *Server) successionNotice() time.Duration {
	return 2 * (s.settings.Timing.HeartbeatRemote + s.settings.Timing.Heartbeat)
}

// successorCandidates returns the instances that may take over the request keys: those of the own data centre, or all
// others when there are none.
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

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func ignoreEnd(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
