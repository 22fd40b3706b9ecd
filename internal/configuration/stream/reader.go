package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
)

const (
	// readLimit bounds the records of one read: 32 texts of 1 MiB in base64 stay under the client's bound of 64 MiB.
	readLimit = 32
	// maxReadBackoff keeps the delay after an outage well within the 5 s in which a text must be in force.
	maxReadBackoff = time.Second
	minReadBackoff = 50 * time.Millisecond
)

// Log is the part of the log service's client that a reader uses.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.ReadResponse, error)
}

// Limiter delays appends, such as a *rate.Limiter.
type Limiter interface {
	Wait(ctx context.Context) error
}

// Fold is the state that a stream's records build. It must depend on nothing but the records, so that all readers have
// equal states at equal offsets. The reader calls its methods one at a time; the fold guards its own queries.
type Fold interface {
	// Apply folds one record. A record that it cannot use changes nothing.
	Apply(record Record)
	// State returns the whole state.
	State() ([]byte, error)
	// Restore replaces the state by one that State returned. It refuses, and changes nothing, when that would go back.
	Restore(state []byte) error
}

// Options configures a reader. All fields but Limiter are required.
type Options struct {
	Stream    string
	Log       Log
	Keys      *peer.KeyRing
	Limiter   Limiter // nil: appends are not delayed
	Events    *event.Log
	Metrics   tally.Scope
	Retention time.Duration // how long the log keeps records
	PollWait  time.Duration // how long a read waits for the next record
}

// Reader follows one stream. Invariant: the fold's state is the fold of exactly the records below next.
type Reader struct {
	options Options
	fold    Fold

	mu       sync.Mutex
	placed   bool      // the fold's state is that of offset next
	next     uint64    // offset of the first record that is not folded
	lastTime time.Time // of the last folded record
	covered  time.Time // until Retention after this time, readers can start without a new snapshot; zero: nothing to cover
	lastRead time.Time // last successful read that left nothing to fold
	changed  chan struct{}

	// nobodyAhead reports whether every other reader was asked and none has folded further. Only then may this reader close
	// a gap, see closeGap. nil: gaps stay open. NewExchange sets it before the reader runs.
	nobodyAhead func(ctx context.Context) bool

	gapSince time.Time // follow goroutine only: when the present gap was found; zero: none

	halted  bool // follow goroutine only: the halt has been reported
	failing bool // follow goroutine only: the outage has been reported
}

// NewReader returns a reader that feeds fold, which must be empty.
func NewReader(options Options, fold Fold) *Reader {
	options.Metrics = options.Metrics.Tagged(map[string]string{"stream": options.Stream})
	return &Reader{options: options, fold: fold, changed: make(chan struct{})}
}

// Run follows the stream until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.follow(ctx) })
	group.Go(func() error { return r.renew(ctx) })
	return group.Wait()
}

// Append adds a record. An error with platform.ErrNotAppended in its chain means that the record is not in the log.
func (r *Reader) Append(ctx context.Context, kind string, payload any) (uint64, error) {
	data, err := seal(r.options.Stream, kind, r.options.Keys, payload)
	if err != nil {
		return 0, errkind.Wrap(errors.Join(platform.ErrNotAppended, err), errkind.Internal, "report this fault", "cannot encode the record")
	}
	if r.options.Limiter != nil {
		if err := r.options.Limiter.Wait(ctx); err != nil {
			return 0, errkind.Wrap(errors.Join(platform.ErrNotAppended, err), errkind.Unavailable, "try again later", "the limit of appends is used up")
		}
	}
	r.options.Metrics.Counter("stream_appends").Inc(1)
	return r.options.Log.Append(ctx, r.options.Stream, data)
}

// Position returns the offset of the next record to fold, and whether the fold has a state at all.
func (r *Reader) Position() (next uint64, placed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next, r.placed
}

// UpToDate returns when the fold was last known to contain the whole stream; zero: never.
func (r *Reader) UpToDate() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRead
}

// Changed returns a channel that is closed when the fold next moves.
func (r *Reader) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// WaitUntil waits until done returns true, calling it again after each move of the fold, or until ctx ends.
func (r *Reader) WaitUntil(ctx context.Context, done func() bool) error {
	for {
		changed := r.Changed()
		if done() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// WaitPast waits until the fold has passed offset, or until ctx ends.
func (r *Reader) WaitPast(ctx context.Context, offset uint64) error {
	return r.WaitUntil(ctx, func() bool {
		next, placed := r.Position()
		return placed && next > offset
	})
}

// Export returns the state and the offset of the first record that is not in it. ok is false when there is no state.
func (r *Reader) Export() (next uint64, state []byte, ok bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.placed {
		return 0, nil, false, nil
	}
	state, err = r.fold.State()
	return r.next, state, err == nil, err
}

// Adopt takes over a peer's state when it is ahead of the own one. It reports whether it did.
func (r *Reader) Adopt(next uint64, state []byte) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.placed && next <= r.next {
		return false, nil
	}
	if err := r.fold.Restore(state); err != nil {
		return false, err
	}
	r.options.Events.Emit(eventAdopted, event.F("stream", r.options.Stream), event.F("next", next))
	r.moveTo(next)
	if r.covered.IsZero() {
		r.covered = time.Unix(0, 0) // not known, so a snapshot is due
	}
	return true, nil
}

// ReadOne reads the record at offset again. The error is of kind NotFound when retention has dropped it.
func (r *Reader) ReadOne(ctx context.Context, offset uint64) (Record, error) {
	answer, err := r.options.Log.Read(ctx, r.options.Stream, offset, 1, 0)
	if err != nil {
		return Record{}, err
	}
	if len(answer.Records) == 0 || answer.Records[0].Offset != offset {
		return Record{}, errkind.New(errkind.NotFound, "use a newer version", "the log does not retain the record any more")
	}
	return r.openRecord(answer.Records[0])
}

// moveTo sets the position. The caller holds mu.
func (r *Reader) moveTo(next uint64) {
	r.placed = true
	r.next = next
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Reader) openRecord(record platform.LogRecord) (Record, error) {
	kind, body, err := Open(r.options.Stream, r.options.Keys, record.Data)
	if err != nil {
		return Record{}, fmt.Errorf("offset %d: %w", record.Offset, err)
	}
	return Record{Offset: record.Offset, Time: record.Time, Kind: kind, Body: body}, nil
}
