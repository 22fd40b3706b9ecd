package ledger

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pollLog is a log in virtual time whose reads wait for records.
type pollLog struct {
	mu      sync.Mutex
	latency time.Duration
	silent  bool // whether reads that are sent now stay without an answer; a connection that was closed is replaced
	refuses bool
	records []Record
	changed chan struct{} // closed at the next append
	reads   int
}

func (l *pollLog) Append(_ context.Context, _ string, records []Record, _ AppendOptions) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		r.Offset = int64(len(l.records))
		l.records = append(l.records, r)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return int64(len(l.records)), nil
}

func (l *pollLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (Batch, error) {
	l.mu.Lock()
	l.reads++
	latency, silent, refuses := l.latency, l.silent, l.refuses
	l.silent = false
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return Batch{}, &UnknownError{Cause: ctx.Err()}
	}
	deadline := time.After(wait)
	for {
		l.mu.Lock()
		batch, changed := Batch{Records: l.records[from:], End: int64(len(l.records))}, l.changed
		l.mu.Unlock()
		if refuses {
			return Batch{}, &RefusedError{}
		}
		if len(batch.Records) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-deadline:
			case <-ctx.Done():
			}
		}
		select {
		case <-time.After(latency):
			return batch, nil
		case <-ctx.Done():
			return Batch{}, &UnknownError{Cause: ctx.Err()}
		}
	}
}

func (l *pollLog) Newest(context.Context, string) (Batch, error) { return Batch{}, nil }

func (l *pollLog) set(change func(*pollLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *pollLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// follow runs a reader in virtual time while test acts. view is the freshness of what it has read; oldest returns the largest age that the
// view had since the last call.
func follow(t *testing.T, r *Reader, test func(t *testing.T, log *pollLog, seen chan Record, oldest func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := &pollLog{latency: 5 * time.Millisecond, changed: make(chan struct{})}
		seen := make(chan Record, 1000)
		var view Freshness
		var largest time.Duration
		var mu sync.Mutex
		r.Log, r.Topic, r.Record = log, JobsTopic, func(r Record) { seen <- r }
		r.Failed = func(error) {}
		r.Synced = func(sent time.Time) {
			mu.Lock()
			defer mu.Unlock()
			if age := view.Age(time.Now()); age < time.Hour {
				largest = max(largest, age)
			}
			view.MarkSynced(sent)
		}
		go r.Run(ctx)
		time.Sleep(5 * time.Second)
		test(t, log, seen, func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			age := max(largest, view.Age(time.Now()))
			largest = 0
			return age
		})
		cancel()
		time.Sleep(time.Minute) // lets the goroutines end
	})
}

func jobsReader() *Reader {
	return &Reader{MinInterval: 400 * time.Millisecond, Interval: 1250 * time.Millisecond}
}

// Guards against calls that serve nothing, and against a view that ages beyond the bounds of those who use it: a configuration of 3 s ago
// decides no request, and an instance with a view of the jobs of 1.7 s ago is not ready. The records are those of a quiet day.
func TestFewReadsKeepAViewInItsBounds(t *testing.T) {
	for name, c := range map[string]struct {
		reader  *Reader
		records time.Duration // time between records, 0 for none
		latency time.Duration
		reads   int // most reads in a minute
		age     time.Duration
	}{
		"configuration":                {&Reader{}, 0, 5 * time.Millisecond, 51, 2500 * time.Millisecond},
		"configuration, slow log":      {&Reader{}, 0, 700 * time.Millisecond, 60, 2700 * time.Millisecond},
		"configuration, nearly silent": {&Reader{}, 0, 860 * time.Millisecond, 90, 3000 * time.Millisecond},
		"jobs":                         {jobsReader(), 0, 5 * time.Millisecond, 50, 1300 * time.Millisecond},
		"jobs of a quiet day":          {jobsReader(), 33 * time.Millisecond, 5 * time.Millisecond, 50, 1300 * time.Millisecond},
		"jobs, slow log":               {jobsReader(), 33 * time.Millisecond, 500 * time.Millisecond, 67, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			follow(t, c.reader, func(t *testing.T, log *pollLog, seen chan Record, oldest func() time.Duration) {
				log.set(func(l *pollLog) { l.latency = c.latency })
				time.Sleep(10 * time.Second)
				oldest()
				before := log.count()
				for end := time.Now().Add(time.Minute); time.Now().Before(end); {
					if c.records == 0 {
						time.Sleep(time.Second)
						continue
					}
					time.Sleep(c.records)
					_, _ = log.Append(t.Context(), JobsTopic, []Record{{Key: "a"}}, AppendOptions{})
					for len(seen) > 0 {
						<-seen
					}
				}
				reads, age := log.count()-before, oldest()
				t.Logf("%d reads in a minute, view at most %v old", reads, age)
				assert.Assert(t, reads <= c.reads, "%d reads", reads)
				assert.Assert(t, age <= c.age, "view of %v ago", age)
			})
		})
	}
}

