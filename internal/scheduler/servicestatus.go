package scheduler

import (
	"context"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// servicesPollInterval is how often an instance asks the scheduler which services are down.
const servicesPollInterval = 500 * time.Millisecond

// Services tells the request path of an instance which services are up in its data centre. While no scheduler responds it
// keeps the last response; before the first response every service counts as up.
type Services struct {
	gateway *Gateway
	mu      sync.Mutex
	down    map[structs.ServiceName]structs.ServiceName
}

// NewServices returns Services that Run keeps up to date.
func NewServices(gateway *Gateway) *Services { return &Services{gateway: gateway} }

// Run polls the scheduler until ctx ends.
func (s *Services) Run(ctx context.Context) error {
	ticker := time.NewTicker(servicesPollInterval)
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
	ctx, cancel := context.WithTimeout(ctx, servicesPollInterval)
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

// Up reports whether a service is up. When it is down, missing is the service whose tasks do not run: itself or one that it
// depends on.
func (s *Services) Up(service structs.ServiceName) (up bool, missing structs.ServiceName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	missing, isDown := s.down[service]
	return !isDown, missing
}
