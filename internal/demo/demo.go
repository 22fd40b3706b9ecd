package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/process"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Size of the load and timeouts of the demonstration.
const (
	requests         = 2400   // minimum number of requests; the load continues until all faults are over
	maxRequests      = 40_000 // maximum number of requests, even if faults are still active
	concurrency      = 48     // number of requests in flight
	gangs            = 20
	listRemovalDelay = time.Second      // time after which the instance list drops a killed instance
	startTimeout     = 20 * time.Second // timeout until all entry instances are ready
	publishTimeout   = 10 * time.Second
	callTimeout      = 20 * time.Second
)

// Options are the inputs of a demonstration.
type Options struct {
	Daemon    string    // path of the dogwoodnotch binary
	Standin   string    // path of the standin binary
	Text      string    // path of the specification, the text that operators publish
	Directory string    // directory for settings and logs
	Progress  io.Writer // receives one line for each step
	Faults    []Fault
}

// run is the state of one demonstration.
type run struct {
	options   Options
	text      *spec.Text
	fleet     *fleet
	client    *http.Client
	balancer  *balancer
	processes map[string]*process.Process
	verdict   Verdict

	background context.Context // context that ends with the demonstration
	faultsDone atomic.Bool     // set when all faults are over
}

// Run runs the demonstration. An error means that the run could not be completed; violations that it found are in the verdict.
func Run(ctx context.Context, options Options) (*Verdict, error) {
	r, err := newRun(options)
	if err != nil {
		return nil, err
	}
	defer r.stopAll()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.background = ctx
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	started := time.Now()
	if err := r.load(ctx); err != nil {
		return nil, err
	}
	r.verdict.Duration = time.Since(started)
	return &r.verdict, nil
}

func newRun(options Options) (*run, error) {
	data, err := os.ReadFile(options.Text)
	if err != nil {
		return nil, err
	}
	text, err := spec.Parse(data)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return nil, err
	}
	plan, err := planFleet(options.Directory, options.Daemon, options.Standin, text)
	if err != nil {
		return nil, err
	}
	client := &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: concurrency, IdleConnTimeout: time.Minute},
	}
	return &run{
		options:   options,
		text:      text,
		fleet:     plan,
		client:    client,
		balancer:  &balancer{client: client},
		processes: map[string]*process.Process{},
	}, nil
}

// progressf writes one line of progress.
func (r *run) progressf(format string, args ...any) {
	fmt.Fprintf(r.options.Progress, format+"\n", args...)
}

// startAll starts every process, fills the instance list, publishes the specification and waits until all entry instances are
// ready.
func (r *run) startAll(ctx context.Context) error {
	r.progressf("starting %d stand-ins and %d entry instances, logs in %s", len(r.fleet.standIns), len(r.fleet.entryProcesses), r.options.Directory)
	for _, s := range append(r.fleet.standIns, r.fleet.entryProcesses...) {
		if err := r.startProcess(s); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.fillList(ctx); err != nil {
		return err
	}
	if err := r.publish(ctx); err != nil {
		return err
	}
	for _, e := range r.fleet.entries {
		r.balancer.add(r.background, e)
	}
	if err := r.balancer.waitReady(ctx, r.fleet.entries...); err != nil {
		return fmt.Errorf("an entry instance did not become ready: %w", err)
	}
	r.progressf("all entry instances are ready")
	return nil
}

func (r *run) startProcess(s processSpec) error {
	p, err := process.Start(r.options.Directory, s.name, s.program, s.args...)
	if err != nil {
		return err
	}
	r.processes[s.name] = p
	return nil
}

// fillList puts every instance on the instance list, retrying until the platform's stand-in listens.
func (r *run) fillList(ctx context.Context) error {
	for _, instance := range r.fleet.instances {
		for {
			err := r.fleet.putInstance(ctx, r.client, instance)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return err
			}
			pause(ctx, retryInterval)
		}
	}
	return nil
}

// publish publishes the specification with the publish command of the daemon's binary.
func (r *run) publish(ctx context.Context) error {
	deadline := time.Now().Add(publishTimeout)
	for {
		command := exec.CommandContext(ctx, r.options.Daemon, "publish", r.options.Text,
			"--server=http://"+r.fleet.entries[0].address, "--token="+operatorToken, "--base=0")
		output, err := command.CombinedOutput()
		if err == nil {
			r.progressf("%s", output)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("publish failed: %w: %s", err, output)
		}
		pause(ctx, retryInterval)
	}
}

// load sends requests and gangs while the faults are injected, and then checks the results.
func (r *run) load(ctx context.Context) error {
	var group sync.WaitGroup
	var requestResults []requestResult
	var gangResults []gangResult
	var faultError error
	group.Go(func() { requestResults = r.sendRequests(ctx) })
	group.Go(func() { gangResults = r.runGangs(ctx) })
	group.Go(func() {
		faultError = r.injectFaults(ctx)
		r.faultsDone.Store(true)
	})
	group.Wait()
	if faultError != nil {
		return faultError
	}
	service := servingService(r.text)
	runs, err := r.verdict.minionRuns(ctx, r.client, r.fleet.minionAddresses, service.Minions.Slots, service.Minions.Connections)
	if err != nil {
		return err
	}
	r.verdict.judgeRequests(requestResults, runs)
	if r.hasFault(FaultRolling) {
		r.verdict.judgeAllAnswered(requestResults)
	}
	return r.judgeGangs(ctx, gangResults)
}

