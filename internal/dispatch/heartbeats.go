package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/forecast"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// Timings of heartbeats. A heartbeat renews the leases of a worker's runs; the worker answers when a run ends or the wait
// is over.
const (
	heartbeatWait       = 1500 * time.Millisecond // how long a worker waits for a run to end; a lease lasts several heartbeats
	heartbeatTimeout    = 900 * time.Millisecond  // limit for the answer, in addition to the wait
	heartbeatRetryPause = 250 * time.Millisecond  // pause after a heartbeat without an answer
	endRecordWait       = 400 * time.Millisecond  // wait for reported ends to be recorded before the next heartbeat
	maxSilence          = 2 * heartbeatWait       // a worker that has not answered for this long gets no new work
	startSettlePause    = 20 * time.Millisecond   // before a heartbeat that acknowledges nothing because of start orders; a healthy worker answers these in less
	maxHeldBack         = 3                       // heartbeats in a row from which an acknowledgement may be held back
	// withheldHeartbeatWait is the wait of a worker that gets leases once its silence is no longer on record.
	withheldHeartbeatWait = 200 * time.Millisecond
)

// startHeartbeats starts the heartbeat loop of a worker that has none.
func (s *Scheduler) startHeartbeats(w *worker) {
	if w.stopHeartbeats != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	w.stopHeartbeats = cancel
	go s.heartbeatLoop(ctx, w)
}

// heartbeatLoop renews a worker's leases and handles its reports until ctx ends.
func (s *Scheduler) heartbeatLoop(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		now := time.Now() // before the check, so that no lease is granted for a time at which the authority was over
		if !s.config.Term.Authority() {
			wait.For(ctx, heartbeatRetryPause)
			continue
		}
		next, err := s.exchangeHeartbeat(ctx, w, now)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.heartbeatFailed(w, err)
			wait.For(ctx, heartbeatRetryPause)
			continue
		}
		switch next {
		case afterRecords:
			select {
			case <-ctx.Done():
			case <-w.endsRecorded:
			case <-time.After(endRecordWait):
			}
		case afterOrders:
			wait.For(ctx, startSettlePause)
		}
	}
}

// nextStep says when the next heartbeat of a worker that has answered is sent.
type nextStep uint8

const (
	atOnce       nextStep = iota
	afterRecords          // once reported ends are recorded
	afterOrders           // once start orders may be settled, until which recorded ends are not acknowledged
)

// exchangeHeartbeat sends one heartbeat, whose leases begin at now, and handles the answer. A panic counts as an unanswered heartbeat, so that
// one worker's answer cannot end the process.
func (s *Scheduler) exchangeHeartbeat(ctx context.Context, w *worker, now time.Time) (next nextStep, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("heartbeat of worker %s: %v", w.info.ID, cause)
			s.config.Events.Emit(eventHeartbeatPanic, event.F("worker", w.info.ID), event.F("cause", err))
		}
	}()
	order, target, givenUpAt := func() (HeartbeatOrder, Target, time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		order, target := s.nextHeartbeat(w, now)
		givenUpAt := time.Now().Add(order.Wait + heartbeatTimeout)
		if order.LeaseEnd > 0 {
			s.noteUnheardProcess(w, givenUpAt)
		}
		return order, target, givenUpAt
	}()
	sent := time.Now()
	callCtx, cancel := context.WithDeadline(ctx, givenUpAt)
	defer cancel()
	report, acknowledged, err := s.sendHeartbeat(callCtx, w, target, order)
	if err != nil || ctx.Err() != nil {
		return atOnce, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleReport(w, sent, time.Now(), report)
	if acknowledged <= w.lastRecordedEnd { // or the answer is that of a new process
		w.lastAcknowledgedEnd = max(w.lastAcknowledgedEnd, acknowledged)
	}
	switch {
	case w.lastRecordedEnd < w.lastHandledEnd:
		return afterRecords, nil
	case w.lastAcknowledgedEnd < w.lastRecordedEnd && w.unheard() > 0:
		return afterOrders, nil
	}
	return atOnce, nil
}

