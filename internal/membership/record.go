package membership

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// state is what an instance says about itself.
type state uint8

const (
	stateLive state = iota
	stateLeaving
	stateEnded
)

// listing is what the instance list says about one instance.
type listing struct {
	shown   bool
	ever    bool // it has been shown at some time
	leaving bool
}

// dropped reports whether the list showed the instance and no longer does. A list that lags behind a new instance has
// never shown it.
func (l listing) dropped() bool { return l.ever && !l.shown }

// record is what is known about another entry instance.
type record struct {
	id          structs.InstanceID
	dc          structs.DataCentre
	address     string
	peerAddress string
	incarnation uint64
	state       state
	listing     listing

	firstSeen time.Time
	lastHeard time.Time // of its last direct message; zero: never
	refused   bool      // its host refused a connection since it was last heard
	goneSince time.Time // zero: not gone

	received uint64 // version of its values that has arrived in full
	values   map[string]value
	reported []structs.InstanceID // its value of topicMembers, decoded

	acknowledged uint64 // version of the own values that it has in full
	lastSent     time.Time
	inFlight     bool
	failures     int       // heartbeats in a row that got no answer
	confirmed    time.Time // start of the last own heartbeat that it answered
	evictions    uint32    // how often its present process was taken for gone and heard again
	evictedBy    uint32    // how often it has taken this process for gone, as it says
}

// value is the latest one of a topic.
type value struct {
	data    []byte
	changed time.Time
}

// heard notes a direct message of the given incarnation. It reports false for a message of an earlier process, which
// was delayed.
func (r *record) heard(incarnation uint64, now time.Time, wasGone bool) bool {
	if incarnation < r.incarnation {
		return false
	}
	if incarnation == r.incarnation && wasGone {
		r.evictions++
	}
	if incarnation > r.incarnation {
		r.evictions = 0
		r.evictedBy = 0
		r.incarnation = incarnation
		r.state = stateLive
		r.received = 0
		r.acknowledged = 0
		r.values = make(map[string]value)
		r.reported = nil
	}
	r.lastHeard = now
	r.refused = false
	r.failures = 0
	return true
}

// gone reports whether the process is known to have ended. evidence is the time that the newest list describes: a list
// that is older than the last message says nothing, because the process was alive after it.
func (r *record) gone(evidence time.Time) bool {
	if r.refused || r.state == stateEnded {
		return true
	}
	return r.listing.dropped() && evidence.After(r.lastHeard.Add(clockSkew))
}

// willing reports whether neither the instance nor the list says that it is leaving or has ended.
func (r *record) willing(evidence time.Time) bool {
	return !r.gone(evidence) && r.state == stateLive && !r.listing.leaving && !r.listing.dropped()
}

// silent reports whether the instance has not been heard for limit, counted from its last message or from since if
// that is later.
func (r *record) silent(now, since time.Time, limit time.Duration) bool {
	last := r.lastHeard
	if since.After(last) {
		last = since
	}
	return now.Sub(last) > limit
}

// show takes over what the list says.
func (r *record) show(row platform.Instance) {
	r.dc = row.DataCentre
	r.address = row.Address
	r.peerAddress = row.PeerAddress
	r.listing = listing{shown: true, ever: true, leaving: row.State == platform.StateLeaving}
}
