package dispatch

import (
	"math"
	"time"
)

// Limits of learning run times from estimates. They answer days on which estimates are several times too long or too short.
const (
	learnMemory    = 0.98 // weight that an observation keeps when the next one comes, so that about 50 count
	slopePrior     = 0.5  // weight of the belief that run times are proportional to estimates, in squared log units
	outlierFactor  = 3.0  // a run this many times off its prediction counts as if it were just so far off
	outliersAfter  = 5.0  // observations before outliers are cut
	shortestRun    = 10 * time.Millisecond
	unknownRunTime = 2 * time.Second // of a task without an estimate on a queue without a past
)

// runTimes predicts how long tasks of one queue run. Estimates may be far off, so it fits the logarithm of run times to that of
// estimates: where estimates say little, predictions lie near the queue's usual run time.
type runTimes struct {
	weight, x, y, xx, xy float64 // decaying sums over observations; x is the log of the estimate, y of the run time, in seconds
}

// predict returns the expected run time of a task with the given estimate.
func (r *runTimes) predict(estimate time.Duration) time.Duration {
	if r == nil || r.weight == 0 {
		if estimate <= 0 {
			return unknownRunTime
		}
		return estimate
	}
	meanX, meanY := r.x/r.weight, r.y/r.weight
	x := meanX
	if estimate > 0 {
		x = math.Log(max(estimate, shortestRun).Seconds())
	}
	spread := r.xx - r.weight*meanX*meanX
	together := r.xy - r.weight*meanX*meanY
	slope := min(max((together+slopePrior)/(spread+slopePrior), 0), 1)
	fitted := meanY + slope*(x-meanX)
	trust := r.weight / (r.weight + 1)
	return time.Duration(math.Exp(trust*fitted+(1-trust)*x) * float64(time.Second))
}

// observe takes in how long a task with the given estimate ran.
func (r *runTimes) observe(estimate, ran time.Duration) {
	if estimate <= 0 || ran <= 0 {
		return
	}
	if r.weight >= outliersAfter {
		predicted := r.predict(estimate)
		ran = min(max(ran, time.Duration(float64(predicted)/outlierFactor)), time.Duration(float64(predicted)*outlierFactor))
	}
	x := math.Log(max(estimate, shortestRun).Seconds())
	y := math.Log(max(ran, shortestRun).Seconds())
	r.weight = learnMemory*r.weight + 1
	r.x = learnMemory*r.x + x
	r.y = learnMemory*r.y + y
	r.xx = learnMemory*r.xx + x*x
	r.xy = learnMemory*r.xy + x*y
}

// expected returns how long one task of a step is expected to run: as long as those of the step that have ended, or
// what the past of its queue says.
func (s *Scheduler) expected(st *step) time.Duration {
	if st.took > 0 {
		return st.took
	}
	return s.queues[st.occurrence.job.spec.Queue].predict(st.spec.Estimate)
}

// chain returns the expected time along the longest path of an occurrence's steps; left counts only steps that are not done.
func (s *Scheduler) chain(o *occurrence) (whole, left time.Duration) {
	wholes := make([]time.Duration, len(o.steps))
	lefts := make([]time.Duration, len(o.steps))
	for i, st := range o.steps {
		for _, before := range st.spec.After {
			wholes[i] = max(wholes[i], wholes[before])
			lefts[i] = max(lefts[i], lefts[before])
		}
		expected := s.expected(st)
		wholes[i] += expected
		if st.left > 0 {
			lefts[i] += expected
		}
		whole, left = max(whole, wholes[i]), max(left, lefts[i])
	}
	return whole, left
}

// objective returns the latency objective of an occurrence whose chain takes whole.
func objective(o *occurrence, whole time.Duration) time.Duration {
	return time.Duration(o.job.terms.Stretch*float64(whole)) + o.job.terms.Target
}

// learn takes in how long a unit ran, if the run was an undisturbed one on workers near its data and each other.
func (s *Scheduler) learn(u *unit, now time.Time) {
	st := u.step
	if u.restored || u.run > 1 || u.remote() || st.spec.Permanent {
		return
	}
	ran := now.Sub(u.startedAt)
	st.timed++
	st.took += (ran - st.took) / time.Duration(st.timed)
	if st.timed > 1 {
		return // the tasks of a step are alike, so the first stands for all
	}
	queue := st.occurrence.job.spec.Queue
	if s.queues[queue] == nil {
		s.queues[queue] = &runTimes{}
	}
	s.queues[queue].observe(st.spec.Estimate, ran)
}

// remote reports whether a unit's run is slowed by the way to its data or between its members.
func (u *unit) remote() bool {
	for _, m := range u.members {
		rack := m.worker.info.Rack
		if data := u.step.spec.DataRack; data != "" && rack != data {
			return true
		}
		if u.step.spec.SameRack && rack != u.members[0].worker.info.Rack {
			return true
		}
	}
	return false
}
