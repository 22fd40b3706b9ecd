package configuration

import (
	"context"
	"fmt"
	"slices"
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
	instanceCount = 3
	testRetention = time.Minute
	testPoll      = time.Second
	inForceBound  = 5 * time.Second
)

// step is one action of a generated run.
type step struct {
	action  string
	slot    int
	seconds int  // duration or delay of the action
	fault   bool // lose an answer of the log, or restart the instance during an outage
}

var actions = []string{"publish", "race", "wait", "restart", "restart all", "stop all", "log down", "cut off", "heal", "late snapshots", "late publish"}

// deployment runs several stores on a fake log and a fake network, under synctest's fake clock.
type deployment struct {
	t               *testing.T
	log             *fakeLog
	network         *fakeNetwork
	keys            *peer.KeyRing
	stores          [instanceCount]*Store
	stopFuncs       [instanceCount]func()
	shownVersion    [instanceCount]uint64 // last version shown by the present process; 0: none
	minFirstVersion [instanceCount]uint64 // lowest version that the present process may show first
	withoutLog      [instanceCount]bool   // the log was unreachable at times since the process started
	highestShown    uint64                // highest version shown by any instance
	texts           map[uint64]string
	results         map[string]PublishResult
	publishCount    int
	failure         error
	stateMayBeLost  bool // the log had faults or all instances were down, so possibly no usable snapshot is left
	mu              sync.Mutex

	operators       sync.WaitGroup
	operatorContext context.Context
	stopOperators   context.CancelFunc
}

func id(slot int) structs.InstanceID { return structs.InstanceID(fmt.Sprintf("entry-%d", slot)) }

func testKeys(t *testing.T) *peer.KeyRing {
	keys, err := peer.NewKeyRing([]peer.SharedKey{{ID: "a", Secret: []byte(strings.Repeat("k", 32))}}, nil)
	assert.NilError(t, err)
	return keys
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, log: newFakeLog(testRetention), keys: testKeys(t), texts: map[uint64]string{}, results: map[string]PublishResult{}}
	d.network = &fakeNetwork{handlers: map[structs.InstanceID]peer.Handler{}, cut: map[structs.InstanceID]bool{}}
	d.operatorContext, d.stopOperators = context.WithCancel(context.Background())
	for slot := range instanceCount {
		d.start(slot)
	}
	return d
}

func (d *deployment) start(slot int) {
	p := transport{network: d.network, log: d.log, self: id(slot)}
	store := New(Options{
		Self: id(slot), Log: p, Keys: d.keys, Events: event.Discard(), Metrics: tally.NoopScope, Peers: p,
		Entries: func() map[structs.InstanceID]structs.DataCentre {
			return map[structs.InstanceID]structs.DataCentre{id(0): "a", id(1): "a", id(2): "b"}
		},
		Retention: testRetention, PollWait: testPoll,
	})
	store.Register(p)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = store.Run(ctx); close(done) }()
	go d.watchShown(ctx, slot, store)
	_, _, err := d.log.read(0, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.withoutLog[slot] = err != nil || p.isCut(id(slot))
	d.stores[slot], d.shownVersion[slot], d.minFirstVersion[slot] = store, 0, d.highestShown
	d.stopFuncs[slot] = func() { cancel(); <-done }
}

func (d *deployment) stop(slot int) {
	if d.stopFuncs[slot] == nil {
		return
	}
	d.network.mu.Lock()
	delete(d.network.handlers, id(slot))
	d.network.mu.Unlock()
	d.stopFuncs[slot]()
	d.stopFuncs[slot] = nil
}

