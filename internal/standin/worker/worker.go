// Package worker is a stand-in for the platform's workers: many workers in one process, behind one http.Handler. It follows the
// semantics of internal/platform and records every run, so that tests can count partial gangs and jobs that ran twice without
// asking the scheduler.
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

// forgottenRetention is how long a worker keeps the ids of forgotten tasks.
const forgottenRetention = 10 * time.Minute

// endlessRunTime is the run time of a task whose job declares none.
const endlessRunTime = 1000 * time.Hour

// Options are the size and behaviour of the workers of a fleet.
type Options struct {
	Accelerators     int
	Cores            int
	MemoryMB         int64
	RunTimeFactor    func(structs.Job) float64 // ratio of real to declared run time; nil means 1
	CheckpointFactor float64                   // ratio of real to declared checkpoint time; 0 means 1
	UsageLag         time.Duration             // interval between two updates of the reported usage
	FailAfter        time.Duration             // run time of a task that fails
	FailJob          func(structs.Job) bool    // reports whether a job fails on every worker; nil means none does
}

// taskKey identifies a task on its worker.
type taskKey struct {
	job     structs.JobID
	attempt uint64
	member  int
}

// task is the state of a task on its worker. Times are zero while they do not apply.
type task struct {
	status           platform.TaskStatus
	holdExpiry       time.Time
	started          time.Time
	endsAt           time.Time // end of the run if nothing interrupts it
	failsAt          time.Time // time at which the task fails, if it is going to
	leaseExpiry      time.Time
	checkpointEndsAt time.Time // end of the checkpoint in progress
	killAt           time.Time // end of the grace period of a stop
	forgottenAt      time.Time
	share            float64 // share of full speed, above 0 and at most 1
}

// machine is one worker.
type machine struct {
	mu             sync.Mutex
	id             structs.WorkerID
	options        *Options
	fleet          *Fleet
	session        lease.Lease // lease of the rack owner on this worker
	schedulerEpoch uint64      // highest epoch seen in a command
	sequence       uint64      // sequence number of the latest change of a task
	tasks          map[taskKey]*task
	usage          platform.WorkerUsage // reported usage; updated at most once in UsageLag
	dead           bool                 // whether the worker was killed and not revived
	failing        bool                 // whether tasks that start now will fail
	dropNext       int                  // number of following commands that take effect but whose response is lost
	thawed         chan struct{}        // closed when the freeze ends; nil when not frozen
}

func newMachine(id structs.WorkerID, fleet *Fleet) *machine {
	return &machine{id: id, options: &fleet.options, fleet: fleet, tasks: map[taskKey]*task{}}
}

// refuse returns a refusal that includes the owner and the epochs that the worker knows.
func (m *machine) refuse(now time.Time, format string, args ...any) error {
	return &platform.RefusedError{Refusal: platform.Refusal{
		Reason: fmt.Sprintf(format, args...), Owner: structs.InstanceID(m.session.Holder), Epoch: m.session.Epoch,
		SchedulerEpoch: m.schedulerEpoch, RemainingMS: max(0, m.session.Expiry.Sub(now).Milliseconds()),
	}}
}

// claim grants or releases the session.
func (m *machine) claim(request platform.SessionRequest, now time.Time) (platform.WorkerState, error) {
	if request.Release {
		m.session.Release(string(request.Owner), request.Epoch)
		return platform.WorkerState{Worker: m.id}, nil
	}
	err := m.session.Claim(string(request.Owner), request.Epoch, milliseconds(request.TTLMS), now)
	var refused *lease.RefusedError
	if errors.As(err, &refused) {
		return platform.WorkerState{}, m.refuse(now, "session is held by another owner or the epoch is not higher")
	}
	return m.state(0, now), nil
}

// renew renews the session and the leases of the running tasks, except those of the jobs in request.Withhold.
func (m *machine) renew(request platform.RenewRequest, now time.Time) (platform.WorkerState, error) {
	if err := m.session.Renew(string(request.Owner), request.Epoch, milliseconds(request.TTLMS), now); err != nil {
		return platform.WorkerState{}, m.refuse(now, "session is not held by the caller")
	}
	for key, t := range m.tasks {
		if !t.status.Phase.Ended() && t.status.Phase != platform.TaskHeld && !slices.Contains(request.Withhold, key.job) {
			t.leaseExpiry = now.Add(milliseconds(request.TaskLeaseMS))
		}
	}
	return m.state(request.Since, now), nil
}

