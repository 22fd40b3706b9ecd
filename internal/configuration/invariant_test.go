package configuration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/configuration/stream"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const (
	instances     = 3
	testRetention = time.Minute
	testPoll      = time.Second
	inForceBound  = 5 * time.Second
)

// step is one step of a generated run.
type step struct {
	what    string
	slot    int
	seconds int
	lose    bool
}

var kinds = []string{"publish", "race", "wait", "restart", "restart all", "stop all", "log down", "cut off", "heal", "late snapshots", "late publish"}

// world is a deployment on a fake log, under the bubble's fake clock.
type world struct {
	t       *testing.T
	log     *fakeLog
	net     *fakeNet
	keys    *peer.KeyRing
	stores  [instances]*Store
	stops   [instances]func()
	shown   [instances]uint64 // by the present incarnation
	floor   [instances]uint64 // least version that it may show first
	noLog   [instances]bool   // the log was out of its reach at times since it started
	highest uint64            // ever shown
	texts   map[uint64]string
	results map[string]PublishResult
	publish int
	failure error
	mayLose bool // the log had faults, or all instances were down: no usable snapshot may be left
	mu      sync.Mutex

	operators       sync.WaitGroup
	operatorContext context.Context
	dismiss         context.CancelFunc
}

func id(slot int) structs.InstanceID { return structs.InstanceID(fmt.Sprintf("entry-%d", slot)) }

func testKeys(t *testing.T) *peer.KeyRing {
	keys, err := peer.NewKeyRing([]peer.SharedKey{{ID: "a", Secret: []byte(strings.Repeat("k", 32))}}, nil)
	assert.NilError(t, err)
	return keys
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, log: newFakeLog(testRetention), keys: testKeys(t), texts: map[uint64]string{}, results: map[string]PublishResult{}}
	w.net = &fakeNet{handlers: map[structs.InstanceID]peer.Handler{}, cut: map[structs.InstanceID]bool{}}
	w.operatorContext, w.dismiss = context.WithCancel(context.Background())
	for slot := range instances {
		w.start(slot)
	}
	return w
}

func (w *world) start(slot int) {
	p := port{net: w.net, log: w.log, self: id(slot)}
	store := New(Options{
		Self: id(slot), Log: p, Keys: w.keys, Events: event.Discard(), Metrics: tally.NoopScope, Peers: p,
		Entries: func() map[structs.InstanceID]structs.DataCentre {
			return map[structs.InstanceID]structs.DataCentre{id(0): "a", id(1): "a", id(2): "b"}
		},
		Retention: testRetention, PollWait: testPoll,
	})
	store.Register(p)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = store.Run(ctx); close(done) }()
	go w.watch(ctx, slot, store)
	_, _, err := w.log.read(0, 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noLog[slot] = err != nil || p.isCut(id(slot))
	w.stores[slot], w.shown[slot], w.floor[slot] = store, 0, w.highest
	w.stops[slot] = func() { cancel(); <-done }
}

func (w *world) stop(slot int) {
	if w.stops[slot] == nil {
		return
	}
	w.net.mu.Lock()
	delete(w.net.handlers, id(slot))
	w.net.mu.Unlock()
	w.stops[slot]()
	w.stops[slot] = nil
}

