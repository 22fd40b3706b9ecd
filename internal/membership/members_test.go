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

// Guards against a leaving or ended instance that still owns keys, and against data centres that see different members
// although they can reach each other.
func TestLeaveAndEnd(t *testing.T) {
	c := newCluster(t, 3, 3)
	assert.Equal(t, c.nodes["dc0-0"].Owner("dc0", "rack"), structs.InstanceID(""), "an instance that knows no other yet must not own keys")
	c.advance(3 * time.Second)
	for _, dc := range []string{"dc0", "dc1", "dc2"} {
		c.assertEntries(structs.DataCentre(dc), structs.InstanceID(dc+"-0"), structs.InstanceID(dc+"-1"), structs.InstanceID(dc+"-2"))
	}
	leaving := c.nodes["dc1-1"]
	leaving.Leave(t.Context())
	for _, id := range []structs.InstanceID{"dc1-0", "dc1-2"} {
		assert.DeepEqual(t, c.nodes[id].Entries("dc1"), []structs.InstanceID{"dc1-0", "dc1-2"})
		assert.Assert(t, !c.nodes[id].Gone("dc1-1"))
	}
	c.advance(4 * time.Second)
	c.assertEntries("dc1", "dc1-0", "dc1-2")
	leaving.End(t.Context())
	assert.Assert(t, c.nodes["dc1-0"].Gone("dc1-1"))
}

// Guards against regarding a frozen process as gone: it may resume and still hold slots of its minions.
func TestSilentInstanceIsNotGone(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.advance(3 * time.Second)
	c.nodes["dc0-1"].frozen = true
	c.advance(2 * time.Second)
	watcher := c.nodes["dc0-0"]
	assert.DeepEqual(t, watcher.Entries("dc0"), []structs.InstanceID{"dc0-0", "dc0-2"})
	c.advance(3 * time.Second)
	c.assertEntries("dc0", "dc0-0", "dc0-2")
	c.advance(time.Minute)
	assert.Assert(t, !watcher.Gone("dc0-1"))
	_, known := watcher.AllEntries()["dc0-1"]
	assert.Assert(t, known)

	c.list.AsOf = c.now.Add(-2 * time.Minute) // a list from before its last message proves nothing
	c.delist("dc0-1")
	watcher.list.asOf = time.Time{} // otherwise the list would be ignored as older than the last one
	c.advance(time.Second)
	assert.Assert(t, !watcher.Gone("dc0-1"))
	c.list.AsOf = time.Time{}
	c.advance(time.Second)
	assert.Assert(t, watcher.Gone("dc0-1"))

	c.nodes["dc0-2"].dead = true // its host refuses connections
	c.advance(500 * time.Millisecond)
	assert.Assert(t, watcher.Gone("dc0-2"))
	_, known = watcher.AllEntries()["dc0-2"]
	assert.Assert(t, known, "an instance that is gone must stay known until its work is cleaned up")
	assert.DeepEqual(t, watcher.Entries("dc0"), []structs.InstanceID{"dc0-0"})
}

// Guards against an instance that the lagging list does not contain yet being unknown or gone, and against a list that
// cannot be read, is outdated or is empty changing the view.
func TestListDownStaleAndLagging(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.list.Instances = append(c.list.Instances, platform.Instance{ID: "m", Role: platform.RoleMinion, DataCentre: "dc0", Service: "s"})
	c.advance(2 * time.Second)
	c.add("dc0", "dc0-9", 1, false)
	c.advance(3 * time.Second)
	c.assertEntries("dc0", "dc0-0", "dc0-1", "dc0-9")
	c.nodes["dc0-9"].frozen = true
	c.advance(10 * time.Second)
	assert.Assert(t, !c.nodes["dc0-0"].Gone("dc0-9"))
	c.nodes["dc0-9"].frozen = false

	full := c.list
	c.listDown = true
	c.advance(time.Minute)
	c.listDown = false
	c.list = platform.InstanceList{Revision: 99}
	c.advance(time.Second)
	c.list = platform.InstanceList{Revision: 1, AsOf: c.now.Add(-time.Hour), Instances: full.Instances[:1]}
	c.advance(time.Second)
	c.assertEntries("dc0", "dc0-0", "dc0-1", "dc0-9")
	assert.Equal(t, len(c.nodes["dc0-0"].Minions("dc0", "s")), 1)
	assert.Assert(t, c.nodes["dc0-0"].Fresh())
}

