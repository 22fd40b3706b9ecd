// Package jobstore stores the accepted jobs of one data centre and their results. The log stream jobs.<data centre> is
// the durable record: a Store appends changes to it and builds its table of jobs by replaying it.
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

// StreamPrefix is followed by the data centre's name in the name of its log stream.
const StreamPrefix = "jobs."

// CallFetch is the kind of the peer call that fetches the state of an instance that is further ahead in the stream. The
// answer can have several MiB, so the call belongs on a connection of its own.
const CallFetch = "jobstore.fetch"

// Options configures a Store. Limiter is optional, and so are Peers, Self and Entries together.
type Options struct {
	DataCentre structs.DataCentre
	Log        stream.Log
	Keys       *peer.KeyRing
	Limiter    stream.Limiter // limits the appends of the whole process; nil for no limit
	Events     *event.Log
	Metrics    tally.Scope
	Retention  time.Duration // the setting Timing.LogRetention
	PollWait   time.Duration // the setting Timing.ConfigPoll
	MaxOpen    func() int    // limits.queued_jobs of the specification; with 0 no job is accepted

	// Peers transfers snapshots between the instances of the data centre. This lets an instance that starts during a log
	// outage learn the jobs, and lets the stream continue after an outage that lasted longer than the retention. nil
	// disables the transfer.
	Peers   peer.Caller
	Self    structs.InstanceID
	Entries func() []structs.InstanceID // known entry instances of the data centre, including suspected and leaving ones
}

// Store is the job store of one data centre. It is safe for concurrent use.
type Store struct {
	options  Options
	table    *jobTable
	reader   *stream.Reader
	exchange *stream.Exchange // transfers snapshots between instances; nil without peers
	queue    chan *write      // changes that wait for their append
}

// New returns a store that follows its stream once Run is called.
func New(options Options) *Store {
	table := newJobTable()
	reader := stream.NewReader(stream.Options{
		Stream:    StreamPrefix + string(options.DataCentre),
		Log:       options.Log,
		Keys:      options.Keys,
		Limiter:   options.Limiter,
		Events:    options.Events,
		Metrics:   options.Metrics,
		Retention: options.Retention,
		PollWait:  options.PollWait,
	}, table)
	s := &Store{options: options, table: table, reader: reader, queue: make(chan *write, maxQueuedWrites)}
	if options.Peers != nil {
		s.exchange = stream.NewExchange(stream.ExchangeOptions{
			Self: options.Self, Kind: CallFetch, Caller: options.Peers, Entries: options.Entries,
		}, reader)
	}
	return s
}

// Register registers the handler of CallFetch. It does nothing without peers.
func (s *Store) Register(registrar peer.Registrar) {
	if s.exchange != nil {
		s.exchange.Register(registrar)
	}
}

// RecordPeerPosition records the stream position that a peer of the data centre reported in its heartbeat. It never
// blocks.
func (s *Store) RecordPeerPosition(from structs.InstanceID, next uint64) {
	if s.exchange != nil {
		s.exchange.RecordPeerPosition(from, next)
	}
}

// Run reads the stream and appends queued changes to it until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.reader.Run(ctx) })
	group.Go(func() error { return s.writeQueued(ctx) })
	if s.exchange != nil {
		group.Go(func() error { return s.exchange.Run(ctx) })
	}
	return group.Wait()
}

// Get returns a job. found is false if the job was never accepted, or ended so long ago that it was dropped.
func (s *Store) Get(ref Ref) (entry Entry, found bool) { return s.table.get(ref) }

// OpenJobs returns all jobs that have not ended, in order of acceptance, and the sequence number to pass to Since.
func (s *Store) OpenJobs() ([]Entry, uint64) { return s.table.openJobs() }

// CountOpen returns how many jobs have not ended.
func (s *Store) CountOpen() int { return s.table.countOpen() }

// Since returns the jobs that changed after a sequence number, each once, and the current sequence number. If complete
// is false, the changes are no longer kept and the caller must start again with OpenJobs.
func (s *Store) Since(sequence uint64) (changed []Entry, now uint64, complete bool) {
	return s.table.since(sequence)
}

// Changed returns a channel that is closed at the next change of any job.
func (s *Store) Changed() <-chan struct{} {
	s.table.mu.RLock()
	defer s.table.mu.RUnlock()
	return s.table.changed
}

// WaitChange waits until the job, compared with the caller's entry last, has ended or was submitted anew, or until ctx
// ends. It returns the current entry. The error is of kind NotFound.
func (s *Store) WaitChange(ctx context.Context, ref Ref, last Entry) (Entry, error) {
	for {
		changed := s.Changed()
		entry, found := s.table.get(ref)
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

// Position returns the offset of the next record to read, for heartbeats and status.
func (s *Store) Position() uint64 {
	next, _ := s.reader.Position()
	return next
}

// UpToDate returns when the stream was last read to its end, or the zero time if it never was. Until then jobs may be
// missing from the store.
func (s *Store) UpToDate() time.Time { return s.reader.UpToDate() }

// HomeDataCentre returns the data centre of a job that names none. It selects one of names by rendezvous hashing of the
// customer and id, so that a retry at any instance reaches the same stream. It returns "" if names is empty.
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
	return errkind.New(errkind.NotFound, "check the customer and the job id; ended jobs are kept for 6 h",
		"job %s of customer %s is not known here", ref.ID, ref.Customer)
}
