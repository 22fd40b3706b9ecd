package dispatch

import (
	"sync"
	"time"
)

// maxWithheld limits the length of the list of workers that are granted no leases. It is part of each heartbeat of the term, of which
// every instance reads a copy.
const maxWithheld = 500

// withheldAfterLeases is how long a silent worker stays on the list once its leases are over. It leaves time to record that its runs are
// lost; a leader that does not find this recorded restores them.
const withheldAfterLeases = 10 * time.Second

// withheldList lists workers that are granted no leases until a later list without them is recorded. The next leader, which knows the
// list, need not wait for leases that this one might have granted them.
type withheldList struct {
	mu         sync.Mutex // locked after that of the scheduler, for which heartbeats of the term must not wait
	number     int64      // rises with each list
	leasesLeft map[string]time.Duration
	confirmed  int64 // number of the latest list that is recorded
}

// Withheld returns the number of the latest list of workers that are granted no leases, and how long leases may last there; zero or
// negative if they are over.
func (s *Scheduler) Withheld() (number int64, leasesLeft map[string]time.Duration) {
	l := &s.withheld
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.number, l.leasesLeft
}

// ConfirmWithheld notes that the list with a number is recorded.
func (s *Scheduler) ConfirmWithheld(number int64) {
	l := &s.withheld
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = max(l.confirmed, number)
}

// listWithheld makes a new list, of the workers that have been silent for maxSilence. A worker that answers again gets leases once a list
// without it is recorded.
func (s *Scheduler) listWithheld(workers []*worker, now time.Time) {
	l := &s.withheld
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	l.leasesLeft = map[string]time.Duration{}
	for _, w := range workers {
		if left := w.allLeasesOverAt().Sub(now); s.foundSilent(w, now) && left > -withheldAfterLeases && len(l.leasesLeft) < maxWithheld {
			l.leasesLeft[w.info.ID] = left
			w.withheld, w.withheldIn = true, l.number
		}
		if l.confirmed > w.withheldIn {
			w.withheld = false
		}
	}
}

// foundSilent reports whether the worker has not answered for maxSilence, or not since an earlier leader found it silent.
func (s *Scheduler) foundSilent(w *worker, now time.Time) bool {
	return !w.responsive && (w.withheld || s.silence(w, now) >= maxSilence)
}

// silence returns how long ago the worker has answered, or this leader could first have heard it.
func (s *Scheduler) silence(w *worker, now time.Time) time.Duration {
	if w.lastAnswerAt.IsZero() {
		return now.Sub(s.createdAt)
	}
	return now.Sub(w.lastAnswerAt)
}
