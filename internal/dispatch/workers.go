package dispatch

import (
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Observe takes in what discovery says of a worker.
func (s *Scheduler) Observe(info WorkerInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[info.ID]
	if w == nil {
		w = s.addWorker(info.ID)
	}
	if w.cancel != nil && w.info.Address != info.Address {
		w.cancel()
		w.cancel = nil
	}
	s.describe(w, info)
	s.attend(w)
	s.changed()
}

func (s *Scheduler) addWorker(id string) *worker {
	w := &worker{members: map[runKey]*member{}, ack: make(chan struct{}, 1)}
	w.info.ID = id
	// The term before may have renewed leases until its authority ended.
	w.lapse = s.begun.Add(s.c.PreviousAuthority + time.Duration(float64(s.c.Bounds.Lease)*clockDrift) + lapseSlack)
	s.workers[id] = w
	return w
}

// describe replaces what is known of a worker.
func (s *Scheduler) describe(w *worker, info WorkerInfo) {
	previous, was := w.info, w.listed
	w.info, w.listed = info, true
	booked := previous.Capacity.Minus(w.free)
	w.free = info.Capacity.Minus(booked)
	if info.ProcessStart != 0 && w.born != 0 && info.ProcessStart > w.born {
		s.reborn(w, info.ProcessStart)
	}
	if info.Draining && w.drainedAt.IsZero() {
		w.drainedAt = time.Now()
	} else if !info.Draining {
		w.drainedAt = time.Time{}
	}
	switch {
	case !was:
		s.c.Events.Emit(eventJoined, event.F("worker", info.ID), event.F("address", info.Address), event.F("rack", info.Rack), event.F("labels", info.Labels), event.F("accelerators", info.Capacity.Accelerators), event.F("draining", info.Draining))
	case previous.Draining != info.Draining || previous.Capacity != info.Capacity:
		s.c.Events.Emit(eventChanged, event.F("worker", info.ID), event.F("draining", info.Draining), event.F("remaining_ms", info.Remaining.Milliseconds()), event.F("tasks", len(w.members)))
	}
	if info.Draining {
		s.evacuate(w)
	}
}

// evacuate stops what cannot end on a draining worker before it leaves, so that it starts elsewhere at once.
func (s *Scheduler) evacuate(w *worker) {
	for _, m := range w.members {
		u := m.unit
		if u.state == active && !u.step.spec.Gang && s.expectedLeft(m) > w.info.Remaining {
			s.stopUnit(u, "the worker leaves")
		}
	}
}

// expectedLeft returns how much longer a run is expected to take.
func (s *Scheduler) expectedLeft(m *member) time.Duration {
	whole := s.expected(m.unit.step)
	if m.percent > 0 && !m.since.IsZero() && m.percent < 100 {
		elapsed := m.advancedAt.Sub(m.since)
		if m.unit.checkpoint == "" && elapsed > 0 {
			return elapsed * time.Duration(100-m.percent) / time.Duration(m.percent)
		}
	}
	return whole * time.Duration(100-min(m.percent, 100)) / 100
}

// Delist takes in that discovery no longer shows a worker. What runs there is over only when its leases have lapsed.
func (s *Scheduler) Delist(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	s.c.Events.Emit(eventGone, event.F("worker", id), event.F("tasks", len(w.members)), event.F("heard", w.answered))
}

// Listed returns the workers that discovery shows.
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
