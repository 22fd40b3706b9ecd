package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const (
	gangTimeout = 45 * time.Second // time within which a submitted gang must end
	longPoll    = 5 * time.Second  // server-side wait of one long poll for a job's end
)

// gangResult is what a caller finally knows about one gang.
type gangResult struct {
	customer structs.Customer
	id       structs.JobID
	accepted bool
	state    structs.JobState
	detail   string // latest answer or error, for reports
}

// gangRequest is the body of POST /v1/jobs.
type gangRequest struct {
	ID           structs.JobID      `json:"id"`
	Kind         structs.KindName   `json:"kind"`
	DataCentre   structs.DataCentre `json:"data_centre"`
	Accelerators int                `json:"accelerators"`
	RunTimeMS    int64              `json:"run_time_ms"`
}

// gangClient submits gangs and waits for their end.
type gangClient struct {
	http     *http.Client
	balancer *balancer
}

// run submits one gang, retrying with the same id, and waits until its state is final.
func (c *gangClient) run(ctx context.Context, gang gangRequest, sender caller) gangResult {
	ctx, cancel := context.WithTimeout(ctx, gangTimeout)
	defer cancel()
	result := gangResult{customer: sender.customer, id: gang.ID}
	body, err := json.Marshal(gang)
	if err != nil {
		result.detail = err.Error()
		return result
	}
	for ctx.Err() == nil && !result.accepted {
		status := c.call(ctx, http.MethodPost, "/v1/jobs", body, sender, &result)
		result.accepted = status == http.StatusOK || status == http.StatusCreated || status == http.StatusAccepted
		if !result.accepted {
			pause(ctx, retryInterval)
		}
	}
	wait := fmt.Sprintf("/v1/jobs/%s/wait?timeout=%s&data_centre=%s", url.PathEscape(string(gang.ID)), longPoll, url.QueryEscape(string(gang.DataCentre)))
	for ctx.Err() == nil && !result.state.Final() {
		if c.call(ctx, http.MethodGet, wait, nil, sender, &result) != http.StatusOK {
			pause(ctx, retryInterval)
		}
	}
	return result
}

// call makes one call and stores the job's state in result. It returns the HTTP status, or 0 if the call failed.
func (c *gangClient) call(ctx context.Context, method, path string, body []byte, sender caller, result *gangResult) int {
	e := c.balancer.pick()
	if e == nil {
		return 0
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.address+path, bytes.NewReader(body))
	if err != nil {
		result.detail = err.Error()
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+sender.token)
	request.Header.Set(structs.HeaderCaller, sender.name)
	response, err := c.http.Do(request)
	if err != nil {
		result.detail = err.Error()
		return 0
	}
	defer response.Body.Close()
	var answer struct {
		State   structs.JobState `json:"state"`
		Message string           `json:"message"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		result.detail = fmt.Sprintf("status %d: %v", response.StatusCode, err)
		return 0
	}
	if response.StatusCode < http.StatusBadRequest {
		result.state = answer.State
	}
	result.detail = fmt.Sprintf("%s status %d state %s: %s", e.id, response.StatusCode, answer.State, answer.Message)
	return response.StatusCode
}
