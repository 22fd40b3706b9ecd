package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/logservice"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Timings and load of the measurement. The time windows are multiples of the mean run time of a job.
const (
	measureTimeout        = 3 * time.Minute
	measureSettle         = 8 * time.Second        // from the accepted backlog to the start of the first window
	measureBefore         = 24 * time.Second       // window before the outage
	measureOutage         = 24 * time.Second       // window of the outage; scaled down from an outage of one hour
	measureCatchUp        = 12 * time.Second       // time to write the delayed records after the outage
	measureJobSize        = 4                      // accelerators of each job
	measureBacklog        = 18                     // jobs submitted for each job that a customer's quota allows at a time
	measureConcurrency    = 32                     // concurrent submissions
	measureSubmitInterval = 250 * time.Millisecond // interval between two submissions in the outage
)

// startFleet builds the programs and starts the fleet of an example deployment. The processes end with the test.
func startFleet(t *testing.T, timeout time.Duration) (context.Context, *run) {
	t.Helper()
	binaries := t.TempDir()
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binaries, "../../cmd/dogwoodnotch", "../../cmd/standin").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	r, err := newRun(Options{
		Daemon: filepath.Join(binaries, "dogwoodnotch"), Standin: filepath.Join(binaries, "standin"),
		Text: filepath.Join("..", "..", "examples", "swan-coast", "text.yaml"), Directory: t.TempDir(), Progress: t.Output(),
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(r.stopAll)
	t.Cleanup(cancel)
	r.background = ctx
	assert.NilError(t, r.startAll(ctx))
	return ctx, r
}

// load is a steady load of requests that records when each answer arrived.
type load struct {
	mu      sync.Mutex
	answers []time.Time
	failed  []requestResult
	group   sync.WaitGroup
}

// startLoad sends requests of all kinds until ctx ends.
func startLoad(ctx context.Context, r *run) *load {
	l := &load{}
	client := &requestClient{http: r.client, balancer: r.balancer, keys: map[string][]string{}}
	idempotent, nonIdempotent := r.kinds()
	kinds := append(idempotent, nonIdempotent...)
	for worker := range concurrency {
		l.group.Go(func() {
			for i := worker; ctx.Err() == nil; i += concurrency {
				result := client.send(ctx, fmt.Sprintf("r%06d", i), kinds[i/concurrency%len(kinds)], r.caller(i/concurrency))
				l.record(ctx, result)
				pause(ctx, 100*time.Millisecond)
			}
		})
	}
	return l
}

func (l *load) record(ctx context.Context, result requestResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case result.outcome == structs.OutcomeAnswered && !result.cutShort:
		l.answers = append(l.answers, time.Now())
	case ctx.Err() == nil:
		l.failed = append(l.failed, result)
	}
}

// perSecond returns the mean rate per second of the events at the given times within a window.
func perSecond(times []time.Time, from time.Time, length time.Duration) float64 {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(length)) {
			n++
		}
	}
	return float64(n) / length.Seconds()
}

// submitJob submits one job, retrying until it is accepted or ctx ends.
func submitJob(ctx context.Context, r *run, id string, i int, sender caller) {
	body, _ := json.Marshal(gangRequest{ID: structs.JobID(id), Kind: r.jobKind(measureJobSize),
		DataCentre: r.text.DataCentres[i%len(r.text.DataCentres)].Name, Accelerators: measureJobSize, RunTimeMS: int64(4+i%5) * 1000})
	client := &gangClient{http: r.client, balancer: r.balancer}
	for ctx.Err() == nil {
		status := client.call(ctx, http.MethodPost, "/v1/jobs", body, sender, &gangResult{})
		if status >= 200 && status < 300 {
			return
		}
		pause(ctx, retryInterval)
	}
}

// submitBacklog submits enough jobs for the whole measurement, in proportion to the customers' quotas, and returns their number.
func submitBacklog(ctx context.Context, r *run) int {
	var group sync.WaitGroup
	slots := make(chan struct{}, measureConcurrency)
	total := 0
	for c, customer := range r.text.Customers {
		for i := range customer.Quota.Accelerators / measureJobSize * measureBacklog {
			total++
			slots <- struct{}{}
			group.Go(func() {
				submitJob(ctx, r, fmt.Sprintf("job-%d", i), i, r.caller(c))
				<-slots
			})
		}
	}
	group.Wait()
	return total
}

