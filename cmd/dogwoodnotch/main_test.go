package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a SIGHUP in the first milliseconds of an instance that ends it: the signal is taken before anything but parts of the
// standard library is initialised.
func TestHangupsAreTakenBeforeOtherPackagesAreInitialised(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "dogwoodnotch")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	command := exec.CommandContext(t.Context(), binary, "--help")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	output, err = command.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	var packages []string
	for _, m := range regexp.MustCompile(`(?m)^init (\S+) @`).FindAllStringSubmatch(string(output), -1) {
		packages = append(packages, m[1])
	}
	at := slices.Index(packages, "dogwoodnotch.example/dogwoodnotch/internal/hangup")
	assert.Assert(t, at >= 0, "%s", output)
	for _, earlier := range packages[:at] {
		root, _, _ := strings.Cut(earlier, "/")
		assert.Assert(t, !strings.Contains(root, ".") && earlier != "net/http", "%s is initialised earlier", earlier)
	}
}
