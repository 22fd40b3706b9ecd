package leadership

import (
	"math/rand/v2"
	"time"
)

// Limits of pauses between reads of the topic.
const (
	// watchTime is the least time before a claim in which there are no pauses, so that a claim follows an answering log to which the holder,
	// which writes every 350 ms, has not written.
	watchTime   = 600 * time.Millisecond
	pauseJitter = 100 * time.Millisecond // largest random part of a pause
	// slowAnswer is the time for an answer after a pause from which on there are no pauses for slowTime. Either the holder skips heartbeats,
	// or the log is slow, and heartbeats take effect long after they were made.
	slowAnswer = 100 * time.Millisecond
	slowTime   = 5 * time.Second
	clockDrift = 1e-3 // largest relative difference in speed of two machines' clocks
	// oddStep is by how much the limit on when a record was made may precede the read before, for example because the append took long. If it
	// precedes that by more, the holder's clock has lost time, and the limit would be too early for the rest of the term.
	oddStep = 100 * time.Millisecond
)

// recordTiming tells when records of the holder were made, for an instance that pauses between reads. A record says how long after the claim it
// was made, by the holder's clock. It was made before it was read, so each read limits when the claim can have been, and with it when later
// records can have been made. The limit is as exact as the read that was the soonest after its record.
type recordTiming struct {
	term    int64
	known   bool          // whether origin is known
	origin  time.Duration // latest time from which SinceClaim can count
	setAt   time.Duration // when origin was determined
	exact   bool          // whether a record of the term was read as it was written
	waiting bool          // whether the last read found no record of the holder

	slowUntil time.Duration // until when answers may be slow
}

// made returns the latest time at which a record that was read now can have been made, and the likely time, which assumes that the clocks do
// not drift. Both are no earlier than earliest, so that a record with an odd SinceClaim misleads by the time between two reads at most.
func (r *recordTiming) made(s State, earliest, now time.Duration) (latest, likely time.Duration) {
	if s.Term != r.term {
		*r = recordTiming{term: s.Term, slowUntil: r.slowUntil}
	}
	if s.SinceClaim <= 0 { // the record of a claim, or of an earlier version
		return now, now
	}
	likely = r.origin + s.SinceClaim
	limit := likely + time.Duration(clockDrift*float64(now-r.setAt))
	if !r.known || limit >= now || limit < earliest-oddStep {
		r.known, r.origin, r.setAt = true, now-s.SinceClaim, now
		return now, now
	}
	return max(limit, earliest), max(likely, earliest)
}

// noteRead notes whether a read that was answered now found a record of the holder.
func (r *recordTiming) noteRead(heard, paused bool, sent, now time.Duration) {
	r.waiting = !heard
	switch {
	case heard && !paused:
		r.exact = true
	case paused && now-sent > slowAnswer:
		r.slowUntil = now + slowTime
	}
}

// pauseBeforeRead returns how long to pause before the next read of the topic, so that it returns several heartbeats. There is no pause
// while the holder may be lost or leaves, or while this instance may become its named successor. The pause is random, so that it does not
// stay in step with the heartbeats.
func (e *Elector) pauseBeforeRead(s State) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.timing
	if s.Leaving || r.term != s.Term || !r.exact || !r.known || r.waiting || e.clock() < r.slowUntil {
		return 0
	}
	if s.ProcessorShare > 0 && e.processorShare >= takeoverRatio*s.ProcessorShare {
		return 0
	}
	return claimAfter - watchTime + e.sizeDelay(s) - time.Duration(rand.Int64N(int64(pauseJitter)))
}
