package dispatch

import (
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/forecast"
)

// Limits of what is told to the model of run times and worker speeds.
const (
	maxHeldRuns       = 64                     // runs of a step that are held until the step is done
	minSiblings       = 3                      // other tasks that a report of progress is judged against, at least
	maxSiblings       = 40                     // and at most, which bounds the work for a report
	reliableSpread    = 0.3                    // a prediction with a larger spread is not used to judge progress
	minTimedRun       = 200 * time.Millisecond // shorter runs are mostly the delays of orders and reports
	maxTickLag        = 300 * time.Millisecond // longer without a check, the scheduler itself may have been paused
	settleAfterPause  = 500 * time.Millisecond // what is handled so soon after a pause may have happened before
	predictionsLast   = 250 * time.Millisecond // age up to which a step's prediction is used again
	percentResolution = 0.5                    // reports round the percentage down, by half a per cent on average
)

// progressMarks are the percentages from which a run's progress is told to the model, once each.
var progressMarks = [...]int{15, 60}

// timedRun is a run that ended as done and whose time tells about the work and the worker.
type timedRun struct {
	worker       *worker
	processStart int64 // of the worker's process that ran it
	ran          time.Duration
	at           time.Time
}

// neutral returns how long the run would have taken on a neutral worker.
func (r timedRun) neutral() time.Duration { return r.worker.neutralTime(r.ran) }

// workOf describes the tasks of a step to the model.
func workOf(st *step) forecast.Work {
	spec := st.occurrence.job.spec
	w := forecast.Work{Customer: spec.Customer, Queue: spec.Queue, Step: st.index, Width: st.spec.Count, Gang: st.spec.Gang, Estimate: st.spec.Estimate}
	if spec.Schedule.Occurrences > 0 {
		w.Series = spec.ID
	}
	return w
}

// onTime reports whether what is handled now has happened just before, and not before or during a pause of this process.
func (s *Scheduler) onTime(now time.Time) bool {
	return s.tickedAt.IsZero() || now.Sub(s.tickedAt) <= maxTickLag && now.Sub(s.laggedAt) >= settleAfterPause
}

// timesTell reports whether the time of the unit's current run tells how long the work takes on its workers.
func (u *unit) timesTell() bool {
	spec := u.step.spec
	if u.runTimeUnknown || u.resumed || spec.Permanent || spec.UsesSpareCPU || u.answersSince.After(u.startedAt) || u.ranRemotely() {
		return false
	}
	for _, m := range u.members {
		if !m.startTimed || m.processStart != m.worker.processStart {
			return false
		}
	}
	return len(u.members) > 0
}

// observeRun tells the model about a unit that has just ended as done.
func (s *Scheduler) observeRun(u *unit, now time.Time) {
	st := u.step
	if u.timesTell() && s.onTime(now) {
		began := u.startedAt
		for _, m := range u.members {
			if m.runningSince.After(began) {
				began = m.runningSince // a gang works once all members run
			}
		}
		if ran := now.Sub(began); ran >= minTimedRun {
			s.notePredictionHeld(u, ran)
			s.observeTimedRun(u, ran, now)
		}
	}
	if st.unitsLeft == 0 || len(st.heldRuns) >= maxHeldRuns {
		s.observeHeldRuns(st)
	}
}

func (s *Scheduler) observeTimedRun(u *unit, ran time.Duration, now time.Time) {
	st := u.step
	if u.index >= 0 {
		st.heldRuns = append(st.heldRuns, timedRun{u.members[0].worker, u.members[0].processStart, ran, now})
		return
	}
	workers := make([]string, len(u.members))
	for i, m := range u.members {
		workers[i] = m.worker.info.ID
	}
	s.forecast.ObserveGang(workOf(st), workers, ran, now)
}

// observeHeldRuns tells the model about the single tasks of a step. They are told together, since those that end first are usually those on
// fast workers. Runs on a worker that has restarted since are left out, as they say nothing about its present process.
func (s *Scheduler) observeHeldRuns(st *step) {
	if len(st.heldRuns) == 0 {
		return
	}
	st.noteNeutralRunTime()
	runs := make([]forecast.Run, 0, len(st.heldRuns))
	for _, r := range st.heldRuns {
		if r.processStart == r.worker.processStart {
			runs = append(runs, forecast.Run{Worker: r.worker.info.ID, Ran: r.ran, At: r.at})
		}
	}
	st.heldRuns = nil
	if len(runs) == 0 {
		return
	}
	s.forecast.ObserveStep(workOf(st), runs)
}

// noteNeutralRunTime updates the median neutral run time of the step's ended tasks from those that are held.
func (st *step) noteNeutralRunTime() {
	if len(st.heldRuns) == 0 {
		return
	}
	times := make([]time.Duration, len(st.heldRuns))
	for i, r := range st.heldRuns {
		times[i] = r.neutral()
	}
	slices.Sort(times)
	st.neutralRunTime, st.neutralRuns = times[len(times)/2], len(times)
}

// observeProgress tells the model about the progress of a single task that runs, at the first report beyond each of progressMarks.
func (s *Scheduler) observeProgress(m *member, now time.Time) {
	u := m.unit
	if u.index < 0 || m.marksPassed == len(progressMarks) || m.percent < progressMarks[m.marksPassed] || m.percent >= 100 {
		return
	}
	for m.marksPassed < len(progressMarks) && m.percent >= progressMarks[m.marksPassed] {
		m.marksPassed++
	}
	elapsed := now.Sub(m.runningSince)
	if u.state != active || m.stopWanted || elapsed < minTimedRun || !u.timesTell() || !s.onTime(now) {
		return
	}
	m.projected = time.Duration(float64(elapsed) * 100 / (float64(m.percent) + percentResolution))
	if expected := s.neutralTimeOfSiblings(u); expected > 0 {
		s.forecast.ObserveProgress(m.worker.info.ID, float64(m.projected)/float64(expected), now)
	}
}

// neutralTimeOfSiblings returns the median time that other tasks of the unit's step take on a neutral worker, as their ends and progress
// show, or the prediction if it is reliable and there are too few of them; 0 if nothing tells.
func (s *Scheduler) neutralTimeOfSiblings(u *unit) time.Duration {
	var times []time.Duration
	for _, r := range u.step.heldRuns {
		times = append(times, r.neutral())
	}
	for _, other := range u.step.units {
		if len(times) >= maxSiblings {
			break
		}
		if other == u || other.state != active {
			continue
		}
		if m := other.members[0]; m.projected > 0 {
			times = append(times, m.worker.neutralTime(m.projected))
		}
	}
	if len(times) >= minSiblings {
		slices.Sort(times)
		return times[len(times)/2]
	}
	if p := s.predict(u.step); p.Spread <= reliableSpread {
		return p.Median
	}
	return 0
}

// predict returns how long a task of the step is expected to run on a neutral worker.
func (s *Scheduler) predict(st *step) forecast.Prediction {
	if now := time.Now(); st.predictedAt.IsZero() || now.Sub(st.predictedAt) >= predictionsLast {
		st.noteNeutralRunTime()
		st.prediction = s.forecast.WithSiblings(s.forecast.Predict(workOf(st)), st.neutralRunTime, st.neutralRuns)
		st.prediction.Median = min(st.prediction.Median, maxRunTime)
		st.predictedAt = now
	}
	return st.prediction
}
