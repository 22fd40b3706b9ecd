package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/configuration"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const (
	token    = "operator-demo-token"
	textFile = "../../examples/swan-coast/text.yaml"
)

// fakeStore is a configuration store at version 2. It fails the next loseAnswers publishes with an unknown outcome.
type fakeStore struct {
	loseAnswers int
	publishIDs  []string
}

func (f *fakeStore) Current() (configuration.Current, bool) {
	return configuration.Current{Version: 2, InForce: 2, Raw: "second\n", UpToDate: time.Now()}, true
}

func (f *fakeStore) Publish(_ context.Context, request configuration.PublishRequest) (configuration.PublishResult, error) {
	f.publishIDs = append(f.publishIDs, request.PublishID)
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return configuration.PublishResult{}, errkind.New(errkind.Unknown, "publish again", "not confirmed")
	}
	if request.BaseVersion != 2 {
		return configuration.PublishResult{Result: configuration.LostRace, Version: 2, Difference: "-second\n"}, nil
	}
	return configuration.PublishResult{Result: configuration.Accepted, Version: 3}, nil
}

func (f *fakeStore) History() []configuration.Entry {
	return []configuration.Entry{{PublishID: "p1", Accepted: true, Version: 1}, {PublishID: "p2", Version: 1}}
}

func (f *fakeStore) VersionText(_ context.Context, version uint64) (string, error) {
	if version > 2 {
		return "", errkind.New(errkind.NotFound, "list the versions", "version %d is not known", version)
	}
	return map[uint64]string{1: "first\n", 2: "second\n"}[version], nil
}

// fixture is a server with the real handlers for configuration and status, and a fake one for waiting on a job. From its
// third call on, the fake one answers that the job has ended in the state that the job's id names.
type fixture struct {
	*httptest.Server
	store  *fakeStore
	events *event.Log
	done   chan struct{}
	waits  atomic.Int32 // calls that waited for a job
}

func newFixture(t *testing.T) *fixture {
	t.Setenv("DOGWOODNOTCH_TOKEN", token)
	f := &fixture{store: &fakeStore{}, events: event.Discard(), done: make(chan struct{})}
	auth := &api.Authenticator{OperatorTokensSHA256: []string{fmt.Sprintf("%x", sha256.Sum256([]byte(token)))}}
	router := mux.NewRouter()
	(&api.Config{Auth: auth, Store: f.store}).Register(router)
	section := []api.Section{{Name: "membership", Collect: func(context.Context) any { return map[string]int{"live": 9} }}}
	(&api.Status{
		Auth: auth, Status: section, Dump: section, Events: f.events, Done: f.done, Metrics: http.NotFoundHandler(),
		Ready: func() error { return errors.New("no configuration") },
	}).Register(router)
	router.HandleFunc("/v1/jobs/{id}/wait", func(w http.ResponseWriter, r *http.Request) {
		state := structs.JobRunning
		if f.waits.Add(1) > 2 {
			state = structs.JobState(mux.Vars(r)["id"])
		}
		api.WriteJSON(w, http.StatusOK, scheduler.JobStatus{ID: "j", State: state})
	})
	f.Server = httptest.NewUnstartedServer(router)
	f.Config.ReadTimeout = 100 * time.Millisecond // shorter than the calls that wait for a job or follow events
	f.Start()
	t.Cleanup(f.Close)
	return f
}

func (f *fixture) run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(context.Background(), append(args, "--server="+f.URL), &out, &errs)
	return code, out.String(), errs.String()
}

