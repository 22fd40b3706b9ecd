package router

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// CallForward is the kind of the peer call that carries a request.
const CallForward = "router.forward"

const (
	// fullFor is how long a peer that refused a forwarded request is left out, the time until its next report.
	fullFor = 250 * time.Millisecond
	// reportAge is how long a list of the peers' free slots is used; they change with each heartbeat.
	reportAge = 20 * time.Millisecond
	// forwardGrace is how long after the deadline the peer's word on the outcome is waited for.
	forwardGrace = 100 * time.Millisecond
)

// ForwardMode tells what the receiver of a forwarded request does.
type ForwardMode string

const (
	// ForwardSlot runs the request in a free slot at once, or refuses it as not run.
	ForwardSlot ForwardMode = "slot"
	// ForwardKey handles the request as the issuer of its key.
	ForwardKey ForwardMode = "key"
)

// ForwardRequest is a request on its way to another instance.
type ForwardRequest struct {
	Mode        ForwardMode         `msgpack:"mode"`
	ID          string              `msgpack:"id"`
	Service     structs.ServiceName `msgpack:"service"`
	Kind        structs.KindName    `msgpack:"kind"`
	Customer    structs.Customer    `msgpack:"customer"`
	Caller      structs.Caller      `msgpack:"caller"`
	Key         string              `msgpack:"key"`
	ContentType string              `msgpack:"content_type"`
	Body        []byte              `msgpack:"body"`
	Remaining   time.Duration       `msgpack:"remaining"`
}

// ForwardAnswer is the outcome of a forwarded request.
type ForwardAnswer struct {
	Outcome    structs.Outcome `msgpack:"outcome"`
	Answer     *minion.Answer  `msgpack:"answer"`
	Error      *ForwardError   `msgpack:"error"`
	RetryAfter time.Duration   `msgpack:"retry_after"`
	Full       bool            `msgpack:"full"` // no free slot; the sender may use another
}

// ForwardError carries a typed error.
type ForwardError struct {
	Kind    errkind.Kind `msgpack:"kind"`
	Message string       `msgpack:"message"`
	Remedy  string       `msgpack:"remedy"`
}

// choosePeerLocked returns the peer with the most free slots, "" when none has any.
func (s *service) choosePeerLocked() structs.InstanceID {
	var best structs.InstanceID
	most := 0
	now := time.Now()
	if now.Sub(s.forward.freeAsOf) > reportAge {
		s.forward.free = s.router.cfg.Peers.FreeSlots(s.name)
		s.forward.freeAsOf = now
	}
	for id, free := range s.forward.free {
		free -= s.forward.unseen(id, now)
		if now.Sub(s.forward.full[id]) < fullFor || free < 1 {
			continue
		}
		if free > most || (free == most && id < best) {
			best, most = id, free
		}
	}
	return best
}

func (s *service) forwardEnded(id structs.InstanceID, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forward.end(id)
	now := time.Now()
	for other, at := range s.forward.full {
		if now.Sub(at) >= fullFor {
			delete(s.forward.full, other)
		}
	}
	if full {
		s.forward.full[id] = now
	}
}

// runAtPeer runs a request in a slot of another instance. full means that it did not run there and may wait again.
func (s *service) runAtPeer(ctx context.Context, to structs.InstanceID, request *Request, deadline time.Time) (response Response, full bool) {
	s.metrics.forwards.Inc(1)
	answer, err := s.router.forwardTo(ctx, to, ForwardSlot, request, deadline)
	full = errors.Is(err, peer.ErrNotSent) || (err == nil && answer.Full && answer.Outcome == structs.OutcomeNotRun)
	s.forwardEnded(to, full)
	if err != nil {
		return unknown(errkind.Wrap(err, errkind.Unknown, remedyUnknown, "instance %s did not answer", to)), full
	}
	return answer.response(), full
}

// forwardKey sends a request to the instance that acts as the issuer of its key. sent is false when the issuer could not
// be reached; an earlier request with the same key may still have run there, so the outcome is unknown.
func (r *Router) forwardKey(ctx context.Context, issuer structs.InstanceID, request *Request, deadline time.Time) (response Response, sent bool) {
	answer, err := r.forwardTo(ctx, issuer, ForwardKey, request, deadline)
	if err != nil {
		failure := errkind.Wrap(err, errkind.Unknown, remedyKey, "instance %s, which issued the key, did not answer", issuer)
		return unknown(failure), !errors.Is(err, peer.ErrNotSent)
	}
	return answer.response(), true
}

