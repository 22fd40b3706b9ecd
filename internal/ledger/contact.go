package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Limits of judging whether the log answers.
const (
	// quietAfter is the age of the last answer from which on a record is not sent before a probe was answered. An instance
	// hears from the log with each heartbeat of the scheduler's term, every 350 ms.
	quietAfter   = 550 * time.Millisecond
	probeTimeout = 400 * time.Millisecond // a healthy answer takes about 5 ms, one of a slow log 60 times as long
	probePause   = 100 * time.Millisecond // between probes of a silent log
)

// ErrQuiet says that the log answers nothing at present, so the record was not sent.
var ErrQuiet = errors.New("the log answers nothing at present")

// Contact is a Log that notes when the log last answered anything. All calls of an instance go through one Contact, so that an
// outage is known from whichever call meets it first.
type Contact struct {
	log Log

	mu      sync.Mutex
	last    time.Time
	probing bool // until the log answers
}

var _ Log = (*Contact)(nil)

// NewContact wraps a log. It counts as having answered just now.
func NewContact(log Log) *Contact { return &Contact{log: log, last: time.Now()} }

// Append implements Log.
func (c *Contact) Append(ctx context.Context, topic string, records []Record, w Writing) (int64, error) {
	end, err := c.log.Append(ctx, topic, records, w)
	c.note(err)
	return end, err
}

// Read implements Log.
func (c *Contact) Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error) {
	batch, err := c.log.Read(ctx, topic, from, wait)
	c.note(err)
	return batch, err
}

// Newest implements Log.
func (c *Contact) Newest(ctx context.Context, topic string) (Batch, error) {
	batch, err := c.log.Newest(ctx, topic)
	c.note(err)
	return batch, err
}

// note takes in the outcome of a call. Any answer counts, also a refusal.
func (c *Contact) note(err error) {
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = time.Now()
}

// Silence returns how long ago the log last answered.
func (c *Contact) Silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.last)
}

// Probe returns ErrQuiet if the log has not answered for a while and does not answer now either. What is sent to a silent log may
// take effect much later, so its outcome stays open, whereas what was not sent can be refused truthfully. After a probe without an
// answer, more follow until ctx ends or the log answers, and meanwhile Probe returns at once.
func (c *Contact) Probe(ctx context.Context) error {
	c.mu.Lock()
	quiet, probing := time.Since(c.last) >= quietAfter, c.probing
	c.mu.Unlock()
	if !quiet {
		return nil
	}
	if probing || c.ask(ctx) {
		return ErrQuiet
	}
	return nil
}

// ask makes a first probe and reports whether the log is silent.
func (c *Contact) ask(ctx context.Context) (silent bool) {
	if !c.unanswered(ctx) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.probing {
		c.probing = true
		go c.await(ctx)
	}
	return true
}

// await probes until the log answers.
func (c *Contact) await(ctx context.Context) {
	for ctx.Err() == nil && c.unanswered(ctx) {
		wait.For(ctx, probePause)
	}
	c.mu.Lock()
	c.probing = false
	c.mu.Unlock()
}

// unanswered makes one probe and reports whether neither it nor any other call was answered lately.
func (c *Contact) unanswered(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := c.Newest(ctx, TermTopic)
	var unknown *UnknownError
	return errors.As(err, &unknown) && c.Silence() >= quietAfter
}