// watch looks at what an instance shows, after every change and every 100 ms.
func (w *world) watch(ctx context.Context, slot int, store *Store) {
	for ctx.Err() == nil {
		w.look(slot, store)
		select {
		case <-store.reader.Changed():
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (w *world) look(slot int, store *Store) {
	current, ok := store.Current()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ok || w.stores[slot] != store {
		return
	}
	if current.Version < w.shown[slot] {
		w.fail("%s showed version %d after version %d", id(slot), current.Version, w.shown[slot])
	}
	// Without the log, a new process can only know what the peers that it reaches hold; see TestStartWithoutLog.
	fromPeers := current.UpToDate.IsZero() && w.noLog[slot]
	if w.shown[slot] == 0 && !fromPeers && current.Version < w.floor[slot] {
		w.fail("%s started with version %d after version %d had been shown", id(slot), current.Version, w.floor[slot])
	}
	if text, known := w.texts[current.Version]; known && text != current.Raw {
		w.fail("version %d has two texts", current.Version)
	}
	w.texts[current.Version] = current.Raw
	w.shown[slot] = current.Version
	w.highest = max(w.highest, current.Version)
}

func (w *world) fail(format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf(format, args...)
	}
}

func (w *world) run(steps []step) error {
	time.Sleep(time.Second)
	for _, s := range steps {
		w.do(s)
	}
	w.heal()
	time.Sleep(inForceBound)
	synctest.Wait()
	w.dismiss()
	w.operators.Wait()
	w.compare()
	for slot := range instances {
		w.stop(slot)
	}
	synctest.Wait()
	return w.failure
}

func (w *world) do(s step) {
	w.mayLose = w.mayLose || s.what == "stop all" || s.what == "log down" || s.what == "late snapshots"
	switch s.what {
	case "publish":
		w.log.set(func() { w.log.loseAnswers = boolToInt(s.lose) })
		w.startPublish(s.slot)
	case "race":
		w.log.set(func() { w.log.loseAnswers = boolToInt(s.lose) })
		w.startPublish(s.slot)
		w.startPublish((s.slot + 1) % instances)
	case "wait":
		time.Sleep(time.Duration(s.seconds) * time.Second)
	case "restart":
		w.stop(s.slot)
		w.start(s.slot)
	case "restart all", "stop all":
		for slot := range instances {
			w.stop(slot)
		}
		if s.what == "stop all" {
			time.Sleep(time.Duration(s.seconds) * time.Second)
		}
		for slot := range instances {
			w.start(slot)
		}
	case "log down":
		w.outage(s)
	case "cut off":
		w.mu.Lock()
		w.noLog[s.slot] = true
		w.mu.Unlock()
		w.net.mu.Lock()
		w.net.cut = map[structs.InstanceID]bool{id(s.slot): true}
		w.net.mu.Unlock()
	case "heal":
		w.heal()
	case "late snapshots":
		w.log.set(func() { w.log.lateSnapshots = time.Duration(s.seconds) * time.Second })
	case "late publish":
		w.log.set(func() { w.log.latePublish = time.Duration(s.seconds) * time.Second })
	}
	time.Sleep(300 * time.Millisecond)
}

// outage takes the log down for at most a third of the retention, with a restart in the middle. A record that took
// effect before an outage of the whole retention, and that nobody read, is lost; TestGapIsClosedOnlyWhenNobodyIsAhead
// covers that.
func (w *world) outage(s step) {
	half := time.Duration(s.seconds%10+1) * time.Second
	w.mu.Lock()
	w.noLog = [instances]bool{true, true, true}
	w.mu.Unlock()
	w.log.set(func() { w.log.down = true })
	time.Sleep(half)
	if s.lose {
		w.stop(s.slot)
		w.start(s.slot)
	}
	time.Sleep(half)
	w.log.set(func() { w.log.down = false })
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (w *world) heal() {
	w.log.set(func() { w.log.down, w.log.lateSnapshots, w.log.latePublish = false, 0, 0 })
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	w.net.cut = map[structs.InstanceID]bool{}
}

// startPublish publishes in the background, as an operator who retries at other instances with the same id.
func (w *world) startPublish(slot int) {
	w.publish++
	request := PublishRequest{PublishID: fmt.Sprintf("p-%d", w.publish), Author: "operator", Text: text(w.publish)}
	current, _ := w.stores[slot].Current()
	request.BaseVersion = current.Version
	stores := w.stores
	w.operators.Go(func() {
		for attempt := range 3 {
			result, err := stores[(slot+attempt)%instances].Publish(w.operatorContext, request)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			w.mu.Lock()
			w.results[request.PublishID] = result
			w.mu.Unlock()
			return
		}
	})
}

// compare checks the instances and the publish results against the naive fold of the complete log.
func (w *world) compare() {
	version, raw, accepted := naiveFold(w.t, w.log.all, w.keys)
	w.mu.Lock()
	defer w.mu.Unlock()
	for publishID, result := range w.results {
		made, wasAccepted := accepted[publishID]
		if wasAccepted != (result.Result == Accepted) || wasAccepted && made != result.Version {
			w.fail("publish %s was answered %s %d, the log says %v %d", publishID, result.Result, result.Version, wasAccepted, made)
		}
		for slot := range instances {
			if entry, seen := w.stores[slot].fold.result(publishID); seen && entry.Accepted != wasAccepted {
				w.fail("%s remembers publish %s as accepted=%v, the log says %v", id(slot), publishID, entry.Accepted, wasAccepted)
			}
		}
	}
	for slot := range instances {
		current, ok := w.stores[slot].Current()
		_, placed := w.stores[slot].reader.Position()
		if !placed && w.mayLose {
			continue // showing nothing is right when no snapshot is usable
		}
		if ok && (current.Version != version || current.Raw != raw) || !ok && version > 0 {
			w.fail("%s shows version %d (%v) %v after the faults, the log says %d", id(slot), current.Version, ok, inForceBound, version)
		}
	}
	for shown, text := range w.texts {
		if want := accepted["text of "+fmt.Sprint(shown)]; shown > 0 && want == 0 || shown > version {
			w.fail("version %d was shown but never accepted: %.30s", shown, text)
		}
	}
}

// naiveFold folds the publish records of a complete log, from the first one.
func naiveFold(t *testing.T, records []platform.LogRecord, keys *peer.KeyRing) (version uint64, text string, accepted map[string]uint64) {
	accepted = map[string]uint64{}
	seen := map[string]bool{}
	for _, raw := range records {
		kind, body, err := stream.Open(StreamName, keys, raw.Data)
		assert.NilError(t, err)
		var record publishRecord
		if kind != kindPublish {
			continue
		}
		assert.NilError(t, msgpack.Unmarshal(body, &record))
		if seen[record.PublishID] {
			continue
		}
		seen[record.PublishID] = true
		if record.BaseVersion == version {
			version, text = version+1, record.Text
			accepted[record.PublishID] = version
			accepted["text of "+fmt.Sprint(version)] = version
		}
	}
	return version, text, accepted
}

// Guards against a configuration that reverts, is lost, or comes into force twice: over restarts of single and of all
// instances, retention, log outages, partitions, late snapshots, lost answers and operators that publish at once.
func TestInvariantConfigurationNeverReverts(t *testing.T) {
	fixed := [][]step{
		// A snapshot that took effect after a newer publish outlives that publish. All instances are down in between.
		{{what: "publish"}, {what: "late snapshots", seconds: 20}, {what: "wait", seconds: 41},
			{what: "late snapshots", seconds: 1000}, {what: "publish", slot: 1}, {what: "stop all", seconds: 63}},
		// A restarted instance reads several publishes again.
		{{what: "publish"}, {what: "publish"}, {what: "publish"}, {what: "publish"}, {what: "publish"}, {what: "restart"}, {what: "restart all"}},
		// All instances restart after the first publish has been dropped.
		{{what: "publish"}, {what: "wait", seconds: 70}, {what: "restart all"}, {what: "publish"}, {what: "wait", seconds: 70}, {what: "restart all"}},
		// A publish record takes effect after its retry.
		{{what: "late publish", seconds: 12}, {what: "publish"}, {what: "wait", seconds: 15}},
		// One answer of two operators' publishes at once is lost, then all instances restart.
		{{what: "race", lose: true}, {what: "race", slot: 1, lose: true}, {what: "restart all"}, {what: "wait", seconds: 3}},
		// Retention drops the first publish while an instance is cut off; it starts again from a snapshot.
		{{what: "publish"}, {what: "cut off", slot: 2}, {what: "wait", seconds: 70}, {what: "publish"}, {what: "wait", seconds: 70}},
	}
	for i, steps := range fixed {
		assert.NilError(t, runWorld(t, steps), "fixed run %d", i)
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				what:    rapid.SampledFrom(kinds).Draw(rt, "what"),
				slot:    rapid.IntRange(0, instances-1).Draw(rt, "slot"),
				seconds: rapid.IntRange(1, 70).Draw(rt, "seconds"),
				lose:    rapid.Bool().Draw(rt, "lose"),
			}
		}), 1, 20).Draw(rt, "steps")
		if err := runWorld(t, steps); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

func runWorld(t *testing.T, steps []step) (err error) {
	synctest.Test(t, func(t *testing.T) { err = newWorld(t).run(steps) })
	return err
}

func text(n int) string {
	return fmt.Sprintf(`deployment: d%d
data_centres: [{name: a, region: r, racks: {count: 1, workers_per_rack: 1, accelerators_per_worker: 8, cores_per_worker: 1, memory_gb_per_worker: 1}}]
customers: [{name: c, weight: 1}]
limits: {callers_per_customer: 1, queued_requests: 1, queued_jobs: 1, request_body_bytes: 1}
`, n)
}

// Guards against an instance that has no configuration while the log is down though its peers hold one, and against one
// that takes an older version than the newest that they hold.
func TestStartWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		time.Sleep(time.Second)
		w.do(step{what: "publish"})
		w.do(step{what: "cut off", slot: 1})
		w.do(step{what: "publish", slot: 2})
		w.do(step{what: "wait", seconds: 1})
		w.net.mu.Lock()
		w.log.set(func() { w.log.down = true })
		w.net.cut = map[structs.InstanceID]bool{}
		w.net.mu.Unlock()
		w.stores[1].RecordPeerPosition(id(2), 2, 2)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, w.stores[1].fold.version(), uint64(2)) // by the heartbeat alone
		w.stop(0)
		w.start(0)
		time.Sleep(inForceBound)
		for slot := range instances {
			current, ok := w.stores[slot].Current()
			assert.Assert(t, ok)
			assert.Equal(t, current.Version, uint64(2), "slot %d", slot)
		}
		_, err := w.stores[0].Publish(t.Context(), PublishRequest{BaseVersion: 2, PublishID: "x", Author: "a", Text: text(9)})
		assert.Assert(t, errkind.Is(err, errkind.Unavailable))
		assert.NilError(t, w.run(nil))
	})
}

