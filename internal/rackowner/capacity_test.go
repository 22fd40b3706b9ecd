package rackowner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// tasksPerWorker is the expected load, 140,000 tasks on 38,000 workers, rounded up.
const tasksPerWorker = 4

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// quietSession returns a claimed session with a stand-in worker whose tasks don't change, and a counter of the bytes on
// its connections.
func quietSession(b *testing.B) (*session, *atomic.Int64) {
	fleet := standin.NewFleet(standin.Options{Accelerators: 8}, "w")
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(fleet.Handler())
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	b.Cleanup(server.Close)
	owner := benchOwner()
	address := server.Listener.Addr().String()
	s := newSession(owner, "w", platform.Instance{ID: "w", Rack: "r", Address: address}, func() {})
	s.claimOrRenew(context.Background())
	assert.Assert(b, s.reachable)
	return s, &bytes
}

func benchOwner() *Owner {
	return New(Config{
		View: &view{self: "a", owner: "a", changed: make(chan struct{})}, HTTP: platform.NewHTTPClient(),
		Timing: DefaultTiming(), Log: event.Discard(), Metrics: tally.NoopScope,
	})
}

// BenchmarkRenewQuiet measures one renewal of a session with a worker on which nothing changed: the bytes in both
// directions without TCP and IP headers, and the processor time of rack owner and stand-in worker together.
func BenchmarkRenewQuiet(b *testing.B) {
	s, bytes := quietSession(b)
	bytes.Store(0)
	before := processorTime(b)
	for b.Loop() {
		s.claimOrRenew(context.Background())
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSessionMemory measures the memory that a rack owner needs per worker for the session, its tasks and its
// goroutine, without the connection.
func BenchmarkSessionMemory(b *testing.B) {
	for _, workers := range []int{1000, 4000, 16000, 38000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			var perWorker float64
			for b.Loop() {
				perWorker = sessionMemory(workers) / float64(workers)
			}
			b.ReportMetric(perWorker, "B/worker")
		})
	}
}

// sessionMemory returns the bytes in use by sessions with the given number of workers.
func sessionMemory(workers int) float64 {
	before := memoryInUse()
	owner := benchOwner()
	ctx, cancel := context.WithCancel(context.Background())
	var parked atomic.Int64
	for i := range workers {
		s := newSession(owner, structs.WorkerID(fmt.Sprintf("worker-%05d", i)), platform.Instance{Rack: "r", Address: "127.0.0.1:1"}, cancel)
		s.recordClaim(stateWithTasks(s.id))
		owner.sessions[s.id] = s
		go func() {
			parked.Add(1)
			<-ctx.Done()
			runtime.KeepAlive(s)
			parked.Add(-1)
		}()
	}
	for parked.Load() != int64(workers) {
		runtime.Gosched()
	}
	used := memoryInUse() - before
	runtime.KeepAlive(owner)
	cancel()
	for parked.Load() != 0 {
		runtime.Gosched()
	}
	return used
}

func stateWithTasks(id structs.WorkerID) platform.WorkerState {
	state := platform.WorkerState{Worker: id, Accelerators: 8}
	for n := range tasksPerWorker {
		job := structs.Job{ID: structs.JobID(fmt.Sprintf("%s/%d", id, n)), Customer: "c", Kind: "k", Accelerators: 2}
		task := structs.Task{Job: job, Attempt: 1, Members: 1, Worker: id, Accelerators: []int{2 * n, 2*n + 1}}
		state.Tasks = append(state.Tasks, platform.TaskStatus{Task: task, Phase: platform.TaskRunning, Sequence: uint64(n)})
	}
	return state
}

// memoryInUse returns the bytes used by live heap objects and by stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// BenchmarkConnectionMemory measures the memory of one idle connection to a worker, for both of its ends together.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 1000
	server := httptest.NewServer(http.NotFoundHandler())
	b.Cleanup(server.Close)
	for b.Loop() {
		before := memoryInUse()
		clients := make([]*http.Client, connections)
		for i := range clients {
			clients[i] = platform.NewHTTPClient()
			response, err := clients[i].Get(server.URL)
			assert.NilError(b, err)
			_, _ = io.Copy(io.Discard, response.Body) // the transport keeps a connection only if the body was read
			response.Body.Close()
		}
		b.ReportMetric((memoryInUse()-before)/connections, "B/connection")
		for _, c := range clients {
			c.CloseIdleConnections()
		}
	}
}

// BenchmarkEncodedSizes measures encoded messages: a worker's full state and one changed task in the change feed, and
// the bodies of a hold and of a start command.
func BenchmarkEncodedSizes(b *testing.B) {
	state := stateWithTasks("worker-00001")
	one := state
	one.Tasks = state.Tasks[:1]
	full, err := msgpack.Marshal(Change{Worker: state.Worker, Rack: "rack-0001", Reachable: true, Full: true, State: &state})
	assert.NilError(b, err)
	change, err := msgpack.Marshal(Change{Worker: state.Worker, Rack: "rack-0001", Reachable: true, State: &one})
	assert.NilError(b, err)
	hold, err := json.Marshal(platform.HoldRequest{Task: state.Tasks[0].Task, TTLMS: 5000})
	assert.NilError(b, err)
	start, err := json.Marshal(platform.TaskCommand{Job: state.Tasks[0].Task.Job.ID, Attempt: 1, TaskLeaseMS: 15000})
	assert.NilError(b, err)
	for b.Loop() { // nothing to repeat: the sizes are constant
	}
	b.ReportMetric(float64(len(full)), "full-report-B")
	b.ReportMetric(float64(len(change)), "changed-task-B")
	b.ReportMetric(float64(len(hold)), "hold-body-B")
	b.ReportMetric(float64(len(start)), "start-body-B")
}
