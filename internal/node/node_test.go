package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/process"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/taskworker"
)

// deployment runs entry instances against stand-ins of the platform, in one process.
type deployment struct {
	t              *testing.T
	bounds         Bounds
	store          *store.Store
	fleet          *taskworker.Fleet
	instances      []*instance
	workersAddress string
}

type instance struct {
	jobsAddress, readinessAddress, controlAddress string

	stop  context.CancelFunc
	ended chan struct{}
	log   *lockedBuffer
}

// lockedBuffer collects log lines of several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const testConfig = `{"version":%d,"routes":[{"name":"plans","host":"jobs.example","path_prefix":"/plans/","timeout_ms":3000,
"target_latency_ms":1000,"priority":1,"service":"render","max_attempts":3,"stretch":3.0}],
"services":[{"name":"render"}],"limits":{"max_body_bytes":65536},"tenants":[{"name":"club","api_keys":["%s"],"guaranteed":{"gpu":4}}]}`

func deploy(t *testing.T, instances int, workers ...string) *deployment {
	return deployBehind(t, func(s http.Handler) http.Handler { return s }, instances, workers...)
}

// deployBehind deploys instances that reach the store through a handler.
func deployBehind(t *testing.T, front func(http.Handler) http.Handler, instances int, workers ...string) *deployment {
	return deployBounded(t, Bounds{LeaseMS: 3000, KeepStatusS: 60}, front, instances, workers...)
}

// deployBounded deploys instances with the given bounds that reach the store through a handler.
func deployBounded(t *testing.T, bounds Bounds, front func(http.Handler) http.Handler, instances int, workers ...string) *deployment {
	d := &deployment{t: t, bounds: bounds, store: store.New(), fleet: taskworker.New(workers...)}
	d.fleet.MaxLease = time.Duration(bounds.LeaseMS) * time.Millisecond
	storeServer := httptest.NewServer(front(d.store))
	workersServer := httptest.NewServer(d.fleet)
	t.Cleanup(storeServer.Close)
	t.Cleanup(workersServer.Close)
	d.workersAddress = workersServer.Listener.Addr().String()
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, 1, "secret"))
	for _, id := range workers {
		d.putWorker(id, "ready")
	}
	for i := range instances {
		d.instances = append(d.instances, d.start(i, storeServer.Listener.Addr().String()))
	}
	t.Cleanup(func() { // runs before the other cleanups, so that all instances shut down at the same time
		for _, n := range d.instances {
			n.stop()
		}
	})
	for _, n := range d.instances {
		d.awaitReady(n)
	}
	return d
}

// putWorker writes a worker's entry into the platform's list of workers. Its data centre is z2 if its ID begins with that, otherwise z1.
func (d *deployment) putWorker(id, state string) {
	dataCentre := "z1"
	if strings.HasPrefix(id, "z2") {
		dataCentre = "z2"
	}
	d.store.Put("keyed.servers", id, fmt.Appendf(nil, `{"service":"render","address":%q,"zone":%q,"state":%q,"slots":8,
"capacity":{"cpu":64000,"mem_mb":262144,"gpu":8},"labels":["a","r1-1"],"remaining_ms":500,"sequence":1}`, d.workersAddress, dataCentre, state))
}

// freeAddress returns an address to listen on. Its port is below those that the system gives to other sockets, which deployments of
// other tests open at any time.
func freeAddress(t *testing.T) string {
	addresses, err := process.FreeAddresses(1)
	assert.NilError(t, err)
	return addresses[0]
}

func (d *deployment) start(i int, storeAddress string) *instance {
	s := &Settings{
		Instance: fmt.Sprintf("entry-%d", i), DataCentre: "z1", Store: storeAddress,
		Listen: Listen{Jobs: freeAddress(d.t), Readiness: freeAddress(d.t), Control: freeAddress(d.t)},
		Bounds: d.bounds,
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &instance{jobsAddress: s.Listen.Jobs, readinessAddress: s.Listen.Readiness, controlAddress: s.Listen.Control, stop: cancel, ended: make(chan struct{}), log: &lockedBuffer{}}
	node := New(s, n.log)
	go func() {
		defer close(n.ended)
		if err := node.Run(ctx); err != nil {
			d.t.Errorf("instance %d: %v", i, err)
		}
	}()
	d.t.Cleanup(func() {
		cancel()
		<-n.ended
	})
	return n
}

func (d *deployment) call(n *instance, method, path, body string) (status int, answer map[string]any) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.jobsAddress+path, bytes.NewBufferString(body))
	assert.NilError(d.t, err)
	req.Host = "jobs.example"
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(d.t, err)
	if len(data) > 0 {
		_ = json.Unmarshal(data, &answer) // refusals carry text
	}
	return resp.StatusCode, answer
}

func (d *deployment) awaitReady(n *instance) {
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + n.readinessAddress + "/v1/readiness")
		if err != nil {
			return poll.Continue("%v", err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (d *deployment) awaitState(n *instance, id, want string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		status, answer := d.call(n, http.MethodGet, "/plans/"+id, "")
		if status == http.StatusOK && answer["state"] == want {
			return poll.Success()
		}
		return poll.Continue("status %d, %v", status, answer)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func jobBody(tasks, takesMS int) string {
	return fmt.Sprintf(`{"spec":"{\"takes_ms\":%d}","phases":[{"count":%d,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":%d}]}`, takesMS, tasks, takesMS)
}

// submit submits a job, repeatedly until it is accepted.
func (d *deployment) submit(n *instance, id, body string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if status, _ := d.call(n, http.MethodPost, "/plans/"+id, body); status != http.StatusOK {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(100*time.Millisecond))
}

// Guards against a job that is accepted but not run, that instances report differently, or that runs twice because it was
// submitted twice.
func TestJobRunsOnceAndEveryInstanceReportsItsState(t *testing.T) {
	d := deploy(t, 2, "w1", "w2")
	d.submit(d.instances[0], jobID(1), jobBody(12, 50))
	d.submit(d.instances[1], jobID(1), jobBody(12, 50))
	for _, n := range d.instances {
		d.awaitState(n, jobID(1), "completed")
	}
	report := d.fleet.Report()
	assert.Equal(t, report.Done, 12)
	assert.Equal(t, report.Doubled, 0)
	status, answer := d.call(d.instances[1], http.MethodGet, "/plans/", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, answer["pending"], 0.0)
}

// Guards against a scheduler that stands still for good, though it keeps its role, because the connection over which it loads the runs of
// earlier terms has gone silent.
func TestTakeoverOverASilentConnectionIsRepeated(t *testing.T) {
	var silenced atomic.Bool
	d := deployBehind(t, func(s http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/log-newest" && r.URL.Query().Get("topic") == ledger.RunsTopic && !silenced.Swap(true) {
				<-r.Context().Done()
				return
			}
			s.ServeHTTP(w, r)
		})
	}, 1, "w1")
	d.submit(d.instances[0], jobID(1), jobBody(1, 50))
	d.awaitState(d.instances[0], jobID(1), "completed")
	assert.Assert(t, silenced.Load())
}

