package lease_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/lease"
)

// Guards against two claimants that both believe they hold the resource, and against an epoch that decreases.
func TestAtMostOneLiveHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l lease.Lease
		now := time.Unix(0, 0)
		holders := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			before := l
			holder := rapid.SampledFrom(holders).Draw(t, "holder")
			epoch := rapid.Uint64Range(0, 20).Draw(t, "epoch")
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Second)
			var err error
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				err = l.Claim(holder, epoch, 2*time.Second, now)
			case 1:
				err = l.Renew(holder, epoch, 2*time.Second, now)
			case 2:
				l.Release(holder, epoch)
			}
			assert.Assert(t, l.Epoch >= before.Epoch)
			if err != nil {
				assert.DeepEqual(t, l, before)
			}
			if before.Live(now) && l.Live(now) {
				assert.Equal(t, l.Holder, before.Holder, "a live lease changed its holder")
			}
			if l.Holder != before.Holder && l.Holder != "" {
				assert.Assert(t, l.Epoch > before.Epoch)
			}
		}
	})
}

// Guards against a holder that renews its expired lease after somebody else has claimed it.
func TestExpiredHolderCannotRenewAfterClaim(t *testing.T) {
	var l lease.Lease
	start := time.Unix(100, 0)
	assert.NilError(t, l.Claim("a", 1, time.Second, start))
	assert.NilError(t, l.Claim("b", 2, time.Second, start.Add(2*time.Second)))
	var refused *lease.RefusedError
	assert.Assert(t, errors.As(l.Renew("a", 1, time.Second, start.Add(2*time.Second)), &refused))
	assert.Equal(t, refused.Epoch, uint64(2))
}
