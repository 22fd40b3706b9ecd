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

// Limits of request and key calls.
const (
	maxKeysPerCall     = 256
	bodyReadTimeout    = 30 * time.Second
	answerWriteTimeout = 30 * time.Second
)

// KeyIssuer issues request keys.
type KeyIssuer interface {
	// Issue returns count keys for a customer's requests to a service, and the time at which they expire.
	Issue(customer structs.Customer, service structs.ServiceName, count int) (keys []string, expires time.Time, err error)
}

// RequestRouter routes a request to a minion and returns its answer or error.
type RequestRouter interface {
	Do(ctx context.Context, request router.Request) router.Response
}

// KeysResponse is the answer to POST /v1/keys.
type KeysResponse struct {
	Keys      []string  `json:"keys"`
	ExpiresAt time.Time `json:"expires_at"`
}

// Requests holds the handlers for requests to services and for the request keys that make them idempotent.
type Requests struct {
	Auth   *Authenticator
	Router RequestRouter
	Keys   KeyIssuer
	// BodyReadTimeout bounds how long reading one body may take. Zero means 30 s.
	BodyReadTimeout time.Duration
}

// Register adds the handlers to a router.
func (h *Requests) Register(routes *mux.Router) {
	routes.HandleFunc("/v1/keys", h.issueKeys).Methods(http.MethodPost)
	routes.HandleFunc("/v1/services/{service}/requests/{kind}", h.handleRequest).Methods(http.MethodPost)
}

func (h *Requests) issueKeys(w http.ResponseWriter, r *http.Request) {
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

// keyQuery returns the service and the number of keys that the query asks for.
func (h *Requests) keyQuery(r *http.Request) (structs.ServiceName, int, error) {
	query := r.URL.Query()
	service := structs.ServiceName(query.Get("service"))
	if !acceptsRequests(h.Auth.Text(), service) {
		return "", 0, errkind.New(errkind.NotFound, "use a service that has minions in the specification", "service %.128q takes no requests", service)
	}
	if !query.Has("count") {
		return service, 1, nil
	}
	count, err := strconv.Atoi(query.Get("count"))
	if err != nil || count < 1 || count > maxKeysPerCall {
		return "", 0, errkind.New(errkind.Invalid, "use a count from 1 to 256", "count %.32q is out of range or not a number", query.Get("count"))
	}
	return service, count, nil
}

func acceptsRequests(text *spec.Text, name structs.ServiceName) bool {
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

func (h *Requests) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := router.NewRequestID()
	w.Header().Set(structs.HeaderRequestID, id)
	request, err := h.readRequest(w, r, id)
	if err != nil {
		WriteError(w, err, outcomeOfUnreadRequest(r), 0)
		return
	}
	response := h.Router.Do(r.Context(), request)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout)) // not supported by test writers
	if response.Outcome != structs.OutcomeAnswered {
		WriteError(w, response.Err, response.Outcome, response.RetryAfter)
		return
	}
	writeAnswer(w, response)
}

// outcomeOfUnreadRequest returns the outcome of a request that is refused before its key is looked up. A request with a
// key may be a retry of one that has run, so its outcome is unknown.
func outcomeOfUnreadRequest(r *http.Request) structs.Outcome {
	if r.Header.Get(structs.HeaderIdempotencyKey) != "" {
		return structs.OutcomeUnknown
	}
	return structs.OutcomeNotRun
}

// writeAnswer sends the minion's answer, which is held in memory as a whole.
func writeAnswer(w http.ResponseWriter, response router.Response) {
	header := w.Header()
	header.Set(structs.HeaderOutcome, string(structs.OutcomeAnswered))
	header.Set("Content-Length", strconv.Itoa(len(response.Answer.Body)))
	header["Content-Type"] = nil // keeps net/http from guessing it when the minion sent none
	if response.Answer.ContentType != "" {
		header.Set("Content-Type", response.Answer.ContentType)
	}
	w.WriteHeader(response.Answer.Status)
	_, _ = w.Write(response.Answer.Body) // fails only when the caller has disconnected
}

// readRequest authenticates a request, checks its headers and reads its body.
func (h *Requests) readRequest(w http.ResponseWriter, r *http.Request, id string) (router.Request, error) {
	customer, err := h.Auth.Customer(r)
	if err != nil {
		return router.Request{}, err
	}
	timeout, err := parseTimeout(r)
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
		return router.Request{}, errkind.New(errkind.Invalid, "use at most 128 bytes", "header %s is longer than allowed", structs.HeaderCaller)
	}
	request.Body, err = h.readBody(w, r)
	return request, err
}

// parseTimeout returns the caller's timeout, 0 when the header is missing.
func parseTimeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(structs.HeaderTimeoutMS)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 1 {
		return 0, errkind.New(errkind.Invalid, "use a positive number of milliseconds", "header %s is not a valid timeout", structs.HeaderTimeoutMS)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readBody reads the body within the limits on its size and on the time that reading may take.
func (h *Requests) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := int64(structs.MaxBodyBytes)
	if text := h.Auth.Text(); text != nil && text.Limits.RequestBodyBytes > 0 {
		limit = min(limit, int64(text.Limits.RequestBodyBytes))
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(cmp.Or(h.BodyReadTimeout, bodyReadTimeout))) // not supported by test writers
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "send a smaller body", "the body has more than %d bytes", limit)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "send the whole body", "the body could not be read")
	}
	// Clear the read deadline: if it passed while the request runs, net/http would cancel the request's context. After a
	// failed read the deadline stays, because net/http reads the rest of the body before it sends the error, and a stalled
	// sender would hold the connection without bound.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}
