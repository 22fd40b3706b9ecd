package dispatch

import "time"

// endCause is why a run ended without success.
type endCause string

// Causes of an end without success. They are values of a metric's label and of a log field.
const (
	causePreempted     endCause = "preempted"      // stopped for more urgent work
	causeCancelled     endCause = "cancelled"      // the customer cancelled the job
	causeJobEnded      endCause = "job ended"      // the job had failed or ended otherwise
	causeGangBroken    endCause = "gang broken"    // another member of the gang ended first
	causeGangLate      endCause = "gang late"      // other members of the gang did not start in time
	causeTaskFailed    endCause = "task failed"    // by the fault of the task or the worker
	causeStalled       endCause = "stalled"        // stopped since it made no progress
	causeEvacuated     endCause = "evacuated"      // stopped since its worker leaves before it could end
	causeWorkerLost    endCause = "worker lost"    // the worker restarted or no longer has the run
	causeLeaseExpired  endCause = "lease expired"  // the worker was out of reach for longer than its leases
	causeStartUnsure   endCause = "start unsure"   // the start was not answered and is withdrawn
	causeStartRefused  endCause = "start refused"  // the worker refused the start
	causeStartNotSent  endCause = "start not sent" // the start became unwanted or forbidden, or its ticket expired, before it was sent
	causeSuperseded    endCause = "superseded"     // an earlier run, which counted as lost, had ended well
	causeUnknownReason endCause = "unknown"
)

// causeOf returns the cause of an end that the worker reported, if no other cause was noted before.
func causeOf(ending Ending) endCause {
	switch ending {
	case EndFailed:
		return causeTaskFailed
	case EndLeaseExpired:
		return causeLeaseExpired
	case EndGangBroken:
		return causeGangBroken
	case EndGangIncomplete:
		return causeGangLate
	case EndLost:
		return causeWorkerLost
	}
	return causeUnknownReason
}

// loss is work that was done and not saved.
type loss struct {
	accelerator time.Duration // accelerator time
	core        time.Duration // processor time
}

func (l loss) plus(o loss) loss { return loss{l.accelerator + o.accelerator, l.core + o.core} }

// noteCause keeps why the member's run ends, unless an earlier cause is known.
func (m *member) noteCause(cause endCause) {
	if m.cause == "" {
		m.cause = cause
	}
}

// lossOf returns the work of a member that a checkpoint taken at savedAt does not hold. The zero time stands for no checkpoint.
func (m *member) lossOf(savedAt, now time.Time) loss {
	if m.runningSince.IsZero() {
		return loss{}
	}
	from, until := m.runningSince, m.endedAt
	if until.IsZero() {
		until = now
	}
	if savedAt.After(from) {
		from = savedAt
	}
	lost := max(until.Sub(from), 0)
	return loss{
		accelerator: lost * time.Duration(m.resources.Accelerators),
		core:        time.Duration(float64(lost) * float64(m.resources.CPU) / millicores),
	}
}

// millicores is the number of units of Resources.CPU in a core.
const millicores = 1000

// savedAt returns when the newest checkpoint of the unit's current run was taken, or the zero time if there is none. A
// checkpoint of one member holds the work of the whole gang.
func (u *unit) savedAt() time.Time {
	var newest time.Time
	if !u.step.spec.Checkpoints {
		return newest
	}
	for _, m := range u.members {
		if m.checkpointedAt.After(newest) {
			newest = m.checkpointedAt
		}
	}
	return newest
}

// noteCheckpoint keeps a member's checkpoint and when it was first seen.
func (m *member) noteCheckpoint(checkpoint string, now time.Time) {
	if checkpoint != "" && checkpoint != m.checkpoint {
		m.checkpoint, m.checkpointedAt = checkpoint, now
	}
}

// recordLoss counts the work that a unit's run without success has lost, by the cause of each member's end, and returns the
// total. All members have ended.
func (s *Scheduler) recordLoss(u *unit, now time.Time) loss {
	total := loss{}
	savedAt := u.savedAt()
	for _, m := range u.members {
		l := m.lossOf(savedAt, now)
		total = total.plus(l)
		s.metrics.lost(m.cause, l)
	}
	return total
}

// lost adds to the counters of lost work, in milliseconds.
func (m *schedulerMetrics) lost(cause endCause, l loss) {
	scope := m.scope.Tagged(map[string]string{"cause": string(cause)})
	scope.Counter("lost_runs").Inc(1)
	scope.Counter("lost_accelerator_ms").Inc(l.accelerator.Milliseconds())
	scope.Counter("lost_core_ms").Inc(l.core.Milliseconds())
}
