package configuration

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a catch-up after an outage in which all instances together exceed 50 appends per second.
func TestAppendsOfAllInstancesStayBounded(t *testing.T) {
	const entries, seconds = 9, 10
	synctest.Test(t, func(t *testing.T) {
		total := make(chan int, entries)
		for range entries {
			go func() {
				limiter, appends := NewAppendLimiter(func() int { return entries }), 0
				for start := time.Now(); time.Since(start) < seconds*time.Second; appends++ {
					assert.Check(t, limiter.Wait(t.Context()))
				}
				total <- appends
			}()
		}
		sum := 0
		for range entries {
			sum += <-total
		}
		assert.Assert(t, sum <= appendsPerSecond*seconds+2*entries && sum >= appendsPerSecond*seconds-entries, "%d appends", sum)
	})
}
