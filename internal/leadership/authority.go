package leadership

import "time"

const (
	// AuthorityLimit is how long a holder acts on its last confirmed heartbeat while the log is silent. Work of silent workers waits for
	// it after the loss of a holder, and then for the longest lease.
	AuthorityLimit = 6 * time.Second
	// formerAuthorityLimit is the limit in versions whose records lack EarlierAuthority.
	formerAuthorityLimit = 8 * time.Second
)

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

// authorityBefore returns how long after a claim that follows the state s holders of earlier terms may still act. That the last of
// them has stopped says nothing about those before it.
func (e *Elector) authorityBefore(s State) time.Duration {
	if s.Term == 0 {
		return 0
	}
	if s.EarlierAuthority == nil {
		return formerAuthorityLimit
	}
	authority := min(*s.EarlierAuthority, formerAuthorityLimit)
	if !e.vacant(s) {
		authority = max(authority, AuthorityLimit)
	}
	// The claim succeeds only if nothing was written since, so the last confirmed heartbeat was sent before heardAt.
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(authority-(e.clock()-e.heardAt), 0)
}

// earlierAuthority returns how much longer holders of earlier terms than the one held may act. The caller holds mu.
func (e *Elector) earlierAuthority() *time.Duration {
	left := max(e.earlierUntil-e.clock(), 0)
	return &left
}