// fence refuses a command whose owner does not hold a valid session, or whose scheduler has been replaced.
func (m *machine) fence(f platform.Fence, now time.Time) error {
	if string(f.Owner) != m.session.Holder || f.Epoch != m.session.Epoch {
		return m.refuse(now, "command from an owner that does not hold the session")
	}
	if !m.session.Live(now) {
		return m.refuse(now, "session has expired")
	}
	if f.SchedulerEpoch < m.schedulerEpoch {
		return m.refuse(now, "command from a scheduler with an older epoch")
	}
	m.schedulerEpoch = f.SchedulerEpoch
	return nil
}

// hold reserves accelerators for a task. A repeated hold of the same task extends the reservation.
func (m *machine) hold(request platform.HoldRequest, now time.Time) error {
	key := keyOf(request.Task)
	if t, known := m.tasks[key]; known {
		if t.status.Phase != platform.TaskHeld {
			return m.refuse(now, "task is already %s", t.status.Phase)
		}
		t.holdExpiry = now.Add(milliseconds(request.TTLMS))
		return nil
	}
	busy := m.busy()
	for _, index := range request.Task.Accelerators {
		if index < 0 || index >= m.options.Accelerators || busy[index] {
			return m.refuse(now, "accelerator %d is not free", index)
		}
	}
	t := &task{holdExpiry: now.Add(milliseconds(request.TTLMS)), share: 1}
	t.status = platform.TaskStatus{Task: request.Task, SavedWork: request.Task.Attained}
	m.tasks[key] = t
	m.setPhase(t, platform.TaskHeld, "")
	return nil
}

// start starts a held task. A repeated start has no effect.
func (m *machine) start(command platform.TaskCommand, now time.Time) error {
	t, known := m.tasks[commandKey(command)]
	if !known {
		return m.refuse(now, "task is not held here")
	}
	if t.status.Phase == platform.TaskRunning {
		return nil
	}
	if t.status.Phase != platform.TaskHeld {
		return m.refuse(now, "task is %s", t.status.Phase)
	}
	t.started = now
	t.endsAt = now.Add(m.runTime(t.status.Task))
	t.leaseExpiry = now.Add(milliseconds(command.TaskLeaseMS))
	if m.failing || (m.options.FailJob != nil && m.options.FailJob(t.status.Task.Job)) {
		t.failsAt = now.Add(m.options.FailAfter)
	}
	m.setPhase(t, platform.TaskRunning, "")
	m.fleet.recordStart(m.id, t)
	return nil
}

// runTime returns the remaining real run time of a task that starts now.
func (m *machine) runTime(t structs.Task) time.Duration {
	if t.Job.RunTime <= 0 {
		return endlessRunTime
	}
	factor := 1.0
	if m.options.RunTimeFactor != nil {
		factor = m.options.RunTimeFactor(t.Job)
	}
	return max(0, time.Duration(float64(t.Job.RunTime)*factor)-t.Attained)
}

// release ends the hold of a task, or kills the task if it runs.
func (m *machine) release(command platform.TaskCommand, now time.Time) error {
	t, known := m.tasks[commandKey(command)]
	if !known {
		return nil
	}
	if t.status.Phase == platform.TaskFinished {
		return m.refuse(now, "the task has finished") // the owner must not record it as stopped
	}
	if t.status.Phase == platform.TaskHeld {
		m.setPhase(t, platform.TaskStopped, "hold released")
		return nil
	}
	m.end(t, platform.TaskStopped, "killed", now)
	return nil
}