// Guards against tasks that are lost, run twice or stopped because the scheduler changes.
func TestRunningTasksSurviveAChangeOfTheScheduler(t *testing.T) {
	d := deploy(t, 3, "w1", "w2")
	d.submit(d.instances[0], jobID(1), jobBody(8, 3000))
	d.awaitState(d.instances[0], jobID(1), "running")
	for _, n := range d.instances[:2] { // the third one remains, whichever of them held the term
		n.stop()
	}
	d.awaitState(d.instances[2], jobID(1), "completed")
	report := d.fleet.Report()
	assert.Equal(t, report.Started, 8, "a task was started again")
	assert.Equal(t, report.Doubled+report.Lapsed, 0)
}

// Guards against a job that is refused but runs nevertheless, and against running tasks that end because of a store outage.
func TestStoreOutageRefusesNewJobsAndKeepsRunningOnes(t *testing.T) {
	d := deploy(t, 2, "w1")
	d.submit(d.instances[0], jobID(1), jobBody(4, 5000))
	d.awaitState(d.instances[0], jobID(1), "running")
	d.store.SetFaults(store.Faults{Outage: true})
	status, _ := d.call(d.instances[0], http.MethodPost, "/plans/"+jobID(2), jobBody(1, 10))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	time.Sleep(4 * time.Second) // longer than a lease
	d.store.SetFaults(store.Faults{})
	d.awaitState(d.instances[1], jobID(1), "completed")
	status, _ = d.call(d.instances[1], http.MethodGet, "/plans/"+jobID(2), "")
	assert.Equal(t, status, http.StatusGone, "a refused job exists")
	report := d.fleet.Report()
	assert.Equal(t, report.Started, 4)
	assert.Equal(t, report.Lapsed, 0)
}

// Guards against jobs that are lost or run twice when the store writes records but its answers are lost.
func TestLostStoreAnswersNeitherLoseNorDoubleJobs(t *testing.T) {
	d := deploy(t, 2, "w1", "w2")
	d.store.SetFaults(store.Faults{LoseAnswers: 0.3})
	for i := range 10 {
		d.submit(d.instances[i%2], jobID(i), jobBody(3, 20))
	}
	d.store.SetFaults(store.Faults{})
	for i := range 10 {
		d.awaitState(d.instances[0], jobID(i), "completed")
	}
	report := d.fleet.Report()
	assert.Equal(t, report.Done, 30)
	assert.Equal(t, report.Doubled, 0)
}

