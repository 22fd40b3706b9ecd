package stream

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
)

// kindsFold remembers the kinds of the records that it was given.
type kindsFold struct{ kinds string }

func (f *kindsFold) Apply(record Record)        { f.kinds += record.Kind }
func (f *kindsFold) State() ([]byte, error)     { return []byte(f.kinds), nil }
func (f *kindsFold) Restore(state []byte) error { f.kinds = string(state); return nil }

func keysOf(t *testing.T, ids ...string) *peer.KeyRing {
	var keys []peer.SharedKey
	for _, id := range ids {
		keys = append(keys, peer.SharedKey{ID: id, Secret: []byte(strings.Repeat(id, 32))})
	}
	ring, err := peer.NewKeyRing(keys, nil)
	assert.NilError(t, err)
	return ring
}

func sealed(t *testing.T, stream, kind, keyID string) []byte {
	data, err := seal(stream, kind, keysOf(t, keyID), strings.Repeat(kind, compressFrom))
	assert.NilError(t, err)
	return data
}

func answerOf(records ...[]byte) platform.ReadResponse {
	answer := platform.ReadResponse{Next: uint64(len(records))}
	for i, data := range records {
		answer.Records = append(answer.Records, platform.LogRecord{Offset: uint64(i), Data: data})
	}
	return answer
}

// Guards against instances whose states differ because one of them does not know a key yet, and against one forged or
// damaged record that stops the stream.
func TestRecordsThatCannotBeOpened(t *testing.T) {
	damaged := sealed(t, "s", "x", "a")
	damaged[len(damaged)-1] ^= 1
	answer := answerOf(sealed(t, "s", "A", "a"), damaged, sealed(t, "other", "x", "a"), []byte("junk"),
		sealed(t, "s", "B", "b"), sealed(t, "s", "C", "a"))
	for _, known := range []bool{false, true} {
		keys := keysOf(t, "a")
		if known {
			keys = keysOf(t, "a", "b")
		}
		fold := &kindsFold{}
		reader := NewReader(Options{Stream: "s", Keys: keys, Events: event.Discard(), Metrics: tally.NoopScope}, fold)
		reader.startEmpty()
		err := reader.foldAll(0, answer)
		next, _ := reader.Position()
		if known {
			assert.NilError(t, err)
			assert.Equal(t, fold.kinds, "ABC")
			continue
		}
		assert.ErrorIs(t, err, errUnknownKey)
		assert.Equal(t, fold.kinds, "A")
		assert.Equal(t, next, uint64(4))
		adopted, err := reader.Adopt(6, []byte("ABC")) // a peer that knows the key is ahead
		assert.NilError(t, err)
		assert.Assert(t, adopted)
		adopted, err = reader.Adopt(5, []byte("AB"))
		assert.NilError(t, err)
		assert.Assert(t, !adopted && fold.kinds == "ABC")
		assert.NilError(t, reader.foldAll(4, answer)) // read before the state was adopted
		assert.Equal(t, fold.kinds, "ABC")
	}
}

// Guards against a body that grows without bound when it is decompressed.
func TestInflateIsBounded(t *testing.T) {
	packed, err := deflate(make([]byte, maxBodyBytes+1))
	assert.NilError(t, err)
	_, err = inflate(packed)
	assert.ErrorContains(t, err, "more than")
}

// appendLog answers every append at once.
type appendLog struct{ appends int }

func (l *appendLog) Append(context.Context, string, []byte) (uint64, error) {
	l.appends++
	return uint64(l.appends), nil
}

func (l *appendLog) Read(context.Context, string, uint64, int, time.Duration) (platform.ReadResponse, error) {
	return platform.ReadResponse{}, nil
}

// refuseAfter lets a number of appends pass.
type refuseAfter struct{ left int }

func (r *refuseAfter) Wait(context.Context) error {
	if r.left == 0 {
		return context.DeadlineExceeded
	}
	r.left--
	return nil
}

// Guards against appends that pass the limiter, and against an outcome that is left open although nothing was sent.
func TestAppendsWaitForTheLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &appendLog{}
		reader := NewReader(Options{
			Stream: "s", Log: log, Keys: keysOf(t, "a"), Limiter: &refuseAfter{left: 1}, Events: event.Discard(), Metrics: tally.NoopScope,
		}, &kindsFold{})
		_, err := reader.Append(t.Context(), "k", 1)
		assert.NilError(t, err)
		_, err = reader.Append(t.Context(), "k", 1)
		assert.ErrorIs(t, err, platform.ErrNotAppended)
		assert.Equal(t, log.appends, 1)
	})
}
