package clientlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// TestMeasureRequestRate prints the requests per second of a server without and with a guard, in turns in one run.
func TestMeasureRequestRate(t *testing.T) {
	if os.Getenv("DOGWOODNOTCH_MEASURE") != "1" {
		t.Skip("set DOGWOODNOTCH_MEASURE=1 to measure")
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "{}")
	})
	start := func(guarded bool) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
		if guarded {
			g := New(Settings{}.Derive(536, 8192), event.Discard(), tally.NoopScope)
			g.Configure(s)
			l = g.Listener(l, "test")
		}
		go s.Serve(l)
		t.Cleanup(func() { s.Close() })
		return "http://" + l.Addr().String()
	}
	const rounds, clients = 7, 16
	plain, guarded := start(false), start(true)
	var rates [2][]float64
	for range rounds {
		for i, address := range []string{plain, guarded} {
			rates[i] = append(rates[i], requestRate(t, address, clients, time.Second))
		}
	}
	for i := range rates {
		slices.Sort(rates[i])
	}
	before, after := rates[0][rounds/2], rates[1][rounds/2]
	fmt.Printf("measure name=client_limits_request_rate naive=%.0f ours=%.0f ratio=%.4f unit=requests_per_second seeds=%d\n", before, after, after/before, rounds)
}

// requestRate returns the requests per second of clients that send one small job after another on a connection of their own.
func requestRate(t *testing.T, address string, clients int, length time.Duration) float64 {
	transport := &http.Transport{MaxIdleConnsPerHost: clients}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var sent atomic.Int64
	var all sync.WaitGroup
	deadline := time.Now().Add(length)
	for range clients {
		all.Go(func() {
			for time.Now().Before(deadline) {
				response, err := client.Post(address, "application/json", strings.NewReader(`{"phases":[{"count":1,"cpu":1000,"mem_mb":1000,"gpu":1}]}`))
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				sent.Add(1)
			}
		})
	}
	all.Wait()
	return float64(sent.Load()) / length.Seconds()
}
