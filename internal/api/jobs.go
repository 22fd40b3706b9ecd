package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Limits of job calls.
const (
	maxJobBodyBytes = 64 << 10
	jobCallTimeout  = 5 * time.Second        // for calls that do not wait for the job's end
	maxJobWait      = 60 * time.Second       // for one call that waits for the job's end
	jobPollInterval = 200 * time.Millisecond // between reads of the job's state while a call waits
	jobRetryAfter   = 2 * time.Second        // delay that a failed call suggests before a retry
	// maxRunTimeMS is the longest run time that fits in a time.Duration; a longer one would overflow.
	maxRunTimeMS = int64(math.MaxInt64 / time.Millisecond)
)

// JobGateway is the part of scheduler.Gateway that the handlers use.
type JobGateway interface {
	Submit(ctx context.Context, job structs.Job) error
	Cancel(ctx context.Context, dc structs.DataCentre, customer structs.Customer, id structs.JobID) error
	Explain(ctx context.Context, dc structs.DataCentre, customer structs.Customer, id structs.JobID) (scheduler.JobStatus, error)
	Wait(ctx context.Context, dc structs.DataCentre, customer structs.Customer, id structs.JobID, poll time.Duration) (scheduler.JobStatus, error)
}

// SubmitRequest is the body of POST /v1/jobs. A retry of a submission that names a data centre must name the same one.
type SubmitRequest struct {
	ID           structs.JobID      `json:"id"`
	Kind         structs.KindName   `json:"kind"`
	Accelerators int                `json:"accelerators"`
	RunTimeMS    int64              `json:"run_time_ms"`
	DataCentre   structs.DataCentre `json:"data_centre,omitempty"`
}

// Jobs holds the handlers of job calls.
type Jobs struct {
	Auth    *Authenticator
	Gateway JobGateway
}

// Register adds the handlers to a router.
func (h *Jobs) Register(router *mux.Router) {
	router.HandleFunc("/v1/jobs", h.submit).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs/{id}", h.show).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", h.cancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/jobs/{id}/wait", h.wait).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}/explain", h.show).Methods(http.MethodGet)
}

// submit accepts a job. Its error answer has the outcome not_run when the job was refused, and unknown when the job's
// record may be in the log.
func (h *Jobs) submit(w http.ResponseWriter, r *http.Request) {
	customer, err := h.Auth.Customer(r)
	if err != nil {
		WriteError(w, err, structs.OutcomeNotRun, 0)
		return
	}
	job, err := h.decodeJob(r, customer)
	if err != nil {
		WriteError(w, err, structs.OutcomeNotRun, 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), jobCallTimeout)
	defer cancel()
	if err := h.Gateway.Submit(ctx, job); err != nil {
		WriteError(w, err, submitOutcome(err), jobRetryAfter)
		return
	}
	WriteJSON(w, http.StatusAccepted, scheduler.JobStatus{
		ID: job.ID, Customer: job.Customer, Kind: job.Kind, DataCentre: job.DataCentre, Accelerators: job.Accelerators,
		State: structs.JobWaiting, SubmittedAt: job.SubmittedAt, Since: job.SubmittedAt,
	})
}

// submitOutcome returns not_run for the kinds of errors that occur only before the job's record is appended to the log.
func submitOutcome(err error) structs.Outcome {
	kind := errkind.As(err).Kind
	switch kind {
	case errkind.Invalid, errkind.Conflict, errkind.CannotRun, errkind.Overloaded, errkind.Unavailable, errkind.TooLarge:
		return structs.OutcomeNotRun
	default:
		return structs.OutcomeUnknown
	}
}

