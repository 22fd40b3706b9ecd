package forecast

import (
	"math"
	"time"
)

// Parameters of the workers' slowdowns. All deviations and spreads are in units of the natural log.
const (
	gridSize     = 25
	minSlowdown  = 0.4
	maxSlowdown  = 4.0
	robustDegree = 4.0 // degrees of freedom of the noise: a run far off its expectation says little about its worker

	// Evidence decays with each observation, so that at most about seven count and a worker that changes is relearned within about five.
	evidenceDecay    = 0.87
	evidenceHalfLife = 10 * time.Minute // and with time
	burstWeight      = 0.4              // weight of an observation at the same time as the one before
	burstTime        = 2 * time.Second  // time from the one before on which an observation has its full weight
	gangWeight       = 0.7              // weight of a gang's run: members' slowdowns are taken as independent, which they are not given the run
	progressWeight   = 0.3              // weight of a progress report at most
	progressRate     = 0.3              // weight of all progress reports of a worker in a second: several reports concern one run
	progressNoise    = 0.35             // spread of a progress report: progress is not quite proportional to time
	maxEvidenceNoise = 1.5              // a prediction with more spread than this is no evidence

	basePriorWeight = 20.0 // weight of the prior before anything is known of the fleet, in workers
	basePriorSpread = 0.5
	refreshed       = 2    // other workers whose posterior is updated with each observation, to follow the prior
	maxWorkers      = 2048 // workers that are kept, about 600 bytes each

	noisePrior       = 0.25 // expected spread of the tasks of a step on equal workers
	noisePriorWeight = 20.0
	noiseDecay       = 0.995
	minNoise         = 0.1
	maxNoise         = 0.5
)

var (
	grid      [gridSize]float64 // log slowdowns
	basePrior [gridSize]float64
)

func init() {
	total := 0.0
	for k := range grid {
		grid[k] = math.Log(minSlowdown) + float64(k)*math.Log(maxSlowdown/minSlowdown)/(gridSize-1)
		basePrior[k] = math.Exp(-grid[k] * grid[k] / (2 * basePriorSpread * basePriorSpread))
		total += basePrior[k]
	}
	for k := range basePrior {
		basePrior[k] /= total
	}
}

// workerState is what is known about one worker.
type workerState struct {
	name      string
	position  int               // in workerModel.order
	evidence  [gridSize]float64 // decaying log likelihood of the observations by slowdown
	posterior [gridSize]float64
	mean      float64 // of the log slowdown under posterior
	spread    float64
	weight    float64   // decaying number of observations
	at        time.Time // latest observation
	progress  float64   // weight that progress reports may have at progressAt
	reported  time.Time // latest progress report
	test      testSums
}

// workerModel learns the slowdown of workers: the run times on a worker over those on a neutral one. For each worker it has a posterior over a
// grid of slowdowns. The prior is the mean of all workers' posteriors (empirical Bayes).
type workerModel struct {
	workers *lru[string, *workerState]
	order   []*workerState
	next    int               // position in order of the worker to update next
	sum     [gridSize]float64 // of all workers' posteriors
	sumMean float64           // of all workers' means
	prior   [gridSize]float64
	logs    [gridSize]float64 // of prior
	unknown workerState       // a worker without observations

	noise, noiseWeight float64 // decaying sum of the squares of the noise of runs compared with siblings, and its weight

	uneven   bool
	untested int // observations since unevenness was last tested
}

func newWorkerModel() workerModel {
	m := workerModel{workers: newLRU[string, *workerState](maxWorkers), noise: noisePrior * noisePrior * noisePriorWeight, noiseWeight: noisePriorWeight}
	m.updatePrior()
	return m
}

// centre returns the mean log slowdown of the fleet, which is that of a neutral worker.
func (m *workerModel) centre() float64 {
	return m.sumMean / max(float64(len(m.order)), 1)
}

