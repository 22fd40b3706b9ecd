package membership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// heartbeat is the message of both directions: request and answer. It carries the sender's values that changed after
// version Base, which the receiver has acknowledged, and acknowledges the receiver's values up to version Ack.
type heartbeat struct {
	Incarnation uint64        `msgpack:"i"`
	State       state         `msgpack:"s,omitempty"`
	Base        uint64        `msgpack:"b,omitempty"`
	Version     uint64        `msgpack:"v"`
	Ack         uint64        `msgpack:"a,omitempty"`
	AckOf       uint64        `msgpack:"n,omitempty"` // receiver's incarnation to which Ack and Evictions refer
	Identity    *identity     `msgpack:"d,omitempty"` // set only when Base is 0
	Topics      []topicUpdate `msgpack:"t,omitempty"`
	Evictions   uint32        `msgpack:"e,omitempty"` // how often the sender regarded this process of the receiver as gone
}

// identity describes the sender to a receiver whose instance list does not contain it yet.
type identity struct {
	DataCentre  structs.DataCentre `msgpack:"d"`
	Address     string             `msgpack:"a"`
	PeerAddress string             `msgpack:"p"`
}

// topicUpdate is the new value of one topic.
type topicUpdate struct {
	Name string `msgpack:"n"`
	Data []byte `msgpack:"d"`
}

// handle processes a heartbeat from a peer and returns this instance's heartbeat as the answer.
func (m *Members) handle(_ context.Context, from structs.InstanceID, decode func(any) error) (any, error) {
	var received heartbeat
	if err := decode(&received); err != nil {
		return nil, err
	}
	if err := m.receive(from, &received, m.config.Now()); err != nil {
		return nil, err
	}
	return m.heartbeatFor(from), nil
}

// receive processes a heartbeat or an answer. It rebuilds the view only when the message can change it.
func (m *Members) receive(from structs.InstanceID, received *heartbeat, now time.Time) error {
	viewMayChange, err := m.applyHeartbeat(from, received, now)
	if viewMayChange {
		m.rebuild(now)
	}
	return err
}

// applyHeartbeat updates the sender's record and reports whether the message can change the view.
func (m *Members) applyHeartbeat(from structs.InstanceID, received *heartbeat, now time.Time) (viewMayChange bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, err := m.recordOf(from, received, now)
	if err != nil {
		return false, err
	}
	wasGone, wasState := r.gone(m.list.effectiveTime), r.state
	viewMayChange = wasGone || r.silent(now, time.Time{}, m.timing.Suspect)
	if !r.acceptMessage(received.Incarnation, now, wasGone) {
		return false, errkind.New(errkind.LostRace, "stop this process", "a later process named %s is known", from)
	}
	r.state = max(r.state, received.State)
	viewMayChange = viewMayChange || r.state != wasState
	if received.AckOf == m.config.Incarnation {
		r.acknowledgedVersion = min(received.Ack, m.topics.version)
	} else {
		r.acknowledgedVersion = 0
	}
	if received.Version >= r.receivedVersion && len(received.Topics) <= maxTopics {
		viewMayChange = m.applyValues(r, received, now) || viewMayChange
	}
	if received.AckOf == m.config.Incarnation && received.Evictions > r.evictionsOfSelf {
		r.evictionsOfSelf = received.Evictions
		m.evictedByPeer(r, now)
	}
	return viewMayChange, nil
}

// evictedByPeer handles a peer's notice that it regarded this process as gone. Only peers of the same data centre can
// have taken over its minions.
func (m *Members) evictedByPeer(r *record, now time.Time) {
	if r.dc == m.config.DataCentre {
		m.freshness.markEvicted(now)
	}
}

// recordOf returns the record of a sender. For a sender that is not in the list yet, it creates one from the identity
// in the message.
func (m *Members) recordOf(from structs.InstanceID, received *heartbeat, now time.Time) (*record, error) {
	if r, known := m.records[from]; known {
		return r, nil
	}
	if received.Identity == nil || len(m.records) >= maxRecords {
		return nil, errkind.New(errkind.NotFound, "send a full heartbeat", "instance %s is not known here", from)
	}
	r := &record{
		id:          from,
		dc:          received.Identity.DataCentre,
		address:     received.Identity.Address,
		peerAddress: received.Identity.PeerAddress,
		firstSeen:   now,
		values:      make(map[string]value),
	}
	m.records[from] = r
	return r, nil
}

// applyValues stores the changed values. When earlier changes are missing, the acknowledged version does not rise, so
// the sender sends all of them again. It reports whether the members of the sender's data centre were among the values.
func (m *Members) applyValues(r *record, received *heartbeat, now time.Time) (membersReported bool) {
	for _, t := range received.Topics {
		_, known := r.values[t.Name]
		if len(t.Data) > maxValueBytes || (!known && len(r.values) >= maxTopics) {
			continue
		}
		r.values[t.Name] = value{data: t.Data, changed: now}
		if t.Name == topicMembers {
			r.reportedMembers = decodeMembers(t.Data)
			membersReported = true
		}
		m.notify(t.Name)
	}
	if received.Base <= r.receivedVersion {
		r.receivedVersion = received.Version
	}
	return membersReported
}

// decodeMembers decodes a value of topicMembers. A malformed one gives nil, which means that there is no report.
func decodeMembers(data []byte) []structs.InstanceID {
	ids := []structs.InstanceID{}
	if codec.Unmarshal(data, &ids) != nil {
		return nil
	}
	return ids
}

