package gang_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/gang"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// behaviour is what a member's worker does with a command.
type behaviour int

const (
	accepts behaviour = iota
	refuses
	unsent        // the command never reaches the worker
	losesResponse // after the command took effect
	behaviours    // number of behaviours
)

// scriptedWorkers implements gang.Commands with one worker per member, which behaves as scripted.
type scriptedWorkers struct {
	mu            sync.Mutex
	hold, start   []behaviour
	releaseFails  []bool
	held, running []bool
	everStarted   []bool
}

func (w *scriptedWorkers) do(b behaviour, effect func()) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch b {
	case refuses:
		return &platform.RefusedError{}
	case unsent:
		return peer.ErrNotSent
	case losesResponse:
		effect()
		return errors.New("no response")
	default:
		effect()
		return nil
	}
}

func (w *scriptedWorkers) Hold(_ context.Context, t structs.Task, _ time.Duration) error {
	return w.do(w.hold[t.Member], func() { w.held[t.Member] = true })
}

func (w *scriptedWorkers) Start(_ context.Context, t structs.Task) error {
	return w.do(w.start[t.Member], func() {
		w.running[t.Member] = w.held[t.Member]
		w.everStarted[t.Member] = true
	})
}

func (w *scriptedWorkers) Release(_ context.Context, t structs.Task) error {
	if w.releaseFails[t.Member] {
		return errors.New("no response")
	}
	return w.do(accepts, func() { w.held[t.Member], w.running[t.Member] = false, false })
}

// Guards against a gang of which only some members run after a start has ended, apart from those that are reported as
// uncertain, and against a member that is started before all members are held.
func TestInvariantGangAllOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "members")
		script := func(name string) []behaviour {
			all := make([]behaviour, n)
			for range rapid.IntRange(0, 2).Draw(t, name+" faults") {
				all[rapid.IntRange(0, n-1).Draw(t, name+" member")] = behaviour(rapid.IntRange(1, int(behaviours)-1).Draw(t, name))
			}
			return all
		}
		w := &scriptedWorkers{
			hold: script("hold"), start: script("start"), releaseFails: make([]bool, n), held: make([]bool, n),
			running: make([]bool, n), everStarted: make([]bool, n),
		}
		if rapid.Bool().Draw(t, "release fails") {
			w.releaseFails[rapid.IntRange(0, n-1).Draw(t, "release")] = true
		}
		tasks := make([]structs.Task, n)
		for i := range tasks {
			tasks[i] = structs.Task{Job: structs.Job{ID: "gang"}, Attempt: 1, Member: i, Members: n}
		}
		s := gang.Starter{Commands: w, HoldTTL: time.Second, Log: event.Discard(), Metrics: tally.NoopScope}
		result := s.Start(context.Background(), tasks)
		checkAllOrNothing(t, w, n, result)
	})
}

func checkAllOrNothing(t *rapid.T, w *scriptedWorkers, n int, result gang.Result) {
	uncertain := map[int]bool{}
	for _, task := range result.Uncertain {
		uncertain[task.Member] = true
	}
	allHeld := true
	for _, b := range w.hold {
		allHeld = allHeld && b == accepts
	}
	for i := range n {
		if result.Started {
			assert.Assert(t, w.running[i], "member %d does not run", i)
			continue
		}
		assert.Assert(t, !w.running[i] || uncertain[i], "member %d runs alone and is not reported as uncertain", i)
		assert.Assert(t, allHeld || !w.everStarted[i], "member %d was started before all were held", i)
	}
	assert.Equal(t, result.Started, len(result.Failures) == 0)
}
