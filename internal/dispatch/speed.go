package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/forecast"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Rules for the choice of workers by speed. All hold only while the model finds the workers uneven.
const (
	speedStep        = 1.25                   // slowdowns within this factor count as equal, so that noise does not prevent packing
	slowdownMargin   = 0.5                    // standard deviations that are added to the slowdown of a worker of which little is known
	startOverhead    = 100 * time.Millisecond // for the record and order of a start, and the report and record of an end
	headroomSlowdown = 1.2                    // with which a stretch of 1.5 is still met after a short wait; the headroom begins with such workers
	hopelessMargin   = 1.2                    // factor by which predictions may be too long before an urgent unit counts as late
	maxSpeedWait     = time.Second            // longest wait of an urgent unit for a suitable worker, from when it could first start
	// preemptionGain is the most work lost by a preemption for the sake of speed, as a share of the urgent unit's own work. In time earns
	// five times what late earns, which is a gain of 0.8; what is lost runs again and delays others, hence half of it.
	preemptionGain = 0.4
)

// speedSource tells how fast workers are. *forecast.Model is one.
type speedSource interface {
	Uneven() bool
	Slowdown(worker string) forecast.Slowdown
}

// refreshSpeeds copies the slowdown of each worker, so that a pass asks for it once.
func (s *Scheduler) refreshSpeeds() {
	source := s.speeds
	if source == nil {
		source = s.forecast
	}
	uneven := source.Uneven()
	if !uneven && !s.uneven {
		return
	}
	changed := uneven != s.uneven
	s.uneven = uneven
	slow, fast := 0, 0
	for _, w := range s.workers {
		slowdown := forecast.Slowdown{Factor: 1}
		if uneven {
			slowdown = source.Slowdown(w.info.ID)
		}
		w.setSlowdown(slowdown)
		switch {
		case w.speedLevel > 0:
			slow++
		case w.speedLevel < 0:
			fast++
		}
	}
	if changed {
		s.config.Events.Emit(eventSpeeds, event.F("uneven", uneven), event.F("workers", len(s.workers)), event.F("slow", slow), event.F("fast", fast))
		s.config.Metrics.Gauge("dispatch_uneven").Update(map[bool]float64{true: 1}[uneven])
	}
}

// setSlowdown sets what the model says of a worker's speed.
func (w *worker) setSlowdown(s forecast.Slowdown) {
	if w.slowdown == s.Factor && w.slowdownSpread == s.Spread {
		return
	}
	w.slowdown, w.slowdownSpread = s.Factor, s.Spread
	logBound := math.Log(s.Factor) + slowdownMargin*s.Spread
	w.slowdownBound, w.speedLevel = math.Exp(logBound), int(math.Round(logBound/math.Log(speedStep)))
}

// boundedTime returns how long runs take on the worker relative to a neutral one, as a bound that is hardly exceeded.
func (w *worker) boundedTime() float64 {
	if w.slowdownBound <= 0 {
		return 1
	}
	return w.slowdownBound
}

// relativeTime returns how long runs take on the worker relative to a neutral one.
func (w *worker) relativeTime() float64 {
	if w.slowdown <= 0 {
		return 1
	}
	return w.slowdown
}

// neutralTime returns how long a run that takes ran on the worker takes on a neutral one.
func (w *worker) neutralTime(ran time.Duration) time.Duration {
	if w.slowdown <= 0 {
		return ran
	}
	return time.Duration(float64(ran) / w.slowdown)
}

// relativeTime returns how long the current run takes relative to neutral workers: as long as on the slowest one.
func (u *unit) relativeTime() float64 {
	slowest := 0.0
	for _, m := range u.members {
		slowest = max(slowest, m.worker.relativeTime())
	}
	if slowest == 0 {
		return 1
	}
	return slowest
}

// speedGoal is what a step needs of its workers' speed. Nil means that speed does not matter.
type speedGoal struct {
	runTime      time.Duration // expected on a neutral worker
	slack        time.Duration // time that a run started now may take
	limit        float64       // tolerance without a delay
	fastestFirst bool
}

// setSlack sets the time that a run started now may take.
func (g *speedGoal) setSlack(slack time.Duration) {
	g.slack = slack
	g.limit = g.tolerance(0)
}

// tolerance returns the largest slowdown with which a run ends in time if it starts after the given delay.
func (g *speedGoal) tolerance(delay time.Duration) float64 {
	return float64(g.slack-delay) / float64(g.runTime)
}

// suits reports whether a run that starts on the worker after the given delay ends in time.
func (g *speedGoal) suits(w *worker, delay time.Duration) bool {
	return g == nil || w.boundedTime() <= g.tolerance(delay)
}

// unsuited is added to the order of workers that do not suit.
const unsuited = 1000

// order returns the position of a worker in the order of preference. Workers that suit come first, in the order of the goal, then the
// others, the fastest first.
func (g *speedGoal) order(w *worker) int {
	switch {
	case g == nil:
		return 0
	case w.boundedTime() > g.limit:
		return unsuited + w.speedLevel
	case g.fastestFirst:
		return w.speedLevel
	}
	return -w.speedLevel
}

