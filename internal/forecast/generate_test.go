package forecast

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// generator generates the finished runs of a fleet and passes them to a model as a scheduler does.
type generator struct {
	random *rand.Rand
	model  *Model
	now    time.Time
	speeds []float64 // slowdown of each worker
	noise  float64   // spread of the tasks of a step
	runs   int
	// slowUntil has the end of the slow period of workers that are four times slower for a while.
	slowUntil map[int]time.Time
	// workOf, if set, replaces work, and firstRun gets the time of each step's first run to end.
	workOf   func(width int) (Work, time.Duration)
	firstRun func(ran time.Duration)
	// outcome, if set, gets each prediction and the neutral run time.
	outcome func(p Prediction, neutral time.Duration)
}

func newGenerator(seed uint64, workers int, speeds ...float64) *generator {
	g := &generator{
		random: rand.New(rand.NewPCG(seed, 1)), model: New(), now: time.UnixMilli(1_700_000_000_000), noise: 0.3, slowUntil: map[int]time.Time{},
	}
	for range workers {
		g.speeds = append(g.speeds, speeds[g.random.IntN(len(speeds))])
	}
	return g
}

func workerName(i int) string { return fmt.Sprintf("worker-%03d", i) }

func (g *generator) logNormal(spread float64) float64 {
	return math.Exp(g.random.NormFloat64() * spread)
}

// slowdown returns the slowdown of a worker now, with noise.
func (g *generator) slowdown(worker int) float64 {
	factor := g.speeds[worker] * g.logNormal(g.noise)
	if g.now.Before(g.slowUntil[worker]) {
		factor *= 4
	}
	return factor
}

// work returns the work of a random step of single tasks and the time that it takes on a neutral worker.
func (g *generator) work(width int) (Work, time.Duration) {
	median := time.Duration(2.1 * float64(time.Second) * g.logNormal(0.5))
	w := Work{Customer: fmt.Sprint("c", g.random.IntN(10)), Queue: fmt.Sprint("q", width), Width: width, Estimate: scale(median, g.logNormal(0.9))}
	return w, median
}

// step runs the tasks of a step on random workers at the same time. Their ends are observed in their order.
func (g *generator) step(width int) {
	workOf := g.workOf
	if workOf == nil {
		workOf = g.work
	}
	w, median := workOf(width)
	type run struct {
		worker int
		ran    time.Duration
	}
	p := g.model.Predict(w)
	runs := make([]run, width)
	for i := range runs {
		worker := g.random.IntN(len(g.speeds))
		runs[i] = run{worker, scale(median, g.slowdown(worker))}
	}
	slices.SortFunc(runs, func(a, b run) int { return cmp.Compare(a.ran, b.ran) })
	if g.firstRun != nil {
		g.firstRun(runs[0].ran)
	}
	g.observe(w, p, median, runs[0].worker, runs[0].ran, 0)
	neutral := []time.Duration{g.neutral(runs[0].worker, runs[0].ran)}
	for _, r := range runs[1:] {
		g.observe(w, p, median, r.worker, r.ran, medianOf(neutral))
		neutral = append(neutral, g.neutral(r.worker, r.ran))
	}
}

func (g *generator) neutral(worker int, ran time.Duration) time.Duration {
	return scale(ran, 1/g.model.Slowdown(workerName(worker)).Factor)
}

func (g *generator) observe(w Work, p Prediction, median time.Duration, worker int, ran, siblings time.Duration) {
	g.model.ObserveRun(w, workerName(worker), ran, siblings, g.now)
	if g.outcome != nil {
		g.outcome(p, scale(median, g.logNormal(g.noise)))
	}
	g.now = g.now.Add(10 * time.Millisecond) // about 100 tasks a second
	g.runs++
}

func medianOf(times []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}

// until runs steps until the fleet counts as uneven or the given number of tasks has run, and reports which.
func (g *generator) until(runs int) bool {
	for g.runs < runs && !g.model.Uneven() {
		g.step([]int{5, 5, 5, 39}[g.random.IntN(4)])
	}
	return g.model.Uneven()
}
