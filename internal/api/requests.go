package api

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/router"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of the callers' connections.
const (
	maxKeys       = 256              // in one call
	bodyReadTime  = 30 * time.Second // to read a request's body
	bodyWriteTime = 30 * time.Second // to write an answer
)

// KeyIssuer issues request keys.
type KeyIssuer interface {
	// Issue returns count keys for requests of a customer to a service, and when they expire.
	Issue(customer structs.Customer, service structs.ServiceName, count int) (keys []string, expires time.Time, err error)
}

// RequestRouter takes a request to its outcome.
type RequestRouter interface {
	Do(ctx context.Context, request router.Request) router.Response
}

// KeysResponse is the answer to POST /v1/keys.
type KeysResponse struct {
	Keys      []string  `json:"keys"`
	ExpiresAt time.Time `json:"expires_at"`
}

// Requests serves the callers' requests to services and their keys.
type Requests struct {
	Auth   *Authenticator
	Router RequestRouter
	Keys   KeyIssuer
	// BodyTime bounds the reading of one body, 0: 30 s.
	BodyTime time.Duration
}

// Register adds the calls to a router.
func (h *Requests) Register(routes *mux.Router) {
	routes.HandleFunc("/v1/keys", h.issue).Methods(http.MethodPost)
	routes.HandleFunc("/v1/services/{service}/requests/{kind}", h.request).Methods(http.MethodPost)
}

func (h *Requests) issue(w http.ResponseWriter, r *http.Request) {
	customer, err := h.Auth.Customer(r)
	if err != nil {
		WriteError(w, err, "", 0)
		return
	}
	service, count, err := h.keyQuery(r)
	if err != nil {
		WriteError(w, err, "", 0)
		return
	}
	keys, expires, err := h.Keys.Issue(customer.Name, service, count)
	if err != nil {
		WriteError(w, err, "", 0)
		return
	}
	WriteJSON(w, http.StatusOK, KeysResponse{Keys: keys, ExpiresAt: expires})
}

func (h *Requests) keyQuery(r *http.Request) (structs.ServiceName, int, error) {
	query := r.URL.Query()
	service := structs.ServiceName(query.Get("service"))
	if !takesRequests(h.Auth.Text(), service) {
		return "", 0, errkind.New(errkind.NotFound, "use a service of the specification that has minions", "service %.128q takes no requests", service)
	}
	if !query.Has("count") {
		return service, 1, nil
	}
	count, err := strconv.Atoi(query.Get("count"))
	if err != nil || count < 1 || count > maxKeys {
		return "", 0, errkind.New(errkind.Invalid, "use a count from 1 to 256", "count %.32q is not valid", query.Get("count"))
	}
	return service, count, nil
}

func takesRequests(text *spec.Text, name structs.ServiceName) bool {
	if text == nil {
		return false
	}
	for i := range text.Services {
		if text.Services[i].Name == name {
			return text.Services[i].Minions != nil
		}
	}
	return false
}

func (h *Requests) request(w http.ResponseWriter, r *http.Request) {
	id := router.NewRequestID()
	w.Header().Set(structs.HeaderRequestID, id)
	request, err := h.read(w, r, id)
	if err != nil {
		WriteError(w, err, refusedUnread(r), 0)
		return
	}
	response := h.Router.Do(r.Context(), request)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(bodyWriteTime)) // absent in tests without a connection
	if response.Outcome != structs.OutcomeAnswered {
		WriteError(w, response.Err, response.Outcome, response.RetryAfter)
		return
	}
	writeAnswer(w, response)
}

// refusedUnread is the outcome of a request that is refused before its key is looked up. With a key it may be the
// repetition of one that ran.
func refusedUnread(r *http.Request) structs.Outcome {
	if r.Header.Get(structs.HeaderIdempotencyKey) != "" {
		return structs.OutcomeUnknown
	}
	return structs.OutcomeNotRun
}

// writeAnswer sends the minion's answer, which has been read completely.
func writeAnswer(w http.ResponseWriter, response router.Response) {
	header := w.Header()
	header.Set(structs.HeaderOutcome, string(structs.OutcomeAnswered))
	header.Set("Content-Length", strconv.Itoa(len(response.Answer.Body)))
	header["Content-Type"] = nil // not guessed from the body when the minion gave none
	if response.Answer.ContentType != "" {
		header.Set("Content-Type", response.Answer.ContentType)
	}
	w.WriteHeader(response.Answer.Status)
	_, _ = w.Write(response.Answer.Body) // a failed write means that the caller has gone
}

// read checks a request and reads its body.
func (h *Requests) read(w http.ResponseWriter, r *http.Request, id string) (router.Request, error) {
	customer, err := h.Auth.Customer(r)
	if err != nil {
		return router.Request{}, err
	}
	timeout, err := timeoutOf(r)
	if err != nil {
		return router.Request{}, err
	}
	names := mux.Vars(r)
	request := router.Request{
		ID:          id,
		Service:     structs.ServiceName(names["service"]),
		Kind:        structs.KindName(names["kind"]),
		Customer:    customer.Name,
		Caller:      structs.Caller(r.Header.Get(structs.HeaderCaller)),
		Key:         r.Header.Get(structs.HeaderIdempotencyKey),
		ContentType: r.Header.Get("Content-Type"),
		Timeout:     timeout,
	}
	if len(request.Caller) > structs.MaxIdentifierBytes {
		return router.Request{}, errkind.New(errkind.Invalid, "use at most 128 bytes", "header %s is too long", structs.HeaderCaller)
	}
	request.Body, err = h.body(w, r)
	return request, err
}

func timeoutOf(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(structs.HeaderTimeoutMS)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 1 {
		return 0, errkind.New(errkind.Invalid, "use a positive number of milliseconds", "header %s is not valid", structs.HeaderTimeoutMS)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (h *Requests) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := int64(structs.MaxBodyBytes)
	if text := h.Auth.Text(); text != nil && text.Limits.RequestBodyBytes > 0 {
		limit = min(limit, int64(text.Limits.RequestBodyBytes))
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(cmp.Or(h.BodyTime, bodyReadTime))) // absent in tests without a connection
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "send a smaller body", "body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "send the whole body", "body could not be read")
	}
	// A read deadline that stayed would end the context of a request that runs longer. After a failed read it stays: the
	// HTTP server reads the rest of a body before it sends the refusal, and a stalled sender would hold it without bound.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}
