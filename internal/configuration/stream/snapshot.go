package stream

import (
	"context"
	"math/rand/v2"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

const (
	// snapshotChecksPerRetention is how often in one retention period a reader checks whether a snapshot is due.
	snapshotChecksPerRetention = 64
	// maxSnapshotCheckInterval limits the interval of these checks, so that a snapshot that is due is written soon after
	// an outage.
	maxSnapshotCheckInterval = 10 * time.Second
	minSnapshotCheckInterval = 10 * time.Millisecond
	appendTimeout            = 5 * time.Second
	// maxReadAge is how old, beyond the long poll, the last read of the stream's end may be when a snapshot is written.
	maxReadAge = 5 * time.Second
	// gapCloseDelay is how long a reader in a gap waits for a usable snapshot or a peer that is ahead before it closes the
	// gap.
	gapCloseDelay = 3 * time.Second
)

// restartableTime returns when the oldest record that a reader starting at the snapshot needs was written, or an earlier
// time. The reader needs all records after as_of; if none lies in between, the oldest is the snapshot itself.
func restartableTime(s *snapshotBody, record Record) time.Time {
	if s.AsOf+1 == record.Offset {
		return record.Time
	}
	return s.AsOfTime
}

// noteSnapshot records that the stream contains a snapshot. The caller holds mu.
func (r *Reader) noteSnapshot(record Record) {
	var body snapshotBody
	if record.Decode(&body) != nil {
		return
	}
	if at := restartableTime(&body, record); at.After(r.restartableFrom) {
		r.restartableFrom = at
	}
}

// renewSnapshots writes a snapshot when the newest usable one is older than half of the retention and no other instance
// writes one during a random delay.
func (r *Reader) renewSnapshots(ctx context.Context) error {
	check := min(maxSnapshotCheckInterval, max(minSnapshotCheckInterval, r.options.Retention/snapshotChecksPerRetention))
	for ctx.Err() == nil {
		wait.For(ctx, check/2+rand.N(check))
		if !r.snapshotDue() {
			continue
		}
		wait.For(ctx, rand.N(4*check))
		if ctx.Err() == nil && r.snapshotDue() {
			r.writeSnapshot(ctx)
		}
	}
	return nil
}

func (r *Reader) snapshotDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasState || r.next == 0 || r.restartableFrom.IsZero() {
		return false
	}
	if time.Since(r.lastRead) > r.options.PollWait+maxReadAge {
		return false // a snapshot by an instance that is behind would not be usable
	}
	return time.Since(r.restartableFrom) > r.options.Retention/2
}

func (r *Reader) writeSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	body, err := r.currentSnapshot()
	if err == nil {
		_, err = r.Append(ctx, KindSnapshot, body)
	}
	if err != nil {
		r.options.Events.Emit(eventSnapshotFails, event.F("stream", r.options.Stream), event.F("error", err))
		return
	}
	r.options.Metrics.Counter("stream_snapshots").Inc(1)
	r.options.Events.Emit(eventSnapshot, event.F("stream", r.options.Stream), event.F("as_of", body.AsOf))
}

func (r *Reader) currentSnapshot() (*snapshotBody, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, err := r.fold.State()
	if err != nil {
		return nil, err
	}
	return &snapshotBody{AsOf: r.next - 1, AsOfTime: r.lastTime, State: state}, nil
}

// closeGap writes this reader's state as a snapshot whose as_of includes the records of the gap, so that the stream can
// continue without them. A gap arises when records were written just before a log outage as long as the retention: no
// reader can ever read them. If no reader has folded further, nobody has seen their effect, so skipping them reverts
// nothing. Readers that write such a snapshot at the same time have equal offsets and so equal states.
func (r *Reader) closeGap(ctx context.Context, next, earliest uint64) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if r.confirmNoneAhead == nil || !r.confirmNoneAhead(ctx) {
		return
	}
	body, err := r.currentSnapshot()
	if err == nil && body.AsOf+1 != next {
		return // a peer's state has been adopted in the meantime
	}
	if err == nil {
		body.AsOf = earliest - 1
		_, err = r.Append(ctx, KindSnapshot, body)
	}
	if err != nil {
		r.options.Events.Emit(eventSnapshotFails, event.F("stream", r.options.Stream), event.F("error", err))
		return
	}
	r.options.Events.Emit(eventGapClosed, event.F("stream", r.options.Stream), event.F("from", next), event.F("to", earliest-1))
}
