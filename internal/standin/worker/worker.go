// Package worker is the stand-in for the platform's workers: many workers in one process, behind one http.Handler.
// It follows the semantics of internal/platform and records what ran, so that a test can count partial gangs and
// doubled jobs without asking the scheduler.
package worker

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/lease"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// forgottenFor is how long a worker remembers the ids of forgotten tasks.
const forgottenFor = 10 * time.Minute

// endless is the run time of a task whose job declares none.
const endless = 1000 * time.Hour

// Options sets how the workers of a fleet behave.
type Options struct {
	Accelerators     int
	Cores            int
	MemoryMB         int64
	RunTimeFactor    func(structs.Job) float64 // real run time over declared run time; nil means 1
	CheckpointFactor float64                   // real checkpoint time over the declared longest one; 0 means 1
	UsageLag         time.Duration
	FailAfter        time.Duration          // how long a task that will fail runs
	FailJob          func(structs.Job) bool // jobs that fail everywhere; nil means none
}

// taskKey identifies a task on its worker.
type taskKey struct {
	job     structs.JobID
	attempt uint64
	member  int
}

// task is a task's state on its worker. Times are zero until they apply.
type task struct {
	status    platform.TaskStatus
	holdUntil time.Time
	started   time.Time
	endsAt    time.Time // natural end of the run
	failsAt   time.Time // set when the task will fail
	lease     time.Time
	savedAt   time.Time // end of the checkpoint under way
	killAt    time.Time // end of the grace of a stop
	forgotten time.Time
	share     float64
}

// machine is one worker.
type machine struct {
	mu        sync.Mutex
	id        structs.WorkerID
	options   *Options
	fleet     *Fleet
	session   lease.Lease
	scheduler uint64
	sequence  uint64
	tasks     map[taskKey]*task
	usage     platform.WorkerUsage
	dead      bool
	failing   bool
	dropNext  int           // responses to lose after the command took effect
	frozen    chan struct{} // closed when the freeze ends; nil when not frozen
}

func newMachine(id structs.WorkerID, fleet *Fleet) *machine {
	return &machine{id: id, options: &fleet.options, fleet: fleet, tasks: map[taskKey]*task{}}
}

// refuse returns a refusal with the epochs that the worker has seen.
func (m *machine) refuse(now time.Time, format string, args ...any) error {
	return &platform.RefusedError{Refusal: platform.Refusal{
		Reason: fmt.Sprintf(format, args...), Owner: structs.InstanceID(m.session.Holder), Epoch: m.session.Epoch,
		SchedulerEpoch: m.scheduler, RemainingMS: max(0, m.session.Expiry.Sub(now).Milliseconds()),
	}}
}

// claim handles a session request.
func (m *machine) claim(request platform.SessionRequest, now time.Time) (platform.WorkerState, error) {
	if request.Release {
		m.session.Release(string(request.Owner), request.Epoch)
		return platform.WorkerState{Worker: m.id}, nil
	}
	err := m.session.Claim(string(request.Owner), request.Epoch, milliseconds(request.TTLMS), now)
	var refused *lease.RefusedError
	if errors.As(err, &refused) {
		return platform.WorkerState{}, m.refuse(now, "session is held")
	}
	return m.state(0, now), nil
}

// renew extends the session and the task leases.
func (m *machine) renew(request platform.RenewRequest, now time.Time) (platform.WorkerState, error) {
	if err := m.session.Renew(string(request.Owner), request.Epoch, milliseconds(request.TTLMS), now); err != nil {
		return platform.WorkerState{}, m.refuse(now, "session is not yours")
	}
	for key, t := range m.tasks {
		if !t.status.Phase.Ended() && t.status.Phase != platform.TaskHeld && !slices.Contains(request.Withhold, key.job) {
			t.lease = now.Add(milliseconds(request.TaskLeaseMS))
		}
	}
	return m.state(request.Since, now), nil
}

// fence checks the epochs of a command.
func (m *machine) fence(f platform.Fence, now time.Time) error {
	if string(f.Owner) != m.session.Holder || f.Epoch != m.session.Epoch {
		return m.refuse(now, "command of an older owner")
	}
	if !m.session.Live(now) {
		return m.refuse(now, "session has lapsed")
	}
	if f.SchedulerEpoch < m.scheduler {
		return m.refuse(now, "command of an older scheduler")
	}
	m.scheduler = f.SchedulerEpoch
	return nil
}

