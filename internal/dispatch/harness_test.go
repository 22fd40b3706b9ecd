package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// memoryLedger keeps the latest record of each key. Records become durable when the test calls flush.
type memoryLedger struct {
	mu      sync.Mutex
	durable map[string][]byte
	waiting []pendingPut
}

type pendingPut struct {
	records []ledger.Record
	done    func(error)
}

func newMemoryLedger() *memoryLedger { return &memoryLedger{durable: map[string][]byte{}} }

func (l *memoryLedger) Put(done func(error), records ...ledger.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = append(l.waiting, pendingPut{records, done})
}

// flush makes all pending records durable in order, also those that are put meanwhile.
func (l *memoryLedger) flush() {
	for l.flushOldest() {
	}
}

// flushOldest makes the records of the oldest pending put durable, and reports whether there was one.
func (l *memoryLedger) flushOldest() bool {
	l.mu.Lock()
	if len(l.waiting) == 0 {
		l.mu.Unlock()
		return false
	}
	next := l.waiting[0]
	l.waiting = l.waiting[1:]
	for _, r := range next.records {
		if r.Value == nil {
			delete(l.durable, r.Key)
		} else {
			l.durable[r.Key] = r.Value
		}
	}
	l.mu.Unlock()
	if next.done != nil {
		next.done(nil)
	}
	return true
}

// drop discards the records that are not durable, as a crash of the process does.
func (l *memoryLedger) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = nil
}

func (l *memoryLedger) records() []ledger.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []ledger.Record
	for key, value := range l.durable {
		records = append(records, ledger.Record{Key: key, Value: value})
	}
	return records
}

// scriptedFleet records orders and answers them as the test says. Unless heartbeat is set it never answers heartbeats; tests pass
// reports to the scheduler themselves.
type scriptedFleet struct {
	mu         sync.Mutex
	starts     []StartOrder
	stops      []StopOrder
	paces      []PaceOrder
	startError func(StartOrder) error // nil if starts succeed
	stopError  func(StopOrder) error  // nil if stops succeed
	heartbeat  func(HeartbeatOrder) (HeartbeatReport, error)
}

func (f *scriptedFleet) Start(_ context.Context, _ Target, o StartOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, o)
	if f.startError != nil {
		return 0, f.startError(o)
	}
	return 0, nil
}

func (f *scriptedFleet) Stop(_ context.Context, _ Target, o StopOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, o)
	if f.stopError != nil {
		return 0, f.stopError(o)
	}
	return 0, nil
}

func (f *scriptedFleet) Heartbeat(ctx context.Context, _ Target, o HeartbeatOrder) (HeartbeatReport, error) {
	f.mu.Lock()
	answer := f.heartbeat
	f.mu.Unlock()
	if answer != nil && ctx.Err() == nil { // a loop that was ended may still be on its way to its last call
		return answer(o)
	}
	<-ctx.Done()
	return HeartbeatReport{}, ctx.Err()
}

func (f *scriptedFleet) Pace(_ context.Context, _ Target, o PaceOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paces = append(f.paces, o)
	return nil
}

func (f *scriptedFleet) paced() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.paces)
}

func (f *scriptedFleet) started() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

func (f *scriptedFleet) stopped() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.stops)
}

// fakeTerm is a term that lasts until Lose is called.
type fakeTerm struct {
	mu          sync.Mutex
	lost        error
	pause       time.Duration // of the process, directly after it has found its authority to be valid
	unconfirmed time.Duration // by how much leases must be shorter
}

func (t *fakeTerm) LeaseAuthority() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return -t.unconfirmed
}

func (t *fakeTerm) Authority() bool {
	t.mu.Lock()
	valid, pause := t.lost == nil, t.pause
	t.mu.Unlock()
	time.Sleep(pause)
	return valid
}

func (t *fakeTerm) Lose(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = cause
}

