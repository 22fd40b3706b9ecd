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

// Limits on the memory that other instances and the list can make this process use, and times.
const (
	maxRecords    = 4096             // known entry instances
	maxTopics     = 32               // attached values of one instance
	maxValueBytes = 16 << 10         // encoded size of one attached value
	goneRetention = 15 * time.Minute // time an ended instance stays known; longer than request keys live
	clockSkew     = time.Second      // largest difference between two hosts' clocks
	callTimeout   = time.Second      // timeout of one heartbeat
)

// Timing holds the intervals and limits of this package. A zero field means the default given in its comment.
type Timing struct {
	Heartbeat       time.Duration // interval to each instance of the own data centre; 250 ms
	HeartbeatRemote time.Duration // interval to the partners in other data centres; 1 s
	Suspect         time.Duration // silence after which an instance of the own data centre is suspected; 1.5 s
	// SuspectRemote is the silence after which a partner's report on its data centre is no longer used: three heartbeats
	// and a margin; 3.5 s.
	SuspectRemote   time.Duration
	ListPoll        time.Duration // interval of reads of the instance list; 500 ms
	FreezeThreshold time.Duration // pause of the heartbeat loop that counts as a freeze of this process; 2 s
	// Partners is the number of instances of each other data centre that this instance sends heartbeats to; 2, so that one
	// may fail.
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

// ListReader reads the platform's instance list. platform.List implements it.
type ListReader interface {
	Get(ctx context.Context) (platform.InstanceList, error)
}

// cachingListReader is a ListReader that returns its cached copy, with the old AsOf, while the list is unchanged.
type cachingListReader interface {
	// Forget drops the cached copy, so that the next Get returns a new AsOf.
	Forget()
}

// Config configures a Members.
type Config struct {
	Self        structs.InstanceID
	DataCentre  structs.DataCentre
	Address     string // host:port at which others reach this instance's HTTP interface
	PeerAddress string // host:port at which peers reach this instance
	// Incarnation distinguishes this process from earlier ones of the same instance; a later process has a higher one.
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

func (c Config) validated() (Config, error) {
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
