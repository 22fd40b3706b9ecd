package router

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// KeyState tells what is known about a request key.
type KeyState int

const (
	// KeyFree means that this instance issued the key and may run its request now. Finish must follow.
	KeyFree KeyState = iota
	// KeyAnswered means that the request ran and its answer is recorded.
	KeyAnswered
	// KeyRunning means that the request is running.
	KeyRunning
	// KeyUnknown means that the request may have run, or that its issuer is gone.
	KeyUnknown
	// KeyElsewhere means that another instance acts as the issuer.
	KeyElsewhere
)

// BeginResult is the result of Keys.Begin.
type BeginResult struct {
	State  KeyState
	Issuer structs.InstanceID // set with KeyElsewhere
	Answer *minion.Answer     // set with KeyAnswered
}

// Keys is what the router needs of the table of request keys.
type Keys interface {
	// Begin marks an unused key of this instance as running, or tells why the request must not run here. The error is of
	// kind Invalid or Forbidden when the key cannot be used for this request, KeyExpired when it is too old.
	Begin(ctx context.Context, key string, customer structs.Customer, service structs.ServiceName) (BeginResult, error)
	// Finish records the outcome of a request after Begin returned KeyFree. OutcomeNotRun makes the key unused again.
	// answer is set with OutcomeAnswered.
	Finish(key string, outcome structs.Outcome, answer *minion.Answer)
}

// While the issuer cannot be reached the key is looked up again: its successor may not be known here yet.
const (
	lookUpAgain = 50 * time.Millisecond
	lookUpFor   = time.Second
)

// withKey runs a request under its key, at the instance that acts as the key's issuer.
func (r *Router) withKey(ctx context.Context, request *Request, forwarded bool, deadline time.Time, run func() Response) Response {
	giveUp := time.Now().Add(lookUpFor)
	if deadline.Before(giveUp) {
		giveUp = deadline
	}
	for {
		begun, err := r.cfg.Keys.Begin(ctx, request.Key, request.Customer, request.Service)
		if err != nil {
			return keyRefused(err)
		}
		if begun.State != KeyElsewhere || forwarded {
			return r.underKey(begun, request, run)
		}
		response, sent := r.forwardKey(ctx, begun.Issuer, request, deadline)
		if sent || !sleep(ctx, lookUpAgain, giveUp) {
			return response
		}
	}
}

// underKey acts on what is known about a key here.
func (r *Router) underKey(begun BeginResult, request *Request, run func() Response) Response {
	switch begun.State {
	case KeyFree:
		return r.finishing(request.Key, run)
	case KeyAnswered:
		return Response{Outcome: structs.OutcomeAnswered, Answer: begun.Answer}
	case KeyRunning:
		return unknown(errkind.New(errkind.InProgress, remedySameKey, "a request with this key is running"))
	case KeyElsewhere:
		return unknown(errkind.New(errkind.Unknown, remedyKey, "instances disagree about the issuer of the key"))
	default:
		return unknown(errkind.New(errkind.Unknown, remedyKey, "nobody knows whether the request with this key ran"))
	}
}

// undeclared answers a request whose service or kind is not in the specification. A key is looked up all the same: an
// earlier request with it may have run before the specification changed. Only a key that was never used gives not run,
// and it stays unused.
func (r *Router) undeclared(ctx context.Context, request *Request, forwarded bool, arrived time.Time, err error) Response {
	refuse := func() Response { return notRun(err, 0) }
	if request.Key == "" {
		return refuse()
	}
	return r.withKey(ctx, request, forwarded, deadlineOf(defaultDeadline, request.Timeout, arrived), refuse)
}

// finishing runs a request and records its outcome, unknown when run panics.
func (r *Router) finishing(key string, run func() Response) (response Response) {
	response = Response{Outcome: structs.OutcomeUnknown}
	defer func() { r.cfg.Keys.Finish(key, response.Outcome, response.Answer) }()
	return run()
}

// keyRefused maps an error of Begin. A full table refuses only keys that it does not hold, so their request has not run.
// An expired key, or one whose table is on its way to a successor, may have been used before.
func keyRefused(err error) Response {
	switch {
	case errkind.Is(err, errkind.Invalid), errkind.Is(err, errkind.Forbidden), errkind.Is(err, errkind.Overloaded):
		return notRun(err, 0)
	case errkind.Is(err, errkind.Unavailable):
		return unknown(errkind.Wrap(err, errkind.InProgress, remedySameKey, "the key is being handed over"))
	default:
		return unknown(err)
	}
}

// refusedUnseen refuses a request before anything is known about its key. With a key it may be the repetition of a
// request that ran, so it must not be called not run.
func refusedUnseen(request *Request, err error) Response {
	if request.Key == "" {
		return notRun(err, 0)
	}
	return unknown(errkind.Wrap(err, errkind.InProgress, remedySameKey, "the key was not looked up"))
}

// deadlineOf returns the deadline of a request that arrives now.
func deadlineOf(declared, wanted time.Duration, now time.Time) time.Time {
	if wanted > 0 && (declared <= 0 || wanted < declared) {
		declared = wanted
	}
	if declared <= 0 {
		declared = defaultDeadline
	}
	return now.Add(declared)
}
