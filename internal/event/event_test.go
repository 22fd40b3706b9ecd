package event

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

var eventTest = Define(9999, "test", zerolog.InfoLevel, "Only used by tests.", "")

// Guards against a process that ends for want of memory since the latest events hold what others wrote, such as a number with hundreds
// of thousands of digits, and against log lines of that size.
func TestLongFieldValuesAreCut(t *testing.T) {
	var out bytes.Buffer
	l := NewLog(&out, "instance")
	l.Emit(eventTest, F("cause", strings.Repeat("9", 250_000)), F("name", "short"))
	assert.Assert(t, out.Len() < 2*maxFieldBytes, "the line has %d bytes", out.Len())
	records, _ := l.Since(0)
	assert.Equal(t, len(records), 1)
	assert.Assert(t, len(records[0].Fields["cause"]) < 2*maxFieldBytes)
	assert.Assert(t, strings.HasSuffix(records[0].Fields["cause"], "(250000 bytes)"), records[0].Fields["cause"])
	assert.Equal(t, records[0].Fields["name"], "short")
}

// Guards against a value that is cut within a character, which is no valid text any more.
func TestFieldValuesAreCutBetweenCharacters(t *testing.T) {
	f := F("cause", strings.Repeat("ü", maxFieldBytes))
	assert.Assert(t, strings.HasPrefix(f.Value, strings.Repeat("ü", maxFieldBytes/2-1)))
	assert.Equal(t, strings.ToValidUTF8(f.Value, "?"), f.Value)
}
