package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Timings of a pass. The wait for locality lasts at least localityWait, and longer while the pool is not mostly idle.
const (
	backlogLogPeriod = 2 * time.Second         // least time between two log entries on the backlog
	localityWait     = 1500 * time.Millisecond // least wait before a unit runs off its data's rack or over several racks
)

// taskRequirements decide whether a single task fits anywhere.
type taskRequirements struct {
	service, label, rack string
	resources            workload.Resources
	step                 *step // nil unless other rules decide for each step which workers it may use
}

// requirements returns what decides where a single task fits.
func (u *unit) requirements() taskRequirements {
	settings, spec := u.job().queueSettings, u.step.spec
	needs := taskRequirements{service: settings.Service, label: spec.Label, rack: spec.DataRack, resources: u.step.resources()}
	if settings.Advised || spec.MaxPerWorker > 0 || len(u.reservedWorkers) > 0 {
		needs.step = u.step
	}
	return needs
}

// pool is the usable workers of one service during a pass.
type pool struct {
	workers        []*worker
	racks          map[string][]*worker // by rack; a rack lies in one data centre
	dataCentres    map[string][]*worker // by data centre
	accelerators   int64                // of all workers
	cpu            int64                // of all workers, in thousandths of a core
	freeAtStart    int64                // accelerators that were free at the start of the pass
	reserved       int64                // accelerators of workers kept free by reservations
	headroomTarget int64                // accelerators to be left free for urgent work
}

// plan is the state of one scheduling pass.
type plan struct {
	scheduler       *Scheduler
	now             time.Time
	pools           map[string]*pool
	keptFor         map[*worker]*step              // workers kept free for a step
	claimed         map[*worker]workload.Resources // resources of workers in keptFor that single tasks of that step have claimed
	headroomWorkers map[*worker]bool               // workers kept free for urgent work
	fitNowhere      map[taskRequirements]waitCause // requirements that no worker satisfied in this pass, and why
	fitsNotNow      map[*step]bool                 // steps of which units could not be placed in this pass
	held            map[kind]int64                 // what each kind of work holds, in its pool's scarcest resource

	// Why chooseWorkers found no room for the latest unit, see waitCauseOf.
	noRackFits   bool // neither the rack of its data nor any single rack that it should run in has room
	roomKeptFree bool // there is room on workers that are kept free for other work
}

// pass starts all waiting units that may start and fit.
func (s *Scheduler) pass(now time.Time) {
	begun := time.Now()
	ranks := s.waitingSteps(now)
	if len(ranks) == 0 {
		return
	}
	sortRanks(ranks)
	p := &plan{scheduler: s, now: now, pools: map[string]*pool{}, keptFor: map[*worker]*step{}, claimed: map[*worker]workload.Resources{}, fitNowhere: map[taskRequirements]waitCause{}, headroomWorkers: map[*worker]bool{}, held: map[kind]int64{}, fitsNotNow: map[*step]bool{}}
	for _, w := range s.workers {
		if w.usable(now) {
			p.addWorker(w)
		}
	}
	for _, pl := range p.pools {
		pl.sortByID()
		pl.headroomTarget = int64(headroomShare * float64(pl.accelerators))
	}
	ranks = p.preventStarvation(ranks)
	sortRanks(ranks)
	p.keepReservations(ranks)
	for _, pl := range p.pools {
		p.markHeadroom(pl)
	}
	for _, r := range ranks {
		p.placeStep(r)
	}
	s.metrics.passTime.RecordDuration(time.Since(begun))
	p.logBacklog()
}

// logBacklog logs at intervals what waits and what is free, so that the log explains why work waits that seems to fit.
func (p *plan) logBacklog() {
	s := p.scheduler
	if p.now.Sub(s.backlogLoggedAt) < backlogLogPeriod {
		return
	}
	waits := map[string][classCount]int{}
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
		s.config.Events.Emit(eventBacklog, event.F("service", service), event.F("workers", len(pl.workers)), event.F("accelerators", pl.accelerators), event.F("free", free),
			event.F("free_for_urgent_only", headroom), event.F("reserved", pl.reserved), event.F("waiting_guaranteed", perClass[guaranteed]), event.F("waiting_urgent", perClass[urgent]),
			event.F("waiting_on_time", perClass[onTime]), event.F("waiting_late", perClass[late]), event.F("waiting_overdue", perClass[overdue]))
	}
}

