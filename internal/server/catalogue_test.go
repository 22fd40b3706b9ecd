package server_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	_ "dogwoodnotch.example/dogwoodnotch/internal/node"   // defines the events of the node and its packages
	_ "dogwoodnotch.example/dogwoodnotch/internal/server" // defines the events of every package of the daemon
)

const cataloguePath = "../../docs/events.md"

var updateCatalogue = flag.Bool("update-catalogue", false, "write docs/events.md instead of comparing with it")

// Guards against an events page that lacks an event of the code, describes it differently, or lists a removed one.
func TestCatalogueMatchesCode(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every log line of an entry instance carries the number of its event. `dogwoodnotch events --follow` shows the latest\n")
	b.WriteString("ones. This page is written by `go test ./internal/server -run Catalogue -update-catalogue`.\n\n")
	b.WriteString("| number | name | level | meaning | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, d := range event.Catalogue() {
		action := d.Action
		if action == "" {
			action = "Nothing."
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", d.Number, d.Name, d.Level, d.Meaning, action)
	}
	if *updateCatalogue {
		assert.NilError(t, os.WriteFile(cataloguePath, []byte(b.String()), 0o644))
	}
	written, err := os.ReadFile(cataloguePath)
	assert.NilError(t, err)
	assert.Equal(t, string(written), b.String(), "docs/events.md differs from the code; run the test with -update-catalogue")
}

// Guards against event names in another style than lower-case words, which log searches would miss.
func TestEventNamesAreWords(t *testing.T) {
	for _, d := range event.Catalogue() {
		assert.Assert(t, !strings.ContainsAny(d.Name, "_ABCDEFGHIJKLMNOPQRSTUVWXYZ"), "event %d is named %q; use lower-case words with spaces", d.Number, d.Name)
	}
}
