// Package taskworker is a stand-in for the workers of the users' platform: tasks run under leases, commands carry
// fencing tokens, and the ends of runs are listed until they are acknowledged. It counts violations, such as a task that runs twice
// at once or starts again after its end was acknowledged. It is for tests and demonstrations.
package taskworker

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

const (
	pollInterval  = 5 * time.Millisecond // interval between checks of a waiting call
	maxListedEnds = 500                  // maximum number of ends in one answer
	clockSpeed    = 0.98                 // speed of the workers' clocks
)

// Fleet is a set of workers that can run the same tasks. It is an http.Handler; the header X-Target-Instance selects the worker.
// It is safe for concurrent use.
type Fleet struct {
	router *mux.Router
	// MaxLease is the length to which longer leases are shortened; 0 for none. It is set before the first call.
	MaxLease time.Duration

	mu       sync.Mutex
	workers  map[string]*worker
	running  map[string]int             // current number of runs of each task, over all workers
	hideRuns bool                       // see HideRuns
	finished map[string]bool            // tasks whose completion was acknowledged
	gangs    map[string]*gang           // by step and number of the run
	starts   map[string]int             // number of starts of tasks of each job
	done     map[string]map[string]bool // tasks of each step that have completed and did not start again
	tickets  map[string]ticket
	report   Report

	advising sync.Mutex // held while a query for advice is handled
}

// Report counts what happened at the workers of a fleet.
type Report struct {
	Started      int `json:"started"`      // runs that started
	Done         int `json:"done"`         // runs that completed
	Doubled      int `json:"doubled"`      // starts of a task that was running already, or whose completion was acknowledged
	Lapsed       int `json:"lapsed"`       // runs whose lease expired
	StaleTokens  int `json:"unfenced"`     // commands refused because of a stale fencing token
	Acknowledged int `json:"acknowledged"` // ends that were acknowledged
	Unticketed   int `json:"unticketed"`   // starts refused for want of a valid ticket
	Forbidden    int `json:"forbidden"`    // starts on a worker after the time from which Forbid allows none

	Violations []string         `json:"violations"`  // what is known of each doubled run
	LastStarts map[string]int64 `json:"last_starts"` // latest start of a task of each job, in Unix milliseconds
}

// State is what the workers of a fleet run at one time, and what they have run so far.
type State struct {
	Running map[string][]string `json:"running"` // tasks that run, by worker
	Starts  map[string]int      `json:"starts"`  // number of starts of tasks, by job
	Done    map[string]int      `json:"done"`    // number of tasks that completed and did not start again, by step (JOB.OCCURRENCE.STEP)
}

// worker is one worker of a fleet.
type worker struct {
	token        int64           // highest fencing token seen
	leaseExpiry  time.Time       // expiry of the leases of all runs; zero before the first lease
	runs         map[string]*run // current runs by task
	highestEnded map[string]int  // highest number of a run that ended or was stopped, by task
	ends         []end           // ends that are not acknowledged yet
	lastSequence int64           // sequence number of the latest end
	frozen       bool            // see Freeze
	born         time.Time       // start of its process, and origin of its clock
	poweredOff   bool            // see LosePower
	lostPowerAt  time.Time       // when its earlier process lost its power; zero if there is none
	closesAt     time.Time       // see Forbid; zero if starts are allowed
}

// run is a run of a task that has not ended.
type run struct {
	task    string
	number  int // number of the run of this task
	started time.Time
	runTime time.Duration
	outcome string // how it ends after runTime
	gang    *gang  // nil for a single task
}

// end is the end of a run.
type end struct {
	sequence     int64 // sequence number, by which callers acknowledge ends
	task         string
	run          int    // number of the run
	outcome      string // done, failed, stopped or lapsed
	checkpoint   string
	leaseExpired bool // the worker's leases expired before the acknowledgement, so the task may have started elsewhere
}

// spec is the specification of a job as the stand-in understands it.
type spec struct {
	TakesMS int64 `json:"takes_ms"` // run time of each task
	Fails   int   `json:"fails"`    // number of first runs of each task that fail after half of that time
	Advised bool  `json:"advised"`  // a start needs a ticket
	Gangs   []int `json:"gangs"`    // size of the gang of each step, 0 for a step of single tasks or one that is not named
}

