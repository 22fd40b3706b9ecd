// Package structs holds the identifiers and value types that the other packages share.
package structs

import "time"

// Identifiers. They are opaque strings, at most MaxIdentifierBytes long.
type (
	// DataCentre names a data centre of the deployment.
	DataCentre string
	// InstanceID names an entry instance; a replacement has another one.
	InstanceID string
	// WorkerID names a worker.
	WorkerID string
	// RackID names a rack within its data centre.
	RackID string
	// MinionID names an endpoint that runs requests of a service.
	MinionID string
	// Customer names a tenant that may hold guarantees.
	Customer string
	// Caller names one of a customer's own clients.
	Caller string
	// ServiceName names a service of the operators' text.
	ServiceName string
	// KindName names a kind of request or of job.
	KindName string
	// JobID names a job. The caller chooses it, so a repeated submission is recognised.
	JobID string
)

// Limits on input from outside the process.
const (
	// MaxIdentifierBytes bounds every identifier.
	MaxIdentifierBytes = 128
	// MaxBodyBytes bounds a request's and an answer's body.
	MaxBodyBytes = 8 << 20
	// MaxUrgency is the most urgent value; 0 is the least urgent one.
	MaxUrgency = 100
)

// Outcome is what is known about a request when its call ends.
type Outcome string

const (
	// OutcomeAnswered means that the minion's whole answer was returned.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no byte of the request reached a minion and none ever will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// HTTP headers between callers, entry instances and minions.
const (
	HeaderOutcome        = "Dogwoodnotch-Outcome"
	HeaderRequestID      = "Dogwoodnotch-Request-Id"
	HeaderCaller         = "Dogwoodnotch-Caller"
	HeaderTimeoutMS      = "Dogwoodnotch-Timeout-Ms"
	HeaderKind           = "Dogwoodnotch-Kind"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderMinionOutcome is set to OutcomeNotRun by a minion that refused a request before running it.
	HeaderMinionOutcome = "Minion-Outcome"
)

// Job is a unit of placement: one task on one worker, or a gang of tasks that run together.
type Job struct {
	ID           JobID         `json:"id" msgpack:"id"`
	Customer     Customer      `json:"customer" msgpack:"customer"`
	Caller       Caller        `json:"caller,omitempty" msgpack:"caller,omitempty"`
	Kind         KindName      `json:"kind" msgpack:"kind"`
	DataCentre   DataCentre    `json:"data_centre" msgpack:"data_centre"`
	Accelerators int           `json:"accelerators" msgpack:"accelerators"` // total over all members
	RunTime      time.Duration `json:"run_time" msgpack:"run_time"`         // declared, often far from the truth
	Urgency      int           `json:"urgency" msgpack:"urgency"`           // 0 to MaxUrgency
	Checkpoint   time.Duration `json:"checkpoint" msgpack:"checkpoint"`     // longest time a checkpoint takes
	MaxRunTime   time.Duration `json:"max_run_time" msgpack:"max_run_time"`
	Service      ServiceName   `json:"service,omitempty" msgpack:"service,omitempty"` // set on tasks that a service declares
	SubmittedAt  time.Time     `json:"submitted_at" msgpack:"submitted_at"`
}

// JobState is the state of a job as callers see it.
type JobState string

// States of a job. Finished, Failed, Cancelled and Refused are final.
const (
	JobWaiting   JobState = "waiting"
	JobStarting  JobState = "starting"
	JobRunning   JobState = "running"
	JobStopping  JobState = "stopping"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	JobRefused   JobState = "refused"
)

// Final reports whether a job in this state never changes again.
func (s JobState) Final() bool {
	switch s {
	case JobFinished, JobFailed, JobCancelled, JobRefused:
		return true
	default:
		return false
	}
}

// Task is one member of a placed job, on one worker. It carries the whole job, so that a new scheduler
// rebuilds its view from the workers alone.
type Task struct {
	Job          Job           `json:"job" msgpack:"job"`
	Attempt      uint64        `json:"attempt" msgpack:"attempt"` // rises with every start of the job
	Member       int           `json:"member" msgpack:"member"`   // 0 to Members-1
	Members      int           `json:"members" msgpack:"members"`
	Worker       WorkerID      `json:"worker" msgpack:"worker"`
	Accelerators []int         `json:"accelerators" msgpack:"accelerators"` // indices on the worker
	CellSize     int           `json:"cell_size" msgpack:"cell_size"`       // guaranteed shape it uses, 0 when borrowed
	Attained     time.Duration `json:"attained" msgpack:"attained"`         // run time of earlier attempts kept by checkpoints
	Spent        time.Duration `json:"spent" msgpack:"spent"`               // run time of all earlier attempts, kept or not
	Starts       int           `json:"starts" msgpack:"starts"`             // attempts that started, this one included
	Failures     int           `json:"failures" msgpack:"failures"`         // of earlier attempts, as max_attempts counts them
	LaunchedAt   time.Time     `json:"launched_at" msgpack:"launched_at"`   // of this attempt, by the scheduler's clock
}

// Guaranteed reports whether the task runs under its customer's guarantee and so is never preempted.
func (t Task) Guaranteed() bool { return t.CellSize > 0 }
