package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Limits of a pass.
const (
	surveyPeriod = 2 * time.Second         // between two log lines on what waits and what is free
	remoteAfter  = 1500 * time.Millisecond // wait before work runs away from its data or spread, while half the fleet is idle
)

// shape is what decides whether a single task fits anywhere.
type shape struct {
	service, label, rack string
	room                 workload.Resources
	advised              *step // a step whose workers need to be allowed is like no other
}

// pool is the usable workers of one service during a pass.
type pool struct {
	workers  []*worker
	racks    map[string][]*worker
	total    int64 // accelerators
	free     int64 // at the start of the pass
	reserved int64 // accelerators kept free in this pass
	headroom int64 // accelerators that less urgent work leaves free
}

// plan is the state of one pass.
type plan struct {
	s        *Scheduler
	now      time.Time
	pools    map[string]*pool
	blocked  map[*worker]*step              // kept free for a step
	claimed  map[*worker]workload.Resources // of blocked workers, by single tasks of the step that wait for it
	headroom map[*worker]bool               // kept free for urgent work
	misfits  map[shape]bool                 // found to fit nowhere
}

// pass starts what can start.
func (s *Scheduler) pass(now time.Time) {
	begun := time.Now()
	ranks := s.waitingSteps(now)
	if len(ranks) == 0 {
		return
	}
	sortRanks(ranks)
	p := &plan{s: s, now: now, pools: map[string]*pool{}, blocked: map[*worker]*step{}, claimed: map[*worker]workload.Resources{}, misfits: map[shape]bool{}, headroom: map[*worker]bool{}}
	for _, w := range s.workers {
		if w.usable(now) {
			p.add(w)
		}
	}
	for _, pl := range p.pools {
		pl.sort()
		pl.headroom = int64(headroomShare * float64(pl.total))
	}
	p.keepReservations(ranks)
	for _, pl := range p.pools {
		p.keepHeadroom(pl)
	}
	for _, r := range ranks {
		p.place(r)
	}
	s.meters.pass.RecordDuration(time.Since(begun))
	p.survey()
}

// survey tells now and then what waits and what is free, so that the log explains why work that seems to fit waits.
func (p *plan) survey() {
	s := p.s
	if p.now.Sub(s.surveyed) < surveyPeriod {
		return
	}
	waits := map[string][classes]int{}
	for _, j := range s.live {
		for _, o := range j.occurrences {
			if o == nil || o.left == 0 || j.ended() {
				continue
			}
			for _, st := range o.steps {
				if st.waiting > 0 && st.ready() {
					perClass := waits[j.terms.Service]
					perClass[s.rankStep(st, s.c.Now()).class] += st.waiting
					waits[j.terms.Service] = perClass
				}
			}
		}
	}
	for service, perClass := range waits {
		pl := p.pools[service]
		if pl == nil {
			pl = &pool{}
		}
		s.surveyed = p.now
		free, headroom := int64(0), int64(0)
		for _, w := range pl.workers {
			free += w.free.Accelerators
			if p.headroom[w] {
				headroom += w.free.Accelerators
			}
		}
		s.c.Events.Emit(eventSurvey, event.F("service", service), event.F("workers", len(pl.workers)), event.F("accelerators", pl.total), event.F("free", free),
			event.F("free_for_urgent_only", headroom), event.F("reserved", pl.reserved), event.F("waiting_guaranteed", perClass[guaranteed]), event.F("waiting_urgent", perClass[urgent]),
			event.F("waiting_on_time", perClass[onTime]), event.F("waiting_late", perClass[late]), event.F("waiting_overdue", perClass[overdue]))
	}
}

// waitingSteps returns the steps that have units to start, and drops ended jobs from the list of live ones.
func (s *Scheduler) waitingSteps(now time.Time) []rank {
	var ranks []rank
	wall := s.c.Now()
	kept := s.live[:0]
	for _, j := range s.live {
		if j.ended() {
			continue
		}
		kept = append(kept, j)
		s.refreshQueue(j)
		s.openDue(j, wall)
		for _, o := range j.occurrences {
			if o == nil || o.left == 0 {
				continue
			}
			for _, st := range o.steps {
				if st.waiting > 0 && st.ready() {
					ranks = append(ranks, s.rankStep(st, wall))
				}
			}
		}
	}
	clear(s.live[len(kept):])
	s.live = kept
	return ranks
}

