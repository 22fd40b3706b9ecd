package scheduler_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/rackowner"
	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const dc = structs.DataCentre("fremantle")

// members is the deployment that all instances of a test see, except for a view that is alone.
type members struct {
	mu      sync.Mutex
	entries []structs.InstanceID
	workers []platform.Instance
	changed chan struct{}
}

func (m *members) change(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
	close(m.changed)
	m.changed = make(chan struct{})
}

// view implements membership.View for one instance. With alone set, the instance sees no other entry instance.
type view struct {
	*members
	self  structs.InstanceID
	alone bool
}

var _ membership.View = (*view)(nil)

func (v *view) Self() (structs.InstanceID, structs.DataCentre) { return v.self, dc }

func (v *view) Entries(structs.DataCentre) []structs.InstanceID {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.alone {
		return []structs.InstanceID{v.self}
	}
	return slices.Clone(v.entries)
}

func (v *view) AllEntries() map[structs.InstanceID]structs.DataCentre { return nil }

func (v *view) Owner(_ structs.DataCentre, key string) structs.InstanceID {
	entries := v.Entries(dc)
	if len(entries) == 0 {
		return ""
	}
	weight := func(id structs.InstanceID) uint64 { return xxhash.Sum64String(key + "|" + string(id)) }
	return slices.MaxFunc(entries, func(a, b structs.InstanceID) int { return cmp.Compare(weight(a), weight(b)) })
}

func (v *view) Workers(structs.DataCentre) []platform.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.workers)
}

func (v *view) Minions(structs.DataCentre, structs.ServiceName) []platform.Instance { return nil }
func (v *view) Gone(structs.InstanceID) bool                                        { return false }
func (v *view) Fresh() bool                                                         { return true }

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// stream is a job stream in memory. A stale one hides finish records, like a fold that lags behind the stream.
type stream struct {
	mu       sync.Mutex
	order    []structs.JobID
	jobs     map[structs.JobID]*streamJob
	changed  chan struct{}
	finishes int
	onFinish func() error // called before a finish record is stored; on an error it is not stored
	stale    bool         // the fold has not read the finish records yet
}

type streamJob struct {
	accepted scheduler.Accepted
	result   *scheduler.Result
}

func newStream() *stream {
	return &stream{jobs: map[structs.JobID]*streamJob{}, changed: make(chan struct{})}
}

func (s *stream) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) Submit(_ context.Context, job structs.Job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := scheduler.Key(job.Customer, job.ID)
	if s.jobs[key] == nil {
		s.jobs[key] = &streamJob{accepted: scheduler.Accepted{Job: job}}
		s.order = append(s.order, key)
		s.signalChange()
	}
	return nil
}

func (s *stream) Cancel(_ context.Context, customer structs.Customer, id structs.JobID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[scheduler.Key(customer, id)]
	if j == nil {
		return errkind.New(errkind.NotFound, "check the id", "no such job")
	}
	j.accepted.Cancelled = true
	s.signalChange()
	return nil
}

func (s *stream) Finish(_ context.Context, customer structs.Customer, id structs.JobID, result scheduler.Result) error {
	s.mu.Lock()
	hook := s.onFinish
	s.mu.Unlock()
	if hook != nil {
		if err := hook(); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishes++
	if j := s.jobs[scheduler.Key(customer, id)]; j.result == nil {
		j.result = &result
	}
	s.signalChange()
	return nil
}

func (s *stream) Unfinished() []scheduler.Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []scheduler.Accepted
	for _, key := range s.order {
		if s.jobs[key].result == nil || s.stale {
			all = append(all, s.jobs[key].accepted)
		}
	}
	return all
}

func (s *stream) Find(customer structs.Customer, id structs.JobID) (scheduler.Accepted, *scheduler.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[scheduler.Key(customer, id)]
	switch {
	case j == nil:
		return scheduler.Accepted{}, nil, false
	case s.stale:
		return j.accepted, nil, true
	}
	return j.accepted, j.result, true
}

func (s *stream) CurrentAsOf() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		return time.Time{}
	}
	return time.Now()
}

func (s *stream) setStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
	s.signalChange()
}

func (s *stream) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// network carries peer calls between the instances of a test, encoded with msgpack like the real one.
type network struct {
	mu           sync.Mutex
	handlers     map[structs.InstanceID]map[string]peer.Handler
	down         map[structs.InstanceID]bool // instances cut off from peers and workers
	cutFromPeers map[structs.InstanceID]bool // instances cut off from peers but not from workers
}

