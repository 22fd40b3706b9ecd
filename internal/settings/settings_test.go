package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

func example(t testing.TB, deployment string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", deployment, "settings.yaml"))
	assert.NilError(t, err)
	return string(data)
}

// Guards against example settings that do not load, and against lost defaults when only part of timing is given.
func TestExamplesLoad(t *testing.T) {
	for _, deployment := range []string{"swan-coast", "alokpath"} {
		s, err := Load(filepath.Join("..", "..", "examples", deployment, "settings.yaml"))
		assert.NilError(t, err)
		assert.Equal(t, s.PeerAdvertise, s.PeerListen)
		assert.Equal(t, s.Timing, DefaultTiming())
	}
	_, err := Load("missing.yaml")
	assert.Assert(t, errkind.Is(err, errkind.NotFound))
}

// Guards against a check that no longer works. Each row changes one place of valid settings and gives the expected message.
func TestEveryRefusal(t *testing.T) {
	valid := example(t, "swan-coast")
	rows := []struct{ old, new, message string }{
		{"instance: fremantle-1", "", "instance: a value is required"},
		{"instance: fremantle-1", "instance: " + strings.Repeat("a", 129), "129 bytes"},
		{"data_centre: fremantle", "data_centr: fremantle", `unknown key "data_centr"`},
		{"region: wa-south", "", "region: a value is required"},
		{"listen: 127.0.0.1:7100", "", "listen: an address is required"},
		{"listen: 127.0.0.1:7100", "listen: 127.0.0.1", "not host:port"},
		{"listen: 127.0.0.1:7100", "listen: 127.0.0.1:0", "not host:port"},
		{"listen: 127.0.0.1:7100", "listen: localhost:7100", "not an IP address"},
		{"listen: 127.0.0.1:7100", "listen: 0.0.0.0:7100", "advertise: others cannot connect"},
		{"peer_listen: 127.0.0.1:7200", "peer_listen: ':7200'", "peer_advertise: others cannot connect"},
		{"log_service: http://127.0.0.1:7000", "log_service: 127.0.0.1:7000", "not an http URL"},
		{"instance_list: http://127.0.0.1:7000", "instance_list: http://127.0.0.1:7000/?a=b", "has a query"},
		{"  - {id: demo,", "#", "peer_keys: the value is empty"},
		{"{id: demo,", "{id: '',", "peer_keys[0].id: a value is required"},
		{"{id: demo,", "{id: demo, use_from: tomorrow,", "wrong type of value"},
		{"{id: demo,", "{id: demo, use_from: 2999-01-01T00:00:00Z,", "no key may be used yet"},
		{"  - {id: demo, secret: ", "  - {id: demo, secret: abc, use_from: 2020-01-01T00:00:00Z}\n  - {id: demo, secret: ", "the secret has 3 bytes"},
		{"  - {id: demo, secret: ", "  - {id: demo, secret: abc, use_from: 2020-01-01T00:00:00Z}\n  - {id: demo, secret: ", `"demo" occurs twice`},
		{"  - {id: demo, secret: ", "  - {id: old, secret: abc}\n  - {id: demo, secret: ", "the same use_from"},
		{"operator_tokens_sha256: [", "operator_tokens_sha256: [] # ", "at least one token"},
		{"operator_tokens_sha256: [", "operator_tokens_sha256: [abc, ", "not a SHA-256"},
		{"log_retention: 1h", "log_retention: 0s", "log_retention: 0s is out of range"},
		{"log_retention: 1h", "worker_session_renew: 2s", "half of worker_session_ttl"},
		{"log_retention: 1h", "worker_session_ttl: 10s", "half of task_lease"},
		{"log_retention: 1h", "heartbeat: 1s", "half of suspect_after"},
		{"log_retention: 1h", "config_poll: 6s", "in force within 5 s"},
		{"log_retention: 1h", "checkpoint_grace: 6s", "within 7.8 s"},
		{"log_retention: 1h", "list_poll: 4s", "no new work after 3 s"},
		{"log_retention: 1h", "minion_status_poll: 4s", "no new work after 3 s"},
		{"instance: fremantle-1", "clients: {header_bytes: 5}\ninstance: fremantle-1", "clients.header_bytes is 5"},
		{"instance: fremantle-1", "clients: {bytes: 5}\ninstance: fremantle-1", `unknown key "bytes"`},
	}
	for _, row := range rows {
		assert.Assert(t, cmp.Contains(valid, row.old))
		_, err := Parse([]byte(strings.Replace(valid, row.old, row.new, 1)))
		assert.Assert(t, errkind.Is(err, errkind.Invalid), "%q", row.new)
		assert.Check(t, cmp.ErrorContains(err, row.message), "%q", row.new)
	}
}

// Guards against secrets in logs and state dumps.
func TestSecretsAreHidden(t *testing.T) {
	s, err := Parse([]byte(example(t, "swan-coast")))
	assert.NilError(t, err)
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	secret := string(s.PeerKeys[0].Secret)
	printed := fmt.Sprintf("%v %+v %#v %s", s.PeerKeys, *s, s.PeerKeys, data)
	assert.Assert(t, !strings.Contains(printed, secret))
}

// Guards against input that crashes the checks, and against problems without position or remedy.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f, "swan-coast")))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, problems := Check(data)
		for _, p := range problems {
			assert.Assert(t, p.Line >= 1 && p.Column >= 1 && p.Message != "" && p.Remedy != "", "%+v", p)
		}
	})
}