// worstOrder returns the position of the worker that comes last.
func (g *speedGoal) worstOrder(workers []*worker) int {
	worst := math.MinInt
	for _, w := range workers {
		worst = max(worst, g.order(w))
	}
	return worst
}

// goal returns what a step needs of its workers' speed in this pass.
func (p *plan) goal(st *step) *speedGoal {
	if !p.scheduler.uneven || st.spec.Permanent {
		return nil
	}
	if st.goalOf.Equal(p.now) {
		return st.goal
	}
	pl := p.pools[st.occurrence.job.queueSettings.Service]
	if pl == nil {
		return nil
	}
	st.goal, st.goalOf = p.scheduler.speedGoalOf(st, pl.fastest), p.now
	return st.goal
}

// speedGoalOf returns the goal of a step in a pool whose fastest worker has the given slowdown. Work that can no longer meet its objective
// leaves fast workers to others.
func (s *Scheduler) speedGoalOf(st *step, fastest float64) *speedGoal {
	o := st.occurrence
	criticalPath, _ := s.expectedCriticalPath(o)
	objective := latencyObjective(o, criticalPath)
	taken := s.config.Now().Sub(o.earliestStart()) + s.expectedAfter(st) + startOverhead
	g := &speedGoal{runTime: max(s.expectedRunTime(st), minRunTime), fastestFirst: o.job.queueSettings.Priority == 0}
	g.setSlack(objective - taken)
	margin := 1.0
	if g.fastestFirst {
		margin = hopelessMargin
	}
	if margin*g.limit >= fastest {
		return g
	}
	g.fastestFirst = false
	g.setSlack(time.Duration(lateFactor*float64(objective)) - taken)
	if g.limit < fastest {
		g.setSlack(maxRunTime)
	}
	return g
}