// sendRequests sends the load of requests; every third one is not idempotent.
func (r *run) sendRequests(ctx context.Context) []requestResult {
	client := &requestClient{http: r.client, balancer: r.balancer, keys: map[string][]string{}}
	idempotent, nonIdempotent := r.kinds()
	var mu sync.Mutex
	var results []requestResult
	indices := make(chan int)
	var group sync.WaitGroup
	for range concurrency {
		group.Go(func() {
			for i := range indices {
				kind := idempotent[i%len(idempotent)]
				if i%3 == 0 {
					kind = nonIdempotent[i/3%len(nonIdempotent)]
				}
				result := client.send(ctx, fmt.Sprintf("r%05d", i), kind, r.caller(i))
				mu.Lock()
				results = append(results, result)
				mu.Unlock()
				pause(ctx, time.Duration(rand.IntN(200))*time.Millisecond)
			}
		})
	}
	for i := 0; i < requests || (i < maxRequests && !r.faultsDone.Load()); i++ {
		indices <- i
	}
	close(indices)
	group.Wait()
	r.progressf("%d requests done", len(results))
	return results
}

// kinds returns the idempotent and the non-idempotent kinds of request of the service that has minions.
func (r *run) kinds() (idempotent, nonIdempotent []requestKind) {
	service := servingService(r.text)
	for _, k := range service.Kinds {
		kind := requestKind{service: service.Name, name: k.Name, idempotent: k.Idempotent}
		if k.Idempotent {
			idempotent = append(idempotent, kind)
		} else {
			nonIdempotent = append(nonIdempotent, kind)
		}
	}
	return idempotent, nonIdempotent
}

// caller returns one of several callers, with the customers in turn.
func (r *run) caller(i int) caller {
	customer := r.text.Customers[i%len(r.text.Customers)]
	return caller{customer: customer.Name, name: fmt.Sprintf("caller-%d", i%7), token: customerToken(customer.Name)}
}

// runGangs submits 20 gangs, spread over the data centres; every fifth needs 64 accelerators.
func (r *run) runGangs(ctx context.Context) []gangResult {
	client := &gangClient{http: r.client, balancer: r.balancer}
	sizes := []int{64, 16, 8, 32, 24}
	results := make([]gangResult, gangs)
	var group sync.WaitGroup
	for i := range gangs {
		group.Go(func() {
			pause(ctx, time.Duration(i)*r.gangPace())
			results[i] = client.run(ctx, gangRequest{
				ID:           structs.JobID(fmt.Sprintf("gang-%02d", i)),
				Kind:         r.jobKind(sizes[i%len(sizes)]),
				DataCentre:   r.text.DataCentres[i%len(r.text.DataCentres)].Name,
				Accelerators: sizes[i%len(sizes)],
				RunTimeMS:    r.gangRunTime().Milliseconds(),
			}, r.gangCaller(i, sizes[i%len(sizes)]))
		})
	}
	group.Wait()
	r.progressf("%d gangs done", gangs)
	return results
}

// gangCaller returns a caller of a customer whose quota allows a gang of the given size, or any caller if there is none.
func (r *run) gangCaller(i, accelerators int) caller {
	for offset := range r.text.Customers {
		quota := r.text.Customers[(i+offset)%len(r.text.Customers)].Quota.Accelerators
		if quota == 0 || quota >= accelerators {
			return r.caller(i + offset)
		}
	}
	return r.caller(i)
}

// jobKind returns the first kind of job that allows a gang of the given size, or "" if there is none.
func (r *run) jobKind(accelerators int) structs.KindName {
	for _, k := range r.text.JobKinds {
		if k.MaxAccelerators >= accelerators {
			return k.Name
		}
	}
	return ""
}

// judgeGangs collects the runs of all workers and checks the gangs against them.
func (r *run) judgeGangs(ctx context.Context, results []gangResult) error {
	var all []workerRun
	for _, address := range r.fleet.workerAddresses {
		var runs []workerRun
		if err := getJSON(ctx, r.client, "http://"+address+"/report", &runs); err != nil {
			return err
		}
		all = append(all, runs...)
	}
	r.verdict.judgeGangs(results, all)
	if r.hasFault(FaultRolling) {
		r.verdict.judgeTaskEnds(all)
	}
	return nil
}

// stopAll stops every process: the entry instances first, so that they can release their leases at the stand-ins.
func (r *run) stopAll() {
	for _, planned := range [][]processSpec{r.fleet.entryProcesses, r.fleet.standIns} {
		var group sync.WaitGroup
		for _, s := range planned {
			if p := r.processes[s.name]; p != nil {
				group.Go(func() { _ = p.Stop() }) // the exit status no longer matters
			}
		}
		group.Wait()
	}
}