// watchShown checks what an instance shows after every change and every 100 ms.
func (d *deployment) watchShown(ctx context.Context, slot int, store *Store) {
	for ctx.Err() == nil {
		d.checkShown(slot, store)
		select {
		case <-store.reader.Changed():
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (d *deployment) checkShown(slot int, store *Store) {
	current, ok := store.Current()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !ok || d.stores[slot] != store {
		return
	}
	if current.Version < d.shownVersion[slot] {
		d.fail("%s showed version %d after version %d", id(slot), current.Version, d.shownVersion[slot])
	}
	// Without the log, a new process can only know what the peers that it reaches hold; see TestStartWithoutLog.
	fromPeers := current.UpToDate.IsZero() && d.withoutLog[slot]
	if d.shownVersion[slot] == 0 && !fromPeers && current.Version < d.minFirstVersion[slot] {
		d.fail("%s started with version %d after version %d had been shown", id(slot), current.Version, d.minFirstVersion[slot])
	}
	if text, known := d.texts[current.Version]; known && text != current.Raw {
		d.fail("version %d has two texts", current.Version)
	}
	d.texts[current.Version] = current.Raw
	d.shownVersion[slot] = current.Version
	d.highestShown = max(d.highestShown, current.Version)
}

func (d *deployment) fail(format string, args ...any) {
	if d.failure == nil {
		d.failure = fmt.Errorf(format, args...)
	}
}

func (d *deployment) run(steps []step) error {
	time.Sleep(time.Second)
	for _, s := range steps {
		d.do(s)
	}
	d.heal()
	time.Sleep(inForceBound)
	synctest.Wait()
	d.stopOperators()
	d.operators.Wait()
	d.compareWithLog()
	for slot := range instanceCount {
		d.stop(slot)
	}
	synctest.Wait()
	return d.failure
}

func (d *deployment) do(s step) {
	d.stateMayBeLost = d.stateMayBeLost || s.action == "stop all" || s.action == "log down" || s.action == "late snapshots"
	switch s.action {
	case "publish":
		d.log.set(func() { d.log.loseAnswers = boolToInt(s.fault) })
		d.startPublish(s.slot)
	case "race":
		d.log.set(func() { d.log.loseAnswers = boolToInt(s.fault) })
		d.startPublish(s.slot)
		d.startPublish((s.slot + 1) % instanceCount)
	case "wait":
		time.Sleep(time.Duration(s.seconds) * time.Second)
	case "restart":
		d.stop(s.slot)
		d.start(s.slot)
	case "restart all", "stop all":
		for slot := range instanceCount {
			d.stop(slot)
		}
		if s.action == "stop all" {
			time.Sleep(time.Duration(s.seconds) * time.Second)
		}
		for slot := range instanceCount {
			d.start(slot)
		}
	case "log down":
		d.outage(s)
	case "cut off":
		d.mu.Lock()
		d.withoutLog[s.slot] = true
		d.mu.Unlock()
		d.network.mu.Lock()
		d.network.cut = map[structs.InstanceID]bool{id(s.slot): true}
		d.network.mu.Unlock()
	case "heal":
		d.heal()
	case "late snapshots":
		d.log.set(func() { d.log.snapshotDelay = time.Duration(s.seconds) * time.Second })
	case "late publish":
		d.log.set(func() { d.log.publishDelay = time.Duration(s.seconds) * time.Second })
	}
	time.Sleep(300 * time.Millisecond)
}

// outage takes the log down for at most a third of the retention, optionally with a restart in the middle. A record
// that no instance read before an outage as long as the retention is lost; TestGapIsClosedOnlyWhenNobodyIsAhead covers
// that.
func (d *deployment) outage(s step) {
	half := time.Duration(s.seconds%10+1) * time.Second
	d.mu.Lock()
	d.withoutLog = [instanceCount]bool{true, true, true}
	d.mu.Unlock()
	d.log.set(func() { d.log.down = true })
	time.Sleep(half)
	if s.fault {
		d.stop(s.slot)
		d.start(s.slot)
	}
	time.Sleep(half)
	d.log.set(func() { d.log.down = false })
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (d *deployment) heal() {
	d.log.set(func() { d.log.down, d.log.snapshotDelay, d.log.publishDelay = false, 0, 0 })
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	d.network.cut = map[structs.InstanceID]bool{}
}

// startPublish publishes in the background, like an operator who retries at other instances with the same id.
func (d *deployment) startPublish(slot int) {
	d.publishCount++
	request := PublishRequest{PublishID: fmt.Sprintf("p-%d", d.publishCount), Author: "operator", Text: testText(d.publishCount)}
	current, _ := d.stores[slot].Current()
	request.BaseVersion = current.Version
	stores := d.stores
	d.operators.Go(func() {
		for attempt := range 3 {
			result, err := stores[(slot+attempt)%instanceCount].Publish(d.operatorContext, request)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			d.mu.Lock()
			d.results[request.PublishID] = result
			d.mu.Unlock()
			return
		}
	})
}

// compareWithLog checks the instances and the publish results against the reference fold of the complete log.
func (d *deployment) compareWithLog() {
	var records []platform.LogRecord
	d.log.set(func() { records = slices.Clone(d.log.records) }) // an append that was delayed may have been carried out at this instant
	version, raw, accepted := referenceFold(d.t, records, d.keys)
	d.mu.Lock()
	defer d.mu.Unlock()
	for publishID, result := range d.results {
		made, wasAccepted := accepted[publishID]
		if wasAccepted != (result.Result == Accepted) || wasAccepted && made != result.Version {
			d.fail("publish %s was answered %s with version %d, the log has accepted=%v with version %d", publishID, result.Result, result.Version, wasAccepted, made)
		}
		for slot := range instanceCount {
			if entry, seen := d.stores[slot].fold.result(publishID); seen && entry.Accepted != wasAccepted {
				d.fail("%s has publish %s as accepted=%v, the log has accepted=%v", id(slot), publishID, entry.Accepted, wasAccepted)
			}
		}
	}
	for slot := range instanceCount {
		current, ok := d.stores[slot].Current()
		_, hasState := d.stores[slot].reader.Position()
		if !hasState && d.stateMayBeLost {
			continue // an instance without a usable snapshot must show nothing
		}
		if ok && (current.Version != version || current.Raw != raw) || !ok && version > 0 {
			d.fail("%s shows version %d (ok=%v) %v after the faults, the log has version %d", id(slot), current.Version, ok, inForceBound, version)
		}
	}
	for shown, text := range d.texts {
		if want := accepted["text of "+fmt.Sprint(shown)]; shown > 0 && want == 0 || shown > version {
			d.fail("version %d was shown but never accepted: %.30s", shown, text)
		}
	}
}

// referenceFold folds the publish records of a complete log from the first one, without snapshots. accepted maps the
// ids of accepted publishes to their versions, and "text of N" to N for every accepted version N.
func referenceFold(t *testing.T, records []platform.LogRecord, keys *peer.KeyRing) (version uint64, text string, accepted map[string]uint64) {
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

// Guards against a configuration that reverts, is lost or comes into force twice, under restarts of one or all
// instances, retention, log outages, partitions, late snapshots, lost answers and concurrent publishes.
func TestInvariantConfigurationNeverReverts(t *testing.T) {
	fixed := [][]step{
		// Retention drops a publish but keeps an older snapshot that took effect after it. All instances are down meanwhile.
		{{action: "publish"}, {action: "late snapshots", seconds: 20}, {action: "wait", seconds: 41},
			{action: "late snapshots", seconds: 1000}, {action: "publish", slot: 1}, {action: "stop all", seconds: 63}},
		// A restarted instance reads several publish records again.
		{{action: "publish"}, {action: "publish"}, {action: "publish"}, {action: "publish"}, {action: "publish"}, {action: "restart"}, {action: "restart all"}},
		// All instances restart after retention has dropped the first publish.
		{{action: "publish"}, {action: "wait", seconds: 70}, {action: "restart all"}, {action: "publish"}, {action: "wait", seconds: 70}, {action: "restart all"}},
		// A publish record takes effect after its retry.
		{{action: "late publish", seconds: 12}, {action: "publish"}, {action: "wait", seconds: 15}},
		// Two operators publish at once and one answer is lost; then all instances restart.
		{{action: "race", fault: true}, {action: "race", slot: 1, fault: true}, {action: "restart all"}, {action: "wait", seconds: 3}},
		// Retention drops the first publish while an instance is cut off; it starts again from a snapshot.
		{{action: "publish"}, {action: "cut off", slot: 2}, {action: "wait", seconds: 70}, {action: "publish"}, {action: "wait", seconds: 70}},
	}
	for i, steps := range fixed {
		assert.NilError(t, runSteps(t, steps), "fixed run %d", i)
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				action:  rapid.SampledFrom(actions).Draw(rt, "what"),
				slot:    rapid.IntRange(0, instanceCount-1).Draw(rt, "slot"),
				seconds: rapid.IntRange(1, 70).Draw(rt, "seconds"),
				fault:   rapid.Bool().Draw(rt, "lose"),
			}
		}), 1, 20).Draw(rt, "steps")
		if err := runSteps(t, steps); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

func runSteps(t *testing.T, steps []step) (err error) {
	synctest.Test(t, func(t *testing.T) { err = newDeployment(t).run(steps) })
	return err
}

func testText(n int) string {
	return fmt.Sprintf(`deployment: d%d
data_centres: [{name: a, region: r, racks: {count: 1, workers_per_rack: 1, accelerators_per_worker: 8, cores_per_worker: 1, memory_gb_per_worker: 1}}]
customers: [{name: c, weight: 1}]
limits: {callers_per_customer: 1, queued_requests: 1, queued_jobs: 1, request_body_bytes: 1}
`, n)
}

// Guards against an instance that has no configuration in a log outage although its peers hold one, and against one
// that shows an older version than the newest that they hold.
func TestStartWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		time.Sleep(time.Second)
		d.do(step{action: "publish"})
		d.do(step{action: "cut off", slot: 1})
		d.do(step{action: "publish", slot: 2})
		d.do(step{action: "wait", seconds: 1})
		d.network.mu.Lock()
		d.log.set(func() { d.log.down = true })
		d.network.cut = map[structs.InstanceID]bool{}
		d.network.mu.Unlock()
		d.stores[1].RecordPeerPosition(id(2), 2, 2)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, d.stores[1].fold.version(), uint64(2)) // learned from the heartbeat alone
		d.stop(0)
		d.start(0)
		time.Sleep(inForceBound)
		for slot := range instanceCount {
			current, ok := d.stores[slot].Current()
			assert.Assert(t, ok)
			assert.Equal(t, current.Version, uint64(2), "slot %d", slot)
		}
		_, err := d.stores[0].Publish(t.Context(), PublishRequest{BaseVersion: 2, PublishID: "x", Author: "a", Text: testText(9)})
		assert.Assert(t, errkind.Is(err, errkind.Unavailable))
		assert.NilError(t, d.run(nil))
	})
}

