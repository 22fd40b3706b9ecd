package dispatch

import (
	"math"
	"time"
)

// Parameters of the predictions of run times. Customers' estimates may be several times too long or too short.
const (
	observationDecay = 0.98                  // weight that earlier observations keep when a new one comes, so that about 50 count
	slopePrior       = 0.5                   // weight of the prior slope 1 (run times proportional to estimates), in squared log units
	outlierFactor    = 3.0                   // an observation more than this many times off its prediction is cut to that factor
	outlierMinWeight = 5.0                   // weight of observations from which on outliers are cut
	minRunTime       = 10 * time.Millisecond // shorter estimates and run times count as this one
	defaultRunTime   = 2 * time.Second       // prediction for a task without an estimate, if the queue has no observations
)

// runTimeModel predicts how long tasks of one queue run. Estimates may be far off, so it fits the logarithm of run times
// to that of estimates: where estimates say little, predictions are near the queue's usual run time.
type runTimeModel struct {
	// Decaying sums over observations. X is the log of the estimate and Y that of the run time, both in seconds.
	weight, sumX, sumY, sumXX, sumXY float64
}

// predict returns the expected run time of a task with the given estimate, which is 0 if there is none.
func (r *runTimeModel) predict(estimate time.Duration) time.Duration {
	if r == nil || r.weight == 0 {
		if estimate <= 0 {
			return defaultRunTime
		}
		return estimate
	}
	meanX, meanY := r.sumX/r.weight, r.sumY/r.weight
	x := meanX
	if estimate > 0 {
		x = math.Log(max(estimate, minRunTime).Seconds())
	}
	scatterX := r.sumXX - r.weight*meanX*meanX
	scatterXY := r.sumXY - r.weight*meanX*meanY
	slope := min(max((scatterXY+slopePrior)/(scatterX+slopePrior), 0), 1)
	fitted := meanY + slope*(x-meanX)
	trust := r.weight / (r.weight + 1)
	return time.Duration(math.Exp(trust*fitted+(1-trust)*x) * float64(time.Second))
}

// observe adds an observation: how long a task with the given estimate ran.
func (r *runTimeModel) observe(estimate, ran time.Duration) {
	if estimate <= 0 || ran <= 0 {
		return
	}
	if r.weight >= outlierMinWeight {
		predicted := r.predict(estimate)
		ran = min(max(ran, time.Duration(float64(predicted)/outlierFactor)), time.Duration(float64(predicted)*outlierFactor))
	}
	x := math.Log(max(estimate, minRunTime).Seconds())
	y := math.Log(max(ran, minRunTime).Seconds())
	r.weight = observationDecay*r.weight + 1
	r.sumX = observationDecay*r.sumX + x
	r.sumY = observationDecay*r.sumY + y
	r.sumXX = observationDecay*r.sumXX + x*x
	r.sumXY = observationDecay*r.sumXY + x*y
}

// expectedRunTime returns how long a task of the step is expected to run: the mean of the step's tasks that have
// completed, or the prediction for its queue. If workers differ in speed, it is that on a neutral one.
func (s *Scheduler) expectedRunTime(st *step) time.Duration {
	if s.uneven {
		return s.predict(st).Median
	}
	if st.meanRunTime > 0 {
		return st.meanRunTime
	}
	return s.runTimes[st.occurrence.job.spec.Queue].predict(st.spec.Estimate)
}

// longestRunTime returns how long the member's run is expected to take, and not less than on a neutral worker: limits that follow from it are
// to hold if the worker is slower than it seems.
func (s *Scheduler) longestRunTime(m *member) time.Duration {
	expected := s.expectedRunTime(m.unit.step)
	if relative := m.unit.relativeTime(); s.uneven && relative > 1 {
		return time.Duration(min(float64(expected)*relative, float64(maxRunTime)))
	}
	return expected
}

// maxRunTime keeps multiples of run times within the range of a duration.
const maxRunTime = 365 * 24 * time.Hour

// expectedCriticalPath returns the expected time along the longest path of an occurrence's steps, in total and for the
// steps that are not done.
func (s *Scheduler) expectedCriticalPath(o *occurrence) (total, remaining time.Duration) {
	totals := make([]time.Duration, len(o.steps))
	remainders := make([]time.Duration, len(o.steps))
	for i, st := range o.steps {
		for _, before := range st.spec.After {
			totals[i] = max(totals[i], totals[before])
			remainders[i] = max(remainders[i], remainders[before])
		}
		expected := s.expectedRunTime(st)
		totals[i] += expected
		if st.unitsLeft > 0 {
			remainders[i] += expected
		}
		total, remaining = max(total, totals[i]), max(remaining, remainders[i])
	}
	return total, remaining
}

// latencyObjective returns the latency objective of an occurrence whose critical path is expected to take that long.
func latencyObjective(o *occurrence, criticalPath time.Duration) time.Duration {
	return time.Duration(o.job.queueSettings.Stretch*float64(criticalPath)) + o.job.queueSettings.Target
}

// observeRunTime records how long a unit ran, if the run was the unit's first and was near its data and within one rack
// where that matters.
func (s *Scheduler) observeRunTime(u *unit, now time.Time) {
	st := u.step
	if u.runTimeUnknown || u.run > 1 || u.ranRemotely() || st.spec.Permanent {
		return
	}
	ran := now.Sub(u.startedAt)
	st.timedUnits++
	st.meanRunTime += (ran - st.meanRunTime) / time.Duration(st.timedUnits)
	if st.timedUnits > 1 {
		return // the tasks of a step are alike, so the first represents all
	}
	queue := st.occurrence.job.spec.Queue
	if s.runTimes[queue] == nil {
		s.runTimes[queue] = &runTimeModel{}
	}
	s.runTimes[queue].observe(st.spec.Estimate, ran)
}

// ranRemotely reports whether a unit's run is slowed down by the distance to its data or between its members.
func (u *unit) ranRemotely() bool {
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
