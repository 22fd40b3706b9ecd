package dispatch

import (
	"context"
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Timings of looks at workers.
const (
	holdWait     = 1500 * time.Millisecond // how long a look waits for an end; leases last several looks
	holdTimeout  = 900 * time.Millisecond  // beyond the wait
	holdRetry    = 250 * time.Millisecond  // after a look without an answer
	recordWait   = 400 * time.Millisecond  // for ends to be recorded before the next look
	unheardAfter = 2 * holdWait            // a worker that has not answered for this long gets no work
)

// attend starts to look at a worker regularly.
func (s *Scheduler) attend(w *worker) {
	if w.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	w.cancel = cancel
	go s.watch(ctx, w)
}

// watch renews the leases of a worker and takes in what it reports, until ctx ends.
func (s *Scheduler) watch(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		if !s.c.Term.Authority() {
			wait.For(ctx, holdRetry)
			continue
		}
		s.mu.Lock()
		order, target := s.holdFor(w, time.Now())
		s.mu.Unlock()
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, order.Wait+holdTimeout)
		report, err := s.c.Fleet.Heartbeat(callCtx, target, order)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.unheard(w, err)
			wait.For(ctx, holdRetry)
			continue
		}
		s.mu.Lock()
		s.report(w, sent, time.Now(), report)
		unrecorded := w.recorded < w.processed
		s.mu.Unlock()
		if unrecorded {
			select {
			case <-ctx.Done():
			case <-w.ack:
			case <-time.After(recordWait):
			}
		}
	}
}

// holdFor builds the next look. It renews leases only if the last look was answered, so that leases of a worker that hears
// but is not heard end at a known time.
func (s *Scheduler) holdFor(w *worker, now time.Time) (HeartbeatOrder, Target) {
	order := HeartbeatOrder{Token: s.c.Token, AcknowledgedEnd: w.recorded}
	if w.answered {
		order.LeaseEnd = s.lease(w, now)
		if w.recorded == w.processed {
			order.Wait = holdWait
			if w.mixed() {
				order.Wait = mixedWait
			}
		}
	}
	return order, w.target()
}

func (s *Scheduler) unheard(w *worker, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusalOf(err) == RefusedFenced {
		s.c.Term.Lose(fmt.Errorf("worker %s has seen a later term", w.info.ID))
		return
	}
	if w.answered {
		s.c.Events.Emit(eventUnheard, event.F("worker", w.info.ID), event.F("cause", err), event.F("tasks", len(w.members)))
	}
	w.answered = false
	s.meters.order("hold", "unanswered")
}

// report takes in the answer to a look.
func (s *Scheduler) report(w *worker, sent, now time.Time, r HeartbeatReport) {
	s.meters.order("hold", "answered")
	if r.ProcessStart != 0 && w.born != 0 && r.ProcessStart != w.born {
		s.reborn(w, r.ProcessStart)
	}
	if r.ProcessStart != 0 {
		w.born = r.ProcessStart
	}
	if !w.answered && !w.contact.IsZero() {
		s.c.Events.Emit(eventHeard, event.F("worker", w.info.ID), event.F("silent_ms", now.Sub(w.contact).Milliseconds()))
	}
	if !w.answered {
		s.changed()
	}
	w.answered, w.contact, w.clock = true, now, r.Clock
	s.takeEnds(w, r.Ended)
	s.takeRuns(w, r.Running, sent, now)
	if !r.Partial {
		s.missing(w, r, sent)
	}
}

// takeEnds takes in ends that are new and acknowledges them to the worker once their effects are recorded.
func (s *Scheduler) takeEnds(w *worker, ends []EndReport) {
	fresh := int64(0)
	for _, e := range ends {
		if e.Number <= w.processed {
			continue
		}
		w.processed, fresh = e.Number, e.Number
		if m := w.members[runKey{e.Task, e.Run}]; m != nil {
			if e.Ending == EndDone || e.Ending == EndFailed || e.Checkpoint != "" {
				s.started(m)
			}
			s.endMember(m, e.Ending, e.Checkpoint)
		} else {
			s.takeLateEnd(w, e)
		}
	}
	if fresh == 0 {
		return
	}
	born := w.born
	s.c.Runs.Put(func(err error) {
		if err != nil {
			return
		}
		s.mu.Lock()
		if w.born == born { // numbers of an earlier process mean nothing to the present one
			w.recorded = max(w.recorded, fresh)
		}
		s.mu.Unlock()
		select {
		case w.ack <- struct{}{}:
		default:
		}
	})
}