// port is the network connection of one instance.
type port struct {
	network *network
	self    structs.InstanceID
}

func (p port) Handle(kind string, handler peer.Handler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.handlers[p.self] == nil {
		p.network.handlers[p.self] = map[string]peer.Handler{}
	}
	p.network.handlers[p.self][kind] = handler
}

func (p port) Call(ctx context.Context, to structs.InstanceID, kind string, request, response any) error {
	p.network.mu.Lock()
	handler := p.network.handlers[to][kind]
	cut := p.network.down[to] || p.network.down[p.self] || p.network.cutFromPeers[to] || p.network.cutFromPeers[p.self]
	p.network.mu.Unlock()
	if handler == nil || cut {
		return fmt.Errorf("%s is down: %w", to, peer.ErrNotSent)
	}
	data, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, p.self, func(into any) error { return msgpack.Unmarshal(data, into) })
	if err != nil || response == nil {
		return err
	}
	if data, err = msgpack.Marshal(answer); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, response)
}

// crashableTransport fails every request once the instance is down.
type crashableTransport struct {
	http.RoundTripper
	port port
}

func (c crashableTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.port.network.mu.Lock()
	down := c.port.network.down[c.port.self]
	c.port.network.mu.Unlock()
	if down {
		return nil, errors.New("instance is down")
	}
	return c.RoundTripper.RoundTrip(r)
}

// rig is a test data centre with stand-in workers and any number of entry instances in this process.
type rig struct {
	t               *testing.T
	timing          rackowner.Timing
	members         *members
	fleet           *standin.Fleet
	jobs            *stream
	text            *spec.Text
	newText         atomic.Pointer[spec.Text] // replaces text while instances are running
	network         *network
	middleware      atomic.Pointer[func(http.Handler) http.Handler] // wraps the HTTP handler of all workers
	checkpointGrace time.Duration                                   // longest checkpoint; 0 means a third of the task lease
	probeInterval   time.Duration
	log             *event.Log
}

func newRig(t *testing.T, workers, perRack int, options standin.Options) *rig {
	t.Helper()
	m := &members{changed: make(chan struct{})}
	var ids []structs.WorkerID
	for i := range workers {
		id := structs.WorkerID(fmt.Sprintf("w%03d", i))
		ids = append(ids, id)
		rack := structs.RackID(fmt.Sprintf("r%d", i/perRack))
		m.workers = append(m.workers, platform.Instance{ID: string(id), Role: platform.RoleWorker, DataCentre: dc, Rack: rack})
	}
	if options.Accelerators == 0 {
		options.Accelerators = 8
	}
	fleet := standin.NewFleet(options, ids...)
	r := &rig{t: t, timing: tolerantTiming(), members: m, fleet: fleet, jobs: newStream(), log: event.Discard()}
	t.Cleanup(r.dumpOnFailure)
	r.network = &network{handlers: map[structs.InstanceID]map[string]peer.Handler{}, down: map[structs.InstanceID]bool{},
		cutFromPeers: map[structs.InstanceID]bool{}}
	handler := fleet.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if middleware := r.middleware.Load(); middleware != nil {
			(*middleware)(handler).ServeHTTP(w, q)
			return
		}
		handler.ServeHTTP(w, q)
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	t.Cleanup(server.Close)
	for i := range m.workers {
		m.workers[i].Address = strings.TrimPrefix(server.URL, "http://")
	}
	r.text = &spec.Text{
		DataCentres: []spec.DataCentre{{Name: dc, Racks: spec.Racks{
			Count: (workers + perRack - 1) / perRack, WorkersPerRack: perRack, AcceleratorsPerWorker: options.Accelerators}}},
		Customers: []spec.Customer{{Name: "harbour-clubs"}},
		JobKinds:  []spec.JobKind{{Name: "season-plan", MaxAttempts: 5}},
	}
	return r
}

func (r *rig) currentText() *spec.Text {
	if changed := r.newText.Load(); changed != nil {
		return changed
	}
	return r.text
}

func (r *rig) setText(text *spec.Text) { r.newText.Store(text) }

// instance is an entry instance of a rig.
type instance struct {
	id     structs.InstanceID
	rig    *rig
	view   *view
	owner  *rackowner.Owner
	sched  *scheduler.Scheduler
	port   port
	cancel func()
}

