package dispatch

import "time"

// Limits for moving work off workers that leave.
const (
	// stopMargin is added to the longest time that a stop takes, for the order's way to the worker and for its report.
	stopMargin = 400 * time.Millisecond
	// defaultStopTime is used if the platform states no limit for a stop.
	defaultStopTime = time.Second
)

// evacuateWorker stops the runs on a leaving worker that cannot end before it leaves. What runs there when it leaves is lost, and
// its leases have to expire before the work can start elsewhere. Spot workers leave two seconds after the notice and take a sixth
// of the fleet with them, so most gangs have a member on one of them.
func (s *Scheduler) evacuateWorker(w *worker, now time.Time) {
	if w.leavesAt.IsZero() {
		return
	}
	for _, m := range w.membersWhere(func(m *member) bool { return m.unit.state == active }) {
		if u := m.unit; u.state == active && s.mustEvacuate(u, w.leavesAt.Sub(now), now) {
			s.stopUnit(u, causeEvacuated)
		}
	}
}

// mustEvacuate reports whether a unit of which a worker leaves after the given time is to be stopped now. Work without
// checkpoints is stopped at once, since what it still does is lost. Work with checkpoints goes on for as long as a stop with its
// checkpoint is certain to be over before the worker leaves.
func (s *Scheduler) mustEvacuate(u *unit, left time.Duration, now time.Time) bool {
	if u.step.spec.Permanent {
		return true // it never ends by itself
	}
	if s.unitRemaining(u, now) <= left {
		return false
	}
	if !u.step.spec.Checkpoints {
		return true
	}
	return left <= s.stopTime()+stopMargin
}

// stopTime returns the longest time that a worker takes to stop a run.
func (s *Scheduler) stopTime() time.Duration {
	if s.config.Bounds.Stop <= 0 {
		return defaultStopTime
	}
	return s.config.Bounds.Stop
}

// unitRemaining returns how much longer the run of a unit is expected to take.
func (s *Scheduler) unitRemaining(u *unit, now time.Time) time.Duration {
	left := time.Duration(0)
	for _, m := range u.members {
		left = max(left, s.expectedRemaining(m, now))
	}
	return left
}
