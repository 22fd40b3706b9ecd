package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// localityWait is the least wait before a unit runs off its data's rack or over several racks. The wait is longer while the pool is not
// mostly idle and the rack would have room if its tasks ended, but not for permanent units.
const localityWait = 1500 * time.Millisecond

// chooseWorkers returns a worker for each task of a unit, or nil if the unit does not fit.
func (p *plan) chooseWorkers(pl *pool, u *unit) []*worker {
	spec := u.step.spec
	waited := p.now.Sub(u.waitingAt)
	free := freeNow
	if u.index >= 0 {
		if spec.DataRack != "" {
			if w := p.bestFit(pl.racks[spec.DataRack], u, free); w != nil {
				return []*worker{w}
			}
			if p.mayFitLater(pl.racks[spec.DataRack], u) && (waited < localityWait || !spec.Permanent && !pl.mostlyIdle()) {
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
	if oneRack && p.fitsInOneRack(pl, u, freeLater) && (waited < localityWait || !spec.Permanent && !pl.mostlyIdle()) {
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

// packInOneGroup places a gang in the group of workers with the least room, in the scarcest resource, of those in which it fits. It
// prefers groups in which the gang probes no quarantined worker, then those whose speed is the best for it.
func (p *plan) packInOneGroup(groups map[string][]*worker, u *unit, free func(*worker) workload.Resources) []*worker {
	var best []*worker
	bestKey := [3]int64{}
	pl, goal := p.pools[u.job().queueSettings.Service], p.goal(u.step)
	for _, name := range sortedKeys(groups) {
		group := groups[name]
		chosen := p.pack(group, u, free)
		if chosen == nil {
			continue
		}
		left := int64(0)
		for _, w := range group {
			left += pl.scarceCapacity(free(w))
		}
		key := [3]int64{quarantinedAmong(chosen), int64(goal.worstOrder(chosen)), left}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = chosen, key
		}
	}
	return best
}

// quarantinedAmong returns how many of the workers are quarantined.
func quarantinedAmong(workers []*worker) int64 {
	n := int64(0)
	for _, w := range workers {
		if w.health.quarantine > 0 {
			n++
		}
	}
	return n
}

// allowed reports whether a worker may run tasks of a unit, regardless of its free resources.
func (p *plan) allowed(w *worker, u *unit) bool {
	_, barred := p.barrier(w, u)
	return !barred
}

// barrier returns why a worker may not run tasks of a unit, regardless of its free resources, and false if it may.
func (p *plan) barrier(w *worker, u *unit) (cause waitCause, barred bool) {
	if u.job().queueSettings.Advised && !u.step.advice.approves(w) {
		return waitAdvice, true
	}
	if !w.hasLabel(u.step.spec.Label) {
		return waitRoom, true
	}
	if holder := p.keptFor[w]; holder != nil && holder != u.step && (holder.urgent() || !u.urgent()) && (!p.ignoreLimits || p.staysReserved(w, holder)) {
		return waitReserved, true // an urgent unit may use workers kept for a step that is not urgent
	}
	if w.health.quarantine > 0 && !p.mayRunQuarantined(w, u) {
		return waitQuarantine, true
	}
	if p.headroomWorkers[w] && !p.ignoreLimits && !p.mayUseHeadroom(u) {
		return waitHeadroom, true
	}
	return 0, false
}

// preference orders the allowed workers for a unit.
type preference int

const (
	preferred  preference = iota
	unticketed            // the unit has to wait for the advisor's ticket
	lastResort            // the unit failed there, it would interfere with the tasks there, or the worker is quarantined
)

// preferenceFor returns how much a unit should run on a worker that is allowed for it.
func (p *plan) preferenceFor(w *worker, u *unit) preference {
	_, failedThere := u.avoidedWorkers[w.info.ID]
	switch a := &u.step.advice; {
	case failedThere || w.health.quarantine > 0 || w.interferesWith(u.step.spec):
		return lastResort
	case u.job().queueSettings.Advised && !a.hasTicket(w, p.now) && !a.named[w.info.ID]:
		return unticketed
	}
	return preferred
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

// bestFit returns the allowed worker with the fewest free accelerators of the most preferred ones, with the best speed among these, on
// which a task of the unit fits, or nil.
func (p *plan) bestFit(workers []*worker, u *unit, free func(*worker) workload.Resources) *worker {
	resources := u.step.resources()
	var best *worker
	goal := p.goal(u.step)
	var bestPreference preference
	bestRoom := [3]int64{}
	for _, w := range workers {
		have := free(w)
		if !resources.Fits(have) {
			continue
		}
		room := [3]int64{int64(goal.order(w)), have.Accelerators, have.CPU}
		better := best == nil || slices.Compare(room[:], bestRoom[:]) < 0
		if !better && bestPreference == preferred {
			continue // most workers, without the checks that follow
		}
		if cause, barred := p.barrier(w, u); barred {
			p.barredRoom[cause]++
			continue
		}
		if u.spreadAllowance(w) == 0 {
			continue
		}
		if preference := p.preferenceFor(w, u); best == nil || preference < bestPreference || preference == bestPreference && better {
			best, bestPreference, bestRoom = w, preference, room
		}
	}
	return best
}

// pack places all tasks of a gang on the given workers, or returns nil. It fills preferred workers first, and those with the
// least room first among them, in the scarcest resource. If workers differ in speed, the gang's members get ones that are alike.
func (p *plan) pack(workers []*worker, u *unit, free func(*worker) workload.Resources) []*worker {
	resources, need := u.step.resources(), u.size()
	pl := p.pools[u.job().queueSettings.Service]
	goal := p.goal(u.step)
	candidates := make([]gangCandidate, 0, len(workers))
	fitting, barred := 0, [waitCauses]int{}
	for _, w := range workers {
		n := min(resources.Count(free(w)), u.spreadAllowance(w))
		if n == 0 {
			continue
		}
		if cause, isBarred := p.barrier(w, u); isBarred {
			barred[cause] += n
			continue
		}
		candidates = append(candidates, gangCandidate{w, n, p.preferenceFor(w, u), goal.order(w)})
		fitting += n
	}
	if fitting < need {
		if fitting+sum(barred[:]) >= need {
			for cause, tasks := range barred {
				p.barredRoom[cause] += tasks
			}
		}
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b gangCandidate) int {
		return cmp.Or(cmp.Compare(a.preference, b.preference), cmp.Compare(pl.scarceCapacity(free(a.worker)), pl.scarceCapacity(free(b.worker))))
	})
	chosen := make([]*worker, 0, need)
	for _, c := range goal.alike(candidates, need) {
		for range min(c.tasks, need-len(chosen)) {
			chosen = append(chosen, c.worker)
		}
	}
	return chosen
}

// freeNow returns the resources of a worker that no task has booked.
func freeNow(w *worker) workload.Resources { return w.free }

// capacityOf returns the resources of a worker on which nothing runs.
func capacityOf(w *worker) workload.Resources { return w.info.Capacity }

// freeLater returns the resources of a worker that are free once its tasks that end have ended. Permanent ones do not.
func freeLater(w *worker) workload.Resources {
	free := capacityOf(w)
	for _, m := range w.members {
		if m.unit.step.spec.Permanent {
			free = free.Minus(m.resources)
		}
	}
	return free
}

// mayFitLater reports whether a task of the unit would fit on one of the workers once the tasks there that end have ended.
func (p *plan) mayFitLater(workers []*worker, u *unit) bool {
	for _, w := range workers {
		if u.step.resources().Fits(freeLater(w)) && w.hasLabel(u.step.spec.Label) {
			return true
		}
	}
	return false
}

// fitsWhenIdle reports whether the unit would fit on the workers that are allowed for it if nothing ran there.
func (p *plan) fitsWhenIdle(pl *pool, u *unit) bool {
	if u.index >= 0 {
		return p.bestFit(pl.workers, u, capacityOf) != nil
	}
	return p.pack(pl.workers, u, capacityOf) != nil
}

// fitsInOneRack reports whether the whole gang would fit in one rack with the given free resources, if no worker was kept free.
func (p *plan) fitsInOneRack(pl *pool, u *unit, free func(*worker) workload.Resources) bool {
	empty := &plan{scheduler: p.scheduler, now: p.now}
	if rack := u.step.spec.DataRack; rack != "" {
		return empty.hasRoom(pl.racks[rack], u, free)
	}
	if !u.step.spec.SameRack {
		return false
	}
	for _, rack := range pl.racks {
		if empty.hasRoom(rack, u, free) {
			return true
		}
	}
	return false
}

// hasRoom reports whether all tasks of a gang fit on the workers that are allowed for it.
func (p *plan) hasRoom(workers []*worker, u *unit, free func(*worker) workload.Resources) bool {
	resources, need := u.step.resources(), u.size()
	for _, w := range workers {
		if n := min(resources.Count(free(w)), u.spreadAllowance(w), need); n > 0 && p.allowed(w, u) {
			if need -= n; need == 0 {
				return true
			}
		}
	}
	return false
}
