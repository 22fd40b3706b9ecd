package dispatch

import (
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// requeueDelay keeps a unit whose run failed from running into the same fault again at once.
const requeueDelay = 100 * time.Millisecond

// startRun begins a run of a unit on the given workers, one for each task. The start orders are sent when the run's record
// is durable, or at once if an earlier record names the workers for it and the log is late.
func (s *Scheduler) startRun(u *unit, workers []*worker, now time.Time) {
	unrecorded := s.logIsLate() && u.standby.covers(workers)
	u.run++
	u.state, u.startedAt, u.runTimeUnknown, u.cause = active, now, false, ""
	u.resumed = u.checkpoint != ""
	u.step.unitsWaiting--
	u.preemptedWorkers, u.reservedWorkers = nil, nil
	u.members = make([]*member, len(workers))
	resources := u.step.resources()
	for i, w := range workers {
		m := &member{unit: u, run: u.run, index: max(u.index, i), worker: w, resources: resources, recordPending: true, unrecorded: unrecorded, pace: fullPace, processStart: w.processStart}
		if u.index < 0 {
			m.index = i
		}
		u.members[i] = m
		w.members[m.key()] = m
		w.free = w.free.Minus(resources)
	}
	s.metrics.unitWait.RecordDuration(now.Sub(u.waitingAt))
	s.config.Events.Emit(eventPlaced, append([]event.Field{event.F("job", u.job().spec.ID), event.F("unit", u.name().Key()), event.F("run", u.run),
		event.F("tasks", len(workers)), event.F("worker", workers[0].info.ID), event.F("rack", workers[0].info.Rack),
		event.F("checkpoint", u.checkpoint), event.F("waited_ms", now.Sub(u.waitingAt).Milliseconds())}, s.notePlacement(u)...)...)
	members := u.members
	if unrecorded {
		s.config.Events.Emit(eventUnrecordedStart, event.F("job", u.job().spec.ID), event.F("unit", u.name().Key()), event.F("run", u.run), event.F("log_late_ms", s.runs.stuckFor().Milliseconds()))
		s.metrics.scope.Counter("dispatch_unrecorded_starts").Inc(1)
		go s.protect("starts", func() { s.sendStarts(members, nil) })
	}
	if unrecorded {
		s.putUnrecordedRun(u, func(err error) {
			if ledger.IsUnrecordable(err) {
				s.protect("starts", func() { s.sendStarts(members, err) })
			}
		})
		return
	}
	s.putNaming(u, u.standby.named, func(err error) {
		s.protect("starts", func() { s.sendStarts(members, err) })
	})
}

// sendStarts sends the start orders of a run that is recorded.
func (s *Scheduler) sendStarts(members []*member, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ledger.IsUnrecordable(err) {
		s.failUnrecordable(members, err)
		return
	}
	if err != nil {
		return // the term is over
	}
	mayStart := s.mayStartNow(members)
	for _, m := range members {
		if m.state != planned {
			continue
		}
		if m.stopWanted || !mayStart {
			s.dropStart(m)
			continue
		}
		s.starts.add(m)
	}
	s.sendWaitingStarts()
}

// mayStartNow reports whether the start orders of members of a run may be sent, of which the record may have waited for the log.
func (s *Scheduler) mayStartNow(members []*member) bool {
	now := time.Now()
	if !s.config.Term.Authority() || !members[0].unrecorded && !s.jobsViewValid() || ticketsExpired(members, now) {
		return false
	}
	return s.mayStartAt(members) && !slices.ContainsFunc(members, func(m *member) bool { return !m.mayStillStart(now) })
}

// mayStillStart reports whether a member's worker would still be chosen for it. The record of a run may have waited for the log, and the
// worker may be of another kind by now, draining, silent, without room or of a service to which the queue no longer sends its work.
func (m *member) mayStillStart(now time.Time) bool {
	w, spec := m.worker, m.unit.step.spec
	if !w.takesWork(now) || w.processStart != m.processStart || w.info.Service != m.unit.job().queueSettings.Service || !w.hasLabel(spec.Label) {
		return false
	}
	return (workload.Resources{}).Fits(w.free) // what it has booked, this run included, is within its capacity
}

// failUnrecordable fails the job of a run whose record the log never takes. The run was not started, and no other run could be either.
func (s *Scheduler) failUnrecordable(members []*member, err error) {
	j := members[0].unit.job()
	if !j.ended() {
		s.addUrgentDemand(j, -1)
		s.conclude(j, ledger.Failed, "a run cannot be recorded: "+err.Error())
		s.stopJob(j, causeJobEnded)
	}
	for _, m := range members {
		if !m.recordPending {
			continue // it was started before its record, and is being stopped
		}
		s.dropStart(m)
	}
}

// dropStart ends a member whose start order is not sent.
func (s *Scheduler) dropStart(m *member) {
	m.recordPending, m.startWaits = false, false
	m.noteCause(causeStartNotSent)
	s.endMember(m, EndLost, "")
}

// stopUnit stops all members of a unit.
func (s *Scheduler) stopUnit(u *unit, cause endCause) {
	if u.state != active && u.state != aborting {
		return
	}
	if u.cause == "" {
		u.cause = cause
	}
	stopped := 0
	for _, m := range u.members {
		if s.stopMember(m, cause) {
			stopped++
		}
	}
	if stopped > 0 {
		s.config.Events.Emit(eventStopping, event.F("job", u.job().spec.ID), event.F("unit", u.name().Key()), event.F("run", u.run), event.F("reason", cause), event.F("tasks", stopped))
	}
}

// stopMember stops a member and reports whether it was not being stopped already.
func (s *Scheduler) stopMember(m *member, cause endCause) bool {
	if m.state == ended || m.stopWanted {
		return false
	}
	m.stopWanted, m.cause = true, cause
	switch {
	case m.startWaits:
		go s.protect("stop", func() { s.dropWaitingStart(m) })
	case !m.recordPending:
		go s.protect("stop", func() { s.sendStop(m) })
	}
	return true
}

// endMember handles that a member's run is over.
func (s *Scheduler) endMember(m *member, ending Ending, checkpoint string) {
	if m.state == ended {
		return
	}
	now := time.Now()
	m.state, m.endedAt = ended, now
	m.noteCause(causeOf(ending))
	m.noteCheckpoint(checkpoint, now)
	delete(m.worker.members, m.key())
	m.worker.free = m.worker.free.Plus(m.resources)
	s.metrics.runEnded(ending)
	s.requestPass()
	u := m.unit
	if u.run != m.run || u.state == done || u.state == waiting {
		return
	}
	if checkpoint == "" && ending != EndFailed {
		checkpoint = m.checkpoint
	}
	if checkpoint != "" && u.step.spec.Checkpoints {
		u.checkpoint = checkpoint
	}
	s.updateHealth(m, ending)
	if ending == EndDone && !u.step.spec.Permanent {
		s.completeUnit(u, m)
		return
	}
	if ending == EndFailed {
		u.avoidWorker(m.worker)
		s.countFailure(u)
	}
	if u.state == active {
		u.state = aborting
		if u.cause == "" {
			u.cause = m.cause
		}
		for _, other := range u.members {
			s.stopMember(other, causeGangBroken)
		}
	}
	for _, other := range u.members {
		if other.state != ended {
			return
		}
	}
	s.requeueUnit(u, ending, m)
}

// countFailure counts the current run as failed, once for all members of a gang. It is recorded at once, since the worker
// forgets the end as soon as it is acknowledged, which may be long before the gang's other members have ended.
func (s *Scheduler) countFailure(u *unit) {
	s.countFailureOf(u, u.run)
}

// countFailureOf counts a run as failed, once.
func (s *Scheduler) countFailureOf(u *unit, run int) {
	if u.failedRun == run || u.countedRuns[run] || u.step.spec.Permanent {
		return
	}
	if u.uncountedFrom > 0 {
		if u.countedRuns == nil {
			u.countedRuns = map[int]bool{}
		}
		u.countedRuns[run] = true
	}
	u.failedRun = max(u.failedRun, run)
	u.failures++
	s.config.Runs.Put(nil, u.record())
}

// avoidWorker makes a worker a last resort for the unit.
func (u *unit) avoidWorker(w *worker) {
	if u.avoidedWorkers == nil {
		u.avoidedWorkers = map[string]time.Time{}
	}
	u.avoidedWorkers[w.info.ID] = time.Now()
}

// completeUnit records that a unit is done. A gang is done when one of its members has ended well.
func (s *Scheduler) completeUnit(u *unit, m *member) {
	u.state = done
	u.step.unitsLeft--
	now := time.Now()
	j := u.job()
	s.observeRunTime(u, now)
	s.observeRun(u, now)
	s.metrics.unitRun.RecordDuration(now.Sub(u.startedAt))
	s.config.Events.Emit(eventUnitEnded, event.F("job", j.spec.ID), event.F("unit", u.name().Key()), event.F("run", u.run), event.F("how", EndDone), event.F("worker", m.worker.info.ID), event.F("ran_ms", now.Sub(u.startedAt).Milliseconds()))
	s.putWithForecast(u.record(), now)
	if u.step.unitsLeft > 0 {
		return
	}
	o := u.step.occurrence
	o.stepsLeft--
	if o.stepsLeft > 0 || j.occurrencesCreated < len(j.occurrences) {
		return
	}
	for _, other := range j.occurrences {
		if other.stepsLeft > 0 {
			return
		}
	}
	if !j.ended() {
		s.addUrgentDemand(j, -1)
		s.conclude(j, ledger.Completed, "all tasks are done")
	}
}

// deleteUnitRecords deletes the records of a job's units once the job's final state is durable and none of its runs is
// left. Without the records and that state, a later term would start the job again.
func (s *Scheduler) deleteUnitRecords(j *job) {
	if !j.outcomeDurable || j.unitsDeleted || j.hasRuns() {
		return
	}
	j.unitsDeleted = true
	var removals []ledger.Record
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			if o.released {
				for _, name := range st.unitNames() {
					removals = append(removals, ledger.Record{Key: name.Key()})
				}
			}
			for _, u := range st.units {
				if u.run > 0 || len(u.standby.named) > 0 {
					removals = append(removals, ledger.Record{Key: u.name().Key()})
				}
			}
		}
	}
	if len(removals) > 0 {
		s.config.Runs.Put(nil, removals...)
	}
	j.occurrences, j.occurrencesCreated = nil, 0
}

