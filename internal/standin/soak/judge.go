package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/taskworker"
)

// judge waits until all accepted jobs have ended and compares the answers that callers received with the actual states.
func (r *run) judge(ctx context.Context) (Verdict, error) {
	var v Verdict
	deadline := time.Now().Add(r.options.SettleTimeout)
	for id, j := range r.jobs {
		state, exists, err := r.finalState(ctx, id, j, deadline)
		if err != nil {
			return v, err
		}
		switch {
		case j.accepted:
			v.Accepted++
			if !exists || !ended(state, j.cancelSent) {
				v.Lost = append(v.Lost, id+" is "+state)
			}
		case j.unknown:
			v.Unknown++
		default:
			v.Refused++
			if exists {
				v.FalseRefusals = append(v.FalseRefusals, id)
			}
		}
		switch state {
		case "completed":
			v.Completed++
		case "cancelled":
			v.Cancelled++
		}
	}
	for i := range r.nodes {
		if err := r.awaitAnotherJob(ctx, i); err != nil {
			v.Stuck = append(v.Stuck, err.Error())
		}
	}
	if err := r.readReport(ctx, &v.Workers); err != nil {
		return v, err
	}
	for id, j := range r.jobs {
		if last := time.UnixMilli(v.Workers.LastStarts[id]); !j.cancelled.IsZero() && last.After(j.cancelled.Add(startsAfterCancel)) {
			v.Unasked = append(v.Unasked, fmt.Sprintf("%s started %v after its cancellation was answered", id, last.Sub(j.cancelled)))
		}
	}
	return v, nil
}

// awaitAnotherJob waits until an instance accepts one more job and the job has ended.
func (r *run) awaitAnotherJob(ctx context.Context, i int) error {
	n, id, deadline := r.nodes[i], fmt.Sprintf("%s%02x", lastJobs, i), time.Now().Add(r.options.SettleTimeout)
	for !r.submit(ctx, id, n, 1, 10) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s accepts no job", n.name)
		}
		time.Sleep(pollInterval)
	}
	if state, _, err := r.finalState(ctx, id, r.jobs[id], deadline); err != nil || state != "completed" {
		return fmt.Errorf("job %s of %s is %s: %w", id, n.name, state, err)
	}
	return nil
}

// readReport reads what the workers have counted.
func (r *run) readReport(ctx context.Context, into *taskworker.Report) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.workersAddress+"/report/workers", nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// ended reports whether a job is in a final state that its caller may expect. A cancellation whose answer was lost may have
// taken effect.
func ended(state string, cancelSent bool) bool {
	return state == "completed" || cancelSent && state == "cancelled"
}

// finalState polls a job's state until the job has ended or the deadline passes. For a job that was never accepted, the first
// answer is enough.
func (r *run) finalState(ctx context.Context, id string, j *submittedJob, deadline time.Time) (state string, exists bool, err error) {
	answered := false
	for i := 0; ; i++ {
		status, reported, callErr := r.call(ctx, r.nodes[i%len(r.nodes)], http.MethodGet, id, nil)
		if callErr != nil && (i+1)%len(r.nodes) != 0 && (i < len(r.nodes) || time.Now().Before(deadline)) {
			continue // another instance may answer; each is asked once at least
		}
		if callErr == nil && (status == http.StatusOK || status == http.StatusGone) {
			answered, state, exists = true, reported, status == http.StatusOK
			if !j.accepted || exists && ended(state, j.cancelSent) {
				return state, exists, nil
			}
		}
		if time.Now().After(deadline) {
			if !answered {
				return "", false, fmt.Errorf("no instance reported the state of job %s", id)
			}
			return state, exists, nil
		}
		time.Sleep(pollInterval)
	}
}
