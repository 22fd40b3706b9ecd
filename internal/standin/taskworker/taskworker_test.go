package taskworker

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func post(t *testing.T, f *Fleet, worker, path, body string) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("X-Target-Instance", worker)
	answer := httptest.NewRecorder()
	f.ServeHTTP(answer, r)
	assert.Equal(t, answer.Code, http.StatusOK, "%s: %s", path, answer.Body)
}

// Guards against gangs that complete although a member has lapsed or never started.
func TestMembersOfAGangEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New("w0", "w1")
		start := func(worker, task string, deadlineMS int) {
			post(t, f, worker, "/v1/run-start", fmt.Sprintf(`{"task":%q,"run":1,"spec":"{\"takes_ms\":30,\"gangs\":[2]}","deadline_ms":%d}`, task, deadlineMS))
		}
		start("w0", "a.0.0.0", 60_000)
		time.Sleep(40 * time.Millisecond)
		assert.DeepEqual(t, f.State().Running, map[string][]string{"w0": {"a.0.0.0"}})
		start("w1", "a.0.0.1", 60_000)
		assert.Equal(t, len(f.State().Done), 0)
		time.Sleep(40 * time.Millisecond)
		assert.DeepEqual(t, f.State().Done, map[string]int{"a.0.0": 2})

		f = New("w0", "w1")
		start("w0", "b.0.0.0", 60_000)
		start("w1", "b.0.0.1", 10) // lapses before the gang completes
		time.Sleep(40 * time.Millisecond)
		f.mu.Lock()
		f.endDueRuns(f.workers["w0"])
		f.mu.Unlock()
		assert.Equal(t, f.workers["w0"].ends[0].outcome, "broken")
		assert.Equal(t, f.workers["w1"].ends[0].outcome, "lapsed")
	})
}

// Guards against judging jobs by completions that the scheduler may know of or not, and against missing short runs.
func TestStateShowsRunsAndCompletions(t *testing.T) {
	f := New("w0", "w1")
	start := func(worker, task string, takesMS int) {
		post(t, f, worker, "/v1/run-start", fmt.Sprintf(`{"task":%q,"run":2,"spec":"{\"takes_ms\":%d}","deadline_ms":60000}`, task, takesMS))
	}
	start("w0", "a.0.0.0", 1)
	start("w1", "a.0.0.1", 1)
	start("w1", "a.0.1.0", 60_000)
	time.Sleep(10 * time.Millisecond)
	assert.DeepEqual(t, f.State(), State{Running: map[string][]string{"w1": {"a.0.1.0"}}, Starts: map[string]int{"a": 3}, Done: map[string]int{"a.0.0": 2}})
	f.LosePower("w1", 0) // before its end was acknowledged, so the scheduler may know of it or not
	assert.DeepEqual(t, f.State(), State{Running: map[string][]string{}, Starts: map[string]int{"a": 3}, Done: map[string]int{"a.0.0": 2}})
	start("w0", "a.0.0.1", 60_000)
	assert.DeepEqual(t, f.State(), State{Running: map[string][]string{"w0": {"a.0.0.1"}}, Starts: map[string]int{"a": 4}, Done: map[string]int{"a.0.0": 1}})
}

// Guards against a job that is judged to stand although it has completed: the scheduler hears of the end of a run after it has started the task
// again, applies it and stops the later run.
func TestAcknowledgedEndCountsAfterALaterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New("w0", "w1")
		command := `{"task":"a.0.0.0","run":%d,"spec":"{\"takes_ms\":%d}","deadline_ms":60000}`
		post(t, f, "w0", "/v1/run-start", fmt.Sprintf(command, 1, 10))
		time.Sleep(20 * time.Millisecond)
		assert.DeepEqual(t, f.State().Done, map[string]int{"a.0.0": 1})
		post(t, f, "w1", "/v1/run-start", fmt.Sprintf(command, 2, 10_000))
		assert.DeepEqual(t, f.State().Done, map[string]int{"a.0.0": 0})
		post(t, f, "w0", "/v1/hold", `{"last_seen":1}`)
		assert.DeepEqual(t, f.State().Done, map[string]int{"a.0.0": 1})
	})
}
