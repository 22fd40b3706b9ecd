package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// quietLog takes a while to return the newest records, and gets no new ones. If behind is set, each answer lacks the last record.
type quietLog struct {
	Log
	load   time.Duration
	behind bool
}

func (l quietLog) Newest(context.Context, string) (Batch, error) {
	time.Sleep(l.load)
	return Batch{}, nil
}

func (l quietLog) Read(_ context.Context, _ string, from int64, wait time.Duration) (Batch, error) {
	if l.behind {
		time.Sleep(100 * time.Millisecond)
		return Batch{Records: []Record{{Key: "k", Offset: from}}, End: from + 2}, nil
	}
	time.Sleep(wait)
	return Batch{End: from}, nil
}

// oldestView returns the greatest age of a reader's view in the time after its load.
func oldestView(t *testing.T, log quietLog, d time.Duration) (oldest time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var view Freshness
		r := &Reader{Log: log, Topic: JobsTopic, Synced: view.MarkSynced, Record: func(Record) {}, Failed: func(error) {}}
		assert.NilError(t, r.Load(ctx))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.Run(ctx)
		}()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			oldest = max(oldest, view.Age(time.Now()))
		}
		cancel()
		<-ended
	})
	return oldest
}

// Guards against a scheduler that withholds starts for the long poll that follows a load of 1.5 s: the view is as old as the load then.
func TestViewIsReadAtOnceAfterALongLoad(t *testing.T) {
	oldest := oldestView(t, quietLog{load: 1500 * time.Millisecond}, 5*time.Second)
	assert.Assert(t, oldest <= 2500*time.Millisecond, "the view is up to %v old", oldest)
}

// Guards against a scheduler that withholds starts while each read is answered at once, but none reaches the end of the topic.
func TestViewOfAReaderThatIsBehindIsNoOlderThanWhatItHasRead(t *testing.T) {
	oldest := oldestView(t, quietLog{behind: true}, 10*time.Second)
	assert.Assert(t, oldest <= 2500*time.Millisecond, "the view is up to %v old", oldest)
}
