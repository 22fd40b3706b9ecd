package node

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// load writes and loads settings.
func load(t *testing.T, text string) (*Settings, error) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

// Guards against a template that does not load when the platform leaves out fields, for which it renders nothing.
func TestTemplateLoadsWithAndWithoutOptionalFields(t *testing.T) {
	template, err := os.ReadFile("../../deploy/node.yaml")
	assert.NilError(t, err)
	render := func(fds string) string {
		text := strings.NewReplacer("{{limits.max_fds}}", fds, "{{limits.memory_mb}}", "144", "{{bounds.max_hold_ms}}", "6000").Replace(string(template))
		text = regexp.MustCompile(`"\{\{[^}]*\}\}"`).ReplaceAllString(text, `"x"`)
		return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllString(text, "")
	}
	s, err := load(t, render("3075"))
	assert.NilError(t, err)
	assert.Equal(t, s.Machine.Descriptors, 3075)
	assert.Equal(t, s.clientLimits().Connections, 307)
	s, err = load(t, render(""))
	assert.NilError(t, err)
	assert.Equal(t, s.Machine.Descriptors, 0)
	assert.Assert(t, s.clientLimits().Connections > 0)
}

// Guards against limits for clients that are taken unchecked.
func TestLimitsForClientsAreChecked(t *testing.T) {
	const valid = "instance: e0\nlisten: {jobs: \"a:1\", readiness: \"a:2\"}\nstore: \"a:3\"\nbounds: {lease_ms: 4000}\n"
	s, err := load(t, valid+"clients: {connections: 500, header_bytes: 32768}\n")
	assert.NilError(t, err)
	assert.Equal(t, s.clientLimits().HeaderBytes, 32768)
	for _, text := range []string{"clients: {header_bytes: 5}\n", "clients: {idle_timeout_ms: -1}\n", "machine: {descriptors: -1}\n", "clients: {nothing: 1}\n"} {
		_, err := load(t, valid+text)
		assert.Assert(t, errkind.Is(err, errkind.Invalid), text)
	}
}
