package leadership

import (
	"math/rand/v2"
	"time"
)

const (
	pauseJitter = 100 * time.Millisecond // largest random part of a pause between reads
	// unsteadyTime is how long each heartbeat is read as it is written after the holder has skipped one. Otherwise an instance might take
	// the holder to be silent for up to one pause longer than it is, and claim the role before a larger one.
	unsteadyTime = 5 * time.Second
)

// rhythm estimates when the holder's last record was written, for an instance that pauses between reads and so reads several records at
// once. Heartbeats are numbered and are written every heartbeatInterval, so one that is read as it is written tells when the others are.
// A holder that skips heartbeats makes the estimate too early, and an answer that was late makes it too late; each read corrects it, since
// the record was written between the read before and its own.
type rhythm struct {
	term    int64
	origin  time.Time // when the claim was written, if each heartbeat since was written in time
	exact   bool      // whether a heartbeat of the term was read as it was written
	waiting bool      // whether the last read found no record, so that the next record is read as it is written

	unsteadyUntil time.Time // until when the holder may skip heartbeats again
}

// reset discards the estimate, for example because the log has not answered.
func (r *rhythm) reset() { *r = rhythm{} }

// silent notes that a read found no record.
func (r *rhythm) silent() { r.waiting = true }

// pause returns how long to pause before the next read, at most longest. It is 0 while the holder may be lost. It is random, so that it
// does not stay in step with the heartbeats: the estimate is most exact after a read just after a heartbeat.
func (r *rhythm) pause(longest time.Duration) time.Duration {
	if !r.exact || r.waiting || longest <= heartbeatInterval || time.Now().Before(r.unsteadyUntil) {
		return 0
	}
	return longest - time.Duration(rand.Int64N(int64(min(longest-heartbeatInterval, pauseJitter))))
}

// observe returns the estimated time at which the state was written, between earliest and now. earliest equals now if there was no pause
// before the read.
func (r *rhythm) observe(s State, earliest, now time.Time) time.Time {
	sinceClaim := time.Duration(s.Heartbeats)*heartbeatInterval + s.SinceHeartbeat
	at := now
	if s.Term == r.term {
		inTime := r.origin.Add(sinceClaim)
		if earliest.Sub(inTime) > heartbeatInterval/2 {
			r.unsteadyUntil = now.Add(unsteadyTime)
		}
		at = earlier(later(inTime, earliest), now)
	}
	r.exact = !earliest.Before(now) || r.exact && s.Term == r.term
	r.term, r.origin, r.waiting = s.Term, at.Add(-sinceClaim), false
	return at
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// largestPause returns the longest pause before a read of the topic. An instance claims later than larger ones by its size delay, and a
// pause of no more than that leaves it silence of claimAfter before its claim. One that may become the named successor reads all at once.
func (e *Elector) largestPause(s State) time.Duration {
	if s.ProcessorShare > 0 && e.processorShare >= takeoverRatio*s.ProcessorShare {
		return 0
	}
	return e.sizeDelay(s)
}
