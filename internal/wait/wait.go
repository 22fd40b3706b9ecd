// Package wait has a sleep that ends early when a context ends.
package wait

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
