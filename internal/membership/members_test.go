package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Guards against a leaving or ended instance that stays an owner, and against data centres that see different members
// although they can reach each other.
func TestLeaveAndEnd(t *testing.T) {
	c := newCluster(t, 3, 3)
	assert.Equal(t, c.nodes["dc0-0"].Owner("dc0", "rack"), structs.InstanceID(""), "it knows nobody yet, so it owns nothing")
	c.pass(3 * time.Second)
	for _, dc := range []string{"dc0", "dc1", "dc2"} {
		c.agree(structs.DataCentre(dc), structs.InstanceID(dc+"-0"), structs.InstanceID(dc+"-1"), structs.InstanceID(dc+"-2"))
	}
	leaver := c.nodes["dc1-1"]
	leaver.Leave(t.Context())
	for _, id := range []structs.InstanceID{"dc1-0", "dc1-2"} {
		assert.DeepEqual(t, c.nodes[id].Entries("dc1"), []structs.InstanceID{"dc1-0", "dc1-2"})
		assert.Assert(t, !c.nodes[id].Gone("dc1-1"))
	}
	c.pass(4 * time.Second)
	c.agree("dc1", "dc1-0", "dc1-2")
	leaver.End(t.Context())
	assert.Assert(t, c.nodes["dc1-0"].Gone("dc1-1"))
}

// Guards against taking a frozen process for gone: it may wake up and still hold slots of its minions.
func TestSilenceIsNotGone(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.pass(3 * time.Second)
	c.nodes["dc0-1"].frozen = true
	c.pass(2 * time.Second)
	watcher := c.nodes["dc0-0"]
	assert.DeepEqual(t, watcher.Entries("dc0"), []structs.InstanceID{"dc0-0", "dc0-2"})
	c.pass(3 * time.Second)
	c.agree("dc0", "dc0-0", "dc0-2")
	c.pass(time.Minute)
	assert.Assert(t, !watcher.Gone("dc0-1"))
	_, known := watcher.AllEntries()["dc0-1"]
	assert.Assert(t, known)

	c.list.AsOf = c.now.Add(-2 * time.Minute) // a list from before it was last heard proves nothing
	c.unlist("dc0-1")
	watcher.list.asOf = time.Time{}
	c.pass(time.Second)
	assert.Assert(t, !watcher.Gone("dc0-1"))
	c.list.AsOf = time.Time{}
	c.pass(time.Second)
	assert.Assert(t, watcher.Gone("dc0-1"))

	c.nodes["dc0-2"].dead = true // its host refuses connections
	c.pass(500 * time.Millisecond)
	assert.Assert(t, watcher.Gone("dc0-2"))
	_, known = watcher.AllEntries()["dc0-2"]
	assert.Assert(t, known, "what it held cannot be settled")
	assert.DeepEqual(t, watcher.Entries("dc0"), []structs.InstanceID{"dc0-0"})
}

// Guards against an instance that the lagging list does not show yet being unknown or gone, and against a list that is
// down, old or empty changing the view.
func TestListDownStaleAndLagging(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.list.Instances = append(c.list.Instances, platform.Instance{ID: "m", Role: platform.RoleMinion, DataCentre: "dc0", Service: "s"})
	c.pass(2 * time.Second)
	c.add("dc0", "dc0-9", 1, false)
	c.pass(3 * time.Second)
	c.agree("dc0", "dc0-0", "dc0-1", "dc0-9")
	c.nodes["dc0-9"].frozen = true
	c.pass(10 * time.Second)
	assert.Assert(t, !c.nodes["dc0-0"].Gone("dc0-9"))
	c.nodes["dc0-9"].frozen = false

	full := c.list
	c.down = true
	c.pass(time.Minute)
	c.down = false
	c.list = platform.InstanceList{Revision: 99}
	c.pass(time.Second)
	c.list = platform.InstanceList{Revision: 1, AsOf: c.now.Add(-time.Hour), Instances: full.Instances[:1]}
	c.pass(time.Second)
	c.agree("dc0", "dc0-0", "dc0-1", "dc0-9")
	assert.Equal(t, len(c.nodes["dc0-0"].Minions("dc0", "s")), 1)
	assert.Assert(t, c.nodes["dc0-0"].Fresh())
}

