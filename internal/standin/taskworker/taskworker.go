// Package taskworker is a stand-in for the platform's workers as schedulers see them: tasks that run under leases, fencing
// tokens and ends that are listed until they are acknowledged. It counts what must not happen: a task that runs twice
// at once or starts again after its end was acknowledged. It is for tests and demonstrations.
package taskworker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	pollPeriod = 5 * time.Millisecond // between looks of a waiting call
	endsListed = 500                  // ends in one answer
)

// Fleet is workers that share one address space of tasks. It is an http.Handler; the header that names the intended process
// selects the worker.
type Fleet struct {
	router *mux.Router
	begun  time.Time

	mu       sync.Mutex
	workers  map[string]*worker
	running  map[string]int  // runs of each task at this moment, over all workers
	hides    bool            // see HideRuns
	finished map[string]bool // tasks whose end was acknowledged
	report   Report
}

// Report counts what the fleet saw.
type Report struct {
	Started      int `json:"started"`
	Done         int `json:"done"`
	Doubled      int `json:"doubled"`      // starts of a task that ran elsewhere, or whose end was acknowledged
	Lapsed       int `json:"lapsed"`       // runs whose lease was not renewed
	Unfenced     int `json:"unfenced"`     // orders with an older token
	Acknowledged int `json:"acknowledged"` // ends
}

type worker struct {
	token    int64
	deadline time.Time
	runs     map[string]*run
	highest  map[string]int // run that ended or was stopped, by task
	ends     []end
	number   int64
	frozen   bool
}

type run struct {
	task  string
	run   int
	begun time.Time
	takes time.Duration
}

type end struct {
	number     int64
	task       string
	run        int
	how        string
	checkpoint string
	lapsed     bool // the worker's leases ended before it was acknowledged, so the task may have started elsewhere
}

// spec is how the stand-in reads the text of a job.
type spec struct {
	TakesMS int64 `json:"takes_ms"` // run time of each task
}

// New returns a fleet of workers with the given ids.
func New(ids ...string) *Fleet {
	f := &Fleet{router: mux.NewRouter(), begun: time.Now(), workers: map[string]*worker{}, running: map[string]int{}, finished: map[string]bool{}}
	for _, id := range ids {
		f.workers[id] = &worker{runs: map[string]*run{}, highest: map[string]int{}}
	}
	f.router.HandleFunc("/v1/run-start", f.call(f.start)).Methods(http.MethodPost)
	f.router.HandleFunc("/v1/run-stop", f.call(f.stop)).Methods(http.MethodPost)
	f.router.HandleFunc("/v1/hold", f.call(f.hold)).Methods(http.MethodPost)
	f.router.HandleFunc("/report/workers", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, f.Report()) }).Methods(http.MethodGet)
	return f
}

// ServeHTTP answers one call.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.router.ServeHTTP(w, r) }

// Report returns what the fleet has seen so far.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.report
}

// HideRuns makes all workers leave what runs out of their lists, which no worker may do. It shows that the checks of a soak find
// tasks that run twice.
func (f *Fleet) HideRuns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hides = true
}

// Freeze makes a worker answer nothing while its tasks run on, as a partition does.
func (f *Fleet) Freeze(id string, frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].frozen = frozen
}

// order is the body of any order.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has gone needs no answer
}

func (f *Fleet) clock() int64 { return time.Since(f.begun).Milliseconds() }

// call decodes an order, finds its worker and checks its token.
func (f *Fleet) call(handle func(http.ResponseWriter, *worker, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		f.mu.Lock()
		target := f.workers[r.Header.Get("X-Target-Instance")]
		if target == nil {
			f.mu.Unlock()
			answer(w, http.StatusMisdirectedRequest, nil)
			return
		}
		f.settle(target)
		if target.frozen {
			f.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if o.Token < target.token {
			f.report.Unfenced++
			f.mu.Unlock()
			f.refuse(w, "fence")
			return
		}
		target.token = o.Token
		f.mu.Unlock()
		handle(w, target, o)
	}
}

func (f *Fleet) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clock_ms": f.clock(), "reason": reason})
}

