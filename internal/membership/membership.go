// Package membership keeps each entry instance's view of the deployment: the platform's lagging instance list,
// refined by heartbeats between entry instances.
package membership

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// View is a read-only view of the deployment. It may differ between instances, so nothing may depend on it for safety.
// Returned slices and maps are shared and must not be changed.
type View interface {
	// Self returns the own identifier and data centre.
	Self() (structs.InstanceID, structs.DataCentre)
	// Entries returns the entry instances of a data centre that take part in ownership: live, not leaving, not suspected.
	Entries(dc structs.DataCentre) []structs.InstanceID
	// AllEntries returns every known entry instance of the deployment, with its data centre. It includes instances that
	// are gone, for 15 minutes, so that what they held can be settled.
	AllEntries() map[structs.InstanceID]structs.DataCentre
	// Owner returns the rendezvous winner for key among Entries(dc), "" when there is none.
	Owner(dc structs.DataCentre, key string) structs.InstanceID
	// Workers returns the workers of a data centre that the list shows.
	Workers(dc structs.DataCentre) []platform.Instance
	// Minions returns the minions of a service in a data centre that the list shows, with their states.
	Minions(dc structs.DataCentre, service structs.ServiceName) []platform.Instance
	// Gone reports whether a process is known to have ended: its host refused a connection, it announced its end, or a list
	// read after it was last heard no longer shows it. A timeout alone never makes it gone.
	Gone(id structs.InstanceID) bool
	// Fresh reports whether this process's own heartbeat loop ran recently. It is false right after a freeze, until the
	// view has been refreshed; nothing may be dispatched to a minion while it is false.
	Fresh() bool
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}

// OwnerKeyScheduler is the key under which the scheduler role of a data centre is assigned.
const OwnerKeyScheduler = "scheduler"

// Scope tells which peers receive a value.
type Scope uint8

// Scopes of values.
const (
	SameDataCentre   Scope = iota // instances of the own data centre
	OtherDataCentres              // Timing.Partners instances of each other data centre
	Everywhere                    // both
)

// Values attaches small values of other packages to heartbeats: free slots, configuration version, job stream offset.
// Only differences are sent. Instances of the own data centre receive a value within about one heartbeat. In every other
// data centre only a few instances receive it, so what must reach all of them has to be attached again by its receivers.
type Values interface {
	// Attach calls source before each round of heartbeats and sends what it returns when its encoding has changed. All
	// topics are attached before Run. source must not block and must not call Members.
	Attach(topic string, scope Scope, source func() any)
	// Value decodes the latest value that was received from an instance and returns when it last changed, false when there
	// is none. The value of an instance that is gone stays for some minutes.
	Value(from structs.InstanceID, topic string, into any) (changed time.Time, found bool, err error)
	// Watch returns a channel that is closed at the next change of any instance's value of a topic.
	Watch(topic string) <-chan struct{}
}
