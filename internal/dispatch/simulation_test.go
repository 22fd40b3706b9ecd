package dispatch

import (
	"testing"
	"time"
)

// heavyDay returns a day on which three kinds of work ask for more than the fleet has: small urgent gangs, long gangs and wide
// batches of single tasks, with a burst of each.
func heavyDay(workers int) *simDay {
	scale := float64(workers) / 48
	return &simDay{
		workers: workers, workersPerRack: 8, dataCentres: 3, memoryMB: 262_144, length: 40 * time.Second, customers: 4, guaranteed: int64(24 * scale),
		kinds: []simKind{
			{
				name: "plans", priority: 1, perSecond: 0.5 * scale, atStart: int(6 * scale), width: 5, runTime: 10 * time.Second, runSpread: 0.3, estimateOff: 0.4,
				cpu: 26_000, memoryMB: 60_000, accelerators: []int64{1, 2, 4, 8, 8}, gang: true, sameRack: 0.6, dataRack: 0, checkpoints: 0.45, cancelled: 0.05, failing: 0.02,
				stretch: 3, target: time.Second, worth: 3, lateWorth: 0.9,
			},
			{
				name: "checks", priority: 0, perSecond: 1.6 * scale, width: 3, runTime: 2500 * time.Millisecond, runSpread: 0.5, estimateOff: 0.9,
				cpu: 7500, memoryMB: 20_000, accelerators: []int64{1, 2, 4, 8, 8}, gang: true, sameRack: 0.8, failing: 0.02,
				stretch: 1.5, target: 250 * time.Millisecond, worth: 4, lateWorth: 0.8,
			},
			{
				name: "batches", priority: 2, perSecond: 0.55 * scale, atStart: int(6 * scale), width: 16, runTime: 8 * time.Second, runSpread: 0.3, estimateOff: 0.5,
				cpu: 5600, memoryMB: 11_000, accelerators: []int64{1}, dataRack: 0.12, checkpoints: 0.45, cancelled: 0.15, failing: 0.03,
				stretch: 3, target: 3 * time.Second, worth: 1, lateWorth: 0.3,
			},
		},
		bursts: []simBurst{{"checks", 2 * time.Second, 6 * time.Second, 2}, {"batches", 6 * time.Second, 6 * time.Second, 2.5}, {"plans", 20 * time.Second, 5 * time.Second, 2.4}},
	}
}

func TestSimulationSmoke(t *testing.T) {
	d := heavyDay(48)
	begun := time.Now()
	r := d.play(t, 1)
	t.Logf("%+v in %v", r, time.Since(begun))
}
