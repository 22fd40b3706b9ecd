package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// kindHeartbeat is the kind of the calls between instances.
const kindHeartbeat = "membership.heartbeat"

// topicMembers carries the instances that take part in ownership in the sender's data centre to the other ones.
const topicMembers = "membership.members"

// Members keeps the view. It implements View and Values and is safe for concurrent use.
type Members struct {
	config  Config
	timing  Timing
	started time.Time
	view    atomic.Pointer[snapshot]
	fresh   freshness
	poll    chan struct{} // asks for a read of the list now
	spawn   func(func())  // runs a heartbeat; tests run it in place

	mu       sync.Mutex
	state    state   // the own one
	listing  listing // of the own instance
	records  map[structs.InstanceID]*record
	list     listState
	topics   topics
	watchers map[string]chan struct{}

	beats, failures, listErrors tally.Counter
}

// New returns a view that knows only its own instance. Register it and attach values, then call Run.
func New(config Config) (*Members, error) {
	config, err := config.checked()
	if err != nil {
		return nil, err
	}
	scope := config.Scope.SubScope("membership")
	m := &Members{
		config:     config,
		timing:     config.Timing,
		started:    config.Now(),
		poll:       make(chan struct{}, 1),
		records:    make(map[structs.InstanceID]*record),
		watchers:   make(map[string]chan struct{}),
		beats:      scope.Counter("heartbeats"),
		failures:   scope.Counter("heartbeats_unanswered"),
		listErrors: scope.Counter("list_errors"),
	}
	m.fresh.stale.Store(true)
	m.list.index = newListIndex(emptyList)
	m.view.Store(m.build(m.started))
	m.Attach(topicMembers, OtherDataCentres, func() any { return m.Entries(config.DataCentre) })
	return m, nil
}

// Register registers the handler of heartbeats.
func (m *Members) Register(r peer.Registrar) { r.Handle(kindHeartbeat, m.handle) }

// Run polls the list and sends heartbeats until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	if m.spawn == nil {
		m.spawn = func(task func()) { group.Go(task) }
	}
	group.Go(func() { m.pollList(ctx) })
	ticker := time.NewTicker(m.timing.Heartbeat)
	defer ticker.Stop()
	for {
		m.tick(ctx, m.config.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// tick does one round: detect a freeze, collect values, judge silence, send the heartbeats that are due.
func (m *Members) tick(ctx context.Context, now time.Time) {
	m.noticeFreeze(now)
	m.collect()
	m.rebuild(now)
	m.mu.Lock()
	due := m.due(now)
	m.mu.Unlock()
	for _, id := range due {
		m.spawn(func() { m.exchange(ctx, id) })
	}
	m.noticeRefresh()
}

// rebuild replaces the view when what it shows has changed.
func (m *Members) rebuild(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(now)
	old, fresh := m.view.Load(), m.build(now)
	if old.same(fresh) {
		return
	}
	m.view.Store(fresh)
	close(old.changed)
	m.report(old, fresh)
}

func (m *Members) report(old, fresh *snapshot) {
	own := m.config.DataCentre
	if !slices.Equal(old.entries[own], fresh.entries[own]) {
		m.config.Events.Emit(eventEntries, event.F("entries", fresh.entries[own]))
	}
	for id := range fresh.gone {
		if !old.gone[id] {
			m.config.Events.Emit(eventGone, event.F("gone", id))
		}
	}
}

// forget notes which instances are gone and drops those that have been for long.
func (m *Members) forget(now time.Time) {
	for id, r := range m.records {
		if !r.gone(m.list.evidence) {
			r.goneSince = time.Time{}
			continue
		}
		if r.goneSince.IsZero() {
			r.goneSince = now
		}
		if now.Sub(r.goneSince) > keepGone {
			delete(m.records, id)
		}
	}
}

// build computes the view. m.mu is held, except in New.
func (m *Members) build(now time.Time) *snapshot {
	s := &snapshot{
		entries: make(map[structs.DataCentre][]structs.InstanceID),
		all:     map[structs.InstanceID]structs.DataCentre{m.config.Self: m.config.DataCentre},
		gone:    make(map[structs.InstanceID]bool),
		peers:   map[structs.InstanceID]string{m.config.Self: m.config.PeerAddress},
		list:    m.list.index,
		changed: make(chan struct{}),
	}
	if m.participates() {
		s.entries[m.config.DataCentre] = append(s.entries[m.config.DataCentre], m.config.Self)
	}
	reports := m.reports(now)
	for id, r := range m.records {
		s.peers[id] = r.peerAddress
		s.all[id] = r.dc
		if r.gone(m.list.evidence) {
			s.gone[id] = true
			continue
		}
		if r.willing(m.list.evidence) && !m.suspected(r, reports[r.dc], now) {
			s.entries[r.dc] = append(s.entries[r.dc], id)
		}
	}
	for _, ids := range s.entries {
		slices.SortFunc(ids, func(a, b structs.InstanceID) int { return strings.Compare(string(a), string(b)) })
	}
	return s
}

// participates reports whether this instance takes part in ownership. Before it has read the list or heard a peer it
// would take itself for the owner of everything.
func (m *Members) participates() bool {
	aware := m.list.usable || len(m.records) > 0
	return aware && m.state == stateLive && !m.listing.leaving && !m.listing.dropped()
}

// suspected reports whether an instance is left out of ownership because of silence. After an own start or freeze,
// silence is counted from then on, so that an instance that heard nobody does not believe itself alone.
func (m *Members) suspected(r *record, report map[structs.InstanceID]bool, now time.Time) bool {
	since := m.started
	if m.fresh.resumed.After(since) {
		since = m.fresh.resumed
	}
	if r.dc == m.config.DataCentre {
		return r.silent(now, since, m.timing.Suspect)
	}
	if report == nil || report[r.id] {
		return false // a data centre from which nothing is heard keeps its last known members
	}
	return r.silent(now, r.firstSeen, m.timing.SuspectRemote)
}

// reports returns, for each other data centre that is heard from, the instances that its members report.
func (m *Members) reports(now time.Time) map[structs.DataCentre]map[structs.InstanceID]bool {
	all := make(map[structs.DataCentre]map[structs.InstanceID]bool)
	for _, r := range m.records {
		if r.dc == m.config.DataCentre || r.reported == nil || r.silent(now, time.Time{}, m.timing.SuspectRemote) {
			continue
		}
		if all[r.dc] == nil {
			all[r.dc] = make(map[structs.InstanceID]bool)
		}
		for _, id := range r.reported {
			all[r.dc][id] = true
		}
	}
	return all
}

// jitter returns d changed by up to a tenth, so that instances do not act at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}
