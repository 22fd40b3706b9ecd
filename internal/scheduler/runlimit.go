package scheduler

import (
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// limitsAtOnce bounds the jobs that one step stops because of their run time.
const limitsAtOnce = 1024

// limitRun notes when the present attempt reaches the job's max_run_time. Earlier attempts count in full, also the part
// of them that no checkpoint kept: a job that never finishes would otherwise restart from its checkpoint for ever.
func (t *term) limitRun(j *job) {
	if j.info.MaxRunTime > 0 {
		t.limits.set(j.key, j.startedAt.Add(j.info.MaxRunTime-j.spent))
	}
}

// stopOverruns stops the running jobs that have reached their max_run_time.
func (t *term) stopOverruns(now time.Time) {
	for range limitsAtOnce {
		key, due := t.limits.due(now)
		if !due {
			return
		}
		j := t.jobs[key]
		if j == nil || j.state != structs.JobRunning || j.result != nil {
			continue
		}
		if j.missing == 0 && j.count(isPhase(platform.TaskFinished)) == len(j.members) {
			continue // it finished in time and is settled in this step
		}
		t.stop(j, causeOverrun, now)
	}
}

// overran reports whether the attempts that have ended used up the job's max_run_time.
func (j *job) overran() bool { return j.info.MaxRunTime > 0 && j.spent >= j.info.MaxRunTime }

func (j *job) overrunResult(now time.Time) *Result {
	return &Result{
		State: structs.JobFailed, Attempts: j.starts, RanFor: j.spent, EndedAt: now,
		Message: fmt.Sprintf("stopped after a run time of %v in %d attempts: job_kinds.%s.max_run_time is %v; "+
			"split the job into shorter ones, or have the operator raise max_run_time",
			j.spent.Round(time.Millisecond), j.starts, j.info.Kind, j.info.MaxRunTime),
	}
}
