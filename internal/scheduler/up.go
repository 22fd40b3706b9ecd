package scheduler

import (
	"context"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// servicesPoll is how often an instance asks the scheduler which services are up.
const servicesPoll = 500 * time.Millisecond

// Services tells the request path of an instance which services are up in its data centre. While no scheduler answers
// it keeps what it heard last; before the first answer every service counts as up.
type Services struct {
	gateway *Gateway
	mu      sync.Mutex
	down    map[structs.ServiceName]structs.ServiceName
}

// NewServices returns a view that is filled by Run.
func NewServices(gateway *Gateway) *Services { return &Services{gateway: gateway} }

// Run asks the scheduler until ctx ends.
func (s *Services) Run(ctx context.Context) error {
	ticker := time.NewTicker(servicesPoll)
	defer ticker.Stop()
	for {
		s.refresh(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *Services) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, servicesPoll)
	defer cancel()
	_, dc := s.gateway.View.Self()
	var response servicesResponse
	if err := s.gateway.call(ctx, dc, kindServices, struct{}{}, &response); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = response.Down
}

// Up reports whether a service is up. When it is not, missing names the service whose tasks do not run.
func (s *Services) Up(service structs.ServiceName) (up bool, missing structs.ServiceName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	missing, isDown := s.down[service]
	return !isDown, missing
}
