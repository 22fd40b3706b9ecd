package dispatch

import (
	"context"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/wait"
)

// Limits of the start orders in progress. A burst of starts on a slow link, all sent at once, times out as a whole and holds up the heartbeats
// of the term: on 2 Mbit/s, 500 orders with texts of 2 kB take 5 s.
const (
	minStartWindow = 16                     // answered within half of startTimeout on such a link
	maxStartWindow = 128                    // 1,280 starts a second if workers answer after 100 ms
	timelyStart    = 100 * time.Millisecond // answers that take less widen the window; the least time that an order keeps its place without an answer
	lateStart      = 200 * time.Millisecond // answers that take longer narrow it, as do orders without an answer
)

// startWindow limits the start orders in progress. Its size follows the time that workers take to answer.
type startWindow struct {
	size       int
	inProgress int
	answerTime time.Duration // until workers answer: the longest, less an eighth with each shorter one; 0 if none has answered
	urgent     []*member     // waiting, in order; these go first
	others     []*member
}

func newStartWindow() startWindow { return startWindow{size: minStartWindow} }

// add appends a member whose run is recorded to those whose order waits.
func (w *startWindow) add(m *member) {
	m.startWaits = true
	if m.unit.urgent() {
		w.urgent = append(w.urgent, m)
	} else {
		w.others = append(w.others, m)
	}
}

// next removes the member whose order is to be sent next, or returns nil if none waits or the window is full.
func (w *startWindow) next() *member {
	queue := &w.urgent
	if len(*queue) == 0 {
		queue = &w.others
	}
	if len(*queue) == 0 || w.inProgress >= w.size {
		return nil
	}
	m := (*queue)[0]
	(*queue)[0] = nil
	*queue = (*queue)[1:]
	return m
}

// hold returns how long an order without an answer keeps its place: long enough for a slow link, but no longer, since its worker may be silent.
func (w *startWindow) hold() time.Duration {
	if w.answerTime == 0 {
		return startTimeout
	}
	return min(max(2*w.answerTime, timelyStart), startTimeout)
}

// noteAnswer adjusts the window to the time that an order has taken until it was answered or given up.
func (w *startWindow) noteAnswer(took time.Duration, answered bool) {
	switch {
	case answered && took > w.answerTime:
		w.answerTime = took
	case answered:
		w.answerTime += (took - w.answerTime) / 8
	}
	switch {
	case took < timelyStart:
		w.size = min(w.size+1, maxStartWindow)
	case took > lateStart:
		w.size = max(w.size-1, minStartWindow)
	}
}

// sendWaitingStarts sends the orders that wait, as far as the window allows.
func (s *Scheduler) sendWaitingStarts() {
	for m := s.starts.next(); m != nil; m = s.starts.next() {
		if m.state != planned {
			continue
		}
		if m.stopWanted || !s.mayStartNow([]*member{m}) {
			s.dropStart(m)
			continue
		}
		m.recordPending, m.startWaits, m.state = false, false, starting
		target, order := m.worker.target(), s.startOrderFor(m)
		s.starts.inProgress++
		go s.protect("start", func() {
			leave := sync.OnceFunc(s.leaveStartWindow)
			defer leave()
			ctx, cancel := context.WithCancel(s.ctx)
			defer cancel()
			go s.holdPlace(ctx, leave)
			s.startMember(m, target, order)
		})
	}
}

// dropWaitingStart ends a member that was stopped while its start order waited, so that its room is free at once.
func (s *Scheduler) dropWaitingStart(m *member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.state != planned || !m.startWaits {
		return // its order was sent, or found obsolete, meanwhile
	}
	s.dropStart(m)
}

// holdPlace keeps an order's place for as long as answers take, and then gives it up.
func (s *Scheduler) holdPlace(ctx context.Context, leave func()) {
	for held, hold := time.Duration(0), timelyStart; held < hold; {
		wait.For(ctx, hold-held)
		held = hold
		s.mu.Lock()
		hold = s.starts.hold()
		s.mu.Unlock()
	}
	leave()
}

// leaveStartWindow makes room in the window for the next order.
func (s *Scheduler) leaveStartWindow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts.inProgress--
	s.sendWaitingStarts()
}

// noteStartAnswer adjusts the window to the time that an order has taken.
func (s *Scheduler) noteStartAnswer(took time.Duration, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts.noteAnswer(took, answered)
}
