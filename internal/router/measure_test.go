package router_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/router"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

var seeds = []uint64{1, 2, 3, 4, 5}

func requireMeasuring(t *testing.T) {
	if os.Getenv("DOGWOODNOTCH_MEASURE") != "1" {
		t.Skip("set DOGWOODNOTCH_MEASURE=1 to measure")
	}
}

func report(name string, naive, ours float64, unit string, seeds int) {
	fmt.Printf("measure name=%s naive=%.4f ours=%.4f ratio=%.4f unit=%s seeds=%d\n", name, naive, ours, ours/naive, unit, seeds)
}

// compareFlood compares the other kinds with and without a flood of one kind. It returns the lowest share of its success
// rate that a kind keeps and the highest ratio of its 99th percentile latency. The other kinds are offered 0.9 of their
// guaranteed goodput.
func compareFlood(run func(seed uint64, streams []stream) []streamResult, flood int) (kept, slower float64) {
	kept = 1
	for _, seed := range seeds {
		var baseline []stream
		for k, kind := range simKinds {
			baseline = append(baseline, stream{kind: k, customer: "a", caller: "calm", load: 0.9 * kind.Share})
		}
		withFlood := append(slices.Clone(baseline), stream{kind: flood, customer: "a", caller: "flood", load: 10})
		without, with := run(seed, baseline), run(seed, withFlood)
		for k := range simKinds {
			if k == flood {
				continue
			}
			kept = min(kept, with[k].success()/without[k].success())
			slower = max(slower, p99(with[k].latencies).Seconds()/p99(without[k].latencies).Seconds())
		}
	}
	return kept, slower
}

func simulateFIFO(seed uint64, streams []stream) []streamResult {
	return simulate(newFIFO, streams, seed)
}
func simulateFair(seed uint64, streams []stream) []streamResult {
	return simulate(newFair, streams, seed)
}

func measureFlood(t *testing.T, name string, kind int) {
	naiveKept, naiveSlower := compareFlood(simulateFIFO, kind)
	kept, slower := compareFlood(simulateFair, kind)
	report(name, naiveKept, kept, "goodput_kept", len(seeds))
	report(name+"_p99", naiveSlower, slower, "times_without_flood", len(seeds))
	assert.Check(t, kept >= 0.99 && slower <= 1.2)
}

// TestMeasureFlood prints the goodput that the other kinds keep while one kind is offered at 10 times the capacity.
func TestMeasureFlood(t *testing.T) {
	requireMeasuring(t)
	measureFlood(t, "flood_low", 2)
	measureFlood(t, "flood_high", 0)
}

// compareLargeCaller simulates 40 small callers of two customers, who together need less than either customer's share, and
// one caller with 100 times the load of a small one. It returns the lowest success rate and the highest 99th percentile
// latency of a small caller, relative to the same caller running alone.
func compareLargeCaller(run func(seed uint64, streams []stream) []streamResult) (success, slower float64) {
	success = 1
	for _, seed := range seeds {
		var streams []stream
		for i := range 40 {
			streams = append(streams, stream{kind: 1, customer: []structs.Customer{"a", "b"}[i%2], caller: structs.Caller(fmt.Sprint(i)), load: 0.01})
		}
		with := run(seed, append(slices.Clone(streams), stream{kind: 1, customer: "a", caller: "large", load: 1}))
		for i, s := range streams {
			alone := run(seed, []stream{s})[0]
			success = min(success, with[i].success()/alone.success())
			slower = max(slower, p99(with[i].latencies).Seconds()/p99(alone.latencies).Seconds())
		}
	}
	return success, slower
}

// fairness returns the lowest weighted Jain's index over customers, and over the callers of one customer, when every
// caller offers more than its share and one offers 100 times as much as the others.
func fairness(run func(seed uint64, streams []stream) []streamResult) (customers, callers float64) {
	customers, callers = 1, 1
	for _, seed := range seeds {
		var streams []stream
		for customer := range simWeights {
			for i := range 5 {
				streams = append(streams, stream{kind: 1, customer: customer, caller: structs.Caller(fmt.Sprint(i)), load: 0.2})
			}
		}
		slices.SortFunc(streams, func(a, b stream) int { return int(a.customer[0]) - int(b.customer[0]) })
		streams[0].load = 20
		results := run(seed, streams)
		var perCustomer []float64
		for c := range 3 {
			var perCaller []float64
			total := 0.0
			for i := range 5 {
				work := results[5*c+i].work.Seconds()
				perCaller = append(perCaller, work)
				total += work
			}
			callers = min(callers, jainIndex(perCaller))
			perCustomer = append(perCustomer, total/simWeights[streams[5*c].customer])
		}
		customers = min(customers, jainIndex(perCustomer))
	}
	return customers, callers
}

// TestMeasureSmallCallers prints the success rate and latency that small callers keep beside a large one.
func TestMeasureSmallCallers(t *testing.T) {
	requireMeasuring(t)
	naiveSuccess, naiveSlower := compareLargeCaller(simulateFIFO)
	success, slower := compareLargeCaller(simulateFair)
	report("small_callers", naiveSuccess, success, "success_kept", len(seeds))
	report("small_callers_p99", naiveSlower, slower, "times_alone", len(seeds))
	naiveCustomers, naiveCallers := fairness(simulateFIFO)
	customers, callers := fairness(simulateFair)
	report("small_callers_jain_customers", naiveCustomers, customers, "index", len(seeds))
	report("small_callers_jain_callers", naiveCallers, callers, "index", len(seeds))
	assert.Check(t, success >= 0.99 && slower <= 1.2 && customers >= 0.98 && callers >= 0.98)
}

