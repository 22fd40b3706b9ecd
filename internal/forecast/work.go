package forecast

import (
	"math"
	"math/bits"
	"time"
)

// Parameters of the predictions of run times. Customers' estimates may be several times too long or too short.
const (
	observationDecay = 0.98                  // weight that earlier observations keep when a new one comes, so that about 50 count
	slopePrior       = 0.5                   // weight of the prior slope 1 (run times proportional to estimates), in squared log units
	outlierFactor    = 3.0                   // an observation more than this many times off its prediction is cut to that factor
	outlierMinWeight = 5.0                   // weight of observations from which on outliers are cut
	minRunTime       = 10 * time.Millisecond // shorter estimates and run times count as this one
	defaultRunTime   = 2 * time.Second       // prediction for a task without an estimate, if the queue has no observations

	estimateSpread = 0.9  // spread of a prediction that rests on the customer's estimate alone
	unknownSpread  = 1.2  // spread of a prediction that rests on nothing
	minSpread      = 0.08 // lower bound of a spread: even the same work varies from run to run
	spreadPrior    = 3.0  // number of observations that the spread without observations counts as
	spreadCut      = 2.3  // a deviation counts at most as this one (a factor of 10) in a spread
	// maxRefinedSquare limits a squared deviation of a refinement, which is the difference of two deviations.
	maxRefinedSquare = 4 * spreadCut * spreadCut
	maxQueues        = 256  // queues that are kept
	maxRefinements   = 4096 // refinements that are kept, about 150 bytes each
	usefulFrom       = 0.97 // a refinement is used if its squared errors are below this share of those without it
)

// regression predicts the log of run times from that of estimates. Estimates may be far off: where they say little,
// predictions are near the usual run time.
type regression struct {
	// Decaying sums over observations. X is the log of the estimate and Y that of the run time, both in seconds.
	weight, sumX, sumY, sumXX, sumXY float64
	// Decaying sum of squared deviations from the prediction, and its weight.
	squares, squaresWeight float64
}

// fit returns the expected log of the run time of a task whose estimate has the log x; without an estimate x is NaN.
func (r *regression) fit(x float64) float64 {
	if r == nil || r.weight == 0 {
		if math.IsNaN(x) {
			return math.Log(defaultRunTime.Seconds())
		}
		return x
	}
	meanX, meanY := r.sumX/r.weight, r.sumY/r.weight
	if math.IsNaN(x) {
		x = meanX
	}
	scatterX := max(r.sumXX-r.weight*meanX*meanX, 0)
	scatterXY := r.sumXY - r.weight*meanX*meanY
	slope := min(max((scatterXY+slopePrior)/(scatterX+slopePrior), 0), 1)
	fitted := meanY + slope*(x-meanX)
	trust := r.weight / (r.weight + 1)
	return trust*fitted + (1-trust)*x
}

// spread returns the standard deviation of the log of run times around fit.
func (r *regression) spread(x float64) float64 {
	prior := estimateSpread
	if math.IsNaN(x) {
		prior = unknownSpread
	}
	if r == nil {
		return prior
	}
	return blendSpread(r.squares, r.squaresWeight, prior, spreadPrior)
}

// blendSpread returns a spread from a sum of squared deviations with a weight, and a spread that counts as some observations.
func blendSpread(squares, weight, prior, priorWeight float64) float64 {
	return max(math.Sqrt((squares+priorWeight*prior*prior)/(weight+priorWeight)), minSpread)
}

// observe adds a mean log of run times, with the variance of the runs around it. A weight below 1 makes it count, and older ones decay, less.
func (r *regression) observe(x, y, variance, weight float64) {
	expected := r.fit(x)
	deviation := y - expected
	if r.weight >= outlierMinWeight {
		y = expected + clamp(deviation, math.Log(outlierFactor))
	}
	decay := math.Pow(observationDecay, weight)
	r.weight = decay*r.weight + weight
	r.sumX = decay*r.sumX + weight*x
	r.sumY = decay*r.sumY + weight*y
	r.sumXX = decay*r.sumXX + weight*x*x
	r.sumXY = decay*r.sumXY + weight*x*y
	deviation = clamp(deviation, spreadCut)
	r.squares = decay*r.squares + weight*min(deviation*deviation+variance, spreadCut*spreadCut)
	r.squaresWeight = decay*r.squaresWeight + weight
}

// clamp limits the magnitude of v.
func clamp(v, limit float64) float64 { return min(max(v, -limit), limit) }

// level is how specific a refinement is.
type level uint8

const (
	levelShape    level = iota // steps of one position, width and kind in a queue
	levelCustomer              // steps of one customer and shape in a queue
	levelSeries                // one step of a repeated job
	levels
)

// levelParameters are the parameters of the refinements of one level.
var levelParameters = [levels]struct {
	shrink float64 // number of observations without a difference that a refinement starts with
	decay  float64 // weight that earlier observations keep when a new one comes
	weight float64 // weight of observations from which on a refinement is used
	// Number of observations that the spread of the next less specific level counts as.
	spreadPrior float64
	basis       Basis
}{
	levelShape:    {shrink: 4, decay: 0.97, weight: 4, spreadPrior: 3, basis: BasisQueue},
	levelCustomer: {shrink: 3, decay: 0.95, weight: 3, spreadPrior: 3, basis: BasisCustomer},
	// The occurrences of a repeated job differ less from each other than the job does from others, so few of them say much.
	levelSeries: {shrink: 0.3, decay: 0.9, weight: 1.5, spreadPrior: 1, basis: BasisSeries},
}

