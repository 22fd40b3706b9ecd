package dispatch

import (
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Observe applies what discovery shows of a worker.
func (s *Scheduler) Observe(info WorkerInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[info.ID]
	if w == nil {
		w = s.addWorker(info.ID)
	}
	if w.stopHeartbeats != nil && w.info.Address != info.Address {
		w.stopHeartbeats()
		w.stopHeartbeats = nil
	}
	s.updateInfo(w, info)
	s.startHeartbeats(w)
	s.requestPass()
}

// addWorker adds a worker of which nothing is known but its ID.
func (s *Scheduler) addWorker(id string) *worker {
	w := &worker{members: map[runKey]*member{}, endsRecorded: make(chan struct{}, 1)}
	w.info.ID = id
	// Earlier leaders may renew leases for their full length until that authority ends; later renewals last no longer.
	left := s.config.PreviousAuthority + expiryOf(s.config.Bounds.Lease)
	if known, withheld := s.config.LeasesLeft[id]; withheld {
		left, w.withheld = min(left, known), true
	}
	w.leasesOverAt = s.createdAt.Add(left)
	s.workers[id] = w
	return w
}

// updateInfo replaces what discovery has shown of a worker.
func (s *Scheduler) updateInfo(w *worker, info WorkerInfo) {
	previous, wasListed := w.info, w.listed
	w.info, w.listed = info, true
	booked := previous.Capacity.Minus(w.free)
	w.free = info.Capacity.Minus(booked)
	if info.ProcessStart != 0 && w.processStart != 0 && info.ProcessStart > w.processStart {
		s.noteRestart(w, info.ProcessStart, time.Now())
	}
	w.leavesAt = time.Time{}
	if info.Draining {
		w.leavesAt = time.Now().Add(info.Remaining)
	}
	switch {
	case !wasListed:
		s.config.Events.Emit(eventWorkerFound, event.F("worker", info.ID), event.F("address", info.Address), event.F("rack", info.Rack), event.F("labels", info.Labels), event.F("accelerators", info.Capacity.Accelerators), event.F("draining", info.Draining))
	case previous.Draining != info.Draining || previous.Capacity != info.Capacity:
		s.config.Events.Emit(eventWorkerChanged, event.F("worker", info.ID), event.F("draining", info.Draining), event.F("remaining_ms", info.Remaining.Milliseconds()), event.F("tasks", len(w.members)))
	}
	if info.Draining {
		s.evacuateWorker(w, time.Now())
	}
}

// expectedRemaining returns how much longer a run is expected to take.
func (s *Scheduler) expectedRemaining(m *member, now time.Time) time.Duration {
	left := s.expectedRunTime(m.unit.step) * time.Duration(100-min(m.percent, 100)) / 100
	if s.uneven {
		left = time.Duration(float64(left) * m.unit.relativeTime())
	}
	if m.percent > 0 && !m.runningSince.IsZero() && m.percent < 100 {
		elapsed := m.progressedAt.Sub(m.runningSince)
		if m.unit.checkpoint == "" && elapsed > 0 {
			left = elapsed * time.Duration(100-m.percent) / time.Duration(m.percent)
		}
	}
	if !m.progressedAt.IsZero() {
		left -= now.Sub(m.progressedAt)
	}
	return max(left, 0)
}

// Delist notes that discovery no longer shows a worker. Its runs are over only when its leases have expired.
func (s *Scheduler) Delist(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	s.config.Events.Emit(eventWorkerGone, event.F("worker", id), event.F("tasks", len(w.members)), event.F("heard", w.responsive))
}

// Listed returns the IDs of the workers that discovery shows, in order.
func (s *Scheduler) Listed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, w := range s.workers {
		if w.listed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
