package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Timings and limits of the report on jobs that stand still.
const (
	standstillPeriod    = 500 * time.Millisecond // interval between two checks
	standstillAfter     = 3 * time.Second        // the platform expects a job that could run to have something running by then
	standstillLogPeriod = 5 * time.Second        // least time between two log entries on a job
	maxStandstillEvents = 10                     // most jobs that one check logs; the gauge counts all of them
)

// Reasons why a unit that is not waiting has nothing running. Those of waiting ones are in waitNames.
const (
	standsRecord   = "record"         // its run is not recorded yet
	standsStart    = "start order"    // the order to start it is not answered, or waits to be sent
	standsStop     = "stop order"     // its run is to end, and the worker has not confirmed that it has
	standsSilent   = "silent worker"  // its worker is not heard, so its run may go on until the leases are over
	standsSetAside = "set aside"      // the handling of its job panicked
	standsUnseen   = "not considered" // no pass has considered it
)

// standstillReasons are all reasons, by which the gauge counts.
var standstillReasons = append([]string{standsRecord, standsStart, standsStop, standsSilent, standsSetAside, standsUnseen}, waitNames[:]...)

// standstill describes a job of which units could run and none is known to.
type standstill struct {
	job    *job
	unit   *unit // the first one that stands
	units  int   // number of units that stand
	reason string
	holder *worker // for which the unit waits; nil if it waits for none

	fits, fitsUnusable int     // tasks of the unit for which workers of its service have room now, and for which workers that are not usable have
	shareInUse         float64 // share of the service in use
}

// besideRoom reports whether there is room for the unit twice over and less than half of its service is in use. The platform expects such a
// job to have something running within standstillAfter.
func (d standstill) besideRoom() bool {
	return d.fits+d.fitsUnusable >= 2*d.unit.size() && d.shareInUse < 0.5
}

// serviceUse is what the workers of a service that discovery shows have, usable or not.
type serviceUse struct{ capacity, free workload.Resources }

// share returns the share of the service's scarcest resource that is booked; 1 if the service is not known.
func (u *serviceUse) share() float64 {
	if u == nil {
		return 1
	}
	pl := &pool{accelerators: u.capacity.Accelerators, cpu: u.capacity.CPU}
	total := pl.scarceTotal()
	if total == 0 {
		return 1
	}
	return 1 - float64(pl.scarceCapacity(u.free))/float64(total)
}

// servicesInUse returns the use of each service.
func (s *Scheduler) servicesInUse() map[string]*serviceUse {
	services := map[string]*serviceUse{}
	for _, w := range s.workers {
		if !w.listed {
			continue
		}
		u := services[w.info.Service]
		if u == nil {
			u = &serviceUse{}
			services[w.info.Service] = u
		}
		u.capacity, u.free = u.capacity.Plus(w.info.Capacity), u.free.Plus(w.free)
	}
	return services
}

// roomFor returns for how many tasks of a unit usable workers of its service have room, and the other ones that discovery shows and that are
// not leaving.
func (s *Scheduler) roomFor(u *unit, now time.Time) (usable, unusable int) {
	resources := u.step.resources()
	for _, w := range s.workers {
		if !w.listed || w.info.Draining || w.info.Service != u.job().queueSettings.Service || !w.hasLabel(u.step.spec.Label) || s.evacuated(w) {
			continue
		}
		n := min(resources.Count(w.free), u.spreadAllowance(w))
		if w.usable(now) {
			usable += n
		} else {
			unusable += n
		}
	}
	return usable, unusable
}

// noteStandstills counts the jobs that have stood still for standstillAfter, and logs those that have stood longest. A job stands still if the
// turn of some of its units has come and none of its runs is known to be at work.
func (s *Scheduler) noteStandstills(now time.Time) {
	if now.Sub(s.standstillsNotedAt) < standstillPeriod {
		return
	}
	s.standstillsNotedAt = now
	counts, besideRoom := map[string]int{}, 0
	var services map[string]*serviceUse
	var due []standstill
	for _, j := range s.unfinished {
		found, stands := j.standstill(now)
		switch {
		case !stands:
			j.standsSince = time.Time{}
		case j.standsSince.IsZero():
			j.standsSince = now
		case now.Sub(j.standsSince) >= standstillAfter:
			counts[found.reason]++
			if services == nil {
				services = s.servicesInUse()
			}
			found.shareInUse = services[j.queueSettings.Service].share()
			found.fits, found.fitsUnusable = s.roomFor(found.unit, now)
			if found.besideRoom() {
				besideRoom++
			}
			if now.Sub(j.standstillLoggedAt) >= standstillLogPeriod {
				due = append(due, found)
			}
		}
	}
	for _, reason := range standstillReasons {
		s.standstillGauge(reason, counts[reason])
	}
	s.config.Metrics.Gauge("dispatch_standstill_beside_room").Update(float64(besideRoom))
	slices.SortStableFunc(due, func(a, b standstill) int {
		return cmp.Compare(a.job.standsSince.UnixNano(), b.job.standsSince.UnixNano())
	})
	for _, d := range due[:min(len(due), maxStandstillEvents)] {
		d.job.standstillLoggedAt = now
		s.logStandstill(d, now)
	}
}

