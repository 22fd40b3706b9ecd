// Package lease holds the rule that arbitrates two claimants of the same resource.
package lease

import (
	"fmt"
	"time"
)

// Lease is an exclusive, time-limited claim. Invariant: Epoch never falls, and two different holders never have
// the same epoch. The zero value is a lease that nobody holds. Callers synchronise access.
type Lease struct {
	Holder string    `json:"holder" msgpack:"holder"`
	Epoch  uint64    `json:"epoch" msgpack:"epoch"`
	Expiry time.Time `json:"expiry" msgpack:"expiry"`
}

// RefusedError reports why a claim or renewal was refused, with what the claimant needs for its next one.
type RefusedError struct {
	Holder    string        `json:"holder"`
	Epoch     uint64        `json:"epoch"`
	Remaining time.Duration `json:"remaining"` // time until the present lease lapses, 0 when it has
}

// Error returns the holder, the epoch and the remaining time.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("lease is held by %q at epoch %d for another %v (claim again with a higher epoch after that)",
		e.Holder, e.Epoch, e.Remaining)
}

// Claim takes the lease for ttl. It succeeds when epoch is higher than the present one and the lease is free, has
// lapsed, or is held by the same holder. The error is a *RefusedError.
func (l *Lease) Claim(holder string, epoch uint64, ttl time.Duration, now time.Time) error {
	if epoch <= l.Epoch || (l.Live(now) && l.Holder != holder) {
		return l.refused(now)
	}
	*l = Lease{Holder: holder, Epoch: epoch, Expiry: now.Add(ttl)}
	return nil
}

// Renew extends the lease of the present holder, also after it lapsed when nobody else claimed it since.
// The error is a *RefusedError.
func (l *Lease) Renew(holder string, epoch uint64, ttl time.Duration, now time.Time) error {
	if l.Holder != holder || l.Epoch != epoch {
		return l.refused(now)
	}
	l.Expiry = now.Add(ttl)
	return nil
}

// Release frees the lease at once when holder and epoch match; the epoch stays.
func (l *Lease) Release(holder string, epoch uint64) {
	if l.Holder == holder && l.Epoch == epoch {
		l.Holder = ""
		l.Expiry = time.Time{}
	}
}

// Live reports whether somebody holds the lease now.
func (l *Lease) Live(now time.Time) bool { return l.Holder != "" && now.Before(l.Expiry) }

func (l *Lease) refused(now time.Time) error {
	return &RefusedError{Holder: l.Holder, Epoch: l.Epoch, Remaining: max(0, l.Expiry.Sub(now))}
}
