package crowd_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/process"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/crowd"
)

// The crowd and the bounds. They were fixed before the daemons had limits for such clients.
const (
	memoryMB       = 144                    // machine.memory_mb of the node, the smallest of the customers' instances; bound of its resident memory
	serveMemoryMB  = 256                    // bound of the resident memory of the daemon with rack owners, whose settings do not state its memory
	maxDescriptors = 512                    // descriptors that a process may open
	descriptors    = 384                    // bound of the open ones: a quarter remains for the store, workers and peers
	heavyClients   = 120                    // clients that send much
	lightClients   = 600                    // clients that hold connections
	crowdTime      = 800 * time.Millisecond // for which a crowd acts on each port
	mixedTime      = 2 * time.Second        // the same for a crowd of all kinds
	sampleInterval = 10 * time.Millisecond
	startTimeout   = 30 * time.Second // until a process answers an ordinary request, also on a busy machine
)

const (
	host       = "jobs.example"
	nodeToken  = "club-key"
	serveToken = "harbour-clubs-demo-token"
	operator   = "operator-demo-token"
)

// light are the kinds that hold connections and send little.
var light = map[crowd.Kind]bool{crowd.SlowHeader: true, crowd.Unread: true, crowd.Silent: true, crowd.Occasional: true}

// daemon is a process under test.
type daemon struct {
	t        *testing.T
	process  *process.Process
	dir      string
	memoryMB int
	ports    []port
	ordinary func() (status int, err error) // sends one ordinary request
}

// port is one of a daemon's ports with what the crowd addresses there.
type port struct {
	name   string
	target crowd.Target
}

// Guards against clients that keep to no limits and end a node, take more than its machine's memory, or take the descriptors that it needs
// for the store and the workers.
func TestNodeOutlivesClientsWithoutLimits(t *testing.T) {
	bin := buildPrograms(t)
	playAll(t, func(t *testing.T) *daemon { return startNode(t, bin) })
}

// Guards against the same in the daemon with rack owners.
func TestServeOutlivesClientsWithoutLimits(t *testing.T) {
	bin := buildPrograms(t)
	playAll(t, func(t *testing.T) *daemon { return startServe(t, bin) })
}

// Guards against limits that ordinary clients reach: a head and a body of the sizes that the operator grants are served in full.
func TestNodeServesOrdinaryRequestsInFull(t *testing.T) {
	d := startNode(t, buildPrograms(t))
	address := d.ports[0].target.Address
	job := `{"phases":[{"count":1,"cpu":1,"mem_mb":1}]}`
	post := fmt.Sprintf("POST /plans/00000000000000aa HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 262144\r\nA: ", host, nodeToken)
	post += strings.Repeat("x", 16_384-len(post)-4) + "\r\n\r\n" + job + strings.Repeat(" ", 262_144-len(job))
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	for range 3 {
		_, err = io.WriteString(conn, post)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}

// playAll plays each kind of client, and all kinds at once, against a process of its own, on one port after the other.
func playAll(t *testing.T, start func(*testing.T) *daemon) {
	for _, kind := range crowd.Kinds {
		t.Run(strings.ReplaceAll(string(kind), " ", "_"), func(t *testing.T) {
			d := start(t)
			clients := heavyClients
			if light[kind] {
				clients = lightClients
			}
			for _, p := range d.ports {
				d.play(p, crowdTime, clients, kind)
			}
		})
	}
	t.Run("all_at_once", func(t *testing.T) {
		d := start(t)
		for _, p := range d.ports {
			d.play(p, mixedTime, lightClients, crowd.Kinds...)
		}
	})
}

// play plays a crowd on a port and checks the process meanwhile and afterwards.
func (d *daemon) play(p port, length time.Duration, clients int, kinds ...crowd.Kind) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		crowd.Run(ctx, p.target, clients, kinds...)
	}()
	peakKB, peakDescriptors := 0, 0
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(sampleInterval):
		}
		kb, open := d.sample()
		peakKB, peakDescriptors = max(peakKB, kb), max(peakDescriptors, open)
	}
	d.t.Logf("%s port, %d clients: at most %d MiB of %d, %d descriptors of %d", p.name, clients, peakKB>>10, d.memoryMB, peakDescriptors, descriptors)
	select {
	case <-d.process.Done():
		d.t.Fatalf("the process has ended; its log ends with: %s", d.logEnd())
	default:
	}
	assert.Check(d.t, peakKB>>10 < d.memoryMB, "%s port: resident memory reached %d MiB", p.name, peakKB>>10)
	assert.Check(d.t, peakDescriptors < descriptors, "%s port: %d descriptors were open", p.name, peakDescriptors)
	d.awaitOrdinary()
}

