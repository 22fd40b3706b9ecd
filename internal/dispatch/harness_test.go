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
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// memoryLedger keeps the newest record of each key. Records become durable when the test says so.
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

// flush makes all that was put durable, in order, until nothing more is put.
func (l *memoryLedger) flush() {
	for {
		l.mu.Lock()
		if len(l.waiting) == 0 {
			l.mu.Unlock()
			return
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
	}
}

// drop forgets what is not durable, as a loss of the process does.
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

// scriptedFleet answers orders as the test says. Looks are not answered; tests hand reports in themselves.
type scriptedFleet struct {
	mu     sync.Mutex
	starts []StartOrder
	stops  []StopOrder
	paces  []PaceOrder
	answer func(StartOrder) error // nil: taken
	stop   func(StopOrder) error  // nil: taken
}

func (f *scriptedFleet) Start(_ context.Context, _ Target, o StartOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, o)
	if f.answer != nil {
		return 0, f.answer(o)
	}
	return 0, nil
}

func (f *scriptedFleet) Stop(_ context.Context, _ Target, o StopOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, o)
	if f.stop != nil {
		return 0, f.stop(o)
	}
	return 0, nil
}

func (f *scriptedFleet) Heartbeat(ctx context.Context, _ Target, _ HeartbeatOrder) (HeartbeatReport, error) {
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

// fixedTerm is a term that the test ends.
type fixedTerm struct {
	mu   sync.Mutex
	lost error
}

func (t *fixedTerm) Authority() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost == nil
}

func (t *fixedTerm) Lose(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = cause
}

// bench is a scheduler without goroutines of its own; the test makes its passes.
type bench struct {
	t     *testing.T
	s     *Scheduler
	fleet *scriptedFleet
	jobs  *memoryLedger
	runs  *memoryLedger
	term  *fixedTerm
	live  []ledger.Entry // submissions and cancellations so far
}

const testLease = 10 * time.Second

func newBench(t *testing.T, jobs, runs *memoryLedger, entries ...ledger.Entry) *bench {
	b := &bench{t: t, fleet: &scriptedFleet{}, jobs: jobs, runs: runs, term: &fixedTerm{}, live: entries}
	var current catalog.Current
	current.Advance((&catalog.Catalog{Version: 1, Customers: []catalog.Customer{{Name: "club", GuaranteedAccelerators: 8}}}).Build())
	b.s = New(Config{
		Fleet: b.fleet, Jobs: jobs, Runs: runs, Term: b.term, Token: 1, Catalog: &current, Events: event.Discard(),
		Metrics: tally.NoopScope, Now: time.Now, PreviousAuthority: 8 * time.Second,
		Bounds: Bounds{Lease: testLease, StatusRetention: time.Minute},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	b.s.ctx = ctx
	for _, e := range entries {
		b.s.Load(e)
	}
	for _, r := range jobs.records() {
		e, err := ledger.DecodeEntry(r)
		assert.NilError(t, err)
		b.s.Load(e)
	}
	b.s.Recover(runs.records())
	return b
}

// next returns a scheduler of the following term, with what is durable.
func (b *bench) next() *bench {
	b.jobs.drop()
	b.runs.drop()
	return newBench(b.t, b.jobs, b.runs, b.live...)
}

func (b *bench) submit(j *workload.Job) {
	e := ledger.Entry{ID: j.ID, Submission: j}
	b.live = append(b.live, e)
	b.s.Load(e)
}

func (b *bench) cancel(id string) {
	e := ledger.Entry{ID: id, Cancellation: &ledger.Cancellation{Time: time.Now()}}
	b.live = append(b.live, e)
	b.s.Load(e)
}

// worker adds a worker that has answered a look.
func (b *bench) worker(id, rack string, accelerators int64) *worker {
	b.s.Observe(WorkerInfo{
		ID: id, Address: id + ":1", Service: "render", Rack: rack, Labels: []string{"a", rack},
		Capacity: workload.Resources{CPU: 64_000, MemoryMB: 262_144, Accelerators: accelerators},
	})
	w := b.s.workers[id]
	b.report(w, HeartbeatReport{Clock: 1000})
	return w
}

// report hands a worker's answer to a look in that was sent just now.
func (b *bench) report(w *worker, r HeartbeatReport) {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	now := time.Now()
	b.s.report(w, now, now, r)
}

// pass makes a pass and lets the orders that it leads to be sent.
func (b *bench) pass() {
	b.s.mu.Lock()
	b.s.pass(time.Now())
	b.s.mu.Unlock()
	b.runs.flush()
	b.jobs.flush()
}

// awaitRunning waits until the orders of all members on a worker were answered.
func (b *bench) awaitRunning(w *worker, n int) {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		b.s.mu.Lock()
		defer b.s.mu.Unlock()
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

// running lists the members on a worker.
func (b *bench) running(w *worker) []RunReport {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	var runs []RunReport
	for key := range w.members {
		runs = append(runs, RunReport{Task: key.task, Run: key.run})
	}
	return runs
}

func (b *bench) state(id string) ledger.State {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	return b.s.jobs[id].state
}

// jobOf returns a job of one step.
func jobOf(n int, step workload.Step) *workload.Job {
	return &workload.Job{
		ID: fmt.Sprintf("%016x", n), Customer: "club", Queue: "plans", Spec: "text", Steps: []workload.Step{step}, Submitted: time.Now(),
		Terms: workload.Terms{Service: "render", Priority: 1, MaxAttempts: 3, Stretch: 3, Target: time.Second},
	}
}

// tasks returns a step of n tasks with one accelerator each.
func tasks(n int) workload.Step {
	return workload.Step{Count: n, Resources: workload.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: 1}, Estimate: 2 * time.Second}
}

func task(j *workload.Job, index int) workload.TaskName {
	return workload.TaskName{Job: j.ID, Index: index}
}

// awaitStarts waits until n starts were ordered.
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
func (b *bench) awaitStopAnswered(w *worker) {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		b.s.mu.Lock()
		defer b.s.mu.Unlock()
		for _, m := range w.members {
			if m.stopped.IsZero() {
				return poll.Continue("a stop is not answered")
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}