// expectedAfter returns the expected time along the longest path of steps that depend on the step.
func (s *Scheduler) expectedAfter(st *step) time.Duration {
	steps := st.occurrence.steps
	if st.index == len(steps)-1 {
		return 0
	}
	longest := time.Duration(0)
	ends := make([]time.Duration, len(steps)) // after the end of st; negative for steps that do not depend on it
	for i, after := range steps {
		if i <= st.index {
			ends[i] = -1
			continue
		}
		begin := time.Duration(-1)
		for _, before := range after.spec.After {
			if before == st.index {
				begin = max(begin, 0)
			}
			begin = max(begin, ends[before])
		}
		ends[i] = -1
		if begin >= 0 {
			ends[i] = begin + s.expectedRunTime(after)
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// gangCandidate is a worker on which tasks of a gang fit.
type gangCandidate struct {
	worker     *worker
	tasks      int
	preference preference
	order      int // see speedGoal.order
}

// alike reorders candidates that are sorted by preference and then by room, so that the first of them that hold need tasks are the best for
// the goal: of the least preferred ones that are needed it keeps only workers up to the best possible slowest member, the nearest to it first.
func (g *speedGoal) alike(candidates []gangCandidate, need int) []gangCandidate {
	if g == nil {
		return candidates
	}
	from := 0 // first candidate of the least preference that is needed
	for held, i := 0, 0; i < len(candidates) && held < need; i++ {
		if candidates[i].preference != candidates[from].preference {
			from, need, held = i, need-held, 0
		}
		held += candidates[i].tasks
	}
	end := from // behind the last candidate of that preference
	differ := false
	for end < len(candidates) && candidates[end].preference == candidates[from].preference {
		differ = differ || candidates[end].order != candidates[from].order
		end++
	}
	candidates = candidates[:end]
	if !differ {
		return candidates
	}
	group := candidates[from:]
	slices.SortStableFunc(group, func(a, b gangCandidate) int { return cmp.Compare(a.order, b.order) })
	last := 0 // position of the slowest member
	for held := group[0].tasks; held < need; held += group[last].tasks {
		last++
	}
	for last+1 < len(group) && group[last+1].order == group[last].order {
		last++
	}
	group = group[:last+1]
	slices.SortStableFunc(group, func(a, b gangCandidate) int { return cmp.Compare(b.worker.speedLevel, a.worker.speedLevel) })
	return candidates[:from+len(group)]
}

// awaitsSpeed reports whether an urgent unit for which only unsuitable workers have room is to wait: for suitable ones that are about to
// have room, or for those on which less urgent work is preempted for it. Work within a guarantee never waits.
func (p *plan) awaitsSpeed(pl *pool, r rank, u *unit, chosen []*worker) bool {
	g := p.goal(u.step)
	if g == nil || !g.fastestFirst || r.class != urgent || u.job().queueSettings.Advised || allWorkers(chosen, func(w *worker) bool { return g.suits(w, 0) }) {
		return false
	}
	if len(u.preemptedWorkers) > 0 && p.now.Sub(u.preemptedAt) < preemptionTimeout {
		if !p.preemptionHelps(u, g) {
			return false
		}
		p.claimWorkers(u)
		return true
	}
	left := maxSpeedWait - p.now.Sub(u.waitingAt)
	if left <= 0 {
		return false
	}
	if p.roomIsDue(pl, u, g, left) {
		return true
	}
	delay := p.scheduler.stopTime() + startOverhead
	workers, victims, cost := p.bestPreemption(pl, r, u, func(w *worker) bool { return g.suits(w, delay) && p.preferenceFor(w, u) != lastResort })
	if workers == nil || len(victims) == 0 || cost > preemptionGain*p.ownWork(pl, u, g) {
		return false
	}
	p.carryOutPreemption(u, workers, victims, cost)
	return true
}

// preemptionHelps reports whether the workers on which work was preempted for the unit still suit it and are about to have room. The preemption
// may have been for room alone, and a worker may have been lost or evacuated since.
func (p *plan) preemptionHelps(u *unit, g *speedGoal) bool {
	stops := func(w *worker) bool {
		for _, m := range w.members {
			if m.stopWanted {
				return true
			}
		}
		return false
	}
	return slices.ContainsFunc(u.preemptedWorkers, stops) && allWorkers(u.preemptedWorkers, func(w *worker) bool {
		return w.usable(p.now) && !p.scheduler.evacuated(w) && g.suits(w, 0)
	})
}

// ownWork returns how much of the pool's scarcest resource a unit uses on neutral workers, in seconds.
func (p *plan) ownWork(pl *pool, u *unit, g *speedGoal) float64 {
	return float64(pl.scarceResource(u.step.resources())*int64(u.size())) * g.runTime.Seconds()
}

// roomIsDue reports whether suitable workers are expected to have room for the unit within the given time and soon enough for it to end in
// time. The room is then taken: it does not count for units that come later in the pass.
func (p *plan) roomIsDue(pl *pool, u *unit, g *speedGoal, within time.Duration) bool {
	resources := u.step.resources()
	for _, set := range p.candidateSets(pl, u) {
		need := u.size()
		due := map[*worker]int{}
		for _, w := range set {
			delay := min(within, g.slack-time.Duration(w.boundedTime()*float64(g.runTime)))
			if delay < 0 || !p.allowed(w, u) || p.preferenceFor(w, u) == lastResort {
				continue
			}
			n := min(resources.Count(p.freeWithin(w, delay)), u.spreadAllowance(w), need)
			if n <= 0 {
				continue
			}
			due[w] = n
			if need -= n; need == 0 {
				break
			}
		}
		if need > 0 {
			continue
		}
		for w, n := range due {
			for range n {
				p.awaited[w] = p.awaited[w].Plus(resources)
			}
		}
		return true
	}
	return false
}

// dueRoom is room that a worker's member is expected to make after some time.
type dueRoom struct {
	in        time.Duration
	resources workload.Resources
}

// freeWithin returns what is expected to be free on a worker after the given delay, apart from what units wait for or have claimed.
func (p *plan) freeWithin(w *worker, delay time.Duration) workload.Resources {
	rooms, known := p.dueRooms[w]
	if !known {
		for _, m := range w.members {
			switch {
			case m.unit.step.spec.Permanent && !m.stopWanted:
			case m.stopWanted:
				rooms = append(rooms, dueRoom{p.scheduler.stopTime(), m.resources})
			default:
				rooms = append(rooms, dueRoom{p.scheduler.expectedRemaining(m, p.now), m.resources})
			}
		}
		p.dueRooms[w] = rooms
	}
	free := w.free.Minus(p.awaited[w]).Minus(p.claimed[w])
	for _, room := range rooms {
		if room.in <= delay {
			free = free.Plus(room.resources)
		}
	}
	return free
}

// notePlacement notes what is predicted of a run that is about to start, and returns the fields that describe it in the log.
func (s *Scheduler) notePlacement(u *unit) []event.Field {
	p, relative := s.predict(u.step), u.relativeTime()
	u.likelyRunTime = time.Duration(min(float64(p.Quantile(likelyQuantile))*relative, float64(maxRunTime)))
	return []event.Field{event.F("predicted_ms", time.Duration(float64(p.Median)*relative).Milliseconds()), event.F("basis", p.Basis), event.F("slowdown", math.Round(relative*100)/100)}
}

// likelyQuantile is the probability with which a run is to end within its likelyRunTime.
const likelyQuantile = 0.9

// notePredictionHeld counts whether a run ended within what was likely when it started.
func (s *Scheduler) notePredictionHeld(u *unit, ran time.Duration) {
	if u.likelyRunTime <= 0 {
		return
	}
	held := "no"
	if ran <= u.likelyRunTime {
		held = "yes"
	}
	s.metrics.scope.Tagged(map[string]string{"queue": u.job().spec.Queue, "held": held}).Counter("dispatch_predictions").Inc(1)
}

// noteUnsuited counts an urgent unit that starts on a worker too slow for it to end in time.
func (p *plan) noteUnsuited(u *unit, chosen []*worker) {
	g := p.goal(u.step)
	if g != nil && u.urgent() && (!g.fastestFirst || !allWorkers(chosen, func(w *worker) bool { return g.suits(w, 0) })) {
		p.scheduler.metrics.scope.Tagged(map[string]string{"queue": u.job().spec.Queue}).Counter("dispatch_urgent_unsuited").Inc(1)
	}
}
