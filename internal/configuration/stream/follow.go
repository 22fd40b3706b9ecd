package stream

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

var errNoSnapshot = errors.New("the stream has no snapshot to start from")

// follow reads and folds until ctx ends.
func (r *Reader) follow(ctx context.Context) error {
	delay := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(minReadBackoff),
		backoff.WithMaxInterval(maxReadBackoff),
		backoff.WithMaxElapsedTime(0),
	)
	limit := readLimit
	for ctx.Err() == nil {
		err := r.step(ctx, limit)
		if err == nil {
			limit = readLimit
			delay.Reset()
			r.recovered()
			continue
		}
		limit = max(1, limit/2) // an answer above the client's bound becomes readable
		if ctx.Err() == nil {
			r.failed(err)
		}
		wait.For(ctx, delay.NextBackOff())
	}
	return nil
}

func (r *Reader) failed(err error) {
	r.options.Metrics.Counter("stream_read_failures").Inc(1)
	if !r.failing {
		r.failing = true
		r.options.Events.Emit(eventReadFails, event.F("stream", r.options.Stream), event.F("error", err))
	}
}

func (r *Reader) recovered() {
	if r.failing {
		r.failing = false
		r.options.Events.Emit(eventReadWorks, event.F("stream", r.options.Stream))
	}
}

func (r *Reader) step(ctx context.Context, limit int) error {
	next, placed := r.Position()
	if !placed {
		return r.place(ctx, limit)
	}
	answer, err := r.options.Log.Read(ctx, r.options.Stream, next, limit, r.options.PollWait)
	if err != nil {
		return err
	}
	if answer.Earliest <= next {
		r.gapSince = time.Time{}
		return r.foldAll(next, answer)
	}
	if r.gapSince.IsZero() {
		r.gapSince = time.Now()
		r.options.Events.Emit(eventGap, event.F("stream", r.options.Stream), event.F("next", next), event.F("earliest", answer.Earliest))
	}
	err = r.place(ctx, limit)
	if errors.Is(err, errNoSnapshot) && time.Since(r.gapSince) > gapPatience {
		r.closeGap(ctx, next, answer.Earliest)
	}
	return err
}

// foldAll folds the records of one answer. from is the position at which they were read; when another state has been
// adopted since, they are dropped and read again.
func (r *Reader) foldAll(from uint64, answer platform.ReadResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != from {
		return nil
	}
	for _, raw := range answer.Records {
		if raw.Offset < r.next {
			continue
		}
		if err := r.foldOne(raw); err != nil {
			return err
		}
	}
	if r.next >= answer.Next {
		r.lastRead = time.Now()
	}
	r.options.Metrics.Gauge("stream_next_offset").Update(float64(r.next))
	return nil
}

// foldOne folds one record. A record with a key that is not listed stops the fold: other instances may know the key
// and use the record, so passing over it could make the states differ. A record with a wrong HMAC is passed over by
// every reader alike. The caller holds mu.
func (r *Reader) foldOne(raw platform.LogRecord) error {
	record, err := r.openRecord(raw)
	if errors.Is(err, errUnknownKey) {
		r.reportHalt(err)
		return err
	}
	r.halted = false
	if err != nil {
		r.options.Events.Emit(eventForged, event.F("stream", r.options.Stream), event.F("error", err))
	} else if record.Kind == KindSnapshot {
		r.sawSnapshot(record)
	} else {
		r.fold.Apply(record)
	}
	if r.next == 0 {
		r.covered = raw.Time // an empty state can be the start as long as offset 0 is retained
	}
	r.lastTime = raw.Time
	r.moveTo(raw.Offset + 1)
	return nil
}

func (r *Reader) reportHalt(err error) {
	if !r.halted {
		r.halted = true
		r.options.Events.Emit(eventHalted, event.F("stream", r.options.Stream), event.F("error", err))
	}
}

// place finds a state to start from: the empty one when offset 0 is retained, otherwise the newest usable snapshot.
func (r *Reader) place(ctx context.Context, limit int) error {
	answer, err := r.options.Log.Read(ctx, r.options.Stream, 0, limit, 0)
	if err != nil {
		return err
	}
	if answer.Earliest == 0 {
		r.startEmpty()
		return nil
	}
	best, at, err := r.newestSnapshot(ctx, answer, limit)
	if err != nil {
		return err
	}
	return r.startAt(best, at)
}

func (r *Reader) startEmpty() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.placed {
		r.moveTo(0)
	}
}

// newestSnapshot scans the stream, beginning with the given answer, up to the end that the answer shows.
func (r *Reader) newestSnapshot(ctx context.Context, answer platform.ReadResponse, limit int) (*snapshotBody, Record, error) {
	end := answer.Next
	var best *snapshotBody
	var at Record
	for {
		from := answer.Earliest
		for _, raw := range answer.Records {
			from = max(from, raw.Offset+1)
			record, err := r.openRecord(raw)
			if err != nil || record.Kind != KindSnapshot {
				continue
			}
			body := &snapshotBody{}
			if record.Decode(body) == nil && (best == nil || body.AsOf > best.AsOf) {
				best, at = body, record
			}
		}
		// Retention may have moved on since the first answer, so the rule is applied to the latest one.
		if best != nil && !usable(best, answer.Earliest) {
			best = nil
		}
		if from >= end || len(answer.Records) == 0 {
			break
		}
		var err error
		answer, err = r.options.Log.Read(ctx, r.options.Stream, from, limit, 0)
		if err != nil {
			return nil, Record{}, err
		}
	}
	if best == nil {
		return nil, Record{}, errNoSnapshot
	}
	return best, at, nil
}

// usable reports whether a reader may start at a snapshot: every record after its as_of must still be retained.
// Without this rule a snapshot written late would hide a newer publish that retention has dropped since.
func usable(s *snapshotBody, earliest uint64) bool { return s.AsOf+1 >= earliest }

func (r *Reader) startAt(s *snapshotBody, record Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.placed && s.AsOf+1 <= r.next {
		return errNoSnapshot
	}
	if err := r.fold.Restore(s.State); err != nil {
		return err
	}
	r.lastTime = s.AsOfTime
	r.covered = coveredBy(s, record)
	r.options.Events.Emit(eventStarted, event.F("stream", r.options.Stream), event.F("as_of", s.AsOf))
	r.moveTo(s.AsOf + 1)
	return nil
}
