package forecast

import (
	"math"
	"time"
)

// Parameters of the test for unevenness.
//
// Runs on one worker that are all longer than their siblings, or all shorter, give products of their differences that are positive on
// average; on equal workers the products have the mean zero. The statistic sums these products by worker, in units of the standard deviation
// that noise gives them, and divides by the root of the number of workers. On equal workers a worker's sum is at most distributed as that of a
// centred chi-square variable with one degree of freedom, and a sum of these exceeds testSigmas+testSmall/sqrt(workers) with a probability of
// about 3e-6 or less, for 2 to 700 workers. Each worker's share is cut, so that a few workers in a slow period do not suffice.
const (
	testInterval = 32              // observations from one test to the next
	testDecay    = 0.95            // weight that a worker's earlier differences keep when a new one of full weight comes
	testBurst    = 0.1             // weight of a difference at the same time as the one before: a slow period affects both
	testTime     = 2 * time.Second // time from the one before on which a difference has its full weight
	testCut      = 0.75            // a difference counts at most as this one
	testShareCut = 5.0             // a worker's sum counts at most as this one
	testSigmas   = 4.3
	testSmall    = 14.0
	testEnough   = 1.0 / 3 // pairs of runs per worker without which an uneven fleet stays uneven

	// The fleet must also differ by enough to matter: standard deviations of the workers' log slowdowns.
	testProductCut = 0.25 // the mean product of a worker's differences counts at most as this one
	unevenAbove    = 0.10
	evenBelow      = 0.06
)

// testSums are decaying sums over the comparisons of a worker's runs with their siblings. A comparison has a difference d, a scale, which is its
// noise in units of that of a run, and a weight b.
type testSums struct {
	slopes, slopes2           float64   // of b/scale, and of its square
	differences, differences2 float64   // of b*d/scale, and of its square
	weights2, weights4        float64   // of b squared, and of b to the fourth
	at                        time.Time // latest comparison
}

func (t *testSums) add(difference, scale float64, now time.Time) {
	weight := spacedWeight(t.at, now, testBurst, testTime)
	t.at = later(t.at, now)
	decay := math.Pow(testDecay, weight)
	decay2 := decay * decay
	decay4 := decay2 * decay2
	slope, weight2 := weight/scale, weight*weight
	scaled := slope * difference
	t.slopes = decay*t.slopes + slope
	t.slopes2 = decay2*t.slopes2 + slope*slope
	t.differences = decay*t.differences + scaled
	t.differences2 = decay2*t.differences2 + scaled*scaled
	t.weights2 = decay2*t.weights2 + weight2
	t.weights4 = decay4*t.weights4 + weight2*weight2
}

// pairs returns the weight of the pairs of different comparisons, the sum of the products of their differences, and the standard deviation of
// that sum on equal workers, in units of the variance of a run.
func (t *testSums) pairs() (weight, products, deviation float64) {
	return (t.slopes*t.slopes - t.slopes2) / 2, (t.differences*t.differences - t.differences2) / 2,
		math.Sqrt(max(t.weights2*t.weights2-t.weights4, 0) / 2)
}

// statistic returns the test's statistic, the standard deviation of the workers' log slowdowns that it suggests, the number of
// workers with at least two runs and the weight of all pairs of runs.
func (m *workerModel) statistic() (z, deviation, workers, pairs float64) {
	noise := m.siblingNoise()
	products := 0.0
	for _, w := range m.order {
		weight, product, scale := w.test.pairs()
		if scale < 0.05 {
			continue // a single run
		}
		workers++
		pairs += weight
		z += min(product/(scale*noise*noise), testShareCut)
		products += clamp(product, weight*testProductCut)
	}
	if workers == 0 {
		return 0, 0, 0, 0
	}
	return z / math.Sqrt(workers), math.Sqrt(max(products/pairs, 0)), workers, pairs
}

// testUnevenness updates uneven. To end unevenness takes clearly less of a difference than to begin it.
func (m *workerModel) testUnevenness() {
	m.untested = 0
	z, deviation, workers, pairs := m.statistic()
	if workers == 0 {
		return
	}
	threshold := testSigmas + testSmall/math.Sqrt(workers)
	switch {
	case !m.uneven:
		m.uneven = z > threshold && deviation > unevenAbove
	case pairs > testEnough*float64(len(m.order)) && workers > float64(len(m.order))/2:
		m.uneven = z > threshold/3 && deviation > evenBelow
	}
}
