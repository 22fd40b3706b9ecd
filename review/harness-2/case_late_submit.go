package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// patience is how long the client waits for the answer before it leaves and cancels.
const patience = 500 * time.Millisecond

// playLateSubmit cuts one of three machines off from the store for 5.5 s. A client hands a job in there, gets no answer within its
// patience, and cancels the job at another machine. Once a cancelling is answered with 2xx or 410, nothing of the job may
// start later than cancelTime after that.
func playLateSubmit(w *world, trouble bool) ([]string, error) {
	w.queue("quotes", 0, 1.5)
	if _, err := w.addMinions(kindA, 6); err != nil {
		return nil, err
	}
	if err := w.launch(3); err != nil {
		return nil, err
	}
	task := phase{Count: 3, CPU: 15000, MemMB: 31000, GPU: 1, EstimateMS: 2500}
	if err := w.warmUp("quotes", task); err != nil {
		return nil, err
	}
	holder, err := w.schedulerIndex()
	if err != nil {
		return nil, err
	}
	near, far := w.instances[(holder+1)%3], w.instances[(holder+2)%3]
	w.rec.note("%s schedules; the job goes to %s, its cancelling to %s", w.instances[holder].name, near.name, far.name)
	time.Sleep(2 * time.Second)

	if trouble {
		near.link.setCut(true)
		w.rec.note("%s is cut off from the store", near.name)
	}
	cutEnds := time.Now().Add(5500 * time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	id, body := w.newJob(task)
	status, _ := w.callWithin(patience, http.MethodPost, "http://"+near.jobs+"/quotes/"+id, body)
	w.rec.note("POST /quotes/%s at %s -> %s", id, near.name, statusText(status))
	var acknowledged time.Time
	for attempt := 0; attempt < 5 && acknowledged.IsZero(); attempt++ {
		status, _ = w.call(http.MethodDelete, "http://"+far.jobs+"/quotes/"+id, nil)
		w.rec.note("DELETE /quotes/%s at %s -> %s", id, far.name, statusText(status))
		if status/100 == 2 || status == http.StatusGone {
			acknowledged = time.Now()
		} else {
			time.Sleep(300 * time.Millisecond)
		}
	}
	if acknowledged.IsZero() {
		return nil, fmt.Errorf("%w: the cancelling is not acknowledged", errCannotRun)
	}
	time.Sleep(time.Until(cutEnds))
	if trouble {
		near.link.setCut(false)
		w.rec.note("%s reaches the store again", near.name)
	}
	time.Sleep(10 * time.Second)
	w.rec.note("GET /quotes/%s at %s -> %s", id, far.name, w.state(far, "quotes", id))
	broken := w.fleet.violations()
	for _, s := range w.fleet.startsOf(id) {
		if after := s.at.Sub(acknowledged); after > cancelTime {
			broken = append(broken, fmt.Sprintf("UNASKED: %s run %d started on %s %.1f s after the cancelling of its job was acknowledged", s.task, s.run, s.minion, after.Seconds()))
		}
	}
	return broken, nil
}

func statusText(status int) string {
	if status == 0 {
		return "no answer within the time that the client waits"
	}
	return strconv.Itoa(status)
}
