package membership

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// state is the life cycle state that an instance reports about itself.
type state uint8

const (
	stateLive state = iota
	stateLeaving
	stateEnded
)

// listing is the instance list's entry for one entry instance.
type listing struct {
	listed     bool
	everListed bool // some list has contained it
	leaving    bool
}

// delisted reports whether the instance was in the list and no longer is. A new instance that the lagging list does not
// contain yet is not delisted.
func (l listing) delisted() bool { return l.everListed && !l.listed }

// record holds what this process knows about another entry instance.
type record struct {
	id          structs.InstanceID
	dc          structs.DataCentre
	address     string
	peerAddress string
	incarnation uint64
	state       state
	listing     listing

	firstSeen time.Time
	lastHeard time.Time // when its last direct message arrived; zero: never
	refused   bool      // its host refused a connection after its last message
	goneSince time.Time // when it was found to be gone; zero: it is not gone

	receivedVersion uint64 // version up to which all its values have arrived
	values          map[string]value
	reportedMembers []structs.InstanceID // decoded value of its topicMembers; nil: none

	acknowledgedVersion uint64 // version up to which it has all of this instance's values
	lastSent            time.Time
	inFlight            bool
	failures            int       // consecutive heartbeats without an answer
	confirmedAt         time.Time // when the last heartbeat that it answered was sent
	evictions           uint32    // how often its present process was regarded as gone and heard from again
	evictionsOfSelf     uint32    // how often it regarded this process as gone, by its own report
}

// value is the latest value of one topic.
type value struct {
	data    []byte
	changed time.Time
}

// acceptMessage records that a direct message of the given incarnation arrived. It returns false, and changes nothing,
// for a delayed message of an earlier process.
func (r *record) acceptMessage(incarnation uint64, now time.Time, wasGone bool) bool {
	if incarnation < r.incarnation {
		return false
	}
	if incarnation == r.incarnation && wasGone {
		r.evictions++
	}
	if incarnation > r.incarnation {
		r.evictions = 0
		r.evictionsOfSelf = 0
		r.incarnation = incarnation
		r.state = stateLive
		r.receivedVersion = 0
		r.acknowledgedVersion = 0
		r.values = make(map[string]value)
		r.reportedMembers = nil
	}
	r.lastHeard = now
	r.refused = false
	r.failures = 0
	return true
}

// gone reports whether the process is known to have ended. listTime is the time that the latest list describes: a list
// from before the last message proves nothing, because the process was alive after it.
func (r *record) gone(listTime time.Time) bool {
	if r.refused || r.state == stateEnded {
		return true
	}
	return r.listing.delisted() && listTime.After(r.lastHeard.Add(clockSkew))
}

// eligible reports whether the instance may own keys: neither itself nor the list says that it is leaving or has ended.
func (r *record) eligible(listTime time.Time) bool {
	return !r.gone(listTime) && r.state == stateLive && !r.listing.leaving && !r.listing.delisted()
}

// silent reports whether nothing has been heard from the instance for longer than limit, counted from its last message
// or from since, whichever is later.
func (r *record) silent(now, since time.Time, limit time.Duration) bool {
	last := r.lastHeard
	if since.After(last) {
		last = since
	}
	return now.Sub(last) > limit
}

// applyListing updates the record from the instance's row in the list.
func (r *record) applyListing(row platform.Instance) {
	r.dc = row.DataCentre
	r.address = row.Address
	r.peerAddress = row.PeerAddress
	r.listing = listing{listed: true, everListed: true, leaving: row.State == platform.StateLeaving}
}
