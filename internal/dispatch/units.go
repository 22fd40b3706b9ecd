package dispatch

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

// requeuePause keeps a unit whose run just failed from starting again at once on the same fault.
const requeuePause = 100 * time.Millisecond

// activate records a run of a unit on the given workers, one for each member, and starts it when the record is durable.
func (s *Scheduler) activate(u *unit, workers []*worker, now time.Time) {
	u.run++
	u.state, u.startedAt, u.restored = active, now, false
	u.step.waiting--
	u.reserved, u.held = nil, nil
	u.members = make([]*member, len(workers))
	room := u.step.room()
	for i, w := range workers {
		m := &member{unit: u, run: u.run, index: max(u.index, i), worker: w, room: room, waits: true, pace: fullPace}
		if u.index < 0 {
			m.index = i
		}
		u.members[i] = m
		w.members[m.key()] = m
		w.free = w.free.Minus(room)
	}
	s.meters.wait.RecordDuration(now.Sub(u.waitingAt))
	s.c.Events.Emit(eventPlaced, event.F("job", u.job().spec.ID), event.F("unit", u.name().Key()), event.F("run", u.run),
		event.F("tasks", len(workers)), event.F("worker", workers[0].info.ID), event.F("rack", workers[0].info.Rack),
		event.F("checkpoint", u.checkpoint), event.F("waited_ms", now.Sub(u.waitingAt).Milliseconds()))
	members := u.members
	s.c.Runs.Put(func(err error) { s.begin(members, err) }, u.record())
}

// begin sends the orders of a recorded run.
func (s *Scheduler) begin(members []*member, err error) {
	if err != nil {
		return // the term is over
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range members {
		if m.state != planned {
			continue
		}
		m.waits = false
		if m.stop || !s.c.Term.Authority() {
			s.endMember(m, EndLost, "")
			continue
		}
		m.state = starting
		go s.start(m, m.worker.target(), s.orderFor(m))
	}
}

// stopUnit asks all members of a unit to end.
func (s *Scheduler) stopUnit(u *unit, reason string) {
	if u.state != active && u.state != closing {
		return
	}
	stopped := 0
	for _, m := range u.members {
		if s.stopMember(m, reason) {
			stopped++
		}
	}
	if stopped > 0 {
		s.c.Events.Emit(eventStopping, event.F("job", u.job().spec.ID), event.F("unit", u.name().Key()), event.F("run", u.run), event.F("reason", reason), event.F("tasks", stopped))
	}
}

// stopMember asks one member to end and reports whether that was news.
func (s *Scheduler) stopMember(m *member, reason string) bool {
	if m.state == ended || m.stop {
		return false
	}
	m.stop, m.reason = true, reason
	if !m.waits {
		go s.sendStop(m)
	}
	return true
}

// endMember takes in that a member's run is over.
func (s *Scheduler) endMember(m *member, how Ending, checkpoint string) {
	if m.state == ended {
		return
	}
	m.state = ended
	delete(m.worker.members, m.key())
	m.worker.free = m.worker.free.Plus(m.room)
	s.meters.end(how)
	s.changed()
	u := m.unit
	if u.run != m.run || u.state == done || u.state == waiting {
		return
	}
	if checkpoint == "" && how != EndFailed {
		checkpoint = m.checkpoint
	}
	if checkpoint != "" && u.step.spec.Checkpoints {
		u.checkpoint = checkpoint
	}
	s.assess(m, how)
	if how == EndDone && !u.step.spec.Permanent {
		s.complete(u, m)
		return
	}
	if how == EndFailed {
		u.avoidWorker(m.worker)
		s.countFailure(u)
	}
	if u.state == active {
		u.state = closing
		for _, other := range u.members {
			s.stopMember(other, "a member of the gang ended")
		}
	}
	for _, other := range u.members {
		if other.state != ended {
			return
		}
	}
	s.settle(u, how, m)
}

// countFailure counts the current run as failed, once for all members of a gang. It is recorded at once, since the worker
// forgets the end as soon as it is acknowledged, which may be long before the other members have ended.
func (s *Scheduler) countFailure(u *unit) {
	if u.failedRun == u.run || u.step.spec.Permanent {
		return
	}
	u.failedRun = u.run
	u.failures++
	s.c.Runs.Put(nil, u.record())
}

func (u *unit) avoidWorker(w *worker) {
	if u.avoid == nil {
		u.avoid = map[string]time.Time{}
	}
	u.avoid[w.info.ID] = time.Now()
}

// complete records that a unit is done. The end of one member of a gang stands for all.
func (s *Scheduler) complete(u *unit, m *member) {
	u.state = done
	u.step.left--
	now := time.Now()
	j := u.job()
	s.learn(u, now)
	s.meters.run.RecordDuration(now.Sub(u.startedAt))
	s.c.Events.Emit(eventUnitEnded, event.F("job", j.spec.ID), event.F("unit", u.name().Key()), event.F("run", u.run), event.F("how", EndDone), event.F("worker", m.worker.info.ID), event.F("ran_ms", now.Sub(u.startedAt).Milliseconds()))
	s.c.Runs.Put(nil, u.record())
	if u.step.left > 0 {
		return
	}
	o := u.step.occurrence
	o.left--
	if o.left > 0 || j.begun < len(j.occurrences) {
		return
	}
	for _, other := range j.occurrences {
		if other.left > 0 {
			return
		}
	}
	if !j.ended() {
		s.countLoad(j, -1)
		s.conclude(j, ledger.Completed, "all tasks are done")
	}
}

// dropUnits deletes the records of a job's units once the job's final state is durable and nothing of it runs. Without them
// and without that state, a later term would start the job anew.
func (s *Scheduler) dropUnits(j *job) {
	if !j.recorded || j.dropped || j.runs() {
		return
	}
	j.dropped = true
	var removals []ledger.Record
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			for _, u := range st.units {
				if u.run > 0 {
					removals = append(removals, ledger.Record{Key: u.name().Key()})
				}
			}
		}
	}
	if len(removals) > 0 {
		s.c.Runs.Put(nil, removals...)
	}
}

// settle decides what follows a run that ended without success and of which no member is left.
func (s *Scheduler) settle(u *unit, how Ending, last *member) {
	j := u.job()
	u.state, u.members = waiting, nil
	u.step.waiting++
	now := time.Now()
	u.waitingAt = now
	u.notBefore = now
	if u.failedRun == u.run {
		u.notBefore = now.Add(requeuePause)
	}
	s.c.Events.Emit(eventUnitEnded, event.F("job", j.spec.ID), event.F("unit", u.name().Key()), event.F("run", u.run), event.F("how", how),
		event.F("worker", last.worker.info.ID), event.F("failures", u.failures), event.F("reason", last.reason), event.F("checkpoint", u.checkpoint), event.F("ran_ms", now.Sub(u.startedAt).Milliseconds()))
	s.c.Runs.Put(nil, u.record())
	if !j.ended() && u.failures >= max(j.terms.MaxAttempts, 1) {
		s.countLoad(j, -1)
		s.conclude(j, ledger.Failed, "a task failed as often as its queue allows")
		s.stopAll(j, "the job failed")
	}
}

// runs reports whether a worker may still have a run of the job.
func (j *job) runs() bool {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			for _, u := range st.units {
				for _, m := range u.members {
					if m.state != ended {
						return true
					}
				}
			}
		}
	}
	return false
}