// Guards against a stream that never goes on after retention dropped records that nobody had read, and against a gap that
// is closed while an instance that has read them cannot be reached, which would revert what it showed.
func TestGapIsClosedOnlyWhenNobodyIsAhead(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t)
			time.Sleep(time.Second)
			w.do(step{what: "publish"})
			if ahead { // slot 2 alone reads version 2
				w.net.mu.Lock()
				w.net.cut = map[structs.InstanceID]bool{id(0): true, id(1): true}
				w.net.mu.Unlock()
				time.Sleep(2 * testPoll) // reads that were waiting have ended
				w.do(step{what: "publish", slot: 2})
			}
			w.log.set(func() { w.log.down = true })
			w.net.mu.Lock()
			w.net.cut = map[structs.InstanceID]bool{id(2): ahead}
			w.net.mu.Unlock()
			if !ahead {
				w.log.set(func() { w.log.take(w.log.all[0].Data) }) // took effect, but nobody read it
			}
			time.Sleep(testRetention + time.Second)
			w.log.set(func() { w.log.down = false })
			time.Sleep(20 * time.Second)
			want := uint64(1)
			if ahead {
				assert.Equal(t, len(w.log.all), 2) // no snapshot was written without slot 2
				want = 2
			}
			w.heal()
			time.Sleep(10 * time.Second)
			w.do(step{what: "publish", slot: 1})
			time.Sleep(inForceBound)
			for slot := range instances {
				current, _ := w.stores[slot].Current()
				assert.Check(t, current.Version == want+1, "slot %d shows %d", slot, current.Version)
				w.stop(slot)
			}
			w.dismiss()
			w.operators.Wait()
			synctest.Wait()
			assert.NilError(t, w.failure)
		})
	}
}
