package demo_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/demo"
)

// runTimeout limits a whole demonstration; make demo is meant to take at most 60 s after the build.
const runTimeout = 150 * time.Second

// Guards against a planned shutdown that cuts, refuses or duplicates a request, or interrupts a running gang: all 9 entry
// instances, each a process of its own, are replaced one after the other under load.
func TestInvariantGracefulShutdown(t *testing.T) {
	verdict := runDemo(t, demo.Options{Text: example(t, "swan-coast"), Faults: []demo.Fault{demo.FaultRolling}})
	assert.Equal(t, verdict.Answered, verdict.Accepted)
}

// Guards against lost, duplicated or cut requests and partial gangs when one entry instance is killed and another is drained.
func TestDemonstration(t *testing.T) {
	for _, deployment := range []string{"swan-coast", "alokpath"} {
		t.Run(deployment, func(t *testing.T) {
			verdict := runDemo(t, demo.Options{Text: example(t, deployment), Faults: demo.DefaultFaults})
			assert.Assert(t, verdict.Duration < time.Minute, "took %v", verdict.Duration)
		})
	}
}

// Guards against lost, duplicated or cut requests and partial gangs when two faults happen at the same time.
func TestTwoFaultsAtOnce(t *testing.T) {
	pairs := [][]demo.Fault{
		{demo.FaultFreeze, demo.FaultLogOutage},
		{demo.FaultKill, demo.FaultLostAnswers},
		{demo.FaultDrain, demo.FaultListOutage},
		{demo.FaultKill, demo.FaultListLag},
	}
	for _, pair := range pairs {
		t.Run(fmt.Sprintf("%s,%s", pair[0], pair[1]), func(t *testing.T) {
			runDemo(t, demo.Options{Text: example(t, "swan-coast"), Faults: pair})
		})
	}
}

// example returns the path of the specification of an example deployment.
func example(t *testing.T, deployment string) string {
	path, err := filepath.Abs(filepath.Join("..", "..", "examples", deployment, "text.yaml"))
	assert.NilError(t, err)
	return path
}

// runDemo builds the programs, runs a demonstration and fails the test if one of its checks fails.
func runDemo(t *testing.T, options demo.Options) *demo.Verdict {
	t.Helper()
	binaries := t.TempDir()
	options.Daemon = build(t, binaries, "dogwoodnotch")
	options.Standin = build(t, binaries, "standin")
	options.Directory = t.TempDir()
	options.Progress = testWriter{t}
	ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
	defer cancel()
	verdict, err := demo.Run(ctx, options)
	if err != nil {
		dumpLogs(t, options.Directory)
	}
	assert.NilError(t, err)
	t.Log(verdict)
	for _, problem := range verdict.Problems {
		t.Log("problem:", problem)
	}
	if !verdict.Passed() {
		dumpLogs(t, options.Directory)
		t.Fatal("the checks of the demonstration failed")
	}
	return verdict
}

func build(t *testing.T, directory, name string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "../../cmd/"+name).CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return path
}

// dumpLogs shows the end of every process's log, so that a failure in CI can be explained.
func dumpLogs(t *testing.T, directory string) {
	logs, err := filepath.Glob(filepath.Join(directory, "*.log"))
	assert.NilError(t, err)
	for _, path := range logs {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		t.Logf("%s: %d bytes, last: %s", filepath.Base(path), len(data), data[max(0, len(data)-400):])
	}
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(string(p))
	return len(p), nil
}