// Guards against dispatching on an old view after a freeze, and against an instance that wakes up and believes that it
// is alone because it has heard nobody for long.
func TestFreezeDetection(t *testing.T) {
	for _, listDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("list down %v", listDown), func(t *testing.T) {
			c := newCluster(t, 1, 3)
			sleeper := c.nodes["dc0-0"]
			assert.Assert(t, !sleeper.Fresh(), "at start")
			c.pass(2 * time.Second)
			assert.Assert(t, sleeper.Fresh())
			sleeper.frozen = true
			c.down = listDown
			c.pass(10 * time.Second)
			assert.Assert(t, !sleeper.Fresh(), "before its loop has run again")
			c.cut = func(a, b structs.InstanceID) bool { return a == "dc0-0" || b == "dc0-0" }
			sleeper.tick(t.Context(), c.now)
			assert.Assert(t, !sleeper.Fresh(), "before anything refreshed the view")
			assert.Equal(t, len(sleeper.Entries("dc0")), 3)
			sleeper.frozen = false
			if listDown {
				c.pass(5 * time.Second)
				assert.Assert(t, !sleeper.Fresh(), "neither the list nor a peer can be reached")
				c.cut = func(a, b structs.InstanceID) bool { return a == "dc0-2" || b == "dc0-2" }
				c.pass(5 * time.Second)
				assert.Assert(t, !sleeper.Fresh(), "the peer that cannot be reached may have taken its minions")
			}
			c.cut = nil
			c.pass(2 * time.Second)
			assert.Assert(t, sleeper.Fresh())
			c.agree("dc0", "dc0-0", "dc0-1", "dc0-2")
		})
	}
}

// Guards against an instance that its peers have taken for gone, and whose minions they use, going on as before.
func TestEvictedInstance(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.pass(2 * time.Second)
	sleeper := c.nodes["dc0-0"]
	row := c.list.Instances[0]
	sleeper.frozen = true
	c.unlist("dc0-0")
	c.pass(5 * time.Second)
	assert.Assert(t, c.nodes["dc0-1"].Gone("dc0-0"))
	c.down = true
	sleeper.frozen = false
	c.lose = true
	sleeper.exchange(t.Context(), "dc0-1")
	sleeper.exchange(t.Context(), "dc0-2")
	c.lose = false
	c.pass(10 * time.Second)
	assert.Assert(t, !sleeper.Fresh(), "peers had taken it for gone and the list is down")
	c.down = false
	c.pass(time.Second)
	assert.Assert(t, !sleeper.Fresh(), "the list does not show it")
	c.agree("dc0", "dc0-1", "dc0-2")
	c.list.Instances = append(c.list.Instances, row)
	c.list.Revision++
	c.pass(2 * time.Second)
	assert.Assert(t, sleeper.Fresh())
	c.agree("dc0", "dc0-0", "dc0-1", "dc0-2")
}

// Guards against a partition between data centres emptying them, and against one that does not heal.
func TestDataCentreCutOff(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.pass(3 * time.Second)
	c.cut = func(a, b structs.InstanceID) bool { return (a[:3] == "dc2") != (b[:3] == "dc2") }
	c.pass(time.Minute)
	for _, dc := range []string{"dc0", "dc1", "dc2"} {
		c.agree(structs.DataCentre(dc), structs.InstanceID(dc+"-0"), structs.InstanceID(dc+"-1"), structs.InstanceID(dc+"-2"), structs.InstanceID(dc+"-3"))
	}
	c.down = true
	c.nodes["dc2-0"].frozen = true
	c.nodes["dc2-1"].frozen = true
	c.cut = nil
	c.pass(8 * time.Second)
	c.agree("dc2", "dc2-2", "dc2-3")
}

// Guards against a change of members that moves more keys than those of the instance that left.
func TestOwnershipMovesOnlyTheLeaversKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 2, 12, rapid.ID[string]).Draw(t, "members")
		var ids []structs.InstanceID
		for _, id := range members {
			ids = append(ids, structs.InstanceID(id))
		}
		const keys = 400
		lost := 0
		for i := range keys {
			key := fmt.Sprintf("rack-%d", i)
			before, after := Rendezvous(ids, key), Rendezvous(ids[1:], key)
			if before == ids[0] {
				lost++
			} else {
				assert.Equal(t, before, after, "key %s moved without need", key)
			}
		}
		share := float64(lost) / keys
		assert.Assert(t, share < 2.5/float64(len(ids))+0.05, "one of %d owned %v of all keys", len(ids), share)
	})
	assert.Equal(t, Rendezvous(nil, "k"), structs.InstanceID(""))
}
