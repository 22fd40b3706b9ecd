package rackowner

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/lease"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Kinds of peer calls to a rack owner.
const (
	kindAttach     = "rackowner.attach"
	kindChanges    = "rackowner.changes"
	kindHold       = "rackowner.hold"
	kindStart      = "rackowner.start"
	kindRelease    = "rackowner.release"
	kindStop       = "rackowner.stop"
	kindForget     = "rackowner.forget"
	kindRenewGangs = "rackowner.renew_gangs"
)

// Claim identifies a scheduler and the epoch of its role at one rack owner.
type Claim struct {
	Scheduler structs.InstanceID `msgpack:"scheduler"`
	Epoch     uint64             `msgpack:"epoch"`
}

// AttachRequest claims the scheduler role at a rack owner, or releases it when Release is set.
type AttachRequest struct {
	Claim   Claim         `msgpack:"claim"`
	TTL     time.Duration `msgpack:"ttl"`
	Release bool          `msgpack:"release"`
}

// AttachResponse holds the full state of the rack owner's workers, or the reason for a refusal.
type AttachResponse struct {
	Refused  *lease.RefusedError `msgpack:"refused"`
	Sequence uint64              `msgpack:"sequence"` // value of Since for the first ChangesRequest
	Changes  []Change            `msgpack:"changes"`
}

// ChangesRequest is a long poll for the changes after the sequence number Since. It waits at most Wait.
type ChangesRequest struct {
	Claim Claim         `msgpack:"claim"`
	Since uint64        `msgpack:"since"`
	Wait  time.Duration `msgpack:"wait"`
}

// ChangesResponse holds the changes up to the sequence number Sequence.
type ChangesResponse struct {
	Refused  *lease.RefusedError `msgpack:"refused"`
	Sequence uint64              `msgpack:"sequence"`
	Changes  []Change            `msgpack:"changes"`
}

// RenewGangsRequest renews the scheduler role and permits the rack owner to extend the task leases of gangs that span
// several rack owners.
type RenewGangsRequest struct {
	Claim    Claim           `msgpack:"claim"`
	TTL      time.Duration   `msgpack:"ttl"`
	Permit   bool            `msgpack:"permit"` // false until the scheduler has rebuilt its view of the gangs
	Withhold []structs.JobID `msgpack:"withhold"`
}

// RenewGangsResponse holds the reason when the renewal was refused.
type RenewGangsResponse struct {
	Refused *lease.RefusedError `msgpack:"refused"`
}

// CommandRequest is a command for one worker.
type CommandRequest struct {
	Claim      Claim         `msgpack:"claim"`
	Task       structs.Task  `msgpack:"task"`
	TTL        time.Duration `msgpack:"ttl"`        // lifetime of a hold; used by hold only
	Checkpoint bool          `msgpack:"checkpoint"` // whether to write a checkpoint; used by stop only
	Grace      time.Duration `msgpack:"grace"`      // time for the checkpoint; used by stop only
}

// CommandResponse is the outcome of a command. If all fields are empty, the command took effect.
type CommandResponse struct {
	Refusal *platform.Refusal `msgpack:"refusal"`  // set when the command was refused and had no effect
	NotSent bool              `msgpack:"not_sent"` // the command did not reach the worker and had no effect
	Failure string            `msgpack:"failure"`  // error text; the outcome is unknown unless NotSent is set
}

// endpoint is a rack owner as the Client calls it: an Owner in the same process, or one reached by peer calls.
type endpoint interface {
	Attach(ctx context.Context, request AttachRequest) (AttachResponse, error)
	Changes(ctx context.Context, request ChangesRequest) (ChangesResponse, error)
	RenewGangs(ctx context.Context, request RenewGangsRequest) (RenewGangsResponse, error)
	Command(ctx context.Context, kind string, request CommandRequest) (CommandResponse, error)
}
