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
	// readLimit is the most records of one read: 32 texts of 1 MiB in base64 stay below the client's limit of 64 MiB.
	readLimit = 32
	// maxReadBackoff is the longest delay between failed reads. It is well below the 5 s in which a text must be in force.
	maxReadBackoff = time.Second
	minReadBackoff = 50 * time.Millisecond // first delay after a failed read
)

// Log is the part of the log service's client that a reader uses.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.ReadResponse, error)
}

// Limiter delays appends. A *rate.Limiter is one.
type Limiter interface {
	Wait(ctx context.Context) error
}

// Fold is the state computed from a stream's records. It must depend on nothing but the records, so that all readers
// have equal states at equal offsets. The reader never calls two methods at the same time. A fold that answers queries
// from other goroutines needs a lock of its own.
type Fold interface {
	// Apply folds one record. It ignores a record that it cannot use.
	Apply(record Record)
	// State returns the whole state, encoded.
	State() ([]byte, error)
	// Restore replaces the state by one that State returned. It returns an error, and changes nothing, if that state is
	// older.
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
	hasState bool      // the fold holds the state at offset next
	next     uint64    // offset of the first record that is not folded
	lastTime time.Time // log time of the last folded record
	// restartableFrom is when the oldest record that a starting reader needs was written, or an earlier time. Until
	// Retention after it, readers can start without a new snapshot. zero: nothing is folded.
	restartableFrom time.Time
	lastRead        time.Time // last successful read that left nothing to fold
	changed         chan struct{}

	// confirmNoneAhead asks every other reader and reports whether all answered and none has folded further. Only then may
	// this reader close a gap, see closeGap. nil: gaps stay open. NewExchange sets it before the reader runs.
	confirmNoneAhead func(ctx context.Context) bool

	gapFoundAt time.Time // follow goroutine only: when the present gap was found; zero: none

	haltReported   bool // follow goroutine only: the halt has been reported
	outageReported bool // follow goroutine only: the outage has been reported
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
	group.Go(func() error { return r.renewSnapshots(ctx) })
	return group.Wait()
}

// Append adds a record. If the error's chain contains platform.ErrNotAppended, the record is not in the log; after any
// other error it may be.
func (r *Reader) Append(ctx context.Context, kind string, payload any) (uint64, error) {
	data, err := seal(r.options.Stream, kind, r.options.Keys, payload)
	if err != nil {
		return 0, errkind.Wrap(errors.Join(platform.ErrNotAppended, err), errkind.Internal, "report this fault", "cannot encode the record")
	}
	if r.options.Limiter != nil {
		if err := r.options.Limiter.Wait(ctx); err != nil {
			return 0, errkind.Wrap(errors.Join(platform.ErrNotAppended, err), errkind.Unavailable, "try again later", "the append rate limit was reached")
		}
	}
	r.options.Metrics.Counter("stream_appends").Inc(1)
	return r.options.Log.Append(ctx, r.options.Stream, data)
}

// Position returns the offset of the next record to fold, and whether the fold has a state.
func (r *Reader) Position() (next uint64, hasState bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next, r.hasState
}

// UpToDate returns when the fold last contained the whole stream as read; zero: never.
func (r *Reader) UpToDate() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRead
}

// Changed returns a channel that is closed at the next change of the position.
func (r *Reader) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// WaitUntil waits until done returns true or ctx ends. It calls done now and after each change of the position.
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

// WaitPast waits until the record at offset has been folded or ctx ends.
func (r *Reader) WaitPast(ctx context.Context, offset uint64) error {
	return r.WaitUntil(ctx, func() bool {
		next, hasState := r.Position()
		return hasState && next > offset
	})
}

// Export returns the state and the offset of the first record that is not in it. ok is false when there is no state.
func (r *Reader) Export() (next uint64, state []byte, ok bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasState {
		return 0, nil, false, nil
	}
	state, err = r.fold.State()
	return r.next, state, err == nil, err
}

// Adopt replaces the state by a peer's if that is ahead, and reports whether it did.
func (r *Reader) Adopt(next uint64, state []byte) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasState && next <= r.next {
		return false, nil
	}
	if err := r.fold.Restore(state); err != nil {
		return false, err
	}
	r.options.Events.Emit(eventAdopted, event.F("stream", r.options.Stream), event.F("next", next))
	r.setPosition(next)
	if r.restartableFrom.IsZero() {
		r.restartableFrom = time.Unix(0, 0) // not known, so a snapshot is due at once
	}
	return true, nil
}

// ReadOne reads the record at offset from the log. The error is of kind NotFound when retention has dropped it.
func (r *Reader) ReadOne(ctx context.Context, offset uint64) (Record, error) {
	answer, err := r.options.Log.Read(ctx, r.options.Stream, offset, 1, 0)
	if err != nil {
		return Record{}, err
	}
	if len(answer.Records) == 0 || answer.Records[0].Offset != offset {
		return Record{}, errkind.New(errkind.NotFound, "use a newer version", "the log no longer retains the record")
	}
	return r.openRecord(answer.Records[0])
}

// setPosition sets the position and closes changed. The caller holds mu.
func (r *Reader) setPosition(next uint64) {
	r.hasState = true
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
