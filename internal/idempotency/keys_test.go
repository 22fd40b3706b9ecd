package idempotency

import (
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	customer = structs.Customer("harbour-clubs")
	service  = structs.ServiceName("raft-booking")
)

type directory map[structs.InstanceID]bool

func (d directory) Gone(id structs.InstanceID) bool { return d[id] }

func testRing(t testing.TB, keys ...peer.SharedKey) *peer.KeyRing {
	t.Helper()
	if len(keys) == 0 {
		keys = []peer.SharedKey{{ID: "a", Secret: []byte("0123456789abcdef")}}
	}
	r, err := peer.NewKeyRing(keys, nil)
	assert.NilError(t, err)
	return r
}

func newKeys(t testing.TB, change func(*Config)) *Keys {
	t.Helper()
	config := Config{Self: Issuer{"self", 1}, Ring: testRing(t), Directory: directory{}}
	if change != nil {
		change(&config)
	}
	k, err := New(config)
	assert.NilError(t, err)
	return k
}

func issue(t testing.TB, k *Keys) string {
	t.Helper()
	keys, _, err := k.Issue(customer, service, 1)
	assert.NilError(t, err)
	return keys[0]
}

func begin(t testing.TB, k *Keys, key string) Decision {
	t.Helper()
	d, err := k.Begin(key, customer, service)
	assert.NilError(t, err)
	return d
}

// Guards against a repeated request that runs again or gets a different outcome than the first one.
func TestRepeatedRequest(t *testing.T) {
	k := newKeys(t, nil)
	key := issue(t, k)
	first := begin(t, k, key)
	assert.Equal(t, first.Action, ActionRun)
	assert.Equal(t, begin(t, k, key).Action, ActionInProgress)
	first.Run.NotRun()
	first.Run.Answered(&Response{Status: 500}) // has no effect: the run has ended
	second := begin(t, k, key)
	assert.Equal(t, second.Action, ActionRun)
	second.Run.Answered(&Response{Status: 201, Body: []byte("booked")})
	second.Run.Unknown()
	repeat := begin(t, k, key)
	assert.Equal(t, repeat.Action, ActionRecorded)
	assert.Equal(t, string(repeat.Response.Body), "booked")
}

// Guards against accepting a key that is forged, altered, issued for another customer or service, or sealed with a retired
// key, and against rejecting a key whose sealing key is still in the key ring.
func TestForeignAndRotatedKeys(t *testing.T) {
	a := peer.SharedKey{ID: "a", Secret: []byte("0123456789abcdef")}
	b := peer.SharedKey{ID: "b", Secret: []byte("fedcba9876543210"), UseFrom: time.Unix(1, 0)}
	keys := testRing(t, a)
	k := newKeys(t, func(c *Config) { c.Ring = keys })
	old := issue(t, k)
	_, err := k.Begin(old, "somebody-else", service)
	assert.Assert(t, errkind.Is(err, errkind.Forbidden))
	_, err = k.Begin(old, customer, "another-service")
	assert.Assert(t, errkind.Is(err, errkind.Invalid))
	for i := range len(old) {
		changed := []byte(old)
		changed[i] ^= 1
		_, err = k.Begin(string(changed), customer, service)
		assert.Assert(t, errkind.Is(err, errkind.Invalid), "byte %d", i)
		_, err = k.Begin(old[:i], customer, service)
		assert.Assert(t, errkind.Is(err, errkind.Invalid), "length %d", i)
	}
	assert.NilError(t, keys.Replace([]peer.SharedKey{a, b}))
	fresh := issue(t, k)
	assert.Equal(t, begin(t, k, old).Action, ActionRun)
	assert.NilError(t, keys.Replace([]peer.SharedKey{b}))
	assert.Equal(t, begin(t, k, fresh).Action, ActionRun)
	_, err = k.Begin(old, customer, service)
	assert.Assert(t, errkind.Is(err, errkind.Invalid))
}

// Guards against memory that clients or peers can fill without limit, and against freeing memory by dropping the record of
// a key, which could then run twice.
func TestBounds(t *testing.T) {
	k := newKeys(t, func(c *Config) { c.MaxUsed, c.MaxBytes, c.MaxResponse = 3, 300, 150 })
	used := []string{issue(t, k), issue(t, k), issue(t, k)}
	for i, size := range []int{70, 70, 200} {
		begin(t, k, used[i]).Run.Answered(&Response{Body: make([]byte, size)})
	}
	fourth := issue(t, k)
	_, err := k.Begin(fourth, customer, service)
	assert.Assert(t, errkind.Is(err, errkind.Overloaded))
	assert.Equal(t, begin(t, k, used[0]).Action, ActionRecorded)
	assert.Equal(t, begin(t, k, used[2]).Action, ActionUnknown, "its response is larger than MaxResponse")
	_, err = k.receive(t.Context(), "other", func(into any) error {
		into.(*handoverPart).Records = make([]recordState, 1)
		return nil
	})
	assert.Assert(t, errkind.Is(err, errkind.Overloaded))
	for _, count := range []int{0, -1, MaxBatch + 1} {
		_, _, err = k.Issue(customer, service, count)
		assert.Assert(t, errkind.Is(err, errkind.Invalid))
	}
	k.config.MaxBytes = 100
	k.config.MaxUsed = 4
	begin(t, k, fourth).Run.Answered(&Response{Body: make([]byte, 30)})
	assert.Equal(t, begin(t, k, used[1]).Action, ActionUnknown, "the oldest responses are dropped first")
	assert.Equal(t, begin(t, k, fourth).Action, ActionRecorded)
}
