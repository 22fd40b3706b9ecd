package stream

import (
	"context"
	"math/rand/v2"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

const (
	// renewChecks is how often in one retention period a reader looks whether a snapshot is due.
	renewChecks = 64
	// maxRenewCheck bounds the interval of these checks, so that a missing snapshot is written soon after an outage.
	maxRenewCheck = 10 * time.Second
	minRenewCheck = 10 * time.Millisecond
	appendTimeout = 5 * time.Second
	// maxReadAge is how old, beyond the long poll, the last read of the stream's end may be for a snapshot.
	maxReadAge = 5 * time.Second
	// gapPatience is how long a reader in a gap waits for a usable snapshot or a peer that is ahead.
	gapPatience = 3 * time.Second
)

// coveredBy returns a time until Retention after which readers can surely start at the snapshot. When nothing lies
// between as_of and the snapshot, the first record that a reader needs is the snapshot itself.
func coveredBy(s *snapshotBody, record Record) time.Time {
	if s.AsOf+1 == record.Offset {
		return record.Time
	}
	return s.AsOfTime
}

// sawSnapshot notes a snapshot met while following. The caller holds mu.
func (r *Reader) sawSnapshot(record Record) {
	var body snapshotBody
	if record.Decode(&body) != nil {
		return
	}
	if at := coveredBy(&body, record); at.After(r.covered) {
		r.covered = at
	}
}

// renew writes a snapshot when the newest usable one has passed half of the retention and no other instance writes one
// during a random delay.
func (r *Reader) renew(ctx context.Context) error {
	check := min(maxRenewCheck, max(minRenewCheck, r.options.Retention/renewChecks))
	for ctx.Err() == nil {
		wait.For(ctx, check/2+rand.N(check))
		if !r.due() {
			continue
		}
		wait.For(ctx, rand.N(4*check))
		if ctx.Err() == nil && r.due() {
			r.writeSnapshot(ctx)
		}
	}
	return nil
}

func (r *Reader) due() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.placed || r.next == 0 || r.covered.IsZero() {
		return false
	}
	if time.Since(r.lastRead) > r.options.PollWait+maxReadAge {
		return false // an instance that is behind would write snapshots that nobody can use
	}
	return time.Since(r.covered) > r.options.Retention/2
}

func (r *Reader) writeSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	body, err := r.snapshot()
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

func (r *Reader) snapshot() (*snapshotBody, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, err := r.fold.State()
	if err != nil {
		return nil, err
	}
	return &snapshotBody{AsOf: r.next - 1, AsOfTime: r.lastTime, State: state}, nil
}

// closeGap writes the own state as a snapshot that covers the records of the gap, so that the stream can go on. The gap
// arises when records took effect before an outage of the log that lasted for the whole retention: nobody can ever read
// them. When no reader has folded further, nobody has seen their effect, so leaving them out reverts nothing. Readers
// that write at the same time have equal states, as they have equal offsets.
func (r *Reader) closeGap(ctx context.Context, next, earliest uint64) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if r.nobodyAhead == nil || !r.nobodyAhead(ctx) {
		return
	}
	body, err := r.snapshot()
	if err == nil && body.AsOf+1 != next {
		return // a peer's state was adopted meanwhile
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
