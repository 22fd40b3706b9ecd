package codec

import (
	"bytes"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// Guards against a message or record that ends the process: the library panics when it finds a nil in place of a time.
func TestNilInPlaceOfATimeIsAnError(t *testing.T) {
	data, err := msgpack.Marshal(map[string]any{"At": nil})
	assert.NilError(t, err)
	var into struct{ At time.Time }
	assert.ErrorContains(t, Unmarshal(data, &into), "malformed msgpack")
}

func TestWellFormedDataIsDecoded(t *testing.T) {
	at := time.UnixMilli(1700000000000)
	data, err := msgpack.Marshal(map[string]any{"At": at})
	assert.NilError(t, err)
	var into struct{ At time.Time }
	assert.NilError(t, Unmarshal(data, &into))
	assert.Assert(t, into.At.Equal(at))
}

// Guards against a record of a few bytes for which the library allocates all memory, and against values that overflow its stack.
func TestAnnouncedLengthsAndDepthsAreChecked(t *testing.T) {
	var into any
	assert.ErrorIs(t, Unmarshal([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}, &into), ErrMalformed)
	assert.ErrorIs(t, Unmarshal(bytes.Repeat([]byte{0x91}, 1<<20), &into), ErrTooDeep)
	var steps []struct{ A, B, C int64 }
	assert.ErrorIs(t, Unmarshal([]byte{0xdd, 0x0f, 0xff, 0xff, 0xff, 0xc0}, &steps), ErrMalformed)
}
