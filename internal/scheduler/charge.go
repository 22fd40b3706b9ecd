package scheduler

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// maxChargesPerStep bounds the jobs that one step charges for. The largest fleet needs 700 per tick of 50 ms: 140,000 tasks
// that are charged for every 10 s.
const maxChargesPerStep = 1024

// setTimers sets when a running job is charged for next and when it reaches its max_run_time.
func (t *term) setTimers(j *job, now time.Time) {
	t.setRunTimeLimit(j)
	t.chargeTimes.set(j.key, now.Add(t.config.ChargeInterval))
}

// clearTimers removes the timers of a job.
func (t *term) clearTimers(j *job) {
	t.runTimeLimits.remove(j.key)
	t.chargeTimes.remove(j.key)
}

// chargeRunning charges for the running jobs whose next charge is due. Without it a customer would be charged for a job of
// many hours only at its end, and its waiting jobs would come first until then.
func (t *term) chargeRunning(now time.Time) {
	for range maxChargesPerStep {
		key, due := t.chargeTimes.due(now)
		if !due {
			return
		}
		j := t.jobs[key]
		if j == nil || !j.placed {
			continue
		}
		t.chargeUntil(j, now)
		t.chargeTimes.set(key, now.Add(t.config.ChargeInterval))
	}
}

// chargeUntil charges for a job's current attempt up to the given time, if it has started.
func (t *term) chargeUntil(j *job, now time.Time) {
	if j.state == structs.JobRunning || j.state == structs.JobStopping {
		t.charge(j, now.Sub(j.startedAt))
	}
}

// charge charges the customer for the run time of the current attempt that has not been charged for yet. Guaranteed use and
// probes are free.
func (t *term) charge(j *job, ranFor time.Duration) {
	unpaid := ranFor - j.charged
	if unpaid <= 0 {
		return
	}
	j.charged = ranFor
	if j.origin != fromProbe && j.placement.CellSize == 0 {
		t.queue.Charge(j.info.Customer, unpaid.Seconds()*float64(j.info.Accelerators))
	}
}
