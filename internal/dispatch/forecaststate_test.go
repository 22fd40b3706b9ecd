package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/forecast"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// teach lets the model learn that every third of some workers is slow.
func teach(m *forecast.Model, workers int) {
	now := time.UnixMilli(1_700_000_000_000)
	w := forecast.Work{Customer: "club", Queue: "plans", Width: 3, Estimate: 2 * time.Second}
	for i := range 12 * workers {
		now = now.Add(time.Second)
		var runs []forecast.Run
		for k := range 3 {
			id := (i + k) % workers
			ran := time.Second + time.Duration(i%7)*10*time.Millisecond
			if id%3 == 0 {
				ran *= 2
			}
			runs = append(runs, forecast.Run{Worker: fmt.Sprint("w", id), Ran: ran, At: now})
		}
		m.ObserveStep(w, runs)
	}
}

// completeOne runs a task to its end on a worker and makes the records durable.
func (h *harness) completeOne(w *worker, n int) {
	h.t.Helper()
	j := singleStepJob(n, stepOf(1))
	h.submit(j)
	h.pass()
	h.awaitRunning(w, 1)
	h.report(w, HeartbeatReport{Ended: []EndReport{{w.lastHandledEnd + 1, taskName(j, 0), 1, EndDone, ""}}})
	h.runs.flush()
	h.jobs.flush()
}

func (h *harness) eventsOf(number int) int {
	count := 0
	records, _ := h.scheduler.config.Events.Since(0)
	for _, r := range records {
		if r.Number == number {
			count++
		}
	}
	return count
}

// Guards against a takeover after which the scheduler has forgotten the workers' speeds.
func TestTakeoverKeepsTheForecast(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	teach(h.scheduler.forecast, 300)
	assert.Assert(t, h.scheduler.forecast.Uneven())
	h.completeOne(h.addWorker("w1", "r1", 8), 1)
	before := h.scheduler.forecast

	next := h.nextTerm()
	assert.Assert(t, next.scheduler.forecast.Uneven())
	for _, id := range []string{"w0", "w1", "w299"} {
		was, is := before.Slowdown(id).Factor, next.scheduler.forecast.Slowdown(id).Factor
		assert.Assert(t, is > 0.9*was && is < 1.1*was, "%s: %.2f, before %.2f", id, is, was)
	}
	assert.Equal(t, next.eventsOf(eventForecastRestored.Number), 1)
	assert.Equal(t, next.eventsOf(eventBadRecord.Number), 0)
}

// Guards against an unreadable forecast that costs more than precision: units that are not restored, or an error at each takeover.
func TestUnreadableForecastIsIgnoredAndReplaced(t *testing.T) {
	for _, value := range [][]byte{{}, {0xc1}, []byte("no summary"), make([]byte, 300<<10)} {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 8)
		h.submit(singleStepJob(1, stepOf(1)))
		h.pass()
		h.awaitRunning(w, 1)
		h.runs.durable[forecastKey] = value
		next := h.nextTerm()
		assert.Equal(t, len(next.scheduler.workers["w1"].members), 1)
		assert.Equal(t, next.eventsOf(eventForecastUnreadable.Number), min(len(value), 1))
		assert.Equal(t, next.eventsOf(eventBadRecord.Number), 0)

		teach(next.scheduler.forecast, 30)
		next.completeOne(next.addWorker("w2", "r1", 8), 2)
		assert.NilError(t, forecast.New().Restore(next.runs.durable[forecastKey]))
	}
}

// Guards against a forecast that is written too often, without a change, or larger than the log takes, and against runs that are not recorded
// because the forecast beside them is refused.
func TestForecastIsWrittenRarelyAndWithinTheLimit(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	s, now := h.scheduler, time.Now()
	put := func(now time.Time) int {
		s.mu.Lock()
		s.putWithForecast(ledger.Record{Key: "unit", Value: []byte("v")}, now)
		s.mu.Unlock()
		h.runs.flush()
		size := len(h.runs.durable[forecastKey])
		delete(h.runs.durable, forecastKey)
		assert.Equal(t, string(h.runs.durable["unit"]), "v")
		delete(h.runs.durable, "unit")
		return size
	}
	assert.Equal(t, put(now), 0, "nothing is learned yet")
	teach(s.forecast, 900)
	size := put(now)
	assert.Assert(t, size > 6000 && size+len(forecastKey) <= unstatedRecordBytes-forecastRecordSlack, "%d", size)
	s.forecast.Forget("w1")
	assert.Equal(t, put(now.Add(4900*time.Millisecond)), 0, "too soon")
	assert.Assert(t, put(now.Add(5*time.Second)) > 0)
	assert.Equal(t, put(now.Add(20*time.Second)), 0, "no change")
	for i, limit := range []int{1 << 20, 1000, 100, 10} {
		s.config.Bounds.RecordBytes = limit
		s.forecast.Forget("w1")
		size := put(now.Add(time.Duration(30+10*i) * time.Second))
		assert.Assert(t, size == 0 || size+len(forecastKey) <= min(limit, maxForecastBytes), "%d of %d", size, limit)
	}
	s.config.Bounds.RecordBytes = 1 << 20
	s.forecastRecord.refusals = 1 // as after the log has called the record invalid
	s.forecast.Forget("w1")
	assert.Assert(t, put(now.Add(time.Hour)) <= maxForecastBytes/2)
}

// fencingLog is a log that refuses the records of a producer's older epochs.
type fencingLog struct {
	ledger.Log
	mu     sync.Mutex
	epoch  int64
	newest map[string][]byte
}

func (l *fencingLog) Append(_ context.Context, _ string, records []ledger.Record, o ledger.AppendOptions) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Epoch < l.epoch {
		return 0, &ledger.FencedError{}
	}
	l.epoch = o.Epoch
	for _, r := range records {
		l.newest[r.Key] = r.Value
	}
	return 0, nil
}

// Guards against a scheduler of an older term that overwrites what its successor has learned.
func TestOlderTermDoesNotOverwriteTheForecast(t *testing.T) {
	log := &fencingLog{newest: map[string][]byte{}}
	term := func(number int64, workers int) (*harness, chan error) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := ledger.NewWriter(log, ledger.RunsTopic, "scheduler", number, true)
		ended := make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { ended <- w.Run(ctx) }()
		h.scheduler.config.Runs = w
		teach(h.scheduler.forecast, workers)
		return h, ended
	}
	put := func(h *harness) {
		h.scheduler.mu.Lock()
		defer h.scheduler.mu.Unlock()
		h.scheduler.putWithForecast(ledger.Record{Key: "unit", Value: []byte("v")}, time.Now())
	}
	older, ended := term(1, 30)
	newer, _ := term(2, 60)
	put(newer)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		log.mu.Lock()
		defer log.mu.Unlock()
		if log.newest[forecastKey] == nil {
			return poll.Continue("the forecast is not written")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	want := log.newest[forecastKey]
	put(older)
	assert.Assert(t, ledger.IsFenced(<-ended))
	assert.DeepEqual(t, log.newest[forecastKey], want)
}