// slowdown returns the slowdown of a worker relative to the fleet.
func (m *workerModel) slowdown(name string) Slowdown {
	w := m.known(name)
	if w.weight == 0 && len(m.order) == 0 {
		return Slowdown{Factor: 1, Spread: w.spread}
	}
	return Slowdown{Factor: math.Exp(w.mean - m.centre()), Spread: w.spread, Weight: w.weight}
}

// known returns the state of a worker; that of a worker without observations is shared.
func (m *workerModel) known(name string) *workerState {
	if w := m.workers.get(name); w != nil {
		return w
	}
	return &m.unknown
}

// use returns the state of a worker that is observed, and creates it if necessary.
func (m *workerModel) use(name string) *workerState {
	if len(m.order) >= maxWorkers && m.workers.get(name) == nil {
		m.forget(m.workers.oldest())
	}
	return m.workers.use(name, func() *workerState {
		w := &workerState{name: name, position: len(m.order)}
		m.order = append(m.order, w)
		m.add(w, 1)
		m.update(w)
		return w
	})
}

// forget drops what is known about a worker.
func (m *workerModel) forget(name string) {
	w := m.workers.get(name)
	if w == nil {
		return
	}
	m.workers.remove(name)
	m.add(w, -1)
	last := m.order[len(m.order)-1]
	m.order[w.position], last.position = last, w.position
	m.order[len(m.order)-1] = nil
	m.order = m.order[:len(m.order)-1]
	if len(m.order) == 0 {
		m.sum, m.sumMean = [gridSize]float64{}, 0 // no rounding errors remain
	}
}

// add adds a worker's posterior to the sums over the fleet, or removes it if sign is -1.
func (m *workerModel) add(w *workerState, sign float64) {
	for k := range m.sum {
		m.sum[k] += sign * w.posterior[k]
	}
	m.sumMean += sign * w.mean
}

// updatePrior sets the prior from the sum of the workers' posteriors, slightly smoothed so that it does not contract to single points.
func (m *workerModel) updatePrior() {
	total := 0.0
	for k := range m.prior {
		below, above := m.sum[max(k-1, 0)], m.sum[min(k+1, gridSize-1)]
		m.prior[k] = max(0.25*below+0.5*m.sum[k]+0.25*above, 0) + basePriorWeight*basePrior[k]
		total += m.prior[k]
	}
	for k := range m.prior {
		m.prior[k] /= total
		m.logs[k] = math.Log(m.prior[k])
	}
	m.unknown.posterior = m.prior
	m.unknown.summarise()
}

// update sets a worker's posterior from the prior and its evidence.
func (m *workerModel) update(w *workerState) {
	m.add(w, -1)
	highest := math.Inf(-1)
	for k := range w.posterior {
		w.posterior[k] = m.logs[k] + w.evidence[k]
		highest = max(highest, w.posterior[k])
	}
	total := 0.0
	for k := range w.posterior {
		w.posterior[k] = math.Exp(w.posterior[k] - highest)
		total += w.posterior[k]
	}
	for k := range w.posterior {
		w.posterior[k] /= total
	}
	w.summarise()
	m.add(w, 1)
}

// summarise sets mean and spread from the posterior.
func (w *workerState) summarise() {
	w.mean, w.spread = moments(&w.posterior)
}

// moments returns the mean and the standard deviation of a distribution over the grid.
func moments(p *[gridSize]float64) (mean, spread float64) {
	squares := 0.0
	for k, q := range p {
		mean += q * grid[k]
		squares += q * grid[k] * grid[k]
	}
	return mean, math.Sqrt(max(squares-mean*mean, 0))
}

// updateOthers updates the posteriors of some workers in turn, so that all follow the prior.
func (m *workerModel) updateOthers() {
	m.updatePrior()
	for range min(refreshed, len(m.order)) {
		m.next = (m.next + 1) % len(m.order)
		m.update(m.order[m.next])
	}
}

