package configuration

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/configuration/stream"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// StreamName is the name of the log stream that holds the specification.
const StreamName = "config"

// Options configures a store. All fields but Limiter are required.
type Options struct {
	Self    structs.InstanceID
	Log     stream.Log
	Keys    *peer.KeyRing
	Limiter stream.Limiter // shared by all writers of the process, see NewAppendLimiter; nil: appends are not limited
	Events  *event.Log
	Metrics tally.Scope
	Peers   peer.Caller
	// Entries returns the known entry instances, such as membership.View.AllEntries.
	Entries   func() map[structs.InstanceID]structs.DataCentre
	Retention time.Duration // how long the log keeps records: settings.Timing.LogRetention
	PollWait  time.Duration // how long a read waits for the next record: settings.Timing.ConfigPoll
}

// Current describes the specification in force at this instance.
type Current struct {
	Version uint64 // version of the newest accepted text
	// Text is the newest text that passes this release's checks, nil when there is none. It is older than Version if the
	// newest accepted text does not pass.
	Text     *spec.Text
	InForce  uint64    // version of Text
	Raw      string    // newest accepted text as published
	UpToDate time.Time // when the log was last read to its end; zero: never
}

// Store keeps the specification up to date and publishes new versions of it.
type Store struct {
	options  Options
	fold     *fold
	reader   *stream.Reader
	exchange *stream.Exchange
}

// New returns a store. It does nothing until Run is called.
func New(options Options) *Store {
	f := newFold(options.Events)
	s := &Store{options: options, fold: f}
	s.reader = stream.NewReader(stream.Options{
		Stream:    StreamName,
		Log:       options.Log,
		Keys:      options.Keys,
		Limiter:   options.Limiter,
		Events:    options.Events,
		Metrics:   options.Metrics,
		Retention: options.Retention,
		PollWait:  options.PollWait,
	}, f)
	s.exchange = stream.NewExchange(stream.ExchangeOptions{
		Self:    options.Self,
		Kind:    CallFetch,
		Caller:  options.Peers,
		Entries: s.entries,
	}, s.reader)
	return s
}

// Run follows the log and the peers until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.reader.Run(ctx) })
	group.Go(func() error { return s.exchange.Run(ctx) })
	group.Go(func() error { return s.emitVersions(ctx) })
	return group.Wait()
}

// Current returns the specification in force. ok is false when there is none; the instance is then not ready.
func (s *Store) Current() (current Current, ok bool) {
	if !s.exchange.Serving() {
		return Current{}, false
	}
	upToDate := s.reader.UpToDate() // before the fold's lock: the lock order is reader, then fold
	text, inForce := s.fold.inForce()
	s.fold.mu.RLock()
	defer s.fold.mu.RUnlock()
	return Current{
		Version:  s.fold.state.Version,
		Text:     text,
		InForce:  inForce,
		Raw:      s.fold.state.Text,
		UpToDate: upToDate,
	}, text != nil
}

// Text returns the text in force, nil when there is none.
func (s *Store) Text() *spec.Text {
	if !s.exchange.Serving() {
		return nil
	}
	text, _ := s.fold.inForce()
	return text
}

// Position returns the position that heartbeats report to peers: the version, and the offset of the first record that
// is not folded. Both are 0 while the store does not serve its state.
func (s *Store) Position() (version, next uint64) {
	if !s.exchange.Serving() {
		return 0, 0
	}
	next, _ = s.reader.Position()
	return s.fold.version(), next
}

// Changed returns a channel that is closed when the version next rises.
func (s *Store) Changed() <-chan struct{} {
	s.fold.mu.RLock()
	defer s.fold.mu.RUnlock()
	return s.fold.changed
}

// History returns the results of the latest publish records, oldest first, including those that lost a race.
func (s *Store) History() []Entry {
	s.fold.mu.RLock()
	defer s.fold.mu.RUnlock()
	return append([]Entry(nil), s.fold.state.Results...)
}

// VersionText returns the published text of a version. The error is of kind NotFound when the version never existed or
// is no longer kept.
func (s *Store) VersionText(ctx context.Context, version uint64) (string, error) {
	if text, found := s.fold.text(version); found {
		return text, nil
	}
	entry, found := s.fold.acceptedAt(version)
	if !found {
		return "", errkind.New(errkind.NotFound, "list the versions with: dogwoodnotch history", "version %d is not known", version)
	}
	record, err := s.reader.ReadOne(ctx, entry.Offset)
	if err != nil {
		return "", err
	}
	var publish publishRecord
	if err := record.Decode(&publish); err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "report this fault", "cannot decode version %d", version)
	}
	return publish.Text, nil
}

// emitVersions emits an event when a new version comes into force. It skips versions that are replaced at once.
func (s *Store) emitVersions(ctx context.Context) error {
	last := uint64(0)
	for {
		changed := s.reader.Changed()
		if current, ok := s.Current(); ok && current.Version > last {
			last = current.Version
			s.options.Metrics.Gauge("configuration_version").Update(float64(last))
			s.options.Events.Emit(eventInForce, event.F("version", last), event.F("in_force", current.InForce))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
