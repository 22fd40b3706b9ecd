package scheduler_test

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/rackowner"
)

// tolerantTiming has sessions that outlast the pauses of a busy machine, for tests that count every start.
func tolerantTiming() rackowner.Timing {
	return rackowner.Timing{
		SessionTTL: 400 * time.Millisecond, Renew: 40 * time.Millisecond,
		TaskLease: 2 * time.Second, HoldTTL: time.Second,
	}
}

// shortTiming scales the default timings by 1/15. At 1/30 a stall of the machine of 0.1 s was a fifth of a task lease.
func shortTiming() rackowner.Timing {
	return rackowner.Timing{
		SessionTTL: 200 * time.Millisecond, Renew: 67 * time.Millisecond,
		TaskLease: time.Second, HoldTTL: 333 * time.Millisecond,
	}
}
