package dispatch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// The advisor handles one query at a time, and while a query waits there for its turn, the workers it was meant for are taken and
// the tickets of others expire. So the scheduler makes one query at a time, for the step that goes first in the order of waiting
// work among those that a query can help to start now. Steps that have no room yet, and steps whose queries fail, use the time
// that is left.

// Limits of queries to the advisor.
const (
	exploredPerQuery = 30                      // workers that one query asks about for the first time; every worker slows the answer
	adviceTimeout    = 1500 * time.Millisecond // limit for an answer beyond the time that the advisor needs, doubled for each repetition
	maxAdviceTimeout = 6 * time.Second
	adviceRetryPause = 500 * time.Millisecond // least time from a query that fails to the next one
	maxAdviceBackoff = 8 * time.Second        // a step whose queries fail lets other steps go first, each time for longer, up to this
	failedQueryCost  = 4                      // and for at least this many times as long as its failed query took
	ticketMargin     = 400 * time.Millisecond // least validity of a ticket when a worker is chosen, so that it is valid when the order arrives
	minTicketUse     = 250 * time.Millisecond // tickets may be used for this long after an answer, however long the advisor took
	crowdedAfter     = time.Second            // wait for room on the approved workers before others are asked about
)

// ErrAdvisorBusy means that too many queries wait at the advisor.
var ErrAdvisorBusy = errors.New("too many queries wait at the advisor")

// advice is what the advisor has said about the workers of a step. An approved worker stays approved while its tickets are renewed.
type advice struct {
	named      map[string]bool      // workers named in the query in progress; nil if there is none
	failures   int                  // queries without an answer since the latest answer
	backOff    time.Time            // other steps go first until then
	answeredAt time.Time            // of the latest answer
	askedAbout map[string]time.Time // when the workers of answered queries were asked about
	exploredAt time.Time            // when a pass last found no worker that was not asked about
	tickets    map[string]ticket    // of the approved workers, by worker
}

// ticket allows a worker's current process to run the tasks of a step.
type ticket struct {
	text     string
	issuedAt time.Time // earliest time at which it can have been issued
	usableTo time.Time // latest time at which a worker may be chosen
	expires  time.Time
}

// approves reports whether the advisor has approved the worker.
func (a *advice) approves(w *worker) bool {
	_, approved := a.tickets[w.info.ID]
	return approved
}

// isUnknown reports whether the advisor was not asked about the worker's current process, which may be of another kind than the one
// before.
func (a *advice) isUnknown(w *worker) bool {
	askedAt, asked := a.askedAbout[w.info.ID]
	return !a.approves(w) && (!asked || askedAt.Before(w.processSeenAt))
}

// hasTicket reports whether the ticket of an approved worker will be valid when an order arrives.
func (a *advice) hasTicket(w *worker, now time.Time) bool {
	t := a.tickets[w.info.ID]
	return now.Before(t.usableTo) && !t.issuedAt.Before(w.processSeenAt)
}

// ticketExpired reports whether the worker's ticket is missing or no longer valid.
func (a *advice) ticketExpired(w *worker, now time.Time) bool {
	t := a.tickets[w.info.ID]
	return !now.Before(t.expires) || t.issuedAt.Before(w.processSeenAt)
}

// dropTicket notes that a worker did not accept a ticket. The worker stays approved.
func (a *advice) dropTicket(w *worker, text string) {
	if t, approved := a.tickets[w.info.ID]; approved && t.text == text {
		a.tickets[w.info.ID] = ticket{}
	}
}

// ticketsExpired reports whether a ticket that members of a unit need is no longer valid, so that none of their orders is sent.
func ticketsExpired(members []*member, now time.Time) bool {
	return slices.ContainsFunc(members, func(m *member) bool {
		return m.unit.job().queueSettings.Advised && m.unit.step.advice.ticketExpired(m.worker, now)
	})
}

// adviceQuery is a query that a pass wants to make.
type adviceQuery struct {
	step    *step
	workers []string
}

