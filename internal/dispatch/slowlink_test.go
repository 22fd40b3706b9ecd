package dispatch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// slowLinkFleet is a fleet behind a link that carries one order after another. An order that was given up keeps its place on the link.
type slowLinkFleet struct {
	*scriptedFleet
	mu             sync.Mutex
	bytesPerSecond float64
	silent         map[string]bool
	freeAt         time.Time
	unanswered     int // orders to workers that are not silent
}

// call sends a call of a size over the link and waits for the answer, which comes 4 ms later.
func (f *slowLinkFleet) call(ctx context.Context, to Target, bytes int) error {
	f.mu.Lock()
	if now := time.Now(); f.freeAt.Before(now) {
		f.freeAt = now
	}
	f.freeAt = f.freeAt.Add(time.Duration(float64(bytes) / f.bytesPerSecond * float64(time.Second)))
	answeredAt, silent := f.freeAt.Add(4*time.Millisecond), f.silent[to.ID]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errNoAnswer
	}
	if wait.For(ctx, time.Until(answeredAt)); ctx.Err() == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered++
	return errNoAnswer
}

func (f *slowLinkFleet) Start(ctx context.Context, to Target, o StartOrder) (int64, error) {
	if err := f.call(ctx, to, len(o.Spec)+startOrderOverhead); err != nil {
		return 0, err
	}
	return f.scriptedFleet.Start(ctx, to, o)
}

func (f *slowLinkFleet) Stop(ctx context.Context, to Target, o StopOrder) (int64, error) {
	if err := f.call(ctx, to, startOrderOverhead); err != nil {
		return 0, err
	}
	return f.scriptedFleet.Stop(ctx, to, o)
}

const (
	slowLink           = 2e6 / 8 // bytes a second of a link of 2 Mbit/s
	startOrderOverhead = 600     // bytes that an order takes on the link besides the texts that it carries
)

// startMany lets a number of jobs of gangs of four become startable at once, and returns the harness and the fleet.
func startMany(t *testing.T, bytesPerSecond float64, jobs int, silent ...string) (*harness, *slowLinkFleet) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	fleet := &slowLinkFleet{scriptedFleet: h.fleet, bytesPerSecond: bytesPerSecond, silent: map[string]bool{}}
	for _, id := range silent {
		fleet.silent[id] = true
	}
	h.scheduler.config.Fleet = fleet
	for i := range jobs {
		h.addWorker(fmt.Sprintf("w%03d", i), fmt.Sprintf("r%d", i%8), 4)
	}
	for n := range jobs {
		step := stepOf(4)
		step.Gang = true
		j := singleStepJob(n+1, step)
		j.Spec = strings.Repeat("x", 2000)
		h.submit(j)
	}
	h.pass()
	return h, fleet
}

// answerFor lets all workers answer a heartbeat each second, without naming runs, for some time. It calls each every 100 ms.
func (h *harness) answerFor(length time.Duration, each func()) {
	for i := range int(length / (100 * time.Millisecond)) {
		if i%10 == 0 {
			for _, w := range h.scheduler.workers {
				h.report(w, HeartbeatReport{Clock: 1000 + int64(i)*100, Partial: true})
			}
		}
		each()
		time.Sleep(100 * time.Millisecond)
	}
}

// runningMembers returns how many members run.
func (h *harness) runningMembers() int {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	n := 0
	for _, w := range h.scheduler.workers {
		for _, m := range w.members {
			if m.state == running {
				n++
			}
		}
	}
	return n
}

// Guards against starts that time out, are repeated and stopped, and hold up heartbeats, because more are sent at once than a slow link carries.
func TestManyStartsAtOnceLeaveRoomOnASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, fleet := startMany(t, slowLink, 125)
		h.answerFor(8*time.Second, func() {
			ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
			defer cancel()
			assert.NilError(t, fleet.call(ctx, Target{ID: "log"}, 500), "a heartbeat of the term")
		})
		assert.Equal(t, fleet.unanswered, 0, "orders without an answer")
		assert.Equal(t, fleet.started(), 500)
		assert.Equal(t, fleet.stopped(), 0)
		assert.Equal(t, h.runningMembers(), 500)
	})
}
