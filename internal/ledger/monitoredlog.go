package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Timings for detecting that the log does not answer.
const (
	// silentAfter is the time without any answer after which the log is silent: records are then sent only after an answered probe.
	// The scheduler gets an answer with each heartbeat, every 350 ms. The other instances call less often while little happens (up to
	// 1.2 s apart), so that a record after such a gap costs a probe; what is sent to a silent log must not grow.
	silentAfter   = 550 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond // time limit of a probe, which takes about 5 ms on a healthy log and 300 ms on a slow one
	probeInterval = 100 * time.Millisecond // pause between probes of a silent log
)

// ErrSilent says that the record was not sent because the log does not answer any calls.
var ErrSilent = errors.New("the log does not answer any calls at present")

// MonitoredLog is a Log that keeps the time of the last answer. All calls of an instance go through one MonitoredLog, so that
// the first call without an answer reveals an outage to all of them.
type MonitoredLog struct {
	log Log

	mu         sync.Mutex
	lastAnswer time.Time
	probing    bool // whether probeUntilAnswered is running
}

var _ Log = (*MonitoredLog)(nil)

// NewMonitoredLog wraps a log, which counts as having answered just now.
func NewMonitoredLog(log Log) *MonitoredLog { return &MonitoredLog{log: log, lastAnswer: time.Now()} }

// Append implements Log.
func (m *MonitoredLog) Append(ctx context.Context, topic string, records []Record, options AppendOptions) (int64, error) {
	end, err := m.log.Append(ctx, topic, records, options)
	m.noteAnswer(err)
	return end, err
}

// Read implements Log.
func (m *MonitoredLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error) {
	batch, err := m.log.Read(ctx, topic, from, wait)
	m.noteAnswer(err)
	return batch, err
}

// Newest implements Log.
func (m *MonitoredLog) Newest(ctx context.Context, topic string) (Batch, error) {
	batch, err := m.log.Newest(ctx, topic)
	m.noteAnswer(err)
	return batch, err
}

// noteAnswer updates the time of the last answer after a call that returned err. A refusal is an answer too.
func (m *MonitoredLog) noteAnswer(err error) {
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastAnswer = time.Now()
}

// Silence returns how long ago the log last answered.
func (m *MonitoredLog) Silence() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastAnswer)
}

// Probe returns ErrSilent if the log has not answered for a while and does not answer now either. A record that is sent to a
// silent log may take effect much later, so its outcome is unknown, whereas a record that was not sent can safely be refused.
// After an unanswered probe, probing continues in the background until ctx ends or the log answers; meanwhile Probe returns
// ErrSilent at once.
func (m *MonitoredLog) Probe(ctx context.Context) error {
	m.mu.Lock()
	silent, probing := time.Since(m.lastAnswer) >= silentAfter, m.probing
	m.mu.Unlock()
	if !silent {
		return nil
	}
	if probing || m.firstProbe(ctx) {
		return ErrSilent
	}
	return nil
}

// firstProbe makes one probe and reports whether the log is silent. If so, it starts probing in the background.
func (m *MonitoredLog) firstProbe(ctx context.Context) (silent bool) {
	if !m.probeUnanswered(ctx) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.probing {
		m.probing = true
		go m.probeUntilAnswered(ctx)
	}
	return true
}

// probeUntilAnswered probes until the log answers.
func (m *MonitoredLog) probeUntilAnswered(ctx context.Context) {
	for ctx.Err() == nil && m.probeUnanswered(ctx) {
		wait.For(ctx, probeInterval)
	}
	m.mu.Lock()
	m.probing = false
	m.mu.Unlock()
}

// probeUnanswered makes one probe and reports whether it stayed unanswered, as did all other calls within silentAfter.
func (m *MonitoredLog) probeUnanswered(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := m.Newest(ctx, TermTopic)
	var unknown *UnknownError
	return errors.As(err, &unknown) && m.Silence() >= silentAfter
}