// sample returns the process's resident memory and its number of open descriptors, 0 if it has ended.
func (d *daemon) sample() (residentKB, open int) {
	proc := filepath.Join("/proc", strconv.Itoa(d.process.Pid()))
	status, err := os.ReadFile(filepath.Join(proc, "status"))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			residentKB, _ = strconv.Atoi(fields[1])
		}
	}
	files, _ := os.ReadDir(filepath.Join(proc, "fd"))
	return residentKB, len(files)
}

// awaitOrdinary waits until an ordinary request is answered.
func (d *daemon) awaitOrdinary() {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		select {
		case <-d.process.Done():
			return poll.Error(fmt.Errorf("the process has ended; its log ends with: %s", d.logEnd()))
		default:
		}
		status, err := d.ordinary()
		if err != nil || status != http.StatusOK {
			return poll.Continue("status %d, %v", status, err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(50*time.Millisecond))
}

func (d *daemon) logEnd() string {
	data, _ := os.ReadFile(filepath.Join(d.dir, "daemon.log"))
	return string(data[max(0, len(data)-2000):])
}

// launch starts a daemon that may open maxDescriptors descriptors.
func (d *daemon) launch(program string, args ...string) {
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, maxDescriptors)
	p, err := process.Start(d.dir, "daemon", "/bin/sh", append([]string{"-c", script, program}, args...)...)
	assert.NilError(d.t, err)
	d.t.Cleanup(p.Kill)
	d.process = p
}

func (d *daemon) launchStandin(program string, args ...string) {
	p, err := process.Start(d.dir, "standin", program, args...)
	assert.NilError(d.t, err)
	d.t.Cleanup(p.Kill)
}

func buildPrograms(t *testing.T) string {
	bin := t.TempDir()
	for _, program := range []string{"dogwoodnotch", "standin"} {
		output, err := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(bin, program), "../../../cmd/"+program).CombinedOutput()
		assert.NilError(t, err, "%s", output)
	}
	return bin
}

// nodeConfig holds the operator's limits in full.
const nodeConfig = `{"version":1,"routes":[{"name":"plans","host":"jobs.example","path_prefix":"/plans/","timeout_ms":3000,"target_latency_ms":1000,
"priority":1,"service":"render","max_attempts":3,"stretch":3.0}],"services":[{"name":"render"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"club","api_keys":["club-key"],"guaranteed":{"gpu":4}}]}`

