package dispatch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Limits of requests to the advisor.
const (
	workersPerRequest = 30                     // limit for allowed and for new workers in one request; each adds to its time
	adviceTimeout     = 5 * time.Second        // limit for an answer, which takes longer the more workers the request names
	adviceRetryPause  = 500 * time.Millisecond // pause after a request without an answer
	ticketMargin      = 400 * time.Millisecond // least validity of a ticket when an order is sent, so that it is valid on arrival
	crowdedAfter      = time.Second            // wait for room on the allowed workers before others are asked about
)

// ErrAdvisorBusy means that too many requests wait at the advisor.
var ErrAdvisorBusy = errors.New("too many requests wait at the advisor")

// advice is what the advisor has said about the workers of a step. An allowed worker stays allowed, but its ticket
// expires.
type advice struct {
	requestPending  bool
	retryAt         time.Time         // earliest time of the next request
	askedAbout      map[string]bool   // workers named in answered requests
	tickets         map[string]string // tickets of allowed workers, by worker
	ticketsExpireAt time.Time         // when the tickets expire
}

// allows reports whether the worker has a ticket that will be valid when an order arrives.
func (a *advice) allows(w *worker, now time.Time) bool {
	_, ok := a.tickets[w.info.ID]
	return ok && now.Add(ticketMargin).Before(a.ticketsExpireAt)
}

// requestAdvice asks about workers for a step when its tickets expire, or when the allowed workers have had no room for a
// while.
func (p *plan) requestAdvice(pl *pool, st *step) {
	a := &st.advice
	if a.requestPending || p.scheduler.config.Advisor == nil || p.now.Before(a.retryAt) {
		return
	}
	expired := !p.now.Add(ticketMargin).Before(a.ticketsExpireAt)
	crowded := false
	for _, u := range st.units {
		if u.state == waiting && !u.waitingAt.IsZero() && p.now.Sub(u.waitingAt) > crowdedAfter {
			crowded = true
		}
	}
	if !expired && !crowded {
		return
	}
	names := p.adviceCandidates(pl, st, crowded || len(a.tickets) == 0)
	if len(names) == 0 {
		return
	}
	a.requestPending = true
	o := st.occurrence
	go p.scheduler.askAdvisor(st, StepName{o.job.spec.ID, o.index, st.index}, names)
}

// adviceCandidates returns the workers to ask about: the allowed ones again and, if more is set, workers not asked about
// yet.
func (p *plan) adviceCandidates(pl *pool, st *step, more bool) []string {
	var names []string
	for id := range st.advice.tickets {
		names = append(names, id)
	}
	slices.Sort(names)
	names = names[:min(len(names), workersPerRequest)]
	if !more {
		return names
	}
	fresh := slices.DeleteFunc(slices.Clone(pl.workers), func(w *worker) bool {
		return st.advice.askedAbout[w.info.ID] || !st.resources().Fits(capacityOf(w)) || st.spec.Label != "" && !slices.Contains(w.info.Labels, st.spec.Label)
	})
	slices.SortStableFunc(fresh, func(a, b *worker) int {
		near := cmp.Compare(boolToInt(b.info.Rack == st.spec.DataRack), boolToInt(a.info.Rack == st.spec.DataRack))
		return cmp.Or(near, cmp.Compare(b.free.Accelerators, a.free.Accelerators))
	})
	for _, w := range fresh[:min(len(fresh), workersPerRequest)] {
		names = append(names, w.info.ID)
	}
	return names
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// askAdvisor sends one request and stores the answer.
func (s *Scheduler) askAdvisor(st *step, name StepName, workers []string) {
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, adviceTimeout)
	defer cancel()
	tickets, validity, err := s.config.Advisor.Ask(ctx, name, workers)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &st.advice
	a.requestPending = false
	if err != nil {
		a.retryAt = time.Now().Add(adviceRetryPause)
		s.config.Events.Emit(eventAdviceMissing, event.F("job", name.Job), event.F("step", name.Step), event.F("workers", len(workers)), event.F("cause", err))
		return
	}
	if a.askedAbout == nil {
		a.askedAbout = map[string]bool{}
	}
	for _, id := range workers {
		a.askedAbout[id] = true
	}
	if len(a.tickets) > 0 && askedAt.Before(a.ticketsExpireAt) {
		for id, ticket := range a.tickets {
			if _, renewed := tickets[id]; !renewed {
				tickets[id] = ticket
			}
		}
	}
	a.tickets, a.ticketsExpireAt = tickets, askedAt.Add(validity) // counted from the request, so never too late
	s.config.Events.Emit(eventAdvised, event.F("job", name.Job), event.F("step", name.Step), event.F("workers", len(workers)), event.F("allowed", len(tickets)), event.F("took_ms", time.Since(askedAt).Milliseconds()))
	s.requestPass()
}
