package taskworker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Times of the advice service. A query for a few dozen workers takes less than 0.1 s, so that the service keeps up with the load of package soak. Tickets expire soon, so that faults often come between a ticket and its use.
const (
	decisionTime   = 40 * time.Millisecond
	perWorkerTime  = time.Millisecond
	ticketValidity = 1500 * time.Millisecond
)

// ticket allows a worker to start tasks of a step.
type ticket struct {
	step    string
	worker  *worker
	expires time.Time
}

func (t ticket) allows(task string, w *worker, now time.Time) bool {
	return t.worker == w && strings.HasPrefix(task, t.step+".") && now.Before(t.expires)
}

// Advises reports whether the advice service allows a worker for a step, whose name begins with that of its job.
func Advises(step, worker string) bool { return worker[len(worker)-1]%2 == step[0]%2 }

// advise approves every other worker for a step, at least one, and handles one query at a time.
func (f *Fleet) advise(out http.ResponseWriter, in *http.Request) {
	var query struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(in.Body).Decode(&query); err != nil || query.Step == "" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	f.advising.Lock()
	defer f.advising.Unlock()
	time.Sleep(decisionTime + time.Duration(len(query.Workers))*perWorkerTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := [][2]string{}
	for _, id := range query.Workers {
		if w := f.workers[id]; w != nil && Advises(query.Step, id) {
			name := fmt.Sprintf("%s-%s-%d", query.Step, id, len(f.tickets))
			f.tickets[name] = ticket{query.Step, w, time.Now().Add(ticketValidity)}
			allowed = append(allowed, [2]string{id, name})
		}
	}
	writeJSON(out, http.StatusOK, map[string]any{"allowed": allowed, "validity_ms": ticketValidity.Milliseconds()})
}
