// Package rackowner holds the leased sessions with the workers of the racks that this instance owns. The Owner renews
// them, reports the workers' state to the data centre's scheduler as a change feed, and forwards the scheduler's
// commands. The Client is the scheduler's side of that protocol.
package rackowner

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Change is an update of one worker's state in the change feed. A Change without a Worker ends the initial snapshot:
// every change before it describes the state at the time when the scheduler attached.
type Change struct {
	Worker    structs.WorkerID      `msgpack:"worker"`
	Rack      structs.RackID        `msgpack:"rack"`
	Reachable bool                  `msgpack:"reachable"` // the rack owner holds the worker's session
	State     *platform.WorkerState `msgpack:"state"`     // nil when unreachable; unless Full is set, Tasks lists only changed tasks
	Full      bool                  `msgpack:"full"`      // State lists every task that the worker has
	// Holder is the other instance that holds the worker's session, as reported by the worker itself. The worker's
	// tasks keep running under that instance, so they are not lost.
	Holder structs.InstanceID `msgpack:"holder,omitempty"`
	// Gone reports that the instance list no longer shows the worker.
	Gone bool `msgpack:"gone,omitempty"`
}

// Racks is the scheduler's interface to the rack owners of its data centre. Workers and rack owners refuse commands of
// an outdated scheduler epoch. An error with peer.ErrNotSent in its chain, or a *platform.RefusedError, means that the
// command had no effect; any other error leaves its outcome unknown.
type Racks interface {
	// Attach claims the scheduler role at all reachable rack owners of the data centre and starts the change feed. It
	// returns when the full state of every reachable worker has been queued in the feed.
	Attach(ctx context.Context) error
	// Changes returns the change feed. The channel is closed when the scheduler role is lost.
	Changes() <-chan Change
	// Hold reserves the task's accelerators on its worker for ttl.
	Hold(ctx context.Context, task structs.Task, ttl time.Duration) error
	// Start runs a held task.
	Start(ctx context.Context, task structs.Task) error
	// Release cancels a hold.
	Release(ctx context.Context, task structs.Task) error
	// Stop ends a running task, after a checkpoint within the grace period if checkpoint is set.
	Stop(ctx context.Context, task structs.Task, checkpoint bool, grace time.Duration) error
	// Forget lets the worker drop its record of an ended task.
	Forget(ctx context.Context, task structs.Task) error
	// Withhold replaces the set of jobs whose task leases are no longer extended.
	Withhold(ctx context.Context, jobs []structs.JobID) error
	// Detach releases the scheduler role at once.
	Detach(ctx context.Context)
}
