// Package soak stands in for callers and the operator of the users' platform: it runs entry instances as separate processes
// against the other stand-ins, injects faults from outside, and checks what callers and workers see: each accepted job ends
// once, no task runs twice, refusals are true.
package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/process"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/taskworker"
)

// Timings of a run.
const (
	startWithin  = 20 * time.Second       // for the first instance to accept a job
	settleWithin = 60 * time.Second       // for all accepted jobs to end after the last fault
	submitPause  = 60 * time.Millisecond  // mean time between two jobs
	callTimeout  = 3 * time.Second        // callers' deadline
	pollPause    = 200 * time.Millisecond // between looks at jobs that have not ended
	host         = "jobs.example"
	key          = "soak-key"
	workerCount  = 6
	firstJob     = "ffffffffffffffff" // handed in until an instance accepts jobs
)

// Options of a run.
type Options struct {
	Daemon, Standin string // paths of the binaries
	Directory       string // for settings and logs
	Instances       int
	Seed            uint64 // decides the whole plan
	Length          time.Duration
	Progress        io.Writer
	Faults          []Fault       // in order; nil draws them from the seed
	Settle          time.Duration // for all accepted jobs to end after the last fault; 0 takes settleWithin
	Sabotage        Sabotage
}

// Sabotage breaks promises on purpose, below the product or on the way to its callers, which shows that the checks can fail.
type Sabotage struct {
	Store    store.Faults // while no other fault of the store is injected
	HideRuns bool         // see taskworker.Fleet.HideRuns
	Deny     bool         // callers are told that nothing was accepted when it was
}

// Verdict is what callers and workers saw.
type Verdict struct {
	Accepted, Completed, Cancelled, Refused, Open int
	Lost                                          []string // accepted jobs without the right end
	FalseRefusals                                 []string // jobs that were only ever refused and exist
	Workers                                       taskworker.Report
}

// Passed reports whether every promise was kept.
func (v Verdict) Passed() bool {
	return v.Accepted > 0 && len(v.Lost) == 0 && len(v.FalseRefusals) == 0 && v.Workers.Doubled == 0
}

// String is the last line of a run.
func (v Verdict) String() string {
	return fmt.Sprintf("soak: accepted=%d completed=%d cancelled=%d refused=%d open=%d lost=%d false_refusals=%d started=%d doubled=%d lapsed=%d",
		v.Accepted, v.Completed, v.Cancelled, v.Refused, v.Open, len(v.Lost), len(v.FalseRefusals), v.Workers.Started, v.Workers.Doubled, v.Workers.Lapsed)
}

// run is one run in progress.
type run struct {
	o       Options
	random  *rand.Rand // of the load; the plan of faults has its own
	store   string
	workers string
	nodes   []*node

	fleetLink *proxy // through which instances reach the workers
	procs     []*process.Process
	client    *http.Client

	mu   sync.Mutex
	jobs map[string]*handedIn
}

// handedIn is what a caller knows of its job.
type handedIn struct {
	accepted bool
	open     bool // an attempt had neither an acceptance nor a refusal
	cancels  bool // its cancellation was sent, answered or not
}

// node is an entry instance, which may be started again.
type node struct {
	name, settings, address string // address is the proxy's, for callers
	process                 *process.Process
	front                   *proxy // through which callers reach it
	storeLink               *proxy // through which it reaches the store
}

// Run makes one run and returns the verdict. An error means that the run itself failed.
func Run(ctx context.Context, o Options) (Verdict, error) {
	if o.Settle == 0 {
		o.Settle = settleWithin
	}
	r := &run{o: o, random: rand.New(rand.NewPCG(o.Seed, 1)), jobs: map[string]*handedIn{}, client: &http.Client{Timeout: callTimeout}}
	defer r.stopAll()
	if err := r.start(ctx); err != nil {
		return Verdict{}, err
	}
	plan := o.Faults
	if plan == nil {
		plan = Plan(o.Seed, o.Length, o.Instances)
	}
	for _, f := range plan {
		fmt.Fprintln(o.Progress, f)
	}
	loadCtx, stopLoad := context.WithTimeout(ctx, o.Length)
	defer stopLoad()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		r.load(loadCtx)
	}()
	if err := r.setFaults(ctx, o.Sabotage.Store); err != nil {
		return Verdict{}, err
	}
	if err := r.inject(ctx, plan); err != nil {
		return Verdict{}, err
	}
	<-loaded
	return r.judge(ctx)
}