// awaitTickets reports whether the unit has to wait for tickets of some of the workers chosen for it. The chosen workers are then
// earmarked.
func (p *plan) awaitTickets(u *unit, chosen []*worker) bool {
	if !u.job().queueSettings.Advised {
		return false
	}
	a := &u.step.advice
	missing := false
	for _, w := range chosen {
		if a.hasTicket(w, p.now) {
			continue
		}
		missing = true
		if !slices.Contains(p.ticketsMissing, w.info.ID) {
			p.ticketsMissing = append(p.ticketsMissing, w.info.ID)
		}
	}
	if missing {
		p.earmarkWorkers(u, chosen)
	}
	return missing
}

// earmark is a worker's resources that a pass keeps from other work although nothing starts on them yet.
type earmark struct {
	worker    *worker
	resources workload.Resources
}

// earmarkWorkers keeps other units off the resources that the unit needs on the chosen workers, until dropEarmarks.
func (p *plan) earmarkWorkers(u *unit, chosen []*worker) {
	resources := u.step.resources()
	for _, w := range chosen {
		w.free = w.free.Minus(resources)
		p.earmarked = append(p.earmarked, earmark{w, resources})
	}
}

// dropEarmarks makes resources available again that were earmarked from the given one on.
func (p *plan) dropEarmarks(from int) {
	for _, e := range p.earmarked[from:] {
		e.worker.free = e.worker.free.Plus(e.resources)
	}
	p.earmarked = p.earmarked[:from]
}

// queryTickets makes a query for the tickets that units of the step wait for. Their workers stay earmarked only while it is in
// progress, since the step may first have to wait for queries of other steps.
func (p *plan) queryTickets(st *step, firstEarmark int) {
	missing := p.ticketsMissing
	p.ticketsMissing = nil
	if st.advice.named == nil {
		p.query(adviceQuery{st, missing[:min(len(missing), MaxWorkersPerQuery)]}, true)
	}
	if st.advice.named == nil {
		p.dropEarmarks(firstEarmark)
	}
}

// explore asks about workers that were not asked about yet, for a unit that has no room on the approved ones.
func (p *plan) explore(pl *pool, r rank, u *unit) {
	a := &u.step.advice
	if a.named != nil || len(p.ticketsMissing) > 0 || !p.scheduler.mayQuery(p.now) || p.now.Sub(a.exploredAt) < crowdedAfter {
		return
	}
	if p.fitsWhenIdle(pl, u) && p.now.Sub(a.answeredAt) < crowdedAfter {
		return // the approved workers may soon have room
	}
	unknown := p.unknownWorkers(pl, u.step)
	if len(unknown) == 0 {
		a.exploredAt = p.now
		return
	}
	names := make([]string, len(unknown))
	for i, w := range unknown {
		names[i] = w.info.ID
	}
	mayStartNow := r.class <= urgent || u.step.resources().Fits(unknown[0].free)
	p.query(adviceQuery{u.step, names}, mayStartNow)
}

// unknownWorkers returns workers that the advisor was not asked about for the step, on which a task would fit if nothing ran there.
// Those with room come first.
func (p *plan) unknownWorkers(pl *pool, st *step) []*worker {
	var unknown []*worker
	for _, w := range pl.workers {
		if st.advice.isUnknown(w) && st.resources().Fits(capacityOf(w)) && w.hasLabel(st.spec.Label) {
			unknown = append(unknown, w)
		}
	}
	preference := func(w *worker) int {
		if !st.resources().Fits(w.free) {
			return 0
		}
		if w.info.Rack == st.spec.DataRack {
			return 2
		}
		return 1
	}
	slices.SortStableFunc(unknown, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(preference(b), preference(a)), cmp.Compare(pl.scarceCapacity(b.free), pl.scarceCapacity(a.free)))
	})
	return unknown[:min(len(unknown), exploredPerQuery)]
}

// query makes a query at once if it may start work now, and notes it otherwise for the end of the pass.
func (p *plan) query(q adviceQuery, mayStartNow bool) {
	if !p.scheduler.mayQuery(p.now) {
		return
	}
	a := &q.step.advice
	if mayStartNow && !p.now.Before(a.backOff) {
		p.scheduler.sendQuery(q)
		return
	}
	if p.spareQuery.step == nil || a.failures < p.spareQuery.step.advice.failures {
		p.spareQuery = q
	}
}

// sendSpareQuery makes a query that can wait if no other is in progress.
func (p *plan) sendSpareQuery() {
	if p.spareQuery.step != nil && p.scheduler.mayQuery(p.now) {
		p.scheduler.sendQuery(p.spareQuery)
	}
}