// Guards against unnoticed changes of exit codes and outputs that scripts rely on.
func TestCommands(t *testing.T) {
	f := newFixture(t)
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	assert.NilError(t, os.WriteFile(broken, []byte("deployment: 5\n"), 0o600))
	record := filepath.Join(t.TempDir(), "record.json")
	assert.NilError(t, os.WriteFile(record, []byte(`{"version": 1, "routes": [{"name": "a", "host": "h", "path_prefix": "/a/", "service": "s"}],
		"tenants": [{"name": "t", "api_keys": ["k"], "guaranteed": {"gpu": 9}}]}`), 0o600))
	rows := []struct {
		args []string
		code int
		want string // contained in stdout or stderr
	}{
		{[]string{"check", textFile}, 0, "valid"},
		{[]string{"check", "--settings", "../../examples/alokpath/settings.yaml"}, 0, "valid"},
		{[]string{"check", broken}, 2, "broken.yaml:1:13: deployment: wrong type"},
		{[]string{"check", textFile, "--against", textFile}, 0, "text.yaml: valid"},
		{[]string{"check", textFile, "--against", "../../examples/alokpath/text.yaml"}, 0, `differs: deployment: "swan-coast", was "alokpath"`},
		{[]string{"check", textFile, "--against", "2"}, 0, "differs"},
		{[]string{"check", textFile, "--against", "9"}, 4, "version 9 is not known"},
		{[]string{"check", textFile, "--against", "missing.yaml"}, 4, "remedy: give the path"},
		{[]string{"check", broken, "--against", textFile}, 2, "broken.yaml:1:13: error: deployment: wrong type"},
		{[]string{"check", record, "--accelerators", "8"}, 2, "record.json:2:70: contradicts: tenants[0].guaranteed.gpu"},
		{[]string{"check", record, "--against", textFile}, 2, "one form"},
		{[]string{"check", "--settings", textFile, "--against", "1"}, 2, "settings are not compared"},
		{[]string{"check", "missing.yaml"}, 4, "remedy: give the path"},
		{[]string{"no-such-command"}, 2, "cannot understand the command"},
		{[]string{"serve", "--settings", broken}, 2, `unknown key "deployment"`},
		{[]string{"publish", textFile}, 0, "accepted as version 3"},
		{[]string{"publish", textFile, "--base=1"}, 5, "-second"},
		{[]string{"publish", broken}, 2, "wrong type"},
		{[]string{"show"}, 0, "second"},
		{[]string{"show", "--version=1"}, 0, "first"},
		{[]string{"show", "--version=9"}, 4, "version 9 is not known"},
		{[]string{"show", "--token=wrong"}, 3, "an operator's token"},
		{[]string{"history"}, 0, "lost_race"},
		{[]string{"diff"}, 0, "-first\n+second"},
		{[]string{"diff", broken}, 0, "-second\n+deployment: 5"},
		{[]string{"status"}, 0, "live: 9\n"},
		{[]string{"dump", f.URL}, 0, "live: 9\n"},
		{[]string{"dump", "127.0.0.1:1"}, 7, "cannot connect"},
		{[]string{"job", "wait", "finished"}, 0, "finished"},
		{[]string{"job", "wait", "failed"}, 9, "job failed is failed"},
		{[]string{"job", "show", "x"}, 1, "status 404"},
		{[]string{"--help"}, 0, "5 conflict or lost_race"},
	}
	for _, row := range rows {
		code, stdout, stderr := f.run(row.args...)
		assert.Check(t, cmp.Equal(code, row.code), "%v: %s%s", row.args, stdout, stderr)
		assert.Check(t, cmp.Contains(stdout+stderr, row.want), "%v", row.args)
		if row.args[0] == "--help" {
			continue
		}
		_, stdout, stderr = f.run(append(row.args, "--output=json")...)
		for _, output := range []string{stdout, stderr} {
			assert.Check(t, output == "" || json.Valid([]byte(output)), "%v: %s", row.args, output)
		}
		assert.Check(t, stdout+stderr != "", "%v", row.args)
	}
}

// Guards against a retry that publishes a second time. It must use the same publish id.
func TestPublishRetriesWithSameID(t *testing.T) {
	f := newFixture(t)
	f.store.loseAnswers = 2
	code, stdout, stderr := f.run("publish", textFile, "--base=2", "--timeout=10s")
	assert.Equal(t, code, 0, stdout+stderr)
	assert.Equal(t, len(f.store.publishIDs), 3)
	assert.Equal(t, f.store.publishIDs[0], f.store.publishIDs[2])
	f.store.loseAnswers = 1000
	code, _, stderr = f.run("publish", textFile, "--base=2", "--timeout=100ms", "--publish-id=mine")
	assert.Equal(t, code, 8)
	assert.Assert(t, cmp.Contains(stderr, "--publish-id=mine --base=2"))
}

// Guards against a follower that misses events, and against one whose connection stays open when the instance drains.
func TestEventsFollow(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	f := newFixture(t)
	definition := event.Definition{Number: 7, Name: "something happened"}
	f.events.Emit(definition, event.F("n", 1))
	f.events.Emit(definition, event.F("n", 2))
	go func() {
		time.Sleep(400 * time.Millisecond)
		f.events.Emit(definition, event.F("n", 3))
		time.Sleep(50 * time.Millisecond)
		close(f.done)
	}()
	code, stdout, stderr := f.run("events", "--follow", "--since=1", "--output=json")
	assert.Equal(t, code, 7, stderr) // the instance ended the stream
	assert.Equal(t, strings.Count(stdout, "\n"), 2, stdout)
	assert.Assert(t, cmp.Contains(stdout, `"n":"3"`))
	f.Close()
}

// Guards against health checks that need a token, and against operators' calls that don't.
func TestHealth(t *testing.T) {
	f := newFixture(t)
	for path, want := range map[string]int{"/healthz/live": 200, "/healthz/ready": 503, "/v1/status": 401, "/dump": 401, "/v1/config": 401} {
		response, err := http.Get(f.URL + path)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, want, path)
		assert.Equal(t, response.Header.Get("Content-Length") != "", true, fmt.Sprint(path))
	}
}
