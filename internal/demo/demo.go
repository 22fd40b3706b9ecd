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

// Load of the demonstration.
const (
	requests       = 2400 // at least; the load goes on until the faults are over
	maxRequests    = 40_000
	concurrency    = 48
	gangs          = 20
	listLag        = time.Second // time until the platform notices a killed instance
	startTimeout   = 20 * time.Second
	publishTimeout = 10 * time.Second
	callTimeout    = 20 * time.Second
)

// Options are the inputs of a demonstration.
type Options struct {
	Daemon    string    // path of the dogwoodnotch binary
	Standin   string    // path of the standin binary
	Text      string    // path of the specification
	Directory string    // for settings and logs; kept when the demonstration fails
	Progress  io.Writer // one line for each step
	Faults    []Fault
}

// run is a demonstration under way.
type run struct {
	options   Options
	text      *spec.Text
	fleet     *fleet
	client    *http.Client
	balancer  *balancer
	processes map[string]*process.Process
	verdict   Verdict

	background context.Context // ends with the demonstration
	faultsDone atomic.Bool
}

// Run runs the demonstration. The error says why it could not be run; what it found is in the verdict.
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

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.options.Progress, format+"\n", args...)
}

// startAll starts every process, fills the instance list, publishes the specification and waits until all are ready.
func (r *run) startAll(ctx context.Context) error {
	r.say("starting %d stand-ins and %d entry instances, logs in %s", len(r.fleet.hosts), len(r.fleet.entryHosts), r.options.Directory)
	for _, h := range append(r.fleet.hosts, r.fleet.entryHosts...) {
		if err := r.startHost(h); err != nil {
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
		return fmt.Errorf("not every entry instance became ready: %w", err)
	}
	r.say("all entry instances are ready")
	return nil
}

func (r *run) startHost(h host) error {
	p, err := process.Start(r.options.Directory, h.name, h.program, h.args...)
	if err != nil {
		return err
	}
	r.processes[h.name] = p
	return nil
}

// fillList puts every instance on the list, repeating until the platform's process listens.
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
			pause(ctx, repeatPause)
		}
	}
	return nil
}

// publish publishes the specification with the operator's command.
func (r *run) publish(ctx context.Context) error {
	deadline := time.Now().Add(publishTimeout)
	for {
		command := exec.CommandContext(ctx, r.options.Daemon, "publish", r.options.Text,
			"--server=http://"+r.fleet.entries[0].address, "--token="+operatorToken, "--base=0")
		output, err := command.CombinedOutput()
		if err == nil {
			r.say("%s", output)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("publish failed: %w: %s", err, output)
		}
		pause(ctx, repeatPause)
	}
}

// load sends requests and gangs, kills one entry instance and drains another in the middle, and judges the results.
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
	if r.has(FaultRolling) {
		r.verdict.judgeAnswered(requestResults)
	}
	return r.judgeGangs(ctx, gangResults)
}

func (r *run) sendRequests(ctx context.Context) []requestResult {
	client := &requestClient{http: r.client, balancer: r.balancer, keys: map[string][]string{}}
	plain, keyed := r.kinds()
	var mu sync.Mutex
	var results []requestResult
	indices := make(chan int)
	var group sync.WaitGroup
	for range concurrency {
		group.Go(func() {
			for i := range indices {
				kind := plain[i%len(plain)]
				if i%3 == 0 {
					kind = keyed[i/3%len(keyed)]
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
	r.say("%d requests done", len(results))
	return results
}

// kinds returns the idempotent and the non-idempotent kinds of the serving service.
func (r *run) kinds() (plain, keyed []kindOfRequest) {
	service := servingService(r.text)
	for _, k := range service.Kinds {
		kind := kindOfRequest{service: service.Name, name: k.Name, idempotent: k.Idempotent}
		if k.Idempotent {
			plain = append(plain, kind)
		} else {
			keyed = append(keyed, kind)
		}
	}
	return plain, keyed
}

func (r *run) caller(i int) caller {
	customer := r.text.Customers[i%len(r.text.Customers)]
	return caller{customer: customer.Name, name: fmt.Sprintf("caller-%d", i%7), token: customerToken(customer.Name)}
}

// runGangs submits 20 gangs, every fifth of 64 accelerators, spread over the data centres.
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
	r.say("%d gangs done", gangs)
	return results
}

// gangCaller returns a caller of a customer whose quota allows a gang of the given size.
func (r *run) gangCaller(i, accelerators int) caller {
	for offset := range r.text.Customers {
		quota := r.text.Customers[(i+offset)%len(r.text.Customers)].Quota.Accelerators
		if quota == 0 || quota >= accelerators {
			return r.caller(i + offset)
		}
	}
	return r.caller(i)
}

// jobKind returns the first kind of job that allows a gang of the given size.
func (r *run) jobKind(accelerators int) structs.KindName {
	for _, k := range r.text.JobKinds {
		if k.MaxAccelerators >= accelerators {
			return k.Name
		}
	}
	return ""
}

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
	if r.has(FaultRolling) {
		r.verdict.judgeUntouched(all)
	}
	return nil
}

// stopAll ends every process: the entry instances first, so that they can give back what they own.
func (r *run) stopAll() {
	for _, hosts := range [][]host{r.fleet.entryHosts, r.fleet.hosts} {
		var group sync.WaitGroup
		for _, h := range hosts {
			if p := r.processes[h.name]; p != nil {
				group.Go(func() { _ = p.Stop() }) // how it ends no longer matters
			}
		}
		group.Wait()
	}
}
