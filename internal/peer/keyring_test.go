package peer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
)

// Guards against a key that is used before every instance accepts it, that is refused while it is listed, or that is
// the same for two purposes.
func TestNextKeyIsAcceptedBeforeItIsUsed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	next := peer.SharedKey{ID: "next", Secret: secretB.Secret, UseFrom: now.Add(time.Hour)}
	ring, err := peer.NewKeyRing([]peer.SharedKey{next, secretA}, func() time.Time { return now })
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
	assert.Equal(t, id, "next", "the only key is used, whatever its time")
	_, listed := ring.Lookup(peer.PurposeConnection, "a")
	assert.Assert(t, !listed)
	for _, bad := range [][]peer.SharedKey{
		nil, {{ID: "", Secret: secretA.Secret}}, {{ID: "short", Secret: []byte("x")}}, {secretA, secretA}, make([]peer.SharedKey, 17),
	} {
		assert.Assert(t, errkind.Is(ring.Replace(bad), errkind.Invalid))
		_, listed = ring.Lookup(peer.PurposeConnection, "next")
		assert.Assert(t, listed, "a refused change leaves the ring as it was")
	}
}
