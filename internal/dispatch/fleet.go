// Package dispatch schedules the tasks of jobs on workers for the leader of a term. It keeps the state of jobs and
// workers, decides which task starts where, and sends the orders. It records decisions that must outlive the term before
// it acts on them.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// WorkerInfo is what discovery shows of a worker.
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

// Target is the worker for which an order is meant, and its address.
type Target struct{ ID, Address string }

// StartOrder asks a worker to run a task.
type StartOrder struct {
	Task       workload.TaskName
	Run        int
	Spec       string
	LeaseEnd   int64 // end of the lease, in milliseconds of the worker's clock
	Token      int64 // fencing token of the scheduler's term
	Checkpoint string
	Ticket     string // the advisor's ticket, empty without one
}

// StopOrder asks a worker to end a run, or never to start it.
type StopOrder struct {
	Task  workload.TaskName
	Run   int
	Token int64
}

// HeartbeatOrder renews the leases of all runs on a worker and asks which runs it has and which have ended.
type HeartbeatOrder struct {
	Token           int64
	AcknowledgedEnd int64         // ends up to this number are recorded, so the worker may forget them
	LeaseEnd        int64         // end of the leases, in milliseconds of the worker's clock; 0 renews nothing
	Wait            time.Duration // how long the worker may wait for a run to end before it answers
	// SameProcess says that the order is only for the process that answered the worker's previous heartbeat.
	SameProcess bool
}

// ErrOtherProcessPossible says that a HeartbeatOrder with SameProcess was not sent, since another process might have received it.
var ErrOtherProcessPossible = errors.New("another process of the worker might receive the heartbeat")

// RunReport describes a run that a worker has.
type RunReport struct {
	Task       workload.TaskName
	Run        int
	Checkpoint string
	Percent    int
	// LatencyOrCPU is the tail latency in milliseconds of a task with a latency target, and the thousandths of a core that any
	// other task uses.
	LatencyOrCPU int64
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
	EndGangIncomplete Ending = "alone"  // the other members of the gang did not start in time
	EndLost           Ending = "lost"   // the worker no longer has the run, or it never began
)

// EndReport describes a run that has ended.
type EndReport struct {
	Number     int64 // sequence number of the end within one process of the worker
	Task       workload.TaskName
	Run        int
	Ending     Ending
	Checkpoint string
}

// HeartbeatReport is a worker's answer to a HeartbeatOrder.
type HeartbeatReport struct {
	Clock        int64 // the worker's clock, in milliseconds
	ProcessStart int64 // start of the worker's process, Unix milliseconds; 0 if not known
	Running      []RunReport
	Ended        []EndReport
	Partial      bool // a run that is not listed may be running or have ended
	Unreadable   int  // number of entries that cannot be decoded and are left out
}

// Fleet sends orders to workers. A *RefusalError means that the worker did nothing; after any other error the outcome is
// unknown.
type Fleet interface {
	Start(ctx context.Context, to Target, o StartOrder) (clock int64, err error)
	Stop(ctx context.Context, to Target, o StopOrder) (clock int64, err error)
	Heartbeat(ctx context.Context, to Target, o HeartbeatOrder) (HeartbeatReport, error)
	Pace(ctx context.Context, to Target, o PaceOrder) error
}

// PaceOrder sets the speed of a run.
type PaceOrder struct {
	Task    workload.TaskName
	Run     int
	Percent int // of full speed, 0 to 100
	Token   int64
}

// Advisor is an external service that decides which workers may run a step.
type Advisor interface {
	// Ask returns a ticket for each of the workers, at most MaxWorkersPerQuery, that may run the step, and how long the tickets
	// are valid. It returns ErrAdvisorBusy if too many queries wait.
	Ask(ctx context.Context, step StepName, workers []string) (tickets map[string]string, validity time.Duration, err error)
}

// MaxWorkersPerQuery is the number of workers that the platform lets a query to the advisor name.
const MaxWorkersPerQuery = 100

// StepName identifies a step of an occurrence of a job.
type StepName struct {
	Job              string
	Occurrence, Step int
}

// Refusal is the reason why a worker refused an order.
type Refusal string

// Reasons for refusing an order.
const (
	RefusedFenced       Refusal = "fenced"    // the worker has seen a later token
	RefusedStaleRun     Refusal = "old"       // the same or a later run was stopped or ended there
	RefusedLeaseOver    Refusal = "late"      // the lease was already over
	RefusedNoResources  Refusal = "no room"   // the worker lacks free resources
	RefusedTicket       Refusal = "ticket"    // the advisor's ticket is missing or has expired
	RefusedWrongProcess Refusal = "other"     // another process answers at the address
	RefusedUnhealthy    Refusal = "unhealthy" // the worker takes no orders for now
	RefusedInvalid      Refusal = "invalid"   // the worker does not understand the order
)

// RefusalError reports that a worker refused an order and did nothing.
type RefusalError struct{ Reason Refusal }

func (e *RefusalError) Error() string {
	return fmt.Sprintf("the worker refused the order: %s", e.Reason)
}

// refusalOf returns why a worker refused an order, or "" if err is another error.
func refusalOf(err error) Refusal {
	var refused *RefusalError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}
