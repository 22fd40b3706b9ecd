package dispatch

import (
	"hash/fnv"
	"iter"
	"slices"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// A start order is normally sent once the run's record is durable, so that the next leader knows which workers may have the run. To start
// work while the log takes no records, the records of a unit also name standby workers for its later runs. A run there needs no record of its
// own before it starts: the next leader takes each of these workers to have one until it has reported or its leases are over.

const (
	// mostlyBusy is the share of a pool's accelerators in use above which no standby workers are named for ready units: these wait for room,
	// and after a change of the leader they would have to wait for silent standby workers, too.
	mostlyBusy = 0.75
	// unrecordedStartTime is the least time for an answer that is left when a start without a record is decided on: twice what the order takes
	// at most, as it is sent a little later.
	unrecordedStartTime = 2 * minRepeatTimeout
	logPatience         = 300 * time.Millisecond // the log is late if it has completed no append for longer while records are pending; a healthy one takes about 10 ms
	logLateWarning      = time.Second            // the log has to be late for longer to be reported, so that a slow one is not
	prepareInterval     = 200 * time.Millisecond // time between two rounds of naming standby workers for waiting units
	preparedUnits       = 200                    // most units of one round, half of what the log takes in one append
	standbyWorkers      = 2                      // standby workers of a single task, and those of a gang beyond the ones that it needs
)

// standby holds the workers on which runs of a unit may start before their records are durable.
type standby struct {
	named   []string // workers that the latest record names, which may not be durable
	certain []string // workers that each record names that may be the newest one in the log
	puts    int      // number of records that named workers
}

// covers reports whether all the given workers are certain.
func (b *standby) covers(workers []*worker) bool {
	return !slices.ContainsFunc(workers, func(w *worker) bool { return !slices.Contains(b.certain, w.info.ID) })
}

// putNaming records the unit with the given standby workers.
func (s *Scheduler) putNaming(u *unit, named []string, done func(error)) {
	b := &u.standby
	b.puts++
	number := b.puts
	b.named = named
	b.certain = slices.DeleteFunc(slices.Clone(b.certain), func(id string) bool { return !slices.Contains(named, id) })
	s.config.Runs.Put(func(err error) {
		s.mu.Lock()
		if err == nil && number == b.puts { // otherwise a later record may be the newest one already
			b.certain = named
		}
		s.mu.Unlock()
		if done != nil {
			done(err)
		}
	}, u.record())
}

// putUnrecordedRun records the unit with a run that exists already, or is being started.
func (s *Scheduler) putUnrecordedRun(u *unit, done func(error)) {
	s.unrecordedRuns.Add(1)
	s.putNaming(u, u.standby.named, func(err error) {
		if err == nil {
			s.unrecordedRuns.Add(-1)
		}
		if done != nil {
			done(err)
		}
	})
}

// RunsRecorded reports whether durable records show all runs that this scheduler and earlier ones have started.
func (s *Scheduler) RunsRecorded() bool {
	return s.unrecordedRuns.Load() == 0 && s.suspicions.Load() == 0
}

// timedLedger is a ledger that knows for how long it has not decided on pending records.
type timedLedger struct {
	Ledger
	mu        sync.Mutex
	pending   []time.Time // when each put was made whose outcome is not known, in order
	decidedAt time.Time   // when the outcome of a put last became known
}

// Put queues records as Ledger does.
func (l *timedLedger) Put(done func(error), records ...ledger.Record) {
	l.mu.Lock()
	l.pending = append(l.pending, time.Now())
	l.mu.Unlock()
	l.Ledger.Put(func(err error) {
		l.mu.Lock()
		l.pending = l.pending[1:] // a put that fails early counts for the oldest, which is no later
		l.decidedAt = time.Now()
		l.mu.Unlock()
		if done != nil {
			done(err)
		}
	}, records...)
}

// stuckFor returns how long records have been pending without the outcome of any becoming known.
func (l *timedLedger) stuckFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return 0
	}
	return min(time.Since(l.pending[0]), time.Since(l.decidedAt))
}

