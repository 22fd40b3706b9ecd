package spec

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/spec/strict"
)

func example(t testing.TB, deployment string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", deployment, "text.yaml"))
	assert.NilError(t, err)
	return string(data)
}

// Guards against example texts that the checks refuse, and against values that decoding loses.
func TestExamplesPass(t *testing.T) {
	for deployment, centres := range map[string]int{"swan-coast": 3, "alokpath": 4} {
		text, err := Parse([]byte(example(t, deployment)))
		assert.NilError(t, err)
		assert.Equal(t, text.Deployment, deployment)
		assert.Equal(t, len(text.DataCentres), centres)
		assert.Equal(t, len(text.Customers), 4)
		kind := text.Services[1].Kinds[0]
		assert.Assert(t, kind.Deadline >= time.Second && kind.Share == 0.5 && kind.Urgency == 90)
		assert.Equal(t, text.Services[1].Minions.Slots, 8)
	}
}

// Guards against a check that no longer works. Each row changes one place of a valid text and gives the expected problem;
// at is the start of its line and column, if given.
func TestEveryRefusal(t *testing.T) {
	valid := example(t, "swan-coast")
	const (
		dc      = "racks: {count: 2, workers_per_rack: 8, accelerators_per_worker: 8, cores_per_worker: 64, memory_gb_per_worker: 256}"
		solver  = "{name: solver, count: 1, accelerators: 1, urgency: 80, data_centres: [fremantle, perth-city, mandurah]}"
		plan    = "{name: season-plan, urgency: 20, max_accelerators: 64, max_run_time: 6h, checkpoint: 4s, max_attempts: 20}"
		book    = "{name: book, urgency: 90, deadline: 2s, idempotent: false, share: 0.5, run_time: 50ms}"
		ferries = "name: island-ferries"
		large   = "size: 64, count: 1"
		small   = "size: 8, count: 2"
	)
	rows := []struct{ old, new, at, message string }{
		// YAML and types.
		{"deployment: swan-coast", "deployment: [", "4:13", "not valid YAML"},
		{"deployment: swan-coast", "deployment: \xff", "4:1", "not valid UTF-8"},
		{"deployment: swan-coast", "--- a\n---\ndeployment: swan-coast", "6:1", "2 documents"},
		{"deployment: swan-coast", "deployment: " + strings.Repeat("[", 40), "4:45", "levels of nesting"},
		{"deployment: swan-coast", "deployment: " + strings.Repeat("x", MaxBytes), "1:1", "at most 1048576"},
		{"deployment: swan-coast", "deployment: [" + strings.Repeat("a,", 70000) + "]", "1:1", "at most 40000"},
		{"deployment: swan-coast", "deploiment: swan-coast", "4:1", `unknown key "deploiment"`},
		{"deployment: swan-coast", "deployment: swan-coast\ndeployment: b", "5:1", "occurs twice in the same mapping"},
		{"deployment: swan-coast", "deployment:", "4:1", "the value is empty"},
		{"deployment: swan-coast", "deployment: 5", "4:13", "wrong type of value: a whole number"},
		{"deployment: swan-coast", "deployment: &a swan-coast", "4:13", "anchors, aliases"},
		{"weight: 4", "weight: four", "17:13", "wrong type of value: a string"},
		{"weight: 4", "weight: .nan", "17:13", "wrong type of value"},
		{"weight: 4", "weight: [4]", "17:13", "wrong type of value: a list"},
		{"urgency: 20", "urgency: 2.5", "", "wrong type of value: a number of another form"},
		{"deadline: 2s", "deadline: 2", "", "wrong type of value: a whole number"},
		{"deadline: 2s", "deadline: soon", "", "wrong type of value"},
		{"idempotent: false", "idempotent: no", "", "wrong type of value"},
		{"quota: {accelerators: 128}", "quota: 128", "", "wrong type of value"},
		{"limits: {callers", "limits: {5: 6, callers", "", "is not a string"},
		// Names and lists.
		{"deployment: swan-coast", "", "1:1", "a name is required"},
		{"deployment: swan-coast", "deployment: Swan", "4:1", "not a valid name"},
		{"deployment: swan-coast", "deployment: " + strings.Repeat("a", 129), "4:1", "129 bytes"},
		{"name: perth-city", "name: fremantle", "9:5", `"fremantle" occurs twice`},
		{ferries, "name: harbour-clubs", "", `"harbour-clubs" occurs twice`},
		{"name: booking-check", "name: book", "", `"book" occurs twice`},
		{"name: storm-plan", "name: season-plan", "", `"season-plan" occurs twice`},
		{"- name: raft-booking", "- name: tide-model", "", `"tide-model" occurs twice`},
		// Data centres.
		{dc, strings.Replace(dc, "count: 2", "count: 0", 1), "8:13", "0 is out of range; 1 to 10000"},
		{dc, strings.Replace(dc, "workers_per_rack: 8", "workers_per_rack: 2000", 1), "", "2000 is out of range"},
		{dc, strings.Replace(dc, "accelerators_per_worker: 8", "accelerators_per_worker: 65", 1), "", "65 is out of range"},
		{dc, strings.Replace(dc, "cores_per_worker: 64", "cores_per_worker: -1", 1), "", "-1 is out of range"},
		{dc, strings.Replace(dc, "memory_gb_per_worker: 256", "memory_gb_per_worker: 0", 1), "", "0 is out of range"},
		// Customers and guarantees.
		{"weight: 4", "weight: 0", "17:5", "0 is out of range"},
		{"token_sha256: [", "token_sha256: [abc, ", "", "not a SHA-256"},
		{"token_sha256: [", "token_sha256: [" + strings.Repeat("ab", 32) + ", " + strings.Repeat("AB", 32) + ", ", "", "token occurs twice"},
		{"quota: {accelerators: 128}", "quota: {accelerators: 8}", "", "below the 80 accelerators guaranteed in fremantle"},
		{"quota: {accelerators: 128}", "quota: {accelerators: -1}", "", "-1 is out of range"},
		{"- {data_centre: fremantle, size: 8", "- {data_centre: albany, size: 8", "20:10", `unknown data centre "albany"`},
		{small, "size: 8, count: 0", "", "0 is out of range"},
		{small, "size: 0, count: 2", "", "0 is out of range; 1 to 128"},
		{small, "size: 6, count: 2", "", "does not divide a worker"},
		{small, "size: 12, count: 2", "", "not a whole number of workers"},
		{large, "size: 72, count: 1", "", "not a whole number of racks"},
		{large, "size: 8, count: 1", "21:9", "guaranteed twice"},
		{small, "size: 24, count: 2", "", "size 64 is not a multiple of size 24"},
		{large, "size: 64, count: 2", "20:9", "need 18 cells of 8 accelerators"},
		{small, "size: 8, count: 17", "20:9", "need 25 cells of 8 accelerators"},
		// Services.
		{"depends_on: [tide-model]", "depends_on: [moon-model]", "", `unknown service "moon-model"`},
		{"depends_on: [tide-model]", "depends_on: [tide-model, tide-model]", "", "listed twice"},
		{"depends_on: [tide-model]", "depends_on: [raft-booking]", "", "cycle: raft-booking -> raft-booking"},
		{"- name: tide-model", "- name: tide-model\n    depends_on: [raft-booking]", "", "cycle: tide-model -> raft-booking -> tide-model"},
		{"tasks:\n      - " + solver, "depends_on: []", "", "neither tasks nor minions"},
		{solver, strings.Replace(solver, "count: 1", "count: 0", 1), "", "0 is out of range"},
		{solver, strings.Replace(solver, "accelerators: 1", "accelerators: 0", 1), "", "0 is out of range"},
		{solver, strings.Replace(solver, "accelerators: 1", "accelerators: 129", 1), "", "do not fit fremantle"},
		{solver, strings.Replace(solver, "urgency: 80", "urgency: 101", 1), "", "101 is out of range; 0 to 100"},
		{solver, strings.Replace(solver, "mandurah", "albany", 1), "", "unknown data centre"},
		{solver, strings.Replace(solver, "mandurah", "fremantle", 1), "", "listed twice"},
		{solver, strings.Replace(solver, "[fremantle, perth-city, mandurah]", "[]", 1), "", "0 entries are too few"},
		{solver, strings.Replace(solver, "count: 1", "count: 1, customer: nobody", 1), "", `unknown customer "nobody"`},
		{"    minions: {slots: 8, connections: 64}\n", "", "", "kinds of requests but no minions"},
		{"slots: 8, connections: 64", "slots: 9, connections: 64", "", "9 is out of range; 1 to 8"},
		{"slots: 8, connections: 64", "slots: 8, connections: 65", "", "65 is out of range; 18 to 64"},
		{"slots: 8, connections: 64", "slots: 8, connections: 17", "", "17 is out of range; 18 to 64"},
		{book, strings.Replace(book, "urgency: 90", "urgency: -1", 1), "", "-1 is out of range"},
		{book, strings.Replace(book, "deadline: 2s", "deadline: 2h", 1), "", "2h0m0s is out of range"},
		{book, strings.Replace(book, "run_time: 50ms", "run_time: 3s", 1), "", "longer than the deadline"},
		{book, strings.Replace(book, "run_time: 50ms", "run_time: 0s", 1), "", "0s is out of range"},
		{book, strings.Replace(book, "share: 0.5", "share: 1.5", 1), "", "1.5 is out of range"},
		{book, strings.Replace(book, "share: 0.5", "share: 0.7", 1), "", "sum to 1.1"},
		// Jobs and limits.
		{plan, strings.Replace(plan, "max_accelerators: 64", "max_accelerators: 129", 1), "", "129 is out of range; 1 to 128"},
		{plan, strings.Replace(plan, "max_run_time: 6h", "max_run_time: 0s", 1), "", "0s is out of range"},
		{plan, strings.Replace(plan, "checkpoint: 4s", "checkpoint: 6s", 1), "", "6s is out of range; 0s to 5s"},
		{plan, strings.Replace(plan, "max_attempts: 20", "max_attempts: 0", 1), "", "0 is out of range"},
		{"callers_per_customer: 1000", "callers_per_customer: 0", "", "0 is out of range"},
		{"queued_requests: 4096", "queued_requests: 0", "", "0 is out of range"},
		{"queued_jobs: 20000", "queued_jobs: 0", "", "0 is out of range"},
		{"request_body_bytes: 8388608", "request_body_bytes: 8388609", "", "8388609 is out of range"},
	}
	for _, row := range rows {
		assert.Assert(t, cmp.Contains(valid, row.old))
		_, problems := Check([]byte(strings.Replace(valid, row.old, row.new, 1)))
		found := false
		var lines []string
		for _, p := range problems {
			assert.Assert(t, p.Line >= 1 && p.Column >= 1 && p.Remedy != "", "%+v", p)
			found = found || strings.Contains(p.Message, row.message) && strings.HasPrefix(p.String(), row.at)
			lines = append(lines, p.String())
		}
		assert.Check(t, found, "%q -> %.80q: want %s %q, got:\n%s", row.old, row.new, row.at, row.message, strings.Join(lines, "\n"))
	}
}

