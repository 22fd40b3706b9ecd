package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// faults are injected into a data centre while requests run. Faults of a minion affect the first one.
var faults = []struct {
	name  string
	apply func(*dataCentre)
}{
	{"truncated answers", func(c *dataCentre) { c.applyControl(standin.Control{Truncate: pointerTo(0.3)}) }},
	{"answers of other requests", func(c *dataCentre) { c.applyControl(standin.Control{Repeat: pointerTo(0.3)}) }},
	{"late answers", func(c *dataCentre) { c.applyControl(standin.Control{Delay: pointerTo(60 * time.Millisecond)}) }},
	{"minion frozen", func(c *dataCentre) { c.applyControl(standin.Control{Frozen: pointerTo(true)}) }},
	{"minion killed", func(c *dataCentre) { c.minions[0].Kill() }},
	{"minion leaving", func(c *dataCentre) { c.ListLeaving(0) }},
	{"owner changes", func(c *dataCentre) { c.SetOwner(0, "y") }},
	{"peer cut off", func(c *dataCentre) { c.Silence("y") }},
	{"view not fresh", func(c *dataCentre) {
		c.entries["x"].SetFresh(false)
		time.AfterFunc(100*time.Millisecond, func() { c.entries["x"].SetFresh(true) })
	}},
	{"peers' answers lost", func(c *dataCentre) { c.LoseAnswers(CallForward) }},
}

func pointerTo[T any](value T) *T { return &value }

func (c *dataCentre) applyControl(change standin.Control) { c.minions[0].Apply(change) }

// requestResult is a request with its response.
type requestResult struct {
	Request
	Response
}

// runUnderFaults injects the faults while callers send requests with distinct bodies to both instances of a data centre,
// more than there are slots. Some callers cancel early and some set a short timeout. It returns the results and how often
// each request ran.
func runUnderFaults(t *testing.T, apply ...func(*dataCentre)) ([]requestResult, map[string]int) {
	c := newDataCentre(t, 5*time.Millisecond, "x", "x", "y")
	entries := []*entry{c.entries["x"], c.entries["y"]}
	results := make([][]requestResult, 40)
	var callers sync.WaitGroup
	for caller := range results {
		random := rand.New(rand.NewPCG(7, uint64(caller)))
		callers.Go(func() {
			for n := range 12 {
				if n == 3 && caller < len(apply) {
					apply[caller](c)
				}
				request := randomRequest(random, caller, n)
				ctx, cancel := context.WithCancel(context.Background())
				if random.IntN(8) == 0 {
					time.AfterFunc(time.Duration(random.IntN(15))*time.Millisecond, cancel)
				}
				response := entries[random.IntN(2)].router.Do(ctx, request)
				cancel()
				results[caller] = append(results[caller], requestResult{request, response})
				if response.Outcome != structs.OutcomeAnswered {
					time.Sleep(50 * time.Millisecond) // less than Retry-After; with no pause, a single stall would cause every later request to be rejected
				}
			}
		})
	}
	callers.Wait()
	c.applyControl(standin.Control{Frozen: pointerTo(false)})
	var all []requestResult
	for _, some := range results {
		all = append(all, some...)
	}
	return all, c.runCounts()
}

func randomRequest(random *rand.Rand, caller, n int) Request {
	id := fmt.Sprintf("r%d-%d", caller, n)
	request := Request{ID: id, Service: testService, Kind: "quote", Customer: "jetty", Caller: structs.Caller(fmt.Sprint(caller)),
		Body: bytes.Repeat([]byte(id+" "), 1+random.IntN(3000)), Timeout: time.Duration(30+random.IntN(200)) * time.Millisecond}
	if random.IntN(2) == 0 {
		request.Kind = "book"
		request.Key = []string{"x/", "y/"}[random.IntN(2)] + id
	}
	return request
}

// runCounts waits for running requests to end and returns how often each request ran.
func (c *dataCentre) runCounts() map[string]int {
	time.Sleep(100 * time.Millisecond)
	runs := map[string]int{}
	for _, m := range c.minions {
		for _, run := range m.Report().Runs {
			runs[run.RequestID]++
		}
	}
	return runs
}

// faultRuns caches the faultRun of each combination of faults by its name, because two tests check the same runs.
var faultRuns sync.Map

// faultRun holds the results of one run under faults, and how often each request ran.
type faultRun struct {
	all  []requestResult
	runs map[string]int
}

