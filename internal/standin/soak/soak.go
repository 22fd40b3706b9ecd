// Package soak runs entry instances as separate processes against the other stand-ins, acts as their callers and operator, and
// injects faults from outside. It checks the invariants that callers and workers can see: every accepted job ends as its caller
// asked, no task runs twice or starts in an evacuated data centre, a job that was refused does not exist, and no job stands beside free resources.
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
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/process"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/crowd"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/taskworker"
)

// Timings and fixed values of a run.
const (
	startTimeout   = 20 * time.Second      // timeout until an instance accepts the first job
	settleTimeout  = 60 * time.Second      // timeout until all accepted jobs have ended after the last fault
	submitInterval = 60 * time.Millisecond // mean interval between two submissions
	callTimeout    = 3 * time.Second       // callers' timeout for one call
	// startsAfterCancel is how long after the answer to a cancellation a task of the job may still start (cancel_ms of the platform's bounds).
	startsAfterCancel = 3 * time.Second
	pollInterval      = 200 * time.Millisecond // interval between two attempts of a repeated call
	crowdPause        = 50 * time.Millisecond  // of the clients that keep to no limits, so that they do not take the machine's processors
	longestLease      = 4 * time.Second
	host              = "jobs.example"
	apiKey            = "soak-key"
	// evacuateTime is the time from the acknowledgement of an evacuation until no task may start (evacuate_ms of the platform's bounds).
	evacuateTime  = 5 * time.Second
	workerCount   = 24
	workersOfRack = 8
	accelerators  = 8                  // of each worker
	firstJob      = "ffffffffffffffff" // id of the job that is submitted until an instance accepts it
	lastJobs      = "eeeeeeeeeeeeee"   // beginning of the ids of the jobs that each instance is to accept after the faults
	workersTopic  = "keyed.servers"    // list of workers
	operatorTopic = "keyed.op"         // configuration and evacuations
	advisedQueue  = "advised"          // queue with advice
)

// Options of a run.
type Options struct {
	Daemon, Standin string // paths of the dogwoodnotch and standin binaries
	Directory       string // directory for settings and logs
	Instances       int
	Seed            uint64 // seed that determines the load and the faults
	Length          time.Duration
	Calm            time.Duration // time for which the load goes on after the last fault, if that is later than its end by Length
	Progress        io.Writer     // receives one line for each fault
	Faults          []Fault       // faults in the order of their start; nil draws them from the seed
	SettleTimeout   time.Duration // time for all accepted jobs to end after the last fault; 0 means settleTimeout
	Violations      Violations
}

// Violations make the stand-ins, or the path to the callers, break an invariant on purpose. They show that the checks can fail.
type Violations struct {
	Store          store.Faults // faults of the store, active while no other store fault is injected
	HideRuns       bool         // see taskworker.Fleet.HideRuns
	DenyAcceptance bool         // callers see an acceptance as a refusal, but for the first and last jobs
	DropCancels    bool         // cancellations are not sent, and count as answered startsAfterCancel earlier
	DeafInstance   bool         // the first instance gets no more calls after the faults
	DropJobs       bool         // submissions of some jobs are not sent, and count as accepted
	DropEvacuation bool         // evacuations are acknowledged, but not recorded
}

// Verdict counts what callers and workers saw.
type Verdict struct {
	Accepted, Completed, Cancelled, Refused, Unknown int      // numbers of jobs; Unknown, printed as open, counts those without a certain outcome of the submission
	Lost                                             []string // accepted jobs that did not end as expected
	FalseRefusals                                    []string // jobs that exist although every submission was refused
	Unasked                                          []string // jobs of which a task started later than startsAfterCancel after their cancellation was answered
	Stuck                                            []string // instances that accept no job, or whose job does not end, after the faults
	Standing                                         []string // jobs that had nothing running beside free resources, see findStanding
	Workers                                          taskworker.Report
}

// Passed reports whether every invariant held.
func (v Verdict) Passed() bool {
	return v.Accepted > 0 && len(v.Lost) == 0 && len(v.FalseRefusals) == 0 && len(v.Unasked) == 0 && len(v.Stuck) == 0 && len(v.Standing) == 0 && v.Workers.Doubled == 0 && v.Workers.Forbidden == 0
}

// String returns the last line of a run's output.
func (v Verdict) String() string {
	return fmt.Sprintf("soak: accepted=%d completed=%d cancelled=%d refused=%d open=%d lost=%d false_refusals=%d unasked=%d stuck=%d standing=%d started=%d doubled=%d forbidden=%d lapsed=%d unticketed=%d",
		v.Accepted, v.Completed, v.Cancelled, v.Refused, v.Unknown, len(v.Lost), len(v.FalseRefusals), len(v.Unasked), len(v.Stuck), len(v.Standing), v.Workers.Started, v.Workers.Doubled, v.Workers.Forbidden, v.Workers.Lapsed, v.Workers.Unticketed)
}