// instance starts an entry instance with a rack owner and a scheduler.
func (r *rig) instance(id structs.InstanceID) *instance {
	r.t.Helper()
	i := &instance{id: id, rig: r, view: &view{members: r.members, self: id}, port: port{r.network, id}}
	client := platform.NewHTTPClient()
	transport := client.Transport
	client.Transport = crashableTransport{transport, i.port}
	i.owner = rackowner.New(rackowner.Config{View: i.view, HTTP: client, Timing: r.timing, Log: r.log, Metrics: tally.NoopScope})
	i.owner.Register(i.port)
	racks := func(ctx context.Context) rackowner.Racks {
		return rackowner.NewRemote(ctx, i.view, i.port, r.timing, r.log)
	}
	i.sched = scheduler.New(scheduler.Config{
		View: i.view, Text: r.currentText, Jobs: r.jobs, Racks: racks, Timing: r.timing,
		CheckpointGrace: cmp.Or(r.checkpointGrace, r.timing.TaskLease/3), Tick: r.timing.Renew / 6, ProbeInterval: r.probeInterval, Log: r.log, Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); _ = i.owner.Run(ctx) }()
	go func() { defer wg.Done(); _ = i.sched.Run(ctx) }()
	r.members.change(func() { r.members.entries = append(r.members.entries, id) })
	i.cancel = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
		transport.(*http.Transport).CloseIdleConnections()
	})
	r.t.Cleanup(i.cancel)
	return i
}

// drain stops the instance in an orderly way: it gives up its sessions.
func (i *instance) drain() {
	i.cancel()
	i.leave()
}

// crash cuts the instance off from peers and workers and then stops it. It cannot give up its sessions.
func (i *instance) crash() {
	i.rig.network.cut(i.id, true)
	i.leave()
	i.cancel()
}

func (n *network) cut(id structs.InstanceID, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[id] = down
}

// cutPeers cuts an instance off from the other instances, and its scheduler from its own rack owner.
func (n *network) cutPeers(id structs.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutFromPeers[id] = true
}

// leave removes the instance from the membership.
func (i *instance) leave() {
	m := i.rig.members
	m.change(func() {
		m.entries = slices.DeleteFunc(m.entries, func(e structs.InstanceID) bool { return e == i.id })
	})
}

func (r *rig) setMiddleware(middleware func(http.Handler) http.Handler) {
	r.middleware.Store(&middleware)
}

func (r *rig) submit(id string, accelerators int, runTime time.Duration, change ...func(*structs.Job)) {
	r.t.Helper()
	job := structs.Job{
		ID: structs.JobID(id), Customer: "harbour-clubs", Kind: "season-plan", DataCentre: dc, Accelerators: accelerators,
		RunTime: runTime, SubmittedAt: time.Now(),
	}
	for _, f := range change {
		f(&job)
	}
	assert.NilError(r.t, r.jobs.Submit(context.Background(), job))
}

// runs returns the task runs of a job so far.
func (r *rig) runs(id string) []standin.Run {
	key := scheduler.Key("harbour-clubs", structs.JobID(id))
	return slices.DeleteFunc(r.fleet.Report(), func(run standin.Run) bool { return run.Job != key })
}

// running counts the members of a job that are running now.
func (r *rig) running(id string) int {
	n := 0
	for _, run := range r.runs(id) {
		if run.Ended.IsZero() {
			n++
		}
	}
	return n
}

func (r *rig) result(id string) *scheduler.Result {
	_, result, _ := r.jobs.Find("harbour-clubs", structs.JobID(id))
	return result
}

// await polls until the condition holds.
func (r *rig) await(what string, limit time.Duration, condition func() bool) {
	r.t.Helper()
	check := func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}
	poll.WaitOn(r.t, check, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(limit))
}

func (r *rig) control(worker, action string, count int) {
	r.t.Helper()
	assert.NilError(r.t, r.fleet.Control(standin.Control{Worker: structs.WorkerID(worker), Action: action, Count: count}))
}

// Bounds on the time until an urgent job starts, and an allowance for the noise of the machine in scaled-down tests.
const (
	urgentBound     = 7800 * time.Millisecond // target with checkpoints of 5 s
	urgentScale     = 3                       // factor by which TestUrgentStartOnBorrowedFleet shortens these times
	schedulingNoise = 150 * time.Millisecond
)

var finishedResult = scheduler.Result{State: structs.JobFinished, Attempts: 1}

// dumpOnFailure prints the latest events of a failed test.
func (r *rig) dumpOnFailure() {
	if !r.t.Failed() {
		return
	}
	events, _ := r.log.Since(0)
	for _, e := range events[max(0, len(events)-maxEventsShown):] {
		r.t.Log(e.Time.Format("05.000"), e.Name, e.Fields)
	}
}

const maxEventsShown = 60
