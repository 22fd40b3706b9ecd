// Package jobstore keeps the accepted jobs of one data centre: the fold of the log stream jobs.<data centre>.
package jobstore

import (
	"cmp"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/configuration/stream"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// StreamPrefix and the data centre's name make the name of its stream.
const StreamPrefix = "jobs."

// CallFetch is the kind of the call by which an instance takes over the state of a peer that is ahead. Its answer can
// have several MiB, so it belongs to the calls that get connections of their own.
const CallFetch = "jobstore.fetch"

// Options configures a store. All fields but Limiter, and Peers with Self and Entries, are required.
type Options struct {
	DataCentre structs.DataCentre
	Log        stream.Log
	Keys       *peer.KeyRing
	Limiter    stream.Limiter // shared by all writers of the process; nil: none
	Events     *event.Log
	Metrics    tally.Scope
	Retention  time.Duration // settings.Timing.LogRetention
	PollWait   time.Duration // settings.Timing.ConfigPoll
	MaxOpen    func() int    // limits.queued_jobs of the specification; 0: nothing is accepted

	// Peers carries states between the instances of the data centre, so that one that starts in a log outage learns the
	// jobs, and so that the stream goes on after an outage as long as the retention. nil: neither.
	Peers   peer.Caller
	Self    structs.InstanceID
	Entries func() []structs.InstanceID // the data centre's known entry instances, suspected and leaving ones included
}

// Store keeps the jobs of one data centre.
type Store struct {
	options  Options
	fold     *fold
	reader   *stream.Reader
	exchange *stream.Exchange // nil without peers
	queue    chan *write
}

// New returns a store. Run makes it work.
func New(options Options) *Store {
	f := newFold()
	reader := stream.NewReader(stream.Options{
		Stream:    StreamPrefix + string(options.DataCentre),
		Log:       options.Log,
		Keys:      options.Keys,
		Limiter:   options.Limiter,
		Events:    options.Events,
		Metrics:   options.Metrics,
		Retention: options.Retention,
		PollWait:  options.PollWait,
	}, f)
	s := &Store{options: options, fold: f, reader: reader, queue: make(chan *write, maxQueuedWrites)}
	if options.Peers != nil {
		s.exchange = stream.NewExchange(stream.ExchangeOptions{
			Self: options.Self, Kind: CallFetch, Caller: options.Peers, Entries: options.Entries,
		}, reader)
	}
	return s
}

// Register registers the handler of the fetch call. It does nothing without peers.
func (s *Store) Register(registrar peer.Registrar) {
	if s.exchange != nil {
		s.exchange.Register(registrar)
	}
}

// RecordPeerPosition tells the store how far a peer of the data centre is, as its heartbeat says. It never blocks.
func (s *Store) RecordPeerPosition(from structs.InstanceID, next uint64) {
	if s.exchange != nil {
		s.exchange.RecordPeerPosition(from, next)
	}
}

// Run follows the stream and writes to it until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.reader.Run(ctx) })
	group.Go(func() error { return s.writeQueued(ctx) })
	if s.exchange != nil {
		group.Go(func() error { return s.exchange.Run(ctx) })
	}
	return group.Wait()
}

// Get returns a job. found is false when it was never accepted or is forgotten.
func (s *Store) Get(ref Ref) (entry Entry, found bool) { return s.fold.get(ref) }

// Open returns all jobs that have not ended, in order of acceptance, and the sequence number for Since.
func (s *Store) Open() ([]Entry, uint64) { return s.fold.openJobs() }

// Count returns how many jobs have not ended.
func (s *Store) Count() int { return s.fold.open() }

// Since returns the jobs that changed after a sequence number, each once, and the present number. When complete is
// false the number is too old: the caller starts again from Open.
func (s *Store) Since(sequence uint64) (changed []Entry, now uint64, complete bool) {
	return s.fold.since(sequence)
}

// Changed returns a channel that is closed when a job next changes.
func (s *Store) Changed() <-chan struct{} {
	s.fold.mu.RLock()
	defer s.fold.mu.RUnlock()
	return s.fold.changed
}

// WaitChange waits until the job differs from last, or until ctx ends, and returns the job as it is then. The error is
// of kind NotFound.
func (s *Store) WaitChange(ctx context.Context, ref Ref, last Entry) (Entry, error) {
	for {
		changed := s.Changed()
		entry, found := s.fold.get(ref)
		if !found {
			return Entry{}, notFound(ref)
		}
		if entry.Final() != last.Final() || entry.Offset != last.Offset {
			return entry, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return entry, nil
		}
	}
}

// Position returns the offset of the next record to fold, for heartbeats and status.
func (s *Store) Position() uint64 {
	next, _ := s.reader.Position()
	return next
}

// UpToDate returns when the stream was last read to its end; zero: never. Before that the store may miss jobs.
func (s *Store) UpToDate() time.Time { return s.reader.UpToDate() }

// HomeDataCentre returns the data centre of a job that names none: the rendezvous winner among names for the customer and id, so
// that a retry at any instance reaches the same stream. It returns "" when names is empty.
func HomeDataCentre(ref Ref, names []structs.DataCentre) structs.DataCentre {
	var winner structs.DataCentre
	var best uint64
	for _, name := range names {
		weight := xxhash.Sum64String(string(ref.Customer) + "\x00" + string(ref.ID) + "\x00" + string(name))
		if winner == "" || weight > best || (weight == best && name < winner) {
			winner, best = name, weight
		}
	}
	return winner
}

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Job.Customer, b.Job.Customer), cmp.Compare(a.Job.ID, b.Job.ID))
}

func notFound(ref Ref) error {
	return errkind.New(errkind.NotFound, "check the customer and the id; ended jobs are kept for 6 h",
		"job %s of customer %s is not known here", ref.ID, ref.Customer)
}
