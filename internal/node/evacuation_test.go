package node

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
)

const (
	evacuateTime = 5 * time.Second
	longPoll     = 700 * time.Millisecond // after which a read that began before a failure is over
)

// evacuationPlay is a deployment with a worker in each of two data centres and tasks that wait for both.
type evacuationPlay struct {
	*deployment
	silent atomic.Bool // the store answers no reads of the operator's records
}

func playEvacuation(t *testing.T) *evacuationPlay {
	p := &evacuationPlay{}
	front := func(s http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if p.silent.Load() && r.URL.Query().Get("topic") == "keyed.op" {
				<-r.Context().Done()
				return
			}
			s.ServeHTTP(w, r)
		})
	}
	p.deployment = deployBounded(t, Bounds{LeaseMS: 3000, KeepStatusS: 60, EvacuateMS: evacuateTime.Milliseconds()}, front, 2, "w1", "z2-w1")
	p.submit(p.instances[0], jobID(1), jobBody(1500, 150))
	p.awaitStartsOn("z2-w1")
	return p
}

// awaitStartsOn waits until a task starts on a worker.
func (p *evacuationPlay) awaitStartsOn(worker string) {
	p.t.Helper()
	before := p.fleet.Report().Forbidden
	p.fleet.Forbid(worker, time.Now())
	defer p.fleet.Forbid(worker, time.Time{})
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if p.fleet.Report().Forbidden == before {
			return poll.Continue("no task starts on %s", worker)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (p *evacuationPlay) dump(n *instance) string {
	resp, err := http.Get("http://" + n.controlAddress + "/v1/dump")
	assert.NilError(p.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(p.t, err)
	return string(body)
}

// holder returns the instance that is the scheduler, and another one.
func (p *evacuationPlay) holder() (holder, other *instance) {
	if strings.Contains(p.instances[0].log.String(), "term claimed") {
		return p.instances[0], p.instances[1]
	}
	return p.instances[1], p.instances[0]
}

// Guards against starts in a data centre later than the platform allows after the acknowledgement of its evacuation, against starts that stop
// elsewhere for longer than the failure lasts, and against an evacuation that does not end.
func TestEvacuationIsInForceInTimeDespiteFailures(t *testing.T) {
	// Each fails at the moment of the request, and returns what ends the failure.
	for name, fail := range map[string]func(*evacuationPlay) (end func()){
		"no failure": func(*evacuationPlay) func() { return func() {} },
		"the scheduler ends": func(p *evacuationPlay) func() {
			holder, _ := p.holder()
			holder.stop()
			return func() {}
		},
		"the store is down": func(p *evacuationPlay) func() {
			p.store.SetFaults(store.Faults{Outage: true})
			time.Sleep(longPoll)
			return func() { p.store.SetFaults(store.Faults{}) }
		},
		"the store is slow": func(p *evacuationPlay) func() {
			p.store.SetFaults(store.Faults{SlowMS: 400})
			time.Sleep(longPoll)
			return func() { p.store.SetFaults(store.Faults{}) }
		},
		"the operator's records cannot be read": func(p *evacuationPlay) func() {
			p.silent.Store(true)
			time.Sleep(longPoll)
			return func() { p.silent.Store(false) }
		},
		"the store has dropped its history": func(p *evacuationPlay) func() {
			p.silent.Store(true) // so that nobody has read the record before it is dropped
			time.Sleep(longPoll)
			time.AfterFunc(time.Second, func() {
				p.store.Trim("keyed.op")
				p.silent.Store(false)
			})
			return func() {}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := playEvacuation(t)
			_, other := p.holder()
			before := p.fleet.Report().Forbidden
			end := fail(p)
			p.store.Put("keyed.op", "evacuate/z2", []byte("{}"))
			p.fleet.Forbid("z2-w1", time.Now().Add(evacuateTime))
			time.Sleep(evacuateTime + 2*time.Second)
			end()
			time.Sleep(time.Second)
			report := p.fleet.Report()
			assert.Equal(t, report.Forbidden, before, "%v", report.Violations)
			p.awaitStartsOn("w1")
			poll.WaitOn(t, func(poll.LogT) poll.Result { // a read that was not answered lasts a little longer
				if dump := p.dump(other); !strings.Contains(dump, `"evacuated_data_centres":["z2"]`) {
					return poll.Continue("%s", dump)
				}
				return poll.Success()
			}, poll.WithTimeout(3*time.Second))
			p.fleet.Forbid("z2-w1", time.Time{})
			p.silent.Store(true)
			time.Sleep(longPoll)
			p.store.Put("keyed.op", "evacuate/z2", nil)
			p.store.Trim("keyed.op") // the removal is to be seen from what the reload lacks
			p.silent.Store(false)
			p.awaitStartsOn("z2-w1")
			assert.Equal(t, p.fleet.Report().Doubled+p.fleet.Report().Lapsed, 0)
		})
	}
}

// Guards against settings that cannot be read where the platform states no limit for evacuations, and against a limit with which nothing
// could ever start.
func TestLimitOfEvacuationsIsChecked(t *testing.T) {
	template, err := os.ReadFile("../../deploy/node.yaml")
	assert.NilError(t, err)
	for value, valid := range map[string]bool{"": true, "0": true, "5000": true, "2500": true, "2499": false, "-1": false} {
		text := strings.ReplaceAll(string(template), "{{bounds.evacuate_ms}}", value)
		text = regexp.MustCompile(`"\{\{[a-z_.]+\}\}"`).ReplaceAllString(text, `"a:1"`)
		text = regexp.MustCompile(`\{\{[a-z_.]+\}\}`).ReplaceAllString(text, "1000")
		path := filepath.Join(t.TempDir(), "node.yaml")
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		s, err := Load(path)
		assert.Equal(t, err == nil, valid, "%q: %v", value, err)
		if value == "5000" {
			assert.Equal(t, s.dispatchBounds().Evacuation, 5*time.Second)
		}
	}
}
