package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/fairqueue"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of one request.
const (
	defaultDeadline   = 30 * time.Second // for a kind that declares none
	defaultRetryAfter = time.Second
	maxAttempts       = 4
	backoffInitial    = 5 * time.Millisecond
	backoffMax        = 200 * time.Millisecond
)

// Remedies of this package's errors.
const (
	remedyRetry   = "send the request again later"
	remedyKey     = "look up the effect of the request before sending it with a new key"
	remedySameKey = "repeat the request with the same key later"
	remedyUnknown = "a request of an idempotent kind may be sent again; any other may be repeated only with the same key"
)

// Request is a request of a caller for a service.
type Request struct {
	ID          string
	Service     structs.ServiceName
	Kind        structs.KindName
	Customer    structs.Customer
	Caller      structs.Caller
	Key         string // idempotency key, empty when the caller sent none
	ContentType string
	Body        []byte
	Timeout     time.Duration // 0 means the kind's deadline, which is also the upper bound
}

// Response is the result of a request. Answer is set with OutcomeAnswered, Err with the other outcomes.
type Response struct {
	Outcome    structs.Outcome
	Answer     *minion.Answer
	Err        error
	RetryAfter time.Duration // 0 means none
}

func unknown(err error) Response { return Response{Outcome: structs.OutcomeUnknown, Err: err} }

func notRun(err error, retryAfter time.Duration) Response {
	return Response{Outcome: structs.OutcomeNotRun, Err: err, RetryAfter: max(retryAfter, defaultRetryAfter)}
}

// NewRequestID returns a random request identifier.
func NewRequestID() string { return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()) }

// Do runs a request and returns its outcome. A request whose ctx ends while it is queued is removed and never runs. Once
// it has been sent, Do waits for the answer until the deadline, even when ctx ends.
func (r *Router) Do(ctx context.Context, request Request) Response {
	return r.do(ctx, &request, false)
}

func (r *Router) do(ctx context.Context, request *Request, forwarded bool) Response {
	arrived := time.Now()
	if err := r.beginRequest(); err != nil {
		return refuseBeforeKeyLookup(request, err)
	}
	defer r.endRequest()
	s, kind, err := r.service(request.Service, request.Kind)
	if err != nil {
		return r.refuseUndeclared(ctx, request, forwarded, arrived, err)
	}
	deadline := deadlineOf(kind.Deadline, request.Timeout, arrived)
	run := func() Response { return s.run(ctx, request, kind, deadline) }
	response := r.enforceKey(ctx, request, kind, forwarded, deadline, run)
	s.countOutcome(response)
	return response
}

// enforceKey runs a request with its idempotency key, and rejects a request without one if its kind is not idempotent.
func (r *Router) enforceKey(ctx context.Context, request *Request, kind *spec.RequestKind, forwarded bool, deadline time.Time, run func() Response) Response {
	switch {
	case request.Key != "":
		return r.runWithKey(ctx, request, forwarded, deadline, run)
	case !kind.Idempotent:
		return notRun(errkind.New(errkind.KeyRequired, "get a key from POST /v1/keys and send it as "+structs.HeaderIdempotencyKey,
			"requests of kind %q are not idempotent and need a key", kind.Name), 0)
	default:
		return run()
	}
}

// run attempts a request until it is answered or no further attempt is allowed.
func (s *service) run(ctx context.Context, request *Request, kind *spec.RequestKind, deadline time.Time) Response {
	if down := s.router.cfg.Dependencies.Down(request.Service); down != "" {
		return notRun(errkind.New(errkind.Dependency, remedyRetry, "service %q depends on %q, which is down", request.Service, down), 0)
	}
	s.budget.countRequest(time.Now())
	mayHaveRun := false
	pause := newBackoff()
	for attempt := 1; ; attempt++ {
		response := s.attempt(ctx, request, deadline)
		mayHaveRun = mayHaveRun || response.Outcome == structs.OutcomeUnknown
		if response.Outcome == structs.OutcomeAnswered || !s.mayRetry(response, kind, attempt) {
			return finalResponse(response, mayHaveRun)
		}
		if !sleep(ctx, pause.NextBackOff(), deadline) {
			return finalResponse(response, mayHaveRun)
		}
	}
}

