package minion

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const testService = structs.ServiceName("raft-booking")

// world is what all views show, and the network between the instances.
type world struct {
	mu       sync.Mutex
	owner    map[string]structs.InstanceID
	entries  map[structs.InstanceID]structs.DataCentre
	gone     map[structs.InstanceID]bool
	minions  []platform.Instance
	handlers map[structs.InstanceID]peer.Handler
	changed  chan struct{}
}

func newWorld() *world {
	return &world{
		owner: map[string]structs.InstanceID{}, entries: map[structs.InstanceID]structs.DataCentre{},
		gone: map[structs.InstanceID]bool{}, handlers: map[structs.InstanceID]peer.Handler{}, changed: make(chan struct{}),
	}
}

func (w *world) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	close(w.changed)
	w.changed = make(chan struct{})
}

func read[T any](w *world, f func() T) T {
	w.mu.Lock()
	defer w.mu.Unlock()
	return f()
}

// instance is one entry instance: its view, its calls and its pool.
type instance struct {
	*world
	id     structs.InstanceID
	frozen atomic.Bool
	pool   *Pool
	stop   context.CancelFunc
}

func (i *instance) Self() (structs.InstanceID, structs.DataCentre)  { return i.id, "dc" }
func (i *instance) Entries(structs.DataCentre) []structs.InstanceID { return nil }
func (i *instance) Workers(structs.DataCentre) []platform.Instance  { return nil }
func (i *instance) Fresh() bool                                     { return !i.frozen.Load() }
func (i *instance) Changed() <-chan struct{} {
	return read(i.world, func() chan struct{} { return i.changed })
}
func (i *instance) Gone(id structs.InstanceID) bool {
	return read(i.world, func() bool { return i.gone[id] })
}
func (i *instance) AllEntries() map[structs.InstanceID]structs.DataCentre {
	return read(i.world, func() map[structs.InstanceID]structs.DataCentre { return maps.Clone(i.entries) })
}
func (i *instance) Owner(_ structs.DataCentre, key string) structs.InstanceID {
	return read(i.world, func() structs.InstanceID { return i.owner[key] })
}
func (i *instance) Minions(structs.DataCentre, structs.ServiceName) []platform.Instance {
	return read(i.world, func() []platform.Instance { return slices.Clone(i.minions) })
}
func (i *instance) Handle(_ string, handler peer.Handler) {
	i.change(func() { i.handlers[i.id] = handler })
}

// Call passes the messages through their encoding, as the network does.
func (i *instance) Call(ctx context.Context, to structs.InstanceID, _ string, request, response any) error {
	handler := read(i.world, func() peer.Handler { return i.handlers[to] })
	if handler == nil {
		<-ctx.Done() // a frozen instance does not answer
		return ctx.Err()
	}
	data, _ := msgpack.Marshal(request)
	answer, err := handler(ctx, i.id, func(into any) error { return msgpack.Unmarshal(data, into) })
	if err != nil {
		return err
	}
	data, _ = msgpack.Marshal(answer)
	return msgpack.Unmarshal(data, response)
}

func (w *world) addMinion(t *testing.T, owner structs.InstanceID, cfg standin.Config) *standin.Minion {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := standin.New(cfg)
	server := m.Server()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	w.change(func() {
		id := fmt.Sprintf("m%d", len(w.minions))
		w.minions = append(w.minions, platform.Instance{ID: id, Role: platform.RoleMinion, DataCentre: "dc",
			Address: listener.Addr().String(), Service: testService, State: platform.StateLive})
		w.owner["minion/"+id] = owner
	})
	return m
}

func (w *world) addInstance(t *testing.T, id structs.InstanceID, freeze time.Duration) *instance {
	i := &instance{world: w, id: id}
	w.change(func() { w.entries[id] = "dc" })
	text := &spec.Text{Services: []spec.Service{{Name: testService, Minions: &spec.Minions{Slots: 8, Connections: 64}}}}
	i.pool = New(Config{View: i, Peers: i, Text: func() *spec.Text { return text }, Events: event.Discard(),
		Poll: 50 * time.Millisecond, Freeze: freeze})
	i.pool.Register(i)
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = i.pool.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return i
}

func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
