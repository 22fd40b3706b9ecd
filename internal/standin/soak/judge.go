package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// judge waits until all accepted jobs have ended and compares what callers were told with what is.
func (r *run) judge(ctx context.Context) (Verdict, error) {
	var v Verdict
	deadline := time.Now().Add(r.o.Settle)
	for id, j := range r.jobs {
		state, exists, err := r.final(ctx, id, j, deadline)
		if err != nil {
			return v, err
		}
		switch {
		case j.accepted:
			v.Accepted++
			if !exists || !ended(state, j.cancels) {
				v.Lost = append(v.Lost, id+" is "+state)
			}
		case j.open:
			v.Open++
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.workers+"/report/workers", nil)
	if err != nil {
		return v, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	return v, json.NewDecoder(resp.Body).Decode(&v.Workers)
}

// ended reports whether a job has the end that its caller may expect. A cancellation without an answer may have been taken.
func ended(state string, cancels bool) bool {
	return state == "completed" || cancels && state == "cancelled"
}

// final asks for a job's state until it has ended or the deadline passes. A job that was never accepted is asked for once.
func (r *run) final(ctx context.Context, id string, j *handedIn, deadline time.Time) (state string, exists bool, err error) {
	answered := false
	for i := 0; ; i++ {
		status, told, callErr := r.call(ctx, r.nodes[i%len(r.nodes)], http.MethodGet, id, nil)
		if callErr == nil && (status == http.StatusOK || status == http.StatusGone) {
			answered, state, exists = true, told, status == http.StatusOK
			if !j.accepted || exists && ended(state, j.cancels) {
				return state, exists, nil
			}
		}
		if time.Now().After(deadline) {
			if !answered {
				return "", false, fmt.Errorf("no instance told the state of job %s", id)
			}
			return state, exists, nil
		}
		time.Sleep(pollPause)
	}
}