// releaseOccurrences drops the units of a job's occurrences that are done, so that they take no memory until the last one is. Their records
// stay, since a later term would run them again.
func (j *job) releaseOccurrences() {
	for _, o := range j.occurrences {
		if o == nil || o.released || o.stepsLeft > 0 || o.hasRuns() {
			continue
		}
		o.released = true
		j.occurrencesReleased++
		for _, st := range o.steps {
			st.units = nil
		}
	}
}

// requeueUnit lets a unit wait for its next run after a run without success whose members have all ended. It fails the job
// if the queue allows no further attempt.
func (s *Scheduler) requeueUnit(u *unit, ending Ending, last *member) {
	j := u.job()
	now := time.Now()
	lost := s.recordLoss(u, now)
	u.state, u.members = waiting, nil
	u.step.unitsWaiting++
	u.waitingAt = now
	u.notBefore = now
	if u.urgent() {
		s.urgentArrivedAt = now
	}
	if u.failedRun == u.run {
		u.notBefore = now.Add(requeueDelay)
	}
	s.config.Events.Emit(eventUnitEnded, event.F("job", j.spec.ID), event.F("unit", u.name().Key()), event.F("run", u.run), event.F("how", ending),
		event.F("worker", last.worker.info.ID), event.F("failures", u.failures), event.F("reason", u.cause), event.F("checkpoint", u.checkpoint), event.F("ran_ms", now.Sub(u.startedAt).Milliseconds()),
		event.F("lost_accelerator_ms", lost.accelerator.Milliseconds()), event.F("lost_core_ms", lost.core.Milliseconds()))
	s.config.Runs.Put(nil, u.record())
	s.failExhausted(u)
}

// failExhausted fails the job of a unit that has failed as often as its queue allows.
func (s *Scheduler) failExhausted(u *unit) {
	if j := u.job(); !j.ended() && u.failures >= max(j.queueSettings.MaxAttempts, 1) {
		s.addUrgentDemand(j, -1)
		s.conclude(j, ledger.Failed, "a task failed as often as its queue allows")
		s.stopJob(j, causeJobEnded)
	}
}

// hasRuns reports whether a worker may still have a run of the job.
func (j *job) hasRuns() bool {
	return slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return o != nil && o.hasRuns() })
}

// hasRuns reports whether a worker may still have a run of the occurrence.
func (o *occurrence) hasRuns() bool {
	for _, st := range o.steps {
		for _, u := range st.units {
			for _, m := range u.members {
				if m.state != ended {
					return true
				}
			}
		}
	}
	return false
}

// recordJobRunning records that the first task of a job runs.
func (s *Scheduler) recordJobRunning(j *job) {
	if j.state != ledger.Queued {
		return
	}
	j.state = ledger.Running
	s.config.Jobs.Put(nil, ledger.OutcomeRecord(j.spec.ID, ledger.Outcome{State: ledger.Running, Time: s.config.Now()}))
}