// usefulShare returns the share of the slots' time that was spent on requests answered in time, when the total load is the
// given multiple of the capacity. Each kind has 20 callers; the shares of the kinds add up to 0.9.
func usefulShare(run func(seed uint64, streams []stream) []streamResult, load float64, seed uint64) float64 {
	var streams []stream
	for k, kind := range simKinds {
		for i := range 20 {
			streams = append(streams, stream{kind: k, customer: []structs.Customer{"a", "b", "c"}[i%3], caller: structs.Caller(fmt.Sprint(i)), load: load * kind.Share / 0.9 / 20})
		}
	}
	total := time.Duration(0)
	for _, c := range run(seed, streams) {
		total += c.work
	}
	return total.Seconds() / (simSlots * (simTime - simWarmUp).Seconds())
}

// TestMeasureOverload prints the goodput at 10 times the capacity as a share of the peak goodput.
func TestMeasureOverload(t *testing.T) {
	requireMeasuring(t)
	kept := func(run func(seed uint64, streams []stream) []streamResult) float64 {
		worst := 1.0
		for _, seed := range seeds {
			peak := 0.0
			for _, load := range []float64{0.7, 0.8, 0.9, 1, 1.1, 1.2, 1.5} {
				peak = max(peak, usefulShare(run, load, seed))
			}
			worst = min(worst, usefulShare(run, 10, seed)/peak)
		}
		return worst
	}
	ours := kept(simulateFair)
	report("overload_goodput", kept(simulateFIFO), ours, "part_of_peak", len(seeds))
	assert.Check(t, ours >= 0.95)
}

// serveRouters serves each router over HTTP. It returns the URL of one kind of request at each, and a function that sends
// a request to a URL and returns its latency.
func serveRouters(t *testing.T, text *spec.Text, routers ...*router.Router) (urls []string, call func(url string) time.Duration) {
	const token = "t"
	digest := sha256.Sum256([]byte(token))
	text.Customers[0].TokenSHA256 = []string{hex.EncodeToString(digest[:])}
	for _, routes := range routers {
		handlers := mux.NewRouter()
		(&api.Requests{Auth: &api.Authenticator{Text: func() *spec.Text { return text }}, Router: routes}).Register(handlers)
		server := httptest.NewServer(handlers)
		t.Cleanup(server.Close)
		urls = append(urls, server.URL+"/v1/services/raft-booking/requests/quote")
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(client.CloseIdleConnections)
	return urls, func(url string) time.Duration {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte("two adults and a lantern")))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+token)
		began := time.Now()
		response, err := client.Do(request)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		return time.Since(began)
	}
}

// TestMeasureForward prints the latency of a request that the receiving instance runs at its own minion and of one that it
// forwards to a peer over TLS because its own slots are taken. Both go over loopback and are measured alternately.
func TestMeasureForward(t *testing.T) {
	requireMeasuring(t)
	own, full, text, served := router.MeasuredPeers(t)
	urls, call := serveRouters(t, text, own, full)
	const calls, warmUp = 5000, 100
	var here, forwarded []time.Duration
	for range calls + warmUp {
		here = append(here, call(urls[0]))
		forwarded = append(forwarded, call(urls[1]))
	}
	here, forwarded = here[warmUp:], forwarded[warmUp:]
	slices.Sort(here)
	slices.Sort(forwarded)
	for _, at := range []struct {
		name string
		rank int
	}{{"forward_overhead", calls / 2}, {"forward_overhead_p99", calls * 99 / 100}} {
		report(at.name, here[at.rank].Seconds()*1000, forwarded[at.rank].Seconds()*1000, "ms", 1)
	}
	fmt.Printf("forward_overhead added=%.4f ms at the median\n", (forwarded[calls/2]-here[calls/2]).Seconds()*1000)
	atOwn, atFull := served()
	assert.Equal(t, atOwn, 2*(calls+warmUp))
	assert.Equal(t, atFull, 0)
}

// TestMeasureOverhead prints the latency of a direct call to a minion and of the same call through an entry instance, both
// over loopback and measured alternately. It also prints the requests per second of processor time of the whole process:
// callers, entry instance and minions together.
func TestMeasureOverhead(t *testing.T) {
	requireMeasuring(t)
	routes, text, minions := router.MeasuredEntry(t)
	direct := minions[0].Address
	server, call := serveRouters(t, text, routes)
	through := server[0]
	var directly, routed []time.Duration
	for range 5000 {
		directly = append(directly, call("http://"+direct+"/run"))
		routed = append(routed, call(through))
	}
	slices.Sort(directly)
	slices.Sort(routed)
	naive, ours := directly[len(directly)/2], routed[len(routed)/2]
	report("request_overhead", naive.Seconds()*1000, ours.Seconds()*1000, "ms_median", 1)
	fmt.Printf("request_overhead added=%.4f ms at the median\n", (ours-naive).Seconds()*1000)
	assert.Check(t, ours-naive < 300*time.Microsecond)
	rate := func(url string) float64 {
		var done atomic.Int64
		var group sync.WaitGroup
		until, used := time.Now().Add(2*time.Second), processorTime()
		for range 8 {
			group.Go(func() {
				for time.Now().Before(until) {
					call(url)
					done.Add(1)
				}
			})
		}
		group.Wait()
		return float64(done.Load()) / (processorTime() - used).Seconds()
	}
	report("request_rate", rate("http://"+direct+"/run"), rate(through), "requests_per_second_per_core", 1)
	for _, m := range minions {
		counted := m.Report()
		fmt.Printf("minion highest_slots=%d highest_connections=%d refused_full=%d\n", counted.HighestSlots, counted.HighestConnections, counted.RefusedFull)
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
