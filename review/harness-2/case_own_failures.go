package main

import "time"

// playOwnFailures hands in nothing but gangs, each of which takes four of the nine minions. One task in twenty fails by its own fault; no
// minion, link or process is disturbed. From finishTime after the end of the traffic on, none of the last ten jobs may have nothing
// running for gapTime beside room for it.
func playOwnFailures(w *world, trouble bool) ([]string, error) {
	const minions = 9
	w.queue("plans", 1, 3)
	if _, err := w.addMinions(kindA, minions); err != nil {
		return nil, err
	}
	if err := w.launch(3); err != nil {
		return nil, err
	}
	gang := phase{Count: 8, CPU: 15000, MemMB: 31000, GPU: 4, EstimateMS: 600, Gang: true}
	if err := w.warmUp("plans", gang); err != nil {
		return nil, err
	}
	if trouble {
		w.failShare = 20
	}
	var ids []string
	for end := time.Now().Add(65 * time.Second); time.Now().Before(end); time.Sleep(450 * time.Millisecond) {
		id, body := w.newJob(gang)
		ids = append(ids, id)
		if err := w.submit("plans", id, body); err != nil {
			return nil, err
		}
	}
	w.rec.note("end of the traffic")
	time.Sleep(finishTime)
	w.rec.note("the jobs are asked for")
	return w.judgeGaps("plans", ids[max(len(ids)-10, 0):], 18*time.Second), nil
}