// logIsLate reports whether the log takes no records at present.
func (s *Scheduler) logIsLate() bool { return s.runs.stuckFor() > logPatience }

// checkLog logs when the log begins and ceases to be late.
func (s *Scheduler) checkLog(now time.Time) {
	late := s.runs.stuckFor()
	s.config.Metrics.Gauge("dispatch_log_late_ms").Update(float64(late.Milliseconds()))
	switch {
	case late > logLateWarning && s.logLateSince.IsZero():
		s.logLateSince = now.Add(-late)
		s.config.Events.Emit(eventLogLate, event.F("late_ms", late.Milliseconds()))
	case late <= logPatience && !s.logLateSince.IsZero():
		s.config.Events.Emit(eventLogTimely, event.F("late_ms", now.Sub(s.logLateSince).Milliseconds()))
		s.logLateSince = time.Time{}
	}
}

// withdrawUnrecorded lets units wait again whose run is not recorded since the log is late, if they have standby workers.
func (s *Scheduler) withdrawUnrecorded(now time.Time) {
	for st := range s.unfinishedSteps() {
		for _, u := range st.units {
			if u.state == active && len(u.standby.certain) > 0 && now.Sub(u.startedAt) > logPatience {
				u.withdraw()
			}
		}
	}
}

// withdraw lets a unit wait again if no start order of its run was sent, or waits to be. The run's number is not used again, as its record may
// still be written.
func (u *unit) withdraw() {
	if slices.ContainsFunc(u.members, func(m *member) bool { return !m.recordPending || m.stopWanted || m.startWaits }) {
		return
	}
	for _, m := range u.members {
		m.state = ended
		delete(m.worker.members, m.key())
		m.worker.free = m.worker.free.Plus(m.resources)
	}
	u.state, u.members = waiting, nil
	u.step.unitsWaiting++
}

// placeOnStandby starts a unit on its standby workers if it fits there, and reports whether it did or why not.
func (p *plan) placeOnStandby(pl *pool, r rank, u *unit) (placed bool, why waitCause) {
	// A process that has not been heard keeps a run for the longest lease from when the order arrives, which must end in time, too.
	if p.scheduler.startTimeout() < unrecordedStartTime {
		return false, waitLog
	}
	var workers []*worker
	for _, id := range u.standby.certain {
		if w := p.scheduler.workers[id]; w != nil && w.usable(p.now) && !p.scheduler.evacuated(w) && w.info.Service == u.job().queueSettings.Service {
			workers = append(workers, w)
		}
	}
	var chosen []*worker
	if u.index < 0 {
		chosen = p.pack(workers, u, freeNow)
	} else if w := p.bestFit(workers, u, freeNow); w != nil {
		chosen = []*worker{w}
	}
	if chosen == nil {
		return false, waitLog
	}
	if p.awaitTickets(u, chosen) {
		return false, waitTicket
	}
	p.start(pl, u, r, chosen)
	return true, 0
}

