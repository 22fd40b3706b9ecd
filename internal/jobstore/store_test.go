package jobstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/configuration/stream"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// fakeLog is a log service with one stream. Tests set its faults between calls.
type fakeLog struct {
	mu          sync.Mutex
	records     []platform.LogRecord
	down        bool          // appends and reads fail
	loseAnswers bool          // appends take effect but return an error with unknown outcome
	appendDelay time.Duration // time before an append takes effect

	unreadable bool // only reads fail
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	time.Sleep(l.appendDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrNotAppended
	}
	offset := uint64(len(l.records))
	l.records = append(l.records, platform.LogRecord{Offset: offset, Time: time.Now(), Data: data})
	if l.loseAnswers {
		return 0, context.DeadlineExceeded
	}
	return offset, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, limit int, _ time.Duration) (platform.ReadResponse, error) {
	time.Sleep(10 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.unreadable {
		return platform.ReadResponse{}, errors.New("log is down")
	}
	end := uint64(len(l.records))
	last := min(end, from+uint64(limit))
	return platform.ReadResponse{Next: end, Records: append([]platform.LogRecord(nil), l.records[from:last]...)}, nil
}

func (l *fakeLog) appended() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// peers is a network with one registered handler, which receives all calls.
type peers struct{ handler peer.Handler }

func (p *peers) Handle(_ string, handler peer.Handler) { p.handler = handler }

func (p *peers) Call(ctx context.Context, _ structs.InstanceID, _ string, request, response any) error {
	data, _ := msgpack.Marshal(request)
	answer, err := p.handler(ctx, "peer", func(into any) error { return msgpack.Unmarshal(data, into) })
	if err != nil {
		return err
	}
	data, _ = msgpack.Marshal(answer)
	return msgpack.Unmarshal(data, response)
}

func newStore(t *testing.T, log *fakeLog, self structs.InstanceID, net *peers) *Store {
	keys, err := peer.NewKeyRing([]peer.SharedKey{{ID: "a", Secret: []byte(strings.Repeat("k", 32))}}, nil)
	assert.NilError(t, err)
	return New(Options{
		DataCentre: "a", Log: log, Keys: keys, Events: event.Discard(), Metrics: tally.NoopScope,
		Retention: time.Hour, PollWait: time.Second, MaxOpen: func() int { return 6000 },
		Peers: net, Self: self, Entries: func() []structs.InstanceID { return []structs.InstanceID{"one", "two"} },
	})
}

// withStore runs a test with a running store and a fake clock.
func withStore(t *testing.T, log *fakeLog, test func(t *testing.T, s *Store, net *peers)) {
	synctest.Test(t, func(t *testing.T) {
		net := &peers{}
		s := newStore(t, log, "one", net)
		s.Register(net)
		stop := start(t, s)
		time.Sleep(time.Second)
		test(t, s, net)
		stop()
	})
}

func start(t *testing.T, s *Store) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = s.Run(ctx); close(done) }()
	return func() { cancel(); <-done }
}

// Guards against a store without jobs when its instance starts during a log outage: it must fetch them from a peer.
func TestStartWithoutLog(t *testing.T) {
	log := &fakeLog{}
	withStore(t, log, func(t *testing.T, s *Store, net *peers) {
		_, err := s.Submit(t.Context(), job(1))
		assert.NilError(t, err)
		log.mu.Lock()
		log.down = true
		log.mu.Unlock()
		other := newStore(t, log, "two", net)
		stop := start(t, other)
		time.Sleep(3 * time.Second)
		open, _ := other.OpenJobs()
		assert.Equal(t, len(open), 1)
		stop()
	})
}

func job(n int) structs.Job {
	return structs.Job{ID: structs.JobID(fmt.Sprintf("job-%d", n)), Customer: "c", Kind: "k", DataCentre: "a", Accelerators: 1}
}

// Guards against a job that is accepted twice because the answer of the first append was lost, and against a different
// job that is accepted under the same id.
func TestSubmitIsIdempotent(t *testing.T) {
	log := &fakeLog{loseAnswers: true}
	withStore(t, log, func(t *testing.T, s *Store, _ *peers) {
		first, err := s.Submit(t.Context(), job(1))
		assert.NilError(t, err) // confirmed by reading the record back
		again, err := s.Submit(t.Context(), job(1))
		assert.NilError(t, err)
		assert.Equal(t, again.Offset, first.Offset)
		other := job(1)
		other.Accelerators = 2
		_, err = s.Submit(t.Context(), other)
		assert.Assert(t, errkind.Is(err, errkind.Conflict))
		assert.Equal(t, log.appended(), 1)
	})
}

