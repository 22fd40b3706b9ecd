package configuration

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// appendsPerSecond is the bound for the whole deployment, for catch-up after an outage and live writes together.
	appendsPerSecond = 50
	appendBurst      = 1 // a larger burst at every instance would exceed the bound in the first second
)

// AppendLimiter divides the deployment's bound on appends equally among the entry instances.
type AppendLimiter struct {
	limiter *rate.Limiter
	entries func() int
}

// NewAppendLimiter returns a limiter for one process; all its writers share it. entries returns the number of entry
// instances, this one included.
func NewAppendLimiter(entries func() int) *AppendLimiter {
	return &AppendLimiter{limiter: rate.NewLimiter(appendsPerSecond, appendBurst), entries: entries}
}

// Wait waits until one append is allowed. It fails when ctx ends first.
func (l *AppendLimiter) Wait(ctx context.Context) error {
	share := rate.Limit(appendsPerSecond / float64(max(1, l.entries())))
	if l.limiter.Limit() != share {
		l.limiter.SetLimit(share)
	}
	return l.limiter.Wait(ctx)
}
