package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Guards against work that is stopped and started again because the answer to its start was lost, although the worker has reported that it
// runs.
func TestRunWhoseStartWasNotAnsweredGoesOnOnceItIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, newMemoryLedger(), newMemoryLedger())
		w := h.addWorker("w1", "r1", 8)
		h.fleet.startError = func(o StartOrder) error {
			h.report(w, HeartbeatReport{Running: []RunReport{{Task: o.Task, Run: o.Run}}})
			return errNoAnswer
		}
		j := singleStepJob(1, stepOf(1))
		h.submit(j)
		h.pass()
		synctest.Wait()
		assert.Equal(t, h.fleet.started(), 1)
		assert.Equal(t, h.fleet.stopped(), 0)
		assert.Equal(t, len(h.runsOn(w)), 1)
	})
}

// lostStarts is a fleet at which the orders for first runs are lost. Its workers answer heartbeats when their wait is over.
type lostStarts struct{ *scriptedFleet }

func (f lostStarts) Start(ctx context.Context, to Target, o StartOrder) (int64, error) {
	if o.Run == 1 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return f.scriptedFleet.Start(ctx, to, o)
}

func (f lostStarts) Heartbeat(ctx context.Context, _ Target, o HeartbeatOrder) (HeartbeatReport, error) {
	wait.For(ctx, max(o.Wait, time.Millisecond))
	return HeartbeatReport{}, ctx.Err()
}

// Guards against a job that stands still beside idle workers because the orders to start it were lost.
func TestJobWhoseStartOrdersWereLostDoesNotStandStill(t *testing.T) {
	for offset := time.Duration(0); offset < heartbeatWait; offset += 100 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, newMemoryLedger(), newMemoryLedger())
				h.scheduler.config.Fleet = lostStarts{h.fleet}
				w := h.addWorker("w1", "r1", 8)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go h.scheduler.heartbeatLoop(ctx, w)
				time.Sleep(offset)
				h.submit(singleStepJob(1, stepOf(1)))
				for submitted := time.Now(); h.fleet.started() == 0; time.Sleep(tickPeriod) {
					assert.Assert(t, time.Since(submitted) < standstillAfter)
					h.tickAt(time.Now())
					h.pass()
				}
			})
		})
	}
}