// run is the state of one run.
type run struct {
	options        Options
	random         *rand.Rand // random source of the load; the fault plan has random sources of its own
	storeAddress   string
	workersAddress string
	nodes          []*node

	workerProxies []*proxy // between the instances and each worker, so that each worker has an address of its own
	standIns      []*process.Process
	client        *http.Client

	observations []observation // written by observe
	faultsEnd    time.Time     // end of the last fault so far
	losses       []loss        // workers that lost their power

	mu   sync.Mutex
	jobs map[string]*submittedJob
	born [workerCount]int64 // start of each worker's process in Unix milliseconds, 0 for the first one
}

// submittedJob is what a caller knows about its job.
type submittedJob struct {
	accepted   bool
	acceptedAt time.Time
	steps      []step
	unknown    bool      // an attempt was answered by neither an acceptance nor a refusal
	cancelSent bool      // a cancellation was sent, whether or not it was answered
	cancelled  time.Time // when a cancellation was first answered, also with 410
}

// node is an entry instance, which faults may restart.
type node struct {
	name, settingsPath, address string // address is that of callerProxy
	jobsAddress                 string // address of the instance itself
	process                     *process.Process
	starts                      int    // number of processes so far; each has a log of its own
	callerProxy                 *proxy // proxy between callers and the instance
	storeProxy                  *proxy // proxy between the instance and the store
}

// Run executes one run and returns its verdict. An error means that the run could not be completed.
func Run(ctx context.Context, options Options) (Verdict, error) {
	if options.SettleTimeout == 0 {
		options.SettleTimeout = settleTimeout
	}
	r := &run{options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), jobs: map[string]*submittedJob{}, client: &http.Client{Timeout: callTimeout}}
	defer r.stopAll()
	if err := r.start(ctx); err != nil {
		return Verdict{}, err
	}
	plan := options.Faults
	if plan == nil {
		plan = Plan(options.Seed, options.Length, options.Instances)
	}
	for _, f := range plan {
		fmt.Fprintln(options.Progress, f)
	}
	observeCtx, stopObserving := context.WithCancel(ctx)
	defer stopObserving()
	observed := make(chan struct{})
	go func() {
		defer close(observed)
		r.observe(observeCtx)
	}()
	loadEnd := time.Now().Add(options.Length)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		var clients sync.WaitGroup
		clients.Go(func() { r.playCrowd(loadCtx) })
		r.generateLoad(loadCtx)
		clients.Wait()
	}()
	if err := r.setStoreFaults(ctx, options.Violations.Store); err != nil {
		return Verdict{}, err
	}
	if err := r.injectFaults(ctx, plan); err != nil {
		return Verdict{}, err
	}
	if calm := r.faultsEnd.Add(options.Calm); options.Calm > 0 && calm.After(loadEnd) {
		loadEnd = calm
	}
	r.sleepUntil(loadEnd)
	stopLoad()
	<-loadDone
	if options.Violations.DeafInstance {
		r.nodes[0].callerProxy.close()
	}
	verdict, err := r.judge(ctx)
	stopObserving()
	<-observed
	verdict.Standing = r.findStanding()
	return verdict, err
}

// start starts the stand-ins and the instances, and waits until the first job is accepted.
func (r *run) start(ctx context.Context) error {
	addresses, err := process.FreeAddresses(2 + 3*r.options.Instances)
	if err != nil {
		return err
	}
	r.storeAddress, r.workersAddress = addresses[0], addresses[1]
	args := []string{"tasks", "--listen", r.workersAddress, "--max-lease", longestLease.String()}
	for i := range workerCount {
		args = append(args, fmt.Sprintf("--worker=w%d", i))
	}
	if r.options.Violations.HideRuns {
		args = append(args, "--hide-runs")
	}
	for name, argv := range map[string][]string{"store": {"store", "--listen", r.storeAddress}, "workers": args} {
		p, err := process.Start(r.options.Directory, name, r.options.Standin, argv...)
		if err != nil {
			return err
		}
		r.standIns = append(r.standIns, p)
	}
	for range workerCount {
		p, err := newProxy(ctx, r.workersAddress)
		if err != nil {
			return err
		}
		r.workerProxies = append(r.workerProxies, p)
	}
	if err := r.writeConfiguration(ctx); err != nil {
		return err
	}
	for i := range r.options.Instances {
		n := &node{name: fmt.Sprintf("entry-%d", i)}
		if err := n.startProxies(ctx, addresses[2+3*i], r.storeAddress); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		n.settingsPath = filepath.Join(r.options.Directory, n.name+".yaml")
		text := fmt.Sprintf("instance: %s\ndata_centre: z1\nlisten: {jobs: %q, readiness: %q, control: %q}\nstore: %q\nadvisor: %q\nbounds: {lease_ms: %d, keep_status_s: 300, evacuate_ms: %d, cancel_ms: %d}\n",
			n.name, addresses[2+3*i], addresses[3+3*i], addresses[4+3*i], n.storeProxy.address(), r.workerProxies[0].address(), longestLease.Milliseconds(), evacuateTime.Milliseconds(), startsAfterCancel.Milliseconds())
		if err := os.WriteFile(n.settingsPath, []byte(text), 0o600); err != nil {
			return err
		}
		if err := r.startNode(n); err != nil {
			return err
		}
	}
	return r.awaitFirstJob(ctx)
}

