package peer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
)

// Guards against a key that is used before every instance accepts it or is refused while it is listed, and against
// equal derived keys for two purposes.
func TestNextKeyIsAcceptedBeforeItIsUsed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	next := peer.SharedKey{ID: "next", Secret: keyB.Secret, UseFrom: now.Add(time.Hour)}
	ring, err := peer.NewKeyRing([]peer.SharedKey{next, keyA}, func() time.Time { return now })
	assert.NilError(t, err)
	for _, step := range []struct {
		at   time.Duration
		uses string
	}{{0, "a"}, {59 * time.Minute, "a"}, {time.Minute, "next"}, {-2 * time.Minute, "a"}} {
		now = now.Add(step.at)
		id, key := ring.Current(peer.PurposeConnection)
		assert.Equal(t, id, step.uses)
		accepted, listed := ring.Lookup(peer.PurposeConnection, id)
		assert.Assert(t, listed)
		assert.DeepEqual(t, key, accepted)
		other, _ := ring.Lookup(peer.PurposeRequestKeys, id)
		assert.Assert(t, string(other) != string(key))
		assert.Equal(t, len(key), peer.DerivedKeyBytes)
		_, listed = ring.Lookup(peer.PurposeConnection, "next")
		assert.Assert(t, listed)
	}
	ofA, _ := ring.Lookup(peer.PurposeRecord, "a")
	ofNext, _ := ring.Lookup(peer.PurposeRecord, "next")
	assert.Assert(t, string(ofA) != string(ofNext), "two secrets give the same key")
	assert.NilError(t, ring.Replace([]peer.SharedKey{next}))
	id, _ := ring.Current(peer.PurposeConnection)
	assert.Equal(t, id, "next", "the only key must be used, whatever its UseFrom")
	_, listed := ring.Lookup(peer.PurposeConnection, "a")
	assert.Assert(t, !listed)
	for _, bad := range [][]peer.SharedKey{
		nil, {{ID: "", Secret: keyA.Secret}}, {{ID: "short", Secret: []byte("x")}}, {keyA, keyA}, make([]peer.SharedKey, 17),
	} {
		assert.Assert(t, errkind.Is(ring.Replace(bad), errkind.Invalid))
		_, listed = ring.Lookup(peer.PurposeConnection, "next")
		assert.Assert(t, listed, "a refused change must leave the ring as it was")
	}
}
