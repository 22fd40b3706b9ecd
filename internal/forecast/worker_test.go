package forecast

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// logError returns the difference between the log of a worker's slowdown and the true one relative to the fleet's geometric mean.
func (g *generator) logError(worker int) float64 {
	centre := 0.0
	for _, s := range g.speeds {
		centre += math.Log(s) / float64(len(g.speeds))
	}
	return math.Log(g.model.Slowdown(workerName(worker)).Factor) - math.Log(g.speeds[worker]) + centre
}

func (g *generator) rootMeanSquareError() float64 {
	sum := 0.0
	for i := range g.speeds {
		sum += g.logError(i) * g.logError(i)
	}
	return math.Sqrt(sum / float64(len(g.speeds)))
}

// Guards against slowdowns that are far from the workers', or said to be surer than they are.
func TestSlowdownsOfWorkers(t *testing.T) {
	g := newGenerator(1, 350, 0.6, 1, 1.6)
	for _, runs := range []int{350, 700, 1750, 3500} {
		g.until(runs)
		for g.runs < runs {
			g.step(5)
		}
		stated := 0.0
		for i := range g.speeds {
			s := g.model.Slowdown(workerName(i))
			stated += s.Spread * s.Spread / float64(len(g.speeds))
		}
		t.Logf("%d runs: error %.3f, stated %.3f", g.runs, g.rootMeanSquareError(), math.Sqrt(stated))
	}
	assert.Assert(t, g.rootMeanSquareError() < 0.15)
}

// Guards against a worker without observations, or with one, that counts as known.
func TestFewObservationsAreShrunk(t *testing.T) {
	g := newGenerator(1, 100, 0.8, 1, 1.25)
	assert.Assert(t, g.until(3000))
	fresh := g.model.Slowdown("new")
	assert.Equal(t, fresh.Weight, 0.0)
	assert.Assert(t, math.Abs(math.Log(fresh.Factor)) < 0.1, "%v", fresh)
	g.model.ObserveRun(Work{Queue: "q", Width: 5}, "new", 4*time.Second, 2*time.Second, g.now)
	once := g.model.Slowdown("new")
	assert.Assert(t, once.Factor > fresh.Factor && once.Factor < 1.5, "%v", once)
	assert.Assert(t, once.Spread > 0.08, "%v", once)
}

// Guards against a worker that keeps the speed it had long ago, and against a brief slow period that outweighs all other runs.
func TestChangesAndOutliers(t *testing.T) {
	g := newGenerator(1, 100, 0.6, 1, 1.6)
	assert.Assert(t, g.until(1500))
	for g.runs < 1500 {
		g.step(5)
	}
	w := Work{Queue: "q", Width: 5}
	run := func(factor float64) float64 {
		g.now = g.now.Add(3 * time.Second)
		g.model.ObserveRun(w, "w", time.Duration(factor*float64(2*time.Second)), 2*time.Second, g.now)
		return g.model.Slowdown("w").Factor
	}
	for range 12 {
		run(0.6)
	}
	assert.Assert(t, run(0.6) < 0.75)
	assert.Assert(t, run(2.4) < 0.8, "one run in a slow period")
	assert.Assert(t, run(0.6) < 0.75)
	runs := 1
	for run(1.6) < 1.3 {
		runs++
	}
	t.Logf("relearned from 0.6 to 1.6 within %d runs", runs)
	assert.Assert(t, runs <= 8)
	g.model.Forget("w")
	assert.Equal(t, g.model.Slowdown("w"), g.model.Slowdown("never seen"))
}

// Guards against gangs that teach nothing, or that make fast members slow because of one slow member.
func TestGangsTellOfTheirSlowestMember(t *testing.T) {
	g := newGenerator(1, 100, 0.6, 1, 1.6)
	assert.Assert(t, g.until(1500))
	w := Work{Customer: "c", Queue: "gangs", Width: 8, Gang: true, Estimate: 5 * time.Second}
	var members []string
	for i := range 8 {
		members = append(members, fmt.Sprint("m", i))
	}
	slow := func(i int) float64 {
		if i == 3 {
			return 1.6
		}
		return 0.6
	}
	for range 60 {
		g.now = g.now.Add(3 * time.Second)
		p := g.random.Perm(8)[:4]
		slowest, names := 0.0, []string(nil)
		for _, i := range p {
			slowest, names = max(slowest, slow(i)*g.logNormal(0.15)), append(names, members[i])
		}
		g.model.ObserveGang(w, names, scale(5*time.Second, slowest), g.now)
	}
	for i, name := range members {
		t.Logf("%s: true %.1f, estimated %.2f", name, slow(i), g.model.Slowdown(name).Factor)
	}
	for i, name := range members {
		if i != 3 {
			assert.Assert(t, g.model.Slowdown(name).Factor < 0.6*g.model.Slowdown(members[3]).Factor)
		}
	}
}

