// Package api holds the HTTP handlers for callers, operators and the balancer. Each group of calls is a type with a
// Register method.
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

const bearerPrefix = "Bearer "

// ErrorBody is the body of every answer that is not a minion's answer or a result.
type ErrorBody struct {
	Kind    string          `json:"kind"`
	Message string          `json:"message"`
	Remedy  string          `json:"remedy,omitempty"`
	Outcome structs.Outcome `json:"outcome,omitempty"`
}

// WriteJSON writes a JSON answer with its Content-Length.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // a failed write means that the caller has gone
}

// WriteError writes a typed error. outcome is empty for calls that are not requests to a service; retryAfter is
// rounded up to whole seconds and left out when 0.
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

// methodNotAllowed is Invalid with the status that HTTP has for this case.
var methodNotAllowed = errkind.Kind{Code: errkind.Invalid.Code, Status: http.StatusMethodNotAllowed, Exit: errkind.Invalid.Exit}

// RefuseUnknown makes a router answer calls that it has no route for with a typed error.
func RefuseUnknown(routes *mux.Router) {
	routes.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, errkind.New(errkind.NotFound, "use a path of the documentation", "there is no such call"), "", 0)
	})
	routes.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, errkind.New(methodNotAllowed, "use the method of the documentation", "the call does not have this method"), "", 0)
	})
}

// Authenticator finds out who sent a request.
type Authenticator struct {
	// Text returns the specification in force, nil when there is none yet.
	Text func() *spec.Text
	// OperatorTokensSHA256 holds the accepted operators' tokens, hashed, in hex.
	OperatorTokensSHA256 []string
}

// Customer returns the customer whose bearer token the request carries. The error is of kind Unauthorised, or
// Unavailable when no specification is in force yet.
func (a *Authenticator) Customer(r *http.Request) (*spec.Customer, error) {
	text := a.Text()
	if text == nil {
		return nil, errkind.New(errkind.Unavailable, "try again later", "no configuration is in force yet")
	}
	digest := tokenDigest(r)
	for i := range text.Customers {
		if contains(text.Customers[i].TokenSHA256, digest) {
			return &text.Customers[i], nil
		}
	}
	return nil, unauthorised("a customer's")
}

// Operator checks that the request carries an operator's bearer token. The error is of kind Unauthorised.
func (a *Authenticator) Operator(r *http.Request) error {
	if contains(a.OperatorTokensSHA256, tokenDigest(r)) {
		return nil
	}
	return unauthorised("an operator's")
}

func unauthorised(whose string) error {
	return errkind.New(errkind.Unauthorised, "send "+whose+" token as Authorization: Bearer", "the token is missing or not known")
}

func tokenDigest(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !found || token == "" {
		return ""
	}
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// contains compares every digest in constant time.
func contains(known []string, digest string) bool {
	found := 0
	for _, k := range known {
		found |= subtle.ConstantTimeCompare([]byte(strings.ToLower(k)), []byte(digest))
	}
	return digest != "" && found == 1
}