func (s *Scheduler) standstillGauge(reason string, jobs int) {
	s.config.Metrics.Tagged(map[string]string{"reason": reason}).Gauge("dispatch_standstill_jobs").Update(float64(jobs))
}

// resetStandstills sets the gauges to 0 at the end of the term, since the next scheduler counts the jobs.
func (s *Scheduler) resetStandstills() {
	for _, reason := range standstillReasons {
		s.standstillGauge(reason, 0)
	}
	s.config.Metrics.Gauge("dispatch_standstill_beside_room").Update(0)
}

// standstill reports whether units of a job could run and none is known to, and why the first one does not.
func (j *job) standstill(now time.Time) (found standstill, stands bool) {
	found.job = j
	if j.ended() {
		return found, false
	}
	for _, o := range j.occurrences {
		if o == nil || o.stepsLeft == 0 {
			continue
		}
		for _, st := range o.steps {
			if st.unitsLeft == 0 || !st.ready() {
				continue
			}
			for _, u := range st.units {
				reason, holder := u.standsFor(now)
				if reason == "" && u.state != done {
					return found, false
				}
				if reason == "" {
					continue
				}
				if found.units++; found.unit == nil {
					found.unit, found.reason, found.holder = u, reason, holder
				}
			}
		}
	}
	return found, found.units > 0
}

// standsFor returns why a unit whose turn has come has nothing running, and for which worker it waits, or "" if a run of it is at work or it
// is done.
func (u *unit) standsFor(now time.Time) (reason string, holder *worker) {
	switch u.state {
	case done:
		return "", nil
	case waiting:
		return u.waitsFor(now), nil
	}
	for _, m := range u.members {
		why := ""
		switch {
		case m.state == ended:
			continue
		case m.startWaits:
			why = standsStart
		case m.recordPending:
			why = standsRecord
		case !m.worker.responsive:
			why = standsSilent
		case m.stopWanted:
			why = standsStop
		case m.state == starting:
			why = standsStart
		default:
			return "", nil
		}
		if reason == "" {
			reason, holder = why, m.worker
		}
	}
	return reason, holder
}

// waitsFor returns why a waiting unit waits.
func (u *unit) waitsFor(now time.Time) string {
	switch {
	case now.Before(u.job().setAsideUntil):
		return standsSetAside
	case now.Before(u.notBefore):
		return waitNames[waitPause]
	case u.step.consideredAt.IsZero():
		return standsUnseen
	}
	return waitNames[u.step.waitsFor]
}

// logStandstill logs that a job stands still, with what tells its reason: the worker that is awaited, and the room of its service.
func (s *Scheduler) logStandstill(d standstill, now time.Time) {
	u := d.unit
	fields := []event.Field{event.F("job", d.job.spec.ID), event.F("unit", u.name().Key()), event.F("reason", d.reason), event.F("stands_ms", now.Sub(d.job.standsSince).Milliseconds()),
		event.F("units", d.units), event.F("run", u.run), event.F("service", d.job.queueSettings.Service), event.F("tasks", u.size()), event.F("fits", d.fits),
		event.F("fits_unusable", d.fitsUnusable), event.F("in_use_percent", int(100*d.shareInUse)), event.F("beside_room", d.besideRoom())}
	if w := d.holder; w != nil {
		fields = append(fields, event.F("worker", w.info.ID), event.F("silent_ms", s.silence(w, now).Milliseconds()), event.F("leases_left_ms", w.allLeasesOverAt().Sub(now).Milliseconds()))
	}
	known, usable := 0, 0
	var capacity, free workload.Resources
	for _, w := range s.workers {
		if w.info.Service != d.job.queueSettings.Service {
			continue
		}
		known++
		if w.usable(now) && !s.evacuated(w) {
			usable++
			capacity, free = capacity.Plus(w.info.Capacity), free.Plus(w.free)
		}
	}
	s.config.Events.Emit(eventStandstill, append(fields, event.F("known_workers", known), event.F("usable_workers", usable),
		event.F("accelerators", capacity.Accelerators), event.F("free_accelerators", free.Accelerators), event.F("cpu", capacity.CPU), event.F("free_cpu", free.CPU))...)
}
