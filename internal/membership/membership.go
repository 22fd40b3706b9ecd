// Package membership keeps each entry instance's view of the deployment. It combines the platform's instance list,
// which lags behind, with heartbeats between entry instances.
package membership

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// View is a read-only view of the deployment. It may differ between instances, so nothing may depend on it for safety.
// Returned slices and maps are shared and must not be changed.
type View interface {
	// Self returns this instance's identifier and data centre.
	Self() (structs.InstanceID, structs.DataCentre)
	// Entries returns the entry instances of a data centre that may own keys: live, not leaving and not suspected.
	Entries(dc structs.DataCentre) []structs.InstanceID
	// AllEntries returns every known entry instance of the deployment, with its data centre. An instance that is gone
	// stays in it for 15 minutes, so that the work and slots that it held can be cleaned up.
	AllEntries() map[structs.InstanceID]structs.DataCentre
	// Owner returns the owner of key by rendezvous hashing over Entries(dc), "" when there is none.
	Owner(dc structs.DataCentre, key string) structs.InstanceID
	// Workers returns the workers of a data centre in the instance list.
	Workers(dc structs.DataCentre) []platform.Instance
	// Minions returns the minions of a service in a data centre in the instance list, with their states.
	Minions(dc structs.DataCentre, service structs.ServiceName) []platform.Instance
	// Gone reports whether a process is known to have ended: its host refused a connection, it announced its end, or it is
	// missing from a list that is newer than its last message. A timeout alone never makes it gone.
	Gone(id structs.InstanceID) bool
	// Fresh reports whether this process's heartbeat loop ran recently and the view has been refreshed since the start or
	// the last freeze. Nothing may be dispatched to a minion while it is false.
	Fresh() bool
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}

// OwnerKeyScheduler is the key under which the scheduler role of a data centre is assigned.
const OwnerKeyScheduler = "scheduler"

// Scope selects the peers that receive a value.
type Scope uint8

// Scopes of values.
const (
	SameDataCentre   Scope = iota // all other instances of the sender's data centre
	OtherDataCentres              // Timing.Partners instances of each other data centre
	Everywhere                    // both
)

// Values attaches small values of other packages to heartbeats, such as free slots, the configuration version or the
// job stream offset. Only changed values are sent. Instances of the same data centre receive a value within about one
// heartbeat. In every other data centre only a few instances receive it; when it must reach all of them, the receivers
// have to attach it again.
type Values interface {
	// Attach registers the source of a topic's value. source is called before each round of heartbeats, and its result is
	// sent when the encoding has changed. Attach all topics before Run. source must not block, and of Members it may call
	// only the methods of View.
	Attach(topic string, scope Scope, source func() any)
	// Value decodes the latest value received from an instance and returns when it last changed; found is false when there
	// is none. The value of an instance that is gone stays available for 15 minutes.
	Value(from structs.InstanceID, topic string, into any) (changed time.Time, found bool, err error)
	// Watch returns a channel that is closed at the next change of any instance's value of a topic.
	Watch(topic string) <-chan struct{}
}
