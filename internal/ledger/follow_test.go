package ledger

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fixedLog holds the same records in every topic.
type fixedLog struct{ records []Record }

func (l fixedLog) Append(context.Context, string, []Record, AppendOptions) (int64, error) {
	return 0, errors.New("read only")
}

func (l fixedLog) Read(context.Context, string, int64, time.Duration) (Batch, error) {
	return Batch{Records: l.records, End: int64(len(l.records))}, nil
}

func (l fixedLog) Newest(context.Context, string) (Batch, error) {
	return Batch{Records: l.records, End: int64(len(l.records))}, nil
}

// Guards against a record that ends each process that reads the topic, one after the other, because handling it panics.
func TestRecordWhoseHandlingPanicsIsSkipped(t *testing.T) {
	var handled []string
	var failure error
	r := &Reader{
		Log: fixedLog{[]Record{{Key: "a"}, {Key: "odd"}, {Key: "b"}}}, Topic: JobsTopic,
		Record: func(r Record) {
			if r.Key == "odd" {
				panic("unexpected")
			}
			handled = append(handled, r.Key)
		},
		Failed: func(err error) { failure = errors.Join(failure, err) },
	}
	assert.NilError(t, r.Load(t.Context()))
	assert.NilError(t, r.Read(t.Context(), 0))
	assert.DeepEqual(t, handled, []string{"a", "b", "a", "b"})
	assert.ErrorContains(t, failure, `"odd" panicked: unexpected`)
	var unhandled *UnhandledError
	assert.Assert(t, errors.As(failure, &unhandled))
}
