package dispatch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/forecast"
)

// alikeSpeeds is a speedSource for which all workers are alike, as before there was a model.
type alikeSpeeds struct{}

func (alikeSpeeds) Uneven() bool                      { return false }
func (alikeSpeeds) Slowdown(string) forecast.Slowdown { return forecast.Slowdown{Factor: 1} }

// knownSpeeds is a speedSource that knows the slowdown of each worker.
type knownSpeeds map[string]float64

func (knownSpeeds) Uneven() bool { return true }
func (k knownSpeeds) Slowdown(worker string) forecast.Slowdown {
	if f := k[worker]; f > 0 {
		return forecast.Slowdown{Factor: f}
	}
	return forecast.Slowdown{Factor: 1}
}

// unevenDay returns a day with the kinds of work of the customer sokotills, on workers of uneven speed. A load of 1 asks for what 96 neutral
// workers have.
func unevenDay(load float64, slowdowns []float64) *simDay {
	sizes := []int64{1, 2, 4, 8}
	return &simDay{
		workers: 96, workersPerRack: 8, dataCentres: 3, memoryMB: 262_144, length: 60 * time.Second, customers: 4, guaranteed: 12,
		slowdowns: slowdowns,
		kinds: []simKind{
			{
				name: "urgent gangs", priority: 0, perSecond: 2.3 * load, width: 5, runTime: 2100 * time.Millisecond, runSpread: 0.5, estimateOff: 0.3,
				cpu: 8_000, memoryMB: 8_000, accelerators: sizes, gang: true, sameRack: 0.5, failing: 0.01,
				stretch: 1.5, target: 250 * time.Millisecond, worth: 5, lateWorth: 1,
			},
			{
				name: "urgent tasks", priority: 0, perSecond: 2.3 * load, width: 5, runTime: 2100 * time.Millisecond, runSpread: 0.5, estimateOff: 0.3,
				cpu: 8_000, memoryMB: 8_000, accelerators: sizes, failing: 0.01,
				stretch: 1.5, target: 250 * time.Millisecond, worth: 5, lateWorth: 1,
			},
			{
				name: "middle", priority: 1, perSecond: 1.2 * load, atStart: 3, width: 13, runTime: 5800 * time.Millisecond, runSpread: 0.3, estimateOff: 0.6,
				cpu: 8_000, memoryMB: 8_000, accelerators: []int64{1, 2, 4}, gang: true, sameRack: 0.3, checkpoints: 0.4, failing: 0.005,
				stretch: 3, target: time.Second, worth: 3, lateWorth: 0.9,
			},
			{
				name: "least", priority: 2, perSecond: 0.9 * load, atStart: 3, width: 39, runTime: 8100 * time.Millisecond, runSpread: 0.3, estimateOff: 0.3,
				cpu: 8_000, memoryMB: 8_000, accelerators: []int64{1}, checkpoints: 0.4, failing: 0.01,
				stretch: 3, target: 3 * time.Second, worth: 1, lateWorth: 0.3,
			},
		},
	}
}

// Guards against urgent work that ends late since it runs on slow workers, and against a gain that other work pays for: the speeds are learned
// from the start of the day, within which the model finds the workers uneven.
func TestUrgentWorkGainsFromLearnedSpeeds(t *testing.T) {
	for _, c := range []struct {
		name      string
		slowdowns []float64
		load      float64
		seeds     uint64
		gain      float64 // least gain of the share of urgent jobs in time
		loss      float64 // largest loss of the worth that each other kind earns
	}{
		{"far apart, half use", []float64{0.6, 1, 1.6}, 0.5, 2, 0.08, 0.02},
		{"far apart, nearly full", []float64{0.6, 1, 1.6}, 0.95, 1, 0.1, 0.02},
		{"near, nearly full", []float64{0.8, 1, 1.25}, 0.95, 1, -0.01, 0.02},
	} {
		t.Run(c.name, func(t *testing.T) {
			before, after := scoresOf(t, unevenDay(c.load, c.slowdowns), alikeSpeeds{}, c.seeds), scoresOf(t, unevenDay(c.load, c.slowdowns), nil, c.seeds)
			for _, k := range unevenDay(1, nil).kinds {
				b, a := before[k.name], after[k.name]
				t.Logf("%s: of %d jobs in time %.3f before, %.3f after; of their worth %.3f before, %.3f after", k.name, b.asked, b.inTime(), a.inTime(), b.share(), a.share())
				if k.priority > 0 {
					assert.Check(t, a.share() >= b.share()-c.loss, k.name)
				}
			}
			urgentBefore, urgentAfter := before["urgent gangs"].plus(before["urgent tasks"]), after["urgent gangs"].plus(after["urgent tasks"])
			assert.Check(t, urgentAfter.inTime() >= urgentBefore.inTime()+c.gain, "%.3f before, %.3f after", urgentBefore.inTime(), urgentAfter.inTime())
		})
	}
}

// scoresOf plays a day with each of the first seeds and returns what callers got by kind. The scheduler learns speeds if source is nil.
func scoresOf(t *testing.T, d *simDay, source speedSource, seeds uint64) map[string]simScore {
	d.speeds = source
	total := map[string]simScore{}
	for seed := range seeds {
		for name, s := range d.play(t, seed).kinds {
			total[name] = total[name].plus(s)
		}
	}
	return total
}

func (s simScore) plus(o simScore) simScore {
	return simScore{s.asked + o.asked, s.onTime + o.onTime, s.late + o.late, s.owed + o.owed, s.earned + o.earned}
}

func (s simScore) inTime() float64 { return float64(s.onTime) / float64(max(s.asked, 1)) }

// Guards against decisions that change on workers that are alike: with the model fed as on any day, all starts are the same, in the same order
// and on the same workers, as without it.
func TestEvenWorkersAreUsedAsWithoutTheModel(t *testing.T) {
	for seed, day := range []func() *simDay{troubledHeavyDay, func() *simDay { return unevenDay(0.95, nil) }} {
		learned, without := day(), day()
		without.speeds = alikeSpeeds{}
		assert.DeepEqual(t, learned.play(t, uint64(seed)).started, without.play(t, uint64(seed)).started, cmpopts.EquateComparable(simStart{}))
	}
}
