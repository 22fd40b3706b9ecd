package worker

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/lease"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 1 << 20

// maxRuns limits the recorded runs; later ones are not recorded.
const maxRuns = 200_000

// Run is the record of one member of a job that started on a worker.
type Run struct {
	Job      structs.JobID      `json:"job"`
	Attempt  uint64             `json:"attempt"`
	Member   int                `json:"member"`
	Members  int                `json:"members"`
	Worker   structs.WorkerID   `json:"worker"`
	Started  time.Time          `json:"started"`
	Ended    time.Time          `json:"ended"` // zero while it runs
	EndPhase platform.TaskPhase `json:"how"`   // empty while it runs
	Message  string             `json:"message,omitempty"`
}

// Control is the body of POST /control. Action is one of
//   - kill and revive: a power failure of the worker, and its end,
//   - freeze and thaw: the worker executes no commands in between,
//   - fail and heal: tasks that start in between fail,
//   - drop: the next Count commands take effect, but their responses are lost.
type Control struct {
	Worker structs.WorkerID `json:"worker"`
	Action string           `json:"action"`
	Count  int              `json:"count,omitempty"`
}

// Fleet is a set of stand-in workers. It is safe for concurrent use.
type Fleet struct {
	options  Options
	machines map[structs.WorkerID]*machine
	mu       sync.Mutex
	runs     []Run
	openRuns map[runKey]int // indices in runs of the runs that have not ended
}

// runKey identifies a run that has not ended.
type runKey struct {
	worker structs.WorkerID
	task   taskKey
}

// NewFleet returns a fleet with the given workers.
func NewFleet(options Options, workers ...structs.WorkerID) *Fleet {
	f := &Fleet{options: options, machines: map[structs.WorkerID]*machine{}, openRuns: map[runKey]int{}}
	for _, id := range workers {
		f.machines[id] = newMachine(id, f)
	}
	return f
}

// Handler returns the HTTP interface: /workers/{id}/{command}, GET /report and POST /control.
func (f *Fleet) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/workers/{id}/{command}", f.command).Methods(http.MethodPost)
	router.HandleFunc("/report", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, f.Report())
	}).Methods(http.MethodGet)
	router.HandleFunc("/control", f.control).Methods(http.MethodPost)
	return router
}

