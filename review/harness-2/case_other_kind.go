package main

import (
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
)

// playOtherKind lets the store be silent for 4 s. Meanwhile the first step of a job ends, so that the start of its second step, which
// requires kind x, waits for the store; and the minion of kind x crashes and starts again at the same address as one of kind a with
// less room. When the store answers again, the second step must not start there.
func playOtherKind(w *world, trouble bool) ([]string, error) {
	w.queue("plans", 1, 3)
	if _, err := w.addMinions(kindA, 7); err != nil {
		return nil, err
	}
	special, err := w.addMinions(kindX, 1)
	if err != nil {
		return nil, err
	}
	if err := w.launch(3); err != nil {
		return nil, err
	}
	first := phase{Count: 1, CPU: 4000, MemMB: 4096, GPU: 1, EstimateMS: 3000, Requires: kindA}
	second := phase{Count: 2, CPU: 12000, MemMB: 30000, GPU: 2, EstimateMS: 2500, After: []int{0}, Requires: kindX}
	if err := w.warmUp("plans", second0(second)); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	id, body := w.newJob(first, second)
	if err := w.submit("plans", id, body); err != nil {
		return nil, err
	}
	if !waitFor(10*time.Second, func() bool { return w.fleet.runsOf(id) == 1 }) {
		return nil, fmt.Errorf("%w: the first step does not start", errCannotRun)
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		w.rec.note("the store is silent")
		w.store.SetFaults(store.Faults{Silent: true})
	}
	time.Sleep(1200 * time.Millisecond) // the first step ends
	if trouble {
		special[0].crash()
		time.Sleep(time.Second)
		special[0].restart(kindA, smallMinion)
		time.Sleep(1500 * time.Millisecond)
		w.rec.note("the store answers again")
		w.store.SetFaults(store.Faults{})
	}
	time.Sleep(8 * time.Second)
	w.rec.note("job %s: %s", id, w.state(w.instances[0], "plans", id))
	return w.fleet.violations(), nil
}

// second0 returns a step that waits for no other.
func second0(p phase) phase {
	p.After = nil
	return p
}
