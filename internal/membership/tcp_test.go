package membership

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a view that works in memory but not over real connections, and against goroutines that outlive Run.
func TestOverTCP(t *testing.T) {
	a, b, _ := overTCP(t)
	a.Attach("offset", Everywhere, func() any { return 42 })
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, m := range []*Members{a, b} {
		group.Go(func() { assert.Check(t, m.Run(ctx)) })
	}
	defer group.Wait()
	defer cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		offset := 0
		_, _, err := b.Value("fremantle-entry-1", "offset", &offset)
		if err == nil && offset == 42 && a.Fresh() && b.Fresh() && len(a.Entries("fremantle")) == 2 {
			return poll.Success()
		}
		return poll.Continue("offset %d, fresh %v %v", offset, a.Fresh(), b.Fresh())
	}, poll.WithTimeout(10*time.Second))
	a.End(ctx)
	assert.Assert(t, b.Gone("fremantle-entry-1"))
}
