package scheduler_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// lateStops delays stops and releases until ended reports true, and renewals until all delayed commands have a response.
type lateStops struct {
	ended   func() bool
	pending atomic.Int64
	sent    atomic.Int64
}

func (g *lateStops) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch q.URL.Path[strings.LastIndex(q.URL.Path, "/")+1:] {
		case "stop", "release":
			g.sent.Add(1)
			g.pending.Add(1)
			defer g.pending.Add(-1)
			waitUntil(g.ended)
		case "renew":
			if g.pending.Load() > 0 {
				waitUntil(func() bool { return g.pending.Load() == 0 })
				time.Sleep(30 * time.Millisecond)
			}
		}
		next.ServeHTTP(w, q)
	})
}

func waitUntil(condition func() bool) {
	for deadline := time.Now().Add(time.Second); !condition() && time.Now().Before(deadline); {
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against a gang that runs a second time because it finished while the stop for its preemption was in flight.
func TestGangFinishedBeforePreemptionRunsOnce(t *testing.T) {
	t.Parallel()
	for name, checkpoint := range map[string]time.Duration{"killed": 0, "checkpoint": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, 2, standin.Options{})
			gate := &lateStops{ended: func() bool { return len(r.runs("gang")) == 2 && r.running("gang") == 0 }}
			r.setMiddleware(gate.middleware)
			r.instance("e1")
			r.submit("gang", 16, 500*time.Millisecond, func(j *structs.Job) { j.Checkpoint = checkpoint })
			r.await("the gang runs", 5*time.Second, func() bool { return r.running("gang") == 2 })
			time.Sleep(350 * time.Millisecond)
			r.submit("urgent", 16, 50*time.Millisecond, func(j *structs.Job) { j.Urgency = 100 })
			for _, id := range []string{"gang", "urgent"} {
				r.await(id+" finishes", 5*time.Second, func() bool { return r.result(id) != nil })
				assert.Equal(t, r.result(id).State, structs.JobFinished)
				assert.Equal(t, len(r.runs(id)), 2)
			}
			t.Logf("%d stops and releases were in flight", gate.sent.Load())
		})
	}
}
