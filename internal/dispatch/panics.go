package dispatch

import (
	"time"

	"github.com/rotisserie/eris"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Pauses of a job whose handling panicked, doubled with each panic in a row.
const (
	firstSetAside   = time.Second
	longestSetAside = time.Minute
	panicLogPeriod  = time.Second // at most one panic of a kind is logged in this time
)

// protect calls f and reports whether it returned. A panic costs what f does, not the process: the next scheduler would load the same
// records and end in the same way.
func (s *Scheduler) protect(what string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			s.notePanic(what, cause)
		}
	}()
	f()
	return true
}

// notePanic counts a panic and logs it.
func (s *Scheduler) notePanic(what string, cause any) {
	s.metrics.scope.Counter("dispatch_panics").Inc(1)
	s.panicMu.Lock()
	defer s.panicMu.Unlock()
	s.panics++
	if now := time.Now(); now.Sub(s.panicLoggedAt[what]) >= panicLogPeriod {
		s.panicLoggedAt[what] = now
		s.config.Events.Emit(eventPanic, event.F("what", what), event.F("cause", eris.Errorf("%v", cause)))
	}
}

// panicAsError calls f and returns its error. A panic counts as a call without an answer.
func panicAsError(f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("the call panicked: %v", cause)
		}
	}()
	return f()
}

// setAside keeps a job whose handling panicked out of the passes for some time. Its runs go on.
func (j *job) setAside(now time.Time) {
	j.setAsideFor = min(max(2*j.setAsideFor, firstSetAside), longestSetAside)
	j.setAsideUntil = now.Add(j.setAsideFor)
}
