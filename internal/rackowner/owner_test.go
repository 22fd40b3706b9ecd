package rackowner

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// view is a membership view with one owner for all racks. The methods that it does not override panic.
type view struct {
	membership.View
	self    structs.InstanceID
	workers []platform.Instance
	mu      sync.Mutex
	owner   structs.InstanceID
	changed chan struct{}
}

func (v *view) Self() (structs.InstanceID, structs.DataCentre) { return v.self, "dc" }
func (v *view) Workers(structs.DataCentre) []platform.Instance { return v.workers }
func (v *view) Entries(structs.DataCentre) []structs.InstanceID {
	return []structs.InstanceID{"a", "b"}
}
func (v *view) Owner(structs.DataCentre, string) structs.InstanceID {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.owner
}
func (v *view) Changed() <-chan struct{} { v.mu.Lock(); defer v.mu.Unlock(); return v.changed }

func (v *view) setOwner(id structs.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.owner = id
	close(v.changed)
	v.changed = make(chan struct{})
}

var testTiming = Timing{
	SessionTTL: 400 * time.Millisecond, Renew: 50 * time.Millisecond, TaskLease: time.Second, HoldTTL: 500 * time.Millisecond,
}

// startOwners starts the rack owners a and b with four stand-in workers, all of which are owned by a.
func startOwners(t *testing.T) (fleet *standin.Fleet, views []*view, owners []*Owner) {
	t.Helper()
	ids := []structs.WorkerID{"w0", "w1", "w2", "w3"}
	fleet = standin.NewFleet(standin.Options{Accelerators: 8}, ids...)
	server := httptest.NewServer(fleet.Handler())
	t.Cleanup(server.Close)
	var listed []platform.Instance
	for _, id := range ids {
		listed = append(listed, platform.Instance{ID: string(id), Rack: "r0", Address: strings.TrimPrefix(server.URL, "http://")})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, id := range []structs.InstanceID{"a", "b"} {
		v := &view{self: id, workers: listed, owner: "a", changed: make(chan struct{})}
		client := platform.NewHTTPClient()
		t.Cleanup(client.CloseIdleConnections)
		o := New(Config{View: v, HTTP: client, Timing: testTiming, Log: event.Discard(), Metrics: tally.NoopScope})
		wg.Add(1)
		go func() { defer wg.Done(); _ = o.Run(ctx) }()
		views, owners = append(views, v), append(owners, o)
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	await(t, "a has all sessions", func() bool { n, _ := owners[0].Workers(); return n == 4 })
	return fleet, views, owners
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	check := func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}
	poll.WaitOn(t, check, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Guards against a change of rack owner that takes a session's lifetime although the old owner is alive and could
// release its sessions, and against two owners that both hold a worker's session.
func TestOwnershipMovesAtOnce(t *testing.T) {
	_, views, owners := startOwners(t)
	started := time.Now()
	for _, v := range views {
		v.setOwner("b")
	}
	await(t, "b has all sessions", func() bool { n, _ := owners[1].Workers(); return n == 4 })
	assert.Assert(t, time.Since(started) < testTiming.SessionTTL, "the sessions expired instead of being released")
	reachable, owned := owners[0].Workers()
	assert.Equal(t, reachable+owned, 0)
}

// Guards against an instance that takes over or commands workers, because its own view names it the owner, while
// another instance renews the sessions.
func TestSecondOwnerIsRefused(t *testing.T) {
	_, views, owners := startOwners(t)
	views[1].setOwner("b")
	time.Sleep(2 * testTiming.SessionTTL)
	first, _ := owners[0].Workers()
	second, _ := owners[1].Workers()
	assert.Equal(t, first, 4)
	assert.Equal(t, second, 0)
	response, err := owners[1].Attach(context.Background(), AttachRequest{Claim: Claim{"s", 1}, TTL: time.Second})
	assert.NilError(t, err)
	for _, c := range response.Changes {
		assert.Equal(t, c.Holder, structs.InstanceID("a"), "the scheduler must learn that the tasks on %s keep running", c.Worker)
	}
}

// Guards against commands of a scheduler that has lost its role: the rack owner must refuse its epoch. A worker,
// too, refuses an epoch below one that it has seen.
func TestOldSchedulerIsFenced(t *testing.T) {
	fleet, _, owners := startOwners(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	old := NewLocal(ctx, "old", testTiming, event.Discard(), owners...)
	assert.NilError(t, old.Attach(ctx))
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		for range old.Changes() {
			continue
		}
	}()
	task := structs.Task{Job: structs.Job{ID: "c/job"}, Attempt: 1, Members: 1, Worker: "w2", Accelerators: []int{0}}
	assert.NilError(t, old.Hold(ctx, task, time.Minute))
	short, done := context.WithTimeout(ctx, 2*testTiming.SessionTTL)
	defer done()
	second := NewLocal(ctx, "new", testTiming, event.Discard(), owners...)
	assert.ErrorContains(t, second.Attach(short), "another scheduler is attached")
	claim, _ := old.currentClaim("a")
	old.cancel() // the old scheduler stops renewing but does not release its role
	third := NewLocal(ctx, "new", testTiming, event.Discard(), owners...)
	assert.NilError(t, third.Attach(ctx))
	defer third.Detach(ctx)
	command := CommandRequest{Claim: claim, Task: task}
	response, err := owners[0].Command(ctx, kindStart, command)
	assert.NilError(t, err)
	assert.Assert(t, response.Refusal != nil, "a command of the old scheduler was accepted")
	assert.Equal(t, fmt.Sprint(fleet.Phases("w2")), "[held]")
	assert.NilError(t, third.Start(ctx, task))
	assert.ErrorIs(t, old.Stop(ctx, task, false, 0), peer.ErrNotSent)
	assert.Equal(t, fmt.Sprint(fleet.Phases("w2")), "[running]")
	cancel()
	<-drained
}