// refinementKey identifies the work that a refinement is about.
type refinementKey struct {
	level    level
	queue    string
	customer string
	series   string
	step     uint8 // position of the step, at most 15
	width    uint8 // number of bits of the width
	gang     bool
}

// refinement corrects the prediction of the next less specific level by the mean deviation from it.
type refinement struct {
	weight, sum float64 // decaying number of observations, and sum of their deviations from the level below
	with        float64 // decaying sum of squared errors of predictions that use the refinement
	without     float64 // and of those that do not
	compared    float64 // weight of the predictions in these two sums, which are all but the first
}

// offset returns the correction.
func (r *refinement) offset(of level) float64 {
	return r.sum / (r.weight + levelParameters[of].shrink)
}

// useful reports whether predictions with the refinement have been better so far than without.
func (r *refinement) useful(of level) bool {
	return r.weight >= levelParameters[of].weight && r.with < usefulFrom*r.without
}

// workModel predicts run times on a neutral worker.
type workModel struct {
	queues      *lru[string, *regression]
	refinements *lru[refinementKey, *refinement]
}

func newWorkModel() workModel {
	return workModel{queues: newLRU[string, *regression](maxQueues), refinements: newLRU[refinementKey, *refinement](maxRefinements)}
}

// refinementKeyOf returns the key of the refinement of a level for the work, and whether the work has that level.
func refinementKeyOf(w Work, of level) (refinementKey, bool) {
	k := refinementKey{level: of, queue: w.Queue, step: uint8(min(max(w.Step, 0), 15)), width: uint8(bits.Len(uint(max(w.Width, 0)))), gang: w.Gang}
	switch of {
	case levelCustomer:
		k.customer = w.Customer
		return k, w.Customer != ""
	case levelSeries:
		k.customer, k.series = w.Customer, w.Series
		return k, w.Series != ""
	default:
		return k, true
	}
}

// logSeconds returns the log of a time in seconds.
func logSeconds(d time.Duration) float64 { return math.Log(max(d, minRunTime).Seconds()) }

// logEstimate returns the log of the work's estimate in seconds, NaN if there is none.
func (w Work) logEstimate() float64 {
	if w.Estimate <= 0 {
		return math.NaN()
	}
	return logSeconds(w.Estimate)
}

// expect returns the expected log of the run time in seconds, its standard deviation and what they rest on.
func (m *workModel) expect(w Work) (mean, spread float64, basis Basis) {
	x := w.logEstimate()
	r := m.queues.get(w.Queue)
	mean, spread = r.fit(x), r.spread(x)
	switch {
	case r != nil && r.weight > 0:
		basis = BasisQueue
	case w.Estimate > 0:
		return mean, spread, BasisEstimate
	default:
		return mean, spread, BasisNone
	}
	for of := range levels {
		key, has := refinementKeyOf(w, of)
		if !has {
			continue
		}
		f := m.refinements.get(key)
		if f == nil || !f.useful(of) {
			continue
		}
		mean += f.offset(of)
		spread = blendSpread(f.with, f.compared, spread, levelParameters[of].spreadPrior)
		basis = levelParameters[of].basis
	}
	return mean, spread, basis
}

// observations returns the weight of the observations of a queue.
func (m *workModel) observations(queue string) float64 {
	if r := m.queues.get(queue); r != nil {
		return r.weight
	}
	return 0
}

// predict returns how long the work runs on a neutral worker.
func (m *workModel) predict(w Work) Prediction {
	mean, spread, basis := m.expect(w)
	return Prediction{Median: seconds(mean), Spread: spread, Basis: basis}
}

// seconds returns the time whose log in seconds is given.
func seconds(log float64) time.Duration { return scale(time.Second, math.Exp(log)) }

// observe adds a mean log of run times on a neutral worker, with the variance of the runs around it.
func (m *workModel) observe(w Work, y, variance, weight float64) {
	r := m.queues.use(w.Queue, func() *regression { return &regression{} })
	x := w.logEstimate()
	below := r.fit(x)
	known := r.weight >= 1
	if !math.IsNaN(x) {
		r.observe(x, y, variance, weight)
	} else if r.weight > 0 {
		r.observe(r.sumX/r.weight, y, variance, weight) // work without an estimate says how long the queue's work usually runs
	}
	if !known {
		return // deviations from a mere estimate are no property of a customer
	}
	for of := range levels {
		key, has := refinementKeyOf(w, of)
		if !has {
			continue
		}
		f := m.refinements.use(key, func() *refinement { return &refinement{} })
		useful, offset := f.useful(of), f.offset(of)
		deviation := clamp(y-below, spreadCut)
		decay := math.Pow(levelParameters[of].decay, weight)
		refined := deviation - offset
		if f.weight > 0 {
			f.with = decay*f.with + weight*min(refined*refined+variance, maxRefinedSquare)
			f.without = decay*f.without + weight*min(deviation*deviation+variance, maxRefinedSquare)
			f.compared = decay*f.compared + weight
		}
		if f.weight >= outlierMinWeight {
			deviation = offset + clamp(refined, math.Log(outlierFactor))
		}
		f.weight = decay*f.weight + weight
		f.sum = decay*f.sum + weight*deviation
		if useful {
			below += offset
		}
	}
}