// nextHeartbeat returns the next heartbeat of a worker. It renews leases only if the previous heartbeat was answered: if
// heartbeats reach the worker but its answers are lost, its leases still expire at a known time. It acknowledges ends only then, too,
// and only to the process that reported them: a worker that has restarted numbers ends from 1 again, and would forget ends that it has
// not reported yet. Only members that may be on an unheard process can have ended there, so it acknowledges nothing while there are such.
func (s *Scheduler) nextHeartbeat(w *worker, now time.Time) (HeartbeatOrder, Target) {
	order := HeartbeatOrder{Token: s.config.Token}
	if !w.responsive {
		return order, w.target()
	}
	if !w.withheld && !w.mustLapse(now) {
		order.LeaseEnd = s.grantLease(w, now)
	}
	unacknowledged := w.lastRecordedEnd > w.lastAcknowledgedEnd
	if unacknowledged && w.unheard() == 0 {
		order.AcknowledgedEnd, order.SameProcess = w.lastRecordedEnd, true
	}
	switch {
	case w.lastRecordedEnd != w.lastHandledEnd, unacknowledged && order.AcknowledgedEnd == 0, w.hasUncheckedWithdrawal():
	case w.withheld:
		order.Wait = withheldHeartbeatWait
	case w.hasMixedWork():
		order.Wait = mixedHeartbeatWait
	default:
		order.Wait = heartbeatWait
	}
	if order.SameProcess && w.heldBack >= maxHeldBack {
		// Such a worker closes its connections after each answer, and would list no more ends after some time. Without a wait, a new
		// process forgets only ends of the few milliseconds since the previous answer.
		order.SameProcess, order.Wait = false, 0
	}
	return order, w.target()
}

// hasUncheckedWithdrawal reports whether a start without an answer was withdrawn and no report was asked for since. If the run never began, no
// end will be listed that cuts a wait short, and the unit cannot start again before the report.
func (w *worker) hasUncheckedWithdrawal() bool {
	for _, m := range w.members {
		if m.startAnsweredAt.IsZero() && !m.stopAnsweredAt.IsZero() && !m.stopAnsweredAt.Before(w.reportAskedAt) {
			return true
		}
	}
	return false
}

// sendHeartbeat sends a heartbeat. If it may not reach the process that answered last, the acknowledgement is held back until the worker
// has reported again. It returns the number up to which it acknowledged ends.
func (s *Scheduler) sendHeartbeat(ctx context.Context, w *worker, to Target, order HeartbeatOrder) (report HeartbeatReport, acknowledged int64, err error) {
	report, err = s.config.Fleet.Heartbeat(ctx, to, order)
	heldBack := errors.Is(err, ErrOtherProcessPossible)
	s.mu.Lock()
	switch {
	case heldBack:
		w.heldBack++
	case order.AcknowledgedEnd > 0:
		w.heldBack = 0
	}
	s.mu.Unlock()
	if !heldBack {
		return report, order.AcknowledgedEnd, err
	}
	s.metrics.orderAnswered("hold", "held back")
	order.AcknowledgedEnd, order.SameProcess, order.Wait = 0, false, 0
	report, err = s.config.Fleet.Heartbeat(ctx, to, order)
	return report, 0, err
}

// heartbeatFailed handles a heartbeat that was refused or not answered.
func (s *Scheduler) heartbeatFailed(w *worker, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch refusalOf(err) {
	case RefusedFenced:
		s.config.Term.Lose(fmt.Errorf("worker %s has seen a later term", w.info.ID))
		return
	case RefusedWrongProcess:
		// The machine has restarted under another ID and runs nothing of before.
		if len(w.members) > 0 {
			s.config.Events.Emit(eventWorkerReplaced, event.F("worker", w.info.ID), event.F("address", w.info.Address), event.F("tasks", len(w.members)))
		}
		s.loseMembers(w, causeWorkerLost)
		s.clearSuspicions(w, nil)
	}
	if w.responsive {
		s.config.Events.Emit(eventWorkerSilent, event.F("worker", w.info.ID), event.F("cause", err), event.F("tasks", len(w.members)))
	}
	w.responsive = false
	s.metrics.orderAnswered("hold", "unanswered")
}

