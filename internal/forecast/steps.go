package forecast

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the comparison of the tasks of a step with each other.
const (
	maxPendingSteps = 256             // steps whose runs are being collected
	maxPendingRuns  = 256             // runs of such a step, about 50 bytes each
	pendingTime     = 3 * time.Second // a step is compared this long after its latest run, also if some have not ended or do not count
	firstRunWeight  = 0.3             // weight in the predictions of a step's first run to end, which is usually one of its shortest
	firstRunsUntil  = 2.0             // weight of a queue's observations from which on predictions wait for whole steps
	medianExcess    = math.Pi / 2     // variance of the median of normal variables over that of their mean
	unknownSiblings = 3               // number of siblings that a median from the caller is taken to come from
)

// stepRun is a finished run of a step that has not been compared with the others yet.
type stepRun struct {
	worker string
	log    float64 // of the run time in seconds
	at     time.Time
}

// pendingStep collects the finished runs of a step. The tasks that end first are short whatever their worker, and those that end later
// exceed them, so runs are compared only when all have ended.
type pendingStep struct {
	latest time.Time // when a run was last added
	weight float64   // of the step in the predictions, apart from that of its first run
	runs   []stepRun
}

// begin begins a pending step with the run that ends first.
func (m *Model) begin(w Work, r stepRun) {
	if m.steps.get(w) != nil {
		m.compare(w) // another step of the same work
	}
	if len(m.steps.entries) >= maxPendingSteps {
		m.compare(m.steps.oldest())
	}
	weight := 1.0
	if m.work.observations(w.Queue) < firstRunsUntil {
		m.work.observe(w, m.neutralLog(r), 0, firstRunWeight)
		weight -= firstRunWeight
	}
	m.steps.use(w, func() *pendingStep { return &pendingStep{latest: m.now, weight: weight, runs: []stepRun{r}} })
}

// collect adds a run to the pending step of the work, and reports whether there is one.
func (m *Model) collect(w Work, r stepRun) bool {
	if m.steps.get(w) == nil {
		return false
	}
	p := m.steps.use(w, nil)
	p.latest = m.now
	p.runs = append(p.runs, r)
	if len(p.runs) >= min(w.Width, maxPendingRuns) {
		m.compare(w)
	}
	return true
}

// advance sets the latest time that was passed, and compares the runs of the steps that got none for too long.
func (m *Model) advance(now time.Time) {
	m.now = later(m.now, now)
	for len(m.steps.entries) > 0 {
		w := m.steps.oldest()
		if m.now.Sub(m.steps.get(w).latest) < pendingTime {
			return
		}
		m.compare(w)
	}
}

// compare ends a pending step.
func (m *Model) compare(w Work) {
	p := m.steps.get(w)
	m.steps.remove(w)
	m.compareRuns(w, p.runs, p.weight)
}

// compareRuns adds the runs of a step. Each worker's runs are evidence of its speed relative to the other workers' runs, and all of them
// show how long the work runs on a neutral worker. A single run is compared with its prediction. weight is that in the predictions.
func (m *Model) compareRuns(w Work, runs []stepRun, weight float64) {
	if len(runs) == 1 {
		r := runs[0]
		if mean, spread, basis := m.work.expect(w); basis != BasisNone && basis != BasisEstimate {
			m.workers.observeRun(r.worker, clamp(r.log-mean, maxDifference), spread, r.at)
		}
		m.work.observe(w, m.neutralLog(r), 0, weight)
		return
	}
	neutral := make([]stepRun, len(runs)) // in the order of their neutral run times
	sum, squares := 0.0, 0.0
	at := runs[0].at // one time for all: the runs that end late are long ones, and must not weigh more because of it
	for i, r := range runs {
		at = later(at, r.at)
		r.log = m.neutralLog(r)
		neutral[i] = r
		sum += r.log
	}
	mean := sum / float64(len(runs))
	for _, r := range neutral {
		squares += (r.log - mean) * (r.log - mean)
	}
	slices.SortStableFunc(neutral, func(a, b stepRun) int { return cmp.Compare(a.log, b.log) })
	slices.SortStableFunc(runs, func(a, b stepRun) int { return cmp.Compare(a.worker, b.worker) })
	for len(runs) > 0 {
		n, total := 0, 0.0
		worker := runs[0].worker
		for n < len(runs) && runs[n].worker == worker {
			total += runs[n].log
			n++
		}
		runs = runs[n:]
		if median, others := medianOfOthers(neutral, worker, n); others > 0 {
			m.workers.observeSibling(worker, clamp(total/float64(n)-median, maxDifference), n, others, at)
		}
	}
	m.work.observe(w, mean, squares/float64(len(neutral)), weight)
}

// neutralLog returns the log of the time that a run would have taken on a neutral worker.
func (m *Model) neutralLog(r stepRun) float64 {
	if !m.workers.uneven {
		return r.log
	}
	return r.log - m.workers.relative(r.worker)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// medianOfOthers returns the median of the runs of other workers, which are in order, and their number. own is the number of the worker's runs.
func medianOfOthers(sorted []stepRun, worker string, own int) (median float64, others int) {
	others = len(sorted) - own
	position := 0
	for _, r := range sorted {
		if r.worker == worker {
			continue
		}
		if position == (others-1)/2 {
			median += r.log / 2
		}
		if position == others/2 {
			return median + r.log/2, others
		}
		position++
	}
	return 0, 0
}

// comparisonScale returns the spread of the difference of a worker's mean from the median of the others' runs, in units of the spread of
// a run.
func comparisonScale(own, others int) float64 {
	return math.Sqrt(1/float64(own) + medianExcess/float64(others))
}