// Guards against a connection that has gone silent for good and is noticed later than with long polls of 600 ms (1,500 ms and a pause of
// 150 ms), so that a configuration comes into force too late, or so that the view ages beyond 3 s.
func TestSilentConnectionIsNoticedSoon(t *testing.T) {
	for name, r := range map[string]*Reader{"configuration": {}, "jobs": jobsReader(), "workers": {MinInterval: 150 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			for step := range 30 {
				fresh := &Reader{MinInterval: r.MinInterval, Interval: r.Interval}
				follow(t, fresh, func(t *testing.T, log *pollLog, seen chan Record, oldest func() time.Duration) {
					time.Sleep(time.Duration(step) * 50 * time.Millisecond)
					oldest()
					reads := log.count()
					log.set(func(l *pollLog) { l.silent = true })
					for log.count() == reads {
						time.Sleep(time.Millisecond)
					}
					_, _ = log.Append(t.Context(), JobsTopic, []Record{{Key: "a"}}, AppendOptions{})
					start := time.Now()
					<-seen
					assert.Assert(t, time.Since(start) <= 1660*time.Millisecond, "read after %v", time.Since(start))
					if name != "workers" { // nothing is decided by the age of this view
						assert.Assert(t, oldest() <= 2900*time.Millisecond)
					}
				})
			}
		})
	}
}

// Guards against a query that is answered from a view that was read before the query, and against one that waits without a bound.
func TestRefreshReadsAtOnce(t *testing.T) {
	for step := range 60 {
		r := jobsReader()
		follow(t, r, func(t *testing.T, log *pollLog, seen chan Record, _ func() time.Duration) {
			time.Sleep(time.Duration(step) * 25 * time.Millisecond)
			_, _ = log.Append(t.Context(), JobsTopic, []Record{{Key: "a"}}, AppendOptions{})
			ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
			defer cancel()
			r.Refresh(ctx)
			assert.NilError(t, ctx.Err())
			assert.Equal(t, len(seen), 1)
		})
	}
}

// Guards against a short read in progress that counts as if it held what was appended after the log had answered it.
func TestRefreshDuringAShortReadReadsAgain(t *testing.T) {
	r := jobsReader()
	follow(t, r, func(t *testing.T, log *pollLog, seen chan Record, _ func() time.Duration) {
		log.set(func(l *pollLog) { l.latency = 20 * time.Millisecond })
		for reads := log.count(); log.count() == reads; {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Millisecond) // the log has found no record by now
		_, _ = log.Append(t.Context(), JobsTopic, []Record{{Key: "a"}}, AppendOptions{})
		ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
		defer cancel()
		r.Refresh(ctx)
		assert.Equal(t, len(seen), 1)
	})
}

// Guards against more calls than with long polls of 600 ms to a log that refuses all of them, and against a reader that stays away long
// after the log answers again.
func TestOutageBringsFewReadsAndEndsSoon(t *testing.T) {
	for name, c := range map[string]struct {
		reader *Reader
		reads  int
		resume time.Duration
	}{
		"configuration": {&Reader{}, 400, 160 * time.Millisecond},
		"jobs":          {jobsReader(), 110, 560 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			follow(t, c.reader, func(t *testing.T, log *pollLog, _ chan Record, oldest func() time.Duration) {
				log.set(func(l *pollLog) { l.refuses = true })
				before := log.count()
				time.Sleep(time.Minute)
				assert.Assert(t, log.count()-before <= c.reads, "%d reads", log.count()-before)
				log.set(func(l *pollLog) { l.refuses = false })
				time.Sleep(c.resume)
				oldest()
				assert.Assert(t, oldest() <= c.resume, "the view was not read again")
			})
		})
	}
}
