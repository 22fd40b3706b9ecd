package idempotency

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
)

// The stand-in of the platform delays a request and its reply by 1 ms each. Its log accepts 400 appends a second.
const (
	oneWay           = time.Millisecond
	appendsPerSecond = 400
)

// startStandIn starts an HTTP server with the append call of the log and a POST /v1/keys that issues keys of k.
func startStandIn(tb testing.TB, k *Keys) string {
	var offset atomic.Uint64
	appends := rate.NewLimiter(appendsPerSecond, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * oneWay)
		if appends.Wait(r.Context()) == nil {
			assert.Check(tb, json.NewEncoder(w).Encode(platform.AppendResponse{Offset: offset.Add(1)}))
		}
	})
	mux.HandleFunc("POST /v1/keys", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * oneWay)
		count, _ := strconv.Atoi(r.URL.Query().Get("count"))
		keys, _, err := k.Issue(customer, service, count)
		assert.Check(tb, err)
		assert.Check(tb, json.NewEncoder(w).Encode(keys))
	})
	server := httptest.NewServer(mux)
	tb.Cleanup(server.Close)
	return server.URL
}

// BenchmarkAtMostOnce compares two ways to run a request at most once: a key from a batch of 256, and a claim per request
// that is appended to the log. It excludes the run itself and, for claims, the read that shows which claim was first.
func BenchmarkAtMostOnce(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("keys/callers=%d", callers), func(b *testing.B) {
			k := newKeys(b, func(c *Config) { c.MaxUsed = 1 << 30 })
			base := startStandIn(b, k)
			client := platform.NewHTTPClient()
			b.Cleanup(client.CloseIdleConnections)
			measure(b, callers, func() func() {
				var batch []string
				return func() {
					if len(batch) == 0 {
						response, err := client.Post(fmt.Sprintf("%s/v1/keys?count=%d", base, MaxBatch), "", nil)
						assert.NilError(b, err)
						assert.NilError(b, json.NewDecoder(response.Body).Decode(&batch))
						response.Body.Close()
					}
					d, err := k.Begin(batch[0], customer, service)
					assert.NilError(b, err)
					d.Run.Answered(nil)
					batch = batch[1:]
				}
			})
		})
		b.Run(fmt.Sprintf("claims/callers=%d", callers), func(b *testing.B) {
			client := platform.NewHTTPClient()
			b.Cleanup(client.CloseIdleConnections)
			log := platform.NewLog(client, startStandIn(b, nil))
			claim := make([]byte, 100)
			measure(b, callers, func() func() {
				return func() {
					_, err := log.Append(b.Context(), "claims", claim)
					assert.Check(b, err)
				}
			})
		})
	}
}

// measure runs b.N requests from concurrent callers and reports the throughput and the latency distribution.
func measure(b *testing.B, callers int, newCaller func() func()) {
	latency := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var started atomic.Int64
	var group sync.WaitGroup
	begin := time.Now()
	for range callers {
		request := newCaller()
		group.Go(func() {
			for started.Add(1) <= int64(b.N) {
				at := time.Now()
				request()
				mu.Lock()
				_ = latency.RecordValue(int64(time.Since(at)))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/time.Since(begin).Seconds(), "requests/s")
	b.ReportMetric(latency.Mean()/1000, "mean-µs")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-µs")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-µs")
}

// BenchmarkIssue measures issuing a batch of keys.
func BenchmarkIssue(b *testing.B) {
	k := newKeys(b, nil)
	b.ReportAllocs()
	for b.Loop() {
		_, _, err := k.Issue(customer, service, MaxBatch)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/MaxBatch, "ns/key")
	b.ReportMetric(float64(len(issue(b, k))), "key-bytes")
}

// BenchmarkBegin measures Begin for a first request and its repeat.
func BenchmarkBegin(b *testing.B) {
	k := newKeys(b, func(c *Config) { c.MaxUsed = 1 << 30 })
	var keys []string
	for b.Loop() {
		if len(keys) == 0 {
			keys, _, _ = k.Issue(customer, service, MaxBatch)
		}
		begin(b, k, keys[0]).Run.Answered(&Response{Status: 200})
		begin(b, k, keys[0])
		keys = keys[1:]
	}
}

// BenchmarkUsedKey reports the memory that the record of a used key takes until it expires.
func BenchmarkUsedKey(b *testing.B) {
	const keys = 200_000
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	for b.Loop() {
		k := newKeys(b, nil)
		before := heap()
		for serial := range uint64(keys) {
			run := k.startRun(k.own, &Ticket{Serial: serial, Expires: time.Now().Add(defaultLifetime)})
			run.Unknown()
		}
		b.ReportMetric((heap()-before)/keys, "bytes/key")
		runtime.KeepAlive(k)
	}
}
