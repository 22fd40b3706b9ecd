package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// Guards against lines in the wrong order, lines of other jobs, and lines missed because of a log collector's prefix.
func TestTraceMergesLinesOfOneJob(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one.log"), filepath.Join(dir, "two.log")
	assert.NilError(t, os.WriteFile(one, []byte(`{"level":"info","instance":"entry-1","event":2501,"job":"aa","state":"completed","time":"2026-12-04T10:00:02.500Z","message":"job concluded"}
not json
{"level":"info","instance":"entry-1","event":2600,"job":"bb","time":"2026-12-04T10:00:01Z","message":"job accepted"}
`), 0o600))
	assert.NilError(t, os.WriteFile(two, []byte(`  12.1 entry-2 {"level":"info","instance":"entry-2","event":2600,"job":"aa","time":"2026-12-04T10:00:01.250Z","message":"job accepted"}
`), 0o600))
	var stdout, stderr bytes.Buffer
	assert.Equal(t, Run(context.Background(), []string{"trace", "aa", one, two}, &stdout, &stderr), 0)
	lines := strings.Split(strings.TrimSpace(stdout.String()), "\n")
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.HasPrefix(lines[0], "10:00:01.250  2600 job accepted"), lines[0])
	assert.Assert(t, strings.HasSuffix(lines[1], "job=aa state=completed"), lines[1])
	assert.Equal(t, Run(context.Background(), []string{"trace", "cc", one}, &stdout, &stderr), errkind.NotFound.Exit)
}
