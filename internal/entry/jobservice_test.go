package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// laggingLog is a log in memory. An answer to a read shows the records of the time when the read was sent, and arrives late.
type laggingLog struct {
	mu      sync.Mutex
	records []ledger.Record
	lag     time.Duration
}

func (l *laggingLog) Append(_ context.Context, _ string, records []ledger.Record, _ ledger.AppendOptions) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if len(r.Key)+len(r.Value) >= 256<<10 {
			return 0, &ledger.UnknownError{Cause: errors.New("status 413")}
		}
	}
	for _, r := range records {
		r.Offset = int64(len(l.records))
		l.records = append(l.records, r)
	}
	return int64(len(l.records)), nil
}

func (l *laggingLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (ledger.Batch, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		l.mu.Lock()
		batch, lag := ledger.Batch{Records: append([]ledger.Record(nil), l.records[from:]...), End: int64(len(l.records))}, l.lag
		l.mu.Unlock()
		if len(batch.Records) == 0 && time.Now().Before(deadline) && lag == 0 {
			continue // a long poll
		}
		select {
		case <-ctx.Done():
			return ledger.Batch{}, ctx.Err()
		case <-time.After(lag):
			return batch, nil
		}
	}
}

func (l *laggingLog) Newest(ctx context.Context, topic string) (ledger.Batch, error) {
	return l.Read(ctx, topic, 0, 0)
}

func (l *laggingLog) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// serve runs a job service of one instance over a log in virtual time while the test acts.
func serve(t *testing.T, test func(*testing.T, *laggingLog, *JobService)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := &laggingLog{}
		index := ledger.NewJobIndex()
		monitored := ledger.NewMonitoredLog(log)
		reader := &ledger.Reader{
			Log: monitored, Topic: ledger.JobsTopic, MinInterval: 400 * time.Millisecond, Interval: 1250 * time.Millisecond, Synced: index.MarkSynced, Failed: func(error) {},
			Record: func(r ledger.Record) {
				e, err := ledger.DecodeEntry(r)
				assert.NilError(t, err)
				index.Apply(e)
			},
		}
		writer := ledger.NewWriter(monitored, ledger.JobsTopic, "entry", 1, false)
		go reader.Run(ctx)
		go func() { _ = writer.Run(ctx) }() // ends only with ctx
		defer func() {
			cancel()
			time.Sleep(time.Minute) // lets the goroutines end
		}()
		time.Sleep(2 * time.Second)
		test(t, log, New(index, reader, writer, monitored, event.Discard(), tally.NoopScope))
	})
}

func acceptedElsewhere(t *testing.T, log *laggingLog, id string) {
	t.Helper()
	job := &workload.Job{ID: id, Customer: "club", Queue: "plans", Spec: "text", Steps: []workload.Step{{Count: 1}}, Submitted: time.Now()}
	_, err := log.Append(t.Context(), ledger.JobsTopic, []ledger.Record{ledger.SubmissionRecord(job)}, ledger.AppendOptions{})
	assert.NilError(t, err)
}

// Guards against a job that runs although its caller was told, in answer to a cancellation, that it does not exist: another instance had
// just accepted it, and this one had not read the record yet.
func TestCancellationOfAJobAcceptedElsewhere(t *testing.T) {
	for _, lag := range []time.Duration{0, time.Second, 2500 * time.Millisecond} {
		serve(t, func(t *testing.T, log *laggingLog, s *JobService) {
			log.setLag(lag)
			time.Sleep(50 * time.Millisecond)
			acceptedElsewhere(t, log, "00000000000000aa")
			time.Sleep(100 * time.Millisecond)
			err := s.Cancel(t.Context(), "club", "00000000000000aa")
			assert.Assert(t, !errkind.Is(err, errkind.NotFound), "lag %v: %v", lag, err)
			if lag == 0 {
				assert.NilError(t, err)
			}
		})
	}
}

// Guards against a caller that is never told that a job does not exist, or is told so only after its deadline.
func TestCancellationOfAnUnknownJob(t *testing.T) {
	serve(t, func(t *testing.T, _ *laggingLog, s *JobService) {
		start := time.Now()
		err := s.Cancel(t.Context(), "club", "00000000000000bb")
		assert.Assert(t, errkind.Is(err, errkind.NotFound), "%v", err)
		assert.Assert(t, time.Since(start) <= readBackTimeout)
	})
}

// Guards against a job that runs although its cancellation was answered with "no such job": its submission was still on its way to the log,
// which carried it out seconds later.
func TestCancellationHoldsForASubmissionThatIsCarriedOutLater(t *testing.T) {
	serve(t, func(t *testing.T, log *laggingLog, s *JobService) {
		const id = "00000000000000cc"
		err := s.Cancel(t.Context(), "club", id)
		assert.Assert(t, errkind.Is(err, errkind.NotFound), "%v", err)
		acceptedElsewhere(t, log, id)
		time.Sleep(2 * time.Second)
		state, err := s.State(t.Context(), "club", id)
		assert.NilError(t, err)
		assert.Equal(t, state, ledger.Cancelled)
	})
}

// Guards against a customer who cancels jobs of another one by naming their ids before they are submitted.
func TestCancellationOfAnUnknownJobHoldsForItsCustomerOnly(t *testing.T) {
	serve(t, func(t *testing.T, log *laggingLog, s *JobService) {
		const id = "00000000000000dd"
		err := s.Cancel(t.Context(), "guest", id)
		assert.Assert(t, errkind.Is(err, errkind.NotFound), "%v", err)
		acceptedElsewhere(t, log, id)
		time.Sleep(2 * time.Second)
		state, err := s.State(t.Context(), "club", id)
		assert.NilError(t, err)
		assert.Equal(t, state, ledger.Queued)
		err = s.Cancel(t.Context(), "guest", id)
		assert.Assert(t, errkind.Is(err, errkind.NotFound), "%v", err)
	})
}

// Guards against one job whose record is larger than the log takes, after which the instance that got it accepts and cancels nothing more.
func TestJobThatIsTooLargeForTheLogIsRefusedAlone(t *testing.T) {
	serve(t, func(t *testing.T, log *laggingLog, s *JobService) {
		job := func(id, label string) *workload.Job {
			return &workload.Job{ID: id, Customer: "club", Queue: "plans", Spec: "text", Steps: []workload.Step{{Count: 1, Label: label}}, Submitted: time.Now()}
		}
		assert.NilError(t, s.Submit(t.Context(), job("00000000000000a1", "")))
		start := time.Now()
		err := s.Submit(t.Context(), job("00000000000000a2", strings.Repeat("x", 256<<10)))
		assert.Assert(t, errkind.Is(err, errkind.TooLarge), "%v", err)
		assert.Assert(t, time.Since(start) < 100*time.Millisecond)
		assert.NilError(t, s.Submit(t.Context(), job("00000000000000a3", "")))
		assert.NilError(t, s.Cancel(t.Context(), "club", "00000000000000a1"))
	})
}
