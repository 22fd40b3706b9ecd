package ledger

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// scriptedLog answers appends with the given errors, one after the other, then successfully.
type scriptedLog struct {
	mu      sync.Mutex
	answers []error
	calls   []AppendOptions
	batches [][]Record
	block   chan struct{} // if set, appends wait until it is closed
}

func (l *scriptedLog) Append(ctx context.Context, _ string, records []Record, options AppendOptions) (int64, error) {
	if l.block != nil {
		select {
		case <-l.block:
		case <-ctx.Done():
			return 0, &UnknownError{ctx.Err()}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, options)
	l.batches = append(l.batches, records)
	if len(l.answers) > 0 {
		err := l.answers[0]
		l.answers = l.answers[1:]
		return 0, err
	}
	return 0, nil
}

func (l *scriptedLog) Read(context.Context, string, int64, time.Duration) (Batch, error) {
	return Batch{}, nil
}

func (l *scriptedLog) Newest(context.Context, string) (Batch, error) { return Batch{}, nil }

func runWriter(t *testing.T, log Log, persistent bool) *Writer {
	w := NewWriter(log, JobsTopic, "p", 1, persistent)
	run(t, w)
	return w
}

// run runs a writer until the test ends.
func run(t *testing.T, w *Writer) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = w.Run(ctx) // ends with ctx or when the scripted log fences it
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

func put(w *Writer, key string) error {
	outcome := make(chan error, 1)
	w.Put(func(err error) { outcome <- err }, Record{Key: key, Value: []byte("v")})
	return <-outcome
}

// Guards against a record that is written twice or lost because the log's answer was lost.
func TestUnansweredAppendIsRetriedWithTheSameSequenceNumber(t *testing.T) {
	log := &scriptedLog{answers: []error{&UnknownError{errors.New("lost")}}}
	w := runWriter(t, log, false)
	assert.NilError(t, put(w, "a"))
	assert.NilError(t, put(w, "b"))
	assert.Equal(t, log.calls[0].Sequence, log.calls[1].Sequence)
	assert.Equal(t, log.calls[2].Sequence, log.calls[1].Sequence+1)
}

// Guards against an outcome that stays unknown although the log has the record. If the log no longer keeps the answer to the
// first attempt, it refuses the retry and says that it expects the next sequence number.
func TestLostAttemptThatTookEffectCountsAsWritten(t *testing.T) {
	log := &scriptedLog{answers: []error{&UnknownError{errors.New("lost")}, &SequenceError{Expected: 2}}}
	w := runWriter(t, log, false)
	assert.NilError(t, put(w, "a"))
	assert.NilError(t, put(w, "b"))
	assert.Equal(t, log.calls[2].Sequence, int64(2))
}

// Guards against a record that is reported as not accepted although it may be in the log.
func TestRefusalAfterAnUnansweredAttemptIsRetried(t *testing.T) {
	log := &scriptedLog{answers: []error{&UnknownError{errors.New("lost")}, &RefusedError{503}, &RefusedError{503}, &RefusedError{503}}}
	w := runWriter(t, log, false)
	assert.NilError(t, put(w, "a"))
}

// Guards against callers that wait while the log refuses all records.
func TestRefusedRecordsFailAndLaterOnesAreRefusedUnsent(t *testing.T) {
	log := &scriptedLog{answers: []error{&RefusedError{503}, &RefusedError{503}}}
	w := runWriter(t, log, false)
	assert.Assert(t, IsRefused(put(w, "a")))
	assert.ErrorIs(t, put(w, "b"), ErrSuspect)
	assert.Equal(t, len(log.calls), maxRefusedAttempts)
	assert.Assert(t, w.FailingFor() > 0)
}

// Guards against records that wait behind an unanswered append until their callers' deadlines.
func TestRecordsBehindAnUnansweredAppendFail(t *testing.T) {
	log := &scriptedLog{block: make(chan struct{})}
	w := runWriter(t, log, false)
	first := make(chan error, 1)
	w.Put(func(err error) { first <- err }, Record{Key: "a", Value: []byte("v")})
	time.Sleep(20 * time.Millisecond) // until the first append is in flight
	start := time.Now()
	assert.ErrorIs(t, put(w, "b"), ErrSuspect)
	assert.Assert(t, time.Since(start) < 2*suspectAfter)
	assert.Assert(t, w.Suspect())
	close(log.block)
	assert.NilError(t, <-first)
	assert.Assert(t, !w.Suspect())
}

// Guards against a barrier that completes before the records in front of it.
func TestBarrierFollowsTheRecordsBeforeIt(t *testing.T) {
	log := &scriptedLog{answers: []error{&UnknownError{errors.New("lost")}}}
	w := runWriter(t, log, true)
	var mu sync.Mutex
	var order []string
	note := func(name string) func(error) {
		return func(error) {
			mu.Lock()
			defer mu.Unlock()
			order = append(order, name)
		}
	}
	w.Put(note("record"), Record{Key: "a", Value: []byte("v")})
	done := make(chan struct{})
	w.Put(note("barrier"))
	w.Put(func(error) { close(done) })
	<-done
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, order, []string{"record", "barrier"})
}

// Guards against a scheduler that continues to write after a later term has started.
func TestFencedWriterEnds(t *testing.T) {
	w := NewWriter(&scriptedLog{answers: []error{&FencedError{}}}, RunsTopic, "scheduler", 1, true)
	ended := make(chan error, 1)
	go func() { ended <- w.Run(context.Background()) }()
	w.Put(nil, Record{Key: "a", Value: []byte("v")})
	assert.Assert(t, IsFenced(<-ended))
	assert.Assert(t, IsFenced(put(w, "b")))
}