// Guards against a job that runs although its submission was refused: because of a log outage, or because the caller
// gave up while its change waited for a slow append.
func TestRefusedSubmissionIsNeverWritten(t *testing.T) {
	log := &fakeLog{appendDelay: 2 * time.Second}
	withStore(t, log, func(t *testing.T, s *Store, _ *peers) {
		go func() { _, _ = s.Submit(t.Context(), job(1)) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Submit(ctx, job(2))
		assert.Assert(t, errkind.Is(err, errkind.Unavailable), "%v", err)
		time.Sleep(5 * time.Second)
		log.mu.Lock()
		log.down = true
		log.mu.Unlock()
		_, err = s.Submit(t.Context(), job(3))
		assert.Assert(t, errkind.Is(err, errkind.Unavailable), "%v", err)
		log.mu.Lock()
		log.down = false
		log.mu.Unlock()
		time.Sleep(5 * time.Second)
		open, _ := s.OpenJobs()
		assert.Equal(t, len(open), 1)
	})
}

// Guards against a submission that is reported as accepted or refused although the append's answer was lost and the
// record cannot be read back. The outcome is unknown.
func TestUnconfirmedSubmissionIsUnknown(t *testing.T) {
	log := &fakeLog{}
	withStore(t, log, func(t *testing.T, s *Store, _ *peers) {
		log.mu.Lock()
		log.loseAnswers = true
		log.unreadable = true
		log.mu.Unlock()
		_, err := s.Submit(t.Context(), job(1))
		assert.Assert(t, errkind.Is(err, errkind.Unknown), "%v", err)
	})
}

// Guards against a burst of cancellations that needs an append for each one, and against a result that changes after
// the job has ended.
func TestCancelBurst(t *testing.T) {
	const burst = 5000
	log := &fakeLog{appendDelay: 10 * time.Millisecond}
	withStore(t, log, func(t *testing.T, s *Store, _ *peers) {
		var group sync.WaitGroup
		for i := range burst {
			group.Go(func() { _, err := s.Submit(t.Context(), job(i)); assert.Check(t, err) })
		}
		group.Wait()
		entry, _ := s.Get(RefOf(job(7)))
		waited := make(chan Entry, 1)
		go func() { changed, _ := s.WaitChange(t.Context(), RefOf(job(7)), entry); waited <- changed }()
		for i := range burst {
			group.Go(func() { _, err := s.Cancel(t.Context(), RefOf(job(i))); assert.Check(t, err) })
		}
		group.Wait()
		assert.Equal(t, (<-waited).Result.State, structs.JobCancelled)
		assert.Equal(t, s.CountOpen(), 0)
		assert.Assert(t, log.appended() < 100, "%d appends", log.appended())
		late, err := s.Finish(t.Context(), RefOf(job(7)), Result{State: structs.JobFinished})
		assert.NilError(t, err)
		assert.Equal(t, late.Result.State, structs.JobCancelled)
	})
}

// Guards against tables that depend on where a reader started. A table restored from a snapshot must develop like the
// one that read the whole stream, also when ended jobs are dropped.
func TestTableFromSnapshotIsEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, restored := newJobTable(), newJobTable()
		cut := rapid.IntRange(0, 20).Draw(t, "cut")
		now := time.Unix(0, 0).UTC()
		for i := range 20 {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "minutes")) * time.Minute)
			number := rapid.IntRange(0, 5).Draw(t, "job")
			j := job(number)
			o := op{Kind: rapid.SampledFrom([]opKind{opSubmit, opCancel, opFinish}).Draw(t, "kind"), Ref: RefOf(j), Job: &j}
			if o.Kind == opFinish {
				o.Result = &Result{State: structs.JobFinished, EndedAt: now}
			}
			body, err := msgpack.Marshal(&batch{Ops: []op{o}})
			assert.NilError(t, err)
			record := stream.Record{Offset: uint64(i), Time: now, Kind: kindBatch, Body: body}
			if i == cut {
				state, err := whole.State()
				assert.NilError(t, err)
				assert.NilError(t, restored.Restore(state))
			}
			whole.Apply(record)
			if i >= cut {
				restored.Apply(record)
			}
		}
		if cut == 20 {
			return
		}
		want, _ := whole.State()
		got, _ := restored.State()
		assert.DeepEqual(t, got, want)
		assert.Equal(t, restored.openCount, whole.openCount)
		wantOpen, _ := whole.openJobs()
		gotOpen, _ := restored.openJobs()
		assert.DeepEqual(t, gotOpen, wantOpen)
		assert.Equal(t, len(wantOpen), whole.openCount)
	})
}