// spacedWeight returns the weight of an observation, which rises from least to 1 with the time since the one before: what slows a worker for a
// moment slows all its runs.
func spacedWeight(before, now time.Time, least float64, full time.Duration) float64 {
	if before.IsZero() {
		return 1
	}
	return least + (1-least)*min(max(now.Sub(before), 0).Seconds()/full.Seconds(), 1)
}

// burst returns the weight of an observation.
func (w *workerState) burst(now time.Time) float64 {
	return spacedWeight(w.at, now, burstWeight, burstTime)
}

// weaken lets a worker's evidence decay for a new observation of the given weight.
func (w *workerState) weaken(weight float64, now time.Time) {
	factor := math.Pow(evidenceDecay, weight)
	if elapsed := now.Sub(w.at); !w.at.IsZero() && elapsed > 0 {
		factor *= math.Exp2(-elapsed.Seconds() / evidenceHalfLife.Seconds())
	}
	for k := range w.evidence {
		w.evidence[k] *= factor
	}
	w.weight *= factor
	w.at = later(w.at, now)
}

// observe adds an observation of the log slowdown of a worker with the given noise and weight. information is what it adds to the number of
// observations that is stated for the worker.
func (m *workerModel) observe(w *workerState, observed, noise, weight, information float64, now time.Time) {
	weight *= w.burst(now)
	w.weaken(weight, now)
	w.weight += weight * information
	observed += m.centre()
	for k := range w.evidence {
		w.evidence[k] += weight * logLikelihood(observed-grid[k], noise)
	}
	m.update(w)
	m.updateOthers()
}

// logLikelihood returns the log of the density of a deviation, up to a constant. Its tails are heavy, see robustDegree.
func logLikelihood(deviation, noise float64) float64 {
	return -(robustDegree + 1) / 2 * math.Log1p(deviation*deviation/(robustDegree*noise*noise))
}

// observeRun adds a run that took the given log difference longer than its prediction, which has that spread.
func (m *workerModel) observeRun(name string, difference, spread float64, now time.Time) {
	if spread <= maxEvidenceNoise {
		m.observe(m.use(name), difference, spread, 1, m.information(spread), now)
	}
}

// observeSibling adds the mean of a worker's runs of a step, which took the given log difference longer than the median of the others' runs
// would on a neutral worker.
func (m *workerModel) observeSibling(name string, difference float64, own, others int, now time.Time) {
	w := m.use(name)
	scale := comparisonScale(own, others)
	deviation := clamp(difference-(w.mean-m.centre()), testCut) / scale
	m.noise = noiseDecay*m.noise + deviation*deviation
	m.noiseWeight = noiseDecay*m.noiseWeight + 1
	w.test.add(clamp(difference, testCut), scale, now)
	m.observe(w, difference, scale*m.siblingNoise(), 1, 1, now)
	m.untested++
	if m.untested >= testInterval {
		m.testUnevenness()
	}
}

// information returns how much an observation with the given noise says, compared with one of siblings.
func (m *workerModel) information(noise float64) float64 {
	return min(m.siblingNoise()*m.siblingNoise()/(noise*noise), 1)
}

// siblingNoise returns the estimated spread of the tasks of a step on equal workers.
func (m *workerModel) siblingNoise() float64 {
	return min(max(math.Sqrt(m.noise/m.noiseWeight), minNoise), maxNoise)
}

// observeProgress adds a progress report.
func (m *workerModel) observeProgress(name string, relative float64, now time.Time) {
	if !(relative > 0) || math.IsInf(relative, 1) {
		return
	}
	w := m.use(name)
	if w.reported.IsZero() {
		w.progress = progressWeight
	} else {
		w.progress = min(w.progress+progressRate*max(now.Sub(w.reported), 0).Seconds(), progressWeight)
	}
	weight := w.progress
	w.progress = 0
	w.reported = later(w.reported, now)
	if weight < progressWeight/10 {
		return
	}
	m.observe(w, clamp(math.Log(relative), math.Log(maxSlowdown/minSlowdown)), progressNoise, weight, 1, now)
}
