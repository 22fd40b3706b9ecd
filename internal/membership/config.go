package membership

import (
	"cmp"
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of what other instances and the list can make this process hold.
const (
	maxRecords    = 4096             // entry instances
	maxTopics     = 32               // attached values of one instance
	maxValueBytes = 16 << 10         // of one attached value
	keepGone      = 15 * time.Minute // longer than request keys live
	clockSkew     = time.Second      // between any two clocks
	callTimeout   = time.Second      // of one heartbeat
)

// Timing holds the intervals. A zero value means the default.
type Timing struct {
	Heartbeat       time.Duration // to each instance of the own data centre; 250 ms
	HeartbeatRemote time.Duration // to the partners in other data centres; 1 s
	Suspect         time.Duration // silence of an instance of the own data centre; 1.5 s
	// SuspectRemote is the silence after which what a partner reported counts no more: three heartbeats and a margin;
	// 3.5 s.
	SuspectRemote   time.Duration
	ListPoll        time.Duration // 500 ms
	FreezeThreshold time.Duration // pause of the own heartbeat loop; 2 s
	// Partners is how many instances of each other data centre this one sends heartbeats to; 2, so that one may fail.
	Partners int
}

func (t Timing) withDefaults() Timing {
	t.Heartbeat = cmp.Or(t.Heartbeat, 250*time.Millisecond)
	t.HeartbeatRemote = cmp.Or(t.HeartbeatRemote, time.Second)
	t.Suspect = cmp.Or(t.Suspect, 1500*time.Millisecond)
	t.SuspectRemote = cmp.Or(t.SuspectRemote, 3500*time.Millisecond)
	t.ListPoll = cmp.Or(t.ListPoll, 500*time.Millisecond)
	t.FreezeThreshold = cmp.Or(t.FreezeThreshold, 2*time.Second)
	t.Partners = cmp.Or(t.Partners, 2)
	return t
}

// ListReader reads the platform's instance list; platform.List is one.
type ListReader interface {
	Get(ctx context.Context) (platform.InstanceList, error)
}

// forgetter is a ListReader that returns its last copy while the list is unchanged, without a new AsOf.
type forgetter interface {
	// Forget makes the next Get bring a new AsOf.
	Forget()
}

// Config is what Members needs.
type Config struct {
	Self        structs.InstanceID
	DataCentre  structs.DataCentre
	Address     string // host:port of the own HTTP interface, as others reach it
	PeerAddress string // host:port for peers, as others reach it
	// Incarnation distinguishes this process from earlier ones with the same name; a later process has a higher one.
	Incarnation uint64
	List        ListReader
	Caller      peer.Caller
	Timing      Timing
	Events      *event.Log
	Scope       tally.Scope
	Now         func() time.Time // nil: time.Now
}

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

func (c Config) checked() (Config, error) {
	if c.Self == "" || c.DataCentre == "" || c.Incarnation == 0 || c.List == nil || c.Caller == nil {
		return c, errkind.New(errkind.Invalid, "report this", "membership needs a name, data centre, incarnation, list and caller")
	}
	c.Timing = c.Timing.withDefaults()
	if c.Events == nil {
		c.Events = event.Discard()
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c, nil
}