// nameStandby chooses standby workers of a unit. A gang may start again where it is, a single task elsewhere. A task that is placed on one of
// its certain standby workers keeps it: if the log is late with the record of the run, the run can only start there.
func (p *plan) nameStandby(pl *pool, u *unit, current []*worker) []string {
	spec, resources := u.step.spec, u.step.resources()
	candidates := pl.workers
	if rack := pl.racks[spec.DataRack]; spec.DataRack != "" && len(rack) > 0 {
		candidates = rack
	} else if spec.SameRack && len(current) > 0 {
		candidates = pl.racks[current[0].info.Rack]
	}
	var named []string
	spare, tasks := standbyWorkers, 0 // tasks that must fit on the standby workers, beside the spare ones
	for _, w := range current {
		if !slices.Contains(named, w.info.ID) && (u.index < 0 || slices.Contains(u.standby.certain, w.info.ID)) {
			named = append(named, w.info.ID)
		}
	}
	if u.index < 0 && len(current) == 0 {
		tasks = u.size()
	}
	if len(candidates) == 0 {
		return named
	}
	// Units begin at different workers, so that they do not all name the same ones.
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(u.name().Key()))
	first := int(hash.Sum32() % uint32(len(candidates)))
	for _, free := range []func(*worker) workload.Resources{freeNow, capacityOf} {
		for i := range candidates {
			w := candidates[(first+i)%len(candidates)]
			fits := min(resources.Count(free(w)), u.spreadAllowance(w))
			if fits == 0 || slices.Contains(named, w.info.ID) || slices.Contains(current, w) || !p.allowed(w, u) || p.preferenceFor(w, u) == lastResort {
				continue
			}
			named = append(named, w.info.ID)
			if tasks > 0 {
				tasks -= fits
			} else if spare--; spare == 0 {
				return named
			}
		}
	}
	return named
}

// prepareStandby names standby workers for units that have none and may start soon: those of steps that only wait for running units, and ready
// ones that wait although much is idle.
func (s *Scheduler) prepareStandby(now time.Time) {
	if s.logIsLate() || now.Sub(s.preparedAt) < prepareInterval {
		return
	}
	s.preparedAt = now
	s.dropLostStandby(now)
	var p *plan
	prepared := 0
	for st := range s.unfinishedSteps() {
		if st.unitsWaiting == 0 || !st.startsSoon() {
			continue
		}
		if p == nil {
			p = s.newFleetPlan(now)
		}
		pl := p.pools[st.occurrence.job.queueSettings.Service]
		if pl == nil || st.ready() && pl.busyShare() > mostlyBusy {
			continue
		}
		for _, u := range st.units {
			if u.state != waiting || len(u.standby.named) > 0 || u.suspectedOn > 0 || st.ready() && (u.waitingAt.IsZero() || now.Sub(u.waitingAt) < prepareInterval) {
				continue
			}
			if named := p.nameStandby(pl, u, nil); len(named) > 0 {
				s.putNaming(u, named, nil)
				prepared++
			}
			if prepared == preparedUnits {
				return
			}
		}
	}
}

// dropLostStandby names no longer those workers for waiting units that are silent and whose leases are over. Each later leader would wait for
// their leases anew.
func (s *Scheduler) dropLostStandby(now time.Time) {
	lost := func(id string) bool {
		w := s.workers[id]
		return w == nil || !w.responsive && !now.Before(w.leasesOverAt)
	}
	for st := range s.unfinishedSteps() {
		for _, u := range st.units {
			if u.state == waiting && u.suspectedOn == 0 && slices.ContainsFunc(u.standby.named, lost) {
				s.putNaming(u, slices.DeleteFunc(slices.Clone(u.standby.named), lost), nil)
			}
		}
	}
}

// unfinishedSteps returns the steps of the unfinished jobs' occurrences that are created and not done.
func (s *Scheduler) unfinishedSteps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, j := range s.unfinished {
			if j.ended() {
				continue
			}
			for _, o := range j.occurrences {
				if o == nil || o.stepsLeft == 0 {
					continue
				}
				for _, st := range o.steps {
					if !yield(st) {
						return
					}
				}
			}
		}
	}
}

// startsSoon reports whether the step is ready, or will be once units that run have ended.
func (s *step) startsSoon() bool {
	for _, before := range s.spec.After {
		if st := s.occurrence.steps[before]; st.unitsLeft > 0 && st.unitsWaiting > 0 {
			return false
		}
	}
	return true
}

// busyShare returns the share of the pool's accelerators that are booked.
func (pl *pool) busyShare() float64 {
	free, total := int64(0), int64(0)
	for _, w := range pl.workers {
		free += max(w.free.Accelerators, 0)
		total += w.info.Capacity.Accelerators
	}
	if total == 0 {
		return 0
	}
	return 1 - float64(free)/float64(total)
}

