package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/router"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// fakeRouter answers with the response set, or else echoes the request's body.
type fakeRouter struct {
	received router.Request
	response *router.Response
}

func (f *fakeRouter) Do(_ context.Context, request router.Request) router.Response {
	f.received = request
	if f.response != nil {
		return *f.response
	}
	return router.Response{Outcome: structs.OutcomeAnswered, Answer: &minion.Answer{Status: http.StatusTeapot, Body: request.Body}}
}

func (f *fakeRouter) Issue(_ structs.Customer, _ structs.ServiceName, count int) ([]string, time.Time, error) {
	return make([]string, count), time.Unix(0, 0), nil
}

// TestRequestOutcomes guards against answers that lack the outcome, the length, or the kind of error.
func TestRequestOutcomes(t *testing.T) {
	text := &spec.Text{
		Customers: []spec.Customer{{Name: "jetty", TokenSHA256: []string{"e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8"}}},
		Services:  []spec.Service{{Name: "raft-booking", Minions: &spec.Minions{}}},
		Limits:    spec.Limits{RequestBodyBytes: 10},
	}
	const requests, keys = "/v1/services/raft-booking/requests/book", "/v1/keys?service=raft-booking&count="
	lost := &router.Response{Outcome: structs.OutcomeUnknown, Err: errkind.New(errkind.Unknown, "look", "lost")}
	full := &router.Response{Outcome: structs.OutcomeNotRun, Err: errkind.New(errkind.Overloaded, "later", "full"), RetryAfter: 1500 * time.Millisecond}
	cases := map[string]struct {
		path, token, body, timeout, key string
		response                        *router.Response
		status                          int
		outcome, kind, retryAfter       string
	}{
		"answered":            {path: requests, token: "t", body: "two", status: 418, outcome: "answered"},
		"no token":            {path: requests, body: "two", status: 401, outcome: "not_run", kind: "unauthorised"},
		"large body":          {path: requests, token: "t", body: "more than ten", status: 413, outcome: "not_run", kind: "too_large"},
		"bad timeout":         {path: requests, token: "t", timeout: "0", status: 400, outcome: "not_run", kind: "invalid"},
		"retry without token": {path: requests, body: "two", key: "k", status: 401, outcome: "unknown", kind: "unauthorised"},
		"retry, large body":   {path: requests, token: "t", key: "k", body: "more than ten", status: 413, outcome: "unknown", kind: "too_large"},
		"unknown":             {path: requests, token: "t", response: lost, status: 502, outcome: "unknown", kind: "unknown_outcome"},
		"overloaded":          {path: requests, token: "t", response: full, status: 429, outcome: "not_run", kind: "overloaded", retryAfter: "2"},
		"keys":                {path: keys + "256", token: "t", status: 200},
		"too many keys":       {path: keys + "257", token: "t", status: 400, kind: "invalid"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			fake := &fakeRouter{response: c.response}
			routes := mux.NewRouter()
			(&Requests{Auth: &Authenticator{Text: func() *spec.Text { return text }}, Router: fake, Keys: fake}).Register(routes)
			request := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
			if c.token != "" {
				request.Header.Set("Authorization", "Bearer "+c.token)
			}
			request.Header.Set(structs.HeaderTimeoutMS, c.timeout)
			request.Header.Set(structs.HeaderIdempotencyKey, c.key)
			recorder := httptest.NewRecorder()
			routes.ServeHTTP(recorder, request)
			assert.Equal(t, recorder.Code, c.status)
			assert.Equal(t, recorder.Header().Get(structs.HeaderOutcome), c.outcome)
			assert.Equal(t, recorder.Header().Get("Retry-After"), c.retryAfter)
			assert.Assert(t, recorder.Header().Get("Content-Length") != "")
			var body ErrorBody
			_ = json.Unmarshal(recorder.Body.Bytes(), &body)
			assert.Equal(t, body.Kind, c.kind)
			if c.outcome == "answered" {
				assert.Equal(t, recorder.Body.String(), c.body)
				assert.Equal(t, fake.received.ID, recorder.Header().Get(structs.HeaderRequestID))
			}
		})
	}
}