// startNode starts a node with a store and returns it once it answers.
func startNode(t *testing.T, bin string) *daemon {
	d := &daemon{t: t, dir: t.TempDir(), memoryMB: memoryMB}
	a, err := process.FreeAddresses(4)
	assert.NilError(t, err)
	d.launchStandin(filepath.Join(bin, "standin"), "store", "--listen", a[0])
	await(t, http.MethodPost, "http://"+a[0]+"/control/records?topic=keyed.op&key=config", "", nodeConfig)
	settings := filepath.Join(d.dir, "settings.yaml")
	text := fmt.Sprintf("instance: e0\ndata_centre: z1\nlisten: {jobs: %q, readiness: %q, control: %q}\nstore: %q\n"+
		"machine: {processor_share: 0.5, memory_mb: %d}\nbounds: {lease_ms: 4000, keep_status_s: 300}\n", a[1], a[2], a[3], a[0], memoryMB)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	d.launch(filepath.Join(bin, "dogwoodnotch"), "node", "--settings", settings)
	d.ordinary = func() (int, error) { return call(http.MethodGet, "http://"+a[1]+"/plans/", nodeToken, "") }
	jobs := crowd.Target{
		Host: host, Token: nodeToken, Get: "/plans/", Post: "/plans/0123456789abcdef", SlowBodyBytes: 262_144,
		DenseStart: `{"phases":[`, Dense: `{},`, DenseEnd: `{}]}`,
	}
	for i, p := range []port{{"callers'", jobs}, {"readiness", jobs}, {"control", jobs}} {
		p.target.Address = a[1+i]
		p.target.Get = []string{"/plans/", "/v1/readiness", "/metrics"}[i]
		d.ports = append(d.ports, p)
	}
	d.awaitOrdinary()
	return d
}

// startServe starts a daemon with rack owners, its log and its list of instances, and returns it once it answers.
func startServe(t *testing.T, bin string) *daemon {
	d := &daemon{t: t, dir: t.TempDir(), memoryMB: serveMemoryMB}
	a, err := process.FreeAddresses(3)
	assert.NilError(t, err)
	d.launchStandin(filepath.Join(bin, "standin"), "platform", "--listen="+a[0])
	instance, err := json.Marshal(map[string]string{
		"id": "fremantle-1", "role": "entry", "data_centre": "fremantle", "address": a[1], "peer_address": a[2], "state": "live",
	})
	assert.NilError(t, err)
	await(t, http.MethodPut, "http://"+a[0]+"/instances/fremantle-1", "", string(instance))
	example, err := os.ReadFile("../../../examples/swan-coast/settings.yaml")
	assert.NilError(t, err)
	text := strings.NewReplacer("127.0.0.1:7100", a[1], "127.0.0.1:7200", a[2], "127.0.0.1:7000", a[0]).Replace(string(example))
	settings := filepath.Join(d.dir, "settings.yaml")
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	program := filepath.Join(bin, "dogwoodnotch")
	d.launch(program, "serve", "--settings="+settings)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		output, err := exec.CommandContext(t.Context(), program, "publish", "../../../examples/swan-coast/text.yaml",
			"--server=http://"+a[1], "--token="+operator, "--base=0").CombinedOutput()
		if err != nil {
			return poll.Continue("%s", output)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(50*time.Millisecond))
	const service = "raft-booking"
	d.ordinary = func() (int, error) {
		return call(http.MethodPost, "http://"+a[1]+"/v1/keys?service="+service, serveToken, "")
	}
	for _, p := range []port{
		{"jobs and control", crowd.Target{Get: "/metrics", Post: "/v1/jobs", SlowBodyBytes: 65_536, DenseStart: `{"id":[`, Dense: `{},`, DenseEnd: `{}]}`}},
		{"requests", crowd.Target{Get: "/healthz/ready", Post: "/v1/services/" + service + "/requests/book", SlowBodyBytes: 8 << 20, DenseStart: "", Dense: "x"}},
	} {
		p.target.Address, p.target.Host, p.target.Token = a[1], host, serveToken
		d.ports = append(d.ports, p)
	}
	d.awaitOrdinary()
	return d
}

// await repeats a call until it succeeds.
func await(t *testing.T, method, url, token, body string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := call(method, url, token, body)
		if err != nil || status >= http.StatusBadRequest {
			return poll.Continue("status %d, %v", status, err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(20*time.Millisecond))
}

// call sends one request on a connection of its own.
func call(method, url, token, body string) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Close = true
	if token == nodeToken {
		req.Host = host
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
