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

// recordingFold records the kinds of the records that were applied.
type recordingFold struct{ kinds string }

func (f *recordingFold) Apply(record Record)        { f.kinds += record.Kind }
func (f *recordingFold) State() ([]byte, error)     { return []byte(f.kinds), nil }
func (f *recordingFold) Restore(state []byte) error { f.kinds = string(state); return nil }

func keyRing(t *testing.T, ids ...string) *peer.KeyRing {
	var keys []peer.SharedKey
	for _, id := range ids {
		keys = append(keys, peer.SharedKey{ID: id, Secret: []byte(strings.Repeat(id, 32))})
	}
	ring, err := peer.NewKeyRing(keys, nil)
	assert.NilError(t, err)
	return ring
}

func sealRecord(t *testing.T, stream, kind, keyID string) []byte {
	data, err := seal(stream, kind, keyRing(t, keyID), strings.Repeat(kind, minCompressedBytes))
	assert.NilError(t, err)
	return data
}

func responseOf(records ...[]byte) platform.ReadResponse {
	answer := platform.ReadResponse{Next: uint64(len(records))}
	for i, data := range records {
		answer.Records = append(answer.Records, platform.LogRecord{Offset: uint64(i), Data: data})
	}
	return answer
}

// Guards against states that differ because one instance does not know a key yet, and against a forged or damaged
// record that stops the stream.
func TestRecordsThatCannotBeOpened(t *testing.T) {
	damaged := sealRecord(t, "s", "x", "a")
	damaged[len(damaged)-1] ^= 1
	answer := responseOf(sealRecord(t, "s", "A", "a"), damaged, sealRecord(t, "other", "x", "a"), []byte("junk"),
		sealRecord(t, "s", "B", "b"), sealRecord(t, "s", "C", "a"))
	for _, known := range []bool{false, true} {
		keys := keyRing(t, "a")
		if known {
			keys = keyRing(t, "a", "b")
		}
		fold := &recordingFold{}
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

// Guards against a record whose body takes unlimited memory when it is decompressed.
func TestInflateIsBounded(t *testing.T) {
	packed, err := compress(make([]byte, maxBodyBytes+1))
	assert.NilError(t, err)
	_, err = decompress(packed)
	assert.ErrorContains(t, err, "more than")
}

// acceptingLog accepts every append and contains no records.
type acceptingLog struct{ appends int }

func (l *acceptingLog) Append(context.Context, string, []byte) (uint64, error) {
	l.appends++
	return uint64(l.appends), nil
}

func (l *acceptingLog) Read(context.Context, string, uint64, int, time.Duration) (platform.ReadResponse, error) {
	return platform.ReadResponse{}, nil
}

// countingLimiter allows a number of appends and fails after that.
type countingLimiter struct{ remaining int }

func (r *countingLimiter) Wait(context.Context) error {
	if r.remaining == 0 {
		return context.DeadlineExceeded
	}
	r.remaining--
	return nil
}

// Guards against appends that bypass the limiter, and against an unknown outcome although nothing was sent.
func TestAppendsWaitForTheLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &acceptingLog{}
		reader := NewReader(Options{
			Stream: "s", Log: log, Keys: keyRing(t, "a"), Limiter: &countingLimiter{remaining: 1}, Events: event.Discard(), Metrics: tally.NoopScope,
		}, &recordingFold{})
		_, err := reader.Append(t.Context(), "k", 1)
		assert.NilError(t, err)
		_, err = reader.Append(t.Context(), "k", 1)
		assert.ErrorIs(t, err, platform.ErrNotAppended)
		assert.Equal(t, log.appends, 1)
	})
}