// mayQuery reports whether the scheduler may make a query now.
func (s *Scheduler) mayQuery(now time.Time) bool {
	return s.config.Advisor != nil && !s.queryInProgress && !now.Before(s.nextQueryAt)
}

// sendQuery makes a query in the background.
func (s *Scheduler) sendQuery(q adviceQuery) {
	st := q.step
	s.queryInProgress = true
	st.advice.named = make(map[string]bool, len(q.workers))
	for _, id := range q.workers {
		st.advice.named[id] = true
	}
	o := st.occurrence
	settings := o.job.queueSettings
	answerTime := settings.AdviceDecision + time.Duration(len(q.workers))*settings.AdvicePerWorker
	timeout := answerTime + backOffBy(adviceTimeout, st.advice.failures, maxAdviceTimeout)
	name := StepName{o.job.spec.ID, o.index, st.index}
	ctx := s.queryContext(st.advice.named)
	go s.protect("advice", func() { s.exchangeQuery(ctx, q, name, timeout) })
}

// backOffBy doubles a time for each failure, up to a limit.
func backOffBy(base time.Duration, failures int, limit time.Duration) time.Duration {
	return min(base<<min(failures, 8), limit)
}

// exchangeQuery sends a query and stores the answer.
func (s *Scheduler) exchangeQuery(ctx context.Context, q adviceQuery, name StepName, timeout time.Duration) {
	askedAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var texts map[string]string
	var validity time.Duration
	err := panicAsError(func() (err error) {
		texts, validity, err = s.config.Advisor.Ask(callCtx, name, q.workers)
		return err
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a := &q.step.advice
	a.named = nil
	withdrawn := errors.Is(context.Cause(ctx), errQueryWithdrawn)
	s.queryEnded()
	if err != nil && withdrawn { // the advisor is not at fault, so the step may ask again at once
		s.requestPass()
		return
	}
	s.metrics.queryAnswered(now.Sub(askedAt), err)
	if err != nil {
		s.nextQueryAt = askedAt.Add(adviceRetryPause)
		a.backOff = now.Add(max(backOffBy(adviceRetryPause, a.failures, maxAdviceBackoff), failedQueryCost*now.Sub(askedAt)))
		a.failures++
		s.config.Events.Emit(eventAdviceMissing, event.F("job", name.Job), event.F("step", name.Step), event.F("workers", len(q.workers)), event.F("cause", err),
			event.F("took_ms", now.Sub(askedAt).Milliseconds()), event.F("failures", a.failures))
		return
	}
	usable := a.store(q.workers, texts, validity, askedAt, now)
	s.config.Events.Emit(eventAdvised, event.F("job", name.Job), event.F("step", name.Step), event.F("workers", len(q.workers)), event.F("allowed", len(texts)),
		event.F("took_ms", now.Sub(askedAt).Milliseconds()), event.F("usable_ms", usable.Milliseconds()))
	s.requestPass()
}

// store stores an answer, and returns for how long its tickets may be used.
//
// Tickets are valid from when the advisor issued them, at some time between the query and the answer. The earlier time is safe, but an
// advisor that takes longer than its tickets are valid would never allow a start, so they may always be used directly after the answer;
// a worker refuses one that has expired.
func (a *advice) store(workers []string, texts map[string]string, validity time.Duration, askedAt, now time.Time) time.Duration {
	a.failures, a.backOff, a.answeredAt = 0, time.Time{}, now
	if a.askedAbout == nil {
		a.askedAbout, a.tickets = map[string]time.Time{}, map[string]ticket{}
	}
	usableTo, expires := askedAt.Add(validity-ticketMargin), askedAt.Add(validity)
	if earliest := now.Add(minTicketUse); usableTo.Before(earliest) {
		usableTo = earliest
	}
	if expires.Before(usableTo) {
		expires = usableTo
	}
	for _, id := range workers {
		a.askedAbout[id] = askedAt
		delete(a.tickets, id)
		if text, approved := texts[id]; approved {
			a.tickets[id] = ticket{text: text, issuedAt: askedAt, usableTo: usableTo, expires: expires}
		}
	}
	return usableTo.Sub(now)
}