// Guards against a report that stops at the first problem.
func TestAllProblemsAreReported(t *testing.T) {
	text := strings.NewReplacer("weight: 4", "weight: -1", "checkpoint: 4s", "checkpoint: 9s", "share: 0.5", "share: 2").Replace(example(t, "swan-coast"))
	_, err := Parse([]byte(text))
	assert.Assert(t, errkind.Is(err, errkind.Invalid))
	var refused *strict.Error
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, len(refused.Problems), 5) // two weights, one share, their sum, one checkpoint
	for i := 1; i < len(refused.Problems); i++ {
		assert.Assert(t, refused.Problems[i-1].Line <= refused.Problems[i].Line)
	}
}

// Guards against accepting guarantees that do not fit together, and against refusing ones that do. It compares the counting
// rule of checkCapacity with a search that places every cell.
func TestCapacityCheckAgreesWithSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		racks := Racks{
			Count:                 rapid.IntRange(1, 4).Draw(t, "racks"),
			WorkersPerRack:        rapid.IntRange(1, 6).Draw(t, "workers"),
			AcceleratorsPerWorker: 1 << rapid.IntRange(0, 2).Draw(t, "accelerators"),
		}
		var sizes []int
		for size := 1; size <= racks.accelerators(); size++ {
			c := &checker{report: strict.Decode(nil, &Text{})}
			if c.checkSize("", size, racks) && (len(sizes) == 0 || size%sizes[len(sizes)-1] == 0) && rapid.Bool().Draw(t, "use") {
				sizes = append(sizes, size)
			}
		}
		var all []guaranteeAtPath
		for _, size := range sizes {
			all = append(all, guaranteeAtPath{Guarantee: Guarantee{Size: size, Count: rapid.IntRange(1, 5).Draw(t, "count")}})
		}
		report := &strict.Report{}
		c := &checker{report: report}
		c.checkCapacity(DataCentre{Racks: racks}, all)
		assert.Equal(t, len(report.Problems()) == 0, searchFits(racks, all), "%+v %+v", racks, all)
	})
}

