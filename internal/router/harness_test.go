package router

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const raft = structs.ServiceName("raft-booking")

func testText() *spec.Text {
	return &spec.Text{
		Customers: []spec.Customer{{Name: "harbour-clubs", Weight: 4}, {Name: "jetty", Weight: 1}},
		Services: []spec.Service{{Name: raft, Minions: &spec.Minions{Slots: 8, Connections: 64}, Kinds: []spec.RequestKind{
			{Name: "book", Urgency: 90, Deadline: 2 * time.Second, Share: 0.5, RunTime: 5 * time.Millisecond},
			{Name: "quote", Urgency: 50, Deadline: time.Second, Idempotent: true, Share: 0.3, RunTime: 5 * time.Millisecond},
		}}},
	}
}

// site is a data centre with its minions and entry instances.
type site struct {
	t       *testing.T
	text    *spec.Text
	mu      sync.Mutex
	owner   map[string]structs.InstanceID
	rows    []platform.Instance
	minions []*standin.Minion
	servers []*http.Server
	entries map[structs.InstanceID]*entry
	lose    bool // answers of peers are lost
	changed chan struct{}
}

func newSite(t *testing.T) *site {
	return &site{t: t, text: testText(), owner: map[string]structs.InstanceID{}, entries: map[structs.InstanceID]*entry{}, changed: make(chan struct{})}
}

func locked[T any](s *site, f func() T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f()
}

func (s *site) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *site) addMinion(owner structs.InstanceID, serviceTime time.Duration) *standin.Minion {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	m := standin.New(standin.Config{Slots: 8, ServiceTime: serviceTime})
	server := m.Server()
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { server.Close() })
	s.change(func() {
		id := fmt.Sprintf("m%d", len(s.rows))
		s.rows = append(s.rows, platform.Instance{ID: id, Role: platform.RoleMinion, DataCentre: "dc", Address: listener.Addr().String(), Service: raft, State: platform.StateLive})
		s.owner["minion/"+id] = owner
		s.minions = append(s.minions, m)
		s.servers = append(s.servers, server)
	})
	return m
}

// entry is one entry instance: its view, its calls, its keys, its pool and its router.
type entry struct {
	*site
	id       structs.InstanceID
	handlers map[string]peer.Handler
	pool     *minion.Pool
	router   *Router
	keys     map[string]Begun
}

func (s *site) addEntry(id structs.InstanceID) *entry {
	e := &entry{site: s, id: id, handlers: map[string]peer.Handler{}, keys: map[string]Begun{}}
	text := func() *spec.Text { return s.text }
	e.pool = minion.New(minion.Config{View: e, Peers: e, Text: text, Events: event.Discard(), Poll: 50 * time.Millisecond})
	e.router = New(Config{Text: text, Pool: FromPool(e.pool), Keys: e, Peers: e, Calls: e, Dependencies: e, Events: event.Discard()})
	e.pool.Register(e)
	e.router.Register(e)
	s.change(func() { s.entries[id] = e })
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = e.pool.Run(ctx) })
	running.Go(func() { _ = e.router.Run(ctx) })
	s.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return e
}

func (e *entry) Self() (structs.InstanceID, structs.DataCentre)  { return e.id, "dc" }
func (e *entry) Entries(structs.DataCentre) []structs.InstanceID { return nil }
func (e *entry) Workers(structs.DataCentre) []platform.Instance  { return nil }
func (e *entry) Gone(structs.InstanceID) bool                    { return false }
func (e *entry) Fresh() bool                                     { return true }
func (e *entry) Down(structs.ServiceName) structs.ServiceName    { return "" }
func (e *entry) Handle(kind string, handler peer.Handler)        { e.handlers[kind] = handler }
func (e *entry) Changed() <-chan struct{} {
	return locked(e.site, func() chan struct{} { return e.changed })
}
func (e *entry) Owner(_ structs.DataCentre, key string) structs.InstanceID {
	return locked(e.site, func() structs.InstanceID { return e.owner[key] })
}
func (e *entry) Minions(structs.DataCentre, structs.ServiceName) []platform.Instance {
	return locked(e.site, func() []platform.Instance { return slices.Clone(e.rows) })
}
func (e *entry) AllEntries() map[structs.InstanceID]structs.DataCentre {
	all := map[structs.InstanceID]structs.DataCentre{}
	for id := range e.others() {
		all[id] = "dc"
	}
	return all
}

func (e *entry) others() map[structs.InstanceID]*entry {
	return locked(e.site, func() map[structs.InstanceID]*entry { return maps.Clone(e.entries) })
}

func (e *entry) FreeSlots(service structs.ServiceName) map[structs.InstanceID]int {
	free := map[structs.InstanceID]int{}
	for id, other := range e.others() {
		if id != e.id {
			free[id] = other.pool.Free(service)
		}
	}
	return free
}

// Call passes the messages through their encoding, and loses answers while the site says so.
func (e *entry) Call(ctx context.Context, to structs.InstanceID, kind string, request, response any) error {
	other := e.others()[to]
	data, _ := msgpack.Marshal(request)
	answer, err := other.handlers[kind](ctx, e.id, func(into any) error { return msgpack.Unmarshal(data, into) })
	if err != nil {
		return err
	}
	if kind == CallForward && locked(e.site, func() bool { return e.lose }) {
		return errors.New("answer was lost")
	}
	data, _ = msgpack.Marshal(answer)
	return msgpack.Unmarshal(data, response)
}

// Begin implements Keys. A key is "issuer/serial".
func (e *entry) Begin(_ context.Context, key string, _ structs.Customer, _ structs.ServiceName) (Begun, error) {
	issuer, _, _ := strings.Cut(key, "/")
	if issuer != string(e.id) {
		return Begun{State: KeyElsewhere, Issuer: structs.InstanceID(issuer)}, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	begun, used := e.keys[key]
	if !used {
		e.keys[key] = Begun{State: KeyRunning}
	}
	return begun, nil
}

// Finish implements Keys.
func (e *entry) Finish(key string, outcome structs.Outcome, answer *minion.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch outcome {
	case structs.OutcomeAnswered:
		e.keys[key] = Begun{State: KeyAnswered, Answer: answer}
	case structs.OutcomeNotRun:
		delete(e.keys, key)
	default:
		e.keys[key] = Begun{State: KeyUnknown}
	}
}

func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// MeasuredEntry starts one entry instance with minions for the measures. It returns the router, the specification and
// the address of the first minion.
func MeasuredEntry(t *testing.T, minions int) (*Router, *spec.Text, string, []*standin.Minion) {
	s := newSite(t)
	e := s.addEntry("x")
	for range minions {
		s.addMinion("x", 0)
	}
	assert.Assert(t, eventually(func() bool { return e.pool.Free(raft) == 8*minions }))
	return e.router, s.text, s.rows[0].Address, s.minions
}
