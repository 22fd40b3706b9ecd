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

// kindHeartbeat is the kind of the heartbeat calls between instances.
const kindHeartbeat = "membership.heartbeat"

// topicMembers is the topic that tells other data centres which instances of the sender's data centre may own keys.
const topicMembers = "membership.members"

// Members keeps the view. It implements View and Values and is safe for concurrent use.
type Members struct {
	config    Config
	timing    Timing
	started   time.Time
	view      atomic.Pointer[snapshot]
	freshness freshness
	pollNow   chan struct{} // triggers a read of the list before the next interval
	spawn     func(func())  // runs a heartbeat in its own goroutine; tests run it synchronously

	mu         sync.Mutex
	ownState   state
	ownListing listing
	records    map[structs.InstanceID]*record // other entry instances
	list       listState
	topics     topics
	watchers   map[string]chan struct{}

	heartbeatsSent, heartbeatsUnanswered, listErrors tally.Counter
}

// New returns a view that knows only this instance. Call Register and Attach next, then Run.
func New(config Config) (*Members, error) {
	config, err := config.validated()
	if err != nil {
		return nil, err
	}
	scope := config.Scope.SubScope("membership")
	m := &Members{
		config:               config,
		timing:               config.Timing,
		started:              config.Now(),
		pollNow:              make(chan struct{}, 1),
		records:              make(map[structs.InstanceID]*record),
		watchers:             make(map[string]chan struct{}),
		heartbeatsSent:       scope.Counter("heartbeats"),
		heartbeatsUnanswered: scope.Counter("heartbeats_unanswered"),
		listErrors:           scope.Counter("list_errors"),
	}
	m.freshness.stale.Store(true)
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

// tick runs one round: it detects a freeze, collects values, updates the view and sends the heartbeats that are due.
func (m *Members) tick(ctx context.Context, now time.Time) {
	m.detectFreeze(now)
	m.collectValues()
	m.rebuild(now)
	m.mu.Lock()
	due := m.claimDue(now)
	m.mu.Unlock()
	for _, id := range due {
		m.spawn(func() { m.sendHeartbeat(ctx, id) })
	}
	m.checkRefreshed()
}

// rebuild computes the view and publishes it if it differs from the present one.
func (m *Members) rebuild(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireGone(now)
	previous, current := m.view.Load(), m.build(now)
	if previous.equal(current) {
		return
	}
	m.view.Store(current)
	close(previous.changed)
	m.emitChanges(previous, current)
}

func (m *Members) emitChanges(previous, current *snapshot) {
	own := m.config.DataCentre
	if !slices.Equal(previous.entries[own], current.entries[own]) {
		m.config.Events.Emit(eventEntries, event.F("entries", current.entries[own]))
	}
	for id := range current.gone {
		if !previous.gone[id] {
			m.config.Events.Emit(eventGone, event.F("gone", id))
		}
	}
}

// expireGone records since when instances are gone and drops those that have been gone for longer than goneRetention.
func (m *Members) expireGone(now time.Time) {
	for id, r := range m.records {
		if !r.gone(m.list.effectiveTime) {
			r.goneSince = time.Time{}
			continue
		}
		if r.goneSince.IsZero() {
			r.goneSince = now
		}
		if now.Sub(r.goneSince) > goneRetention {
			delete(m.records, id)
		}
	}
}

// build computes the view. The caller holds m.mu, except in New.
func (m *Members) build(now time.Time) *snapshot {
	s := &snapshot{
		entries:       make(map[structs.DataCentre][]structs.InstanceID),
		allEntries:    map[structs.InstanceID]structs.DataCentre{m.config.Self: m.config.DataCentre},
		gone:          make(map[structs.InstanceID]bool),
		peerAddresses: map[structs.InstanceID]string{m.config.Self: m.config.PeerAddress},
		list:          m.list.index,
		changed:       make(chan struct{}),
	}
	if m.participates() {
		s.entries[m.config.DataCentre] = append(s.entries[m.config.DataCentre], m.config.Self)
	}
	reports := m.remoteReports(now)
	for id, r := range m.records {
		s.peerAddresses[id] = r.peerAddress
		s.allEntries[id] = r.dc
		if r.gone(m.list.effectiveTime) {
			s.gone[id] = true
			continue
		}
		if r.eligible(m.list.effectiveTime) && !m.suspected(r, reports[r.dc], now) {
			s.entries[r.dc] = append(s.entries[r.dc], id)
		}
	}
	for _, ids := range s.entries {
		slices.SortFunc(ids, func(a, b structs.InstanceID) int { return strings.Compare(string(a), string(b)) })
	}
	return s
}

// participates reports whether this instance may own keys. Until it has read the list or heard from a peer it may not,
// because it would regard itself as the owner of every key.
func (m *Members) participates() bool {
	aware := m.list.loaded || len(m.records) > 0
	return aware && m.ownState == stateLive && !m.ownListing.leaving && !m.ownListing.delisted()
}

// suspected reports whether an instance is excluded from ownership because nothing has been heard from it. After a
// start or freeze of this process silence is counted from that time on; otherwise this instance, having heard nobody,
// would regard itself as the only one. reportedLive holds the members that the instance's data centre reports, nil when
// nothing is heard from there.
func (m *Members) suspected(r *record, reportedLive map[structs.InstanceID]bool, now time.Time) bool {
	since := m.started
	if m.freshness.resumedAt.After(since) {
		since = m.freshness.resumedAt
	}
	if r.dc == m.config.DataCentre {
		return r.silent(now, since, m.timing.Suspect)
	}
	if reportedLive == nil || reportedLive[r.id] {
		return false // an unreachable data centre keeps its last known members
	}
	return r.silent(now, r.firstSeen, m.timing.SuspectRemote)
}

// remoteReports returns, for each other data centre that sends heartbeats, the instances that its members report.
func (m *Members) remoteReports(now time.Time) map[structs.DataCentre]map[structs.InstanceID]bool {
	all := make(map[structs.DataCentre]map[structs.InstanceID]bool)
	for _, r := range m.records {
		if r.dc == m.config.DataCentre || r.reportedMembers == nil || r.silent(now, time.Time{}, m.timing.SuspectRemote) {
			continue
		}
		if all[r.dc] == nil {
			all[r.dc] = make(map[structs.InstanceID]bool)
		}
		for _, id := range r.reportedMembers {
			all[r.dc][id] = true
		}
	}
	return all
}

// jitter returns d changed at random by up to 10 %, so that instances do not act at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}