// openDue builds the occurrences that have become due.
func (s *Scheduler) openDue(j *job, wall time.Time) {
	if j.begun == len(j.occurrences) {
		return
	}
	for k, o := range j.occurrences {
		if o == nil && !wall.Before(j.spec.Due(k)) {
			j.open(k)
		}
	}
}

func (p *plan) add(w *worker) {
	pl := p.pools[w.info.Service]
	if pl == nil {
		pl = &pool{racks: map[string][]*worker{}}
		p.pools[w.info.Service] = pl
	}
	pl.workers = append(pl.workers, w)
	pl.racks[w.info.Rack] = append(pl.racks[w.info.Rack], w)
	pl.total += w.info.Capacity.Accelerators
	pl.free += w.free.Accelerators
}

func (pl *pool) sort() {
	byID := func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) }
	slices.SortFunc(pl.workers, byID)
	for _, rack := range pl.racks {
		slices.SortFunc(rack, byID)
	}
}

// idle reports whether more than half of the pool is free.
func (pl *pool) idle() bool { return 2*pl.free > pl.total }

// place starts the waiting units of a step as far as they fit.
func (p *plan) place(r rank) {
	st := r.step
	pl := p.pools[st.occurrence.job.terms.Service]
	if pl == nil {
		return
	}
	if st.waiting == 0 || st.occurrence.job.ended() {
		return
	}
	if st.occurrence.job.terms.Advised {
		p.seekAdvice(pl, st)
	}
	for _, u := range st.units {
		if u.state != waiting || p.now.Before(u.notBefore) {
			continue
		}
		if u.waitingAt.IsZero() {
			u.waitingAt = p.now
		}
		if !p.placeUnit(pl, r, u) && u.index >= 0 && r.class > urgent {
			return // the other tasks of the step are equal
		}
	}
}

// placeUnit starts a unit and reports whether it fitted.
func (p *plan) placeUnit(pl *pool, r rank, u *unit) bool {
	if u.job().terms.Advised && u.step.advice.until.Before(p.now) {
		return false
	}
	sh := shape{r.step.occurrence.job.terms.Service, r.step.spec.Label, r.step.spec.DataRack, r.step.room(), nil}
	if u.job().terms.Advised {
		sh.advised = u.step
	}
	if u.index >= 0 && p.misfits[sh] && r.class > urgent {
		return false
	}
	if chosen := p.choose(pl, u); chosen != nil {
		p.s.activate(u, chosen, p.now)
		return true
	}
	if chosen := p.chooseFromHeadroom(pl, u); chosen != nil {
		p.s.activate(u, chosen, p.now)
		p.keepHeadroom(pl)
		return true
	}
	if u.index >= 0 {
		p.misfits[sh] = true
	}
	if r.class <= urgent {
		p.reclaim(pl, r, u)
	} else if r.class <= late {
		p.reserve(pl, u)
	}
	return false
}

// choose returns a worker for each task of a unit, or nil.
func (p *plan) choose(pl *pool, u *unit) []*worker {
	spec := u.step.spec
	waited := p.now.Sub(u.waitingAt)
	free := func(w *worker) workload.Resources { return w.free }
	if u.index >= 0 {
		if spec.DataRack != "" {
			if w := p.bestFit(pl.racks[spec.DataRack], u, free); w != nil {
				return []*worker{w}
			}
			if p.possible(pl.racks[spec.DataRack], u) && (waited < remoteAfter || !pl.idle()) {
				return nil
			}
		}
		if w := p.bestFit(pl.workers, u, free); w != nil {
			return []*worker{w}
		}
		return nil
	}
	if chosen := p.gangRack(pl, u, free); chosen != nil {
		return chosen
	}
	oneRack := spec.SameRack || spec.DataRack != ""
	if oneRack && p.possibleInOneRack(pl, u) && (waited < remoteAfter || !pl.idle()) {
		return nil
	}
	return p.pack(pl.workers, u, free)
}

// gangRack places a gang within one rack, the one that is left with the least room.
func (p *plan) gangRack(pl *pool, u *unit, free func(*worker) workload.Resources) []*worker {
	spec := u.step.spec
	if spec.DataRack != "" {
		return p.pack(pl.racks[spec.DataRack], u, free)
	}
	if !spec.SameRack {
		return nil
	}
	var best []*worker
	bestLeft := int64(0)
	for _, name := range sortedKeys(pl.racks) {
		rack := pl.racks[name]
		chosen := p.pack(rack, u, free)
		if chosen == nil {
			continue
		}
		left := int64(0)
		for _, w := range rack {
			left += free(w).Accelerators
		}
		if best == nil || left < bestLeft {
			best, bestLeft = chosen, left
		}
	}
	return best
}

