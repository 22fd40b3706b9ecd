package dispatch

import (
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// backlogLogPeriod is the least time between two log entries on the backlog.
const backlogLogPeriod = 2 * time.Second

// taskRequirements decide whether a single task fits anywhere.
type taskRequirements struct {
	service, label, rack string
	resources            workload.Resources
	permanent            bool
	mayUseHeadroom       bool
	mayLeaveRack         bool  // the wait for the rack of its data is over
	step                 *step // nil unless other rules decide for each step which workers it may use
}

// requirementsOf returns what decides where a single task fits.
func (p *plan) requirementsOf(u *unit) taskRequirements {
	settings, spec := u.job().queueSettings, u.step.spec
	needs := taskRequirements{
		service: settings.Service, label: spec.Label, rack: spec.DataRack, resources: u.step.resources(),
		permanent: spec.Permanent, mayUseHeadroom: p.mayUseHeadroom(u), mayLeaveRack: spec.DataRack != "" && p.now.Sub(u.waitingAt) >= localityWait,
	}
	if settings.Advised || spec.MaxPerWorker > 0 || len(u.reservedWorkers) > 0 {
		needs.step = u.step
	}
	return needs
}

// plan is the state of one scheduling pass.
type plan struct {
	scheduler       *Scheduler
	now             time.Time
	pools           map[string]*pool
	keptFor         map[*worker]*step              // workers kept free for a step
	preemptedFor    map[*worker]bool               // those of them on which other work was stopped for the step
	claimed         map[*worker]workload.Resources // resources of workers in keptFor that single tasks of that step have claimed
	headroomWorkers map[*worker]bool               // workers kept free for urgent work
	fitNowhere      map[taskRequirements]waitCause // requirements that no worker satisfied in this pass, and why
	triedInVain     map[*step]bool                 // steps of which units could not be placed in this pass
	held            map[kind]int64                 // what each kind of work holds, in its pool's scarcest resource
	awaited         map[*worker]workload.Resources // room on suitable workers that urgent units wait for, see roomIsDue
	dueRooms        map[*worker][]dueRoom          // room that members are expected to make, see freeWithin

	logIsLate     bool                      // the log takes no records, so only starts that need none are made
	ignoreLimits  bool                      // workers are chosen for a unit that mayIgnoreLimits
	ignoredInVain map[taskRequirements]bool // requirements that chooseIgnoringLimits did not satisfy in this pass

	earmarked      []earmark   // see earmarkWorkers
	ticketsMissing []string    // workers chosen for units of the current step that wait for their tickets
	spareQuery     adviceQuery // made at the end of the pass if none is in progress; without a step if there is none

	// Why chooseWorkers found no room for the latest unit, see waitCauseOf.
	noRackFits bool            // neither the rack of its data nor any single rack that it should run in has room
	barredRoom [waitCauses]int // tasks of the unit for which there is room on workers that it may not use, by cause
}

func newPlan(s *Scheduler, now time.Time) *plan {
	return &plan{
		scheduler: s, now: now, pools: map[string]*pool{}, keptFor: map[*worker]*step{}, preemptedFor: map[*worker]bool{}, ignoredInVain: map[taskRequirements]bool{}, claimed: map[*worker]workload.Resources{},
		headroomWorkers: map[*worker]bool{}, fitNowhere: map[taskRequirements]waitCause{}, triedInVain: map[*step]bool{}, held: map[kind]int64{},
		awaited: map[*worker]workload.Resources{}, dueRooms: map[*worker][]dueRoom{}, logIsLate: s.logIsLate(),
	}
}

// newFleetPlan returns a plan that knows the usable workers and those that are only kept from work by their quarantine.
func (s *Scheduler) newFleetPlan(now time.Time) *plan {
	p := newPlan(s, now)
	for _, w := range s.workers {
		switch {
		case s.evacuated(w):
		case w.usable(now):
			p.addWorker(w)
		case w.takesWork(now):
			pl := p.pool(w.info.Service)
			pl.resting = append(pl.resting, w)
		}
	}
	services := s.servicesInUse()
	for service, pl := range p.pools {
		pl.shareInUse = services[service].share()
		pl.sortByID()
	}
	return p
}

// pass starts all waiting units that may start and fit.
func (s *Scheduler) pass(now time.Time) {
	begun := time.Now()
	s.protect("evacuations", s.noteEvacuations)
	if s.logIsLate() {
		s.withdrawUnrecorded(now)
	}
	ranks := s.waitingSteps(now)
	if len(ranks) == 0 {
		s.holdsNothingSince = nil
		return
	}
	if s.operatorViewLost {
		placeNothing(ranks, waitView, now)
		return
	}
	if s.noteJobsView(); s.jobsViewLost && !s.logIsLate() {
		placeNothing(ranks, waitJobsView, now)
		return
	}
	s.refreshSpeeds()
	p := s.newFleetPlan(now)
	for _, pl := range p.pools {
		pl.headroomTarget = int64(headroomShare * float64(pl.scarceTotal()))
	}
	ranks = p.preventStarvation(ranks)
	slices.SortStableFunc(ranks, compareRanks)
	if !p.logIsLate && !p.forEach(ranks, p.keepReservations) {
		return
	}
	for _, pl := range p.pools {
		p.markHeadroom(pl)
	}
	if !p.forEach(ranks, p.placeStep) {
		return
	}
	p.dropEarmarks(0)
	p.sendSpareQuery()
	s.metrics.passTime.RecordDuration(time.Since(begun))
	s.protect("log of what waits", p.logBacklog)
}

// forEach calls f for each rank. If f panics, forEach sets the job aside and returns false: what the plan holds may be wrong.
func (p *plan) forEach(ranks []rank, f func(rank)) bool {
	for _, r := range ranks {
		j := r.step.occurrence.job
		if !p.scheduler.protect("job "+j.spec.ID, func() { f(r) }) {
			j.setAside(p.now)
			return false
		}
	}
	return true
}

// logBacklog logs at intervals what waits and what is free, so that the log explains why work waits that seems to fit.
func (p *plan) logBacklog() {
	s := p.scheduler
	if p.now.Sub(s.backlogLoggedAt) < backlogLogPeriod {
		return
	}
	waits := map[string][classCount]int{}
	longest := map[string]*unit{} // of each service, the unit that has waited longest
	for _, j := range s.unfinished {
		for _, o := range j.occurrences {
			if o == nil || o.stepsLeft == 0 || j.ended() {
				continue
			}
			for _, st := range o.steps {
				if st.unitsWaiting > 0 && st.ready() {
					perClass := waits[j.queueSettings.Service]
					perClass[s.rankStep(st, s.config.Now()).class] += st.unitsWaiting
					waits[j.queueSettings.Service] = perClass
					if u := st.longestWaiting(); u != nil && (longest[j.queueSettings.Service] == nil || u.waitingAt.Before(longest[j.queueSettings.Service].waitingAt)) {
						longest[j.queueSettings.Service] = u
					}
				}
			}
		}
	}
	for service, perClass := range waits {
		pl := p.pools[service]
		if pl == nil {
			pl = &pool{}
		}
		s.backlogLoggedAt = p.now
		free, headroom := int64(0), int64(0)
		for _, w := range pl.workers {
			free += w.free.Accelerators
			if p.headroomWorkers[w] {
				headroom += w.free.Accelerators
			}
		}
		fields := []event.Field{event.F("service", service), event.F("workers", len(pl.workers)), event.F("accelerators", pl.accelerators), event.F("free", free),
			event.F("free_for_urgent_only", headroom), event.F("reserved", pl.reserved), event.F("waiting_guaranteed", perClass[guaranteed]), event.F("waiting_urgent", perClass[urgent]),
			event.F("waiting_on_time", perClass[onTime]), event.F("waiting_late", perClass[late]), event.F("waiting_overdue", perClass[overdue])}
		if u := longest[service]; u != nil {
			fields = append(fields, event.F("longest_unit", u.name().Key()), event.F("longest_ms", p.now.Sub(u.waitingAt).Milliseconds()), event.F("longest_tasks", u.size()), event.F("longest_causes", u.step.waited))
		}
		s.config.Events.Emit(eventBacklog, fields...)
	}
}

// longestWaiting returns the unit of the step that has waited longest, or nil if no pass has considered any.
func (s *step) longestWaiting() *unit {
	var longest *unit
	for _, u := range s.units {
		if u.state == waiting && !u.waitingAt.IsZero() && (longest == nil || u.waitingAt.Before(longest.waitingAt)) {
			longest = u
		}
	}
	return longest
}

// waitingSteps returns the steps that have units to start, and removes ended jobs from the list of unfinished ones.
func (s *Scheduler) waitingSteps(now time.Time) []rank {
	var ranks []rank
	wall := s.config.Now()
	s.unfinished = slices.DeleteFunc(s.unfinished, (*job).ended)
	budget := taskBudget{limit: s.config.Bounds.Tasks}
	for _, j := range s.unfinished {
		budget.kept += j.tasksKept()
	}
	for _, j := range s.unfinished {
		if now.Before(j.setAsideUntil) {
			continue
		}
		var found []rank
		if s.protect("job "+j.spec.ID, func() { found = s.waitingStepsOf(j, now, wall, &budget) }) {
			ranks = append(ranks, found...)
		} else {
			j.setAside(now)
		}
	}
	return ranks
}

// waitingStepsOf returns the steps of a job that have units to start.
func (s *Scheduler) waitingStepsOf(j *job, now, wall time.Time, budget *taskBudget) []rank {
	var ranks []rank
	s.refreshQueueSettings(j)
	s.createDueOccurrences(j, now, wall, budget)
	for _, o := range j.occurrences {
		if o == nil || o.stepsLeft == 0 {
			continue
		}
		for _, st := range o.steps {
			if st.unitsWaiting > 0 && st.ready() {
				ranks = append(ranks, s.rankStep(st, wall))
			}
		}
	}
	return ranks
}

// createDueOccurrences creates the occurrences that have become due, as far as the budget allows.
func (s *Scheduler) createDueOccurrences(j *job, now, wall time.Time, budget *taskBudget) {
	if j.occurrencesCreated == len(j.occurrences) {
		return
	}
	for k, o := range j.occurrences {
		if o != nil || wall.Before(j.spec.Due(k)) {
			continue
		}
		if !budget.take(j.spec.Tasks(), j.queueSettings.Priority == 0) {
			s.notePostponed(j, budget)
			return
		}
		j.createOccurrence(k)
		if j.queueSettings.Priority == 0 {
			s.urgentArrivedAt = now
		}
	}
}

// placeStep starts the waiting units of a step that fit.
func (p *plan) placeStep(r rank) {
	st := r.step
	pl := p.pools[st.occurrence.job.queueSettings.Service]
	if st.unitsWaiting == 0 || st.occurrence.job.ended() || p.triedInVain[st] {
		return
	}
	if pl == nil {
		st.noteWait(waitRoom, p.now)
		return
	}
	firstEarmark := len(p.earmarked)
	cause, waits, shareFull := p.placeUnits(pl, r)
	if len(p.ticketsMissing) > 0 {
		p.queryTickets(st, firstEarmark)
	}
	if shareFull {
		return
	}
	if waits {
		st.noteWait(cause, p.now)
		p.triedInVain[st] = true
	} else {
		st.consideredAt = time.Time{}
	}
}

// placeUnits starts the waiting units of a step that fit, and reports why the first of the others waits. It starts no more units once
// work that was set back holds its share.
func (p *plan) placeUnits(pl *pool, r rank) (cause waitCause, waits, shareFull bool) {
	st := r.step
	for _, u := range st.units {
		if u.state != waiting {
			continue
		}
		if p.now.Before(u.notBefore) {
			if !waits {
				cause, waits = waitPause, true
			}
			continue
		}
		if u.waitingAt.IsZero() {
			u.waitingAt = p.now
		}
		if r.assured && p.shareIsFull(pl, r) {
			return cause, waits, true
		}
		placed, why := p.placeUnit(pl, r, u)
		if placed {
			continue
		}
		if !waits || cause == waitPause {
			cause, waits = why, true
		}
		if p.othersFitNeither(pl, r, u, why) {
			break
		}
	}
	return cause, waits, false
}

// othersFitNeither reports whether the other tasks of the step need not be tried, since one that needs the same did not fit. Urgent ones may each
// preempt, some permanent ones may use the headroom, and one without failures may use quarantined workers that a unit on its last attempt may not.
func (p *plan) othersFitNeither(pl *pool, r rank, u *unit, why waitCause) bool {
	if u.index < 0 || r.class <= urgent || u.step.spec.Permanent || p.logIsLate || why == waitTicket || why == waitUnrecorded {
		return false
	}
	return u.failures == 0 || !p.mayIgnoreLimits(pl, u)
}

// waitCauseOf returns why a unit that chooseWorkers could not place just now has to wait.
func (p *plan) waitCauseOf(u *unit) waitCause {
	switch {
	case len(u.preemptedWorkers) > 0:
		return waitPreemption
	case p.noRackFits:
		return waitRack
	case mostOf(p.barredRoom) != waitRoom:
		return mostOf(p.barredRoom)
	case u.job().queueSettings.Advised && len(u.step.advice.tickets) == 0:
		return waitAdvice
	}
	return waitRoom
}

// placeUnit starts a unit if it fits, and reports whether it did or why not. Otherwise it may preempt other work or reserve
// workers for the unit.
func (p *plan) placeUnit(pl *pool, r rank, u *unit) (placed bool, why waitCause) {
	if u.suspectedOn > 0 {
		return false, waitUnrecorded
	}
	if p.logIsLate {
		return p.placeOnStandby(pl, r, u)
	}
	needs := p.requirementsOf(u)
	mayIgnore := p.mayIgnoreLimits(pl, u)
	if why, known := p.fitNowhere[needs]; known && u.index >= 0 && r.class > urgent {
		if mayIgnore {
			if chosen := p.chooseIgnoringLimits(pl, u, needs); chosen != nil {
				return p.startChosen(pl, r, u, chosen, true)
			}
		}
		return false, why
	}
	p.noRackFits, p.barredRoom = false, [waitCauses]int{}
	chosen := p.chooseWorkers(pl, u)
	if chosen == nil {
		if chosen = p.chooseFromHeadroom(pl, u); chosen != nil {
			defer p.markHeadroom(pl)
		}
	}
	if chosen != nil {
		return p.startChosen(pl, r, u, chosen, false)
	}
	if mayIgnore {
		if chosen = p.chooseIgnoringLimits(pl, u, needs); chosen != nil {
			return p.startChosen(pl, r, u, chosen, true)
		}
	}
	if u.job().queueSettings.Advised {
		p.explore(pl, r, u)
	}
	if r.class <= urgent {
		p.preempt(pl, r, u)
	} else if r.class <= late || r.assured || r.starved {
		p.reserve(pl, u)
	}
	why = p.waitCauseOf(u)
	if u.index >= 0 {
		p.fitNowhere[needs] = why
	}
	return false, why
}

// startChosen starts a unit on the chosen workers unless it has to wait for their tickets or for faster ones. limitsIgnored says that the
// workers are kept for other work.
func (p *plan) startChosen(pl *pool, r rank, u *unit, chosen []*worker, limitsIgnored bool) (placed bool, why waitCause) {
	if p.awaitTickets(u, chosen) {
		return false, waitTicket
	}
	if p.awaitsSpeed(pl, r, u, chosen) {
		return false, waitSpeed
	}
	if limitsIgnored {
		p.noteLimitsIgnored(pl, u, chosen)
	}
	p.start(pl, u, r, chosen)
	return true, 0
}

// start starts a run of a unit of rank r on the chosen workers.
func (p *plan) start(pl *pool, u *unit, r rank, chosen []*worker) {
	p.noteHeld(pl, u, r)
	p.noteUnsuited(u, chosen)
	if !p.logIsLate { // or the named ones would be certain no longer
		u.standby.named = p.nameStandby(pl, u, chosen)
	}
	p.scheduler.startRun(u, chosen, p.now)
}
