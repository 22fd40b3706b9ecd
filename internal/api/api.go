// Package api implements the HTTP handlers for callers, operators and the load balancer. Each group of calls is a type
// whose Register method adds its routes.
package api

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// bearerPrefix precedes the token in the Authorization header.
const bearerPrefix = "Bearer "

// ErrorBody is the body of every error answer.
type ErrorBody struct {
	Kind    string          `json:"kind"`
	Message string          `json:"message"`
	Remedy  string          `json:"remedy,omitempty"`
	Outcome structs.Outcome `json:"outcome,omitempty"`
}

// WriteJSON writes value as a JSON answer and sets Content-Length.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails only when the caller has disconnected
}

// WriteError writes err as an ErrorBody. Callers pass an empty outcome for calls that do not submit a request or job.
// retryAfter is rounded up to whole seconds for the Retry-After header, which is left out when it is 0.
func WriteError(w http.ResponseWriter, err error, outcome structs.Outcome, retryAfter time.Duration) {
	typed := errkind.As(err)
	if outcome != "" {
		w.Header().Set(structs.HeaderOutcome, string(outcome))
	}
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	message := typed.Message
	if typed.Cause != nil {
		message += ": " + typed.Cause.Error()
	}
	WriteJSON(w, typed.Kind.Status, ErrorBody{Kind: typed.Kind.Code, Message: message, Remedy: typed.Remedy, Outcome: outcome})
}

// methodNotAllowed is the kind Invalid with the HTTP status 405.
var methodNotAllowed = errkind.Kind{Code: errkind.Invalid.Code, Status: http.StatusMethodNotAllowed, Exit: errkind.Invalid.Exit}

// RejectUnknownRoutes makes a router answer unknown paths and methods with an ErrorBody.
func RejectUnknownRoutes(routes *mux.Router) {
	routes.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, errkind.New(errkind.NotFound, "use a path from the API documentation", "no call has this path"), "", 0)
	})
	routes.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, errkind.New(methodNotAllowed, "use the method given in the API documentation", "the call does not support this method"), "", 0)
	})
}

// Authenticator checks the bearer tokens of customers and operators.
type Authenticator struct {
	// Text returns the specification in force, nil when there is none yet.
	Text func() *spec.Text
	// OperatorTokensSHA256 holds the SHA-256 digests of the operators' tokens in hex.
	OperatorTokensSHA256 []string
}

// Customer returns the customer whose bearer token the request carries. Its error has the kind Unauthorised, or
// Unavailable when no specification is in force yet.
func (a *Authenticator) Customer(r *http.Request) (*spec.Customer, error) {
	text := a.Text()
	if text == nil {
		return nil, errkind.New(errkind.Unavailable, "try again later", "no configuration is in force yet")
	}
	digest := tokenDigest(r)
	for i := range text.Customers {
		if containsDigest(text.Customers[i].TokenSHA256, digest) {
			return &text.Customers[i], nil
		}
	}
	return nil, unauthorised("a customer's")
}

// Operator checks that the request carries an operator's bearer token. Its error has the kind Unauthorised.
func (a *Authenticator) Operator(r *http.Request) error {
	if containsDigest(a.OperatorTokensSHA256, tokenDigest(r)) {
		return nil
	}
	return unauthorised("an operator's")
}

func unauthorised(whose string) error {
	return errkind.New(errkind.Unauthorised, "send "+whose+" token as Authorization: Bearer", "the bearer token is missing or unknown")
}

// tokenDigest returns the SHA-256 of the request's bearer token in hex, empty when there is none.
func tokenDigest(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !found || token == "" {
		return ""
	}
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// containsDigest reports whether digest is one of the known ones. It compares each of them in constant time, so that the
// response time does not reveal how much of a digest matched.
func containsDigest(known []string, digest string) bool {
	found := 0
	for _, k := range known {
		found |= subtle.ConstantTimeCompare([]byte(strings.ToLower(k)), []byte(digest))
	}
	return digest != "" && found == 1
}