// hold reserves accelerators. A repeated hold of the same task extends it.
func (m *machine) hold(request platform.HoldRequest, now time.Time) error {
	key := keyOf(request.Task)
	if t, known := m.tasks[key]; known {
		if t.status.Phase != platform.TaskHeld {
			return m.refuse(now, "task is already %s", t.status.Phase)
		}
		t.holdUntil = now.Add(milliseconds(request.TTLMS))
		return nil
	}
	busy := m.busy()
	for _, index := range request.Task.Accelerators {
		if index < 0 || index >= m.options.Accelerators || busy[index] {
			return m.refuse(now, "accelerator %d is not free", index)
		}
	}
	t := &task{holdUntil: now.Add(milliseconds(request.TTLMS)), share: 1}
	t.status = platform.TaskStatus{Task: request.Task, SavedWork: request.Task.Attained}
	m.tasks[key] = t
	m.change(t, platform.TaskHeld, "")
	return nil
}

// start runs a held task. A repeated start has no further effect.
func (m *machine) start(command platform.TaskCommand, now time.Time) error {
	t, known := m.tasks[commandKey(command)]
	if !known {
		return m.refuse(now, "no such hold")
	}
	if t.status.Phase == platform.TaskRunning {
		return nil
	}
	if t.status.Phase != platform.TaskHeld {
		return m.refuse(now, "task is %s", t.status.Phase)
	}
	t.started = now
	t.endsAt = now.Add(m.runTime(t.status.Task))
	t.lease = now.Add(milliseconds(command.TaskLeaseMS))
	if m.failing || (m.options.FailJob != nil && m.options.FailJob(t.status.Task.Job)) {
		t.failsAt = now.Add(m.options.FailAfter)
	}
	m.change(t, platform.TaskRunning, "")
	m.fleet.began(m.id, t)
	return nil
}

// runTime is how long the task really runs from now on.
func (m *machine) runTime(t structs.Task) time.Duration {
	if t.Job.RunTime <= 0 {
		return endless
	}
	factor := 1.0
	if m.options.RunTimeFactor != nil {
		factor = m.options.RunTimeFactor(t.Job)
	}
	return max(0, time.Duration(float64(t.Job.RunTime)*factor)-t.Attained)
}

// release ends a hold and kills a running task.
func (m *machine) release(command platform.TaskCommand, now time.Time) error {
	t, known := m.tasks[commandKey(command)]
	if !known {
		return nil
	}
	if t.status.Phase == platform.TaskFinished {
		return m.refuse(now, "the task has finished") // the owner must not take it for stopped
	}
	if t.status.Phase == platform.TaskHeld {
		m.change(t, platform.TaskStopped, "hold released")
		return nil
	}
	m.end(t, platform.TaskStopped, "killed", now)
	return nil
}

// stop ends a task, after a checkpoint when asked.
func (m *machine) stop(command platform.TaskCommand, now time.Time) error {
	t, known := m.tasks[commandKey(command)]
	if known && t.status.Phase == platform.TaskFinished {
		return m.refuse(now, "the task has finished") // the owner must not take it for stopped
	}
	if !known || t.status.Phase.Ended() || t.status.Phase == platform.TaskCheckpointing {
		return nil
	}
	if !command.Checkpoint || t.status.Phase == platform.TaskHeld {
		return m.release(command, now)
	}
	factor := m.options.CheckpointFactor
	if factor == 0 {
		factor = 1
	}
	t.savedAt = now.Add(time.Duration(float64(t.status.Task.Job.Checkpoint) * factor))
	t.killAt = now.Add(milliseconds(command.GraceMS))
	m.change(t, platform.TaskCheckpointing, "")
	return nil
}

// throttle slows a running task down; its remaining run time stretches accordingly.
func (m *machine) throttle(command platform.TaskCommand, now time.Time) error {
	t, known := m.tasks[commandKey(command)]
	if !known || t.status.Phase != platform.TaskRunning {
		return m.refuse(now, "no such running task")
	}
	if command.Share <= 0 || command.Share > 1 {
		return m.refuse(now, "share %v is outside (0, 1]", command.Share)
	}
	remaining := t.endsAt.Sub(now)
	t.endsAt = now.Add(time.Duration(float64(remaining) * t.share / command.Share))
	t.share = command.Share
	return nil
}

