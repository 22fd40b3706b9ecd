package leadership

import "time"

const (
	// AuthorityLimit is how long a holder acts on its last confirmed heartbeat while the log is silent.
	AuthorityLimit = 6 * time.Second
	// formerAuthorityLimit is the limit in versions whose records lack EarlierAuthority.
	formerAuthorityLimit = 8 * time.Second
	// leaseReach is the least time after the last confirmed heartbeat for which leases can be made to last. Work outlasts a silence of
	// the log of this length, less the time in which leases are renewed after it; and for this long after the loss of a holder, work of
	// workers that are silent waits. The platform lets a lasting task be without a run for 9 s; 0.7 s of them are the reserve of a lease
	// of 6 s for slow clocks, and 0.1 s the interval of the check for expired leases.
	leaseReach = 8200 * time.Millisecond
)

// LeaseAuthority returns how long after its last confirmed heartbeat a holder grants leases of full length. Later leases are shortened, so
// that they end no later than one that was granted then.
func LeaseAuthority(longestLease time.Duration) time.Duration {
	return min(max(leaseReach-longestLease, 0), AuthorityLimit)
}

// Authority reports whether the holder may still give orders: the term has not ended, and its last confirmed heartbeat was sent
// less than AuthorityLimit ago, including any time during which the machine was suspended.
func (t *Term) Authority() bool {
	if t.Context.Err() != nil {
		return false
	}
	t.elector.mu.Lock()
	defer t.elector.mu.Unlock()
	return t.elector.clock()-t.elector.confirmedAt < AuthorityLimit
}

// LeaseAuthority returns how much longer the holder may grant leases of full length. If it is negative, leases must be shorter by that much.
func (t *Term) LeaseAuthority() time.Duration {
	t.elector.mu.Lock()
	defer t.elector.mu.Unlock()
	return t.elector.leaseAuthority - (t.elector.clock() - t.elector.confirmedAt)
}

// authorityBefore returns how long after a claim that follows the state s holders of earlier terms may still grant leases of full length.
// It is negative if they cannot have done so for some time. That the last of them has stopped says nothing about those before it.
func (e *Elector) authorityBefore(s State) time.Duration {
	if s.Term == 0 {
		return 0
	}
	if s.EarlierAuthority == nil {
		return formerAuthorityLimit
	}
	// The claim succeeds only if nothing was written since, so the last confirmed heartbeat was sent before heardAt.
	e.mu.Lock()
	sinceHeard := e.clock() - e.heardAt
	e.mu.Unlock()
	last := time.Duration(0) // the last holder has stopped by now
	if !e.vacant(s) {
		last = s.leaseAuthority() - sinceHeard
	}
	return max(min(*s.EarlierAuthority, formerAuthorityLimit)-sinceHeard, last)
}

// leaseAuthority returns how long after its last confirmed heartbeat the holder may grant leases of full length.
func (s State) leaseAuthority() time.Duration {
	if s.LeaseAuthority == nil {
		return AuthorityLimit // earlier versions do not shorten leases
	}
	return min(max(*s.LeaseAuthority, 0), AuthorityLimit)
}

// earlierAuthority returns how much longer holders of earlier terms than the one held may grant leases of full length. The caller holds mu.
func (e *Elector) earlierAuthority() *time.Duration {
	left := max(e.earlierUntil-e.clock(), 0)
	return &left
}