// decodeJob reads a job from the body of a submission.
func (h *Jobs) decodeJob(r *http.Request, customer *spec.Customer) (structs.Job, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxJobBodyBytes+1))
	if err != nil {
		return structs.Job{}, errkind.Wrap(err, errkind.Invalid, "send the body again", "cannot read the body")
	}
	if len(data) > maxJobBodyBytes {
		return structs.Job{}, errkind.New(errkind.TooLarge, "send less", "the body has more than %d bytes", maxJobBodyBytes)
	}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	var request SubmitRequest
	if err := decoder.Decode(&request); err != nil {
		return structs.Job{}, errkind.Wrap(err, errkind.Invalid, "see the documentation of POST /v1/jobs", "the body is not a valid job")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return structs.Job{}, errkind.New(errkind.Invalid, "send one job per call", "the body has more data after the job")
	}
	if request.RunTimeMS < 0 || request.RunTimeMS > maxRunTimeMS {
		return structs.Job{}, errkind.New(errkind.Invalid, "declare a run time in this range", "run_time_ms is not between 0 and %d", maxRunTimeMS)
	}
	return h.buildJob(request, structs.Caller(r.Header.Get(structs.HeaderCaller)), customer)
}

// buildJob fills in the values that the specification declares for the kind of job, and refuses a job that can never run.
func (h *Jobs) buildJob(request SubmitRequest, caller structs.Caller, customer *spec.Customer) (structs.Job, error) {
	text := h.Auth.Text()
	job := structs.Job{
		ID: request.ID, Customer: customer.Name, Caller: caller, Kind: request.Kind, DataCentre: request.DataCentre,
		Accelerators: request.Accelerators, RunTime: time.Duration(request.RunTimeMS) * time.Millisecond,
		SubmittedAt: time.Now().UTC(),
	}
	if err := checkJobID(job.ID); err != nil {
		return job, err
	}
	if len(caller) > structs.MaxIdentifierBytes {
		return job, errkind.New(errkind.Invalid, "shorten it", "%s is longer than %d bytes", structs.HeaderCaller, structs.MaxIdentifierBytes)
	}
	kind := findKind(text, request.Kind)
	if kind == nil {
		return job, errkind.New(errkind.Invalid, "use a kind of job_kinds", "there is no kind of job %q", request.Kind)
	}
	job.Urgency = kind.Urgency
	job.Checkpoint = kind.Checkpoint
	job.MaxRunTime = kind.MaxRunTime
	if job.DataCentre == "" {
		job.DataCentre = scheduler.Home(text, customer.Name, job.ID)
	}
	return job, checkRunnable(text, job, kind, customer)
}

// checkJobID allows only characters that need no escaping in a URL path, and no slash, because the scheduler joins
// customer and id with one.
func checkJobID(id structs.JobID) error {
	forbidden := func(c rune) bool {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		return !letter && (c < '0' || c > '9') && !strings.ContainsRune("-_.:", c)
	}
	if id == "" || len(id) > structs.MaxIdentifierBytes || strings.ContainsFunc(string(id), forbidden) {
		return errkind.New(errkind.Invalid, fmt.Sprintf("use 1 to %d letters, digits, -, _, . or :", structs.MaxIdentifierBytes),
			"the job id is not valid")
	}
	return nil
}

func findKind(text *spec.Text, name structs.KindName) *spec.JobKind {
	for i := range text.JobKinds {
		if text.JobKinds[i].Name == name {
			return &text.JobKinds[i]
		}
	}
	return nil
}

// checkRunnable refuses a job that could not run even if its data centre were empty.
func checkRunnable(text *spec.Text, job structs.Job, kind *spec.JobKind, customer *spec.Customer) error {
	var racks *spec.Racks
	for i := range text.DataCentres {
		if text.DataCentres[i].Name == job.DataCentre {
			racks = &text.DataCentres[i].Racks
		}
	}
	if racks == nil {
		return errkind.New(errkind.Invalid, "use a data centre of data_centres", "there is no data centre %q", job.DataCentre)
	}
	capacity := racks.Count * racks.WorkersPerRack * racks.AcceleratorsPerWorker
	bounds := []struct {
		name  string
		value int
	}{
		{fmt.Sprintf("job_kinds.%s.max_accelerators", kind.Name), kind.MaxAccelerators},
		{fmt.Sprintf("customers.%s.quota.accelerators", customer.Name), customer.Quota.Accelerators},
		{fmt.Sprintf("the number of accelerators of data centre %s", job.DataCentre), capacity},
	}
	if job.Accelerators < 1 {
		return errkind.New(errkind.Invalid, "ask for at least 1 accelerator", "the job's size is not positive")
	}
	for _, bound := range bounds {
		if bound.value > 0 && job.Accelerators > bound.value {
			return errkind.New(errkind.CannotRun, "ask for fewer accelerators",
				"the job can never run: it needs %d accelerators and %s is %d", job.Accelerators, bound.name, bound.value)
		}
	}
	if kind.MaxRunTime > 0 && job.RunTime > kind.MaxRunTime {
		return errkind.New(errkind.CannotRun, "declare a shorter run time", "the declared run time exceeds job_kinds.%s.max_run_time", kind.Name)
	}
	return nil
}