// settle ends the runs of a worker that are over by now.
func (f *Fleet) settle(w *worker) {
	now := time.Now()
	for _, r := range w.runs {
		over := r.begun.Add(r.takes)
		switch {
		case !w.deadline.IsZero() && w.deadline.Before(now) && w.deadline.Before(over):
			f.report.Lapsed++
			f.finish(w, r, "lapsed")
		case over.Before(now):
			f.finish(w, r, "done")
		}
	}
	if !w.deadline.IsZero() && w.deadline.Before(now) {
		for i := range w.ends {
			w.ends[i].lapsed = true
		}
	}
}

func (f *Fleet) finish(w *worker, r *run, how string) {
	delete(w.runs, r.task)
	f.running[r.task]--
	w.number++
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.ends = append(w.ends, end{number: w.number, task: r.task, run: r.run, how: how})
	if how == "done" {
		f.report.Done++
	}
}

func (f *Fleet) start(w http.ResponseWriter, target *worker, o order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := target.runs[o.Task]
	switch {
	case present != nil && present.run == o.Run:
		answer(w, http.StatusOK, map[string]int64{"clock_ms": f.clock()})
		return
	case o.Run <= target.highest[o.Task]:
		f.refuse(w, "old")
		return
	case o.DeadlineMS <= f.clock():
		f.refuse(w, "late")
		return
	}
	if f.running[o.Task] > 0 || f.finished[o.Task] {
		f.report.Doubled++
	}
	var s spec
	if err := json.Unmarshal([]byte(o.Spec), &s); err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": fmt.Sprint(err)})
		return
	}
	f.report.Started++
	f.running[o.Task]++
	target.runs[o.Task] = &run{o.Task, o.Run, time.Now(), time.Duration(s.TakesMS) * time.Millisecond}
	f.extend(target, o.DeadlineMS)
	answer(w, http.StatusOK, map[string]int64{"clock_ms": f.clock()})
}

// extend moves the end of a worker's leases, never back.
func (f *Fleet) extend(w *worker, deadlineMS int64) {
	if end := f.begun.Add(time.Duration(deadlineMS) * time.Millisecond); deadlineMS > 0 && end.After(w.deadline) {
		w.deadline = end
	}
}

func (f *Fleet) stop(w http.ResponseWriter, target *worker, o order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	target.highest[o.Task] = max(target.highest[o.Task], o.Run)
	if r := target.runs[o.Task]; r != nil && r.run <= o.Run {
		f.finish(target, r, "stopped")
	}
	answer(w, http.StatusOK, map[string]int64{"clock_ms": f.clock()})
}

func (f *Fleet) hold(w http.ResponseWriter, target *worker, o order) {
	until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	for {
		f.mu.Lock()
		f.settle(target)
		f.acknowledge(target, o.LastSeen)
		f.extend(target, o.DeadlineMS)
		if len(target.ends) > 0 || time.Now().After(until) {
			body := f.lists(target)
			f.mu.Unlock()
			answer(w, http.StatusOK, body)
			return
		}
		f.mu.Unlock()
		time.Sleep(pollPeriod)
	}
}

func (f *Fleet) acknowledge(w *worker, lastSeen int64) {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > lastSeen {
			kept = append(kept, e)
			continue
		}
		f.report.Acknowledged++
		if e.how == "done" && !e.lapsed {
			f.finished[e.task] = true
		}
	}
	w.ends = kept
}

func (f *Fleet) lists(w *worker) map[string]any {
	running, ends := [][]any{}, [][]any{}
	for _, r := range w.runs {
		if f.hides {
			break
		}
		percent := min(100*int64(time.Since(r.begun))/max(int64(r.takes), 1), 100)
		running = append(running, []any{r.task, r.run, "", percent})
	}
	for _, e := range w.ends[:min(len(w.ends), endsListed)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, e.checkpoint})
	}
	return map[string]any{"clock_ms": f.clock(), "running": running, "finished": ends}
}