// suspect notes that each of the given workers may have a run of the unit that no record shows, unless earlier leaders have ruled it out.
func (s *Scheduler) suspect(u *unit, ids []string) {
	u.standby = standby{named: ids, certain: ids}
	for _, id := range ids {
		if known := s.config.MayHaveUnrecordedRuns; known != nil && !known(id) {
			continue
		}
		w := s.workers[id]
		if w == nil {
			w = s.addWorker(id)
		}
		if w.suspected == nil {
			w.suspected = map[*unit]bool{}
		}
		if !w.suspected[u] {
			w.suspected[u] = true
			u.suspectedOn++
			s.suspicions.Add(1)
		}
	}
}

// clearSuspicions notes that the worker has no runs but those listed that no record shows.
func (s *Scheduler) clearSuspicions(w *worker, listed []RunReport) {
	if len(w.suspected) == 0 {
		return
	}
	still := map[*unit]bool{}
	for _, r := range listed {
		if u := s.unitOf(r.Task); u != nil && w.suspected[u] && w.members[runKey{r.Task, r.Run}] == nil {
			still[u] = true // the run is being stopped
		}
	}
	for u := range w.suspected {
		if !still[u] {
			u.suspectedOn--
			s.suspicions.Add(-1)
			delete(w.suspected, u)
		}
	}
	s.requestPass()
}

// mustLapse reports whether the worker's leases must end although it answers: its reports have had unreadable rows for maxSilence, and a
// unit whose turn has come waits for a report that is certain to show no run of it.
func (w *worker) mustLapse(now time.Time) bool {
	if w.unreadableSince.IsZero() || now.Sub(w.unreadableSince) < maxSilence {
		return false
	}
	for u := range w.suspected {
		if u.state == waiting && u.step.ready() && !u.job().ended() {
			return true
		}
	}
	return false
}

// adoptRun takes over a run of a single task that an earlier leader started and did not record, and returns its member. It returns nil for
// any other run, which has to be stopped.
func (s *Scheduler) adoptRun(w *worker, key runKey, now time.Time) *member {
	u := s.unitOf(key.task)
	if u == nil || !w.suspected[u] || key.run <= u.run {
		return nil
	}
	s.config.Events.Emit(eventAdopted, event.F("worker", w.info.ID), event.F("task", key.task), event.F("run", key.run), event.F("recorded_run", u.run))
	s.loseRecordedRun(u)
	u.run = key.run
	if u.index < 0 || u.state != waiting || u.job().ended() {
		return nil
	}
	u.state, u.startedAt, u.runTimeUnknown, u.cause = active, now, true, ""
	u.step.unitsWaiting--
	m := s.addRunningMember(u, u.index, w)
	s.putUnrecordedRun(u, nil)
	return m
}

// noteUnrecordedEnd takes account of the end of a run that an earlier leader may have started, or seen fail, without a record.
func (s *Scheduler) noteUnrecordedEnd(w *worker, u *unit, e EndReport) {
	if u.state == done || u.job().ended() {
		return
	}
	s.config.Events.Emit(eventAdopted, event.F("worker", w.info.ID), event.F("task", e.Task), event.F("run", e.Run), event.F("recorded_run", u.run), event.F("how", e.Ending))
	if e.Run > u.run {
		s.loseRecordedRun(u)
		u.run = e.Run
	}
	if e.Ending == EndFailed {
		s.countFailureOf(u, e.Run)
		s.failExhausted(u)
	}
}

// loseRecordedRun ends the recorded run of a unit of which a later one exists: that was started after the recorded run had ended.
func (s *Scheduler) loseRecordedRun(u *unit) {
	for _, m := range slices.Clone(u.members) {
		s.loseMember(m, causeWorkerLost)
	}
}