// waitingSteps returns the steps that have units to start, and removes ended jobs from the list of unfinished ones.
func (s *Scheduler) waitingSteps(now time.Time) []rank {
	var ranks []rank
	wall := s.config.Now()
	kept := s.unfinished[:0]
	for _, j := range s.unfinished {
		if j.ended() {
			continue
		}
		kept = append(kept, j)
		s.refreshQueueSettings(j)
		s.createDueOccurrences(j, wall)
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
	}
	clear(s.unfinished[len(kept):])
	s.unfinished = kept
	return ranks
}

// createDueOccurrences creates the occurrences that have become due.
func (s *Scheduler) createDueOccurrences(j *job, wall time.Time) {
	if j.occurrencesCreated == len(j.occurrences) {
		return
	}
	for k, o := range j.occurrences {
		if o == nil && !wall.Before(j.spec.Due(k)) {
			j.createOccurrence(k)
		}
	}
}

// addWorker adds a usable worker to the pool of its service.
func (p *plan) addWorker(w *worker) {
	pl := p.pools[w.info.Service]
	if pl == nil {
		pl = &pool{racks: map[string][]*worker{}, dataCentres: map[string][]*worker{}}
		p.pools[w.info.Service] = pl
	}
	pl.workers = append(pl.workers, w)
	pl.racks[w.info.Rack] = append(pl.racks[w.info.Rack], w)
	pl.dataCentres[w.info.DataCentre] = append(pl.dataCentres[w.info.DataCentre], w)
	pl.accelerators += w.info.Capacity.Accelerators
	pl.cpu += w.info.Capacity.CPU
	pl.freeAtStart += w.free.Accelerators
}

// sortByID makes the order of workers independent of the map they come from.
func (pl *pool) sortByID() {
	byID := func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) }
	slices.SortFunc(pl.workers, byID)
	for _, groups := range []map[string][]*worker{pl.racks, pl.dataCentres} {
		for _, group := range groups {
			slices.SortFunc(group, byID)
		}
	}
}

// mostlyIdle reports whether more than half of the pool's accelerators were free at the start of the pass.
func (pl *pool) mostlyIdle() bool { return 2*pl.freeAtStart > pl.accelerators }

// placeStep starts the waiting units of a step that fit.
func (p *plan) placeStep(r rank) {
	st := r.step
	pl := p.pools[st.occurrence.job.queueSettings.Service]
	if st.unitsWaiting == 0 || st.occurrence.job.ended() || p.fitsNotNow[st] {
		return
	}
	if pl == nil {
		st.noteWait(waitRoom, p.now)
		return
	}
	if st.occurrence.job.queueSettings.Advised {
		p.requestAdvice(pl, st)
	}
	var cause waitCause
	waits := false
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
			return
		}
		placed, why := p.placeUnit(pl, r, u)
		if placed {
			continue
		}
		if !waits || cause == waitPause {
			cause, waits = why, true
		}
		if u.index >= 0 && r.class > urgent {
			break // the step's other tasks need the same, so they do not fit either; urgent ones may each preempt
		}
	}
	if waits {
		st.noteWait(cause, p.now)
		p.fitsNotNow[st] = true
	} else {
		st.consideredAt = time.Time{}
	}
}

// waitCauseOf returns why a unit that chooseWorkers could not place just now has to wait.
func (p *plan) waitCauseOf(u *unit) waitCause {
	switch {
	case len(u.preemptedWorkers) > 0:
		return waitPreemption
	case p.noRackFits:
		return waitRack
	case p.roomKeptFree:
		return waitKeptFree
	}
	return waitRoom
}