// checkUnderFaults runs a check without faults, under each fault alone and under each pair of faults.
func checkUnderFaults(t *testing.T, check func(t *testing.T, all []requestResult, runs map[string]int)) {
	run := func(name string, apply ...func(*dataCentre)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			known, found := faultRuns.Load(name)
			if !found {
				all, runs := runUnderFaults(t, apply...)
				known = faultRun{all, runs}
				faultRuns.Store(name, known)
			}
			all, runs := known.(faultRun).all, known.(faultRun).runs
			outcomes := map[structs.Outcome]int{}
			for _, p := range all {
				outcomes[p.Outcome]++
			}
			t.Log(outcomes)
			assert.Assert(t, outcomes[structs.OutcomeAnswered] > len(all)/10, "%v", outcomes)
			check(t, all, runs)
		})
	}
	run("none")
	for i, first := range faults {
		run(first.name, first.apply)
		for _, second := range faults[i+1:] {
			run(first.name+" and "+second.name, first.apply, second.apply)
		}
	}
}

// TestInvariantAnswerReachesItsCaller guards against a caller that receives a truncated answer or another caller's answer.
func TestInvariantAnswerReachesItsCaller(t *testing.T) {
	checkUnderFaults(t, func(t *testing.T, all []requestResult, _ map[string]int) {
		for _, p := range all {
			if p.Outcome == structs.OutcomeAnswered {
				assert.Assert(t, bytes.Equal(p.Answer.Body, p.Body), "%s got %d bytes of %d: %.20q", p.ID, len(p.Answer.Body), len(p.Body), p.Answer.Body)
			}
		}
	})
}

// TestInvariantRefusedNotRun guards against the outcome not_run for a request that ran or may still run, and against a
// second run of a request that is not idempotent.
func TestInvariantRefusedNotRun(t *testing.T) {
	checkUnderFaults(t, func(t *testing.T, all []requestResult, runs map[string]int) {
		for _, p := range all {
			assert.Assert(t, p.Outcome != structs.OutcomeNotRun || runs[p.ID] == 0, "%s has the outcome not_run but ran: %v", p.ID, p.Err)
			assert.Assert(t, p.Kind != "book" || runs[p.ID] <= 1, "%s ran %d times", p.ID, runs[p.ID])
		}
	})
}

// TestRetryBudget guards against retries that multiply the load when every request fails.
func TestRetryBudget(t *testing.T) {
	c := newDataCentre(t, 0, "x")
	e, m := c.entries["x"], c.minions[0]
	c.applyControl(standin.Control{Truncate: pointerTo(1.0)})
	const requests = 300
	for range requests {
		response := e.router.Do(context.Background(), Request{ID: NewRequestID(), Service: testService, Kind: "quote", Customer: "jetty", Body: []byte("body")})
		assert.Equal(t, response.Outcome, structs.OutcomeUnknown)
	}
	runs := len(m.Report().Runs)
	t.Logf("requests=%d runs=%d", requests, runs)
	assert.Assert(t, runs > requests && runs <= requests*11/10, "runs=%d", runs)
}

// TestDrain guards against a shutdown that aborts an accepted request, queued or running.
func TestDrain(t *testing.T) {
	e := newDataCentre(t, 50*time.Millisecond, "x").entries["x"]
	outcomes := make(chan Response, 24)
	for n := range cap(outcomes) {
		go func() {
			outcomes <- e.router.Do(context.Background(), Request{ID: fmt.Sprint(n), Service: testService, Kind: "quote", Customer: "jetty"})
		}()
	}
	assert.Assert(t, eventually(func() bool { statuses := e.router.Statuses(); return len(statuses) == 1 && statuses[0].Waiting == 16 }))
	assert.NilError(t, e.router.Drain(context.Background()))
	assert.NilError(t, e.pool.Drain(context.Background()))
	for range cap(outcomes) {
		response := <-outcomes
		assert.Equal(t, response.Outcome, structs.OutcomeAnswered, "%v", response.Err)
	}
	refused := e.router.Do(context.Background(), Request{ID: "late", Service: testService, Kind: "quote", Customer: "jetty"})
	assert.Equal(t, refused.Outcome, structs.OutcomeNotRun)
}