func sortedKeys(racks map[string][]*worker) []string {
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// allowed reports whether a worker may run tasks of a unit at all.
func (p *plan) allowed(w *worker, u *unit) bool {
	if holder := p.blocked[w]; holder != nil && holder != u.step && (holder.urgent() || !u.urgent()) {
		return false
	}
	if w.health.pause > 0 && (u.index < 0 || len(w.members) > 0) {
		return false // a probe is one task, and no gang is risked on it
	}
	if p.headroom[w] && !u.urgent() {
		return false
	}
	if u.job().terms.Advised && !u.step.advice.allows(w, p.now) {
		return false
	}
	return u.step.spec.Label == "" || slices.Contains(w.info.Labels, u.step.spec.Label)
}

// poor reports whether a worker is a last resort for a unit: it failed there, or it would disturb or be disturbed there.
func (p *plan) poor(w *worker, u *unit) bool {
	_, bad := u.avoid[w.info.ID]
	return bad || w.disturbs(u.step.spec)
}

// spreadLeft returns how many more tasks of the unit's step the worker may run.
func (u *unit) spreadLeft(w *worker) int {
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

// bestFit returns the allowed worker that is left with the fewest accelerators, preferring workers on which the unit has
// not failed.
func (p *plan) bestFit(workers []*worker, u *unit, free func(*worker) workload.Resources) *worker {
	room := u.step.room()
	var best *worker
	bestKey := [3]int64{}
	for _, w := range workers {
		have := free(w)
		if !room.Fits(have) || !p.allowed(w, u) || u.spreadLeft(w) == 0 {
			continue
		}
		key := [3]int64{0, have.Accelerators, have.CPU}
		if p.poor(w, u) {
			key[0] = 1
		}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = w, key
		}
	}
	return best
}

// pack places all tasks of a gang on the given workers, on those with the least room first, or returns nil.
func (p *plan) pack(workers []*worker, u *unit, free func(*worker) workload.Resources) []*worker {
	room, need := u.step.room(), u.size()
	type seat struct {
		w     *worker
		n     int
		avoid bool
	}
	seats := make([]seat, 0, len(workers))
	sum := 0
	for _, w := range workers {
		if !p.allowed(w, u) {
			continue
		}
		n := min(room.Count(free(w)), u.spreadLeft(w))
		if n == 0 {
			continue
		}
		seats = append(seats, seat{w, n, p.poor(w, u)})
		sum += n
	}
	if sum < need {
		return nil
	}
	slices.SortStableFunc(seats, func(a, b seat) int {
		if a.avoid != b.avoid {
			if a.avoid {
				return 1
			}
			return -1
		}
		return cmp.Compare(free(a.w).Accelerators, free(b.w).Accelerators)
	})
	chosen := make([]*worker, 0, need)
	for _, st := range seats {
		for range min(st.n, need-len(chosen)) {
			chosen = append(chosen, st.w)
		}
	}
	return chosen
}

// whole is a worker's room when nothing runs on it.
func whole(w *worker) workload.Resources { return w.info.Capacity }

// possible reports whether one of the workers could run a task of the unit if it were empty.
func (p *plan) possible(workers []*worker, u *unit) bool {
	for _, w := range workers {
		if u.step.room().Fits(whole(w)) && (u.step.spec.Label == "" || slices.Contains(w.info.Labels, u.step.spec.Label)) {
			return true
		}
	}
	return false
}

// possibleInOneRack reports whether a rack could run the whole gang if it were empty.
func (p *plan) possibleInOneRack(pl *pool, u *unit) bool {
	empty := &plan{s: p.s, now: p.now}
	return empty.gangRack(pl, u, whole) != nil
}

// beginJob records that the first task of a job runs.
func (s *Scheduler) beginJob(j *job) {
	if j.state != ledger.Queued {
		return
	}
	j.state = ledger.Running
	s.c.Jobs.Put(nil, ledger.OutcomeRecord(j.spec.ID, ledger.Outcome{State: ledger.Running, Time: s.c.Now()}))
}
