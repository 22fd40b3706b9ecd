package main

import (
	"fmt"
	"time"
)

// playNoAccelerators has twelve minions without accelerators in two racks. Large jobs whose data is in the first rack come at once and
// fill it for a minute; then a small job comes whose data is there too. It must not have nothing running for gapTime while the other
// rack, more than half of the service, is idle.
func playNoAccelerators(w *world, trouble bool) ([]string, error) {
	w.queue("plans", 1, 3)
	for i := range 12 {
		if _, err := w.fleet.add(fmt.Sprintf("i-a%02d", i+1), kindA, fmt.Sprintf("r-a%d", i/6), resources{CPU: 16000, MemMB: 32768}); err != nil {
			return nil, err
		}
	}
	if err := w.launch(3); err != nil {
		return nil, err
	}
	if err := w.warmUp("plans", phase{Count: 1, CPU: 4000, MemMB: 4096, EstimateMS: 1000}); err != nil {
		return nil, err
	}
	for range 6 {
		if !trouble {
			break
		}
		id, body := w.newJob(phase{Count: 1, CPU: 15000, MemMB: 4096, EstimateMS: 60_000, Affinity: "r-a0"})
		if err := w.submit("plans", id, body); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	id, body := w.newJob(phase{Count: 2, CPU: 4000, MemMB: 4096, EstimateMS: 3000, Affinity: "r-a0"})
	if err := w.submit("plans", id, body); err != nil {
		return nil, err
	}
	w.rec.note("end of the traffic")
	time.Sleep(finishTime)
	w.rec.note("the jobs are asked for")
	return w.judgeGaps("plans", []string{id}, 20*time.Second), nil
}