// startProxies starts the proxies of an instance whose job interface listens on the address jobs.
func (n *node) startProxies(ctx context.Context, jobs, store string) (err error) {
	if n.callerProxy, err = newProxy(ctx, jobs); err != nil {
		return err
	}
	n.address, n.jobsAddress = n.callerProxy.address(), jobs
	n.storeProxy, err = newProxy(ctx, store)
	return err
}

func (r *run) startNode(n *node) error {
	n.starts++
	p, err := process.Start(r.options.Directory, fmt.Sprintf("%s-%d", n.name, n.starts), r.options.Daemon, "node", "--settings", n.settingsPath)
	n.process = p
	return err
}

// writeConfiguration writes the operator's configuration and the list of workers to the store.
func (r *run) writeConfiguration(ctx context.Context) error {
	config := fmt.Sprintf(`{"version":1,"routes":[{"name":"plans","host":%q,"path_prefix":"/plans/","timeout_ms":3000,"target_latency_ms":1000,`+
		`"priority":1,"service":"render","max_attempts":3,"stretch":3.0},{"name":"checks","host":%q,"path_prefix":"/checks/","timeout_ms":3000,`+
		`"target_latency_ms":250,"priority":0,"service":"render","max_attempts":3,"stretch":1.5},{"name":"advised","host":%q,"path_prefix":"/advised/","timeout_ms":3000,`+
		`"target_latency_ms":1000,"priority":1,"service":"render","max_attempts":3,"stretch":3.0,"advice":{"decision_ms":40,"per_worker_ms":1,"validity_ms":1500}}],`+
		`"services":[{"name":"render"}],"tenants":[{"name":"club","api_keys":[%q],"guaranteed":{"gpu":16}}]}`, host, host, host, apiKey)
	if err := r.put(ctx, operatorTopic, "config", config); err != nil {
		return err
	}
	for i := range workerCount {
		if err := r.putWorker(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// dataCentreOf returns the data centre of a worker.
func dataCentreOf(worker int) string { return fmt.Sprintf("z%d", 1+worker/workersOfRack) }

// rackOf returns the rack of a worker.
func rackOf(worker int) string { return fmt.Sprintf("r1-%d", 1+worker/workersOfRack) }

// putWorker writes the entry of a worker in the list of workers.
func (r *run) putWorker(ctx context.Context, i int) error {
	r.mu.Lock()
	born := r.born[i]
	r.mu.Unlock()
	entry := fmt.Sprintf(`{"service":"render","address":%q,"zone":%q,"state":"ready","capacity":{"cpu":64000,"mem_mb":262144,"gpu":%d},`+
		`"labels":["a",%q],"sequence":1,"born":%d}`, r.workerProxies[i].address(), dataCentreOf(i), accelerators, rackOf(i), born)
	return r.put(ctx, workersTopic, fmt.Sprintf("w%d", i), entry)
}

// put writes a record as the platform does, retrying while the store starts.
func (r *run) put(ctx context.Context, topic, name, value string) (err error) {
	return r.postRepeatedly(ctx, "http://"+r.storeAddress+"/control/records?topic="+topic+"&key="+name, []byte(value))
}

// postRepeatedly calls a stand-in until it answers, since a busy machine can hold up a call for longer than callTimeout.
func (r *run) postRepeatedly(ctx context.Context, url string, body []byte) (err error) {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if _, err = r.post(ctx, url, body); err == nil {
			return nil
		}
	}
	return err
}

func (r *run) post(ctx context.Context, url string, body []byte) (answer []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

func (r *run) setStoreFaults(ctx context.Context, f store.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	_, err = r.post(ctx, "http://"+r.storeAddress+"/control/faults", body)
	return err
}

// awaitFirstJob waits until the first instance accepts a job.
func (r *run) awaitFirstJob(ctx context.Context) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if r.submit(ctx, firstJob, r.nodes[0], 1, 10) {
			return nil
		}
	}
	return fmt.Errorf("no instance accepted a job within %v (logs are in %s)", startTimeout, r.options.Directory)
}

// generateLoad submits jobs, and cancels some of them, until ctx ends.
func (r *run) generateLoad(ctx context.Context) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for i := uint64(1); ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%016x", i)
		first, tasks, runTimeMS := r.random.IntN(len(r.nodes)), 1+r.random.IntN(8), 20+r.random.IntN(1500)
		cancel := r.random.IntN(10) == 0
		callers.Go(func() { r.runCaller(context.WithoutCancel(ctx), id, first, tasks, runTimeMS, cancel) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.random.Int64N(2 * int64(submitInterval)))):
		}
	}
}

