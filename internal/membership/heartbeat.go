package membership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// beat is a heartbeat and its answer. Each carries the sender's values that changed after version Base, which the
// receiver has confirmed, and confirms the receiver's own values up to Ack.
type beat struct {
	Incarnation uint64      `msgpack:"i"`
	State       state       `msgpack:"s,omitempty"`
	Base        uint64      `msgpack:"b,omitempty"`
	Version     uint64      `msgpack:"v"`
	Ack         uint64      `msgpack:"a,omitempty"`
	AckOf       uint64      `msgpack:"n,omitempty"` // incarnation of the receiver that Ack and Evictions are about
	Identity    *identity   `msgpack:"d,omitempty"` // only when Base is 0
	Topics      []topicBeat `msgpack:"t,omitempty"`
	Evictions   uint32      `msgpack:"e,omitempty"` // how often the sender took this process of the receiver for gone
}

// identity introduces an instance that the receiver's list does not show yet.
type identity struct {
	DataCentre  structs.DataCentre `msgpack:"d"`
	Address     string             `msgpack:"a"`
	PeerAddress string             `msgpack:"p"`
}

type topicBeat struct {
	Name string `msgpack:"n"`
	Data []byte `msgpack:"d"`
}

// handle answers a heartbeat.
func (m *Members) handle(_ context.Context, from structs.InstanceID, decode func(any) error) (any, error) {
	var received beat
	if err := decode(&received); err != nil {
		return nil, err
	}
	if err := m.receive(from, &received, m.config.Now()); err != nil {
		return nil, err
	}
	return m.compose(from), nil
}

// receive takes over a heartbeat or an answer. It computes the view again only when the message can change it.
func (m *Members) receive(from structs.InstanceID, b *beat, now time.Time) error {
	matters, err := m.take(from, b, now)
	if matters {
		m.rebuild(now)
	}
	return err
}

// take reports whether the message can change the view.
func (m *Members) take(from structs.InstanceID, b *beat, now time.Time) (matters bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, err := m.introduce(from, b, now)
	if err != nil {
		return false, err
	}
	wasGone, wasState := r.gone(m.list.evidence), r.state
	matters = wasGone || r.silent(now, time.Time{}, m.timing.Suspect)
	if !r.heard(b.Incarnation, now, wasGone) {
		return false, errkind.New(errkind.LostRace, "stop this process", "a later process named %s is known", from)
	}
	r.state = max(r.state, b.State)
	matters = matters || r.state != wasState
	if b.AckOf == m.config.Incarnation {
		r.acknowledged = min(b.Ack, m.topics.version)
	} else {
		r.acknowledged = 0
	}
	if b.Version >= r.received && len(b.Topics) <= maxTopics {
		matters = m.adopt(r, b, now) || matters
	}
	if b.AckOf == m.config.Incarnation && b.Evictions > r.evictedBy {
		r.evictedBy = b.Evictions
		m.evicted(r, now)
	}
	return matters, nil
}

// evicted acts on the news that a peer took this process for gone. Only those of the own data centre can have taken
// over its minions.
func (m *Members) evicted(r *record, now time.Time) {
	if r.dc == m.config.DataCentre {
		m.fresh.evict(now)
	}
}

// introduce returns the record of a sender. One that the list does not show yet introduces itself.
func (m *Members) introduce(from structs.InstanceID, b *beat, now time.Time) (*record, error) {
	if r, known := m.records[from]; known {
		return r, nil
	}
	if b.Identity == nil || len(m.records) >= maxRecords {
		return nil, errkind.New(errkind.NotFound, "send a full heartbeat", "instance %s is not known here", from)
	}
	r := &record{
		id:          from,
		dc:          b.Identity.DataCentre,
		address:     b.Identity.Address,
		peerAddress: b.Identity.PeerAddress,
		firstSeen:   now,
		values:      make(map[string]value),
	}
	m.records[from] = r
	return r, nil
}

// adopt stores the changed values. A gap before them leaves the confirmed version as it is, so they are sent again. It
// reports whether the members of the sender's data centre are among them.
func (m *Members) adopt(r *record, b *beat, now time.Time) (reported bool) {
	for _, t := range b.Topics {
		_, known := r.values[t.Name]
		if len(t.Data) > maxValueBytes || (!known && len(r.values) >= maxTopics) {
			continue
		}
		r.values[t.Name] = value{data: t.Data, changed: now}
		if t.Name == topicMembers {
			r.reported = decodeMembers(t.Data)
			reported = true
		}
		m.notify(t.Name)
	}
	if b.Base <= r.received {
		r.received = b.Version
	}
	return reported
}