// tryDataCentres calls f for each data centre that may have the job until one call succeeds. The candidates are the data
// centre named in the query, or else all of them, starting with scheduler.Home. When no call succeeds, it returns the
// first error that is not NotFound, if there is one.
func (h *Jobs) tryDataCentres(r *http.Request, f func(dc structs.DataCentre, customer structs.Customer, id structs.JobID) error) error {
	customer, err := h.Auth.Customer(r)
	if err != nil {
		return err
	}
	id := structs.JobID(mux.Vars(r)["id"])
	if err := checkJobID(id); err != nil {
		return err
	}
	candidates := candidateDataCentres(h.Auth.Text(), r.URL.Query().Get("data_centre"), customer.Name, id)
	var firstErr error
	for _, dc := range candidates {
		err := f(dc, customer.Name, id)
		if err == nil {
			return nil
		}
		if firstErr == nil || errkind.Is(firstErr, errkind.NotFound) {
			firstErr = err
		}
	}
	return firstErr
}

// candidateDataCentres returns the named data centre, or all of them, starting with scheduler.Home: the data centre
// of a job that names none.
func candidateDataCentres(text *spec.Text, named string, customer structs.Customer, id structs.JobID) []structs.DataCentre {
	if named != "" {
		return []structs.DataCentre{structs.DataCentre(named)}
	}
	home := scheduler.Home(text, customer, id)
	all := []structs.DataCentre{home}
	for _, dc := range text.DataCentres {
		if dc.Name != home {
			all = append(all, dc.Name)
		}
	}
	return all
}

func (h *Jobs) show(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), jobCallTimeout)
	defer cancel()
	var status scheduler.JobStatus
	err := h.tryDataCentres(r, func(dc structs.DataCentre, customer structs.Customer, id structs.JobID) error {
		var err error
		status, err = h.Gateway.Explain(ctx, dc, customer, id)
		return err
	})
	writeJobStatus(w, status, err)
}

func (h *Jobs) wait(w http.ResponseWriter, r *http.Request) {
	timeout := maxJobWait
	if asked, err := time.ParseDuration(r.URL.Query().Get("timeout")); err == nil && asked > 0 {
		timeout = min(asked, maxJobWait)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	var status scheduler.JobStatus
	err := h.tryDataCentres(r, func(dc structs.DataCentre, customer structs.Customer, id structs.JobID) error {
		var err error
		status, err = h.Gateway.Wait(ctx, dc, customer, id, jobPollInterval)
		return err
	})
	writeJobStatus(w, status, err)
}

func (h *Jobs) cancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), jobCallTimeout)
	defer cancel()
	var status scheduler.JobStatus
	err := h.tryDataCentres(r, func(dc structs.DataCentre, customer structs.Customer, id structs.JobID) error {
		if err := h.Gateway.Cancel(ctx, dc, customer, id); err != nil {
			return err
		}
		var err error
		status, err = h.Gateway.Explain(ctx, dc, customer, id)
		return err
	})
	writeJobStatus(w, status, err)
}

func writeJobStatus(w http.ResponseWriter, status scheduler.JobStatus, err error) {
	if err != nil {
		WriteError(w, err, "", jobRetryAfter)
		return
	}
	WriteJSON(w, http.StatusOK, status)
}
