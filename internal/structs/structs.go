// Package structs defines the identifiers and value types that the other packages share.
package structs

import "time"

// Identifiers. They are opaque strings, at most MaxIdentifierBytes long.
type (
	// DataCentre names a data centre of the deployment.
	DataCentre string
	// InstanceID names an entry instance. An instance that replaces another has a different one.
	InstanceID string
	// WorkerID names a worker.
	WorkerID string
	// RackID names a rack within its data centre.
	RackID string
	// MinionID names a minion: an endpoint that runs the requests of a service.
	MinionID string
	// Customer names a customer: a tenant that may have guarantees.
	Customer string
	// Caller names one of a customer's clients.
	Caller string
	// ServiceName names a service that the text declares.
	ServiceName string
	// KindName names a kind of request or of job.
	KindName string
	// JobID names a job. The caller chooses it, so that a retried submission is recognised.
	JobID string
)

// Limits on input from outside the process.
const (
	// MaxIdentifierBytes is the largest length of an identifier.
	MaxIdentifierBytes = 128
	// MaxBodyBytes is the largest size of the body of a request or an answer.
	MaxBodyBytes = 8 << 20
	// MaxUrgency is the highest urgency; the lowest is 0.
	MaxUrgency = 100
)

// Outcome tells the caller whether its request has run.
type Outcome string

const (
	// OutcomeAnswered means that the minion's whole answer was returned.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no byte of the request has reached a minion and none ever will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may or may not have run.
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
	// HeaderMinionOutcome is set to OutcomeNotRun by a minion that refuses a request without running it.
	HeaderMinionOutcome = "Minion-Outcome"
)

// Job is the unit of scheduling: one task on one worker, or a gang of tasks that run at the same time on several workers.
type Job struct {
	ID           JobID         `json:"id" msgpack:"id"`
	Customer     Customer      `json:"customer" msgpack:"customer"`
	Caller       Caller        `json:"caller,omitempty" msgpack:"caller,omitempty"`
	Kind         KindName      `json:"kind" msgpack:"kind"`
	DataCentre   DataCentre    `json:"data_centre" msgpack:"data_centre"`
	Accelerators int           `json:"accelerators" msgpack:"accelerators"` // total of all members
	RunTime      time.Duration `json:"run_time" msgpack:"run_time"`         // expected run time; the real one often differs widely
	Urgency      int           `json:"urgency" msgpack:"urgency"`           // 0 to MaxUrgency
	Checkpoint   time.Duration `json:"checkpoint" msgpack:"checkpoint"`     // longest time a checkpoint takes
	MaxRunTime   time.Duration `json:"max_run_time" msgpack:"max_run_time"`
	Service      ServiceName   `json:"service,omitempty" msgpack:"service,omitempty"` // set only for tasks that a service declares
	SubmittedAt  time.Time     `json:"submitted_at" msgpack:"submitted_at"`
}

// JobState is the state of a job that callers see.
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

// Final reports whether a job in this state never changes its state again.
func (s JobState) Final() bool {
	switch s {
	case JobFinished, JobFailed, JobCancelled, JobRefused:
		return true
	default:
		return false
	}
}

// Task is one member of a placed job, on one worker. It includes the whole job, so that a new scheduler can rebuild its
// state from the workers alone.
type Task struct {
	Job          Job           `json:"job" msgpack:"job"`
	Attempt      uint64        `json:"attempt" msgpack:"attempt"` // increases with every start of the job
	Member       int           `json:"member" msgpack:"member"`   // 0 to Members-1
	Members      int           `json:"members" msgpack:"members"`
	Worker       WorkerID      `json:"worker" msgpack:"worker"`
	Accelerators []int         `json:"accelerators" msgpack:"accelerators"` // indices of the accelerators on the worker
	CellSize     int           `json:"cell_size" msgpack:"cell_size"`       // size of the guaranteed cell that it uses; 0: borrowed accelerators
	Attained     time.Duration `json:"attained" msgpack:"attained"`         // run time of earlier attempts that checkpoints have saved
	Spent        time.Duration `json:"spent" msgpack:"spent"`               // run time of all earlier attempts, saved or not
	Starts       int           `json:"starts" msgpack:"starts"`             // number of started attempts, including this one
	Failures     int           `json:"failures" msgpack:"failures"`         // number of failed earlier attempts that count towards max_attempts
	LaunchedAt   time.Time     `json:"launched_at" msgpack:"launched_at"`   // start of this attempt by the scheduler's clock
}

// Guaranteed reports whether the task runs within its customer's guarantee. Such a task is never preempted.
func (t Task) Guaranteed() bool { return t.CellSize > 0 }