// New returns a fleet with one worker for each id.
func New(ids ...string) *Fleet {
	f := &Fleet{router: mux.NewRouter(), workers: map[string]*worker{}, running: map[string]int{}, finished: map[string]bool{}, tickets: map[string]ticket{}, gangs: map[string]*gang{}, starts: map[string]int{}, done: map[string]map[string]bool{}, report: Report{LastStarts: map[string]int64{}}}
	for _, id := range ids {
		f.workers[id] = newWorker(time.Now())
	}
	f.router.HandleFunc("/v1/run-start", f.handler(f.start)).Methods(http.MethodPost)
	f.router.HandleFunc("/v1/run-stop", f.handler(f.stop)).Methods(http.MethodPost)
	f.router.HandleFunc("/v1/hold", f.handler(f.hold)).Methods(http.MethodPost)
	f.router.HandleFunc("/v1/advise", f.advise).Methods(http.MethodPost)
	f.router.HandleFunc("/control/power", f.handlePower).Methods(http.MethodPost)
	f.router.HandleFunc("/control/forbid", f.handleForbid).Methods(http.MethodPost)
	f.router.HandleFunc("/report/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, f.State()) }).Methods(http.MethodGet)
	f.router.HandleFunc("/report/workers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, f.Report()) }).Methods(http.MethodGet)
	return f
}

func newWorker(born time.Time) *worker {
	return &worker{born: born, runs: map[string]*run{}, highestEnded: map[string]int{}}
}

// ServeHTTP serves one call.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.router.ServeHTTP(w, r) }

// Report returns the counts so far.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := f.report
	report.LastStarts = maps.Clone(report.LastStarts)
	return report
}

// State returns the current state. A completion whose end was lost with its worker counts until the task starts again: the scheduler may have
// recorded it before it could acknowledge it.
func (f *Fleet) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{Running: map[string][]string{}, Starts: maps.Clone(f.starts), Done: map[string]int{}}
	for id, w := range f.workers {
		f.endDueRuns(w)
		for task := range w.runs {
			s.Running[id] = append(s.Running[id], task)
		}
	}
	for step, tasks := range f.done {
		s.Done[step] = len(tasks)
	}
	return s
}

// HideRuns makes all workers omit their current runs from their answers. No real worker may do this; it shows that the checks of
// package soak detect tasks that run twice.
func (f *Fleet) HideRuns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hideRuns = true
}

// Freeze makes a worker answer no calls while its tasks continue to run, as in a network partition.
func (f *Fleet) Freeze(id string, frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].frozen = frozen
}

// LosePower ends a worker without a trace, and starts it again under its id after a time: its runs are gone, calls in progress get no
// answer, those that come meanwhile reach its new process, which knows nothing of before and whose clock starts anew. It returns when the new process starts.
func (f *Fleet) LosePower(id string, off time.Duration) (born time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.poweredOff = true
	for _, r := range w.runs {
		f.running[r.task]--
		r.breakGang()
	}
	born = time.Now().Add(off)
	f.workers[id] = newWorker(born)
	f.workers[id].closesAt, f.workers[id].lostPowerAt = w.closesAt, time.Now()
	return born
}

// Forbid makes starts on a worker from the given time on count as forbidden, and no longer if the time is zero.
func (f *Fleet) Forbid(id string, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].closesAt = from
}

// handleForbid serves Forbid. The query is ?worker=ID&from=T with a time in Unix milliseconds, or without one to allow starts.
func (f *Fleet) handleForbid(w http.ResponseWriter, r *http.Request) {
	from := time.Time{}
	if ms, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64); err == nil {
		from = time.UnixMilli(ms)
	}
	f.Forbid(r.URL.Query().Get("worker"), from)
	w.WriteHeader(http.StatusOK)
}

