// Package forecast learns from finished and running tasks how long work takes and how fast workers are. A Model has no
// locks and no clock: its caller serialises calls and passes times in. Its results depend only on the calls made.
package forecast

import (
	"math"
	"time"
)

// Work describes the tasks of one step.
type Work struct {
	Customer, Queue, Series string // Series is the repeated job that this work is an occurrence of; empty if there is none
	Step, Width             int
	Gang                    bool
	Estimate                time.Duration // the customer's estimate; 0 if there is none
}

// Basis is the most specific kind of observations that a prediction rests on.
type Basis string

// Kinds of basis, from the least to the most specific.
const (
	BasisNone     Basis = "none"     // neither an estimate nor observations
	BasisEstimate Basis = "estimate" // the customer's estimate
	BasisQueue    Basis = "queue"    // finished runs of the queue
	BasisCustomer Basis = "customer" // finished runs of the customer in the queue
	BasisSeries   Basis = "series"   // earlier occurrences of the same repeated job
	BasisSiblings Basis = "siblings" // finished tasks of the same step; set by callers that know them
)

// Prediction is how long a task is expected to run on a neutral worker.
type Prediction struct {
	Median time.Duration
	Spread float64 // standard deviation of the log of the run time
	Basis  Basis
}

// Quantile returns the run time that is not exceeded with probability q, taking the log of run times as normally
// distributed. Values of q outside 0.001 to 0.999 count as these bounds.
func (p Prediction) Quantile(q float64) time.Duration {
	if !(q > minQuantile) {
		q = minQuantile
	}
	q = min(q, 1-minQuantile)
	return scale(p.Median, math.Exp(p.Spread*normalQuantile(q)))
}

const minQuantile = 0.001

// normalQuantile returns the q quantile of the standard normal distribution.
func normalQuantile(q float64) float64 {
	return math.Sqrt2 * math.Erfinv(2*q-1)
}

// scale returns d times factor, limited to the longest duration.
func scale(d time.Duration, factor float64) time.Duration {
	scaled := float64(d) * factor
	if !(scaled < math.MaxInt64) {
		return math.MaxInt64
	}
	return time.Duration(scaled)
}

// Slowdown is how much longer tasks run on a worker than on a neutral one.
type Slowdown struct {
	Factor float64 // 1 is neutral, which is the geometric mean of the fleet's workers; 2 is half as fast
	Spread float64 // standard deviation of the log of Factor
	Weight float64 // number of observations that count
}

// Model predicts run times and the slowdown of workers. It is not safe for concurrent use.
type Model struct {
	work    workModel
	workers workerModel
	steps   *lru[Work, *pendingStep]
	now     time.Time // latest time that was passed
	changes uint64
}

// New returns a model without observations.
func New() *Model {
	return &Model{work: newWorkModel(), workers: newWorkerModel(), steps: newLRU[Work, *pendingStep](maxPendingSteps)}
}

// Predict returns how long a task of the work is expected to run on a neutral worker.
func (m *Model) Predict(w Work) Prediction {
	return m.work.predict(w)
}

// Slowdown returns the slowdown of a worker. While the fleet is not known to be uneven, every worker is neutral.
func (m *Model) Slowdown(worker string) Slowdown {
	if !m.workers.uneven {
		return Slowdown{Factor: 1}
	}
	return m.workers.slowdown(worker)
}

// Uneven reports whether workers differ in speed by more than noise explains.
func (m *Model) Uneven() bool {
	return m.workers.uneven
}

// ObserveRun adds a successfully finished run of a single task near its data. siblings is the median neutral run time of
// the step's other tasks, 0 if there are none. Runs of a step that are passed one by one, the first of them without siblings, are compared
// with each other when all have ended. Otherwise siblings is taken as the median of the whole step.
func (m *Model) ObserveRun(w Work, worker string, ran time.Duration, siblings time.Duration, now time.Time) {
	if ran <= 0 {
		return
	}
	m.changes++
	m.advance(now)
	r := stepRun{worker: worker, log: logSeconds(ran), at: now}
	switch {
	case siblings <= 0 && w.Width > 1:
		m.begin(w, r)
	case siblings <= 0:
		m.compareRuns(w, []stepRun{r}, 1)
	case !m.collect(w, r):
		m.work.observe(w, m.neutralLog(r), 0, 1/float64(max(w.Width, 1)))
		m.workers.observeSibling(worker, clamp(r.log-logSeconds(siblings), maxDifference), 1, unknownSiblings, now)
	}
}

// Run is a finished run of a single task.
type Run struct {
	Worker string
	Ran    time.Duration
	At     time.Time // when it ended
}

// ObserveStep adds the runs of a step's single tasks near their data that have finished successfully. It is the same as ObserveRun for each of
// them, and needs not wait for tasks whose run does not count.
func (m *Model) ObserveStep(w Work, runs []Run) {
	m.changes++
	valid := make([]stepRun, 0, len(runs))
	for _, r := range runs {
		if r.Ran > 0 {
			valid = append(valid, stepRun{worker: r.Worker, log: logSeconds(r.Ran), at: r.At})
			m.advance(r.At)
		}
	}
	if len(valid) > 0 {
		m.compareRuns(w, valid, 1)
	}
}

// maxDifference limits by how much the log of a run time may differ from what was expected, as evidence of a worker's speed.
const maxDifference = 3.0

// ObserveGang adds a successfully finished run of a gang near its data, within one rack where that matters.
func (m *Model) ObserveGang(w Work, workers []string, ran time.Duration, now time.Time) {
	if ran <= 0 || len(workers) == 0 {
		return
	}
	m.changes++
	m.advance(now)
	factor := 0.0
	if m.workers.uneven {
		factor = m.workers.slowest(workers)
	}
	if mean, spread, basis := m.work.expect(w); basis != BasisNone && basis != BasisEstimate {
		m.workers.observeGang(workers, clamp(logSeconds(ran)-mean, maxDifference), spread, now)
	}
	m.work.observe(w, logSeconds(ran)-factor, 0, 1)
}

// ObserveProgress adds a progress report of a running single task. relative is the elapsed time over the time that a
// neutral worker would take for the same progress.
func (m *Model) ObserveProgress(worker string, relative float64, now time.Time) {
	m.changes++
	m.advance(now)
	m.workers.observeProgress(worker, relative, now)
}

// Forget drops what is known about a worker, for example because it restarted.
func (m *Model) Forget(worker string) {
	m.changes++
	m.workers.forget(worker)
}

// Changes returns a number that rises with each observation, so that callers can tell whether the model has changed.
func (m *Model) Changes() uint64 { return m.changes }

// WithSiblings returns the prediction of a task of which finished siblings have the given median neutral run time, by the spreads of the
// prediction and of the tasks of a step.
func (m *Model) WithSiblings(p Prediction, median time.Duration, finished int) Prediction {
	if median <= 0 || finished <= 0 {
		return p
	}
	noise := m.workers.siblingNoise()
	medianVariance := noise * noise * math.Pi / 2 / float64(finished)
	priorVariance := max(p.Spread*p.Spread-noise*noise, minSpread*minSpread)
	trust := priorVariance / (priorVariance + medianVariance)
	mean := (1-trust)*logSeconds(p.Median) + trust*logSeconds(median)
	return Prediction{Median: seconds(mean), Spread: math.Sqrt(noise*noise + (1-trust)*priorVariance), Basis: BasisSiblings}
}