// Guards against tasks that run twice at the same time because an unreachable worker still runs them.
func TestTasksOfACutOffWorkerRestartOnlyAfterTheirLease(t *testing.T) {
	d := deploy(t, 1, "w1", "w2")
	d.submit(d.instances[0], jobID(1), jobBody(16, 2000))
	d.awaitState(d.instances[0], jobID(1), "running")
	d.fleet.Freeze("w1", true)
	d.awaitState(d.instances[0], jobID(1), "completed")
	assert.Equal(t, d.fleet.Report().Doubled, 0)
}

// Guards against tasks that run twice at the same time because workers restarted and were cut off before they were heard: orders that were meant
// for their earlier processes gave the new ones longer leases than the scheduler reckoned with.
func TestTasksOnRestartedWorkersThatAreCutOffRunOnce(t *testing.T) {
	restarting, others := []string{"w1", "w2", "w3", "w4"}, []string{"w5", "w6", "w7", "w8"}
	d := deploy(t, 1, append(restarting, others...)...)
	for _, id := range others {
		d.putWorker(id, "draining")
	}
	time.Sleep(time.Second)
	for _, id := range restarting {
		d.fleet.LosePower(id, 900*time.Millisecond)
	}
	d.submit(d.instances[0], jobID(1), jobBody(32, 60_000))
	time.Sleep(time.Second)
	for _, id := range restarting {
		d.fleet.Freeze(id, true)
	}
	before := d.fleet.Report().Started
	for _, id := range others {
		d.putWorker(id, "ready")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if again := d.fleet.Report().Started - before; again < 32 {
			return poll.Continue("%d tasks started elsewhere", again)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	report := d.fleet.Report()
	assert.Equal(t, report.Doubled, 0, "%d starts before the cut, %v", before, report.Violations)
}

// Guards against an older configuration that replaces a newer one, and against keys that are accepted after their removal.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	d := deploy(t, 1, "w1")
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, 7, "other"))
	revoked := func(poll.LogT) poll.Result {
		if status, _ := d.call(d.instances[0], http.MethodGet, "/plans/", ""); status != http.StatusUnauthorized {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}
	poll.WaitOn(t, revoked, poll.WithTimeout(2*time.Second), poll.WithDelay(10*time.Millisecond))
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, 5, "secret"))
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, revoked(nil) == poll.Success())
}

// Guards against entries of other writers that stop the scheduler or are used as workers.
func TestUnreadableEntriesAreIgnored(t *testing.T) {
	d := deploy(t, 1, "w1")
	for id, entry := range map[string]string{"x1": "not json", "x2": `{"service":7}`, "x3": `{"service":"render","address":"127.0.0.1:1","state":"asleep"}`, "x4": `[]`} {
		d.store.Put("keyed.servers", id, []byte(entry))
	}
	d.store.Put("keyed.op", "config", []byte("{"))
	d.store.Put("keyed.jobs", "jzz", []byte("\xff\xff"))
	d.submit(d.instances[0], jobID(1), jobBody(4, 20))
	d.awaitState(d.instances[0], jobID(1), "completed")
}

// Guards against jobs that are lost because the store drops history between two reads.
func TestDroppedHistoryIsReloaded(t *testing.T) {
	d := deploy(t, 2, "w1")
	for i := range 5 {
		d.submit(d.instances[0], jobID(i), jobBody(2, 20))
		d.store.Trim("keyed.jobs")
		d.store.Trim("keyed.runs")
		d.store.Trim("keyed.servers")
	}
	for i := range 5 {
		d.awaitState(d.instances[1], jobID(i), "completed")
	}
	assert.Equal(t, d.fleet.Report().Doubled, 0)
}

// Guards against a cancelled job whose tasks continue to run.
func TestCancelledJobStops(t *testing.T) {
	d := deploy(t, 2, "w1")
	d.submit(d.instances[0], jobID(1), jobBody(4, 60_000))
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the job is running as soon as one task is
		if got := d.fleet.Report().Started; got != 4 {
			return poll.Continue("%d of 4 tasks have started", got)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
	d.awaitState(d.instances[0], jobID(1), "running")
	status, _ := d.call(d.instances[1], http.MethodDelete, "/plans/"+jobID(1), "")
	assert.Equal(t, status, http.StatusOK)
	d.awaitState(d.instances[0], jobID(1), "cancelled")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := d.fleet.Report().Acknowledged; got != 4 {
			return poll.Continue("%d of 4 ended runs are acknowledged", got)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
}