// Guards against a slow worker that is found only when its runs have ended, and against reports of one run that count as many.
func TestProgressIsEvidence(t *testing.T) {
	g := newGenerator(1, 100, 0.6, 1, 1.6)
	assert.Assert(t, g.until(1500))
	before := g.model.Slowdown("w").Factor
	g.model.ObserveProgress("w", 2, g.now)
	first := g.model.Slowdown("w")
	assert.Assert(t, first.Factor > before*1.03, "%.2f after %.2f", first.Factor, before)
	for range 100 {
		g.model.ObserveProgress("w", 2, g.now)
	}
	assert.Equal(t, g.model.Slowdown("w"), first)
	for _, relative := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		g.now = g.now.Add(time.Second)
		g.model.ObserveProgress("w", relative, g.now)
	}
	assert.Equal(t, g.model.Slowdown("w"), first)
}

// Guards against numbers that are not finite, and memory that grows, with whatever is observed.
func TestExtremeObservations(t *testing.T) {
	m := New()
	times := []time.Duration{-1, 0, 1, time.Second, math.MaxInt64}
	now := time.Unix(1, 0)
	for i := range 20000 {
		name := fmt.Sprint(i % 5000)
		w := Work{Customer: name, Queue: name, Series: name, Step: i%40 - 2, Width: i%7 - 1, Estimate: times[i%5]}
		m.ObserveRun(w, name, times[i/5%5], times[i/25%5], now)
		m.ObserveGang(w, []string{name, "x", name}, times[i/5%5], now)
		m.ObserveProgress(name, math.Exp(float64(i%1000)), now)
		now = now.Add(time.Duration(i%3-1) * time.Hour)
		p := m.Predict(w)
		assert.Assert(t, p.Median > 0 && p.Quantile(math.NaN()) > 0 && p.Spread > 0 && p.Spread < 5, "%v", p)
		m.workers.uneven = i%2 == 0
		s := m.Slowdown(name)
		assert.Assert(t, s.Factor > 0.05 && s.Factor < 20 && s.Spread >= 0 && s.Weight >= 0 && s.Weight < 10, "%v", s)
	}
	assert.Assert(t, len(m.workers.order) <= maxWorkers && len(m.work.queues.entries) <= maxQueues && len(m.work.refinements.entries) <= maxRefinements)
	assert.Assert(t, len(m.steps.entries) <= maxPendingSteps)
	assert.Equal(t, len(m.workers.order), len(m.workers.workers.entries))
}

// Guards against the runs of a step that are never used because the run of one of its tasks does not count, and against ObserveStep, which
// needs not wait for it, with another result.
func TestStepsWithARunThatDoesNotCount(t *testing.T) {
	one, whole := New(), New()
	now := time.Unix(1000, 0)
	w := Work{Queue: "q", Width: 6, Estimate: time.Second}
	var runs []Run
	for i := range 5 {
		r := Run{Worker: fmt.Sprint(i % 3), Ran: time.Duration(i+1) * time.Second, At: now.Add(time.Duration(i) * time.Millisecond)}
		runs = append(runs, r)
		one.ObserveRun(w, r.Worker, r.Ran, time.Duration(i)*time.Second, r.At)
	}
	whole.ObserveStep(w, runs)
	assert.Equal(t, one.workers.known("0").weight, 0.0)
	one.ObserveGang(Work{Queue: "other"}, []string{"x"}, time.Second, now.Add(10*time.Second))
	for i := range 3 {
		assert.DeepEqual(t, one.workers.known(fmt.Sprint(i)).evidence, whole.workers.known(fmt.Sprint(i)).evidence)
	}
	assert.Equal(t, whole.workers.known("0").weight, 1.0)
}