// confirmLists records the scheduler's lists of workers without leases until ctx ends, as the heartbeats of its term do.
func confirmLists(ctx context.Context, s *Scheduler) {
	wait.For(ctx, 13*time.Millisecond) // keeps it apart from what the scheduler does each 100 ms
	for ctx.Err() == nil {
		number, _ := s.Withheld()
		wait.For(ctx, 350*time.Millisecond)
		s.ConfirmWithheld(number)
	}
}

// harness is a scheduler without a loop of its own; the test makes its passes.
type harness struct {
	t         *testing.T
	scheduler *Scheduler
	fleet     *scriptedFleet
	jobs      *memoryLedger
	runs      *memoryLedger
	term      *fakeTerm
	metrics   tally.TestScope
	entries   []ledger.Entry // submissions and cancellations so far
	mayPanic  bool           // the test lets the scheduler panic
}

const testLease = 10 * time.Second

func newHarness(t *testing.T, jobs, runs *memoryLedger, entries ...ledger.Entry) *harness {
	return newHarnessKnowing(t, nil, jobs, runs, entries...)
}

// newHarnessKnowing returns a harness whose scheduler knows how long leases may last on workers that its predecessor granted none any more.
func newHarnessKnowing(t *testing.T, leasesLeft map[string]time.Duration, jobs, runs *memoryLedger, entries ...ledger.Entry) *harness {
	return newHarnessConfigured(t, func(c *Config) { c.LeasesLeft = leasesLeft }, jobs, runs, entries...)
}

// newHarnessConfigured returns a harness whose scheduler has the usual configuration with some changes.
func newHarnessConfigured(t *testing.T, change func(*Config), jobs, runs *memoryLedger, entries ...ledger.Entry) *harness {
	h := &harness{t: t, fleet: &scriptedFleet{}, jobs: jobs, runs: runs, term: &fakeTerm{}, metrics: tally.NewTestScope("", nil), entries: entries}
	var current catalog.Current
	current.Advance((&catalog.Catalog{Version: 1, Customers: []catalog.Customer{{Name: "club", GuaranteedAccelerators: 8}}}).Build())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	config := Config{
		Fleet: h.fleet, Jobs: jobs, Runs: runs, Term: h.term, Token: 1, Catalog: &current, Events: event.Discard(),
		Metrics: h.metrics, Now: time.Now, PreviousAuthority: 8 * time.Second,
		Bounds: Bounds{Lease: testLease, StatusRetention: time.Minute},
	}
	change(&config)
	h.scheduler = New(ctx, config)
	t.Cleanup(func() {
		h.scheduler.panicMu.Lock()
		defer h.scheduler.panicMu.Unlock()
		assert.Equal(t, h.scheduler.panics > 0, h.mayPanic, "panics were caught: %d", h.scheduler.panics)
	})
	for _, e := range entries {
		h.scheduler.Load(e)
	}
	for _, r := range jobs.records() {
		e, err := ledger.DecodeEntry(r)
		assert.NilError(t, err)
		h.scheduler.Load(e)
	}
	h.scheduler.Recover(runs.records())
	return h
}

// nextTerm returns a scheduler of the next term, which restores the durable records.
func (h *harness) nextTerm() *harness { return h.nextTermKnowing(nil) }

// nextTermKnowing returns a scheduler of the next term, as nextTerm does, which knows how long leases may last on some workers.
func (h *harness) nextTermKnowing(leasesLeft map[string]time.Duration) *harness {
	return h.nextTermConfigured(func(c *Config) { c.LeasesLeft = leasesLeft })
}

// nextTermConfigured returns a scheduler of the next term, as nextTerm does, whose configuration has some changes.
func (h *harness) nextTermConfigured(change func(*Config)) *harness {
	h.jobs.drop()
	h.runs.drop()
	return newHarnessConfigured(h.t, change, h.jobs, h.runs, h.entries...)
}

func (h *harness) submit(j *workload.Job) {
	e := ledger.Entry{ID: j.ID, Submission: j}
	h.entries = append(h.entries, e)
	h.scheduler.Load(e)
}

func (h *harness) cancel(id string) {
	e := ledger.Entry{ID: id, Cancellation: &ledger.Cancellation{Time: time.Now()}}
	h.entries = append(h.entries, e)
	h.scheduler.Load(e)
}