// handlePower serves a loss of power. The query is ?worker=ID&off_ms=N; the answer is the start of the new process.
func (f *Fleet) handlePower(w http.ResponseWriter, r *http.Request) {
	off, err := strconv.Atoi(r.URL.Query().Get("off_ms"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	born := f.LosePower(r.URL.Query().Get("worker"), time.Duration(off)*time.Millisecond)
	writeJSON(w, http.StatusOK, map[string]int64{"born": born.UnixMilli()})
}

// command is the body of every command; each command uses some of the fields.
type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"` // expiry of the leases on the workers' clock
	Token      int64  `json:"fencing_token"`
	Ticket     string `json:"ticket"`
	LastSeen   int64  `json:"last_seen"` // sequence number up to which ends are acknowledged
	WaitMS     int64  `json:"wait_ms"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a failed write means that the caller has gone
}

// clockMS returns the time of the worker's clock in milliseconds.
func (w *worker) clockMS() int64 {
	return int64(clockSpeed * float64(time.Since(w.born).Milliseconds()))
}

// sinceBorn returns how long after its start the worker's clock shows a time.
func sinceBorn(clockMS int64) time.Duration {
	return time.Duration(float64(clockMS) / clockSpeed * float64(time.Millisecond))
}

// openedKey is the key of the time at which a request's connection was opened.
type openedKey struct{}

// ConnContext keeps when a connection was opened. A server of the fleet should have it, so that what comes over a connection to a process
// that has lost its power does not reach the worker's next one.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

// handler wraps the handler of a command: it decodes the command, finds its worker and checks its fencing token.
// A command whose handler reports that the worker has no power gets no answer.
func (f *Fleet) handler(handle func(http.ResponseWriter, *worker, command) (powered bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			writeJSON(w, http.StatusBadRequest, nil)
			return
		}
		target := f.poweredWorker(r)
		if target == nil {
			writeJSON(w, http.StatusMisdirectedRequest, nil)
			return
		}
		f.mu.Lock()
		f.endDueRuns(target)
		opened, known := r.Context().Value(openedKey{}).(time.Time)
		if target.frozen || r.Context().Err() != nil || known && opened.Before(target.lostPowerAt) {
			f.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if c.Token < target.token {
			f.report.StaleTokens++
			f.mu.Unlock()
			refuse(w, target, "fence")
			return
		}
		target.token = c.Token
		f.mu.Unlock()
		if !handle(w, target, c) {
			<-r.Context().Done()
		}
	}
}

// poweredWorker returns the worker that a call names, or nil if there is none. If it is without power, the call reaches its next process once
// that has started, unless the caller gives up before.
func (f *Fleet) poweredWorker(r *http.Request) *worker {
	f.mu.Lock()
	target := f.workers[r.Header.Get("X-Target-Instance")]
	f.mu.Unlock()
	if target != nil {
		wait.For(r.Context(), time.Until(target.born))
	}
	return target
}

func refuse(w http.ResponseWriter, target *worker, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": target.clockMS(), "reason": reason})
}

// endDueRuns ends the runs of a worker that have completed or whose lease has expired. The caller holds mu.
func (f *Fleet) endDueRuns(w *worker) {
	now := time.Now()
	for _, other := range f.workers {
		f.endExpiredRuns(other, now) // breaks gangs whose other members are here
	}
	for _, r := range w.runs {
		completion, works := r.completion()
		switch {
		case r.gang != nil && r.gang.broken:
			f.endRun(w, r, "broken")
		case works && completion.Before(now):
			f.endRun(w, r, r.outcome)
		case !works && r.started.Add(gangWait).Before(now):
			f.endRun(w, r, "alone")
		}
	}
	if !w.leaseExpiry.IsZero() && w.leaseExpiry.Before(now) {
		for i := range w.ends {
			w.ends[i].leaseExpired = true
		}
	}
}

// endExpiredRuns ends the runs of a worker whose lease expired before their completion. The caller holds mu.
func (f *Fleet) endExpiredRuns(w *worker, now time.Time) {
	if w.leaseExpiry.IsZero() || !w.leaseExpiry.Before(now) {
		return
	}
	for _, r := range w.runs {
		if completion, works := r.completion(); !works || w.leaseExpiry.Before(completion) {
			f.report.Lapsed++
			f.endRun(w, r, "lapsed")
		}
	}
}

// endRun ends a run and lists its end. The caller holds mu.
func (f *Fleet) endRun(w *worker, r *run, outcome string) {
	delete(w.runs, r.task)
	f.running[r.task]--
	w.lastSequence++
	w.highestEnded[r.task] = max(w.highestEnded[r.task], r.number)
	w.ends = append(w.ends, end{sequence: w.lastSequence, task: r.task, run: r.number, outcome: outcome})
	if outcome != "done" {
		r.breakGang()
	}
	if outcome == "done" {
		f.report.Done++
		f.noteDone(r.task)
	}
}

// noteDone notes that a task has completed. The caller holds mu.
func (f *Fleet) noteDone(task string) {
	step := stepOf(task)
	if f.done[step] == nil {
		f.done[step] = map[string]bool{}
	}
	f.done[step][task] = true
}

// start starts a run. A repeated start of a current run has no effect.
func (f *Fleet) start(w http.ResponseWriter, target *worker, c command) (powered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if target.poweredOff {
		return false
	}
	present := target.runs[c.Task]
	switch {
	case present != nil && present.number == c.Run:
		writeJSON(w, http.StatusOK, map[string]int64{"clock_ms": target.clockMS()})
		return true
	case c.Run <= target.highestEnded[c.Task]:
		refuse(w, target, "old")
		return true
	case c.DeadlineMS <= target.clockMS():
		refuse(w, target, "late")
		return true
	}
	var s spec
	if err := json.Unmarshal([]byte(c.Spec), &s); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": fmt.Sprint(err)})
		return true
	}
	if s.Advised && !f.tickets[c.Ticket].allows(c.Task, target, time.Now()) {
		f.report.Unticketed++
		refuse(w, target, "ticket")
		return true
	}
	for _, w := range f.workers {
		f.endDueRuns(w) // also of workers that nobody calls any more
	}
	if f.running[c.Task] > 0 || f.finished[c.Task] {
		f.report.Doubled++
		f.report.Violations = append(f.report.Violations, fmt.Sprintf("%s run %d started at %s beside %d other runs, acknowledged as done: %t",
			c.Task, c.Run, time.Now().UTC().Format(time.RFC3339Nano), f.running[c.Task], f.finished[c.Task]))
	}
	if !target.closesAt.IsZero() && time.Now().After(target.closesAt) {
		f.report.Forbidden++
		f.report.Violations = append(f.report.Violations, fmt.Sprintf("%s run %d started %v after starts were forbidden", c.Task, c.Run, time.Since(target.closesAt)))
	}
	f.report.Started++
	f.running[c.Task]++
	f.starts[jobOf(c.Task)]++
	delete(f.done[stepOf(c.Task)], c.Task)
	f.report.LastStarts[jobOf(c.Task)] = time.Now().UnixMilli()
	started := &run{task: c.Task, number: c.Run, started: time.Now(), runTime: time.Duration(s.TakesMS) * time.Millisecond, outcome: "done"}
	if c.Run <= s.Fails {
		started.runTime, started.outcome = started.runTime/2, "failed"
	}
	f.joinGang(started, s.Gangs)
	target.runs[c.Task] = started
	f.extendLeases(target, c.DeadlineMS)
	writeJSON(w, http.StatusOK, map[string]int64{"clock_ms": target.clockMS()})
	return true
}

// jobOf returns the job of a task, whose name is JOB.OCCURRENCE.STEP.INDEX.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// stepOf returns the step of a task, as JOB.OCCURRENCE.STEP.
func stepOf(task string) string { return task[:max(strings.LastIndex(task, "."), 0)] }

// extendLeases moves the expiry of a worker's leases forward, never back. The caller holds mu.
func (f *Fleet) extendLeases(w *worker, deadlineMS int64) {
	expiry := w.born.Add(sinceBorn(deadlineMS))
	if longest := time.Now().Add(sinceBorn(f.MaxLease.Milliseconds())); f.MaxLease > 0 && expiry.After(longest) {
		expiry = longest
	}
	if deadlineMS > 0 && expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
}

// stop stops the given run of a task and older ones, and prevents their start.
func (f *Fleet) stop(w http.ResponseWriter, target *worker, c command) (powered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if target.poweredOff {
		return false
	}
	target.highestEnded[c.Task] = max(target.highestEnded[c.Task], c.Run)
	if r := target.runs[c.Task]; r != nil && r.number <= c.Run {
		f.endRun(target, r, "stopped")
	}
	writeJSON(w, http.StatusOK, map[string]int64{"clock_ms": target.clockMS()})
	return true
}

// hold renews the leases of a worker and acknowledges ends. It answers as soon as an end is listed, or after the given wait.
func (f *Fleet) hold(w http.ResponseWriter, target *worker, c command) (powered bool) {
	until := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond)
	for {
		f.mu.Lock()
		if target.poweredOff {
			f.mu.Unlock()
			return false
		}
		f.endDueRuns(target)
		f.acknowledge(target, c.LastSeen)
		f.extendLeases(target, c.DeadlineMS)
		if len(target.ends) > 0 || time.Now().After(until) {
			body := f.runsAndEnds(target)
			f.mu.Unlock()
			writeJSON(w, http.StatusOK, body)
			return true
		}
		f.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// acknowledge drops the ends up to a sequence number. The caller holds mu.
func (f *Fleet) acknowledge(w *worker, lastSeen int64) {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.sequence > lastSeen {
			kept = append(kept, e)
			continue
		}
		f.report.Acknowledged++
		if e.outcome == "done" {
			f.noteDone(e.task) // the task may have started again before the scheduler heard of the end
		}
		if e.outcome == "done" && !e.leaseExpired {
			f.finished[e.task] = true
		}
	}
	w.ends = kept
}

// runsAndEnds returns the answer to a hold: the current runs and the ends that are not acknowledged. The caller holds mu.
func (f *Fleet) runsAndEnds(w *worker) map[string]any {
	running, ends := [][]any{}, [][]any{}
	for _, r := range w.runs {
		if f.hideRuns {
			break
		}
		percent := min(100*int64(time.Since(r.started))/max(int64(r.runTime), 1), 100)
		running = append(running, []any{r.task, r.number, "", percent})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ends = append(ends, []any{e.sequence, e.task, e.run, e.outcome, e.checkpoint})
	}
	return map[string]any{"clock_ms": w.clockMS(), "born": w.born.UnixMilli(), "running": running, "finished": ends}
}