// playCrowd plays one client of each kind that keeps to no limits, against one instance, until ctx ends. No ordinary caller may notice them.
func (r *run) playCrowd(ctx context.Context) {
	n := r.nodes[r.options.Seed%uint64(len(r.nodes))]
	crowd.Run(ctx, crowd.Target{
		Address: n.jobsAddress, Host: host, Token: apiKey, Get: "/plans/", Post: "/plans/dddddddddddddddd", SlowBodyBytes: 200_000,
		DenseStart: `{"phases":[`, Dense: `{},`, DenseEnd: `{}]}`, Pause: crowdPause,
	}, len(crowd.Kinds), crowd.Kinds...)
}

// runCaller submits a job, retrying at other instances, and cancels it if cancel is set.
func (r *run) runCaller(ctx context.Context, id string, first, tasks, runTimeMS int, cancel bool) {
	for attempt := range 4 {
		if r.submit(ctx, id, r.nodes[(first+attempt)%len(r.nodes)], tasks, runTimeMS) {
			break
		}
		time.Sleep(pollInterval)
	}
	if !cancel {
		return
	}
	r.mu.Lock()
	r.jobs[id].cancelSent = true
	if r.options.Violations.DropCancels {
		r.jobs[id].cancelled = time.Now().Add(-startsAfterCancel)
	}
	r.mu.Unlock()
	if r.options.Violations.DropCancels {
		return
	}
	for attempt := range 4 {
		status, _, err := r.call(ctx, r.nodes[(first+attempt)%len(r.nodes)], http.MethodDelete, id, nil)
		if err == nil && (status == http.StatusOK || status == http.StatusGone) {
			r.mu.Lock()
			r.jobs[id].cancelled = time.Now()
			r.mu.Unlock()
			return
		}
	}
}

// submit sends a job once and reports whether this or an earlier attempt was accepted.
func (r *run) submit(ctx context.Context, id string, n *node, tasks, runTimeMS int) bool {
	steps := stepsOf(id, tasks)
	gangs, phases := []string{}, []string{}
	for _, s := range steps {
		gangs, phases = append(gangs, fmt.Sprint(s.gangSize())), append(phases, s.phase(runTimeMS, paddingOf(id)))
	}
	body := fmt.Appendf(nil, `{"spec":"{\"takes_ms\":%d,\"advised\":%t,\"fails\":%d,\"gangs\":[%s]}","phases":[%s]}`,
		runTimeMS+extraRunTime(id), queueOf(id) == advisedQueue, failsOf(id), strings.Join(gangs, ","), strings.Join(phases, ","))
	status, err := http.StatusOK, error(nil)
	if !r.options.Violations.DropJobs || failsOf(id) == 0 {
		status, _, err = r.call(ctx, n, http.MethodPost, id, body)
	}
	if r.options.Violations.DenyAcceptance && id != firstJob && !strings.HasPrefix(id, lastJobs) && err == nil && status == http.StatusOK {
		status = http.StatusServiceUnavailable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		j = &submittedJob{steps: steps}
		r.jobs[id] = j
	}
	switch {
	case err == nil && status == http.StatusOK:
		if !j.accepted {
			j.accepted, j.acceptedAt = true, time.Now()
		}
	case err != nil || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status != http.StatusBadRequest:
		j.unknown = true
	}
	return j.accepted
}

// call makes one call as a caller. It uses keep-alive connections, which stay open until the instance closes them.
func (r *run) call(ctx context.Context, n *node, method, id string, body []byte) (status int, state string, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.address+"/"+queueOf(id)+"/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
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

// eachWorker does something with the proxy of each worker.
func (r *run) eachWorker(do func(*proxy)) {
	for _, p := range r.workerProxies {
		do(p)
	}
}

// stopAll ends all processes and proxies that the run started.
func (r *run) stopAll() {
	for _, n := range r.nodes {
		if n.process != nil { // nil if the run failed before its start
			_ = n.process.Signal(syscall.SIGCONT) // it may be paused; an error means that it has exited
			n.process.Kill()
		}
	}
	for _, p := range r.standIns {
		p.Kill()
	}
	for _, n := range r.nodes {
		n.callerProxy.close()
		n.storeProxy.close()
	}
	r.eachWorker((*proxy).close)
}
