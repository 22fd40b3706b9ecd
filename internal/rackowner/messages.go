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

// Claim identifies a scheduler and its epoch.
type Claim struct {
	Scheduler structs.InstanceID `msgpack:"scheduler"`
	Epoch     uint64             `msgpack:"epoch"`
}

// AttachRequest claims the scheduler role at a rack owner, or gives it back when Release is set.
type AttachRequest struct {
	Claim   Claim         `msgpack:"claim"`
	TTL     time.Duration `msgpack:"ttl"`
	Release bool          `msgpack:"release"`
}

// AttachResponse gives everything that the rack owner knows, or why it refused.
type AttachResponse struct {
	Refused  *lease.RefusedError `msgpack:"refused"`
	Sequence uint64              `msgpack:"sequence"` // Since of the first ChangesRequest
	Changes  []Change            `msgpack:"changes"`
}

// ChangesRequest asks for what changed after a sequence number and waits for it at most Wait.
type ChangesRequest struct {
	Claim Claim         `msgpack:"claim"`
	Since uint64        `msgpack:"since"`
	Wait  time.Duration `msgpack:"wait"`
}

// ChangesResponse gives the changes up to Sequence.
type ChangesResponse struct {
	Refused  *lease.RefusedError `msgpack:"refused"`
	Sequence uint64              `msgpack:"sequence"`
	Changes  []Change            `msgpack:"changes"`
}

// RenewGangsRequest extends the scheduler role and permits the rack owner to extend gangs that span racks.
type RenewGangsRequest struct {
	Claim    Claim           `msgpack:"claim"`
	TTL      time.Duration   `msgpack:"ttl"`
	Permit   bool            `msgpack:"permit"` // false until the scheduler has rebuilt its view of the gangs
	Withhold []structs.JobID `msgpack:"withhold"`
}

// RenewGangsResponse tells why the renewal was refused, if it was.
type RenewGangsResponse struct {
	Refused *lease.RefusedError `msgpack:"refused"`
}

// CommandRequest is a command for one worker.
type CommandRequest struct {
	Claim      Claim         `msgpack:"claim"`
	Task       structs.Task  `msgpack:"task"`
	TTL        time.Duration `msgpack:"ttl"`        // hold
	Checkpoint bool          `msgpack:"checkpoint"` // stop
	Grace      time.Duration `msgpack:"grace"`      // stop
}

// CommandResponse tells how a command ended. All fields empty: it took effect.
type CommandResponse struct {
	Refusal *platform.Refusal `msgpack:"refusal"`  // no effect
	NotSent bool              `msgpack:"not_sent"` // no effect
	Failure string            `msgpack:"failure"`  // unknown effect unless one of the above is set
}

// endpoint is a rack owner as the scheduler's side calls it: the Owner itself, or one behind a peer.Caller.
type endpoint interface {
	Attach(ctx context.Context, request AttachRequest) (AttachResponse, error)
	Changes(ctx context.Context, request ChangesRequest) (ChangesResponse, error)
	RenewGangs(ctx context.Context, request RenewGangsRequest) (RenewGangsResponse, error)
	Command(ctx context.Context, kind string, request CommandRequest) (CommandResponse, error)
}
