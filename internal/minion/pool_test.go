package minion

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/site"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testService = structs.ServiceName("raft-booking")

// instance is an entry instance with its pool.
type instance struct {
	*site.Entry
	id   structs.InstanceID
	pool *Pool
	stop context.CancelFunc
}

func addInstance(t *testing.T, s *site.Site, id structs.InstanceID) *instance {
	i := &instance{Entry: s.AddEntry(id), id: id}
	text := &spec.Text{Services: []spec.Service{{Name: testService, Minions: &spec.Minions{Slots: 8, Connections: 64}}}}
	i.pool = New(Config{View: i, Peers: i, Text: func() *spec.Text { return text }, Events: event.Discard(),
		StatusInterval: 50 * time.Millisecond, FreezeThreshold: time.Hour})
	i.pool.Register(i)
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	var running sync.WaitGroup
	running.Go(func() { _ = i.pool.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return i
}

func addMinion(t *testing.T, s *site.Site, owner structs.InstanceID, serviceTime time.Duration) *site.Minion {
	m, err := s.AddMinion(owner, standin.Config{Slots: 8, ServiceTime: serviceTime})
	assert.NilError(t, err)
	t.Cleanup(m.Kill)
	return m
}

func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// load sends requests through the pool until ctx ends. Some of them have a deadline that passes while they run.
func (i *instance) load(ctx context.Context, callers int, served *atomic.Int64) *sync.WaitGroup {
	var group sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(1, uint64(caller)))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				slot := i.pool.Acquire(testService)
				if slot == nil {
					time.Sleep(time.Millisecond)
					continue
				}
				timeout := time.Second
				if random.IntN(50) == 0 {
					timeout = 5 * time.Millisecond
				}
				call := Call{RequestID: fmt.Sprintf("%s-%d-%d", i.id, caller, n), Body: []byte("x"), Deadline: time.Now().Add(timeout)}
				if slot.Run(ctx, call).Outcome == structs.OutcomeAnswered {
					served.Add(1)
				}
				slot.Release()
			}
		})
	}
	return &group
}

// Guards against owners that together send a minion more requests than it has slots. Owners change all the time,
// requests time out while they run, and one owner is killed with requests in flight.
func TestSlotLimitDuringOwnerChanges(t *testing.T) {
	t.Parallel()
	s := site.New(testService)
	var minions []*site.Minion
	for range 3 {
		minions = append(minions, addMinion(t, s, "a", 15*time.Millisecond))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	killed, kill := context.WithCancel(ctx)
	defer kill()
	var served atomic.Int64
	instances := map[structs.InstanceID]*instance{}
	var groups []*sync.WaitGroup
	for _, id := range []structs.InstanceID{"a", "b", "c"} {
		instances[id] = addInstance(t, s, id)
		loadCtx := ctx
		if id == "c" {
			loadCtx = killed
		}
		groups = append(groups, instances[id].load(loadCtx, 30, &served))
	}
	random := rand.New(rand.NewPCG(1, 1))
	owners := []structs.InstanceID{"a", "b", "c"}
	for step := range 40 {
		if step == 20 {
			kill()
			instances["c"].stop()
			s.Silence("c")
			time.Sleep(50 * time.Millisecond) // in production the list needs longer to show that the process is gone
			s.SetGone("c")
			owners = owners[:2]
		}
		s.SetOwner(random.IntN(len(minions)), owners[random.IntN(len(owners))])
		time.Sleep(50 * time.Millisecond)
	}
	for m := range minions {
		s.SetOwner(m, "b") // no minion remains with the killed instance
	}
	before := served.Load()
	assert.Assert(t, eventually(func() bool { return served.Load() > before+500 }), "minions must be used again after the changes")
	cancel()
	for _, group := range groups {
		group.Wait()
	}
	for _, m := range minions {
		report := m.Report()
		assert.Equal(t, report.RefusedFull, 0, "requests that a minion refused because it was full")
		assert.Assert(t, report.HighestSlots <= 8)
		assert.Assert(t, report.HighestConnections <= 64)
		t.Logf("runs=%d highest slots=%d connections=%d", len(report.Runs), report.HighestSlots, report.HighestConnections)
	}
}

// Guards against a new owner that uses a slot although the earlier owner has taken it for a request that it has not
// sent yet, and which the minion's status therefore does not count.
func TestReleaseCountsRequestsInFlight(t *testing.T) {
	t.Parallel()
	s := site.New(testService)
	addMinion(t, s, "a", 0)
	a, b := addInstance(t, s, "a"), addInstance(t, s, "b")
	assert.Assert(t, eventually(func() bool { return a.pool.Free(testService) == 8 }))
	slot := a.pool.Acquire(testService)
	s.SetOwner(0, "b")
	assert.Assert(t, eventually(func() bool { return b.pool.Free(testService) > 0 }))
	assert.Equal(t, b.pool.Free(testService), 7)
	slot.Release()
	assert.Assert(t, eventually(func() bool { return b.pool.Free(testService) == 8 }))
}

// Guards against a leaving last instance of a data centre that has no slots left for its accepted requests, and against
// one that keeps its minions from a new instance.
func TestLastInstanceKeepsItsMinions(t *testing.T) {
	t.Parallel()
	s := site.New(testService)
	addMinion(t, s, "a", 0)
	a := addInstance(t, s, "a")
	assert.Assert(t, eventually(func() bool { return a.pool.Free(testService) == 8 }))
	s.SetOwner(0, "")
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, a.pool.Free(testService), 8)
	b := addInstance(t, s, "b")
	s.SetOwner(0, "b")
	assert.Assert(t, eventually(func() bool { return b.pool.Free(testService) == 8 }))
	assert.Equal(t, a.pool.Free(testService), 0)
}

