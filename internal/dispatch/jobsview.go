package dispatch

import "time"

// minJobsView is the least limit of the age of the view of the jobs. Reads of the jobs that are answered at once make it up to 1.3 s old.
const minJobsView = 2500 * time.Millisecond

// jobsViewValid reports whether the view of the jobs is recent enough for a start. A cancellation that was acknowledged since then is not known.
// Starts without a record do not ask for it, as the log cannot be read then; their own limit is shorter.
func (s *Scheduler) jobsViewValid() bool {
	limit := s.config.Bounds.Cancellation
	return limit <= 0 || s.config.JobsView == nil || s.config.JobsView() <= max(limit, minJobsView)
}

// noteJobsView logs when the view of the jobs becomes too old for starts, and when it is recent again.
func (s *Scheduler) noteJobsView() {
	s.noteView(&s.jobsViewLost, s.jobsViewValid(), s.config.JobsView, eventJobsViewLost, eventJobsViewFound)
}
