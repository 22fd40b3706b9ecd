package main

import (
	"fmt"
	"net/http"
	"time"
)

// Minions of the deployment, as on the sheet of the site.
var (
	wholeMinion = resources{CPU: 128000, MemMB: 262144, GPU: 8}
	smallMinion = resources{CPU: 16000, MemMB: 32768}
)

const (
	kindA = "a"
	kindX = "x"
)

// addMinions adds minions of one kind, six a rack.
func (w *world) addMinions(kind string, count int) ([]*minion, error) {
	var added []*minion
	for i := range count {
		m, err := w.fleet.add(fmt.Sprintf("i-%s%02d", kind, i+1), kind, fmt.Sprintf("r-%s%d", kind, i/6), wholeMinion)
		if err != nil {
			return nil, err
		}
		added = append(added, m)
	}
	return added, nil
}

// playQuarantine lets one minion of twelve, and some seconds later another, fail all that it starts for six seconds. They are the two
// minions of kind x. Afterwards gangs that require this kind must run again.
func playQuarantine(w *world, trouble bool) ([]string, error) {
	w.queue("plans", 1, 3)
	if _, err := w.addMinions(kindA, 10); err != nil {
		return nil, err
	}
	special, err := w.addMinions(kindX, 2)
	if err != nil {
		return nil, err
	}
	if err := w.launch(3); err != nil {
		return nil, err
	}
	gang := phase{Count: 2, CPU: 4000, MemMB: 4096, GPU: 2, EstimateMS: 2000, Gang: true, Requires: kindX}
	single := phase{Count: 2, CPU: 4000, MemMB: 4096, GPU: 1, EstimateMS: 2500}
	if err := w.warmUp("plans", gang); err != nil {
		return nil, err
	}
	var gangs, singles []string
	hand := func(p phase, ids *[]string) error {
		id, body := w.newJob(p)
		*ids = append(*ids, id)
		return w.submit("plans", id, body)
	}
	for _, m := range special {
		if trouble {
			m.setFails(true)
		}
		faultEnds := time.Now().Add(6 * time.Second)
		for time.Now().Before(faultEnds) {
			if len(gangs) < 8 {
				if err := hand(gang, &gangs); err != nil {
					return nil, err
				}
			}
			if err := hand(single, &singles); err != nil {
				return nil, err
			}
			time.Sleep(700 * time.Millisecond)
		}
		if trouble {
			m.setFails(false)
		}
	}
	// Ten calm seconds of traffic, then the end of the traffic.
	for range 10 {
		if err := hand(single, &singles); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
	}
	if err := hand(gang, &gangs); err != nil {
		return nil, err
	}
	w.rec.note("end of the traffic")
	time.Sleep(finishTime)
	w.rec.note("the jobs are asked for")
	return w.judgeGaps("plans", append(gangs, singles...), 20*time.Second), nil
}

// judgeGaps watches jobs after finishTime and returns those that break LOST.
func (w *world) judgeGaps(queue string, ids []string, watch time.Duration) []string {
	gaps := w.longestGap(watch, queue, ids)
	var broken []string
	for _, id := range ids {
		state := w.state(w.instances[0], queue, id)
		w.rec.note("job %s: %s, %d starts, longest time without a run while there was room %.1f s", id, state, len(w.fleet.startsOf(id)), gaps[id].Seconds())
		if gaps[id] > gapTime {
			broken = append(broken, fmt.Sprintf("LOST: job %s had nothing running for %.1f s, though its turn had come and there was room; it is shown as %s", id, gaps[id].Seconds(), state))
		}
		if state == fmt.Sprint(http.StatusGone) {
			broken = append(broken, fmt.Sprintf("LOST: job %s isn't known", id))
		}
	}
	return append(broken, w.fleet.violations()...)
}