// decodeMembers returns nil when the value is malformed, which counts as no report.
func decodeMembers(data []byte) []structs.InstanceID {
	ids := []structs.InstanceID{}
	if msgpack.Unmarshal(data, &ids) != nil {
		return nil
	}
	return ids
}

// compose returns the heartbeat for one receiver.
func (m *Members) compose(to structs.InstanceID) *beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := &beat{Incarnation: m.config.Incarnation, State: m.state, Version: m.topics.version}
	dc := m.config.DataCentre
	if r, known := m.records[to]; known {
		b.Base = r.acknowledged
		b.Ack = r.received
		b.AckOf = r.incarnation
		b.Evictions = r.evictions
		if r.gone(m.list.evidence) {
			b.Evictions++
		}
		dc = r.dc
	}
	if b.Base == 0 {
		b.Identity = &identity{m.config.DataCentre, m.config.Address, m.config.PeerAddress}
	}
	b.Topics = m.topics.since(b.Base, dc == m.config.DataCentre)
	return b
}

// exchange sends one heartbeat and takes over its answer.
func (m *Members) exchange(ctx context.Context, to structs.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := m.config.Now()
	m.beats.Inc(1)
	var answer beat
	err := m.config.Caller.Call(ctx, to, kindHeartbeat, m.compose(to), &answer)
	if err == nil {
		err = m.receive(to, &answer, m.config.Now())
	}
	m.settle(to, began, err)
	if err != nil {
		m.rebuild(m.config.Now())
	}
}

// settle notes how a heartbeat ended.
func (m *Members) settle(to structs.InstanceID, began time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, known := m.records[to]
	if !known {
		return
	}
	r.inFlight = false
	if err == nil {
		r.confirmed = began
		return
	}
	m.failures.Inc(1)
	r.failures++
	r.refused = r.refused || errors.Is(err, peer.ErrPeerGone)
	if errkind.Is(err, errkind.NotFound) {
		r.acknowledged = 0 // it does not know this instance, so the next heartbeat introduces it
	}
}

// due returns the instances to send a heartbeat to, and notes that they are sent. An exchange tells both sides that the
// other is alive, so whoever was heard within an interval needs none: each pair makes one exchange an interval. A stale
// view needs answers to own heartbeats: one that was received may have been sent before the freeze.
func (m *Members) due(now time.Time) []structs.InstanceID {
	var ids []structs.InstanceID
	for _, r := range m.targets() {
		interval := m.interval(r)
		heard := now.Sub(r.lastHeard) < interval && !m.fresh.stale.Load()
		if r.inFlight || now.Sub(r.lastSent) < interval || heard {
			continue
		}
		r.inFlight = true
		r.lastSent = now
		ids = append(ids, r.id)
	}
	return ids
}

// interval returns the time between two exchanges with an instance, less a fifth because rounds are not exactly one
// interval apart.
func (m *Members) interval(r *record) time.Duration {
	interval := m.timing.HeartbeatRemote
	switch {
	case r.gone(m.list.evidence):
		interval = retryGone
	case r.dc == m.config.DataCentre:
		interval = m.timing.Heartbeat
	}
	return interval - interval/5
}

// targets returns the instances of the own data centre and the partners in each other one.
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

// retryGone is the time between attempts to reach an instance that was found to be gone. Two instances that start at
// the same time can each be refused by the other before it listens.
const retryGone = 5 * time.Second

// failing is how many heartbeats in a row must go unanswered before another partner is chosen.
const failing = 2

// partners chooses by hash, so that the load spreads over a data centre. Candidates that do not answer come last, the
// one that was tried longest ago first, so that a healed data centre is found whichever of its instances survived.
func (m *Members) partners(candidates []*record) []*record {
	self := string(m.config.Self)
	slices.SortFunc(candidates, func(a, b *record) int {
		aFails, bFails := a.failures >= failing, b.failures >= failing
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

// Leave tells the peers that this instance takes part in ownership no more. It returns when all have answered or ctx
// ends; those that did not answer learn it from later heartbeats.
func (m *Members) Leave(ctx context.Context) { m.announce(ctx, stateLeaving) }

// End tells the peers that this process has ended, so that they take over at once. Call it when nothing of this
// process can reach a minion or a worker any more.
func (m *Members) End(ctx context.Context) { m.announce(ctx, stateEnded) }

func (m *Members) announce(ctx context.Context, s state) {
	m.mu.Lock()
	m.state = max(m.state, s)
	targets := m.targets()
	m.mu.Unlock()
	m.collect()
	m.rebuild(m.config.Now())
	var group sync.WaitGroup
	for _, r := range targets {
		group.Go(func() { m.exchange(ctx, r.id) })
	}
	group.Wait()
}
