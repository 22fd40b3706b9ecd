package idempotency

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// startOverTCP starts two instances that are connected by peer nodes over TLS on loopback.
func startOverTCP(tb testing.TB) (from, to *Keys) {
	addresses := make(map[structs.InstanceID]string)
	var keys []*Keys
	ids := []structs.InstanceID{"from", "to"}
	var listeners []net.Listener
	for _, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		addresses[id] = listener.Addr().String()
		listeners = append(listeners, listener)
	}
	for i, id := range ids {
		node, err := peer.New(peer.Config{Self: id, Keys: testRing(tb), Resolve: func(id structs.InstanceID) (string, bool) { return addresses[id], true }})
		assert.NilError(tb, err)
		keys = append(keys, newKeys(tb, func(c *Config) {
			c.Self = Issuer{id, 1}
			c.Caller = node
		}))
		keys[i].Register(node)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- node.Serve(ctx, listeners[i]) }()
		tb.Cleanup(func() {
			cancel()
			assert.Check(tb, <-ended)
		})
	}
	return keys[0], keys[1]
}

// Guards against a handover part that exceeds the message size limit of the peer protocol.
func TestHandoverOverTCP(t *testing.T) {
	from, to := startOverTCP(t)
	var used []string
	for i := range 8 {
		used = append(used, issue(t, from))
		begin(t, from, used[i]).Run.Answered(&Response{Status: 200, Body: make([]byte, 900<<10)})
	}
	unused := issue(t, from)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	successor, err := from.Handover(ctx, []structs.InstanceID{"to"})
	assert.NilError(t, err)
	assert.Equal(t, successor, structs.InstanceID("to"))
	for _, key := range used {
		assert.Equal(t, begin(t, to, key).Action, ActionRecorded)
	}
	assert.Equal(t, begin(t, from, unused).To, structs.InstanceID("to"))
	assert.Equal(t, begin(t, to, unused).Action, ActionRun)
}

// BenchmarkHandover measures a complete handover over TLS on loopback.
func BenchmarkHandover(b *testing.B) {
	for _, used := range []int{1000, 100_000} {
		b.Run(fmt.Sprintf("used=%d", used), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				from, _ := startOverTCP(b)
				for range used / 100 {
					keys, _, err := from.Issue(customer, service, 100)
					assert.NilError(b, err)
					for _, key := range keys {
						begin(b, from, key).Run.Unknown()
					}
				}
				b.StartTimer()
				_, err := from.Handover(b.Context(), []structs.InstanceID{"to"})
				assert.NilError(b, err)
			}
		})
	}
}
