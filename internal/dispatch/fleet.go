// Package dispatch schedules the tasks of jobs on workers for the holder of a term: it keeps jobs and workers, decides which
// task starts where, gives the orders, and records what must outlive the term before it acts on it.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// WorkerInfo is what discovery says of a worker.
type WorkerInfo struct {
	ID           string
	Address      string
	Service      string
	DataCentre   string
	Rack         string
	Labels       []string
	Capacity     workload.Resources
	Draining     bool
	Remaining    time.Duration // least time until a draining worker leaves
	ProcessStart int64         // start of the worker's process, Unix milliseconds; 0 if not known
}

// Target addresses one process of a worker.
type Target struct{ ID, Address string }

// StartOrder asks a worker to run a task.
type StartOrder struct {
	Task       workload.TaskName
	Run        int
	Spec       string
	LeaseEnd   int64 // end of the lease, milliseconds of the worker's clock
	Token      int64 // fencing token
	Checkpoint string
	Ticket     string // of the advice service
}

// StopOrder asks a worker to end a run, or never to begin it.
type StopOrder struct {
	Task  workload.TaskName
	Run   int
	Token int64
}

// HeartbeatOrder renews the lease of all that runs on a worker and asks what runs and what has ended.
type HeartbeatOrder struct {
	Token           int64
	AcknowledgedEnd int64         // ends up to this number are recorded and may be forgotten
	LeaseEnd        int64         // end of the lease, milliseconds of the worker's clock; 0 leaves it as it is
	Wait            time.Duration // for an end
}

// RunReport is a run that a worker has.
type RunReport struct {
	Task       workload.TaskName
	Run        int
	Checkpoint string
	Percent    int
	Gauge      int64 // tail latency in milliseconds of a task with a target, thousandths of a core in use of any other
}

// Ending is how a run ended.
type Ending string

// Endings of runs.
const (
	EndDone           Ending = "done"
	EndFailed         Ending = "failed"
	EndStopped        Ending = "stopped"
	EndLeaseExpired   Ending = "lapsed" // its lease was not renewed in time
	EndGangBroken     Ending = "broken" // another member of the gang ended
	EndGangIncomplete Ending = "alone"  // the other members of the gang did not come
	EndLost           Ending = "lost"   // the worker no longer has it, or it never began
)

// EndReport is a run that has ended.
type EndReport struct {
	Number     int64 // counts the ends of one process of the worker
	Task       workload.TaskName
	Run        int
	Ending     Ending
	Checkpoint string
}

// HeartbeatReport answers a HeartbeatOrder.
type HeartbeatReport struct {
	Clock        int64 // milliseconds of the worker's clock
	ProcessStart int64 // start of the worker's process, Unix milliseconds; 0 if not told
	Running      []RunReport
	Ended        []EndReport
	Partial      bool // more ends are to come
}

// Fleet gives orders to workers. Errors are *RefusalError when the worker did nothing; any other error leaves the outcome open.
type Fleet interface {
	Start(ctx context.Context, to Target, o StartOrder) (clock int64, err error)
	Stop(ctx context.Context, to Target, o StopOrder) (clock int64, err error)
	Heartbeat(ctx context.Context, to Target, o HeartbeatOrder) (HeartbeatReport, error)
	Pace(ctx context.Context, to Target, o PaceOrder) error
}

// PaceOrder sets the share of its speed at which a run works.
type PaceOrder struct {
	Task    workload.TaskName
	Run     int
	Percent int // 0 to 100
	Token   int64
}

// Advisor is the outside service that says which workers may run a step.
type Advisor interface {
	// Ask returns a ticket for each of the workers that may run the step, and for how long the tickets hold. ErrAdvisorBusy
	// says that too many questions wait.
	Ask(ctx context.Context, step StepName, workers []string) (tickets map[string]string, validity time.Duration, err error)
}

// StepName identifies a step of an occurrence of a job.
type StepName struct {
	Job              string
	Occurrence, Step int
}

// Refusal is why a worker did nothing.
type Refusal string

// Reasons for a refusal.
const (
	RefusedFenced       Refusal = "fenced"    // it has seen a later token
	RefusedStaleRun     Refusal = "old"       // an equal or later run was stopped or ended there
	RefusedLeaseOver    Refusal = "late"      // the lease had ended
	RefusedNoRoom       Refusal = "no room"   //
	RefusedTicket       Refusal = "ticket"    // the advice is missing or has expired
	RefusedWrongProcess Refusal = "other"     // another process lives at the address
	RefusedUnhealthy    Refusal = "unhealthy" // it takes no orders for now
	RefusedInvalid      Refusal = "invalid"   // it does not understand the order
)

// RefusalError says that a worker did nothing.
type RefusalError struct{ Reason Refusal }

func (e *RefusalError) Error() string {
	return fmt.Sprintf("the worker refused the order: %s", e.Reason)
}

// refusalOf returns why a worker did nothing, or "" when err says something else.
func refusalOf(err error) Refusal {
	var refused *RefusalError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}
