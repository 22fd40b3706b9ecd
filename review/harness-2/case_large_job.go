package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the deployment for cancelling.
const (
	ackTime  = 4 * time.Second        // bounds.ack_ms
	stopTook = 400 * time.Millisecond // bounds.stop_timeout_ms
)

// playLargeJob hands in one job whose body is within limits.max_body_bytes but whose record is larger than platform.record_bytes. After
// no answer, a 502 or a 504 its client asks the other instances, as the pages say. Later another client cancels jobs that run. Their
// tasks must be gone cancelTime and stopTook after the cancelling was acknowledged or had waited for ackTime.
func playLargeJob(w *world, trouble bool) ([]string, error) {
	w.queue("quotes", 0, 1.5)
	if _, err := w.addMinions(kindA, 6); err != nil {
		return nil, err
	}
	if err := w.launch(3); err != nil {
		return nil, err
	}
	small := phase{Count: 1, CPU: 4000, MemMB: 4096, GPU: 1, EstimateMS: 1000}
	if err := w.warmUp("quotes", small); err != nil {
		return nil, err
	}
	var running []string
	for range 3 {
		id, body := w.newJob(phase{Count: 1, CPU: 4000, MemMB: 4096, GPU: 1, EstimateMS: 100_000})
		running = append(running, id)
		if err := w.submit("quotes", id, body); err != nil {
			return nil, err
		}
	}
	if trouble {
		if err := w.handInLarge(); err != nil {
			return nil, err
		}
	}
	time.Sleep(10 * time.Second)

	broken := w.cancelAll(running)
	served := 0
	for range 5 {
		id, body := w.newJob(small)
		for attempt := range 4 {
			if w.post(w.instances[attempt%3], "quotes", id, body) == http.StatusOK {
				served++
				break
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.mu.Lock()
	w.rec.note("%d of 5 further jobs accepted; the store refused %d appends", served, w.refused)
	w.mu.Unlock()
	if served == 0 {
		broken = append(broken, "FAULT: no instance accepts a job, though the store and all processes run")
	}
	return broken, nil
}

// handInLarge hands in the large job at one instance after the other until it is answered otherwise than by 504.
func (w *world) handInLarge() error {
	id, _ := w.newJob(phase{Count: 1})
	label := strings.Repeat("x", maxBodyBytes-72)
	body, err := json.Marshal(map[string]any{"spec": "(text)", "phases": []phase{{Count: 1, GPU: 1, Requires: label}}})
	if err != nil || len(body) > maxBodyBytes {
		return fmt.Errorf("%w: the body has %d bytes", errCannotRun, len(body))
	}
	w.rec.note("a body of %d bytes; limits.max_body_bytes is %d", len(body), maxBodyBytes)
	for _, n := range w.instances {
		status := w.post(n, "quotes", id, body)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return nil
		}
	}
	return nil
}

// cancelAll cancels jobs, repeating each call for as long as it is not acknowledged, and returns the jobs that run on.
func (w *world) cancelAll(ids []string) []string {
	begun := time.Now()
	acknowledged := map[string]bool{}
	for attempt := 0; len(acknowledged) < len(ids) && time.Since(begun) < ackTime; attempt++ {
		n := w.instances[attempt%len(w.instances)]
		for _, id := range ids {
			if acknowledged[id] {
				continue
			}
			status, _ := w.call(http.MethodDelete, "http://"+n.jobs+"/quotes/"+id, nil)
			w.rec.note("DELETE /quotes/%s at %s -> %d", id, n.name, status)
			acknowledged[id] = status/100 == 2 || status == http.StatusGone
			if !acknowledged[id] {
				delete(acknowledged, id)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.rec.note("%d of %d cancellings acknowledged within %v", len(acknowledged), len(ids), ackTime)
	time.Sleep(time.Until(begun.Add(ackTime + cancelTime + stopTook + time.Second)))
	var broken []string
	for _, id := range ids {
		if n := w.fleet.runsOf(id); n > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED: %d task of job %s runs on %.1f s after its cancelling was sent", n, id, time.Since(begun).Seconds()))
		}
	}
	return broken
}
