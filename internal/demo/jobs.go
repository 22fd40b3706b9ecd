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
	gangPatience = 45 * time.Second
	waitCall     = 5 * time.Second // one long poll for a job's end
)

// gangResult is what a caller knows of one gang in the end.
type gangResult struct {
	customer structs.Customer
	id       structs.JobID
	accepted bool
	state    structs.JobState
	detail   string
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

// run submits one gang, repeating with the same id, and waits until its state is final.
func (c *gangClient) run(ctx context.Context, gang gangRequest, who caller) gangResult {
	ctx, cancel := context.WithTimeout(ctx, gangPatience)
	defer cancel()
	result := gangResult{customer: who.customer, id: gang.ID}
	body, err := json.Marshal(gang)
	if err != nil {
		result.detail = err.Error()
		return result
	}
	for ctx.Err() == nil && !result.accepted {
		status := c.call(ctx, http.MethodPost, "/v1/jobs", body, who, &result)
		result.accepted = status == http.StatusOK || status == http.StatusCreated || status == http.StatusAccepted
		if !result.accepted {
			pause(ctx, repeatPause)
		}
	}
	wait := fmt.Sprintf("/v1/jobs/%s/wait?timeout=%s&data_centre=%s", url.PathEscape(string(gang.ID)), waitCall, url.QueryEscape(string(gang.DataCentre)))
	for ctx.Err() == nil && !result.state.Final() {
		if c.call(ctx, http.MethodGet, wait, nil, who, &result) != http.StatusOK {
			pause(ctx, repeatPause)
		}
	}
	return result
}

// call makes one call, reads the job's state from its answer and returns the status, 0 without an answer.
func (c *gangClient) call(ctx context.Context, method, path string, body []byte, who caller, result *gangResult) int {
	e := c.balancer.pick()
	if e == nil {
		return 0
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.address+path, bytes.NewReader(body))
	if err != nil {
		result.detail = err.Error()
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+who.token)
	request.Header.Set(structs.HeaderCaller, who.name)
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
