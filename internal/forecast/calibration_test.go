package forecast

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// customers generates jobs whose run times depend on the customer and the series.
type customers struct {
	*generator
	customerEffect, seriesEffect float64 // spreads
	noise                        float64 // of the median of a step around its estimate, where neither applies
	medians                      map[string]float64
}

func (c *customers) effect(key string, spread float64) float64 {
	if _, known := c.medians[key]; !known {
		c.medians[key] = c.random.NormFloat64() * spread
	}
	return c.medians[key]
}

// work returns random work and the time it takes on a neutral worker.
func (c *customers) work(width int) (Work, time.Duration) {
	customer := fmt.Sprint("c", c.random.IntN(8))
	w := Work{Customer: customer, Queue: fmt.Sprint("q", width), Width: width}
	log := math.Log(2.1) + c.random.NormFloat64()*c.noise + c.effect(customer, c.customerEffect)
	if c.seriesEffect > 0 && c.random.IntN(3) == 0 {
		w.Series = fmt.Sprint("s", c.random.IntN(2))
		log = math.Log(2.1) + c.effect(customer+w.Series, c.seriesEffect)
		w.Estimate = seconds(math.Log(2.1) + c.effect(customer+w.Series+"estimate", 0.9))
		return w, seconds(log)
	}
	w.Estimate = scale(seconds(log), c.logNormal(0.9))
	return w, seconds(log)
}

// Guards against upper bounds that hold less often than they say, and against bounds that are needlessly wide.
func TestQuantilesAreCalibrated(t *testing.T) {
	quantiles := []float64{0.5, 0.8, 0.9, 0.95}
	for _, test := range []struct {
		name                         string
		speeds                       []float64
		customerEffect, seriesEffect float64
	}{
		{"alike", []float64{1}, 0, 0},
		{"uneven", []float64{0.6, 1, 1.6}, 0, 0},
		{"customers", []float64{1}, 0.7, 0},
		{"series", []float64{0.8, 1, 1.25}, 0.3, 0.7},
	} {
		t.Run(test.name, func(t *testing.T) {
			held, total := make([]int, len(quantiles)), 0
			byBasis := map[Basis][2]float64{}
			for seed := range uint64(5) {
				c := &customers{newGenerator(seed, 350, test.speeds...), test.customerEffect, test.seriesEffect, 0.6, map[string]float64{}}
				c.workOf = c.work
				c.outcome = func(p Prediction, neutral time.Duration) {
					if c.runs < 300 {
						return
					}
					total++
					for i, q := range quantiles {
						if neutral <= p.Quantile(q) {
							held[i]++
						}
					}
					sums := byBasis[p.Basis]
					byBasis[p.Basis] = [2]float64{sums[0] + 1, sums[1] + p.Spread}
				}
				for c.runs < 6000 {
					c.step([]int{1, 5, 13, 39}[c.random.IntN(4)])
				}
			}
			for i, q := range quantiles {
				share := float64(held[i]) / float64(total)
				t.Logf("bound %.2f held for %.3f of %d", q, share, total)
				assert.Assert(t, math.Abs(share-q) < 0.02+0.1*(1-q), "bound %.2f held for %.3f", q, share)
			}
			for basis, sums := range byBasis {
				t.Logf("basis %s: %.0f predictions, spread %.2f", basis, sums[0], sums[1]/sums[0])
			}
		})
	}
}

// Guards against a model that predicts worse than the regression alone on work that has nothing else to learn from.
func TestPredictionsAreNoWorseThanTheRegression(t *testing.T) {
	for _, effect := range []float64{0, 0.7} {
		learned, alone := 0.0, 0.0
		for seed := range uint64(10) {
			c := &customers{newGenerator(seed, 350, 1), effect, effect, 0.6, map[string]float64{}}
			regressions := map[string]*regression{}
			for c.runs < 4000 {
				width := []int{1, 5, 13, 39}[c.random.IntN(4)]
				w, median := c.work(width)
				r := regressions[w.Queue]
				if r == nil {
					r = &regression{}
					regressions[w.Queue] = r
				}
				if c.runs > 100 {
					learned += math.Abs(logSeconds(c.model.Predict(w).Median) - logSeconds(median))
					alone += math.Abs(r.fit(w.logEstimate()) - logSeconds(median))
				}
				c.workOf = func(int) (Work, time.Duration) { return w, median }
				c.firstRun = func(ran time.Duration) { r.observe(w.logEstimate(), logSeconds(ran), 0, 1) }
				c.step(width)
			}
		}
		t.Logf("effects %.1f: mean error over that of the regression %.3f", effect, learned/alone)
		assert.Assert(t, learned <= 1.01*alone)
	}
}
