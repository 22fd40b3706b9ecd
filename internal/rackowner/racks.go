// Package rackowner keeps the sessions with the workers of the racks that this instance owns, and serves them to the
// data centre's scheduler.
package rackowner

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Change is a difference in what a rack owner knows of a worker. A Change without a Worker marks the end of the report
// that Attach starts with: everything before it was there when the scheduler attached.
type Change struct {
	Worker    structs.WorkerID      `msgpack:"worker"`
	Rack      structs.RackID        `msgpack:"rack"`
	Reachable bool                  `msgpack:"reachable"` // the owner holds its session
	State     *platform.WorkerState `msgpack:"state"`     // nil when unreachable; Tasks holds only what changed, unless Full
	Full      bool                  `msgpack:"full"`      // State is complete: what it does not list does not exist
	// Holder is the other instance that holds the worker's session, when the worker itself said so. Its tasks then
	// keep running, so they are not lost.
	Holder structs.InstanceID `msgpack:"holder,omitempty"`
	// Gone means that the instance list no longer shows the worker.
	Gone bool `msgpack:"gone,omitempty"`
}

// Racks is what the scheduler needs of the rack owners of its data centre. Commands are fenced by the scheduler's epoch.
// An error with peer.ErrNotSent in its chain, or a *platform.RefusedError, means that the command had no effect.
type Racks interface {
	// Attach makes the caller the scheduler at all reachable rack owners of the data centre and starts the change feed.
	// It returns when every reachable worker has been reported in full.
	Attach(ctx context.Context) error
	// Changes returns the feed. It is closed when the scheduler role is lost.
	Changes() <-chan Change
	Hold(ctx context.Context, task structs.Task, ttl time.Duration) error
	Start(ctx context.Context, task structs.Task) error
	Release(ctx context.Context, task structs.Task) error
	Stop(ctx context.Context, task structs.Task, checkpoint bool, grace time.Duration) error
	Forget(ctx context.Context, task structs.Task) error
	// Withhold replaces the set of jobs whose task leases are no longer extended.
	Withhold(ctx context.Context, jobs []structs.JobID) error
	// Detach gives the role back at once.
	Detach(ctx context.Context)
}