// addWorker adds a worker that has answered a heartbeat.
func (h *harness) addWorker(id, rack string, accelerators int64) *worker {
	return h.addWorkerIn("centre", id, rack, accelerators)
}

// addWorkerIn adds a worker in a data centre that has answered a heartbeat. The scheduler sends it none: their failures would come
// between a report of the test and the pass that follows it.
func (h *harness) addWorkerIn(dataCentre, id, rack string, accelerators int64) *worker {
	h.scheduler.Observe(WorkerInfo{
		ID: id, Address: id + ":1", Service: "render", DataCentre: dataCentre, Rack: rack, Labels: []string{"a", rack},
		Capacity: workload.Resources{CPU: 64_000, MemoryMB: 262_144, Accelerators: accelerators},
	})
	h.scheduler.mu.Lock()
	w := h.scheduler.workers[id]
	h.scheduler.mu.Unlock()
	w.stopHeartbeats()
	h.report(w, HeartbeatReport{Clock: 1000})
	return w
}

// report passes on a worker's answer to a heartbeat that was sent just now.
func (h *harness) report(w *worker, r HeartbeatReport) {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	now := time.Now()
	h.scheduler.handleReport(w, now, now, r)
}

// pass makes a pass and makes its records durable, so that the orders are sent.
func (h *harness) pass() {
	h.scheduler.mu.Lock()
	h.scheduler.pass(time.Now())
	h.scheduler.mu.Unlock()
	h.runs.flush()
	h.jobs.flush()
}

// awaitRunning waits until n members on a worker are known to run.
func (h *harness) awaitRunning(w *worker, n int) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		h.scheduler.mu.Lock()
		defer h.scheduler.mu.Unlock()
		count := 0
		for _, m := range w.members {
			if m.state == running {
				count++
			}
		}
		if count == n {
			return poll.Success()
		}
		return poll.Continue("%d of %d members run", count, n)
	}, poll.WithDelay(time.Millisecond))
}

// runsOn lists the runs of all members on a worker.
func (h *harness) runsOn(w *worker) []RunReport {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	var runs []RunReport
	for key := range w.members {
		runs = append(runs, RunReport{Task: key.task, Run: key.run})
	}
	return runs
}

func (h *harness) state(id string) ledger.State {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	return h.scheduler.jobs[id].state
}

// singleStepJob returns a job of one step, with an ID made from n.
func singleStepJob(n int, step workload.Step) *workload.Job {
	return &workload.Job{
		ID: fmt.Sprintf("%016x", n), Customer: "club", Queue: "plans", Spec: "text", Steps: []workload.Step{step}, Submitted: time.Now(),
		QueueSettings: workload.QueueSettings{Service: "render", Priority: 1, MaxAttempts: 3, Stretch: 3, Target: time.Second},
	}
}

// stepOf returns a step of n tasks with one accelerator each.
func stepOf(n int) workload.Step {
	return workload.Step{Count: n, Resources: workload.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: 1}, Estimate: 2 * time.Second}
}

func taskName(j *workload.Job, index int) workload.TaskName {
	return workload.TaskName{Job: j.ID, Index: index}
}

// awaitStarts waits until n start orders were sent.
func awaitStarts(t *testing.T, f *scriptedFleet, n int) {
	t.Helper()
	awaitCount(t, f.started, n, "starts")
}

func awaitStops(t *testing.T, f *scriptedFleet, n int) {
	t.Helper()
	awaitCount(t, f.stopped, n, "stops")
}

func awaitCount(t *testing.T, count func() int, n int, what string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := count(); got != n {
			return poll.Continue("%d of %d %s", got, n, what)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// awaitStopAnswered waits until the order to stop each member on a worker was answered.
func (h *harness) awaitStopAnswered(w *worker) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		h.scheduler.mu.Lock()
		defer h.scheduler.mu.Unlock()
		for _, m := range w.members {
			if m.stopAnsweredAt.IsZero() {
				return poll.Continue("a stop order is not answered yet")
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}
