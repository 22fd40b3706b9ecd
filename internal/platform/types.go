// Package platform provides clients and message types for the HTTP interfaces of the platform: the log service, the
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

// ReadResponse is the answer to GET /streams/{stream}/records?from=N&max=M&wait_ms=W. When from is below Earliest, the
// records start at Earliest.
type ReadResponse struct {
	Earliest uint64      `json:"earliest"` // oldest offset that is still retained
	Next     uint64      `json:"next"`     // offset of the next record to be appended
	Records  []LogRecord `json:"records"`
}

// Role is the role of an instance in the instance list.
type Role string

// Roles of instances.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
	RoleMinion Role = "minion"
)

// InstanceState is the state of an instance in the instance list.
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

// InstanceList is the answer to GET /instances. It lags behind the real state of the instances.
type InstanceList struct {
	Revision  uint64     `json:"revision"`
	AsOf      time.Time  `json:"as_of"`
	Instances []Instance `json:"instances"`
	// Unreadable is the number of rows that cannot be decoded and are left out.
	Unreadable int `json:"-"`
}

// Fence is the fencing token of a command to a worker. A worker refuses a command with an epoch older than one it has seen.
type Fence struct {
	Owner          structs.InstanceID `json:"owner" msgpack:"owner"`
	Epoch          uint64             `json:"epoch" msgpack:"epoch"`
	SchedulerEpoch uint64             `json:"scheduler_epoch" msgpack:"scheduler_epoch"`
}

// SessionRequest claims a worker for its rack owner, or ends the session when Release is set.
type SessionRequest struct {
	Fence
	TTLMS   int64 `json:"ttl_ms"`
	Release bool  `json:"release,omitempty"`
}

// RenewRequest renews the session, and the leases of all tasks except those of the jobs in Withhold.
type RenewRequest struct {
	Fence
	TTLMS       int64           `json:"ttl_ms"`
	TaskLeaseMS int64           `json:"task_lease_ms"`
	Since       uint64          `json:"since"` // sequence number of the last change that the owner has received
	Withhold    []structs.JobID `json:"withhold,omitempty"`
}

// TaskPhase is the state of a task on its worker.
type TaskPhase string

// Phases of a task. A worker reports a finished, failed, stopped or lapsed task until it is told to forget it. After that it
// remembers the job id and attempt as TaskForgotten for 10 minutes.
const (
	TaskHeld          TaskPhase = "held"
	TaskRunning       TaskPhase = "running"
	TaskCheckpointing TaskPhase = "checkpointing"
	TaskFinished      TaskPhase = "finished"
	TaskFailed        TaskPhase = "failed"
	TaskStopped       TaskPhase = "stopped" // stopped by a command
	TaskLapsed        TaskPhase = "lapsed"  // lease expired
	TaskForgotten     TaskPhase = "forgotten"
)

// Ended reports whether a task in this phase no longer uses accelerators.
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
	Sequence  uint64        `json:"sequence" msgpack:"sequence"`     // sequence number of its last change on this worker
	RanFor    time.Duration `json:"ran_for" msgpack:"ran_for"`       // run time in this attempt
	SavedWork time.Duration `json:"saved_work" msgpack:"saved_work"` // run time saved by its last checkpoint, over all attempts
	Message   string        `json:"message,omitempty" msgpack:"message,omitempty"`
}

// WorkerUsage is the resource usage that a worker measures, with a lag.
type WorkerUsage struct {
	AsOf         time.Time `json:"as_of" msgpack:"as_of"`
	Busy         []int     `json:"busy" msgpack:"busy"` // indices of the accelerators in use
	CoresUsed    float64   `json:"cores_used" msgpack:"cores_used"`
	MemoryUsedMB int64     `json:"memory_used_mb" msgpack:"memory_used_mb"`
}

// WorkerState is the answer to a successful claim or renewal of a session. After a claim it has all tasks, after a renewal
// those that changed since the sequence number in the request.
type WorkerState struct {
	Worker         structs.WorkerID `json:"worker" msgpack:"worker"`
	Accelerators   int              `json:"accelerators" msgpack:"accelerators"`
	Cores          int              `json:"cores" msgpack:"cores"`
	MemoryMB       int64            `json:"memory_mb" msgpack:"memory_mb"`
	Sequence       uint64           `json:"sequence" msgpack:"sequence"` // sequence number of the worker's latest change
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
	TaskLeaseMS int64         `json:"task_lease_ms,omitempty"` // for start
	Checkpoint  bool          `json:"checkpoint,omitempty"`    // for stop: save a checkpoint first
	GraceMS     int64         `json:"grace_ms,omitempty"`      // for stop: longest time that the checkpoint may take
	Share       float64       `json:"share,omitempty"`         // for throttle: 0 to 1
}

// Refusal is the body of a worker's answer with status 409. It has the newest owner and epochs that the worker has seen.
type Refusal struct {
	Reason         string             `json:"reason"`
	Owner          structs.InstanceID `json:"owner,omitempty"`
	Epoch          uint64             `json:"epoch"`
	SchedulerEpoch uint64             `json:"scheduler_epoch"`
	RemainingMS    int64              `json:"remaining_ms"` // until the owner's session expires
}

// MinionStatus is the answer to GET /status at a minion.
type MinionStatus struct {
	Slots       int  `json:"slots"`
	SlotsBusy   int  `json:"slots_busy"`
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving"`
}
