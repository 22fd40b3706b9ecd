// Package site is an in-process stand-in for one data centre: the membership view that its entry instances share, the network
// between them, and minions that listen on loopback. Tests of the request path change it while requests are served.
package site

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Name is the name of the data centre.
const Name = structs.DataCentre("fremantle")

// Site is a data centre with one service. It is safe for concurrent use.
type Site struct {
	service structs.ServiceName

	mu          sync.Mutex
	owners      map[string]structs.InstanceID // owner of each minion by ownership key, minion/ and its id
	minions     []platform.Instance           // minions in the order in which they were added
	entries     map[structs.InstanceID]*Entry
	gone        map[structs.InstanceID]bool // entry instances whose process has ended
	lostAnswers string                      // kind of call whose answers are lost
	changed     chan struct{}               // closed and replaced at each change
}

// New returns a site without instances.
func New(service structs.ServiceName) *Site {
	return &Site{
		service: service,
		owners:  map[string]structs.InstanceID{},
		entries: map[structs.InstanceID]*Entry{},
		gone:    map[structs.InstanceID]bool{},
		changed: make(chan struct{}),
	}
}

// change changes the site under its lock and notifies the watchers of Changed.
func (s *Site) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the result of f, called under the site's lock.
func read[T any](s *Site, f func() T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f()
}

// Minion is a stand-in minion that listens on loopback.
type Minion struct {
	*minion.Minion
	Address string
	server  *http.Server
}

// Kill closes the minion's connections and its listener.
func (m *Minion) Kill() { _ = m.server.Close() }

// AddMinion starts a minion that the given entry instance owns.
func (s *Site) AddMinion(owner structs.InstanceID, cfg minion.Config) (*Minion, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Minion{Minion: minion.New(cfg), Address: listener.Addr().String()}
	m.server = m.Server()
	go func() { _ = m.server.Serve(listener) }() // ends when Kill is called
	s.change(func() {
		id := fmt.Sprintf("m%d", len(s.minions))
		s.minions = append(s.minions, platform.Instance{ID: id, Role: platform.RoleMinion, DataCentre: Name,
			Address: m.Address, Service: s.service, State: platform.StateLive})
		s.owners["minion/"+id] = owner
	})
	return m, nil
}

// SetOwner changes the owner of a minion in every view. Minions are numbered from 0 in the order in which they were added.
func (s *Site) SetOwner(minion int, owner structs.InstanceID) {
	s.change(func() { s.owners[fmt.Sprintf("minion/m%d", minion)] = owner })
}

// ListLeaving makes the instance list show a minion as leaving.
func (s *Site) ListLeaving(minion int) {
	s.change(func() { s.minions[minion].State = platform.StateLeaving })
}

// SetGone records in every view that the process of an entry instance has ended.
func (s *Site) SetGone(id structs.InstanceID) { s.change(func() { s.gone[id] = true }) }

// Silence makes an entry instance stop answering calls. It adds the instance if it does not exist.
func (s *Site) Silence(id structs.InstanceID) {
	s.change(func() { s.entries[id] = &Entry{site: s, id: id} })
}

// LoseAnswers makes the answers to a kind of call get lost after the call was served.
func (s *Site) LoseAnswers(kind string) { s.change(func() { s.lostAnswers = kind }) }

// Entry is the membership view and the network connection of one entry instance. It implements membership.View, peer.Caller and
// peer.Registrar.
type Entry struct {
	site     *Site
	id       structs.InstanceID
	stale    atomic.Bool             // negation of Fresh
	handlers map[string]peer.Handler // handlers by kind of call; a call without a handler is never answered
}

// AddEntry adds an entry instance.
func (s *Site) AddEntry(id structs.InstanceID) *Entry {
	e := &Entry{site: s, id: id, handlers: map[string]peer.Handler{}}
	s.change(func() { s.entries[id] = e })
	return e
}

// SetFresh sets what Fresh returns.
func (e *Entry) SetFresh(fresh bool) { e.stale.Store(!fresh) }

// Self implements membership.View.
func (e *Entry) Self() (structs.InstanceID, structs.DataCentre) { return e.id, Name }

// Entries implements membership.View.
func (e *Entry) Entries(structs.DataCentre) []structs.InstanceID {
	return read(e.site, func() []structs.InstanceID { return slices.Sorted(maps.Keys(e.site.entries)) })
}

// AllEntries implements membership.View.
func (e *Entry) AllEntries() map[structs.InstanceID]structs.DataCentre {
	all := map[structs.InstanceID]structs.DataCentre{}
	for _, id := range e.Entries(Name) {
		all[id] = Name
	}
	return all
}

// Owner implements membership.View.
func (e *Entry) Owner(_ structs.DataCentre, key string) structs.InstanceID {
	return read(e.site, func() structs.InstanceID { return e.site.owners[key] })
}

// Workers implements membership.View.
func (e *Entry) Workers(structs.DataCentre) []platform.Instance { return nil }

// Minions implements membership.View.
func (e *Entry) Minions(structs.DataCentre, structs.ServiceName) []platform.Instance {
	return read(e.site, func() []platform.Instance { return slices.Clone(e.site.minions) })
}

// Gone implements membership.View.
func (e *Entry) Gone(id structs.InstanceID) bool {
	return read(e.site, func() bool { return e.site.gone[id] })
}

// Fresh implements membership.View.
func (e *Entry) Fresh() bool { return !e.stale.Load() }

// Changed implements membership.View.
func (e *Entry) Changed() <-chan struct{} {
	return read(e.site, func() chan struct{} { return e.site.changed })
}

// Handle implements peer.Registrar.
func (e *Entry) Handle(kind string, handler peer.Handler) {
	e.site.change(func() { e.handlers[kind] = handler })
}

// Call implements peer.Caller. Messages are encoded and decoded, as on the network.
func (e *Entry) Call(ctx context.Context, to structs.InstanceID, kind string, request, response any) error {
	other := read(e.site, func() *Entry { return e.site.entries[to] })
	if other == nil {
		return peer.ErrNotSent
	}
	handler := read(e.site, func() peer.Handler { return other.handlers[kind] })
	if handler == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, e.id, func(into any) error { return msgpack.Unmarshal(data, into) })
	if err != nil {
		return err
	}
	if read(e.site, func() bool { return e.site.lostAnswers == kind }) {
		return errors.New("the answer was lost")
	}
	data, err = msgpack.Marshal(answer)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(data, response)
}
