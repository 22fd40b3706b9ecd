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

// Guards against a non-idempotent request that runs twice: repeats at any instance, kills, freezes between the decision
// and the dispatch, restarts under the same name, hand-overs with lost or late calls, clocks that differ, expiry.
func TestInvariantNonIdempotentAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }, false)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.step()
			w.check()
		}
	})
	assert.Equal(t, doubled(t, false), 0)
}

// Guards against a test that cannot see a double run: the naive version, which hashes a key to a live instance, must be
// caught by the same sequences.
func TestNaiveVersionRunsTwice(t *testing.T) {
	twice := doubled(t, true)
	t.Logf("naive version: a key ran twice in %d of %d sequences", twice, sequences)
	assert.Assert(t, twice > 0)
}

const sequences = 700

// doubled returns in how many seeded sequences a key ran twice.
func doubled(t *testing.T, naive bool) int {
	count := 0
	for seed := range uint64(sequences) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(t, func(_ string, n int) int { return random.IntN(n) }, naive)
		for range 200 {
			w.step()
		}
		for _, runs := range w.runs {
			if runs > 1 {
				count++
				break
			}
		}
	}
	return count
}

// Guards against a hand-over that loses used keys or unused ones, and against a successor that judges expiry by its
// own clock.
func TestHandoverKeepsAnswersAndUnusedKeys(t *testing.T) {
	w := newWorld(t, func(string, int) int { return 0 }, false)
	w.faults = false
	first, second, third := w.nodes[3], w.nodes[1], w.nodes[2]
	used, unused, running := issue(t, first.Keys), issue(t, first.Keys), issue(t, first.Keys)
	w.request(first, used)
	w.ops[0].dispatch()
	w.ops[0].finish(false)
	w.request(first, running)
	for _, pair := range [][2]*worldNode{{first, second}, {second, third}} {
		to, err := pair[0].Handover(context.Background(), []structs.InstanceID{pair[0].id, pair[1].id, "n0"})
		assert.NilError(t, err)
		assert.Equal(t, to, pair[1].id)
		for _, n := range w.nodes {
			n.learn(pair[0].successions())
		}
	}
	first.dead = true
	for _, n := range []*worldNode{w.nodes[0], third} {
		assert.Equal(t, w.request(n, used).Action, ActionRecorded)
		assert.Equal(t, w.request(n, running).Action, ActionUnknown)
	}
	assert.Equal(t, w.request(w.nodes[0], unused).Action, ActionRun)
	w.ops[len(w.ops)-1].dispatch()
	_, _, err := first.Issue(customer, service, 1)
	assert.ErrorContains(t, err, "stopping")
	w.now = w.now.Add(10*time.Minute - time.Second/2)
	assert.Equal(t, w.request(w.nodes[0], unused).Action, ActionInProgress)
	w.now = w.now.Add(time.Second)
	assert.Equal(t, w.request(w.nodes[0], used).Action, ActionExpired)
	w.check()
}

// Guards against a key that becomes valid again after its record was dropped: the wall clock was set back, or the
// successor's clock is behind the issuer's.
func TestExpiredKeyStaysExpired(t *testing.T) {
	w := newWorld(t, func(string, int) int { return 0 }, false)
	w.faults = false
	first, second := w.nodes[3], w.nodes[1]
	first.skew, second.skew = 0, -8*time.Second
	key := issue(t, first.Keys)
	w.request(first, key)
	w.ops[0].dispatch()
	w.ops[0].finish(false)
	w.now = w.now.Add(10*time.Minute + 3*time.Second)
	first.sweep()
	assert.Equal(t, first.Used(), 0)
	first.skew = -8 * time.Second
	assert.Equal(t, w.request(first, key).Action, ActionExpired)
	_, err := first.Handover(context.Background(), []structs.InstanceID{second.id})
	assert.NilError(t, err)
	assert.Equal(t, w.request(second, key).Action, ActionExpired)
}

// Guards against a second successor after a hand-over whose answers were all lost: both could run the same key.
func TestHandoverHasOneSuccessor(t *testing.T) {
	const taken, answerLost, notSent = 0, 3, 1
	faults := []int{notSent, taken, answerLost, answerLost, answerLost}
	w := newWorld(t, func(string, int) int {
		fault := faults[0]
		faults = faults[1:]
		return fault
	}, false)
	key := issue(t, w.nodes[0].Keys)
	for _, candidates := range [][]structs.InstanceID{{"n1", "n2", "n3"}, {"n3"}} {
		to, err := w.nodes[0].Handover(context.Background(), candidates)
		assert.Equal(t, to, structs.InstanceID("n2"), "%v", err)
		faults = append(faults, taken, taken)
	}
	assert.Equal(t, w.request(w.nodes[0], key).Action, ActionRun)
	assert.Equal(t, w.ops[0].node.id, structs.InstanceID("n2"))
	assert.Equal(t, w.request(w.nodes[3], key).Action, ActionInProgress)
}
