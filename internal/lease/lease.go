// Package lease decides which of several claimants holds a resource.
package lease

import (
	"fmt"
	"time"
)

// Lease is an exclusive claim that expires. Its epoch never decreases, and two different holders never have the same epoch. The
// zero value is a lease that nobody holds. Callers must synchronise access.
type Lease struct {
	Holder string    `json:"holder" msgpack:"holder"`
	Epoch  uint64    `json:"epoch" msgpack:"epoch"`
	Expiry time.Time `json:"expiry" msgpack:"expiry"`
}

// RefusedError reports why a claim or renewal was refused, and what the claimant needs to know for its next claim.
type RefusedError struct {
	Holder    string        `json:"holder"`
	Epoch     uint64        `json:"epoch"`
	Remaining time.Duration `json:"remaining"` // time until the current lease expires, 0 if it has expired
}

// Error names the holder, the epoch and the remaining time.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("lease is held by %q at epoch %d for another %v (claim again with a higher epoch after that)",
		e.Holder, e.Epoch, e.Remaining)
}

// Claim acquires the lease for ttl. It succeeds if epoch is higher than the current one and the lease is free, has
// expired, or is held by the same holder. The error is a *RefusedError.
func (l *Lease) Claim(holder string, epoch uint64, ttl time.Duration, now time.Time) error {
	if epoch <= l.Epoch || (l.Live(now) && l.Holder != holder) {
		return l.refused(now)
	}
	*l = Lease{Holder: holder, Epoch: epoch, Expiry: now.Add(ttl)}
	return nil
}

// Renew extends the lease of its holder. This also works for an expired lease that nobody else has claimed since.
// The error is a *RefusedError.
func (l *Lease) Renew(holder string, epoch uint64, ttl time.Duration, now time.Time) error {
	if l.Holder != holder || l.Epoch != epoch {
		return l.refused(now)
	}
	l.Expiry = now.Add(ttl)
	return nil
}

// Release frees the lease at once if holder and epoch match. The epoch is kept.
func (l *Lease) Release(holder string, epoch uint64) {
	if l.Holder == holder && l.Epoch == epoch {
		l.Holder = ""
		l.Expiry = time.Time{}
	}
}

// Live reports whether somebody holds the lease and it has not expired.
func (l *Lease) Live(now time.Time) bool { return l.Holder != "" && now.Before(l.Expiry) }

func (l *Lease) refused(now time.Time) error {
	return &RefusedError{Holder: l.Holder, Epoch: l.Epoch, Remaining: max(0, l.Expiry.Sub(now))}
}