// start starts the stand-ins and the instances, and waits until a job is accepted.
func (r *run) start(ctx context.Context) error {
	addresses, err := process.FreeAddresses(2 + 3*r.o.Instances)
	if err != nil {
		return err
	}
	r.store, r.workers = addresses[0], addresses[1]
	args := []string{"tasks", "--listen", r.workers}
	for i := range workerCount {
		args = append(args, fmt.Sprintf("--worker=w%d", i))
	}
	if r.o.Sabotage.HideRuns {
		args = append(args, "--hide-runs")
	}
	for name, argv := range map[string][]string{"store": {"store", "--listen", r.store}, "workers": args} {
		p, err := process.Start(r.o.Directory, name, r.o.Standin, argv...)
		if err != nil {
			return err
		}
		r.procs = append(r.procs, p)
	}
	if r.fleetLink, err = newProxy(ctx, r.workers); err != nil {
		return err
	}
	if err := r.describe(ctx); err != nil {
		return err
	}
	for i := range r.o.Instances {
		n := &node{name: fmt.Sprintf("entry-%d", i)}
		if err := n.link(ctx, addresses[2+3*i], r.store); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		n.settings = filepath.Join(r.o.Directory, n.name+".yaml")
		text := fmt.Sprintf("instance: %s\ndata_centre: z1\nlisten: {jobs: %q, readiness: %q, control: %q}\nstore: %q\nbounds: {lease_ms: 4000, keep_status_s: 300}\n",
			n.name, addresses[2+3*i], addresses[3+3*i], addresses[4+3*i], n.storeLink.address())
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := r.startNode(n); err != nil {
			return err
		}
	}
	return r.awaitFirst(ctx)
}

// link starts the proxies of an instance that listens on jobs.
func (n *node) link(ctx context.Context, jobs, store string) (err error) {
	if n.front, err = newProxy(ctx, jobs); err != nil {
		return err
	}
	n.address = n.front.address()
	n.storeLink, err = newProxy(ctx, store)
	return err
}

func (r *run) startNode(n *node) error {
	p, err := process.Start(r.o.Directory, n.name, r.o.Daemon, "node", "--settings", n.settings)
	n.process = p
	return err
}

// describe writes the operator's configuration and the list of workers.
func (r *run) describe(ctx context.Context) error {
	config := fmt.Sprintf(`{"version":1,"routes":[{"name":"plans","host":%q,"path_prefix":"/plans/","timeout_ms":3000,"target_latency_ms":1000,`+
		`"priority":1,"service":"render","max_attempts":3,"stretch":3.0},{"name":"checks","host":%q,"path_prefix":"/checks/","timeout_ms":3000,`+
		`"target_latency_ms":250,"priority":0,"service":"render","max_attempts":3,"stretch":1.5}],"services":[{"name":"render"}],`+
		`"tenants":[{"name":"club","api_keys":[%q],"guaranteed":{"gpu":16}}]}`, host, host, key)
	if err := r.put(ctx, "keyed.op", "config", config); err != nil {
		return err
	}
	for i := range workerCount {
		entry := fmt.Sprintf(`{"service":"render","address":%q,"zone":"z1","state":"ready","capacity":{"cpu":64000,"mem_mb":262144,"gpu":8},`+
			`"labels":["a","r1-%d"],"sequence":1}`, r.fleetLink.address(), 1+i/3)
		if err := r.put(ctx, "keyed.servers", fmt.Sprintf("w%d", i), entry); err != nil {
			return err
		}
	}
	return nil
}

