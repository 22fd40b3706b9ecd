package api_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/router"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// ownerRouter is a key issuer and router whose keys and answers name the customer that they belong to. Like the real router
// it refuses undeclared services and kinds, and keys of other customers.
type ownerRouter struct{}

func (ownerRouter) Issue(customer structs.Customer, _ structs.ServiceName, count int) ([]string, time.Time, error) {
	keys := make([]string, count)
	for i := range keys {
		keys[i] = fmt.Sprintf("owner=%s/%d", customer, i)
	}
	return keys, time.Unix(0, 0), nil
}

func (ownerRouter) Do(_ context.Context, request router.Request) router.Response {
	if request.Service != "raft-booking" || request.Kind != "book" {
		return router.Response{Outcome: structs.OutcomeNotRun, Err: errkind.New(errkind.NotFound, "use a declared kind", "no kind %q", request.Kind)}
	}
	if request.Key != "" && !strings.HasPrefix(request.Key, "owner="+string(request.Customer)+"/") {
		return router.Response{Outcome: structs.OutcomeNotRun, Err: errkind.New(errkind.Forbidden, "use an own key", "key of another customer")}
	}
	answer := &minion.Answer{Status: http.StatusOK, Body: []byte("owner=" + string(request.Customer) + "/")}
	return router.Response{Outcome: structs.OutcomeAnswered, Answer: answer}
}

// fuzzRoutes returns routes for all callers' calls. Both customers have a job with the same id.
func fuzzRoutes() (http.Handler, *jobGateway) {
	text := jobsText()
	text.Services = []spec.Service{{Name: "raft-booking", Minions: &spec.Minions{}, Kinds: []spec.RequestKind{{Name: "book"}}}}
	text.Limits.RequestBodyBytes = 256
	jobs := map[string]structs.Job{}
	for _, customer := range []structs.Customer{"clubs", "others"} {
		for _, dc := range text.DataCentres {
			jobs[strings.Join([]string{string(dc.Name), string(customer), "same"}, "/")] = structs.Job{ID: structs.JobID("owner=" + customer + "/")}
		}
	}
	auth := &api.Authenticator{Text: func() *spec.Text { return text }}
	routes := mux.NewRouter()
	gateway := &jobGateway{jobs: jobs}
	(&api.Requests{Auth: auth, Router: ownerRouter{}, Keys: ownerRouter{}}).Register(routes)
	(&api.Jobs{Auth: auth, Gateway: gateway}).Register(routes)
	api.RejectUnknownRoutes(routes)
	return routes, gateway
}

// FuzzCalls guards against headers, paths or bodies with which a request, key or job call panics or answers 500, returns an
// error without kind, message or remedy, returns another customer's data, or accepts a job that differs from its body.
// Paths that net/http itself rejects are skipped.
func FuzzCalls(f *testing.F) {
	f.Add(http.MethodPost, "/v1/services/raft-booking/requests/book", "Bearer clubs-token", "owner=others/1", "c", "100", "{}")
	f.Fuzz(func(t *testing.T, method, target, authorization, key, caller, timeout, body string) {
		address, err := url.ParseRequestURI(target)
		if err != nil {
			return
		}
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		request.Method, request.URL, request.RequestURI = method, address, target
		request.Header.Set("Authorization", authorization)
		request.Header.Set(structs.HeaderIdempotencyKey, key)
		request.Header.Set(structs.HeaderCaller, caller)
		request.Header.Set(structs.HeaderTimeoutMS, timeout)
		routes, gateway := fuzzRoutes()
		recorder := httptest.NewRecorder()
		routes.ServeHTTP(recorder, request)
		checkAnswer(t, recorder, authorization)
		if recorder.Code == http.StatusAccepted {
			checkAcceptedJob(t, gateway, body)
		}
	})
}

func checkAnswer(t *testing.T, recorder *httptest.ResponseRecorder, authorization string) {
	if recorder.Code == http.StatusMovedPermanently {
		return // mux redirects to the cleaned path
	}
	if recorder.Code >= 500 {
		t.Fatalf("status %d: %s", recorder.Code, recorder.Body)
	}
	if recorder.Code >= 400 {
		var refusal api.ErrorBody
		if err := json.Unmarshal(recorder.Body.Bytes(), &refusal); err != nil || refusal.Kind == "" || refusal.Message == "" || refusal.Remedy == "" {
			t.Fatalf("error answer with status %d lacks a field: %s", recorder.Code, recorder.Body)
		}
		return
	}
	owner, known := map[string]string{"Bearer clubs-token": "clubs", "Bearer others-token": "others"}[authorization]
	if !known {
		t.Fatalf("answered %d without a customer's token: %s", recorder.Code, recorder.Body)
	}
	for _, other := range []string{"clubs", "others"} {
		if other != owner && strings.Contains(recorder.Body.String(), "owner="+other+"/") {
			t.Fatalf("%s got an answer of %s: %s", owner, other, recorder.Body)
		}
	}
}

// checkAcceptedJob compares the job that reached the gateway with the accepted body.
func checkAcceptedJob(t *testing.T, gateway *jobGateway, body string) {
	var sent api.SubmitRequest
	if err := json.Unmarshal([]byte(body), &sent); err != nil {
		t.Fatalf("accepted a body that is not one JSON value: %v", err)
	}
	for _, job := range gateway.jobs {
		if job.ID == sent.ID && job.RunTime.Milliseconds() != sent.RunTimeMS {
			t.Fatalf("accepted a run time of %d ms as %s", sent.RunTimeMS, job.RunTime)
		}
	}
}