// finalResponse returns the response after the last attempt. A request may have run if any of its attempts may have.
func finalResponse(response Response, mayHaveRun bool) Response {
	if response.Outcome == structs.OutcomeNotRun && mayHaveRun {
		return unknown(errkind.Wrap(response.Err, errkind.Unknown, remedyUnknown, "an earlier attempt may have run"))
	}
	return response
}

func newBackoff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(backoff.WithInitialInterval(backoffInitial), backoff.WithMaxInterval(backoffMax))
}

// sleep waits before the next attempt. It returns false if ctx ends or the deadline would pass first.
func sleep(ctx context.Context, pause time.Duration, deadline time.Time) bool {
	if time.Until(deadline) <= pause {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// mayRetry reports whether another attempt is allowed and, if so, charges it to the retry budget. After an attempt that
// may have run, only idempotent requests are retried.
func (s *service) mayRetry(response Response, kind *spec.RequestKind, attempt int) bool {
	if errors.Is(response.Err, errNotAttempted) || attempt >= maxAttempts {
		return false
	}
	if response.Outcome == structs.OutcomeUnknown && !kind.Idempotent {
		return false
	}
	if s.budget.allowRetry(time.Now()) {
		s.metrics.retries.Inc(1)
		return true
	}
	if s.budget.shouldReport(time.Now()) {
		s.router.cfg.Events.Emit(eventBudgetSpent, event.F("service", s.name))
	}
	return false
}

// errNotAttempted marks the error of an attempt that ended while the request was still queued.
var errNotAttempted = errors.New("request was not sent to a minion")

// attempt waits for a slot and runs the request once. A request that a peer rejects for lack of a slot is queued again.
func (s *service) attempt(ctx context.Context, request *Request, deadline time.Time) Response {
	for {
		granted, refusal := s.wait(ctx, request, deadline)
		if refusal != nil {
			return *refusal
		}
		if granted.slot != nil {
			return s.runHere(ctx, granted, request, deadline)
		}
		response, full := s.runAtPeer(ctx, granted.peer, request, deadline)
		if !full {
			return response
		}
	}
}

// runHere runs a request in a slot of this instance.
func (s *service) runHere(ctx context.Context, granted grant, request *Request, deadline time.Time) Response {
	began := time.Now()
	result := granted.slot.Run(context.WithoutCancel(ctx), minionCall(request, deadline))
	s.done(granted.item, result, time.Since(began))
	granted.slot.Release()
	if result.Outcome == structs.OutcomeNotRun {
		return notRun(result.Err, 0)
	}
	return Response{Outcome: result.Outcome, Answer: result.Answer, Err: result.Err}
}

func minionCall(request *Request, deadline time.Time) minion.Call {
	return minion.Call{
		RequestID:   request.ID,
		Kind:        request.Kind,
		ContentType: request.ContentType,
		Body:        request.Body,
		Deadline:    deadline,
	}
}

// queueRefusal converts an error of the queue to a response.
func queueRefusal(err error) Response {
	var typed *fairqueue.RefusedError
	if !errors.As(err, &typed) {
		return notRun(errkind.Wrap(errors.Join(errNotAttempted, err), errkind.Internal, remedyRetry, "request was not queued"), 0)
	}
	kind := errkind.Overloaded
	if typed.Reason == fairqueue.ReasonLate {
		kind = errkind.Deadline
	}
	return notRun(errkind.Wrap(errors.Join(errNotAttempted, err), kind, remedyRetry, "request was rejected by the queue"), typed.Wait)
}
