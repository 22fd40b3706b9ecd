package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const (
	requestTimeout = 30 * time.Second // a caller gives up a request after this time, over all attempts
	attemptTimeout = 12 * time.Second // a caller retries a call that takes longer
	retryInterval  = 100 * time.Millisecond
	keyBatch       = 64   // request keys fetched by one call
	maxPadding     = 2048 // bytes after the request's identifier in the payload
)

// requestKind is a kind of request that the load uses.
type requestKind struct {
	service    structs.ServiceName
	name       structs.KindName
	idempotent bool
}

// caller is a caller of a customer.
type caller struct {
	customer structs.Customer
	name     string
	token    string // bearer token of the customer
}

// requestResult is what a caller finally knows about one request.
type requestResult struct {
	id         string
	idempotent bool
	outcome    structs.Outcome // empty if the caller received none
	cutShort   bool            // an answer was incomplete or wrong, or an instance that was not killed closed a connection
	detail     string          // latest answer or error, for reports
}

// requestClient sends requests as callers do: through the load balancer, retrying with the same idempotency key.
type requestClient struct {
	http     *http.Client
	balancer *balancer

	mu   sync.Mutex
	keys map[string][]string // unused request keys by customer and service
}

// send sends one request, retrying until its outcome is final or requestTimeout has passed.
func (c *requestClient) send(ctx context.Context, id string, kind requestKind, sender caller) requestResult {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result := requestResult{id: id, idempotent: kind.idempotent}
	payload := append([]byte(id+" "), bytes.Repeat([]byte{'x'}, rand.IntN(maxPadding))...)
	key := ""
	for ctx.Err() == nil {
		if !kind.idempotent && key == "" {
			key = c.takeKey(ctx, kind.service, sender)
			if key == "" {
				pause(ctx, retryInterval)
				continue
			}
		}
		if c.attempt(ctx, kind, sender, key, payload, &result) {
			return result
		}
		pause(ctx, retryInterval)
	}
	return result
}

// attempt sends the request once and reports whether its outcome is final.
func (c *requestClient) attempt(ctx context.Context, kind requestKind, sender caller, key string, payload []byte, result *requestResult) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	e := c.balancer.pick()
	if e == nil {
		return false
	}
	path := fmt.Sprintf("http://%s/v1/services/%s/requests/%s", e.address, url.PathEscape(string(kind.service)), url.PathEscape(string(kind.name)))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(payload))
	if err != nil {
		result.detail = err.Error()
		return true
	}
	request.GetBody = nil // prevents the transport from retrying by itself
	request.Header.Set("Authorization", "Bearer "+sender.token)
	request.Header.Set(structs.HeaderCaller, sender.name)
	if key != "" {
		request.Header.Set(structs.HeaderIdempotencyKey, key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		recordFailedCall(e, err, result)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		recordFailedCall(e, err, result)
		return false
	}
	return readAnswer(response, body, payload, result)
}

// recordFailedCall records the error of a call. A connection that broke after it was established sets cutShort, unless the
// instance was killed or the call timed out.
func recordFailedCall(e *entry, err error, result *requestResult) {
	result.detail = err.Error()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return
	}
	if !e.killed.Load() && !errors.Is(err, context.DeadlineExceeded) {
		result.cutShort = true
		result.detail = e.id + " closed the connection during a call: " + err.Error()
	}
}

// readAnswer stores the outcome of an answer in result and reports whether it is final.
func readAnswer(response *http.Response, body, payload []byte, result *requestResult) bool {
	outcome := structs.Outcome(response.Header.Get(structs.HeaderOutcome))
	result.detail = fmt.Sprintf("status %d outcome %s: %.200s", response.StatusCode, outcome, body)
	switch outcome {
	case structs.OutcomeAnswered:
		result.outcome = outcome
		if !bytes.Equal(body, payload) {
			result.cutShort = true
		}
		return true
	case structs.OutcomeNotRun:
		result.outcome = outcome
		return response.Header.Get("Retry-After") == ""
	case structs.OutcomeUnknown:
		result.outcome = outcome
		return !result.idempotent && !stillRunning(body)
	default:
		return false
	}
}

// stillRunning reports whether an answer says that an earlier request with the same key is still running.
func stillRunning(body []byte) bool {
	var answer struct {
		Kind string `json:"kind"`
	}
	return json.Unmarshal(body, &answer) == nil && answer.Kind == "in_progress"
}

// takeKey returns an unused request key, or "" if none can be fetched now.
func (c *requestClient) takeKey(ctx context.Context, service structs.ServiceName, sender caller) string {
	group := string(sender.customer) + "/" + string(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.keys[group]) == 0 {
		c.keys[group] = c.fetchKeys(ctx, service, sender)
	}
	keys := c.keys[group]
	if len(keys) == 0 {
		return ""
	}
	c.keys[group] = keys[1:]
	return keys[0]
}

// fetchKeys fetches a batch of request keys. It returns none if the call failed.
func (c *requestClient) fetchKeys(ctx context.Context, service structs.ServiceName, sender caller) []string {
	e := c.balancer.pick()
	if e == nil {
		return nil
	}
	path := "http://" + e.address + "/v1/keys?service=" + url.QueryEscape(string(service)) + "&count=" + strconv.Itoa(keyBatch)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, path, nil)
	if err != nil {
		return nil
	}
	request.Header.Set("Authorization", "Bearer "+sender.token)
	request.Header.Set(structs.HeaderCaller, sender.name)
	response, err := c.http.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer struct {
		Keys []string `json:"keys"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Keys
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