// placeUnit starts a unit if it fits, and reports whether it did or why not. Otherwise it may preempt other work or reserve
// workers for the unit.
func (p *plan) placeUnit(pl *pool, r rank, u *unit) (placed bool, why waitCause) {
	if u.job().queueSettings.Advised && u.step.advice.ticketsExpireAt.Before(p.now) {
		return false, waitAdvice
	}
	needs := u.requirements()
	if why, known := p.fitNowhere[needs]; known && u.index >= 0 && r.class > urgent {
		return false, why
	}
	p.noRackFits, p.roomKeptFree = false, false
	if chosen := p.chooseWorkers(pl, u); chosen != nil {
		p.start(pl, u, r, chosen)
		return true, 0
	}
	if chosen := p.chooseFromHeadroom(pl, u); chosen != nil {
		p.start(pl, u, r, chosen)
		p.markHeadroom(pl)
		return true, 0
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

// start starts a run of a unit of rank r on the chosen workers.
func (p *plan) start(pl *pool, u *unit, r rank, chosen []*worker) {
	p.noteHeld(pl, u, r)
	p.scheduler.startRun(u, chosen, p.now)
}

// chooseWorkers returns a worker for each task of a unit, or nil if the unit does not fit.
func (p *plan) chooseWorkers(pl *pool, u *unit) []*worker {
	spec := u.step.spec
	waited := p.now.Sub(u.waitingAt)
	free := func(w *worker) workload.Resources { return w.free }
	if u.index >= 0 {
		if spec.DataRack != "" {
			if w := p.bestFit(pl.racks[spec.DataRack], u, free); w != nil {
				return []*worker{w}
			}
			if p.fitsWhenEmpty(pl.racks[spec.DataRack], u) && (waited < localityWait || !pl.mostlyIdle()) {
				p.noRackFits = true
				return nil
			}
		}
		if w := p.bestFit(pl.workers, u, free); w != nil {
			return []*worker{w}
		}
		return nil
	}
	if chosen := p.packInOneRack(pl, u, free); chosen != nil {
		return chosen
	}
	oneRack := spec.SameRack || spec.DataRack != ""
	if oneRack && p.fitsInOneRackWhenEmpty(pl, u) && (waited < localityWait || !pl.mostlyIdle()) {
		p.noRackFits = true
		return nil
	}
	// A gang that spans data centres stands still whenever one of them is cut off from the others.
	if chosen := p.packInOneGroup(pl.dataCentres, u, free); chosen != nil {
		return chosen
	}
	return p.pack(pl.workers, u, free)
}

// packInOneRack places a gang in the rack of its data or, if it should run in one rack, in the one with the fewest free
// accelerators.
func (p *plan) packInOneRack(pl *pool, u *unit, free func(*worker) workload.Resources) []*worker {
	spec := u.step.spec
	if spec.DataRack != "" {
		return p.pack(pl.racks[spec.DataRack], u, free)
	}
	if !spec.SameRack {
		return nil
	}
	return p.packInOneGroup(pl.racks, u, free)
}

// packInOneGroup places a gang in the group of workers with the fewest free accelerators of those in which it fits.
func (p *plan) packInOneGroup(groups map[string][]*worker, u *unit, free func(*worker) workload.Resources) []*worker {
	var best []*worker
	bestLeft := int64(0)
	for _, name := range sortedKeys(groups) {
		group := groups[name]
		chosen := p.pack(group, u, free)
		if chosen == nil {
			continue
		}
		left := int64(0)
		for _, w := range group {
			left += free(w).Accelerators
		}
		if best == nil || left < bestLeft {
			best, bestLeft = chosen, left
		}
	}
	return best
}

func sortedKeys(groups map[string][]*worker) []string {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// allowed reports whether a worker may run tasks of a unit, regardless of its free resources.
func (p *plan) allowed(w *worker, u *unit) bool {
	if holder := p.keptFor[w]; holder != nil && holder != u.step && (holder.urgent() || !u.urgent()) {
		return false // an urgent unit may use workers kept for a step that is not urgent
	}
	if w.health.quarantine > 0 && (u.index < 0 || len(w.members) > 0) {
		return false // a probe is a single task, and no gang is risked on a quarantined worker
	}
	if p.headroomWorkers[w] && !u.urgent() {
		return false
	}
	if u.job().queueSettings.Advised && !u.step.advice.allows(w, p.now) {
		return false
	}
	return u.step.spec.Label == "" || slices.Contains(w.info.Labels, u.step.spec.Label)
}

// isLastResort reports whether a unit should run on a worker only if no other has room: the unit failed there, or it would
// interfere with the tasks there.
func (p *plan) isLastResort(w *worker, u *unit) bool {
	_, failedThere := u.avoidedWorkers[w.info.ID]
	return failedThere || w.interferesWith(u.step.spec)
}

// spreadAllowance returns how many more tasks of the unit's step may run on the worker.
func (u *unit) spreadAllowance(w *worker) int {
	limit := u.step.spec.MaxPerWorker
	if limit <= 0 {
		return 1 << 30
	}
	for _, m := range w.members {
		if m.unit.step == u.step {
			limit--
		}
	}
	return max(limit, 0)
}

// bestFit returns the allowed worker with the fewest free accelerators on which a task of the unit fits, or nil. Workers
// of last resort come after all others.
func (p *plan) bestFit(workers []*worker, u *unit, free func(*worker) workload.Resources) *worker {
	resources := u.step.resources()
	var best *worker
	bestKey := [3]int64{}
	for _, w := range workers {
		have := free(w)
		if !resources.Fits(have) {
			continue
		}
		if !p.allowed(w, u) {
			p.roomKeptFree = true
			continue
		}
		if u.spreadAllowance(w) == 0 {
			continue
		}
		key := [3]int64{0, have.Accelerators, have.CPU}
		if p.isLastResort(w, u) {
			key[0] = 1
		}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = w, key
		}
	}
	return best
}

// pack places all tasks of a gang on the given workers, or returns nil. It fills the workers with the fewest free
// accelerators first, and workers of last resort last.
func (p *plan) pack(workers []*worker, u *unit, free func(*worker) workload.Resources) []*worker {
	resources, need := u.step.resources(), u.size()
	type candidate struct {
		worker     *worker
		tasks      int
		lastResort bool
	}
	candidates := make([]candidate, 0, len(workers))
	fitting, keptFree := 0, 0
	for _, w := range workers {
		n := min(resources.Count(free(w)), u.spreadAllowance(w))
		if n == 0 {
			continue
		}
		if !p.allowed(w, u) {
			keptFree += n
			continue
		}
		candidates = append(candidates, candidate{w, n, p.isLastResort(w, u)})
		fitting += n
	}
	if fitting < need {
		p.roomKeptFree = p.roomKeptFree || fitting+keptFree >= need
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.lastResort != b.lastResort {
			if a.lastResort {
				return 1
			}
			return -1
		}
		return cmp.Compare(free(a.worker).Accelerators, free(b.worker).Accelerators)
	})
	chosen := make([]*worker, 0, need)
	for _, c := range candidates {
		for range min(c.tasks, need-len(chosen)) {
			chosen = append(chosen, c.worker)
		}
	}
	return chosen
}

// capacityOf returns the resources of a worker on which nothing runs.
func capacityOf(w *worker) workload.Resources { return w.info.Capacity }

// fitsWhenEmpty reports whether a task of the unit would fit on one of the workers if nothing ran there.
func (p *plan) fitsWhenEmpty(workers []*worker, u *unit) bool {
	for _, w := range workers {
		if u.step.resources().Fits(capacityOf(w)) && (u.step.spec.Label == "" || slices.Contains(w.info.Labels, u.step.spec.Label)) {
			return true
		}
	}
	return false
}

// fitsInOneRackWhenEmpty reports whether the whole gang would fit in one rack if nothing ran there.
func (p *plan) fitsInOneRackWhenEmpty(pl *pool, u *unit) bool {
	empty := &plan{scheduler: p.scheduler, now: p.now}
	return empty.packInOneRack(pl, u, capacityOf) != nil
}

// recordJobRunning records that the first task of a job runs.
func (s *Scheduler) recordJobRunning(j *job) {
	if j.state != ledger.Queued {
		return
	}
	j.state = ledger.Running
	s.config.Jobs.Put(nil, ledger.OutcomeRecord(j.spec.ID, ledger.Outcome{State: ledger.Running, Time: s.config.Now()}))
}