// handleReport handles the answer to a heartbeat. sent is when the heartbeat was sent.
func (s *Scheduler) handleReport(w *worker, sent, now time.Time, r HeartbeatReport) {
	s.metrics.orderAnswered("hold", "answered")
	if r.ProcessStart != 0 && w.processStart != 0 && r.ProcessStart != w.processStart {
		if sent.Before(w.processSeenAt) {
			return // the answer of a process that has been replaced since
		}
		s.noteRestart(w, r.ProcessStart, now)
	}
	if r.ProcessStart != 0 {
		w.processStart = r.ProcessStart
	}
	if r.Unreadable > 0 {
		s.config.Events.Emit(eventBadReport, event.F("worker", w.info.ID), event.F("rows", r.Unreadable))
	}
	if !w.responsive && !w.lastAnswerAt.IsZero() {
		s.config.Events.Emit(eventWorkerAnswers, event.F("worker", w.info.ID), event.F("silent_ms", now.Sub(w.lastAnswerAt).Milliseconds()))
	}
	if !w.responsive {
		for _, m := range w.members {
			m.unit.answersSince = now
		}
		s.requestPass()
	}
	w.responsive, w.reportAskedAt, w.lastAnswerAt = true, sent, now
	w.noteClock(r)
	s.handleEnds(w, r.Ended)
	s.handleRuns(w, r.Running, sent, now)
	switch {
	case !r.Partial || r.Unreadable == 0:
		w.unreadableSince = time.Time{}
	case w.unreadableSince.IsZero():
		w.unreadableSince = now
	}
	if !r.Partial {
		s.loseMissingRuns(w, r, sent)
		s.clearSuspicions(w, r.Running)
	}
}

// handleEnds handles reported ends that are new, in the order of their numbers: an acknowledgement covers all lower ones. Later
// heartbeats acknowledge them once their effects are durable.
func (s *Scheduler) handleEnds(w *worker, ends []EndReport) {
	slices.SortStableFunc(ends, func(a, b EndReport) int { return cmp.Compare(a.Number, b.Number) })
	latest := int64(0)
	for _, e := range ends {
		if e.Number <= w.lastHandledEnd {
			continue
		}
		w.lastHandledEnd, latest = e.Number, e.Number
		if m := w.members[runKey{e.Task, e.Run}]; m != nil {
			if e.Ending == EndDone || e.Ending == EndFailed || e.Checkpoint != "" {
				s.markRunning(m) // such an end shows that the run had begun
			}
			s.endMember(m, e.Ending, e.Checkpoint)
		} else {
			s.handleLateEnd(w, e)
		}
	}
	if latest == 0 {
		return
	}
	processStart := w.processStart
	// Puts no record, but waits for the records that the ends have caused.
	s.config.Runs.Put(func(err error) {
		if err != nil {
			return
		}
		s.mu.Lock()
		if w.processStart == processStart { // the numbers of an earlier process mean nothing to the current one
			w.lastRecordedEnd = max(w.lastRecordedEnd, latest)
		}
		s.mu.Unlock()
		select {
		case w.endsRecorded <- struct{}{}:
		default:
		}
	})
}

// handleLateEnd completes a unit whose run ended well but counted as lost, since its worker was silent for longer than its
// leases. A later run of the unit is stopped: its work is done, and the steps that depend on it may start.
func (s *Scheduler) handleLateEnd(w *worker, e EndReport) {
	u := s.unitOf(e.Task)
	if u != nil && u.uncountedFrom > 0 && e.Run >= u.uncountedFrom {
		s.noteUnrecordedEnd(w, u, e)
	}
	if e.Ending != EndDone || u == nil || u.state == done || e.Run > u.run || u.failedRun == e.Run || u.step.spec.Permanent || u.job().ended() {
		return
	}
	s.config.Events.Emit(eventLateEnd, event.F("job", u.job().spec.ID), event.F("unit", u.name().Key()), event.F("run", e.Run), event.F("worker", w.info.ID), event.F("latest_run", u.run))
	if u.state == waiting {
		u.step.unitsWaiting--
	}
	s.stopUnit(u, causeSuperseded)
	u.reservedWorkers, u.preemptedWorkers = nil, nil
	u.runTimeUnknown = true // when the run ended during the silence is not known
	s.completeUnit(u, &member{unit: u, run: e.Run, index: e.Task.Index, worker: w, state: ended})
	s.requestPass()
}

