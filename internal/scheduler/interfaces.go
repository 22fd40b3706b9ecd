// Package scheduler decides which jobs of one data centre start, stop and yield their accelerators. A job either uses a
// guarantee of its customer or is a borrower, which its customer is charged for and which may be preempted.
//
// A Scheduler runs on every entry instance and is active on the instance that membership names as owner of the role, once
// that has attached to the rack owners. It stores nothing: its state is rebuilt from the rack owners' change feed and from
// the job stream.
package scheduler

import (
	"context"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Accepted is a job that the job stream has accepted.
type Accepted struct {
	Job       structs.Job
	Cancelled bool
}

// Result is the content of a finish record.
type Result struct {
	State    structs.JobState `json:"state" msgpack:"state"` // a final state
	Message  string           `json:"message,omitempty" msgpack:"message,omitempty"`
	Attempts int              `json:"attempts" msgpack:"attempts"`
	RanFor   time.Duration    `json:"ran_for" msgpack:"ran_for"`
	EndedAt  time.Time        `json:"ended_at" msgpack:"ended_at"`
}

// Jobs is what the scheduler needs of the data centre's job stream. Job ids are unique per customer. Reads are served
// from the fold: this instance's view of the stream, computed from the records that it has read so far.
type Jobs interface {
	// Submit accepts a job. It returns nil when the job's first submit record is in the stream.
	Submit(ctx context.Context, job structs.Job) error
	// Cancel records that the customer wants the job to end.
	Cancel(ctx context.Context, customer structs.Customer, id structs.JobID) error
	// Finish records a result. The first finish record of a job counts.
	Finish(ctx context.Context, customer structs.Customer, id structs.JobID, result Result) error
	// Unfinished returns the accepted jobs without a finish record, in order of submission.
	Unfinished() []Accepted
	// Find returns a job and its result, which is nil while the job has none.
	Find(customer structs.Customer, id structs.JobID) (Accepted, *Result, bool)
	// CurrentAsOf returns the time at which the fold last reached the end of the stream.
	CurrentAsOf() time.Time
	// Changed returns a channel that is closed at the next change of the fold.
	Changed() <-chan struct{}
}

// Key qualifies a job's id with its customer, which makes it unique in the data centre.
func Key(customer structs.Customer, id structs.JobID) structs.JobID {
	return structs.JobID(string(customer) + "/" + string(id))
}

// bareID removes the customer from a qualified id.
func bareID(customer structs.Customer, key structs.JobID) structs.JobID {
	return structs.JobID(strings.TrimPrefix(string(key), string(customer)+"/"))
}
