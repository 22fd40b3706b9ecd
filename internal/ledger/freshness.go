package ledger

import (
	"context"
	"math"
	"sync"
	"time"
)

// Freshness says up to when a view of the log was complete. The zero value stands for a view that never was.
type Freshness struct {
	mu         sync.Mutex
	syncedAt   time.Time
	nextSynced chan struct{} // closed by the next MarkSynced; nil if nobody waits
}

// MarkSynced notes that the view was complete at the given time. It fits Reader.Synced.
func (f *Freshness) MarkSynced(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncedAt = at
	if f.nextSynced != nil {
		close(f.nextSynced)
		f.nextSynced = nil
	}
}

// Age returns how long ago the view was complete. The monotonic clock does not count time during which the machine was suspended, and
// the wall clock may be set back, so the larger difference counts.
func (f *Freshness) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(now)
}

func (f *Freshness) age(now time.Time) time.Duration {
	if f.syncedAt.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(f.syncedAt), now.Round(0).Sub(f.syncedAt.Round(0)))
}

// Await waits until the view is at most maxAge old, at most until ctx ends, and reports whether it is. Usually it returns at once.
func (f *Freshness) Await(ctx context.Context, maxAge time.Duration) bool {
	for {
		f.mu.Lock()
		if f.age(time.Now()) <= maxAge {
			f.mu.Unlock()
			return true
		}
		if f.nextSynced == nil {
			f.nextSynced = make(chan struct{})
		}
		synced := f.nextSynced
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return false
		case <-synced:
		}
	}
}
