package dispatch

import (
	"testing"
	"time"

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

// simSpeeds is a speedSource that knows what the simulated workers are like.
type simSpeeds struct{ fleet func() *simFleet }

func (simSpeeds) Uneven() bool { return true }
func (s simSpeeds) Slowdown(worker string) forecast.Slowdown {
	f := s.fleet()
	f.mu.Lock()
	defer f.mu.Unlock()
	return forecast.Slowdown{Factor: f.workers[worker].slowdown}
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

func TestUnevenTrial(t *testing.T) {
	for name, slowdowns := range map[string][]float64{"far apart": {0.6, 1, 1.6}, "near": {0.8, 1, 1.25}} {
		for _, load := range []float64{0.5, 0.95} {
			for _, source := range []string{"alike", "known", "learned"} {
				total := map[string]simScore{}
				for seed := range uint64(3) {
					d := unevenDay(load, slowdowns)
					var fleet *simFleet
					switch source {
					case "alike":
						d.speeds = alikeSpeeds{}
					case "known":
						d.speeds = simSpeeds{func() *simFleet { return fleet }}
					}
					d.prepared = func(r *simPlay) {
						fleet = r.fleet
						if source != "learned" {
							return
						}
						go func() {
							for i := range 80 {
								time.Sleep(time.Second)
								r.scheduler.mu.Lock()
								u := r.scheduler.uneven
								r.scheduler.mu.Unlock()
								if u {
									t.Logf("uneven from %d s on", i+1-8)
									return
								}
							}
						}()
					}
					r := d.play(t, seed)
					for k, s := range r.kinds {
						x := total[k]
						total[k] = simScore{x.asked + s.asked, x.onTime + s.onTime, x.late + s.late, x.owed + s.owed, x.earned + s.earned}
					}
				}
				for _, k := range unevenDay(1, nil).kinds {
					s := total[k.name]
					t.Logf("%-9s load %.2f %-8s %-13s asked %d, in time %.2f, late %.2f, earned %.2f", name, load, source, k.name, s.asked, float64(s.onTime)/float64(s.asked), float64(s.late)/float64(s.asked), s.share())
				}
			}
		}
	}
}
