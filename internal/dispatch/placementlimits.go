package dispatch

import (
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

const (
	// standingGrace is how long a job stands still on a service that is less than half in use before room that is kept for other work may be
	// used for it. With the period of the check and a start it stays below the 3 s that the platform allows.
	standingGrace = time.Second
	// forcedPlacementPeriod is the least time between two such placements of a job, so that the first start can be answered.
	forcedPlacementPeriod = 500 * time.Millisecond
)

// standsBesideFreeRoom reports whether none of the job's runs has been at work for standingGrace although less than half of its service is in
// use, so that no limit that spreads room among the waiting units may hold it any longer. The platform expects this of each permanent task,
// however much is in use.
func (p *plan) standsBesideFreeRoom(pl *pool, u *unit) bool {
	j := u.job()
	if p.forcedInVain[u.step] && u.failures == 0 {
		return false
	}
	if u.step.spec.Permanent {
		return !u.waitingAt.IsZero() && p.now.Sub(u.waitingAt) >= permanentStartWait
	}
	return pl.shareInUse < 0.5 && !j.standsSince.IsZero() && p.now.Sub(j.standsSince) >= standingGrace && p.now.Sub(j.placementForcedAt) >= forcedPlacementPeriod
}

// chooseForStanding returns workers for a unit that standsBesideFreeRoom, or nil if it does not fit. It may use workers that are reserved, or
// kept free for urgent work, and then also quarantined ones and several racks. A permanent task, which never gives the room back, needs room
// twice over.
func (p *plan) chooseForStanding(pl *pool, u *unit) []*worker {
	if u.step.spec.Permanent && !p.hasRoomTwice(u) {
		p.forcedInVain[u.step] = true
		return nil
	}
	noRackFits, barredRoom := p.noRackFits, p.barredRoom
	p.forStanding = true
	defer func() { p.forStanding, p.noRackFits, p.barredRoom = false, noRackFits, barredRoom }()
	chosen := p.chooseWorkers(pl, u)
	if chosen == nil {
		chosen = p.chooseAnywhere(pl, u)
	}
	if chosen == nil {
		p.forcedInVain[u.step] = true
		return nil
	}
	j := u.job()
	since := j.standsSince
	if u.step.spec.Permanent {
		since = u.waitingAt
	}
	j.placementForcedAt = p.now
	reserved, quarantined := p.countKept(u, chosen)
	p.scheduler.config.Events.Emit(eventForcedPlacement, event.F("job", j.spec.ID), event.F("unit", u.name().Key()), event.F("workers", len(chosen)),
		event.F("stands_ms", p.now.Sub(since).Milliseconds()), event.F("in_use_percent", int(100*pl.shareInUse)), event.F("reserved", reserved), event.F("quarantined", quarantined))
	return chosen
}

// hasRoomTwice reports whether the workers of the unit's service have room for it twice over.
func (p *plan) hasRoomTwice(u *unit) bool {
	usable, unusable := p.scheduler.roomFor(u, p.now)
	return usable+unusable >= 2*u.size()
}

// chooseAnywhere chooses among all workers that take work, regardless of racks and quarantines.
func (p *plan) chooseAnywhere(pl *pool, u *unit) []*worker {
	workers := slices.Concat(pl.workers, pl.resting)
	if u.index < 0 {
		return p.pack(workers, u, freeNow)
	}
	if w := p.bestFit(workers, u, freeNow); w != nil {
		return []*worker{w}
	}
	return nil
}

// countKept returns how many of the chosen workers are kept for another step, and how many are quarantined.
func (p *plan) countKept(u *unit, chosen []*worker) (reserved, quarantined int) {
	for _, w := range chosen {
		if holder := p.keptFor[w]; holder != nil && holder != u.step {
			reserved++
		}
		if w.health.quarantine > 0 {
			quarantined++
		}
	}
	return reserved, quarantined
}

// mayRunQuarantined reports whether a unit may run on a quarantined worker. One that stands beside free room may unless it failed there, or
// its job would fail with one more failure.
func (p *plan) mayRunQuarantined(w *worker, u *unit) bool {
	if !p.forStanding {
		return w.mayProbe(u, p.now)
	}
	_, failedThere := u.avoidedWorkers[w.info.ID]
	return !failedThere && u.failures+1 < max(u.job().queueSettings.MaxAttempts, 1)
}