// Guards against a takeover based on a timeout alone, which would use slots that a frozen process still holds, and
// against a process that sends requests with an outdated view after it was frozen.
func TestFrozenOwnerKeepsItsMinion(t *testing.T) {
	t.Parallel()
	s := site.New(testService)
	addMinion(t, s, "a", 0)
	a, b := addInstance(t, s, "a"), addInstance(t, s, "b")
	assert.Assert(t, eventually(func() bool { return a.pool.Slots(testService) == 8 }))
	a.SetFresh(false)
	assert.Assert(t, a.pool.Acquire(testService) == nil, "no slot may be taken with an outdated view")
	s.Silence("a")
	s.SetOwner(0, "b")
	time.Sleep(700 * time.Millisecond)
	assert.Equal(t, b.pool.Slots(testService), 0, "the minion may not be taken over before its owner is known to be gone")
	s.SetGone("a")
	assert.Assert(t, eventually(func() bool { return b.pool.Slots(testService) == 8 }))
}

// Guards against a process that uses its minions after a pause although another instance may have taken them over.
func TestPauseEndsOwnership(t *testing.T) {
	t.Parallel()
	s := site.New(testService)
	addMinion(t, s, "a", 0)
	a := addInstance(t, s, "a")
	assert.Assert(t, eventually(func() bool { return a.pool.Slots(testService) == 8 }))
	s.Silence("b") // adds an instance that answers nothing, so that the claim after the pause cannot succeed
	slot := a.pool.Acquire(testService)
	a.pool.checkPause(time.Now().Add(2 * time.Hour)) // the first check after a pause
	result := slot.Run(context.Background(), Call{RequestID: "r", Deadline: time.Now().Add(time.Second)})
	slot.Release()
	assert.Equal(t, result.Outcome, structs.OutcomeNotRun)
	assert.Equal(t, a.pool.Slots(testService), 0)
}

// Guards against new requests to a minion later than 3 s after it or the list reported that it is leaving, even if its
// status cannot be read or the list is down.
func TestInvariantLeavingMinionGetsNoNewWork(t *testing.T) {
	yes, no := true, false
	slow := 300 * time.Millisecond
	type fault = func(*site.Site, *site.Minion)
	reportLeaving := func(_ *site.Site, m *site.Minion) { m.Apply(standin.Control{Leaving: &yes}) }
	listLeaving := func(s *site.Site, _ *site.Minion) { s.ListLeaving(0) }
	freeze := func(_ *site.Site, m *site.Minion) {
		m.Apply(standin.Control{Frozen: &yes})
		time.AfterFunc(2500*time.Millisecond, func() { m.Apply(standin.Control{Frozen: &no}) })
	}
	hideStatus := func(_ *site.Site, m *site.Minion) { m.Apply(standin.Control{StatusSilent: &yes, AcceptLeaving: &yes}) }
	delay := func(_ *site.Site, m *site.Minion) { m.Apply(standin.Control{Delay: &slow}) }
	changeOwner := func(s *site.Site, _ *site.Minion) { s.SetOwner(0, "b") }
	cases := map[string][]fault{
		"minion reports leaving, list is down":   {reportLeaving},
		"minion reports leaving, then freezes":   {reportLeaving, freeze},
		"minion freezes, then reports leaving":   {freeze, reportLeaving},
		"responses are slow":                     {delay, reportLeaving},
		"status is unreadable":                   {hideStatus, reportLeaving},
		"status is unreadable, slow responses":   {hideStatus, delay, reportLeaving},
		"owner changes":                          {reportLeaving, changeOwner},
		"list reports leaving":                   {listLeaving, reportLeaving},
		"list reports leaving and owner changes": {listLeaving, changeOwner, reportLeaving},
		"responses are slow, owner changes":      {delay, changeOwner, reportLeaving},
		"minion freezes, owner changes":          {freeze, changeOwner, reportLeaving},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := site.New(testService)
			m := addMinion(t, s, "a", 5*time.Millisecond)
			other := addMinion(t, s, "a", 5*time.Millisecond)
			ctx, cancel := context.WithCancel(context.Background())
			var served atomic.Int64
			for _, id := range []structs.InstanceID{"a", "b"} {
				group := addInstance(t, s, id).load(ctx, 20, &served)
				defer group.Wait()
			}
			defer cancel()
			assert.Assert(t, eventually(func() bool { return len(m.Report().Runs) > 20 }))
			for _, fault := range faults {
				fault(s, m)
			}
			time.Sleep(3900 * time.Millisecond)
			report := m.Report()
			assert.Assert(t, report.LatestAfterLeaving < 3*time.Second, "got a request %v after it began to leave", report.LatestAfterLeaving)
			before := len(other.Report().Runs)
			assert.Assert(t, eventually(func() bool { return len(other.Report().Runs) > before }), "the other minion must still be used")
		})
	}
}