// Guards against dispatching on an outdated view after a freeze, and against an instance that resumes and suspects all
// others because it has heard from none of them during the freeze.
func TestFreezeDetection(t *testing.T) {
	for _, listDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("list down %v", listDown), func(t *testing.T) {
			c := newCluster(t, 1, 3)
			subject := c.nodes["dc0-0"]
			assert.Assert(t, !subject.Fresh(), "at start")
			c.advance(2 * time.Second)
			assert.Assert(t, subject.Fresh())
			subject.frozen = true
			c.listDown = listDown
			c.advance(10 * time.Second)
			assert.Assert(t, !subject.Fresh(), "before its loop has run again")
			c.partitioned = func(a, b structs.InstanceID) bool { return a == "dc0-0" || b == "dc0-0" }
			subject.tick(t.Context(), c.now)
			assert.Assert(t, !subject.Fresh(), "before the view is refreshed")
			assert.Equal(t, len(subject.Entries("dc0")), 3)
			subject.frozen = false
			if listDown {
				c.advance(5 * time.Second)
				assert.Assert(t, !subject.Fresh(), "neither the list nor a peer can be reached")
				c.partitioned = func(a, b structs.InstanceID) bool { return a == "dc0-2" || b == "dc0-2" }
				c.advance(5 * time.Second)
				assert.Assert(t, !subject.Fresh(), "the peer that cannot be reached may have taken over its minions")
			}
			c.partitioned = nil
			c.advance(2 * time.Second)
			assert.Assert(t, subject.Fresh())
			c.assertEntries("dc0", "dc0-0", "dc0-1", "dc0-2")
		})
	}
}

// Guards against an instance that still dispatches although its peers regarded it as gone and may use its minions.
func TestEvictedInstance(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.advance(2 * time.Second)
	subject := c.nodes["dc0-0"]
	row := c.list.Instances[0]
	subject.frozen = true
	c.delist("dc0-0")
	c.advance(5 * time.Second)
	assert.Assert(t, c.nodes["dc0-1"].Gone("dc0-0"))
	c.listDown = true
	subject.frozen = false
	c.loseAnswers = true
	subject.sendHeartbeat(t.Context(), "dc0-1")
	subject.sendHeartbeat(t.Context(), "dc0-2")
	c.loseAnswers = false
	c.advance(10 * time.Second)
	assert.Assert(t, !subject.Fresh(), "peers regarded it as gone and the list cannot be read")
	c.listDown = false
	c.advance(time.Second)
	assert.Assert(t, !subject.Fresh(), "the list does not contain it")
	c.assertEntries("dc0", "dc0-1", "dc0-2")
	c.list.Instances = append(c.list.Instances, row)
	c.list.Revision++
	c.advance(2 * time.Second)
	assert.Assert(t, subject.Fresh())
	c.assertEntries("dc0", "dc0-0", "dc0-1", "dc0-2")
}

// Guards against a partition between data centres removing the members of the unreachable side, and against data
// centres that do not find each other again after it.
func TestDataCentrePartition(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.advance(3 * time.Second)
	c.partitioned = func(a, b structs.InstanceID) bool { return (a[:3] == "dc2") != (b[:3] == "dc2") }
	c.advance(time.Minute)
	for _, dc := range []string{"dc0", "dc1", "dc2"} {
		c.assertEntries(structs.DataCentre(dc), structs.InstanceID(dc+"-0"), structs.InstanceID(dc+"-1"), structs.InstanceID(dc+"-2"), structs.InstanceID(dc+"-3"))
	}
	c.listDown = true
	c.nodes["dc2-0"].frozen = true
	c.nodes["dc2-1"].frozen = true
	c.partitioned = nil
	c.advance(8 * time.Second)
	c.assertEntries("dc2", "dc2-2", "dc2-3")
}

// Guards against a departure that moves more keys than those of the instance that left.
func TestOwnershipMovesOnlyKeysOfTheInstanceThatLeft(t *testing.T) {
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
				assert.Equal(t, before, after, "key %s moved although its owner stayed", key)
			}
		}
		share := float64(lost) / keys
		assert.Assert(t, share < 2.5/float64(len(ids))+0.05, "one of %d owned %v of all keys", len(ids), share)
	})
	assert.Equal(t, Rendezvous(nil, "k"), structs.InstanceID(""))
}