// put writes a record as the platform does, repeating it while the store starts.
func (r *run) put(ctx context.Context, topic, name, value string) (err error) {
	for deadline := time.Now().Add(startWithin); time.Now().Before(deadline); time.Sleep(pollPause) {
		if _, err = r.post(ctx, "http://"+r.store+"/control/records?topic="+topic+"&key="+name, []byte(value)); err == nil {
			return nil
		}
	}
	return err
}

func (r *run) post(ctx context.Context, url string, body []byte) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func (r *run) setFaults(ctx context.Context, f store.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	_, err = r.post(ctx, "http://"+r.store+"/control/faults", body)
	return err
}

// awaitFirst waits until any instance accepts a job.
func (r *run) awaitFirst(ctx context.Context) error {
	for deadline := time.Now().Add(startWithin); time.Now().Before(deadline); time.Sleep(pollPause) {
		if r.submit(ctx, firstJob, r.nodes[0], 1, 10) {
			return nil
		}
	}
	return fmt.Errorf("no instance accepted a job within %v (logs are in %s)", startWithin, r.o.Directory)
}

// load hands jobs in, and cancels some, until ctx ends.
func (r *run) load(ctx context.Context) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for i := uint64(1); ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%016x", i)
		first, tasks, takes := r.random.IntN(len(r.nodes)), 1+r.random.IntN(8), 20+r.random.IntN(1500)
		cancel := r.random.IntN(10) == 0
		callers.Go(func() { r.caller(context.WithoutCancel(ctx), id, first, tasks, takes, cancel) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.random.Int64N(2 * int64(submitPause)))):
		}
	}
}

// caller hands a job in, retrying at other instances, and may cancel it.
func (r *run) caller(ctx context.Context, id string, first, tasks, takes int, cancel bool) {
	for attempt := range 4 {
		if r.submit(ctx, id, r.nodes[(first+attempt)%len(r.nodes)], tasks, takes) {
			break
		}
		time.Sleep(pollPause)
	}
	if !cancel {
		return
	}
	r.mu.Lock()
	r.jobs[id].cancels = true
	r.mu.Unlock()
	for attempt := range 4 {
		status, _, err := r.call(ctx, r.nodes[(first+attempt)%len(r.nodes)], http.MethodDelete, id, nil)
		if err == nil && status == http.StatusOK {
			return
		}
	}
}

// submit hands a job in once and reports whether it was accepted.
func (r *run) submit(ctx context.Context, id string, n *node, tasks, takesMS int) bool {
	body := fmt.Appendf(nil, `{"spec":"{\"takes_ms\":%d}","phases":[{"count":%d,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":%d}]}`, takesMS, tasks, takesMS)
	status, _, err := r.call(ctx, n, http.MethodPost, id, body)
	if r.o.Sabotage.Deny && id != firstJob && err == nil && status == http.StatusOK {
		status = http.StatusServiceUnavailable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		j = &handedIn{}
		r.jobs[id] = j
	}
	switch {
	case err == nil && status == http.StatusOK:
		j.accepted = true
	case err != nil || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
		j.open = true
	}
	return j.accepted
}

// call makes one call of a caller. Connections stay open until the instance closes them.
func (r *run) call(ctx context.Context, n *node, method, id string, body []byte) (status int, state string, err error) {
	queue := "plans"
	if id[len(id)-1]%2 == 0 {
		queue = "checks"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.address+"/"+queue+"/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&answer)
	}
	return resp.StatusCode, answer.State, err
}

// stopAll ends all processes that the run started.
func (r *run) stopAll() {
	for _, n := range r.nodes {
		if n.process != nil { // it was started
			_ = n.process.Signal(syscall.SIGCONT) // it may be paused, or have ended
			n.process.Kill()
		}
	}
	for _, p := range r.procs {
		p.Kill()
	}
	for _, n := range r.nodes {
		n.front.close()
		n.storeLink.close()
	}
	if r.fleetLink != nil {
		r.fleetLink.close()
	}
}
