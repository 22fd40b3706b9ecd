package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
)

// Fixed values of the deployment.
const (
	serviceName  = "kitdesk"
	zoneName     = "howrah"
	hostName     = "jobs.example"
	clientKey    = "client-key"
	recordBytes  = 262144 // platform.record_bytes of the settings
	maxBodyBytes = 262144 // limits.max_body_bytes of the configuration
	finishTime   = 14 * time.Second
	cancelTime   = 3 * time.Second
	gapTime      = 3 * time.Second // nothing of a job may be missing for longer, once finishTime is over
)

// instance is one process of the program.
type instance struct {
	name, jobs, readiness, control string
	link                           *proxy // its link to the store
	process                        *exec.Cmd
}

// world is a deployment with its stand-ins.
type world struct {
	rec       *record
	daemon    string
	directory string
	store     *store.Store
	storeAt   string
	fleet     *fleet
	instances []*instance
	client    *http.Client

	mu        sync.Mutex
	nextJob   int
	failShare int // one in so many tasks fails by its own fault; 0 for none
	accepted  map[string]bool
	refused   int // appends that the store refused because of their size
	queues    []map[string]any
}

func newWorld(daemon string, rec *record) (*world, error) {
	directory, err := os.MkdirTemp("", "harness-2-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, daemon: daemon, directory: directory, store: store.New(), accepted: map[string]bool{}, client: &http.Client{Timeout: 5 * time.Second}}
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a stand-in without a context of its own
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(w.serveStore), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }() // ends with this process
	w.fleet = newFleet(rec, func(id string, entry []byte) { w.store.Put(wire["workers_topic"], id, entry) })
	return w, nil
}

