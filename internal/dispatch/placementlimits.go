package dispatch

import (
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

const (
	// standstillGrace is how long a job stands still on a service that is less than half in use before room that is kept for other work may be
	// used for it. With the period of the check and a start it stays below the 3 s that the platform allows.
	standstillGrace = time.Second
	// limitsIgnoredPeriod is the least time between two such placements of a job, so that the first start can be answered.
	limitsIgnoredPeriod = 500 * time.Millisecond
)

// mayIgnoreLimits reports whether none of the job's runs has been at work for standstillGrace although less than half of its service is in
// use, so that the room which is kept for other work may be used for the unit. A permanent task may use it however much is in use, as the
// platform allows 3 s for each of them.
func (p *plan) mayIgnoreLimits(pl *pool, u *unit) bool {
	if u.step.spec.Permanent {
		return !u.waitingAt.IsZero() && p.now.Sub(u.waitingAt) >= permanentStartWait
	}
	j := u.job()
	return pl.shareInUse < 0.5 && !j.standsSince.IsZero() && p.now.Sub(j.standsSince) >= standstillGrace && p.now.Sub(j.limitsIgnoredAt) >= limitsIgnoredPeriod
}

// chooseIgnoringLimits returns workers for a unit that mayIgnoreLimits, or nil if it does not fit. It may use workers that are reserved, or
// kept free for urgent work, and then also quarantined ones and several racks. A permanent task, which never gives the room back, needs room
// twice over.
func (p *plan) chooseIgnoringLimits(pl *pool, u *unit, needs taskRequirements) (chosen []*worker) {
	alike := u.index >= 0 && u.failures == 0 && len(u.avoidedWorkers) == 0 // to other units with the same requirements
	if alike && p.ignoredInVain[needs] {
		return nil
	}
	noRackFits, barredRoom := p.noRackFits, p.barredRoom
	p.ignoreLimits = true
	defer func() { p.ignoreLimits, p.noRackFits, p.barredRoom = false, noRackFits, barredRoom }()
	if !u.step.spec.Permanent || p.hasRoomTwice(u) {
		if chosen = p.chooseWorkers(pl, u); chosen == nil {
			chosen = p.chooseAnywhere(pl, u)
		}
	}
	if chosen == nil && alike {
		p.ignoredInVain[needs] = true
	}
	return chosen
}

// noteLimitsIgnored logs that a unit is placed on workers that chooseIgnoringLimits returned.
func (p *plan) noteLimitsIgnored(pl *pool, u *unit, chosen []*worker) {
	j := u.job()
	since := j.standsSince
	if u.step.spec.Permanent {
		since = u.waitingAt
	}
	j.limitsIgnoredAt = p.now
	reserved, quarantined := p.countKept(u, chosen)
	p.scheduler.config.Events.Emit(eventLimitsIgnored, event.F("job", j.spec.ID), event.F("unit", u.name().Key()), event.F("workers", len(chosen)),
		event.F("stands_ms", p.now.Sub(since).Milliseconds()), event.F("in_use_percent", int(100*pl.shareInUse)), event.F("reserved", reserved), event.F("quarantined", quarantined))
}

// staysReserved reports whether a unit that mayIgnoreLimits leaves a reserved worker to the step that it is kept for: if work was stopped
// for the step, if the step is urgent, or if it has waited so long that it would starve beside smaller work.
func (p *plan) staysReserved(w *worker, holder *step) bool {
	if p.preemptedFor[w] || holder.urgent() {
		return true
	}
	longest := holder.longestWaiting()
	return longest != nil && p.now.Sub(longest.waitingAt) > starvationBound
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
// its job would fail with one more failure, which those of permanent tasks do not count for.
func (p *plan) mayRunQuarantined(w *worker, u *unit) bool {
	if !p.ignoreLimits {
		return w.mayProbe(u, p.now)
	}
	_, failedThere := u.avoidedWorkers[w.info.ID]
	return !failedThere && (u.step.spec.Permanent || u.failures+1 < max(u.job().queueSettings.MaxAttempts, 1))
}
