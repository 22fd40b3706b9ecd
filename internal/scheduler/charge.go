package scheduler

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// chargesAtOnce bounds the jobs that one step charges for. 140,000 tasks each 10 s are 700 per tick of 50 ms.
const chargesAtOnce = 1024

// watch notes when a job that runs needs attention although nothing is reported.
func (t *term) watch(j *job, now time.Time) {
	t.limitRun(j)
	t.charges.set(j.key, now.Add(t.config.ChargeInterval))
}

// unwatch ends what watch began.
func (t *term) unwatch(j *job) {
	t.limits.remove(j.key)
	t.charges.remove(j.key)
}

// chargeRunning charges for the running jobs whose turn it is. A customer would otherwise pay for a job of many hours
// only at its end, and its waiting jobs would come first until then.
func (t *term) chargeRunning(now time.Time) {
	for range chargesAtOnce {
		key, due := t.charges.due(now)
		if !due {
			return
		}
		j := t.jobs[key]
		if j == nil || !j.placed {
			continue
		}
		t.chargeUntil(j, now)
		t.charges.set(key, now.Add(t.config.ChargeInterval))
	}
}

// chargeUntil charges for a job's present attempt up to a time, unless it has not started.
func (t *term) chargeUntil(j *job, now time.Time) {
	if j.state == structs.JobRunning || j.state == structs.JobStopping {
		t.charge(j, now.Sub(j.startedAt))
	}
}

// charge charges for the part of the present attempt's run time that was not yet. Guaranteed use costs nothing.
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