func (r *Router) forwardTo(ctx context.Context, to structs.InstanceID, mode ForwardMode, request *Request, deadline time.Time) (ForwardAnswer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(forwardGrace))
	defer cancel()
	message := ForwardRequest{
		Mode:        mode,
		ID:          request.ID,
		Service:     request.Service,
		Kind:        request.Kind,
		Customer:    request.Customer,
		Caller:      request.Caller,
		Key:         request.Key,
		ContentType: request.ContentType,
		Body:        request.Body,
		Remaining:   time.Until(deadline),
	}
	var answer ForwardAnswer
	err := r.cfg.Calls.Call(ctx, to, CallForward, message, &answer)
	return answer, err
}

func (a ForwardAnswer) response() Response {
	response := Response{Outcome: a.Outcome, Answer: a.Answer, RetryAfter: a.RetryAfter}
	if a.Outcome == structs.OutcomeAnswered && a.Answer != nil {
		return response
	}
	if a.Outcome != structs.OutcomeNotRun {
		response.Outcome = structs.OutcomeUnknown
	}
	if a.Error == nil {
		a.Error = &ForwardError{Kind: errkind.Unknown, Message: "peer's answer is not usable", Remedy: remedyUnknown}
	}
	response.Err = errkind.New(a.Error.Kind, a.Error.Remedy, "%s", a.Error.Message)
	return response
}

// Register registers the calls that the router serves.
func (r *Router) Register(registrar peer.Registrar) {
	registrar.Handle(CallForward, func(ctx context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var message ForwardRequest
		if err := decode(&message); err != nil {
			return nil, err
		}
		return r.forwarded(ctx, &message), nil
	})
}

// forwarded serves a request that another instance received. The remaining time counts from its arrival here.
func (r *Router) forwarded(ctx context.Context, message *ForwardRequest) ForwardAnswer {
	request := &Request{
		ID:          message.ID,
		Service:     message.Service,
		Kind:        message.Kind,
		Customer:    message.Customer,
		Caller:      message.Caller,
		Key:         message.Key,
		ContentType: message.ContentType,
		Body:        message.Body,
		Timeout:     max(message.Remaining, 1),
	}
	if message.Mode == ForwardSlot {
		return r.inFreeSlot(ctx, request, time.Now().Add(message.Remaining))
	}
	return answerOf(r.do(ctx, request, true), false)
}

// inFreeSlot runs a request in a free slot that no waiting request of this instance needs.
func (r *Router) inFreeSlot(ctx context.Context, request *Request, deadline time.Time) ForwardAnswer {
	if err := r.enter(); err != nil {
		return answerOf(notRun(err, 0), true)
	}
	defer r.leave()
	slot := r.spareSlot(request.Service)
	if slot == nil {
		return answerOf(notRun(errkind.New(errkind.Overloaded, remedyRetry, "no slot of %q is free here", request.Service), 0), true)
	}
	defer slot.Release()
	result := slot.Run(context.WithoutCancel(ctx), callOf(request, deadline))
	if result.Outcome == structs.OutcomeNotRun {
		return answerOf(notRun(result.Err, 0), false)
	}
	return answerOf(Response{Outcome: result.Outcome, Answer: result.Answer, Err: result.Err}, false)
}

func (r *Router) spareSlot(name structs.ServiceName) Slot {
	r.mu.Lock()
	s := r.services[name]
	r.mu.Unlock()
	if s != nil && s.waiting() > 0 {
		return nil
	}
	return r.cfg.Pool.Acquire(name)
}

func answerOf(response Response, full bool) ForwardAnswer {
	answer := ForwardAnswer{Outcome: response.Outcome, Answer: response.Answer, RetryAfter: response.RetryAfter, Full: full}
	if response.Err != nil {
		typed := errkind.As(response.Err)
		message := typed.Message
		if typed.Cause != nil {
			message += ": " + typed.Cause.Error()
		}
		answer.Error = &ForwardError{Kind: typed.Kind, Message: message, Remedy: typed.Remedy}
	}
	return answer
}
