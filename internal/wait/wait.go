// Package wait pauses a goroutine without outliving its context.
package wait

import (
	"context"
	"time"
)

// For returns after d, or as soon as ctx ends.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
