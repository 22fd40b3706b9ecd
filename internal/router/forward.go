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

// CallForward is the kind of the peer call that forwards a request.
const CallForward = "router.forward"

const (
	// fullPeerBackoff is how long no request is forwarded to a peer for which runAtPeer returned full: until the peer's
	// next report.
	fullPeerBackoff = 250 * time.Millisecond
	// freeSlotsMaxAge is how long the peers' free slots are cached; they change with each heartbeat.
	freeSlotsMaxAge = 20 * time.Millisecond
	// forwardGrace is how long past the request's deadline the sender waits for the peer's reply.
	forwardGrace = 100 * time.Millisecond
)

// ForwardMode tells the receiver of a forwarded request how to handle it.
type ForwardMode string

const (
	// ForwardSlot runs the request in a free slot immediately, or rejects it as not run.
	ForwardSlot ForwardMode = "slot"
	// ForwardKey handles the request as the issuer of its idempotency key.
	ForwardKey ForwardMode = "key"
)

// ForwardRequest is the message that forwards a request to another instance.
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

// ForwardAnswer is the reply to a ForwardRequest.
type ForwardAnswer struct {
	Outcome    structs.Outcome `msgpack:"outcome"`
	Answer     *minion.Answer  `msgpack:"answer"`
	Error      *ForwardError   `msgpack:"error"`
	RetryAfter time.Duration   `msgpack:"retry_after"`
	Full       bool            `msgpack:"full"` // not run: no slot was free or the peer is draining; the sender may try another peer
}

// ForwardError is the encoded form of a typed error.
type ForwardError struct {
	Kind    errkind.Kind `msgpack:"kind"`
	Message string       `msgpack:"message"`
	Remedy  string       `msgpack:"remedy"`
}

// choosePeerLocked returns the peer with the most free slots, or "" when none has any. s.mu is held.
func (s *service) choosePeerLocked() structs.InstanceID {
	var best structs.InstanceID
	most := 0
	now := time.Now()
	if now.Sub(s.forwards.freeSlotsAt) > freeSlotsMaxAge {
		s.forwards.freeSlots = s.router.cfg.Peers.FreeSlots(s.name)
		s.forwards.freeSlotsAt = now
	}
	for id, free := range s.forwards.freeSlots {
		free -= s.forwards.unreported(id, now)
		if now.Sub(s.forwards.refusedAt[id]) < fullPeerBackoff || free < 1 {
			continue
		}
		if free > most || (free == most && id < best) {
			best, most = id, free
		}
	}
	return best
}

// forwardEnded records the end of a forwarded request. full is the result of runAtPeer.
func (s *service) forwardEnded(id structs.InstanceID, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwards.end(id)
	now := time.Now()
	for other, at := range s.forwards.refusedAt {
		if now.Sub(at) >= fullPeerBackoff {
			delete(s.forwards.refusedAt, other)
		}
	}
	if full {
		s.forwards.refusedAt[id] = now
	}
}

// runAtPeer runs a request in a slot of another instance. full means that the peer could not be reached, had no free
// slot or is draining: the request did not run there and may be queued again.
func (s *service) runAtPeer(ctx context.Context, to structs.InstanceID, request *Request, deadline time.Time) (response Response, full bool) {
	s.metrics.forwards.Inc(1)
	answer, err := s.router.forwardTo(ctx, to, ForwardSlot, request, deadline)
	full = errors.Is(err, peer.ErrNotSent) || (err == nil && answer.Full && answer.Outcome == structs.OutcomeNotRun)
	s.forwardEnded(to, full)
	if err != nil {
		return unknown(errkind.Wrap(err, errkind.Unknown, remedyUnknown, "instance %s did not reply", to)), full
	}
	return answer.response(), full
}

// forwardKey forwards a request to the instance that acts as the issuer of its key. sent is false when that instance could
// not be reached. The outcome is unknown even then: an earlier request with the same key may have run there.
func (r *Router) forwardKey(ctx context.Context, issuer structs.InstanceID, request *Request, deadline time.Time) (response Response, sent bool) {
	answer, err := r.forwardTo(ctx, issuer, ForwardKey, request, deadline)
	if err != nil {
		failure := errkind.Wrap(err, errkind.Unknown, remedyKey, "instance %s, the issuer of the key, did not reply", issuer)
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
		a.Error = &ForwardError{Kind: errkind.Unknown, Message: "peer sent an invalid reply", Remedy: remedyUnknown}
	}
	response.Err = errkind.New(a.Error.Kind, a.Error.Remedy, "%s", a.Error.Message)
	return response
}

// Register registers the handlers of the calls from peers.
func (r *Router) Register(registrar peer.Registrar) {
	registrar.Handle(CallForward, func(ctx context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var message ForwardRequest
		if err := decode(&message); err != nil {
			return nil, err
		}
		return r.handleForward(ctx, &message), nil
	})
}

// handleForward handles a request that another instance forwarded. Its remaining time counts from its arrival here.
func (r *Router) handleForward(ctx context.Context, message *ForwardRequest) ForwardAnswer {
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
		return r.runInSpareSlot(ctx, request, time.Now().Add(message.Remaining))
	}
	return newForwardAnswer(r.do(ctx, request, true), false)
}

// runInSpareSlot runs a forwarded request if a slot is free and no request of this instance is queued for it.
func (r *Router) runInSpareSlot(ctx context.Context, request *Request, deadline time.Time) ForwardAnswer {
	if err := r.beginRequest(); err != nil {
		return newForwardAnswer(notRun(err, 0), true)
	}
	defer r.endRequest()
	slot := r.acquireSpareSlot(request.Service)
	if slot == nil {
		return newForwardAnswer(notRun(errkind.New(errkind.Overloaded, remedyRetry, "no slot for service %q is free at this instance", request.Service), 0), true)
	}
	defer slot.Release()
	result := slot.Run(context.WithoutCancel(ctx), minionCall(request, deadline))
	if result.Outcome == structs.OutcomeNotRun {
		return newForwardAnswer(notRun(result.Err, 0), false)
	}
	return newForwardAnswer(Response{Outcome: result.Outcome, Answer: result.Answer, Err: result.Err}, false)
}

// acquireSpareSlot returns nil when there is no free slot or requests of this instance are queued for it.
func (r *Router) acquireSpareSlot(name structs.ServiceName) Slot {
	r.mu.Lock()
	s := r.services[name]
	r.mu.Unlock()
	if s != nil && s.waiting() > 0 {
		return nil
	}
	return r.cfg.Pool.Acquire(name)
}

func newForwardAnswer(response Response, full bool) ForwardAnswer {
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
