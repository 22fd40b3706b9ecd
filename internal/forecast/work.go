package forecast

import (
	"math"
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
	estimateSpread   = 0.9                   // spread of a prediction that rests on the customer's estimate alone
	unknownSpread    = 1.2                   // spread of a prediction that rests on nothing
)

// regression predicts the log of run times from that of estimates. Estimates may be far off: where they say little,
// predictions are near the usual run time.
type regression struct {
	// Decaying sums over observations. X is the log of the estimate and Y that of the run time, both in seconds.
	weight, sumX, sumY, sumXX, sumXY float64
	squares                          float64 // decaying sum of squared deviations from the prediction
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
	scatterX := r.sumXX - r.weight*meanX*meanX
	scatterXY := r.sumXY - r.weight*meanX*meanY
	slope := min(max((scatterXY+slopePrior)/(scatterX+slopePrior), 0), 1)
	fitted := meanY + slope*(x-meanX)
	trust := r.weight / (r.weight + 1)
	return trust*fitted + (1-trust)*x
}

// observe adds an observation of the log of a run time.
func (r *regression) observe(x, y float64) {
	expected := r.fit(x)
	if r.weight >= outlierMinWeight {
		y = min(max(y, expected-math.Log(outlierFactor)), expected+math.Log(outlierFactor))
	}
	r.weight = observationDecay*r.weight + 1
	r.sumX = observationDecay*r.sumX + x
	r.sumY = observationDecay*r.sumY + y
	r.sumXX = observationDecay*r.sumXX + x*x
	r.sumXY = observationDecay*r.sumXY + x*y
	r.squares = observationDecay*r.squares + (y-expected)*(y-expected)
}

// workModel predicts run times on a neutral worker.
type workModel struct {
	queues map[string]*regression
}

func newWorkModel() workModel {
	return workModel{queues: map[string]*regression{}}
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, minRunTime).Seconds())
}

func (m *workModel) predict(w Work) Prediction {
	r := m.queues[w.Queue]
	x := math.NaN()
	if w.Estimate > 0 {
		x = logSeconds(w.Estimate)
	}
	p := Prediction{Median: time.Duration(math.Exp(r.fit(x)) * float64(time.Second)), Spread: estimateSpread, Basis: BasisQueue}
	switch {
	case r != nil && r.weight > 0:
		p.Spread = math.Sqrt((r.squares + 4*estimateSpread*estimateSpread) / (r.weight + 4))
	case w.Estimate > 0:
		p.Basis = BasisEstimate
	default:
		p.Basis, p.Spread = BasisNone, unknownSpread
	}
	return p
}

// observe adds a run. slowdown is the log of the slowdown of the workers that it ran on.
func (m *workModel) observe(w Work, ran time.Duration, slowdown float64) {
	if w.Estimate <= 0 {
		return
	}
	r := m.queues[w.Queue]
	if r == nil {
		r = &regression{}
		m.queues[w.Queue] = r
	}
	r.observe(logSeconds(w.Estimate), logSeconds(ran)-slowdown)
}