// stop ends a task, after a checkpoint if the command asks for one.
func (m *machine) stop(command platform.TaskCommand, now time.Time) error {
	t, known := m.tasks[commandKey(command)]
	if known && t.status.Phase == platform.TaskFinished {
		return m.refuse(now, "the task has finished") // the owner must not record it as stopped
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
	t.checkpointEndsAt = now.Add(time.Duration(float64(t.status.Task.Job.Checkpoint) * factor))
	t.killAt = now.Add(milliseconds(command.GraceMS))
	m.setPhase(t, platform.TaskCheckpointing, "")
	return nil
}

// throttle changes the speed of a running task; its remaining run time changes accordingly.
func (m *machine) throttle(command platform.TaskCommand, now time.Time) error {
	t, known := m.tasks[commandKey(command)]
	if !known || t.status.Phase != platform.TaskRunning {
		return m.refuse(now, "task is not running here")
	}
	if command.Share <= 0 || command.Share > 1 {
		return m.refuse(now, "share %v is outside (0, 1]", command.Share)
	}
	remaining := t.endsAt.Sub(now)
	t.endsAt = now.Add(time.Duration(float64(remaining) * t.share / command.Share))
	t.share = command.Share
	return nil
}

// forget marks an ended task as forgotten. Its id stays known for forgottenRetention.
func (m *machine) forget(command platform.TaskCommand, now time.Time) error {
	t, known := m.tasks[commandKey(command)]
	if !known || t.status.Phase == platform.TaskForgotten {
		return nil
	}
	if !t.status.Phase.Ended() {
		return m.refuse(now, "task is %s", t.status.Phase)
	}
	t.forgottenAt = now
	m.setPhase(t, platform.TaskForgotten, "")
	return nil
}

// advance applies the changes that became due since the last call. A running task ends at the time when its end was due.
func (m *machine) advance(now time.Time) {
	for key, t := range m.tasks {
		switch t.status.Phase {
		case platform.TaskHeld:
			if !now.Before(t.holdExpiry) {
				m.setPhase(t, platform.TaskLapsed, "hold expired")
			}
		case platform.TaskRunning, platform.TaskCheckpointing:
			m.advanceRunning(t, now)
		case platform.TaskForgotten:
			if now.Sub(t.forgottenAt) > forgottenRetention {
				delete(m.tasks, key)
			}
		}
	}
	m.refreshUsage(now)
}

// advanceRunning applies the earliest end of a running task that is due.
func (m *machine) advanceRunning(t *task, now time.Time) {
	type dueEnd struct {
		at      time.Time
		phase   platform.TaskPhase
		message string
	}
	all := []dueEnd{
		{t.failsAt, platform.TaskFailed, "exit status 1"},
		{t.endsAt, platform.TaskFinished, ""},
		{t.leaseExpiry, platform.TaskLapsed, "lease expired"},
		{t.checkpointEndsAt, platform.TaskStopped, "checkpoint saved"},
		{t.killAt, platform.TaskStopped, "killed after the grace period"},
	}
	all = slices.DeleteFunc(all, func(d dueEnd) bool { return d.at.IsZero() || d.at.After(now) })
	if len(all) == 0 {
		return
	}
	first := slices.MinFunc(all, func(a, b dueEnd) int { return a.at.Compare(b.at) })
	if first.at.Equal(t.checkpointEndsAt) && first.phase == platform.TaskStopped {
		t.status.SavedWork = t.status.Task.Attained + first.at.Sub(t.started)
	}
	m.end(t, first.phase, first.message, first.at)
}

// end ends a running task and records its run time. It has no effect on a task that has ended.
func (m *machine) end(t *task, phase platform.TaskPhase, message string, at time.Time) {
	if t.status.Phase.Ended() {
		return
	}
	t.status.RanFor = at.Sub(t.started)
	m.setPhase(t, phase, message)
	m.fleet.recordEnd(m.id, t, at)
}

// setPhase changes the phase of a task and gives it the next sequence number.
func (m *machine) setPhase(t *task, phase platform.TaskPhase, message string) {
	m.sequence++
	t.status.Phase = phase
	t.status.Message = message
	t.status.Sequence = m.sequence
}

// busy returns the indices of the accelerators that held and running tasks occupy.
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

// refreshUsage updates the reported usage if it is older than UsageLag.
func (m *machine) refreshUsage(now time.Time) {
	if now.Sub(m.usage.AsOf) < m.options.UsageLag {
		return
	}
	m.usage = platform.WorkerUsage{AsOf: now, Busy: slices.Sorted(maps.Keys(m.busy()))}
	m.usage.CoresUsed = float64(len(m.usage.Busy))
}

// state returns the worker's state with the tasks that changed after a sequence number.
func (m *machine) state(since uint64, now time.Time) platform.WorkerState {
	usage := m.usage
	state := platform.WorkerState{
		Worker: m.id, Accelerators: m.options.Accelerators, Cores: m.options.Cores, MemoryMB: m.options.MemoryMB,
		Sequence: m.sequence, SchedulerEpoch: m.schedulerEpoch, Usage: &usage,
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

// decode decodes the JSON body of a request.
func decode[T any](data []byte) (T, error) {
	var value T
	err := json.Unmarshal(data, &value)
	return value, err
}