// TestKeys guards against a second run with a used key, sent to the issuer or to another instance, and against a
// non-idempotent request that runs without a key.
func TestKeys(t *testing.T) {
	c := newDataCentre(t, 0, "x", "y")
	x, y := c.entries["x"], c.entries["y"]
	request := Request{ID: "first", Service: testService, Kind: "book", Customer: "jetty", Body: []byte("one")}
	response := y.router.Do(context.Background(), request)
	assert.Assert(t, errkind.Is(response.Err, errkind.KeyRequired) && response.Outcome == structs.OutcomeNotRun)
	request.Key = "x/1"
	for n, at := range []*entry{y, x, y} {
		request.ID = fmt.Sprint(n)
		response = at.router.Do(context.Background(), request)
		assert.Equal(t, response.Outcome, structs.OutcomeAnswered, "%v", response.Err)
		assert.Equal(t, string(response.Answer.Body), "one")
	}
	assert.Equal(t, len(c.runCounts()), 1)
	c.LoseAnswers(CallForward)
	request.Key = "x/2"
	response = y.router.Do(context.Background(), request)
	assert.Assert(t, response.Outcome == structs.OutcomeUnknown && !errors.Is(response.Err, errNotAttempted))
}

// TestRepeatAtDrainingInstanceIsNotRefusedAsNotRun guards against a draining instance that reports not run for a request
// that ran earlier with the same key: the caller would send it again with a new key.
func TestRepeatAtDrainingInstanceIsNotRefusedAsNotRun(t *testing.T) {
	c := newDataCentre(t, 0, "x", "y")
	request := Request{ID: "first", Service: testService, Kind: "book", Customer: "jetty", Body: []byte("one"), Key: "x/1"}
	assert.Equal(t, c.entries["y"].router.Do(context.Background(), request).Outcome, structs.OutcomeAnswered)
	for _, id := range []structs.InstanceID{"y", "x"} {
		assert.NilError(t, c.entries[id].router.Drain(context.Background()))
		response := c.entries[id].router.Do(context.Background(), request)
		assert.Equal(t, response.Outcome, structs.OutcomeUnknown, "at %s: %v", id, response.Err)
		assert.Assert(t, errkind.Is(response.Err, errkind.InProgress), "at %s: %v", id, response.Err)
	}
	assert.Equal(t, len(c.runCounts()), 1)
}

// TestKeyFindsSuccessor guards against the outcome unknown for a request whose key was handed over, when the instance that
// receives the request does not know the successor yet.
func TestKeyFindsSuccessor(t *testing.T) {
	c := newDataCentre(t, 0, "x", "y")
	request := Request{ID: "first", Service: testService, Kind: "book", Customer: "jetty", Key: "gone/1", Timeout: 300 * time.Millisecond}
	assert.Equal(t, c.entries["y"].router.Do(context.Background(), request).Outcome, structs.OutcomeUnknown)
	time.AfterFunc(100*time.Millisecond, func() { c.successor.Store(structs.InstanceID("x")) })
	response := c.entries["y"].router.Do(context.Background(), request)
	assert.Equal(t, response.Outcome, structs.OutcomeAnswered, "%v", response.Err)
}

// TestRepeatOfRemovedKindIsNotRefusedAsNotRun guards against reporting not run for a request that ran with the same key
// before its kind was removed from the specification, and against a rejection that marks an unused key as used.
func TestRepeatOfRemovedKindIsNotRefusedAsNotRun(t *testing.T) {
	c := newDataCentre(t, 0, "x", "y")
	used := Request{ID: "used", Service: testService, Kind: "book", Customer: "jetty", Body: []byte("one"), Key: "x/used"}
	assert.Equal(t, c.entries["y"].router.Do(context.Background(), used).Outcome, structs.OutcomeAnswered)
	unused, keyless, lost := used, used, used
	unused.Key, keyless.Key, lost.Key = "x/unused", "", "gone/lost"
	declared := c.text.Load()
	withoutKind, withoutService := testText(), testText()
	withoutKind.Services[0].Kinds = withoutKind.Services[0].Kinds[1:]
	withoutService.Services = nil
	for _, text := range []*spec.Text{withoutKind, withoutService, nil} {
		c.text.Store(text)
		for _, id := range []structs.InstanceID{"x", "y"} {
			do := c.entries[id].router.Do
			response := do(context.Background(), used)
			assert.Equal(t, response.Outcome, structs.OutcomeAnswered, "at %s: %v", id, response.Err)
			assert.Equal(t, string(response.Answer.Body), "one")
			assert.Equal(t, do(context.Background(), unused).Outcome, structs.OutcomeNotRun)
			assert.Equal(t, do(context.Background(), keyless).Outcome, structs.OutcomeNotRun)
		}
	}
	lost.Timeout = 100 * time.Millisecond
	assert.Equal(t, c.entries["y"].router.Do(context.Background(), lost).Outcome, structs.OutcomeUnknown)
	c.text.Store(declared)
	assert.Equal(t, c.entries["y"].router.Do(context.Background(), unused).Outcome, structs.OutcomeAnswered)
	assert.Equal(t, c.runCounts()["used"], 2) // once with each key
}
