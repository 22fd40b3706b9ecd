package dispatch

import "dogwoodnotch.example/dogwoodnotch/internal/event"

// urgentTaskShare is the share of Bounds.Tasks that only urgent jobs may use, so that they do not wait behind very large ones.
const urgentTaskShare = 0.1

// taskBudget says how many more tasks may be kept in memory. It answers a load of accepted jobs with far more tasks than can run: their
// occurrences wait in the log, in the order of arrival, until earlier ones have ended.
type taskBudget struct {
	limit int // 0 for no limit
	kept  int
	full  bool // an occurrence waits that came earlier
}

// take reports whether an occurrence with n tasks may be created, and counts them. One that is too large by itself is created alone.
func (b *taskBudget) take(n int, urgent bool) bool {
	limit := b.limit
	if !urgent {
		limit -= int(urgentTaskShare * float64(b.limit))
	}
	fits := b.limit == 0 || b.kept == 0 || b.kept+n <= limit && (urgent || !b.full)
	if fits {
		b.kept += n
	} else {
		b.full = true
	}
	return fits
}

// notePostponed logs once that an occurrence of the job is due and not created yet.
func (s *Scheduler) notePostponed(j *job, b *taskBudget) {
	if j.postponed {
		return
	}
	j.postponed = true
	s.config.Events.Emit(eventPostponed, event.F("job", j.spec.ID), event.F("tasks", j.spec.Tasks()), event.F("tasks_in_memory", b.kept), event.F("limit", b.limit))
}
