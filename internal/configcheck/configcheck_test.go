package configcheck

import (
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const validRecord = `{"version": 7,
 "routes": [
  {"name": "plans", "host": "jobs.example", "path_prefix": "/plans/", "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 1, "service": "render", "stretch": 3.0},
  {"name": "checks", "host": "jobs.example", "path_prefix": "/checks/", "service": "render", "priority": 0}
 ],
 "services": [{"name": "render", "health_path": "/health"}],
 "limits": {"max_body_bytes": 65536, "header_timeout_ms": 3000},
 "tenants": [
  {"name": "club", "api_keys": ["secret-1", "secret-2"], "guaranteed": {"gpu": 40}},
  {"name": "guests", "api_keys": ["secret-3"]}
 ]}`

func example(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/swan-coast/text.yaml")
	assert.NilError(t, err)
	return string(data)
}

// change is a change of one place of a configuration, and a finding that it leads to.
type change struct{ old, new, finding string }

// contains checks that a finding is among those of a change.
func (c change) contains(t *testing.T, findings []Finding) {
	t.Helper()
	var lines []string
	for _, f := range findings {
		assert.Check(t, f.Line >= 1 && f.Column >= 1 && f.Message != "" && f.Remedy != "", "%+v", f)
		lines = append(lines, f.String())
	}
	found := slices.ContainsFunc(lines, func(line string) bool { return strings.Contains(line, c.finding) })
	assert.Check(t, found, "%q -> %q: want %q, got:\n%s", c.old, c.new, c.finding, strings.Join(lines, "\n"))
}

// Guards against a check that no longer works, and against a configuration without faults that has findings.
func TestFaultsAreFound(t *testing.T) {
	valid := map[Format]string{Text: example(t), Record: validRecord}
	for format, text := range valid {
		assert.Equal(t, FormatOf([]byte(text)), format)
		assert.Equal(t, len(Check([]byte(text), Options{Accelerators: 40})), 0, "%v", Check([]byte(text), Options{Accelerators: 40}))
	}
	for format, changes := range map[Format][]change{
		Record: {
			{`"version": 7,`, `"version": 7`, "2:2: error: not valid JSON"},
			{`"timeout_ms": 3000`, `"timeout_ms": "3 s"`, "error: routes.timeout_ms: wrong type of value: string"},
			{`"version": 7`, `"version": 0`, "1:13: error: version: the version 0 is not positive"},
			{`"version": 7`, `"version": 7, "Version": 8`, `1:16: error: Version: key "Version" occurs twice`},
			{`"name": "checks"`, `"name": "plans"`, `4:12: error: routes[1].name: the name "plans" occurs twice`},
			{`"name": "checks"`, `"name": ""`, "error: routes[1].name: the queue has no name"},
			{`/checks/`, `/plans/`, `4:61: never matches: routes[1].path_prefix: queue "checks" is hidden by queue "plans"`},
			{`/checks/`, `checks/`, "never matches: routes[1].path_prefix: paths begin with a slash"},
			{`"/checks/", "service": "render"`, `"/checks/", "service": "rendre"`, `never matches: routes[1].service: there is no service "rendre"`},
			{`"/checks/", "service": "render"`, `"/checks/"`, `never matches: routes[1].service: there is no service ""`},
			{`"checks", "host": "jobs.example"`, `"checks", "host": "jobs.example:80"`, "never matches: routes[1].host: the port"},
			{`"checks", "host": "jobs.example"`, `"checks"`, "never matches: routes[1].host: requests name a host"},
			{`/checks/`, `/plans/beef`, `contradicts: routes[1].path_prefix: jobs of queue "plans" whose ids begin with "beef"`},
			{`"timeout_ms": 3000, `, `"timeout_ms": 999, `, "3:85: contradicts: routes[0].timeout_ms: the timeout of 999ms is shorter than the target latency of 1s"},
			{`"stretch": 3.0`, `"stretch": 0.5`, "contradicts: routes[0].stretch"},
			{`"priority": 0`, `"priority": -1`, "error: routes[1].priority: the value is negative"},
			{`"gpu": 40`, `"gpu": 41`, "contradicts: tenants[0].guaranteed.gpu: the fleet has 40 accelerators"},
			{`"gpu": 40`, `"gpu": -1`, "error: tenants[0].guaranteed.gpu"},
			{`["secret-3"]`, `[]`, `10:34: never matches: tenants[1].api_keys: nobody can act for tenant "guests"`},
			{`["secret-3"]`, `["secret-1"]`, `error: tenants[1].api_keys[0]: the key is also that of tenant "club"`},
			{`"name": "guests"`, `"name": "club"`, `error: tenants[1].name: the name "club" occurs twice`},
			{`"header_timeout_ms": 3000`, `"header_timeout_ms": -5`, "error: limits.header_timeout_ms: the value is negative"},
		},
		Text: {
			{"weight: 4", "weight: four", "17:13: error: customers[0].weight: wrong type"},
			{"    token_sha256: [c205e78f4b0b7d62fc6b68008558c7dcc1493a6d459ce10fb4454f653b6b4824]\n", "", "16:5: never matches: customers[0].token_sha256: nobody can act"},
			{"max_accelerators: 64, max_run_time: 1h", "max_accelerators: 128, max_run_time: 1h", ""},
			{"max_accelerators: 64, max_run_time: 6h", "max_accelerators: 129, max_run_time: 6h", "error: job_kinds[0].max_accelerators"},
			{"quota: {accelerators: 32}", "quota: {accelerators: 0}", ""},
			{"count: 1, accelerators: 1, urgency: 80", "count: 40, customer: day-visitors, accelerators: 1, urgency: 80", "contradicts: customers[3].quota.accelerators: the services' tasks need 40"},
		},
	} {
		for _, c := range changes {
			assert.Assert(t, cmp.Contains(valid[format], c.old))
			findings := Check([]byte(strings.Replace(valid[format], c.old, c.new, 1)), Options{Accelerators: 40})
			assert.Check(t, IsFault(findings) == (c.finding != ""), "%q: %v", c.new, findings)
			if c.finding != "" {
				c.contains(t, findings)
			}
		}
	}
}

// Guards against differences that are not reported or do not exist, and against output of secrets.
func TestDifferencesAreFound(t *testing.T) {
	for older, changes := range map[string][]change{
		validRecord: {
			{`"timeout_ms": 3000`, `"timeout_ms": 2000`, `3:85: differs: routes[plans].timeout_ms: "2000", was "3000"`},
			{`, "priority": 0}`, `}`, `4:3: differs: routes[checks].priority: removed; it was "0"`},
			{`"name": "checks"`, `"name": "others"`, `2:12: differs: routes[checks]: removed`},
			{`"name": "checks"`, `"name": "others"`, `4:3: differs: routes[others]: added`},
			{`"secret-2"`, `"secret-4"`, "differs: tenants[club].api_keys[hidden]: added: a secret"},
			{`"version": 7`, `"version": 6`, ""},
			{`"gpu": 40`, `"gpu": 41`, "1:13: error: version: version 7 is not newer than version 7"},
			{`"limits": {`, `"limits": 5, "was": {`, "differs: limits: it has another form"},
			{`"stretch": 3.0`, `"stretch": 3`, ""},
			{`"stretch": 3.0`, `"stretch": 3.01`, "differs: routes[plans].stretch"},
		},
		example(t): {
			{"deadline: 2s", "deadline: 2000ms", ""},
			{"deadline: 2s", "deadline: 3s", `differs: services[raft-booking].kinds[book].deadline: "3s", was "2s"`},
			{"size: 8, count: 2", "size: 8, count: 3", `20:50: differs: customers[harbour-clubs].guarantees[fremantle/8].count: "3", was "2"`},
			{"[c205e78f4b0b7d62fc6b68008558c7dcc1493a6d459ce10fb4454f653b6b4824]", "[]", "token_sha256[hidden]: removed; it was a secret"},
			{"deployment: swan-coast", "deployment:", "differs: deployment"},
		},
	} {
		for _, c := range changes {
			findings, err := Compare([]byte(older), []byte(strings.Replace(older, c.old, c.new, 1)))
			assert.NilError(t, err)
			if c.finding == "" {
				assert.Check(t, len(findings) == 0, "%q: %v", c.new, findings)
				continue
			}
			c.contains(t, findings)
			for _, f := range findings {
				assert.Check(t, !strings.Contains(f.String(), "secret-") && !strings.Contains(f.String(), "c205e"), "%v", f)
			}
		}
	}
	_, err := Compare([]byte(validRecord), []byte(example(t)))
	assert.ErrorContains(t, err, "different forms")
}

// Guards against input that crashes the check, and against findings without position or remedy.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(validRecord))
	f.Add([]byte(example(f)))
	f.Add([]byte("a: *b\nc:\n- \n"))
	f.Add([]byte(`{"routes":[null,{"name":null}],"tenants":[{"api_keys":null}],"limits":null,"services":[7]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		findings := Check(data, Options{Accelerators: 1})
		differences, err := Compare(data, data)
		assert.Check(t, err != nil || len(differences) == 0, "%v", differences)
		for _, older := range []string{validRecord, example(t)} {
			more, err := Compare([]byte(older), data)
			if err == nil {
				findings = append(findings, more...)
			}
		}
		for _, f := range findings {
			assert.Check(t, f.Line >= 1 && f.Column >= 1 && f.Message != "" && f.Remedy != "", "%+v", f)
		}
	})
}
