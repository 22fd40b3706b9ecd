package configuration

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// appendsPerSecond is the limit of the whole deployment, for catch-up after an outage and live writes together.
	appendsPerSecond = 50
	appendBurst      = 1 // larger bursts at all instances would together exceed the limit in the first second
)

// AppendLimiter divides the deployment's limit on appends equally among the entry instances.
type AppendLimiter struct {
	limiter *rate.Limiter
	entries func() int
}

// NewAppendLimiter returns a limiter for one process, which all its writers share. entries returns the number of entry
// instances, including this one.
func NewAppendLimiter(entries func() int) *AppendLimiter {
	return &AppendLimiter{limiter: rate.NewLimiter(appendsPerSecond, appendBurst), entries: entries}
}

// Wait waits until one append is allowed. It returns an error when that is not before ctx ends.
func (l *AppendLimiter) Wait(ctx context.Context) error {
	share := rate.Limit(appendsPerSecond / float64(max(1, l.entries())))
	if l.limiter.Limit() != share {
		l.limiter.SetLimit(share)
	}
	return l.limiter.Wait(ctx)
}