// command serves one command to a worker.
func (f *Fleet) command(w http.ResponseWriter, r *http.Request) {
	m, known := f.machines[structs.WorkerID(mux.Vars(r)["id"])]
	if !known {
		http.NotFound(w, r)
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || !m.waitThawed(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	if m.dead {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	answer, err := m.apply(mux.Vars(r)["command"], data, time.Now())
	drop := m.dropNext > 0
	m.dropNext = max(0, m.dropNext-1)
	m.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, answer, err)
}

// waitThawed waits while the worker is frozen. It returns false if the caller gave up first: its request is treated as lost and
// does not take effect after the freeze.
func (m *machine) waitThawed(ctx context.Context) bool {
	m.mu.Lock()
	thawed := m.thawed
	m.mu.Unlock()
	if thawed == nil {
		return true
	}
	select {
	case <-thawed:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// apply executes one command. The caller holds mu.
func (m *machine) apply(command string, data []byte, now time.Time) (any, error) {
	m.advance(now)
	switch command {
	case "session":
		request, err := decode[platform.SessionRequest](data)
		if err != nil {
			return nil, err
		}
		return m.claim(request, now)
	case "renew":
		request, err := decode[platform.RenewRequest](data)
		if err != nil {
			return nil, err
		}
		return m.renew(request, now)
	case "hold":
		request, err := decode[platform.HoldRequest](data)
		if err != nil {
			return nil, err
		}
		if err := m.fence(request.Fence, now); err != nil {
			return nil, err
		}
		return struct{}{}, m.hold(request, now)
	default:
		return struct{}{}, m.taskCommand(command, data, now)
	}
}

// taskCommand executes a command that names an existing task. The caller holds mu.
func (m *machine) taskCommand(command string, data []byte, now time.Time) error {
	handlers := map[string]func(platform.TaskCommand, time.Time) error{
		"start": m.start, "release": m.release, "stop": m.stop, "throttle": m.throttle, "forget": m.forget,
	}
	handle, known := handlers[command]
	if !known {
		return errors.New("unknown command")
	}
	request, err := decode[platform.TaskCommand](data)
	if err != nil {
		return err
	}
	if err := m.fence(request.Fence, now); err != nil {
		return err
	}
	return handle(request, now)
}

// writeAnswer writes the answer to a command: a refusal as status 409, any other error as status 400.
func writeAnswer(w http.ResponseWriter, answer any, err error) {
	var refused *platform.RefusedError
	switch {
	case errors.As(err, &refused):
		writeJSON(w, http.StatusConflict, refused.Refusal)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // a failed write means that the caller has gone
}

func (f *Fleet) control(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request, err := decode[Control](data)
	if err == nil {
		err = f.Control(request)
	}
	writeAnswer(w, struct{}{}, err)
}

// Control starts or ends a fault of a worker.
func (f *Fleet) Control(c Control) error {
	m, known := f.machines[c.Worker]
	if !known {
		return errors.New("unknown worker")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.advance(now)
	switch c.Action {
	case "kill":
		m.kill(now)
	case "revive":
		m.dead = false
	case "freeze":
		if m.thawed == nil {
			m.thawed = make(chan struct{})
		}
	case "thaw":
		if m.thawed != nil {
			close(m.thawed)
			m.thawed = nil
		}
	case "fail":
		m.failing = true
	case "heal":
		m.failing = false
	case "drop":
		m.dropNext = c.Count
	default:
		return errors.New("unknown action")
	}
	return nil
}

// kill ends every task and erases the worker's state, like a power failure.
func (m *machine) kill(now time.Time) {
	for _, t := range m.tasks {
		if t.status.Phase == platform.TaskRunning || t.status.Phase == platform.TaskCheckpointing {
			m.end(t, platform.TaskFailed, "worker killed", now)
		}
	}
	m.dead = true
	m.tasks = map[taskKey]*task{}
	m.session = lease.Lease{}
	m.schedulerEpoch = 0
	m.sequence = 0
}

// recordStart records the start of a task, unless maxRuns is reached.
func (f *Fleet) recordStart(worker structs.WorkerID, t *task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.runs) >= maxRuns {
		return
	}
	task := t.status.Task
	f.openRuns[runKey{worker, keyOf(task)}] = len(f.runs)
	f.runs = append(f.runs, Run{
		Job: task.Job.ID, Attempt: task.Attempt, Member: task.Member, Members: task.Members, Worker: worker, Started: t.started,
	})
}

// recordEnd records the end of a task.
func (f *Fleet) recordEnd(worker structs.WorkerID, t *task, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := runKey{worker, keyOf(t.status.Task)}
	index, known := f.openRuns[key]
	if !known {
		return
	}
	delete(f.openRuns, key)
	f.runs[index].Ended = at
	f.runs[index].EndPhase = t.status.Phase
	f.runs[index].Message = t.status.Message
}

// Report returns every recorded run, after applying the state changes that are due at each worker.
func (f *Fleet) Report() []Run {
	now := time.Now()
	for _, m := range f.machines {
		m.mu.Lock()
		m.advance(now)
		m.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.runs...)
}

// Busy returns the number of accelerators that a worker's tasks hold or use.
func (f *Fleet) Busy(id structs.WorkerID) int {
	m := f.machines[id]
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	return len(m.busy())
}

// Phases returns the phase of each task that a worker knows.
func (f *Fleet) Phases(id structs.WorkerID) []platform.TaskPhase {
	m := f.machines[id]
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	var all []platform.TaskPhase
	for _, t := range m.tasks {
		all = append(all, t.status.Phase)
	}
	return all
}