// forget drops an ended task; its id stays known.
func (m *machine) forget(command platform.TaskCommand, now time.Time) error {
	t, known := m.tasks[commandKey(command)]
	if !known || t.status.Phase == platform.TaskForgotten {
		return nil
	}
	if !t.status.Phase.Ended() {
		return m.refuse(now, "task is %s", t.status.Phase)
	}
	t.forgotten = now
	m.change(t, platform.TaskForgotten, "")
	return nil
}

// advance applies everything that became due since the last call, each at the time it was due.
func (m *machine) advance(now time.Time) {
	for key, t := range m.tasks {
		switch t.status.Phase {
		case platform.TaskHeld:
			if !now.Before(t.holdUntil) {
				m.change(t, platform.TaskLapsed, "hold lapsed")
			}
		case platform.TaskRunning, platform.TaskCheckpointing:
			m.advanceRunning(t, now)
		case platform.TaskForgotten:
			if now.Sub(t.forgotten) > forgottenFor {
				delete(m.tasks, key)
			}
		}
	}
	m.refreshUsage(now)
}

func (m *machine) advanceRunning(t *task, now time.Time) {
	type due struct {
		at      time.Time
		phase   platform.TaskPhase
		message string
	}
	all := []due{
		{t.failsAt, platform.TaskFailed, "exit status 1"},
		{t.endsAt, platform.TaskFinished, ""},
		{t.lease, platform.TaskLapsed, "lease lapsed"},
		{t.savedAt, platform.TaskStopped, "checkpoint saved"},
		{t.killAt, platform.TaskStopped, "killed after grace"},
	}
	all = slices.DeleteFunc(all, func(d due) bool { return d.at.IsZero() || d.at.After(now) })
	if len(all) == 0 {
		return
	}
	first := slices.MinFunc(all, func(a, b due) int { return a.at.Compare(b.at) })
	if first.at.Equal(t.savedAt) && first.phase == platform.TaskStopped {
		t.status.SavedWork = t.status.Task.Attained + first.at.Sub(t.started)
	}
	m.end(t, first.phase, first.message, first.at)
}

// end stops a running task for good.
func (m *machine) end(t *task, phase platform.TaskPhase, message string, at time.Time) {
	if t.status.Phase.Ended() {
		return
	}
	t.status.RanFor = at.Sub(t.started)
	m.change(t, phase, message)
	m.fleet.ended(m.id, t, at)
}

func (m *machine) change(t *task, phase platform.TaskPhase, message string) {
	m.sequence++
	t.status.Phase = phase
	t.status.Message = message
	t.status.Sequence = m.sequence
}

// busy maps the accelerators in use.
func (m *machine) busy() map[int]bool {
	used := map[int]bool{}
	for _, t := range m.tasks {
		if t.status.Phase.Ended() {
			continue
		}
		for _, index := range t.status.Task.Accelerators {
			used[index] = true
		}
	}
	return used
}

func (m *machine) refreshUsage(now time.Time) {
	if now.Sub(m.usage.AsOf) < m.options.UsageLag {
		return
	}
	m.usage = platform.WorkerUsage{AsOf: now, Busy: slices.Sorted(maps.Keys(m.busy()))}
	m.usage.CoresUsed = float64(len(m.usage.Busy))
}

// state returns the tasks changed since a sequence number.
func (m *machine) state(since uint64, now time.Time) platform.WorkerState {
	usage := m.usage
	state := platform.WorkerState{
		Worker: m.id, Accelerators: m.options.Accelerators, Cores: m.options.Cores, MemoryMB: m.options.MemoryMB,
		Sequence: m.sequence, SchedulerEpoch: m.scheduler, Usage: &usage,
	}
	for _, t := range m.tasks {
		if t.status.Sequence <= since {
			continue
		}
		status := t.status
		if status.Phase == platform.TaskRunning || status.Phase == platform.TaskCheckpointing {
			status.RanFor = now.Sub(t.started)
		}
		state.Tasks = append(state.Tasks, status)
	}
	slices.SortFunc(state.Tasks, func(a, b platform.TaskStatus) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return state
}

func keyOf(t structs.Task) taskKey { return taskKey{t.Job.ID, t.Attempt, t.Member} }

func commandKey(c platform.TaskCommand) taskKey { return taskKey{c.Job, c.Attempt, c.Member} }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// decodeInto decodes a request body strictly enough for a stand-in.
func decodeInto[T any](data []byte) (T, error) {
	var value T
	err := json.Unmarshal(data, &value)
	return value, err
}
