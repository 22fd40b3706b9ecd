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

// follow reads and folds records until ctx ends.
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
			r.reportRecovery()
			continue
		}
		limit = max(1, limit/2) // with fewer records, an answer above the client's size limit becomes readable
		if ctx.Err() == nil {
			r.reportFailure(err)
		}
		wait.For(ctx, delay.NextBackOff())
	}
	return nil
}

func (r *Reader) reportFailure(err error) {
	r.options.Metrics.Counter("stream_read_failures").Inc(1)
	if !r.outageReported {
		r.outageReported = true
		r.options.Events.Emit(eventReadFails, event.F("stream", r.options.Stream), event.F("error", err))
	}
}

func (r *Reader) reportRecovery() {
	if r.outageReported {
		r.outageReported = false
		r.options.Events.Emit(eventReadWorks, event.F("stream", r.options.Stream))
	}
}

func (r *Reader) step(ctx context.Context, limit int) error {
	next, hasState := r.Position()
	if !hasState {
		return r.findStart(ctx, limit)
	}
	answer, err := r.options.Log.Read(ctx, r.options.Stream, next, limit, r.options.PollWait)
	if err != nil {
		return err
	}
	if answer.Earliest <= next {
		r.gapFoundAt = time.Time{}
		return r.foldAll(next, answer)
	}
	if r.gapFoundAt.IsZero() {
		r.gapFoundAt = time.Now()
		r.options.Events.Emit(eventGap, event.F("stream", r.options.Stream), event.F("next", next), event.F("earliest", answer.Earliest))
	}
	err = r.findStart(ctx, limit)
	if errors.Is(err, errNoSnapshot) && time.Since(r.gapFoundAt) > gapCloseDelay {
		r.closeGap(ctx, next, answer.Earliest)
	}
	return err
}

// foldAll folds the records of one answer. from is the position at which they were read. If another state has been
// adopted since, the records are dropped and read again.
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

// foldOne folds one record. A record signed with a key that peer_keys does not list stops the fold: other instances may
// know the key and use the record, so skipping it could make the states differ. A record with a wrong HMAC is skipped
// by every reader alike. The caller holds mu.
func (r *Reader) foldOne(raw platform.LogRecord) error {
	record, err := r.openRecord(raw)
	if errors.Is(err, errUnknownKey) {
		r.reportHalt(err)
		return err
	}
	r.haltReported = false
	if err != nil {
		r.options.Events.Emit(eventRecordRefused, event.F("stream", r.options.Stream), event.F("error", err))
	} else if record.Kind == KindSnapshot {
		r.noteSnapshot(record)
	} else {
		r.fold.Apply(record)
	}
	if r.next == 0 {
		r.restartableFrom = raw.Time // readers can start with the empty state as long as offset 0 is retained
	}
	r.lastTime = raw.Time
	r.setPosition(raw.Offset + 1)
	return nil
}

func (r *Reader) reportHalt(err error) {
	if !r.haltReported {
		r.haltReported = true
		r.options.Events.Emit(eventHalted, event.F("stream", r.options.Stream), event.F("error", err))
	}
}

// findStart restores a state to start from: the empty one if offset 0 is retained, otherwise the newest usable
// snapshot.
func (r *Reader) findStart(ctx context.Context, limit int) error {
	answer, err := r.options.Log.Read(ctx, r.options.Stream, 0, limit, 0)
	if err != nil {
		return err
	}
	if answer.Earliest == 0 {
		r.startEmpty()
		return nil
	}
	snapshot, record, err := r.newestSnapshot(ctx, answer, limit)
	if err != nil {
		return err
	}
	return r.startAtSnapshot(snapshot, record)
}

func (r *Reader) startEmpty() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasState {
		r.setPosition(0)
	}
}

// newestSnapshot returns the newest usable snapshot of the stream and its record. It scans from the records of answer
// up to the end of the stream at that time.
func (r *Reader) newestSnapshot(ctx context.Context, answer platform.ReadResponse, limit int) (*snapshotBody, Record, error) {
	end := answer.Next
	var newest *snapshotBody
	var newestRecord Record
	for {
		from := answer.Earliest
		for _, raw := range answer.Records {
			from = max(from, raw.Offset+1)
			record, err := r.openRecord(raw)
			if err != nil || record.Kind != KindSnapshot {
				continue
			}
			body := &snapshotBody{}
			if record.Decode(body) == nil && (newest == nil || body.AsOf > newest.AsOf) {
				newest, newestRecord = body, record
			}
		}
		// Retention may have dropped more records since the first answer, so the check uses the latest one.
		if newest != nil && !startable(newest, answer.Earliest) {
			newest = nil
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
	if newest == nil {
		return nil, Record{}, errNoSnapshot
	}
	return newest, newestRecord, nil
}

// startable reports whether a reader may start at a snapshot: every record after its as_of must still be retained.
// Otherwise a snapshot written late would hide a newer publish that retention has dropped since.
func startable(s *snapshotBody, earliest uint64) bool { return s.AsOf+1 >= earliest }

func (r *Reader) startAtSnapshot(s *snapshotBody, record Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasState && s.AsOf+1 <= r.next {
		return errNoSnapshot
	}
	if err := r.fold.Restore(s.State); err != nil {
		return err
	}
	r.lastTime = s.AsOfTime
	r.restartableFrom = restartableTime(s, record)
	r.options.Events.Emit(eventStartedAtSnapshot, event.F("stream", r.options.Stream), event.F("as_of", s.AsOf))
	r.setPosition(s.AsOf + 1)
	return nil
}
