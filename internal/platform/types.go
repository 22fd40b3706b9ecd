// Package platform holds the HTTP clients and wire types of what the platform gives: the log service, the
// instance list, workers and minions. All bodies are JSON.
package platform

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// AppendRequest is the body of POST /streams/{stream}/records. The log does not detect duplicates.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendResponse gives the offset of the appended record.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// ReadResponse is the answer to GET /streams/{stream}/records?from=N&max=M&wait_ms=W. Earliest is the oldest offset
// still retained, Next the offset that the next append gets. A from below Earliest starts at Earliest.
type ReadResponse struct {
	Earliest uint64      `json:"earliest"`
	Next     uint64      `json:"next"`
	Records  []LogRecord `json:"records"`
}

// Role tells what an instance of the list is.
type Role string

// Roles of instances.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
	RoleMinion Role = "minion"
)

// InstanceState is the state that the list shows.
type InstanceState string

// States of an instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one row of the instance list.
type Instance struct {
	ID          string              `json:"id"`
	Role        Role                `json:"role"`
	DataCentre  structs.DataCentre  `json:"data_centre"`
	Rack        structs.RackID      `json:"rack,omitempty"`         // workers only
	Address     string              `json:"address"`                // host:port of its HTTP interface
	PeerAddress string              `json:"peer_address,omitempty"` // entry instances only
	Service     structs.ServiceName `json:"service,omitempty"`      // minions only
	State       InstanceState       `json:"state"`
}

// InstanceList is the answer to GET /instances. It lags behind the truth.
type InstanceList struct {
	Revision  uint64     `json:"revision"`
	AsOf      time.Time  `json:"as_of"`
	Instances []Instance `json:"instances"`
}

// Fence identifies who commands a worker. A worker refuses a command whose epochs are older than ones it has seen.
type Fence struct {
	Owner          structs.InstanceID `json:"owner" msgpack:"owner"`
	Epoch          uint64             `json:"epoch" msgpack:"epoch"`
	SchedulerEpoch uint64             `json:"scheduler_epoch" msgpack:"scheduler_epoch"`
}

// SessionRequest claims a worker for its rack owner, or gives it back when Release is set.
type SessionRequest struct {
	Fence
	TTLMS   int64 `json:"ttl_ms"`
	Release bool  `json:"release,omitempty"`
}

// RenewRequest extends the session and the leases of all tasks but those of the jobs in Withhold.
type RenewRequest struct {
	Fence
	TTLMS       int64           `json:"ttl_ms"`
	TaskLeaseMS int64           `json:"task_lease_ms"`
	Since       uint64          `json:"since"` // sequence number of the last change that the owner has
	Withhold    []structs.JobID `json:"withhold,omitempty"`
}

// TaskPhase is the state of a task on its worker.
type TaskPhase string

// Phases of a task. A finished, failed, stopped or lapsed task is reported until it is forgotten. Once forgotten, its
// job id and attempt stay known to the worker as TaskForgotten for 10 minutes.
const (
	TaskHeld          TaskPhase = "held"
	TaskRunning       TaskPhase = "running"
	TaskCheckpointing TaskPhase = "checkpointing"
	TaskFinished      TaskPhase = "finished"
	TaskFailed        TaskPhase = "failed"
	TaskStopped       TaskPhase = "stopped" // on command
	TaskLapsed        TaskPhase = "lapsed"  // its lease ran out
	TaskForgotten     TaskPhase = "forgotten"
)

// Ended reports whether a task in this phase holds no accelerators any more.
func (p TaskPhase) Ended() bool {
	switch p {
	case TaskFinished, TaskFailed, TaskStopped, TaskLapsed, TaskForgotten:
		return true
	default:
		return false
	}
}

// TaskStatus is a worker's report on one task.
type TaskStatus struct {
	Task      structs.Task  `json:"task" msgpack:"task"`
	Phase     TaskPhase     `json:"phase" msgpack:"phase"`
	Sequence  uint64        `json:"sequence" msgpack:"sequence"`     // of its last change on this worker
	RanFor    time.Duration `json:"ran_for" msgpack:"ran_for"`       // in this attempt
	SavedWork time.Duration `json:"saved_work" msgpack:"saved_work"` // run time kept by its last checkpoint, all attempts
	Message   string        `json:"message,omitempty" msgpack:"message,omitempty"`
}

// WorkerUsage is what a worker reports about itself, with a lag.
type WorkerUsage struct {
	AsOf         time.Time `json:"as_of" msgpack:"as_of"`
	Busy         []int     `json:"busy" msgpack:"busy"` // accelerators in use
	CoresUsed    float64   `json:"cores_used" msgpack:"cores_used"`
	MemoryUsedMB int64     `json:"memory_used_mb" msgpack:"memory_used_mb"`
}

// WorkerState is the answer to a successful session claim (all tasks) and renewal (tasks changed since).
type WorkerState struct {
	Worker         structs.WorkerID `json:"worker" msgpack:"worker"`
	Accelerators   int              `json:"accelerators" msgpack:"accelerators"`
	Cores          int              `json:"cores" msgpack:"cores"`
	MemoryMB       int64            `json:"memory_mb" msgpack:"memory_mb"`
	Sequence       uint64           `json:"sequence" msgpack:"sequence"` // of the worker's latest change
	SchedulerEpoch uint64           `json:"scheduler_epoch" msgpack:"scheduler_epoch"`
	Tasks          []TaskStatus     `json:"tasks" msgpack:"tasks"`
	Usage          *WorkerUsage     `json:"usage,omitempty" msgpack:"usage,omitempty"`
}

// HoldRequest reserves accelerators for a task until TTLMS has passed or the task starts.
type HoldRequest struct {
	Fence
	Task  structs.Task `json:"task"`
	TTLMS int64        `json:"ttl_ms"`
}

// TaskCommand is the body of start, release, stop, throttle and forget.
type TaskCommand struct {
	Fence
	Job         structs.JobID `json:"job"`
	Attempt     uint64        `json:"attempt"`
	Member      int           `json:"member"`
	TaskLeaseMS int64         `json:"task_lease_ms,omitempty"` // start
	Checkpoint  bool          `json:"checkpoint,omitempty"`    // stop: save work first
	GraceMS     int64         `json:"grace_ms,omitempty"`      // stop: longest time for the checkpoint
	Share       float64       `json:"share,omitempty"`         // throttle: 0 to 1
}

// Refusal is the body of a 409 answer of a worker.
type Refusal struct {
	Reason         string             `json:"reason"`
	Owner          structs.InstanceID `json:"owner,omitempty"`
	Epoch          uint64             `json:"epoch"`
	SchedulerEpoch uint64             `json:"scheduler_epoch"`
	RemainingMS    int64              `json:"remaining_ms"`
}

// MinionStatus is the answer to GET /status at a minion.
type MinionStatus struct {
	Slots       int  `json:"slots"`
	SlotsBusy   int  `json:"slots_busy"`
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving"`
}