// Guards against an outcome that is reported as unknown although the record was never sent, because it waited behind an
// unanswered append until its caller's deadline.
func TestUnsentRecordCanBeWithdrawn(t *testing.T) {
	log := &scriptedLog{block: make(chan struct{})}
	w := runWriter(t, log, false)
	first := make(chan error, 1)
	withdrawFirst := w.PutWithdrawable(func(err error) { first <- err }, Record{Key: "a", Value: []byte("v")})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.pending) > 0 {
			return poll.Continue("the first record is still queued")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	withdrawSecond := w.PutWithdrawable(func(error) { t.Error("done was called for a withdrawn record") }, Record{Key: "b", Value: []byte("v")})
	assert.Assert(t, withdrawSecond())
	assert.Assert(t, !withdrawFirst(), "a record that may have been sent was withdrawn")
	close(log.block)
	assert.NilError(t, <-first)
	assert.NilError(t, put(w, "c"))
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, batch := range log.batches {
		for _, r := range batch {
			assert.Assert(t, r.Key != "b", "sent although it was withdrawn")
		}
	}
}

// Guards against records that are sent to a log which has stopped answering: their outcome would stay unknown for seconds.
func TestNothingIsSentToASilentLog(t *testing.T) {
	log := &silentLog{scriptedLog: &scriptedLog{}}
	monitored := NewMonitoredLog(log)
	w := NewWriter(monitored, JobsTopic, "p", 1, false)
	w.SetProbe(monitored.Probe)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = w.Run(ctx) // ends with ctx
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	assert.NilError(t, put(w, "a"))
	log.silent.Store(true)
	time.Sleep(silentAfter)
	start := time.Now()
	assert.ErrorIs(t, put(w, "b"), ErrSilent)
	assert.Assert(t, time.Since(start) < probeTimeout+200*time.Millisecond)
	log.silent.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := put(w, "c"); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(2*time.Second))
	assert.Equal(t, len(log.calls), 2, "only a and c were sent")
}

// silentLog leaves calls unanswered while silent is set.
type silentLog struct {
	*scriptedLog
	silent atomic.Bool
}

func (l *silentLog) Append(ctx context.Context, topic string, records []Record, options AppendOptions) (int64, error) {
	if l.silent.Load() {
		<-ctx.Done()
		return 0, &UnknownError{ctx.Err()}
	}
	return l.scriptedLog.Append(ctx, topic, records, options)
}

func (l *silentLog) Newest(ctx context.Context, _ string) (Batch, error) {
	if l.silent.Load() {
		<-ctx.Done()
		return Batch{}, &UnknownError{ctx.Err()}
	}
	return Batch{}, nil
}

// Guards against a record that is too large for the log and keeps all later ones from being written.
func TestRecordThatIsTooLargeFailsAtOnce(t *testing.T) {
	log := &scriptedLog{}
	w := NewWriter(log, JobsTopic, "p", 1, true)
	w.SetRecordLimit(100)
	run(t, w)
	outcome := make(chan error, 1)
	w.Put(func(err error) { outcome <- err }, Record{Key: "a"}, Record{Key: "large", Value: make([]byte, 95)})
	var tooLarge *RecordSizeError
	assert.Assert(t, errors.As(<-outcome, &tooLarge))
	assert.Equal(t, tooLarge.Size, 101)
	withdraw := w.PutWithdrawable(func(err error) { outcome <- err }, Record{Key: "large", Value: make([]byte, 95)})
	assert.Assert(t, IsUnrecordable(<-outcome))
	assert.Assert(t, !withdraw())
	assert.Equal(t, len(log.calls), 0)
	assert.NilError(t, put(w, "b"))
}

// pickyLog never takes a batch with the record "bad".
type pickyLog struct {
	scriptedLog
	written []string
}

func (l *pickyLog) Append(ctx context.Context, topic string, records []Record, options AppendOptions) (int64, error) {
	end, err := l.scriptedLog.Append(ctx, topic, records, options)
	for _, r := range records {
		if r.Key == "bad" {
			return 0, &InvalidError{errors.New("status 400")}
		}
	}
	for _, r := range records {
		l.written = append(l.written, r.Key)
	}
	return end, err
}

// Guards against one record that the log never takes, for a reason that is not foreseen, and that stops the writer for good: the records
// that share its append are written in their order, and those behind it as well.
func TestRecordThatTheLogNeverTakesFailsAlone(t *testing.T) {
	for _, persistent := range []bool{false, true} {
		log := &pickyLog{}
		w := NewWriter(log, JobsTopic, "p", 1, persistent)
		outcomes := make(chan error, 8)
		for _, key := range []string{"a", "b", "bad", "c", "d"} {
			w.Put(func(err error) { outcomes <- err }, Record{Key: key})
		}
		run(t, w)
		for i := range 5 {
			err := <-outcomes
			assert.Equal(t, IsInvalid(err), i == 2, "%v", err)
		}
		assert.NilError(t, put(w, "e"))
		assert.DeepEqual(t, log.written, []string{"a", "b", "c", "d", "e"})
		last := int64(0)
		for i, c := range log.calls {
			assert.Assert(t, c.Sequence == last || c.Sequence == last+1, "call %d: no number is left out", i)
			last = c.Sequence
		}
	}
}
