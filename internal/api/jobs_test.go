package api_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// jobGateway is a gateway that keeps jobs in memory, by data centre, customer and id. Submit fails with fail when it is set.
type jobGateway struct {
	jobs map[string]structs.Job
	fail error
}

func (g *jobGateway) Submit(_ context.Context, job structs.Job) error {
	if g.fail == nil {
		g.jobs[strings.Join([]string{string(job.DataCentre), string(job.Customer), string(job.ID)}, "/")] = job
	}
	return g.fail
}

func (g *jobGateway) Cancel(ctx context.Context, dc structs.DataCentre, customer structs.Customer, id structs.JobID) error {
	_, err := g.Explain(ctx, dc, customer, id)
	return err
}

func (g *jobGateway) Explain(_ context.Context, dc structs.DataCentre, customer structs.Customer, id structs.JobID) (scheduler.JobStatus, error) {
	job, known := g.jobs[strings.Join([]string{string(dc), string(customer), string(id)}, "/")]
	if !known {
		return scheduler.JobStatus{}, errkind.New(errkind.NotFound, "check the id", "no such job")
	}
	return scheduler.JobStatus{ID: job.ID, DataCentre: dc, State: structs.JobWaiting}, nil
}

func (g *jobGateway) Wait(ctx context.Context, dc structs.DataCentre, customer structs.Customer, id structs.JobID, _ time.Duration) (scheduler.JobStatus, error) {
	return g.Explain(ctx, dc, customer, id)
}

func jobsText() *spec.Text {
	digest := func(token string) []string {
		sum := sha256.Sum256([]byte(token))
		return []string{hex.EncodeToString(sum[:])}
	}
	racks := spec.Racks{Count: 1, WorkersPerRack: 2, AcceleratorsPerWorker: 8}
	return &spec.Text{
		DataCentres: []spec.DataCentre{{Name: "fremantle", Racks: racks}, {Name: "mandurah", Racks: racks}},
		Customers: []spec.Customer{
			{Name: "clubs", TokenSHA256: digest("clubs-token"), Quota: spec.Quota{Accelerators: 8}},
			{Name: "others", TokenSHA256: digest("others-token")},
		},
		JobKinds: []spec.JobKind{{Name: "plan", Urgency: 7, MaxAccelerators: 32, Checkpoint: time.Second}},
	}
}

// Guards against accepting jobs that can never run, the outcome not_run for a job that may have been recorded, a customer
// that sees another's jobs, and failing to find a job outside its home data centre.
func TestJobCalls(t *testing.T) {
	gateway := &jobGateway{jobs: map[string]structs.Job{}}
	routes := mux.NewRouter()
	(&api.Jobs{Auth: &api.Authenticator{Text: jobsText}, Gateway: gateway}).Register(routes)
	call := func(method, path, token, body string) (int, http.Header, map[string]any) {
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+token)
		recorder := httptest.NewRecorder()
		routes.ServeHTTP(recorder, request)
		var answer map[string]any
		assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
		return recorder.Code, recorder.Header(), answer
	}
	refused := []struct {
		token, body string
		status      int
		message     string
	}{
		{"wrong", `{"id":"a","kind":"plan","accelerators":1}`, 401, "token"},
		{"clubs-token", `{"id":"a/b","kind":"plan","accelerators":1}`, 400, "id"},
		{"clubs-token", `{"id":"a","kind":"other","accelerators":1}`, 400, "no kind of job"},
		{"clubs-token", `{"id":"a","kind":"plan","accelerators":0}`, 400, "size"},
		{"clubs-token", `{"id":"a","kind":"plan","accelerators":1,"gpus":1}`, 400, "not a valid job"},
		{"clubs-token", `{"id":"a","kind":"plan","accelerators":1,"data_centre":"perth"}`, 400, "no data centre"},
		{"clubs-token", `{"id":"a","kind":"plan","accelerators":9}`, 422, "customers.clubs.quota.accelerators is 8"},
		{"others-token", `{"id":"a","kind":"plan","accelerators":33}`, 422, "job_kinds.plan.max_accelerators is 32"},
		{"others-token", `{"id":"a","kind":"plan","accelerators":17}`, 422, "accelerators of data centre"},
	}
	for _, c := range refused {
		status, header, answer := call(http.MethodPost, "/v1/jobs", c.token, c.body)
		assert.Equal(t, status, c.status, c.body)
		assert.Assert(t, strings.Contains(answer["message"].(string), c.message), answer["message"])
		assert.Equal(t, header.Get(structs.HeaderOutcome), string(structs.OutcomeNotRun))
	}
	assert.Equal(t, len(gateway.jobs), 0)
	gateway.fail = errkind.New(errkind.Unknown, "try again with the same id", "the log did not answer")
	_, header, _ := call(http.MethodPost, "/v1/jobs", "others-token", `{"id":"a","kind":"plan","accelerators":1}`)
	assert.Equal(t, header.Get(structs.HeaderOutcome), string(structs.OutcomeUnknown))
	gateway.fail = nil
	for _, dc := range []string{"fremantle", "mandurah"} { // one of them is not the job's home
		id := "in-" + dc
		status, _, _ := call(http.MethodPost, "/v1/jobs", "clubs-token", `{"id":"`+id+`","kind":"plan","accelerators":8,"data_centre":"`+dc+`"}`)
		assert.Equal(t, status, http.StatusAccepted)
		for _, path := range []string{"", "/explain", "/wait?timeout=1s"} {
			status, _, answer := call(http.MethodGet, "/v1/jobs/"+id+path, "clubs-token", "")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, answer["data_centre"], dc)
		}
		status, _, _ = call(http.MethodGet, "/v1/jobs/"+id, "others-token", "")
		assert.Equal(t, status, http.StatusNotFound)
		status, _, _ = call(http.MethodDelete, "/v1/jobs/"+id, "clubs-token", "")
		assert.Equal(t, status, http.StatusOK)
	}
	job := gateway.jobs["fremantle/clubs/in-fremantle"]
	assert.Equal(t, job.Urgency, 7)
	assert.Equal(t, job.Checkpoint, time.Second)
}
