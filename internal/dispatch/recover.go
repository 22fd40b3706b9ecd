package dispatch

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// Recover restores the recorded units of the previous term. It is called once, after the jobs are loaded and before Run.
// Runs that were active count as running until their worker's first report shows their state. On a worker that does not
// answer, they are kept until its leases have certainly expired.
func (s *Scheduler) Recover(records []ledger.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = false
	restored := 0
	var stale []ledger.Record
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		if r.Key == forecastKey {
			s.restoreForecast(r.Value)
			continue
		}
		name, state, err := ledger.DecodeUnit(r)
		if err != nil {
			s.config.Events.Emit(eventBadRecord, event.F("key", r.Key), event.F("cause", err))
			continue
		}
		u := s.unitByName(name)
		if u == nil {
			stale = append(stale, ledger.Record{Key: r.Key})
			continue
		}
		s.restoreUnit(u, state)
		restored++
	}
	if len(stale) > 0 {
		s.config.Runs.Put(nil, stale...)
	}
	for _, j := range s.unfinished {
		s.reconcileJob(j)
		j.releaseOccurrences()
	}
	s.listWithheld(s.sortedWorkers(), time.Now())
	s.config.Events.Emit(eventTakeover, event.F("jobs", len(s.unfinished)), event.F("units", restored), event.F("stale_units", len(stale)))
}

// unitByName returns a unit of a known job, and creates its occurrence if necessary.
func (s *Scheduler) unitByName(n ledger.UnitName) *unit {
	j := s.jobs[n.Job]
	if j == nil || j.spec == nil || n.Occurrence >= len(j.occurrences) {
		return nil
	}
	if j.occurrences[n.Occurrence] == nil {
		j.createOccurrence(n.Occurrence)
	}
	o := j.occurrences[n.Occurrence]
	if n.Step >= len(o.steps) {
		return nil
	}
	st := o.steps[n.Step]
	if st.spec.Gang {
		if n.Index != -1 || len(st.units) == 0 {
			return nil
		}
		return st.units[0]
	}
	if n.Index < 0 || n.Index >= len(st.units) {
		return nil
	}
	return st.units[n.Index]
}

// restoreUnit sets a unit to its recorded state.
func (s *Scheduler) restoreUnit(u *unit, state ledger.Unit) {
	u.run, u.failures, u.failedRun, u.checkpoint = state.Run, state.Failures, state.FailedRun, state.Checkpoint
	if state.State != ledger.UnitDone && len(state.Standby) > 0 {
		s.suspect(u, state.Standby)
		u.uncountedFrom = state.Run + 1
		if state.State == ledger.UnitActive && state.FailedRun != state.Run {
			u.uncountedFrom = state.Run
		}
	}
	switch state.State {
	case ledger.UnitDone:
		u.state = done
		u.step.unitsWaiting--
		u.step.unitsLeft--
		if u.step.unitsLeft == 0 {
			u.step.occurrence.stepsLeft--
		}
	case ledger.UnitActive:
		if len(state.Workers) != u.size() {
			return
		}
		u.state = active
		u.step.unitsWaiting--
		u.startedAt, u.runTimeUnknown = restoredStart(state.Started, time.Now()), true
		for i, id := range state.Workers {
			w := s.restoreMember(u, i, id)
			if w.info.Address == "" && i < len(state.Addresses) {
				w.info.Address = state.Addresses[i] // discovery may no longer show it
			}
		}
		if u.failedRun == u.run {
			u.state = aborting
			for _, m := range u.members {
				s.stopMember(m, causeGangBroken)
			}
		}
	}
}

// restoredStart returns the start of a run that an earlier term recorded. It decides what a preemption would lose, so a difference of
// some seconds between the clocks of two instances does little harm.
func restoredStart(unixMilli int64, now time.Time) time.Time {
	if unixMilli == 0 {
		return now
	}
	return now.Add(-max(now.Sub(time.UnixMilli(unixMilli)), 0))
}

// restoreMember adds a member of a recorded run, and its worker if it is not known yet, and returns the worker.
func (s *Scheduler) restoreMember(u *unit, i int, id string) *worker {
	w := s.workers[id]
	if w == nil {
		w = s.addWorker(id)
	}
	if u.index >= 0 {
		i = u.index
	}
	s.addRunningMember(u, i, w)
	return w
}

// addRunningMember adds a member to a unit's run that counts as running on a worker.
func (s *Scheduler) addRunningMember(u *unit, index int, w *worker) *member {
	m := &member{unit: u, run: u.run, index: index, worker: w, resources: u.step.resources(), state: running, pace: fullPace, runningSince: u.startedAt, startSettledAt: s.createdAt}
	u.members = append(u.members, m)
	w.members[m.key()] = m
	w.free = w.free.Minus(m.resources)
	return m
}

// reconcileJob completes what the previous term left unfinished: it stops the runs of an ended job and records an outcome
// that is due.
func (s *Scheduler) reconcileJob(j *job) {
	if j.spec == nil {
		return
	}
	if j.cancelled && !j.state.Final() {
		s.concludeCancelled(j)
		return
	}
	if j.ended() {
		s.stopJob(j, causeJobEnded)
		return
	}
	unfinished := j.occurrencesCreated < len(j.occurrences)
	for _, o := range j.occurrences {
		if o != nil && o.stepsLeft > 0 {
			unfinished = true
		}
	}
	if !unfinished {
		s.addUrgentDemand(j, -1)
		s.conclude(j, ledger.Completed, "all tasks are done")
		return
	}
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			for _, u := range st.units {
				if u.state == waiting && u.failures >= max(j.queueSettings.MaxAttempts, 1) && !j.ended() {
					s.addUrgentDemand(j, -1)
					s.conclude(j, ledger.Failed, "a task failed as often as its queue allows")
					s.stopJob(j, causeJobEnded)
				}
			}
		}
	}
}
