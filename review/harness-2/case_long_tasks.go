package main

import "time"

// playLongTasks hands in jobs whose tasks run for ten minutes, or for 40 s without the disruption, on eight minions that are otherwise
// idle. From finishTime after the end of the traffic on, each job must have something running.
func playLongTasks(w *world, trouble bool) ([]string, error) {
	w.queue("plans", 1, 3)
	if _, err := w.addMinions(kindA, 8); err != nil {
		return nil, err
	}
	if err := w.launch(3); err != nil {
		return nil, err
	}
	long := phase{Count: 1, CPU: 4000, MemMB: 4096, GPU: 1, EstimateMS: 40_000}
	if trouble {
		long.EstimateMS = 600_000
	}
	if err := w.warmUp("plans", phase{Count: 1, CPU: 4000, MemMB: 4096, GPU: 1, EstimateMS: 1500}); err != nil {
		return nil, err
	}
	var ids []string
	for range 6 {
		id, body := w.newJob(long)
		ids = append(ids, id)
		if err := w.submit("plans", id, body); err != nil {
			return nil, err
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.rec.note("end of the traffic")
	time.Sleep(finishTime)
	w.rec.note("the jobs are asked for")
	return w.judgeGaps("plans", ids, 50*time.Second), nil
}