// Guards against a stream that never continues after retention dropped records that no instance had read, and against a
// gap that is closed while an instance that has read them is unreachable, which would revert what that instance showed.
func TestGapIsClosedOnlyWhenNobodyIsAhead(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(t)
			time.Sleep(time.Second)
			d.do(step{action: "publish"})
			if ahead { // slot 2 alone reads version 2
				d.network.mu.Lock()
				d.network.cut = map[structs.InstanceID]bool{id(0): true, id(1): true}
				d.network.mu.Unlock()
				time.Sleep(2 * testPoll) // until the reads in progress have ended
				d.do(step{action: "publish", slot: 2})
			}
			d.log.set(func() { d.log.down = true })
			d.network.mu.Lock()
			d.network.cut = map[structs.InstanceID]bool{id(2): ahead}
			d.network.mu.Unlock()
			if !ahead {
				d.log.set(func() { d.log.appendRecord(d.log.records[0].Data) }) // written, but read by no instance
			}
			time.Sleep(testRetention + time.Second)
			d.log.set(func() { d.log.down = false })
			time.Sleep(20 * time.Second)
			want := uint64(1)
			if ahead {
				assert.Equal(t, len(d.log.records), 2) // no snapshot was written without slot 2
				want = 2
			}
			d.heal()
			time.Sleep(10 * time.Second)
			d.do(step{action: "publish", slot: 1})
			time.Sleep(inForceBound)
			for slot := range instanceCount {
				current, _ := d.stores[slot].Current()
				assert.Check(t, current.Version == want+1, "slot %d shows %d", slot, current.Version)
				d.stop(slot)
			}
			d.stopOperators()
			d.operators.Wait()
			synctest.Wait()
			assert.NilError(t, d.failure)
		})
	}
}
