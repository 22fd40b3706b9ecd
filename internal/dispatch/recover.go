package dispatch

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// Recover takes over the recorded units of the term before. It is called once, after the jobs were loaded and before Run.
// Runs that were active are kept as running; the first look at their worker tells what became of them, and a worker that
// is not heard keeps them until its leases have surely lapsed.
func (s *Scheduler) Recover(records []ledger.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = false
	kept := 0
	var stale []ledger.Record
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		name, state, err := ledger.DecodeUnit(r)
		if err != nil {
			s.c.Events.Emit(eventBadRecord, event.F("key", r.Key), event.F("cause", err))
			continue
		}
		u := s.unitNamed(name)
		if u == nil {
			stale = append(stale, ledger.Record{Key: r.Key})
			continue
		}
		s.restore(u, state)
		kept++
	}
	if len(stale) > 0 {
		s.c.Runs.Put(nil, stale...)
	}
	for _, j := range s.live {
		s.review(j)
	}
	s.c.Events.Emit(eventTakeover, event.F("jobs", len(s.live)), event.F("units", kept), event.F("stale_units", len(stale)))
}

// unitNamed returns a unit of a known job, building its occurrence when necessary.
func (s *Scheduler) unitNamed(n ledger.UnitName) *unit {
	j := s.jobs[n.Job]
	if j == nil || j.spec == nil || n.Occurrence >= len(j.occurrences) {
		return nil
	}
	if j.occurrences[n.Occurrence] == nil {
		j.open(n.Occurrence)
	}
	o := j.occurrences[n.Occurrence]
	if n.Step >= len(o.steps) {
		return nil
	}
	st := o.steps[n.Step]
	if st.spec.Gang {
		if n.Index != -1 {
			return nil
		}
		return st.units[0]
	}
	if n.Index < 0 || n.Index >= len(st.units) {
		return nil
	}
	return st.units[n.Index]
}

// restore sets a unit to its recorded state.
func (s *Scheduler) restore(u *unit, state ledger.Unit) {
	u.run, u.failures, u.failedRun, u.checkpoint = state.Run, state.Failures, state.FailedRun, state.Checkpoint
	switch state.State {
	case ledger.UnitDone:
		u.state = done
		u.step.waiting--
		u.step.left--
		if u.step.left == 0 {
			u.step.occurrence.left--
		}
	case ledger.UnitActive:
		if len(state.Workers) != u.size() {
			return
		}
		u.state = active
		u.step.waiting--
		u.startedAt, u.restored = time.Now(), true
		for i, id := range state.Workers {
			s.restoreMember(u, i, id)
		}
		if u.failedRun == u.run {
			u.state = closing
			for _, m := range u.members {
				s.stopMember(m, "a member of the gang failed")
			}
		}
	}
}

func (s *Scheduler) restoreMember(u *unit, i int, id string) {
	w := s.workers[id]
	if w == nil {
		w = s.addWorker(id)
	}
	m := &member{unit: u, run: u.run, index: i, worker: w, room: u.step.room(), state: running, pace: fullPace}
	if u.index >= 0 {
		m.index = u.index
	}
	u.members = append(u.members, m)
	w.members[m.key()] = m
	w.free = w.free.Minus(m.room)
}

// review finishes what the term before left half done.
func (s *Scheduler) review(j *job) {
	if j.spec == nil {
		return
	}
	if j.cancelled && !j.state.Final() {
		s.endCancelled(j)
		return
	}
	if j.ended() {
		s.stopAll(j, "the job has ended")
		return
	}
	left := j.begun < len(j.occurrences)
	for _, o := range j.occurrences {
		if o != nil && o.left > 0 {
			left = true
		}
	}
	if !left {
		s.countLoad(j, -1)
		s.conclude(j, ledger.Completed, "all tasks are done")
		return
	}
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			for _, u := range st.units {
				if u.state == waiting && u.failures >= max(j.terms.MaxAttempts, 1) && !j.ended() {
					s.countLoad(j, -1)
					s.conclude(j, ledger.Failed, "a task failed as often as its queue allows")
					s.stopAll(j, "the job failed")
				}
			}
		}
	}
}
