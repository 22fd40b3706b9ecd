package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func read(t testing.TB, n *node, from structs.InstanceID, topic string) int {
	t.Helper()
	number := -1
	_, _, err := n.Value(from, topic, &number)
	assert.NilError(t, err)
	return number
}

// Guards against values that do not arrive, go to the wrong scope, go back to an older one, or are lost when a
// heartbeat is lost or a process starts again under the same name.
func TestValues(t *testing.T) {
	c := newCluster(t, 2, 2)
	number := 1
	sender := c.nodes["dc0-0"]
	sender.Attach("near", SameDataCentre, func() any { return number })
	sender.Attach("all", Everywhere, func() any { return number })
	changed := c.nodes["dc0-1"].Watch("near")
	c.pass(3 * time.Second)
	<-changed
	assert.Equal(t, read(t, c.nodes["dc0-1"], "dc0-0", "near"), 1)
	assert.Equal(t, read(t, c.nodes["dc1-0"], "dc0-0", "all"), 1)
	assert.Equal(t, read(t, c.nodes["dc1-0"], "dc0-0", "near"), -1)

	number = 2
	c.cut = func(structs.InstanceID, structs.InstanceID) bool { return true }
	c.pass(time.Second)
	assert.Equal(t, read(t, c.nodes["dc0-1"], "dc0-0", "near"), 1)
	c.cut = nil
	c.pass(time.Second)
	assert.Equal(t, read(t, c.nodes["dc0-1"], "dc0-0", "near"), 2)

	restarted := c.add("dc0", "dc0-1", 2, false)
	c.pass(2 * time.Second)
	assert.Equal(t, read(t, restarted, "dc0-0", "near"), 2)

	old := beat{Incarnation: 1, Version: 1, Topics: []topicBeat{{Name: "near", Data: []byte{1}}}}
	err := restarted.receive("dc0-0", &old, c.now)
	assert.NilError(t, err)
	assert.Equal(t, read(t, restarted, "dc0-0", "near"), 2)
	err = sender.receive("dc0-1", &beat{Incarnation: 1, State: stateEnded}, c.now)
	assert.ErrorContains(t, err, "later process")
	assert.Assert(t, !sender.Gone("dc0-1"))
}

// Guards against a cost of heartbeats that grows with the square of the instances, and against values that are sent
// again although they have not changed.
func TestHeartbeatCostIsBounded(t *testing.T) {
	perInstance := func(dcs, each int) (calls, bytes float64) {
		c := newCluster(t, dcs, each)
		for _, n := range c.nodes {
			n.Attach("text", Everywhere, func() any { return make([]byte, 1000) })
		}
		c.pass(5 * time.Second)
		c.calls.Store(0)
		c.bytes.Store(0)
		c.pass(10 * time.Second)
		instances := float64(dcs * each)
		return float64(c.calls.Load()) / instances / 10, float64(c.bytes.Load()) / float64(c.calls.Load())
	}
	near, bytes := perInstance(1, 4)
	assert.Assert(t, near <= 1.5*4.01, "%v exchanges a second for 3 peers: more than one for each pair and interval", near)
	assert.Assert(t, bytes < 150, "%v bytes for an exchange without changes", bytes)
	few, _ := perInstance(9, 4)
	t.Logf("exchanges a second started by each instance: %v with 3 peers near, %v more with 8 other data centres; %v bytes each", near, few-near, bytes)
	assert.Assert(t, few-near <= 8*2.01, "%v exchanges a second with other data centres", few-near)
}
