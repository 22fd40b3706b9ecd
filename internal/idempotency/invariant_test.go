package idempotency

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Guards against a non-idempotent request that runs twice under repeats at any instance, kills, freezes between the
// decision and the dispatch, restarts with the same instance id, handovers with lost or delayed calls, clock skew and
// expiry.
func TestInvariantNonIdempotentAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }, false)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			sim.step()
			sim.check()
		}
	})
	assert.Equal(t, countDoubleRuns(t, false), 0)
}

// Guards against a simulation that cannot detect a double run: the same sequences must detect one in the naive version,
// which decides about a key at the live instance to which it hashes.
func TestNaiveVersionRunsTwice(t *testing.T) {
	twice := countDoubleRuns(t, true)
	t.Logf("naive version: a key ran twice in %d of %d sequences", twice, sequences)
	assert.Assert(t, twice > 0)
}

const sequences = 700

// countDoubleRuns returns the number of seeded sequences in which a key ran twice.
func countDoubleRuns(t *testing.T, naive bool) int {
	count := 0
	for seed := range uint64(sequences) {
		random := rand.New(rand.NewPCG(seed, 1))
		sim := newSimulation(t, func(_ string, n int) int { return random.IntN(n) }, naive)
		for range 200 {
			sim.step()
		}
		for _, runs := range sim.runs {
			if runs > 1 {
				count++
				break
			}
		}
	}
	return count
}

// Guards against a handover that loses used or unused keys, and against a successor that decides on expiry by its own
// clock instead of the issuer's.
func TestHandoverKeepsAnswersAndUnusedKeys(t *testing.T) {
	sim := newSimulation(t, func(string, int) int { return 0 }, false)
	sim.faults = false
	first, second, third := sim.nodes[3], sim.nodes[1], sim.nodes[2]
	used, unused, running := issue(t, first.Keys), issue(t, first.Keys), issue(t, first.Keys)
	sim.request(first, used)
	sim.attempts[0].dispatch()
	sim.attempts[0].finish(false)
	sim.request(first, running)
	for _, pair := range [][2]*simNode{{first, second}, {second, third}} {
		to, err := pair[0].Handover(context.Background(), []structs.InstanceID{pair[0].id, pair[1].id, "n0"})
		assert.NilError(t, err)
		assert.Equal(t, to, pair[1].id)
		for _, n := range sim.nodes {
			n.mergeSuccessions(pair[0].successions())
		}
	}
	first.dead = true
	for _, n := range []*simNode{sim.nodes[0], third} {
		assert.Equal(t, sim.request(n, used).Action, ActionRecorded)
		assert.Equal(t, sim.request(n, running).Action, ActionUnknown)
	}
	assert.Equal(t, sim.request(sim.nodes[0], unused).Action, ActionRun)
	sim.attempts[len(sim.attempts)-1].dispatch()
	_, _, err := first.Issue(customer, service, 1)
	assert.ErrorContains(t, err, "stopping")
	sim.now = sim.now.Add(10*time.Minute - time.Second/2)
	assert.Equal(t, sim.request(sim.nodes[0], unused).Action, ActionInProgress)
	sim.now = sim.now.Add(time.Second)
	assert.Equal(t, sim.request(sim.nodes[0], used).Action, ActionExpired)
	sim.check()
}

// Guards against an expired key that becomes valid again after its record was dropped, because the clock was set back or
// the successor's clock is behind the issuer's.
func TestExpiredKeyStaysExpired(t *testing.T) {
	sim := newSimulation(t, func(string, int) int { return 0 }, false)
	sim.faults = false
	first, second := sim.nodes[3], sim.nodes[1]
	first.skew, second.skew = 0, -8*time.Second
	key := issue(t, first.Keys)
	sim.request(first, key)
	sim.attempts[0].dispatch()
	sim.attempts[0].finish(false)
	sim.now = sim.now.Add(10*time.Minute + 3*time.Second)
	first.sweep()
	assert.Equal(t, first.Used(), 0)
	first.skew = -8 * time.Second
	assert.Equal(t, sim.request(first, key).Action, ActionExpired)
	_, err := first.Handover(context.Background(), []structs.InstanceID{second.id})
	assert.NilError(t, err)
	assert.Equal(t, sim.request(second, key).Action, ActionExpired)
}

// Guards against a second successor after a handover whose replies were all lost: both could run the same key.
func TestHandoverHasOneSuccessor(t *testing.T) {
	const taken, answerLost, notSent = 0, 3, 1 // faults of simNode.Call
	faults := []int{notSent, taken, answerLost, answerLost, answerLost}
	sim := newSimulation(t, func(string, int) int {
		fault := faults[0]
		faults = faults[1:]
		return fault
	}, false)
	key := issue(t, sim.nodes[0].Keys)
	for _, candidates := range [][]structs.InstanceID{{"n1", "n2", "n3"}, {"n3"}} {
		to, err := sim.nodes[0].Handover(context.Background(), candidates)
		assert.Equal(t, to, structs.InstanceID("n2"), "%v", err)
		faults = append(faults, taken, taken)
	}
	assert.Equal(t, sim.request(sim.nodes[0], key).Action, ActionRun)
	assert.Equal(t, sim.attempts[0].node.id, structs.InstanceID("n2"))
	assert.Equal(t, sim.request(sim.nodes[3], key).Action, ActionInProgress)
}
