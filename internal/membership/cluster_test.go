package membership

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cluster runs instances in virtual time over an in-memory network that can inject faults.
type cluster struct {
	t           testing.TB
	now         time.Time
	list        platform.InstanceList
	listDown    bool
	nodes       map[structs.InstanceID]*node
	partitioned func(a, b structs.InstanceID) bool
	loseAnswers bool // requests are handled, but their answers are lost
	calls       atomic.Int64
	bytes       atomic.Int64
}

type node struct {
	*Members
	cluster    *cluster
	handler    peer.Handler
	frozen     bool
	dead       bool
	cachedList platform.InstanceList // last list that was read; returned again while the revision is the same
}

func newCluster(t testing.TB, dcs, each int) *cluster {
	c := &cluster{t: t, now: time.Unix(1_000_000, 0), nodes: make(map[structs.InstanceID]*node)}
	c.list.Revision = 1
	for d := range dcs {
		for i := range each {
			c.add(structs.DataCentre(fmt.Sprintf("dc%d", d)), structs.InstanceID(fmt.Sprintf("dc%d-%d", d, i)), 1, true)
		}
	}
	return c
}

func (c *cluster) add(dc structs.DataCentre, id structs.InstanceID, incarnation uint64, listed bool) *node {
	n := &node{cluster: c}
	members, err := New(Config{
		Self: id, DataCentre: dc, PeerAddress: string(id) + ":1", Incarnation: incarnation,
		List: n, Caller: n, Now: func() time.Time { return c.now },
	})
	assert.NilError(c.t, err)
	n.Members = members
	n.spawn = func(task func()) { task() }
	n.Register(n)
	c.nodes[id] = n
	if listed {
		c.list.Instances = append(c.list.Instances, platform.Instance{
			ID: string(id), Role: platform.RoleEntry, DataCentre: dc, PeerAddress: string(id) + ":1", State: platform.StateLive,
		})
		c.list.Revision++
	}
	return n
}

// delist removes an instance from the list.
func (c *cluster) delist(id structs.InstanceID) {
	var kept []platform.Instance
	for _, row := range c.list.Instances {
		if row.ID != string(id) {
			kept = append(kept, row)
		}
	}
	c.list.Instances = kept
	c.list.Revision++
}

// advance runs the cluster for d of virtual time in rounds of 250 ms; the list is read in every second round.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(250 * time.Millisecond)
		for _, n := range c.nodes {
			if n.dead || n.frozen {
				continue
			}
			if c.now.UnixMilli()%500 == 0 {
				n.readList(context.Background())
			}
			n.tick(context.Background(), c.now)
		}
	}
}

// Handle implements peer.Registrar.
func (n *node) Handle(_ string, handler peer.Handler) { n.handler = handler }

// Get implements ListReader.
func (n *node) Get(context.Context) (platform.InstanceList, error) {
	if n.cluster.listDown {
		return platform.InstanceList{}, errors.New("list is down")
	}
	list := n.cluster.list
	if list.AsOf.IsZero() {
		list.AsOf = n.cluster.now
	}
	if n.cachedList.Revision != list.Revision || list.AsOf.Before(n.cachedList.AsOf) {
		n.cachedList = list
	}
	return n.cachedList, nil
}

// Forget implements cachingListReader.
func (n *node) Forget() { n.cachedList = platform.InstanceList{} }

// Call implements peer.Caller.
func (n *node) Call(ctx context.Context, to structs.InstanceID, _ string, request, response any) error {
	c := n.cluster
	target := c.nodes[to]
	self, _ := n.Self()
	switch {
	case target == nil || target.dead:
		return errors.Join(peer.ErrNotSent, peer.ErrPeerGone)
	case target.frozen || c.partitioned != nil && c.partitioned(self, to):
		return context.DeadlineExceeded
	}
	data, err := msgpack.Marshal(request)
	assert.NilError(c.t, err)
	answer, err := target.handler(ctx, self, func(into any) error { return msgpack.Unmarshal(data, into) })
	if err != nil {
		return err
	}
	if c.loseAnswers {
		return context.DeadlineExceeded
	}
	encoded, err := msgpack.Marshal(answer)
	assert.NilError(c.t, err)
	c.calls.Add(1)
	c.bytes.Add(int64(len(data) + len(encoded)))
	return msgpack.Unmarshal(encoded, response)
}

// assertEntries checks that every running instance sees exactly the wanted entries in a data centre.
func (c *cluster) assertEntries(dc structs.DataCentre, want ...structs.InstanceID) {
	c.t.Helper()
	for _, n := range c.nodes {
		if !n.dead && !n.frozen {
			assert.DeepEqual(c.t, n.Entries(dc), want)
		}
	}
}
