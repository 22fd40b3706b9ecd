package forecast

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// trained returns a generator whose model has learned from an uneven fleet.
func trained(workers int) *generator {
	g := newGenerator(1, workers, 0.6, 1, 1.6)
	for g.runs < 10*workers {
		g.step(5)
	}
	return g
}

// Guards against a takeover that forgets the workers' speeds or the run times.
func TestSummaryKeepsWhatWasLearned(t *testing.T) {
	g := trained(540)
	data := g.model.Summary(16 << 10)
	t.Logf("%d bytes for 540 workers", len(data))
	assert.Assert(t, len(data) <= 16<<10)
	before := g.rootMeanSquareError()
	w, _ := g.work(5)
	predicted := g.model.Predict(w)
	restored := New()
	assert.NilError(t, restored.Restore(data))
	g.model = restored
	assert.Assert(t, restored.Uneven())
	assert.Equal(t, len(restored.workers.order), 540)
	t.Logf("error %.3f, after restoring %.3f", before, g.rootMeanSquareError())
	assert.Assert(t, g.rootMeanSquareError() < before+0.03)
	assert.Assert(t, math.Abs(logSeconds(restored.Predict(w).Median)-logSeconds(predicted.Median)) < 0.01)
	assert.Equal(t, restored.Predict(w).Basis, predicted.Basis)
}

// Guards against a record that the log refuses, and against room that goes to workers of which little is known.
func TestSummaryFitsAndKeepsTheBestKnownWorkers(t *testing.T) {
	g := trained(100)
	g.model.ObserveProgress("hardly known", 1, g.now)
	for _, size := range []int{-1, 0, 10, 100, 500, 1000, 5000, 16 << 10} {
		data := g.model.Summary(size)
		assert.Assert(t, len(data) <= max(size, 0), "%d bytes of %d", len(data), size)
		if data == nil {
			continue
		}
		restored := New()
		assert.NilError(t, restored.Restore(data))
		least := math.Inf(1)
		for _, w := range restored.workers.order {
			least = min(least, w.weight)
		}
		better := 0
		for _, w := range g.model.workers.order {
			if w.weight > least+0.1 {
				better++
			}
		}
		assert.Assert(t, len(restored.workers.order) >= better, "%d workers kept, %d are better known", len(restored.workers.order), better)
	}
	assert.DeepEqual(t, g.model.Summary(3000), g.model.Summary(3000))
}

// Guards against a summary that Restore refuses because the tasks of some steps differ by a large factor.
func TestSummaryOfUnlikeTasksIsReadable(t *testing.T) {
	m, now := New(), time.Unix(1e9, 0)
	w := Work{Queue: "q", Customer: "c", Width: 2, Estimate: time.Second}
	for range 300 {
		now = now.Add(time.Second)
		m.ObserveStep(w, []Run{{Worker: "w1", Ran: 200 * time.Millisecond, At: now}, {Worker: "w2", Ran: 100 * time.Second, At: now}})
	}
	p := m.Predict(w)
	assert.Assert(t, p.Median > 0 && p.Spread < 10, "%v", p)
	assert.NilError(t, New().Restore(m.Summary(16<<10)))
}

// Guards against an unreadable summary that spoils or ends a scheduler.
func TestUnreadableSummaryLeavesTheModelUnchanged(t *testing.T) {
	m := trained(20).model
	before := m.Summary(16 << 10)
	bad := summary{Version: summaryVersion, NoiseWeight: 1, Workers: []workerSummary{{Name: "w", Mean: 1 << 40}}}
	other := summary{Version: summaryVersion + 1, NoiseWeight: 1}
	for i, data := range [][]byte{nil, {}, {0xc0}, before[:len(before)/2], append([]byte{0x91}, before...), encode(bad), encode(other), make([]byte, maxSummary+1)} {
		assert.Assert(t, m.Restore(data) != nil, fmt.Sprint(i))
		assert.DeepEqual(t, m.Summary(16<<10), before)
	}
}

// Guards against a summary that makes a model panic, or state numbers that are not finite, later on.
func FuzzRestore(f *testing.F) {
	g := trained(20)
	f.Add(g.model.Summary(2000))
	f.Add(encode(summary{Version: summaryVersion, NoiseWeight: 1, Queues: []queueSummary{{Name: "q5", Sums: [7]float32{5, 1, 1, 1, 1, 1, 1}}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		if m.Restore(data) != nil {
			return
		}
		g := &generator{random: trained(2).random, model: m, now: trained(2).now, speeds: []float64{1, 1}, noise: 0.3}
		for range 10 {
			g.step(5)
			w, _ := g.work(5)
			p := m.Predict(w)
			assert.Assert(t, p.Median > 0 && p.Spread > 0 && p.Spread < 10, "%v", p)
			m.workers.uneven = true
			s := m.Slowdown(workerName(1))
			assert.Assert(t, s.Factor > 0.01 && s.Factor < 100 && s.Spread >= 0, "%v", s)
		}
		again := m.Summary(len(data) + 1000)
		assert.NilError(t, New().Restore(again))
	})
}
