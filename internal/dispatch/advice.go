package dispatch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Limits of asking for advice.
const (
	adviceWorkers = 30                     // workers named in one question; each adds to what the answer takes
	adviceTimeout = 5 * time.Second        // for an answer, which takes longer the more workers it is about
	advicePause   = 500 * time.Millisecond // after a question without an answer
	adviceMargin  = 400 * time.Millisecond // of a ticket's time left when an order is sent, so that it holds on arrival
	advicePatient = time.Second            // wait for room on the allowed workers before others are asked about
)

// ErrAdvisorBusy says that too many questions wait at the advisor.
var ErrAdvisorBusy = errors.New("the advisor has too many questions")

// advice is what is known of the workers that may run a step. Which workers are allowed does not change; tickets expire.
type advice struct {
	asking  bool
	retry   time.Time         // no question before
	asked   map[string]bool   // workers that were asked about
	tickets map[string]string // of allowed workers
	until   time.Time         // end of the tickets
}

// allows reports whether the worker has a ticket that holds on arrival.
func (a *advice) allows(w *worker, now time.Time) bool {
	_, ok := a.tickets[w.info.ID]
	return ok && now.Add(adviceMargin).Before(a.until)
}

// seekAdvice asks about workers for a step when its tickets end, or when its allowed workers have had no room for a while.
func (p *plan) seekAdvice(pl *pool, st *step) {
	a := &st.advice
	if a.asking || p.s.c.Advisor == nil || p.now.Before(a.retry) {
		return
	}
	expired := !p.now.Add(adviceMargin).Before(a.until)
	crowded := false
	for _, u := range st.units {
		if u.state == waiting && !u.waitingAt.IsZero() && p.now.Sub(u.waitingAt) > advicePatient {
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
	a.asking = true
	o := st.occurrence
	go p.s.ask(st, StepName{o.job.spec.ID, o.index, st.index}, names)
}

// adviceCandidates returns workers to ask about: the allowed ones again, and more of those not asked about if more is set.
func (p *plan) adviceCandidates(pl *pool, st *step, more bool) []string {
	var names []string
	for id := range st.advice.tickets {
		names = append(names, id)
	}
	slices.Sort(names)
	names = names[:min(len(names), adviceWorkers)]
	if !more {
		return names
	}
	fresh := slices.DeleteFunc(slices.Clone(pl.workers), func(w *worker) bool {
		return st.advice.asked[w.info.ID] || !st.room().Fits(whole(w)) || st.spec.Label != "" && !slices.Contains(w.info.Labels, st.spec.Label)
	})
	slices.SortStableFunc(fresh, func(a, b *worker) int {
		near := cmp.Compare(btoi(b.info.Rack == st.spec.DataRack), btoi(a.info.Rack == st.spec.DataRack))
		return cmp.Or(near, cmp.Compare(b.free.Accelerators, a.free.Accelerators))
	})
	for _, w := range fresh[:min(len(fresh), adviceWorkers)] {
		names = append(names, w.info.ID)
	}
	return names
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ask puts one question and takes in the answer.
func (s *Scheduler) ask(st *step, name StepName, workers []string) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, adviceTimeout)
	defer cancel()
	tickets, validity, err := s.c.Advisor.Ask(ctx, name, workers)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &st.advice
	a.asking = false
	if err != nil {
		a.retry = time.Now().Add(advicePause)
		s.c.Events.Emit(eventUnadvised, event.F("job", name.Job), event.F("step", name.Step), event.F("workers", len(workers)), event.F("cause", err))
		return
	}
	if a.asked == nil {
		a.asked = map[string]bool{}
	}
	for _, id := range workers {
		a.asked[id] = true
	}
	if len(a.tickets) > 0 && asked.Before(a.until) {
		for id, ticket := range a.tickets {
			if _, renewed := tickets[id]; !renewed {
				tickets[id] = ticket
			}
		}
	}
	a.tickets, a.until = tickets, asked.Add(validity) // counted from the question, so never too long
	s.c.Events.Emit(eventAdvised, event.F("job", name.Job), event.F("step", name.Step), event.F("workers", len(workers)), event.F("allowed", len(tickets)), event.F("took_ms", time.Since(asked).Milliseconds()))
	s.changed()
}
