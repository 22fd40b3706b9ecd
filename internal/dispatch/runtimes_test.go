package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against ranks and reservations that rely on estimates several times off. If the log of the estimates' error has a
// standard deviation of 0.8, predictions must halve that error once thirty tasks have ended.
func TestPredictionsAreBetterThanPoorEstimates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	task := func() (estimate, ran time.Duration) {
		ran = time.Duration(float64(6*time.Second) * math.Exp(0.25*random.NormFloat64()))
		return time.Duration(float64(ran) * math.Exp(0.8*random.NormFloat64())), ran
	}
	logError := func(guess, ran time.Duration) float64 { return math.Abs(math.Log(float64(guess) / float64(ran))) }
	var r runTimeModel
	for range 30 {
		r.observe(task())
	}
	ofEstimates, ofPredictions := 0.0, 0.0
	for range 200 {
		estimate, ran := task()
		ofEstimates += logError(estimate, ran)
		ofPredictions += logError(r.predict(estimate), ran)
	}
	assert.Assert(t, ofPredictions < ofEstimates/2, "%.1f against %.1f", ofPredictions, ofEstimates)
}

// Guards against pulling good estimates towards the queue's mean: tasks of very different lengths must be told apart.
func TestPredictionsFollowGoodEstimates(t *testing.T) {
	var r runTimeModel
	for i := range 40 {
		ran := time.Duration(1+i%10) * time.Second
		r.observe(ran, ran)
	}
	for _, estimate := range []time.Duration{time.Second, 10 * time.Second} {
		got := r.predict(estimate)
		assert.Assert(t, got > estimate*8/10 && got < estimate*12/10, "%v for %v", got, estimate)
	}
}

// Guards against bad predictions for a queue without observations, for a task without an estimate, and after a single
// stuck task.
func TestPredictionsWithoutObservationsOrEstimate(t *testing.T) {
	var none *runTimeModel
	assert.Equal(t, none.predict(3*time.Second), 3*time.Second)
	assert.Equal(t, none.predict(0), defaultRunTime)
	var r runTimeModel
	for range 20 {
		r.observe(2*time.Second, 2*time.Second)
	}
	r.observe(2*time.Second, time.Hour)
	assert.Assert(t, r.predict(2*time.Second) < 3*time.Second)
	assert.Assert(t, r.predict(0) < 3*time.Second)
}
