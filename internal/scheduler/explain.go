package scheduler

import (
	"fmt"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// JobStatus describes a job to callers.
type JobStatus struct {
	ID           structs.JobID      `json:"id" msgpack:"id"`
	Customer     structs.Customer   `json:"customer" msgpack:"customer"`
	Kind         structs.KindName   `json:"kind" msgpack:"kind"`
	DataCentre   structs.DataCentre `json:"data_centre" msgpack:"data_centre"`
	Accelerators int                `json:"accelerators" msgpack:"accelerators"`
	State        structs.JobState   `json:"state" msgpack:"state"`
	Since        time.Time          `json:"since" msgpack:"since"` // when the job entered the state
	SubmittedAt  time.Time          `json:"submitted_at" msgpack:"submitted_at"`
	Attempts     int                `json:"attempts" msgpack:"attempts"`
	Failures     int                `json:"failures" msgpack:"failures"`
	Reason       string             `json:"reason,omitempty" msgpack:"reason"` // why it waits or stops, in the specification's terms
	Remedy       string             `json:"remedy,omitempty" msgpack:"remedy"`
	Guaranteed   bool               `json:"guaranteed" msgpack:"guaranteed"` // uses a guaranteed cell of its customer
	Workers      []structs.WorkerID `json:"workers,omitempty" msgpack:"workers"`
	Result       *Result            `json:"result,omitempty" msgpack:"result"`
}

// status describes a job of the decision loop.
func (t *term) status(j *job) JobStatus {
	s := JobStatus{
		ID: j.info.ID, Customer: j.info.Customer, Kind: j.info.Kind, DataCentre: t.dc, Accelerators: j.info.Accelerators,
		State: j.state, Since: j.stateSince, SubmittedAt: j.info.SubmittedAt, Attempts: j.starts, Failures: j.failures,
		Guaranteed: j.placed && j.placement.CellSize > 0, Result: j.result,
	}
	switch {
	case j.result != nil:
		s.Reason = "the result is being recorded in the job stream"
	case j.state == structs.JobWaiting:
		s.Reason, s.Remedy = t.waitingReason(j)
	case j.state == structs.JobStarting:
		s.Reason = fmt.Sprintf("waits for %d preempted borrowers to save their work and end", len(j.victims))
	case j.state == structs.JobStopping:
		s.Reason = "stopping: " + string(j.cause)
	}
	if j.placed {
		for _, m := range j.placement.Members {
			s.Workers = append(s.Workers, m.Worker)
		}
	}
	return s
}

// waitingReason explains why a waiting job has not started and what can be done about it.
func (t *term) waitingReason(j *job) (reason, remedy string) {
	if quota, remedy := t.overQuota(j); quota != "" {
		return quota, remedy
	}
	reason = j.reason
	if reason == "" {
		reason = "other waiting jobs are ahead in the queue"
	}
	if j.faulty {
		reason += fmt.Sprintf("; %d failures on %d workers are attributed to the job, last: %s",
			j.failures, len(j.failedOn), j.lastError)
	}
	if len(t.excluded) > 0 {
		reason += fmt.Sprintf("; %d workers are excluded because tasks fail on them", len(t.excluded))
	}
	return reason, j.remedy
}

// recordedStatus describes a job from its records in the job stream alone.
func recordedStatus(a Accepted, result *Result, dc structs.DataCentre) JobStatus {
	s := JobStatus{
		ID: a.Job.ID, Customer: a.Job.Customer, Kind: a.Job.Kind, DataCentre: dc, Accelerators: a.Job.Accelerators,
		State: structs.JobWaiting, Since: a.Job.SubmittedAt, SubmittedAt: a.Job.SubmittedAt, Result: result,
	}
	if result != nil {
		s.State = result.State
		s.Since = result.EndedAt
		s.Attempts = result.Attempts
		s.Reason = result.Message
		return s
	}
	s.Reason = "accepted; the scheduler of " + string(dc) + " does not respond"
	s.Remedy = "retry in a few seconds"
	return s
}
