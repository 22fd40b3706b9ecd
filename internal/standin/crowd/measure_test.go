package crowd_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMeasureNodeRequestRate prints the requests per second of a node of an earlier version, whose binary DOGWOODNOTCH_BEFORE names, and of
// this one, in turns in one run.
func TestMeasureNodeRequestRate(t *testing.T) {
	earlier := os.Getenv("DOGWOODNOTCH_BEFORE")
	if os.Getenv("DOGWOODNOTCH_MEASURE") != "1" || earlier == "" {
		t.Skip("set DOGWOODNOTCH_MEASURE=1, and DOGWOODNOTCH_BEFORE to the binary of an earlier version, to measure")
	}
	bin := buildPrograms(t)
	before := t.TempDir()
	data, err := os.ReadFile(earlier)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(before, "dogwoodnotch"), data, 0o700))
	assert.NilError(t, os.Symlink(filepath.Join(bin, "standin"), filepath.Join(before, "standin")))
	const rounds, clients = 7, 16
	daemons := []*daemon{startNode(t, before), startNode(t, bin)}
	rates := make([][]float64, len(daemons))
	for range rounds {
		for i, d := range daemons {
			rates[i] = append(rates[i], d.requestRate(clients, time.Second))
		}
	}
	for i := range rates {
		t.Logf("%.0f", rates[i])
		slices.Sort(rates[i])
	}
	was, is := rates[0][rounds/2], rates[1][rounds/2]
	fmt.Printf("measure name=node_request_rate naive=%.0f ours=%.0f ratio=%.4f unit=requests_per_second seeds=%d\n", was, is, is/was, rounds)
}

// requestRate returns the requests per second of clients that query a queue again and again, each on a connection of its own.
func (d *daemon) requestRate(clients int, length time.Duration) float64 {
	transport := &http.Transport{MaxIdleConnsPerHost: clients}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var sent atomic.Int64
	var all sync.WaitGroup
	deadline := time.Now().Add(length)
	for range clients {
		all.Go(func() {
			for time.Now().Before(deadline) {
				req, err := http.NewRequestWithContext(d.t.Context(), http.MethodGet, "http://"+d.ports[0].target.Address+"/plans/", nil)
				if err != nil {
					d.t.Error(err)
					return
				}
				req.Host = host
				req.Header.Set("Authorization", "Bearer "+nodeToken)
				resp, err := client.Do(req)
				if err != nil {
					d.t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					sent.Add(1)
				}
			}
		})
	}
	all.Wait()
	return float64(sent.Load()) / length.Seconds()
}