// heartbeatFor returns the heartbeat for one receiver.
func (m *Members) heartbeatFor(to structs.InstanceID) *heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := &heartbeat{Incarnation: m.config.Incarnation, State: m.ownState, Version: m.topics.version}
	dc := m.config.DataCentre
	if r, known := m.records[to]; known {
		b.Base = r.acknowledgedVersion
		b.Ack = r.receivedVersion
		b.AckOf = r.incarnation
		b.Evictions = r.evictions
		if r.gone(m.list.effectiveTime) {
			b.Evictions++ // acceptMessage counts the present eviction only when the instance is heard from again
		}
		dc = r.dc
	}
	if b.Base == 0 {
		b.Identity = &identity{m.config.DataCentre, m.config.Address, m.config.PeerAddress}
	}
	b.Topics = m.topics.changedSince(b.Base, dc == m.config.DataCentre)
	return b
}

// sendHeartbeat sends one heartbeat and processes its answer.
func (m *Members) sendHeartbeat(ctx context.Context, to structs.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := m.config.Now()
	m.heartbeatsSent.Inc(1)
	var answer heartbeat
	err := m.config.Caller.Call(ctx, to, kindHeartbeat, m.heartbeatFor(to), &answer)
	if err == nil {
		err = m.receive(to, &answer, m.config.Now())
	}
	m.recordOutcome(to, began, err)
	if err != nil {
		m.rebuild(m.config.Now())
	}
}

// recordOutcome records whether a heartbeat was answered.
func (m *Members) recordOutcome(to structs.InstanceID, began time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, known := m.records[to]
	if !known {
		return
	}
	r.inFlight = false
	if err == nil {
		r.confirmedAt = began
		return
	}
	m.heartbeatsUnanswered.Inc(1)
	r.failures++
	r.refused = r.refused || errors.Is(err, peer.ErrPeerGone)
	if errkind.Is(err, errkind.NotFound) {
		r.acknowledgedVersion = 0 // the peer does not know this instance, so the next heartbeat has to carry the identity
	}
}

// claimDue returns the instances to which a heartbeat is due, and marks it as in flight. A heartbeat and its answer
// show both sides that the other is alive, so none is due to an instance that was heard from within the interval: each
// pair exchanges one heartbeat per interval. A stale view needs answers to this instance's own heartbeats, because a
// received one may have been sent before the freeze.
func (m *Members) claimDue(now time.Time) []structs.InstanceID {
	var ids []structs.InstanceID
	for _, r := range m.targets() {
		interval := m.interval(r)
		heard := now.Sub(r.lastHeard) < interval && !m.freshness.stale.Load()
		if r.inFlight || now.Sub(r.lastSent) < interval || heard {
			continue
		}
		r.inFlight = true
		r.lastSent = now
		ids = append(ids, r.id)
	}
	return ids
}

// interval returns the least time between two heartbeats with an instance. It is a fifth shorter than the setting,
// because rounds are not exactly one interval apart.
func (m *Members) interval(r *record) time.Duration {
	interval := m.timing.HeartbeatRemote
	switch {
	case r.gone(m.list.effectiveTime):
		interval = goneRetryInterval
	case r.dc == m.config.DataCentre:
		interval = m.timing.Heartbeat
	}
	return interval - interval/5
}

// targets returns the instances to send heartbeats to: all of this data centre and the partners in every other one.
func (m *Members) targets() []*record {
	var chosen []*record
	others := make(map[structs.DataCentre][]*record)
	for _, r := range m.records {
		switch {
		case r.state == stateEnded:
		case r.dc == m.config.DataCentre:
			chosen = append(chosen, r)
		default:
			others[r.dc] = append(others[r.dc], r)
		}
	}
	for _, candidates := range others {
		chosen = append(chosen, m.partners(candidates)...)
	}
	return chosen
}

// goneRetryInterval is the time between heartbeats to an instance that is regarded as gone. They are needed because two
// instances that start at the same time can each be refused by the other before it listens.
const goneRetryInterval = 5 * time.Second

// maxFailures is the number of consecutive unanswered heartbeats after which another partner is preferred.
const maxFailures = 2

// partners chooses the instances of another data centre to send heartbeats to. It ranks them by hash, which spreads the
// load. Candidates that do not answer come last, ordered by the time of their last heartbeat with the oldest first, so
// that contact is found again after a partition whichever instances survived.
func (m *Members) partners(candidates []*record) []*record {
	self := string(m.config.Self)
	slices.SortFunc(candidates, func(a, b *record) int {
		aFails, bFails := a.failures >= maxFailures, b.failures >= maxFailures
		switch {
		case aFails && bFails:
			return a.lastSent.Compare(b.lastSent)
		case aFails:
			return 1
		case bFails:
			return -1
		}
		return cmp.Compare(weight(string(b.id), self), weight(string(a.id), self))
	})
	return candidates[:min(len(candidates), m.timing.Partners)]
}

// Leave tells the peers that this instance no longer owns keys. It returns when all have answered or ctx ends; the
// others learn it from later heartbeats.
func (m *Members) Leave(ctx context.Context) { m.announceState(ctx, stateLeaving) }

// End tells the peers that this process has ended, so that they take over at once. Call it only when this process can
// no longer send anything to a minion or a worker.
func (m *Members) End(ctx context.Context) { m.announceState(ctx, stateEnded) }

func (m *Members) announceState(ctx context.Context, s state) {
	m.mu.Lock()
	m.ownState = max(m.ownState, s)
	targets := m.targets()
	m.mu.Unlock()
	m.collectValues()
	m.rebuild(m.config.Now())
	var group sync.WaitGroup
	for _, r := range targets {
		group.Go(func() { m.sendHeartbeat(ctx, r.id) })
	}
	group.Wait()
}