// unitOf returns the unit of a task, or nil if the job is not known or the occurrence is not created.
func (s *Scheduler) unitOf(t workload.TaskName) *unit {
	j := s.jobs[t.Job]
	if j == nil || t.Occurrence >= len(j.occurrences) || j.occurrences[t.Occurrence] == nil {
		return nil
	}
	name := ledger.UnitName{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
	if steps := j.occurrences[t.Occurrence].steps; t.Step < len(steps) && steps[t.Step].spec.Gang {
		name.Index = -1
	}
	return s.unitByName(name)
}

// handleRuns updates members from the worker's list of runs, and stops runs that are not planned there.
func (s *Scheduler) handleRuns(w *worker, runs []RunReport, sent, now time.Time) {
	w.hasStray = false
	for _, r := range runs {
		key := runKey{r.Task, r.Run}
		m := w.members[key]
		if m == nil {
			m = s.adoptRun(w, key, now)
		}
		if m == nil {
			s.config.Events.Emit(eventStray, event.F("worker", w.info.ID), event.F("born", w.processStart), event.F("task", r.Task), event.F("run", r.Run))
			w.hasStray = true
			target := w.target()
			go s.protect("stop", func() { s.stopStrayRun(target, key) })
			continue
		}
		if m.state == starting {
			m.startAnsweredAt = now
		}
		s.markRunning(m)
		if r.Percent > m.percent || m.progressedAt.IsZero() {
			m.noteProgress(r.Percent, now)
			s.observeProgress(m, now)
		}
		m.latencyOrCPU = r.LatencyOrCPU
		m.noteCheckpoint(r.Checkpoint, now)
	}
	s.adjustPace(w)
}

// loseMissingRuns ends members that the worker must know but reports neither as running nor as ended, and members whose
// stop it has answered. Answers count only if they came before the heartbeat was sent.
func (s *Scheduler) loseMissingRuns(w *worker, r HeartbeatReport, sent time.Time) {
	listed := make(map[runKey]bool, len(r.Running))
	for _, run := range r.Running {
		listed[runKey{run.Task, run.Run}] = true
	}
	for _, m := range w.membersWhere(func(m *member) bool { return !listed[m.key()] && !m.recordPending }) {
		confirmed := m.state == running && m.startAnsweredAt.Before(sent)
		withdrawn := !m.stopAnsweredAt.IsZero() && m.stopAnsweredAt.Before(sent)
		if confirmed || withdrawn {
			m.noteCause(causeWorkerLost)
			s.endMember(m, EndLost, "")
		}
	}
}

// noteRestart notes that a worker's process is a new one, which numbers ends from the start. What ran in the earlier process is lost
// once a report of the new one does not list it: orders that were sent to the earlier process may have reached the new one.
func (s *Scheduler) noteRestart(w *worker, processStart int64, now time.Time) {
	s.config.Events.Emit(eventWorkerRestarted, event.F("worker", w.info.ID), event.F("tasks", len(w.members)), event.F("unheard", w.unheard()), event.F("born", processStart))
	w.processStart, w.processSeenAt = processStart, now
	w.lastHandledEnd, w.lastRecordedEnd, w.lastAcknowledgedEnd = 0, 0, 0
	w.setSlowdown(forecast.Slowdown{Factor: 1})
	s.forecast.Forget(w.info.ID)
}

// loseMembers ends the members on a worker whose runs are certainly over. Members whose run is being recorded are only
// marked, so that their start order is not sent.
func (s *Scheduler) loseMembers(w *worker, cause endCause) {
	for _, m := range w.membersWhere(func(*member) bool { return true }) {
		s.loseMember(m, cause)
	}
}

func (s *Scheduler) loseMember(m *member, cause endCause) {
	m.noteCause(cause)
	if m.recordPending {
		m.stopWanted = true
		return
	}
	s.endMember(m, EndLost, "")
}

// expireLeases ends the members whose leases have certainly expired on a worker that is silent or whose reports have unreadable rows. It
// removes the worker later if discovery no longer shows it.
func (s *Scheduler) expireLeases(w *worker, now time.Time) {
	if now.Before(w.leasesOverAt) || w.responsive && now.Sub(w.lastAnswerAt) < maxSilence && w.unreadableSince.IsZero() {
		return
	}
	expired := w.membersWhere(func(m *member) bool { return !now.Before(w.leasesOverFor(m)) })
	if len(expired) > 0 {
		s.config.Events.Emit(eventLeasesExpired, event.F("worker", w.info.ID), event.F("tasks", len(expired)), event.F("unheard", w.unheard()), event.F("silent_ms", s.silence(w, now).Milliseconds()))
	}
	for _, m := range expired {
		s.loseMember(m, causeLeaseExpired)
	}
	s.clearSuspicions(w, nil)
	if !w.listed && len(w.members) == 0 && len(w.suspected) == 0 && now.Sub(w.leasesOverAt) >= withheldAfterLeases {
		if w.stopHeartbeats != nil {
			w.stopHeartbeats()
		}
		delete(s.workers, w.info.ID)
		s.forecast.Forget(w.info.ID) // or it would count in the fleet's mean and unevenness for ever
	}
}
