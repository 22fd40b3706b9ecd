package scheduler

import (
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// maxOverrunsPerStep bounds the jobs that one step stops because of their run time.
const maxOverrunsPerStep = 1024

// setRunTimeLimit sets when the current attempt reaches the job's max_run_time. Earlier attempts count in full, including
// the part that no checkpoint kept: a job that never finishes would otherwise restart from its checkpoint for ever.
func (t *term) setRunTimeLimit(j *job) {
	if j.info.MaxRunTime > 0 {
		t.runTimeLimits.set(j.key, j.startedAt.Add(j.info.MaxRunTime-j.spent))
	}
}

// stopOverruns stops the running jobs that have reached their max_run_time.
func (t *term) stopOverruns(now time.Time) {
	for range maxOverrunsPerStep {
		key, due := t.runTimeLimits.due(now)
		if !due {
			return
		}
		j := t.jobs[key]
		if j == nil || j.state != structs.JobRunning || j.result != nil {
			continue
		}
		if j.missingMembers == 0 && j.count(isPhase(platform.TaskFinished)) == len(j.members) {
			continue // it finished in time and gets its result in this step
		}
		t.stop(j, causeOverrun, now)
	}
}

// overran reports whether the ended attempts have used up the job's max_run_time.
func (j *job) overran() bool { return j.info.MaxRunTime > 0 && j.spent >= j.info.MaxRunTime }

// overrunResult is the result of a job that has used up its max_run_time.
func (j *job) overrunResult(now time.Time) *Result {
	return &Result{
		State: structs.JobFailed, Attempts: j.starts, RanFor: j.spent, EndedAt: now,
		Message: fmt.Sprintf("stopped after a run time of %v in %d attempts: job_kinds.%s.max_run_time is %v; "+
			"split the job into shorter ones, or have the operator raise max_run_time",
			j.spent.Round(time.Millisecond), j.starts, j.info.Kind, j.info.MaxRunTime),
	}
}
