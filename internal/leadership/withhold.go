package leadership

import "time"

// Withholder makes lists of the workers to which a holder grants no leases and sends no starts until a later list without them is recorded.
type Withholder interface {
	// Withheld returns the number of the latest list, and how long leases may last, by worker.
	Withheld() (number int64, leasesLeft map[string]time.Duration)
	// ConfirmWithheld is called once the list with a number is recorded.
	ConfirmWithheld(number int64)
	// RunsRecorded reports whether records show all runs that this holder and earlier ones have started. Once the term has ended no run is
	// started any more.
	RunsRecorded() bool
}

// Withhold makes the term's heartbeats record the lists of w. Before it is called, they record what the term began with; the holder must
// not grant leases to these workers either.
func (t *Term) Withhold(w Withholder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withhold = w
}

// withheld returns the list for the next heartbeat. Its number is 0 if the holder has made none yet.
func (t *Term) withheld() (int64, map[string]time.Duration) {
	t.mu.Lock()
	w := t.withhold
	t.mu.Unlock()
	if w != nil {
		return w.Withheld()
	}
	return 0, countDown(t.LeasesLeft, t.elector.clock()-t.claimed)
}

// runsRecorded returns what the next record says of the runs; false until the holder knows of those of earlier terms.
func (t *Term) runsRecorded() bool {
	t.mu.Lock()
	w := t.withhold
	t.mu.Unlock()
	return w != nil && w.RunsRecorded()
}

// MayHaveUnrecordedRuns reports whether earlier holders may have started runs on a worker that no record shows. A holder whose last record says
// that there are none started no more if it resigned, and none on workers that were on its list.
func (t *Term) MayHaveUnrecordedRuns(worker string) bool {
	if !t.previous.RunsRecorded {
		return true
	}
	_, listed := t.previous.LeasesLeft[worker]
	return !t.previous.Resigned && !listed
}

// confirmWithheld passes on that a list is recorded.
func (t *Term) confirmWithheld(number int64) {
	t.mu.Lock()
	w := t.withhold
	t.mu.Unlock()
	if w != nil && number > 0 {
		w.ConfirmWithheld(number)
	}
}

// leasesLeft returns how long from now on leases may last on the workers that the state s names.
func (e *Elector) leasesLeft(s State) map[string]time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return countDown(s.LeasesLeft, e.clock()-e.heardAt)
}

// countDown returns the durations less the time that has passed since they were taken.
func countDown(durations map[string]time.Duration, passed time.Duration) map[string]time.Duration {
	left := make(map[string]time.Duration, len(durations))
	for name, d := range durations {
		left[name] = d - passed
	}
	return left
}