// serveStore is the store with the limit on the size of a record, which the project's stand-in lacks.
func (w *world) serveStore(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire["append_call"] {
		w.store.ServeHTTP(out, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for rest := body; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > recordBytes {
			w.mu.Lock()
			w.refused++
			first := w.refused == 1
			w.mu.Unlock()
			if first {
				w.rec.note("the store refuses a record of %d bytes, 413 (later ones are counted)", n)
			}
			out.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		rest = rest[min(4+n, len(rest)):]
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	w.store.ServeHTTP(out, r)
}

// queue adds a queue to the configuration.
func (w *world) queue(name string, priority int, stretch float64) {
	w.queues = append(w.queues, map[string]any{
		"name": "r-" + name, "host": hostName, wire["prefix"]: "/" + name + "/", "route_type": "unsafe", "timeout_ms": 3000, wire["target_latency"]: 1000,
		"priority": priority, "service": serviceName, "max_attempts": 4, "stretch": stretch, "skip_auth": false,
	})
}

// configure writes the configuration.
func (w *world) configure() {
	data, _ := json.Marshal(map[string]any{ // cannot fail: all values have a JSON form
		"version": 7, "routes": w.queues,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", wire["rejects"]: false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "kaje80", wire["keys"]: []string{clientKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	})
	w.store.Put(wire["operator_topic"], "config", data)
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at once
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// launch starts the instances with the command of the deploy file and waits until all are ready.
func (w *world) launch(count int) error {
	w.configure()
	for i := range count {
		n := &instance{name: "front-howrah-" + strconv.Itoa(i+1)}
		var err error
		if n.link, err = newProxy(w.storeAt); err != nil {
			return err
		}
		for _, address := range []*string{&n.jobs, &n.readiness, &n.control} {
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		settings := fmt.Sprintf("instance: %q\ndata_centre: %q\nlisten:\n  jobs: %q\n  readiness: %q\n  control: %q\nstore: %q\nadvisor: \"\"\nmachine:\n  processor_share: 0.4\n  memory_mb: 284\nbounds:\n  lease_ms: 10000\n  stop_ms: 400\n  keep_status_s: 120\n",
			n.name, zoneName, n.jobs, n.readiness, n.control, n.link.address())
		path := filepath.Join(w.directory, n.name+".yaml")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(w.directory, n.name+".log"))
		if err != nil {
			return err
		}
		n.process = exec.Command(w.daemon, "node", "--settings", path) //nolint:noctx // ended by close
		n.process.Stdout, n.process.Stderr = log, log
		n.process.Env = append(os.Environ(), "DOGWOODNOTCH_BOOT="+path)
		n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := n.process.Start(); err != nil {
			return err
		}
		w.instances = append(w.instances, n)
	}
	for _, n := range w.instances {
		ready := waitFor(15*time.Second, func() bool {
			status, _ := w.call(http.MethodGet, "http://"+n.readiness+wire["readiness_call"], nil)
			return status == http.StatusOK
		})
		if !ready {
			return fmt.Errorf("%w: %s is not ready", errCannotRun, n.name)
		}
	}
	w.rec.note("%d instances are ready", count)
	return nil
}

// close ends the processes and removes their files.
func (w *world) close() {
	for _, n := range w.instances {
		_ = n.process.Process.Kill() // it may have ended already
		_ = n.process.Wait()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(w.directory, keep)
		return
	}
	_ = os.RemoveAll(w.directory)
}

// call makes one call and returns the status, 0 without an answer.
func (w *world) call(method, url string, body []byte) (status int, answer string) {
	return w.callWithin(5*time.Second, method, url, body)
}

func (w *world) callWithin(limit time.Duration, method, url string, body []byte) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Bearer "+clientKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire["deadline_header"], "3000")
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// phase is a step of a job as clients send it.
type phase struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu,omitempty"`
	MemMB      int64  `json:"mem_mb,omitempty"`
	GPU        int64  `json:"gpu,omitempty"`
	EstimateMS int64  `json:"estimate_ms,omitempty"`
	After      []int  `json:"after,omitempty"`
	Gang       bool   `json:"gang,omitempty"`
	Requires   string `json:"requires,omitempty"`
	Affinity   string `json:"affinity,omitempty"`
}

// newJob returns an id and the body of a job whose tasks take as long as their estimates.
func (w *world) newJob(phases ...phase) (id string, body []byte) {
	w.mu.Lock()
	w.nextJob++
	id = fmt.Sprintf("%016x", 0xab0000000000+w.nextJob)
	w.mu.Unlock()
	specs := make([]taskSpec, len(phases))
	for i, p := range phases {
		specs[i] = taskSpec{TakesMS: p.EstimateMS, FailShare: w.failShare, Label: p.Requires, Needs: resources{p.CPU, p.MemMB, p.GPU}}
		if p.Gang {
			specs[i].Gang = p.Count
		}
	}
	spec, _ := json.Marshal(specs)                                                 // cannot fail: all values have a JSON form
	body, _ = json.Marshal(map[string]any{"spec": string(spec), "phases": phases}) // as above
	return id, body
}

// post hands a job in at one instance.
func (w *world) post(n *instance, queue, id string, body []byte) int {
	status, _ := w.call(http.MethodPost, "http://"+n.jobs+"/"+queue+"/"+id, body)
	w.rec.note("POST /%s/%s at %s -> %d", queue, id, n.name, status)
	if status == http.StatusOK {
		w.mu.Lock()
		w.accepted[id] = true
		w.mu.Unlock()
	}
	return status
}

// submit hands a job in, at one instance after the other, until it is accepted.
func (w *world) submit(queue, id string, body []byte) error {
	for attempt := range 10 {
		if w.post(w.instances[attempt%len(w.instances)], queue, id, body) == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: job %s is not accepted", errCannotRun, id)
}

// state asks an instance for the state of a job.
func (w *world) state(n *instance, queue, id string) string {
	status, answer := w.call(http.MethodGet, "http://"+n.jobs+"/"+queue+"/"+id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return strconv.Itoa(status)
	}
	return body.State
}

// awaitState waits until a job has a state.
func (w *world) awaitState(limit time.Duration, queue, id, state string) bool {
	return waitFor(limit, func() bool { return w.state(w.instances[0], queue, id) == state })
}

// warmUp runs one small job, so that the scheduler, the minions and the connections are in use.
func (w *world) warmUp(queue string, p phase) error {
	id, body := w.newJob(p)
	if err := w.submit(queue, id, body); err != nil {
		return err
	}
	if !w.awaitState(20*time.Second, queue, id, "completed") {
		return fmt.Errorf("%w: the first job is not completed", errCannotRun)
	}
	return nil
}

// longestGap watches jobs for a time and returns for each the longest time for which nothing of it ran while less than half of the
// cores and of the accelerators of the service were in use. Jobs that are no longer queued or running have no gap.
func (w *world) longestGap(watch time.Duration, queue string, ids []string) map[string]time.Duration {
	longest, since, over := map[string]time.Duration{}, map[string]time.Time{}, map[string]bool{}
	var checked time.Time
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		if now.Sub(checked) > time.Second {
			checked = now
			for _, id := range ids {
				s := w.state(w.instances[0], queue, id)
				over[id] = s != "queued" && s != "running"
			}
		}
		busy := w.fleet.halfInUse()
		for _, id := range ids {
			if over[id] || w.fleet.runsOf(id) > 0 || busy {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = now
			}
			longest[id] = max(longest[id], now.Sub(since[id]))
		}
	}
	return longest
}