// takeLateEnd takes in that a run ended well which counted as lost, since its worker was not heard for longer than its leases last.
// If the unit has not started again, it need not.
func (s *Scheduler) takeLateEnd(w *worker, e EndReport) {
	u := s.unitOf(e.Task)
	if e.Ending != EndDone || u == nil || u.state != waiting || u.run != e.Run || u.failedRun == e.Run || u.step.spec.Permanent || u.job().ended() {
		return
	}
	u.step.waiting--
	u.held, u.reserved = nil, nil
	u.restored = true // how long it ran is not known
	s.complete(u, &member{unit: u, run: e.Run, index: e.Task.Index, worker: w, state: ended})
	s.changed()
}

// unitOf returns the unit to which a task belongs, nil if it is not known or its occurrence has not begun.
func (s *Scheduler) unitOf(t workload.TaskName) *unit {
	j := s.jobs[t.Job]
	if j == nil || t.Occurrence >= len(j.occurrences) || j.occurrences[t.Occurrence] == nil {
		return nil
	}
	name := ledger.UnitName{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
	if steps := j.occurrences[t.Occurrence].steps; t.Step < len(steps) && steps[t.Step].spec.Gang {
		name.Index = -1
	}
	return s.unitNamed(name)
}

// takeRuns takes in what runs.
func (s *Scheduler) takeRuns(w *worker, runs []RunReport, sent, now time.Time) {
	for _, r := range runs {
		key := runKey{r.Task, r.Run}
		m := w.members[key]
		if m == nil {
			s.c.Events.Emit(eventStray, event.F("worker", w.info.ID), event.F("task", r.Task), event.F("run", r.Run))
			go s.stopStray(w.target(), key)
			continue
		}
		if m.state == starting {
			m.acked = now
		}
		s.started(m)
		if r.Percent > m.percent || m.advancedAt.IsZero() {
			m.percent, m.advancedAt = r.Percent, now
		}
		m.gauge = r.Gauge
		if r.Checkpoint != "" {
			m.checkpoint = r.Checkpoint
		}
	}
	s.steerPace(w)
}

// missing takes in that a run which the worker must know is in neither list, so it is lost.
func (s *Scheduler) missing(w *worker, r HeartbeatReport, sent time.Time) {
	listed := make(map[runKey]bool, len(r.Running))
	for _, run := range r.Running {
		listed[runKey{run.Task, run.Run}] = true
	}
	for key, m := range w.members {
		if listed[key] || m.waits {
			continue
		}
		known := m.state == running && m.acked.Before(sent)
		withdrawn := !m.stopped.IsZero() && m.stopped.Before(sent)
		if known || withdrawn {
			m.reason = "the worker does not have it"
			s.endMember(m, EndLost, "")
		}
	}
}

// reborn takes in that a worker's process is a new one.
func (s *Scheduler) reborn(w *worker, born int64) {
	s.c.Events.Emit(eventReborn, event.F("worker", w.info.ID), event.F("tasks", len(w.members)), event.F("born", born))
	w.born = born
	w.processed, w.recorded = 0, 0
	s.loseAll(w, "the worker restarted")
}

// loseAll ends all members on a worker whose runs are certainly over. Orders that are being recorded are not sent.
func (s *Scheduler) loseAll(w *worker, reason string) {
	for _, m := range w.members {
		m.reason = reason
		if m.waits {
			m.stop = true
			continue
		}
		s.endMember(m, EndLost, "")
	}
}

// expire takes in that all leases of a worker that is not heard have ended.
func (s *Scheduler) expire(w *worker, now time.Time) {
	if now.Before(w.lapse) || w.answered && now.Sub(w.contact) < unheardAfter {
		return
	}
	if len(w.members) > 0 {
		s.c.Events.Emit(eventLapsed, event.F("worker", w.info.ID), event.F("tasks", len(w.members)), event.F("silent_ms", now.Sub(w.contact).Milliseconds()))
		s.loseAll(w, "the leases lapsed")
	}
	if !w.listed && len(w.members) == 0 {
		if w.cancel != nil {
			w.cancel()
		}
		delete(s.workers, w.info.ID)
	}
}
