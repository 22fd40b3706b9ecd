package membership

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// countingListener counts the bytes of both directions of its connections.
type countingListener struct {
	net.Listener
	transferred *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.transferred}, err
}

type countingConn struct {
	net.Conn
	transferred *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.transferred.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.transferred.Add(int64(n))
	return n, err
}

type fixedList struct{ platform.InstanceList }

func (l fixedList) Get(context.Context) (platform.InstanceList, error) { return l.InstanceList, nil }

// overTCP starts two instances of one data centre with peer nodes on loopback. transferred counts the bytes that the
// nodes receive and send on accepted connections.
func overTCP(tb testing.TB) (a, b *Members, transferred *atomic.Int64) {
	transferred = &atomic.Int64{}
	ids := []structs.InstanceID{"fremantle-entry-1", "fremantle-entry-2"}
	members := make([]*Members, 2)
	listeners := make([]net.Listener, 2)
	var list fixedList
	for i, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		listeners[i] = listener
		list.Instances = append(list.Instances, platform.Instance{
			ID: string(id), Role: platform.RoleEntry, DataCentre: "fremantle", PeerAddress: listener.Addr().String(), State: platform.StateLive,
		})
	}
	for i, id := range ids {
		keys, err := peer.NewKeyRing([]peer.SharedKey{{ID: "2026-12", Secret: []byte("0123456789abcdef")}}, nil)
		assert.NilError(tb, err)
		node, err := peer.New(peer.Config{Self: id, Keys: keys, Resolve: func(to structs.InstanceID) (string, bool) { return members[i].PeerAddress(to) }})
		assert.NilError(tb, err)
		members[i], err = New(Config{Self: id, DataCentre: "fremantle", PeerAddress: listeners[i].Addr().String(), Incarnation: NewIncarnation(), List: list, Caller: node})
		assert.NilError(tb, err)
		members[i].Register(node)
		members[i].readList(tb.Context())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- node.Serve(ctx, countingListener{listeners[i], transferred}) }()
		tb.Cleanup(func() {
			cancel()
			assert.Check(tb, <-ended)
		})
	}
	return members[0], members[1], transferred
}

// BenchmarkHeartbeat measures one heartbeat and its answer over TLS on loopback: the time of both sides together and
// the bytes of both directions.
func BenchmarkHeartbeat(b *testing.B) {
	for _, changed := range []bool{false, true} {
		b.Run(fmt.Sprintf("value changed=%v", changed), func(b *testing.B) {
			sender, receiver, transferred := overTCP(b)
			slots := 0
			sender.Attach("router.free_slots", SameDataCentre, func() any { return map[string]int{"raft-booking": slots % 8} })
			sender.collectValues()
			receiver.collectValues()
			for range 3 {
				sender.sendHeartbeat(b.Context(), "fremantle-entry-2")
			}
			assert.DeepEqual(b, sender.Entries("fremantle"), []structs.InstanceID{"fremantle-entry-1", "fremantle-entry-2"})
			transferred.Store(0)
			b.ReportAllocs()
			for b.Loop() {
				if changed {
					slots++
				}
				sender.collectValues()
				sender.sendHeartbeat(b.Context(), "fremantle-entry-2")
			}
			b.ReportMetric(float64(transferred.Load())/float64(b.N), "wire-bytes/op")
		})
	}
}

// BenchmarkOwner measures the computation of one key's owner.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{3, 9, 100} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var ids []structs.InstanceID
			for i := range n {
				ids = append(ids, structs.InstanceID(fmt.Sprintf("fremantle-entry-%d", i)))
			}
			b.ReportAllocs()
			for b.Loop() {
				Rendezvous(ids, "rack-1234")
			}
		})
	}
}

// BenchmarkFresh measures the freshness check that precedes every dispatch.
func BenchmarkFresh(b *testing.B) {
	sender, _, _ := overTCP(b)
	sender.spawn = func(task func()) { task() }
	sender.tick(b.Context(), sender.config.Now())
	assert.Assert(b, sender.Fresh())
	for b.Loop() {
		sender.Fresh()
	}
}

// BenchmarkList measures applying a changed list of the size expected in two years.
func BenchmarkList(b *testing.B) {
	sender, _, _ := overTCP(b)
	list, err := sender.config.List.Get(b.Context())
	assert.NilError(b, err)
	for i := range 38000 {
		list.Instances = append(list.Instances, platform.Instance{
			ID: fmt.Sprintf("worker-%d", i), Role: platform.RoleWorker, DataCentre: structs.DataCentre(fmt.Sprintf("dc-%d", i%9)),
			Rack: structs.RackID(fmt.Sprintf("rack-%d", i/8)), Address: "10.0.0.1:7000", State: platform.StateLive,
		})
	}
	for b.Loop() {
		list.Revision++
		sender.applyList(list, sender.config.Now())
		sender.rebuild(sender.config.Now())
	}
}