// searchFits reports whether all cells fit when they are placed largest first, each in the first free aligned place.
func searchFits(racks Racks, sorted []guaranteeAtPath) bool {
	worker, rack := racks.AcceleratorsPerWorker, racks.perRack()
	free := make([]bool, racks.accelerators())
	for i := range free {
		free[i] = true
	}
	for i := len(sorted) - 1; i >= 0; i-- {
		size := sorted[i].Size
		for range sorted[i].Count {
			found := false
			for start := 0; start+size <= len(free) && !found; start++ {
				unit := max(rack, size) // cells are aligned to the start of their worker, rack or data centre
				if size <= worker {
					unit = worker
				}
				inside := start % rack
				aligned := start%unit%size == 0
				if size > worker && size <= rack {
					aligned = inside%size == 0 && inside+size <= rack
				}
				found = aligned && take(free[start:start+size])
			}
			if !found {
				return false
			}
		}
	}
	return true
}

// take marks the accelerators as used and returns true if all of them were free.
func take(accelerators []bool) bool {
	for _, free := range accelerators {
		if !free {
			return false
		}
	}
	for i := range accelerators {
		accelerators[i] = false
	}
	return true
}

// Guards against input that crashes or stalls the parser, and against problems without position or remedy.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f, "swan-coast")))
	f.Add([]byte(example(f, "alokpath")))
	f.Fuzz(func(t *testing.T, data []byte) {
		text, problems := Check(data)
		assert.Assert(t, text != nil)
		for _, p := range problems {
			assert.Assert(t, p.Line >= 1 && p.Column >= 1 && p.Message != "" && p.Remedy != "", "%+v", p)
		}
		again, err := Parse(data)
		assert.Equal(t, err == nil, len(problems) == 0)
		assert.Equal(t, again != nil, err == nil)
	})
}
