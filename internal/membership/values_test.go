package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func readValue(t testing.TB, n *node, from structs.InstanceID, topic string) int {
	t.Helper()
	number := -1
	_, _, err := n.Value(from, topic, &number)
	assert.NilError(t, err)
	return number
}

// Guards against values that do not arrive, reach peers outside their scope, revert to an older value, or are lost when
// a heartbeat is lost or a process restarts under the same name.
func TestValues(t *testing.T) {
	c := newCluster(t, 2, 2)
	number := 1
	sender := c.nodes["dc0-0"]
	sender.Attach("near", SameDataCentre, func() any { return number })
	sender.Attach("all", Everywhere, func() any { return number })
	changed := c.nodes["dc0-1"].Watch("near")
	c.advance(3 * time.Second)
	<-changed
	assert.Equal(t, readValue(t, c.nodes["dc0-1"], "dc0-0", "near"), 1)
	assert.Equal(t, readValue(t, c.nodes["dc1-0"], "dc0-0", "all"), 1)
	assert.Equal(t, readValue(t, c.nodes["dc1-0"], "dc0-0", "near"), -1)

	number = 2
	c.partitioned = func(structs.InstanceID, structs.InstanceID) bool { return true }
	c.advance(time.Second)
	assert.Equal(t, readValue(t, c.nodes["dc0-1"], "dc0-0", "near"), 1)
	c.partitioned = nil
	c.advance(time.Second)
	assert.Equal(t, readValue(t, c.nodes["dc0-1"], "dc0-0", "near"), 2)

	restarted := c.add("dc0", "dc0-1", 2, false)
	c.advance(2 * time.Second)
	assert.Equal(t, readValue(t, restarted, "dc0-0", "near"), 2)

	old := heartbeat{Incarnation: 1, Version: 1, Topics: []topicUpdate{{Name: "near", Data: []byte{1}}}}
	err := restarted.receive("dc0-0", &old, c.now)
	assert.NilError(t, err)
	assert.Equal(t, readValue(t, restarted, "dc0-0", "near"), 2)
	err = sender.receive("dc0-1", &heartbeat{Incarnation: 1, State: stateEnded}, c.now)
	assert.ErrorContains(t, err, "later process")
	assert.Assert(t, !sender.Gone("dc0-1"))
}

// Guards against a heartbeat cost that grows with the square of the number of instances, and against values that are
// sent again although they have not changed.
func TestHeartbeatCostIsBounded(t *testing.T) {
	perInstance := func(dcs, each int) (calls, exchangeBytes float64) {
		c := newCluster(t, dcs, each)
		for _, n := range c.nodes {
			n.Attach("text", Everywhere, func() any { return make([]byte, 1000) })
		}
		c.advance(5 * time.Second)
		c.calls.Store(0)
		c.bytes.Store(0)
		c.advance(10 * time.Second)
		instances := float64(dcs * each)
		return float64(c.calls.Load()) / instances / 10, float64(c.bytes.Load()) / float64(c.calls.Load())
	}
	sameDataCentre, exchangeBytes := perInstance(1, 4)
	assert.Assert(t, sameDataCentre <= 1.5*4.01, "%v exchanges per second for 3 peers: more than one for each pair and interval", sameDataCentre)
	assert.Assert(t, exchangeBytes < 150, "%v bytes for an exchange without changed values", exchangeBytes)
	withRemote, _ := perInstance(9, 4)
	t.Logf("exchanges per second started by each instance: %v with 3 peers in the data centre, %v more with 8 other data centres; %v bytes each", sameDataCentre, withRemote-sameDataCentre, exchangeBytes)
	assert.Assert(t, withRemote-sameDataCentre <= 8*2.01, "%v exchanges per second with other data centres", withRemote-sameDataCentre)
}
