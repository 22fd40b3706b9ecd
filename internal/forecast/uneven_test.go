package forecast

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against placement that changes on a fleet whose workers are alike, because noise, wrong estimates and brief slow periods look like
// differences between workers.
func TestAlikeWorkersAreNeverUneven(t *testing.T) {
	highest := 0.0
	for _, workers := range []int{4, 12, 40, 350} {
		for seed := range uint64(12) {
			g := newGenerator(seed, workers, 1)
			for g.runs < 3000 {
				if g.random.IntN(30) == 0 {
					g.slowUntil[g.random.IntN(workers)] = g.now.Add(2 * time.Second)
				}
				g.step([]int{5, 5, 5, 39}[g.random.IntN(4)])
				assert.Assert(t, !g.model.Uneven(), "workers %d, seed %d, after %d runs", workers, seed, g.runs)
			}
			z, _, n, _ := g.model.workers.statistic()
			highest = max(highest, z/(testSigmas+testSmall/math.Sqrt(n)))
		}
	}
	t.Logf("highest share of the threshold at the end: %.2f", highest)
}

// Guards against uneven fleets that are detected late or never, and against detection that flaps.
func TestUnevenFleetsAreDetected(t *testing.T) {
	for _, test := range []struct {
		speeds []float64
		noise  float64
		within int // runs
	}{
		{[]float64{0.6, 1, 1.6}, 0.15, 400}, {[]float64{0.6, 1, 1.6}, 0.3, 500},
		{[]float64{0.8, 1, 1.25}, 0.15, 550}, {[]float64{0.8, 1, 1.25}, 0.3, 1200},
	} {
		t.Run(fmt.Sprint(test.speeds, test.noise), func(t *testing.T) {
			latest, sum := 0, 0
			for seed := range uint64(20) {
				g := newGenerator(seed, 350, test.speeds...)
				g.noise = test.noise
				assert.Assert(t, g.until(test.within), "seed %d", seed)
				latest, sum = max(latest, g.runs), sum+g.runs
				for end := g.runs + 1000; g.runs < end; {
					g.step(5)
					assert.Assert(t, g.model.Uneven(), "seed %d, after %d runs", seed, g.runs)
				}
			}
			t.Logf("detected after %d runs on average, %d at the latest", sum/20, latest)
		})
	}
}

// Guards against a small fleet whose differences are never detected.
func TestUnevennessOfASmallFleet(t *testing.T) {
	detected := 0
	for seed := range uint64(20) {
		if g := newGenerator(seed, 12, 0.6, 1, 1.6); g.until(1000) {
			detected++
		}
	}
	t.Logf("%d of 20 fleets of 12", detected)
	assert.Assert(t, detected >= 16)
}

// Guards against a fleet that stays uneven for ever after its differences have ended.
func TestUnevennessEnds(t *testing.T) {
	g := newGenerator(1, 100, 0.6, 1, 1.6)
	assert.Assert(t, g.until(1500))
	for i := range g.speeds {
		g.speeds[i] = 1
	}
	for end := g.runs + 10000; g.runs < end && g.model.Uneven(); {
		g.step(5)
	}
	assert.Assert(t, !g.model.Uneven())
	assert.Equal(t, g.model.Slowdown(workerName(1)).Factor, 1.0)
	t.Logf("even after %d runs", g.runs)
}

// Guards against a bias of the test that grows with the number of runs. When runs that ended later weighed more, long runs did, and the
// statistic had a mean of 3 on equal workers.
func TestStatisticOfAlikeWorkersIsStandardNormal(t *testing.T) {
	const fleets = 60
	for _, width := range []int{2, 5, 39} {
		sum, squares := 0.0, 0.0
		for seed := range uint64(fleets) {
			g := newGenerator(seed, 40, 1)
			for g.runs < 2000 {
				g.step(width)
			}
			z, _, _, _ := g.model.workers.statistic()
			sum, squares = sum+z, squares+z*z
		}
		mean := sum / fleets
		t.Logf("width %d: mean %.2f, mean square %.2f", width, mean, squares/fleets)
		assert.Assert(t, math.Abs(mean) < 3.5/math.Sqrt(fleets), "mean %.2f", mean)
		assert.Assert(t, squares/fleets < 1.7, "mean square %.2f", squares/fleets)
	}
}
