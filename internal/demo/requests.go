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
	requestPatience = 30 * time.Second // a caller gives up after this time
	attemptTimeout  = 12 * time.Second // a caller repeats a call that takes longer
	repeatPause     = 100 * time.Millisecond
	keyBatch        = 64
	payloadPadding  = 2048 // bytes, at most, after a request's identifier
)

// kindOfRequest is one kind of request that the load uses.
type kindOfRequest struct {
	service    structs.ServiceName
	name       structs.KindName
	idempotent bool
}

// caller is one of a customer's clients.
type caller struct {
	customer structs.Customer
	name     string
	token    string
}

// requestResult is what a caller knows of one request in the end.
type requestResult struct {
	id         string
	idempotent bool
	outcome    structs.Outcome // empty when the caller never learnt one
	cutShort   bool            // an incomplete or wrong answer, or a connection cut by an instance that was not killed
	detail     string
}

// requestClient sends requests as callers do: through the balancer, repeating with the same key.
type requestClient struct {
	http     *http.Client
	balancer *balancer

	mu   sync.Mutex
	keys map[string][]string // unused keys by customer and service
}

// send sends one request until its outcome is known or the caller's patience ends.
func (c *requestClient) send(ctx context.Context, id string, kind kindOfRequest, who caller) requestResult {
	ctx, cancel := context.WithTimeout(ctx, requestPatience)
	defer cancel()
	result := requestResult{id: id, idempotent: kind.idempotent}
	payload := append([]byte(id+" "), bytes.Repeat([]byte{'x'}, rand.IntN(payloadPadding))...)
	key := ""
	for ctx.Err() == nil {
		if !kind.idempotent && key == "" {
			key = c.takeKey(ctx, kind.service, who)
			if key == "" {
				pause(ctx, repeatPause)
				continue
			}
		}
		if c.attempt(ctx, kind, who, key, payload, &result) {
			return result
		}
		pause(ctx, repeatPause)
	}
	return result
}

// attempt sends the request once and reports whether its outcome is final.
func (c *requestClient) attempt(ctx context.Context, kind kindOfRequest, who caller, key string, payload []byte, result *requestResult) bool {
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
	request.GetBody = nil // the transport must not repeat a request by itself
	request.Header.Set("Authorization", "Bearer "+who.token)
	request.Header.Set(structs.HeaderCaller, who.name)
	if key != "" {
		request.Header.Set(structs.HeaderIdempotencyKey, key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		noteBrokenCall(e, err, result)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		noteBrokenCall(e, err, result)
		return false
	}
	return judge(response, body, payload, result)
}

// noteBrokenCall records a connection that broke after it was made. Only a killed instance may cut one.
func noteBrokenCall(e *entry, err error, result *requestResult) {
	result.detail = err.Error()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return
	}
	if !e.killed.Load() && !errors.Is(err, context.DeadlineExceeded) {
		result.cutShort = true
		result.detail = e.id + " cut a call: " + err.Error()
	}
}

// judge reads an answer and reports whether it is final.
func judge(response *http.Response, body, payload []byte, result *requestResult) bool {
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

// stillRunning reports whether an answer says that the first use of the key is still running.
func stillRunning(body []byte) bool {
	var answer struct {
		Kind string `json:"kind"`
	}
	return json.Unmarshal(body, &answer) == nil && answer.Kind == "in_progress"
}

// takeKey returns an unused request key, "" when none can be had now.
func (c *requestClient) takeKey(ctx context.Context, service structs.ServiceName, who caller) string {
	group := string(who.customer) + "/" + string(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.keys[group]) == 0 {
		c.keys[group] = c.fetchKeys(ctx, service, who)
	}
	keys := c.keys[group]
	if len(keys) == 0 {
		return ""
	}
	c.keys[group] = keys[1:]
	return keys[0]
}

func (c *requestClient) fetchKeys(ctx context.Context, service structs.ServiceName, who caller) []string {
	e := c.balancer.pick()
	if e == nil {
		return nil
	}
	path := "http://" + e.address + "/v1/keys?service=" + url.QueryEscape(string(service)) + "&count=" + strconv.Itoa(keyBatch)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, path, nil)
	if err != nil {
		return nil
	}
	request.Header.Set("Authorization", "Bearer "+who.token)
	request.Header.Set(structs.HeaderCaller, who.name)
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

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
