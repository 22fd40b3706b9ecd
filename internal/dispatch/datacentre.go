package dispatch

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Limits of the age of the view of the operator's records.
const (
	// maxOperatorView is the age from which no task starts, if the platform limits the time until an evacuation is in force. Reads of the
	// records that are answered at once keep the view younger than 1.3 s.
	maxOperatorView = 3 * time.Second
	// startOrderTime covers startAttempts orders of startTimeout each, which take 1.05 s, and an order's way to the worker.
	startOrderTime = 1500 * time.Millisecond
	// startExpiryMargin covers the inaccuracy of the worker's clock, of which at most 3 % of the time since its latest answer is expected.
	startExpiryMargin = 200 * time.Millisecond
)

// Evacuations says in which data centres no task may start. It must be safe for concurrent use.
type Evacuations interface {
	Evacuated(dataCentre string) bool
}

// errStartNotSent says that a start order was not sent, since the start is not wanted or not permitted any more.
var errStartNotSent = errors.New("the start order was not sent")

// errQueryWithdrawn says that a query was given up because it names workers in an evacuated data centre.
var errQueryWithdrawn = errors.New("the query names workers in an evacuated data centre")

// evacuated reports whether no task may start on the worker, since its data centre is evacuated.
func (s *Scheduler) evacuated(w *worker) bool {
	return s.config.Evacuations != nil && s.config.Evacuations.Evacuated(w.info.DataCentre)
}

// operatorViewValid reports whether the view of the operator's records is recent enough for a start. An evacuation that the operator
// requested since then is not in force yet.
func (s *Scheduler) operatorViewValid() bool {
	limit := s.config.Bounds.Evacuation
	if limit <= 0 || s.config.OperatorView == nil {
		return true
	}
	return s.config.OperatorView() <= min(maxOperatorView, limit-startOrderTime)
}

// latestStart returns the time of the worker's clock, in milliseconds, from which it is to refuse a start order that is made now: no earlier
// than that is an evacuation in force that the view of the operator's records does not show. The order may wait for longer than its sender
// does, in the network or in a process that is paused. The lease that it carries ends then at the latest; the next heartbeat, which
// follows within two seconds, renews it.
func (s *Scheduler) latestStart(w *worker, now time.Time) int64 {
	if s.config.Bounds.Evacuation <= 0 || s.config.OperatorView == nil {
		return math.MaxInt64
	}
	return w.clockAt(now) + (s.config.Bounds.Evacuation - s.config.OperatorView() - startExpiryMargin).Milliseconds()
}

// mayStartAt reports whether the operator's records permit a start of a whole unit on the workers of its run.
func (s *Scheduler) mayStartAt(members []*member) bool {
	return s.operatorViewValid() && !slices.ContainsFunc(members, func(m *member) bool { return s.evacuated(m.worker) })
}

// noteEvacuations logs the beginnings and ends of evacuations, and gives up a query to the advisor that names workers in an evacuated data
// centre, so that its step is placed elsewhere.
func (s *Scheduler) noteEvacuations() {
	s.noteOperatorView()
	if s.config.Evacuations == nil {
		return
	}
	workers, tasks := map[string]int{}, map[string]int{}
	total := 0
	for _, w := range s.workers {
		if !s.evacuated(w) {
			continue
		}
		workers[w.info.DataCentre]++
		tasks[w.info.DataCentre] += len(w.members)
		total++
		if s.queryNames[w.info.ID] {
			s.withdrawQuery(errQueryWithdrawn)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(workers)) {
		if !s.evacuationsNoted[name] {
			s.config.Events.Emit(eventEvacuation, event.F("data_centre", name), event.F("workers", workers[name]), event.F("tasks", tasks[name]))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.evacuationsNoted)) {
		if !s.config.Evacuations.Evacuated(name) {
			s.config.Events.Emit(eventEvacuationOver, event.F("data_centre", name))
		}
	}
	maps.DeleteFunc(s.evacuationsNoted, func(name string, _ bool) bool { return !s.config.Evacuations.Evacuated(name) })
	for name := range workers {
		s.evacuationsNoted[name] = true
	}
	s.config.Metrics.Gauge("dispatch_evacuated_workers").Update(float64(total))
}

// noteOperatorView logs when the view of the operator's records becomes too old for starts, and when it is recent again.
func (s *Scheduler) noteOperatorView() {
	s.noteView(&s.operatorViewLost, s.operatorViewValid(), s.config.OperatorView, eventViewLost, eventViewRegained)
}

// noteView logs when a view becomes too old for starts, and when it is recent again. lost is what was logged last.
func (s *Scheduler) noteView(lost *bool, valid bool, age func() time.Duration, whenLost, whenRegained event.Definition) {
	if valid != *lost {
		return
	}
	*lost = !valid
	if valid {
		s.config.Events.Emit(whenRegained)
	} else {
		s.config.Events.Emit(whenLost, event.F("age_ms", age().Milliseconds()))
	}
}

// placeNothing notes the wait of steps while a view is too old for starts.
func placeNothing(ranks []rank, cause waitCause, now time.Time) {
	for _, r := range ranks {
		r.step.noteWait(cause, now)
	}
}

// queryContext returns the context of a query to the advisor. withdrawQuery ends it.
func (s *Scheduler) queryContext(workers map[string]bool) context.Context {
	ctx, cancel := context.WithCancelCause(s.ctx)
	s.queryNames, s.withdrawQuery = workers, cancel
	return ctx
}

// queryEnded releases what the query to the advisor held.
func (s *Scheduler) queryEnded() {
	s.withdrawQuery(nil)
	s.queryInProgress, s.queryNames = false, nil
}
