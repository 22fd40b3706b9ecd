package dispatch

import (
	"fmt"
	"strings"
	"time"
)

// waitCause is why a step's units wait although the steps before it are done.
type waitCause int

// Causes of a wait, in the order in which they are logged.
const (
	waitRoom       waitCause = iota // no worker, or not enough of them, has room
	waitRack                        // there is room, but not in the rack of the data or in a single rack
	waitHeadroom                    // there is room only on workers that are kept free for urgent work
	waitReserved                    // there is room only on workers that are kept free for another unit
	waitQuarantine                  // there is room only on quarantined workers
	waitPreemption                  // less urgent work is being stopped for it
	waitAdvice                      // the advisor has not approved any worker yet
	waitTicket                      // the ticket of an approved worker with room has expired and is being renewed
	waitPause                       // pause after a failed run
	waitView                        // the operator's records could not be read for too long
	waitSpeed                       // only workers too slow for it have room, and faster ones are about to
	waitLog                         // the log takes no records, and no worker that an earlier record names has room
	waitJobsView                    // cancellations could not be read for too long
	waitUnrecorded                  // a worker that does not answer may have a run of it that no record shows
	waitCauses     = iota           // number of causes
)

var waitNames = [waitCauses]string{"room", "rack", "headroom", "reserved", "quarantine", "preemption", "advice", "ticket", "pause", "operator view", "speed", "log", "jobs view", "unrecorded run"}

// waits is the time that a step, or a job, has waited by cause.
type waits [waitCauses]time.Duration

// String lists the causes that are not zero, in milliseconds.
func (w waits) String() string {
	var parts []string
	for cause, d := range w {
		if d > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", waitNames[cause], d.Milliseconds()))
		}
	}
	return strings.Join(parts, ", ")
}

// main returns the cause with the longest wait, and false if there was no wait.
func (w waits) main() (waitCause, bool) {
	longest := waitCause(0)
	for cause := range waitCause(waitCauses) {
		if w[cause] > w[longest] {
			longest = cause
		}
	}
	return longest, w[longest] > 0
}

// mostOf returns the cause with the highest count, waitRoom if all are 0.
func mostOf(counts [waitCauses]int) waitCause {
	most := waitRoom
	for cause, n := range counts {
		if n > counts[most] {
			most = waitCause(cause)
		}
	}
	return most
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// noteWait adds the time since the step was last considered to its wait for a cause.
func (st *step) noteWait(cause waitCause, now time.Time) {
	if !st.consideredAt.IsZero() {
		st.waited[cause] += now.Sub(st.consideredAt)
	}
	st.consideredAt, st.waitsFor = now, cause
}

// waited returns the waits of all steps of the job.
func (j *job) waited() waits {
	var total waits
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			for cause, d := range st.waited {
				total[cause] += d
			}
		}
	}
	return total
}

// objectiveOf returns the latency objective of a job's first occurrence, as far as run times are known.
func (s *Scheduler) objectiveOf(j *job) time.Duration {
	if len(j.occurrences) == 0 || j.occurrences[0] == nil {
		return 0
	}
	criticalPath, _ := s.expectedCriticalPath(j.occurrences[0])
	return latencyObjective(j.occurrences[0], criticalPath)
}