// jobStarts returns the start time of every attempt of every job.
func jobStarts(ctx context.Context, t *testing.T, r *run) []time.Time {
	var starts []time.Time
	for _, address := range r.fleet.workerAddresses {
		var runs []workerRun
		assert.NilError(t, getJSON(ctx, r.client, "http://"+address+"/report", &runs))
		for _, w := range runs {
			if w.Member == 0 {
				starts = append(starts, w.Started)
			}
		}
	}
	return starts
}

// Guards against a log outage that slows down requests or decisions on accepted jobs, and against a catch-up after it that uses
// more than its share of the log's append rate.
func TestMeasureLogOutage(t *testing.T) {
	if os.Getenv("DOGWOODNOTCH_MEASURE") != "1" {
		t.Skip("set DOGWOODNOTCH_MEASURE=1 to measure")
	}
	ctx, r := startFleet(t, measureTimeout)
	loadContext, stopLoad := context.WithCancel(ctx)
	l := startLoad(loadContext, r)
	submitting := time.Now()
	backlog := submitBacklog(ctx, r)
	t.Logf("%d jobs accepted in %v", backlog, time.Since(submitting))
	pause(ctx, measureSettle)
	before := time.Now()
	pause(ctx, measureBefore)
	assert.NilError(t, r.control(ctx, r.fleet.platformAddress, "/control/log", logservice.Faults{Outage: true}))
	outage := time.Now()
	for i := range int(measureOutage / measureSubmitInterval) { // new jobs, whose records wait for the log
		l.group.Go(func() { submitJob(loadContext, r, fmt.Sprintf("live-%d", i), i, r.caller(i)) })
		pause(ctx, measureSubmitInterval)
	}
	assert.NilError(t, r.control(ctx, r.fleet.platformAddress, "/control/log", logservice.Faults{}))
	pause(ctx, measureCatchUp)
	stopLoad()
	l.group.Wait()
	starts := jobStarts(ctx, t, r)
	var log logservice.Report
	assert.NilError(t, getJSON(ctx, r.client, "http://"+r.fleet.platformAddress+"/report/log", &log))
	logRates(t, "answers", l.answers, before, outage)
	logRates(t, "job starts", starts, before, outage)
	t.Logf("%d requests not answered", len(l.failed))
	goodput := report("log_outage_goodput", perSecond(l.answers, before, measureBefore), perSecond(l.answers, outage, measureOutage), "answers_per_s")
	decisions := report("log_outage_decisions", perSecond(starts, before, measureBefore), perSecond(starts, outage, measureOutage), "job_starts_per_s")
	fmt.Printf("measure name=log_outage_catch_up naive=- ours=%d ratio=- unit=highest_appends_in_a_second seeds=1\n", log.Busiest)
	assert.Check(t, goodput >= 0.99, "goodput in the outage is %.3f of that before", goodput)
	assert.Check(t, decisions >= 0.99, "decisions in the outage are %.3f of those before", decisions)
	assert.Check(t, log.Busiest > 0 && log.Busiest <= 50, "%d appends in one second", log.Busiest)
}

// logRates logs the rates of short windows before and in the outage. They show the noise of the machine and whether the backlog
// was exhausted.
func logRates(t *testing.T, events string, times []time.Time, before, outage time.Time) {
	const window = 6 * time.Second
	var rates [2][]float64
	for at := time.Duration(0); at < measureBefore; at += window {
		rates[0] = append(rates[0], perSecond(times, before.Add(at), window))
	}
	for at := time.Duration(0); at < measureOutage; at += window {
		rates[1] = append(rates[1], perSecond(times, outage.Add(at), window))
	}
	t.Logf("%s a second in windows of %v: before %.4g, in the outage %.4g", events, window, rates[0], rates[1])
}

// report prints one result line, in which naive is the value before the outage and ours the one in it, and returns their ratio.
func report(name string, before, during float64, unit string) float64 {
	fmt.Printf("measure name=%s naive=%.4g ours=%.4g ratio=%.4g unit=%s seeds=1\n", name, before, during, during/before, unit)
	return during / before
}
