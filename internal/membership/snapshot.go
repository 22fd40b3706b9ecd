package membership

import (
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// snapshot is one version of the view. It is immutable, so readers need no lock.
type snapshot struct {
	entries       map[structs.DataCentre][]structs.InstanceID // sorted
	allEntries    map[structs.InstanceID]structs.DataCentre
	gone          map[structs.InstanceID]bool
	peerAddresses map[structs.InstanceID]string // host:port for peers
	list          *listIndex
	changed       chan struct{} // closed when the next snapshot replaces this one
}

// listIndex groups the workers and minions of one list.
type listIndex struct {
	workers map[structs.DataCentre][]platform.Instance
	minions map[minionGroup][]platform.Instance
}

type minionGroup struct {
	dc      structs.DataCentre
	service structs.ServiceName
}

func newListIndex(list platform.InstanceList) *listIndex {
	index := &listIndex{
		workers: make(map[structs.DataCentre][]platform.Instance),
		minions: make(map[minionGroup][]platform.Instance),
	}
	for _, row := range list.Instances {
		switch row.Role {
		case platform.RoleWorker:
			index.workers[row.DataCentre] = append(index.workers[row.DataCentre], row)
		case platform.RoleMinion:
			group := minionGroup{row.DataCentre, row.Service}
			index.minions[group] = append(index.minions[group], row)
		}
	}
	return index
}

// equal reports whether readers see the same in b as in s.
func (s *snapshot) equal(b *snapshot) bool {
	if s.list != b.list || len(s.entries) != len(b.entries) {
		return false
	}
	for dc, ids := range s.entries {
		if !slices.Equal(ids, b.entries[dc]) {
			return false
		}
	}
	return sameMap(s.allEntries, b.allEntries) && sameMap(s.gone, b.gone) && sameMap(s.peerAddresses, b.peerAddresses)
}

func sameMap[K, V comparable](a, b map[K]V) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if other, has := b[k]; !has || other != v {
			return false
		}
	}
	return true
}

// Self implements View.
func (m *Members) Self() (structs.InstanceID, structs.DataCentre) {
	return m.config.Self, m.config.DataCentre
}

// Entries implements View. The identifiers are sorted.
func (m *Members) Entries(dc structs.DataCentre) []structs.InstanceID {
	return m.view.Load().entries[dc]
}

// AllEntries implements View.
func (m *Members) AllEntries() map[structs.InstanceID]structs.DataCentre {
	return m.view.Load().allEntries
}

// Owner implements View.
func (m *Members) Owner(dc structs.DataCentre, key string) structs.InstanceID {
	return Rendezvous(m.Entries(dc), key)
}

// Workers implements View.
func (m *Members) Workers(dc structs.DataCentre) []platform.Instance {
	return m.view.Load().list.workers[dc]
}

// Minions implements View.
func (m *Members) Minions(dc structs.DataCentre, service structs.ServiceName) []platform.Instance {
	return m.view.Load().list.minions[minionGroup{dc, service}]
}

// Gone implements View. It reports true for 15 minutes after the instance was found to be gone, and false for an
// instance that was never known.
func (m *Members) Gone(id structs.InstanceID) bool { return m.view.Load().gone[id] }

// Changed implements View. Get the channel before reading the view, so that no change is missed.
func (m *Members) Changed() <-chan struct{} { return m.view.Load().changed }

// PeerAddress returns the host:port at which an instance listens for peers, false when it is not known. It can be used
// as peer.Config.Resolve.
func (m *Members) PeerAddress(id structs.InstanceID) (string, bool) {
	address, known := m.view.Load().peerAddresses[id]
	return address, known && address != ""
}
