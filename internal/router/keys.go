package router

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// KeyState is the state of an idempotency key.
type KeyState int

const (
	// KeyFree means that this instance acts as the issuer of the unused key and may run its request now. The caller of
	// Begin must then call Finish.
	KeyFree KeyState = iota
	// KeyAnswered means that the request has run and its answer is recorded.
	KeyAnswered
	// KeyRunning means that the request is running.
	KeyRunning
	// KeyUnknown means that the request may have run, or that the instance that could tell has ended.
	KeyUnknown
	// KeyElsewhere means that another instance acts as the issuer of the key.
	KeyElsewhere
)

// BeginResult is the result of Keys.Begin.
type BeginResult struct {
	State  KeyState
	Issuer structs.InstanceID // set with KeyElsewhere
	Answer *minion.Answer     // set with KeyAnswered
}

// Keys is the table of idempotency keys.
type Keys interface {
	// Begin marks an unused key of this instance as running, or returns why the request must not run here. The error is of
	// kind Invalid or Forbidden when the key is not valid for this request, and of kind KeyExpired when it has expired.
	Begin(ctx context.Context, key string, customer structs.Customer, service structs.ServiceName) (BeginResult, error)
	// Finish records the outcome of a request for which Begin returned KeyFree. OutcomeNotRun makes the key unused again.
	// answer is set with OutcomeAnswered.
	Finish(key string, outcome structs.Outcome, answer *minion.Answer)
}

// A key whose issuer cannot be reached is looked up again: the issuer may have a successor that is not known here yet.
const (
	issuerRetryInterval = 50 * time.Millisecond
	issuerRetryTimeout  = time.Second
)

// runWithKey runs a request with an idempotency key, forwarding it to the instance that acts as the issuer of the key.
func (r *Router) runWithKey(ctx context.Context, request *Request, forwarded bool, deadline time.Time, run func() Response) Response {
	retryUntil := time.Now().Add(issuerRetryTimeout)
	if deadline.Before(retryUntil) {
		retryUntil = deadline
	}
	for {
		result, err := r.cfg.Keys.Begin(ctx, request.Key, request.Customer, request.Service)
		if err != nil {
			return keyErrorResponse(err)
		}
		if result.State != KeyElsewhere || forwarded {
			return r.applyKeyState(result, request, run)
		}
		response, sent := r.forwardKey(ctx, result.Issuer, request, deadline)
		if sent || !sleep(ctx, issuerRetryInterval, retryUntil) {
			return response
		}
	}
}

// applyKeyState runs the request when its key is unused, and otherwise returns the response that the state calls for.
func (r *Router) applyKeyState(result BeginResult, request *Request, run func() Response) Response {
	switch result.State {
	case KeyFree:
		return r.runAndFinish(request.Key, run)
	case KeyAnswered:
		return Response{Outcome: structs.OutcomeAnswered, Answer: result.Answer}
	case KeyRunning:
		return unknown(errkind.New(errkind.InProgress, remedySameKey, "a request with this key is running"))
	case KeyElsewhere:
		return unknown(errkind.New(errkind.Unknown, remedyKey, "instances disagree about which one is the issuer of the key"))
	default:
		return unknown(errkind.New(errkind.Unknown, remedyKey, "it is not known whether the request with this key ran"))
	}
}

// refuseUndeclared rejects a request whose service or kind is not in the specification. Its key is still looked up: an
// earlier request with it may have run before the specification changed. The outcome is not run only if the key was
// never used, and the key stays unused.
func (r *Router) refuseUndeclared(ctx context.Context, request *Request, forwarded bool, arrived time.Time, err error) Response {
	refuse := func() Response { return notRun(err, 0) }
	if request.Key == "" {
		return refuse()
	}
	return r.runWithKey(ctx, request, forwarded, deadlineOf(defaultDeadline, request.Timeout, arrived), refuse)
}

// runAndFinish runs a request and records its outcome, which is unknown if run panics.
func (r *Router) runAndFinish(key string, run func() Response) (response Response) {
	response = Response{Outcome: structs.OutcomeUnknown}
	defer func() { r.cfg.Keys.Finish(key, response.Outcome, response.Answer) }()
	return run()
}

// keyErrorResponse converts an error of Keys.Begin to a response. A full table rejects only keys without a record, so
// their requests have not run. An expired key, or one that is being handed over, may have been used before.
func keyErrorResponse(err error) Response {
	switch {
	case errkind.Is(err, errkind.Invalid), errkind.Is(err, errkind.Forbidden), errkind.Is(err, errkind.Overloaded):
		return notRun(err, 0)
	case errkind.Is(err, errkind.Unavailable):
		return unknown(errkind.Wrap(err, errkind.InProgress, remedySameKey, "the key is being handed over"))
	default:
		return unknown(err)
	}
}

// refuseBeforeKeyLookup rejects a request whose key was not looked up. With a key, it may repeat a request that has run,
// so its outcome must not be not run.
func refuseBeforeKeyLookup(request *Request, err error) Response {
	if request.Key == "" {
		return notRun(err, 0)
	}
	return unknown(errkind.Wrap(err, errkind.InProgress, remedySameKey, "the key was not looked up"))
}

// deadlineOf returns the deadline of a request that arrives now: the earlier of the kind's and the caller's.
func deadlineOf(declared, wanted time.Duration, now time.Time) time.Time {
	if wanted > 0 && (declared <= 0 || wanted < declared) {
		declared = wanted
	}
	if declared <= 0 {
		declared = defaultDeadline
	}
	return now.Add(declared)
}
