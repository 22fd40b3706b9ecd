package server

import (
	"context"
	"sync"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/idempotency"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/router"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const contentType = "Content-Type"

// routerKeys adapts idempotency.Keys to router.Keys.
type routerKeys struct {
	keys *idempotency.Keys
	mu   sync.Mutex
	runs map[string]*idempotency.Run // requests that are running, by request key
}

func newRouterKeys(keys *idempotency.Keys) *routerKeys {
	return &routerKeys{keys: keys, runs: map[string]*idempotency.Run{}}
}

// Begin implements router.Keys.
func (k *routerKeys) Begin(_ context.Context, key string, customer structs.Customer, service structs.ServiceName) (router.BeginResult, error) {
	decision, err := k.keys.Begin(key, customer, service)
	if err != nil {
		return router.BeginResult{}, err
	}
	switch decision.Action {
	case idempotency.ActionRun:
		k.mu.Lock()
		k.runs[key] = decision.Run
		k.mu.Unlock()
		return router.BeginResult{State: router.KeyFree}, nil
	case idempotency.ActionRecorded:
		return router.BeginResult{State: router.KeyAnswered, Answer: answerOf(decision.Response)}, nil
	case idempotency.ActionInProgress:
		return router.BeginResult{State: router.KeyRunning}, nil
	case idempotency.ActionForward:
		return router.BeginResult{State: router.KeyElsewhere, Issuer: decision.To}, nil
	case idempotency.ActionExpired:
		return router.BeginResult{}, errkind.New(errkind.KeyExpired, "get a new key; an earlier request with the expired key may have run", "the request key has expired")
	default:
		return router.BeginResult{State: router.KeyUnknown}, nil
	}
}

// Finish implements router.Keys.
func (k *routerKeys) Finish(key string, outcome structs.Outcome, answer *minion.Answer) {
	k.mu.Lock()
	run := k.runs[key]
	delete(k.runs, key)
	k.mu.Unlock()
	switch {
	case run == nil:
	case outcome == structs.OutcomeAnswered:
		run.Answered(responseOf(answer))
	case outcome == structs.OutcomeNotRun:
		run.NotRun()
	default:
		run.Unknown()
	}
}

func answerOf(response *idempotency.Response) *minion.Answer {
	answer := &minion.Answer{Status: response.Status, Body: response.Body}
	if values := response.Header[contentType]; len(values) > 0 {
		answer.ContentType = values[0]
	}
	return answer
}

func responseOf(answer *minion.Answer) *idempotency.Response {
	return &idempotency.Response{
		Status: answer.Status,
		Header: map[string][]string{contentType: {answer.ContentType}},
		Body:   answer.Body,
	}
}

// freeSlots implements router.Peers with the free slots that the peers report in heartbeats.
type freeSlots struct{ members *membership.Members }

// FreeSlots returns the peers in this data centre that have free slots for the service, with their number.
func (f freeSlots) FreeSlots(service structs.ServiceName) map[structs.InstanceID]int {
	self, dc := f.members.Self()
	free := map[structs.InstanceID]int{}
	for _, id := range f.members.Entries(dc) {
		if id == self {
			continue
		}
		var slots map[structs.ServiceName]int
		_, found, err := f.members.Value(id, topicFreeSlots, &slots)
		if found && err == nil && slots[service] > 0 {
			free[id] = slots[service]
		}
	}
	return free
}

// dependencies implements router.Dependencies with the state of the services in this data centre.
type dependencies struct{ server *Server }

// Down returns the missing service that keeps the given one down, empty when it is up.
func (d dependencies) Down(service structs.ServiceName) structs.ServiceName {
	up, missing := d.server.services.Up(service)
	if up {
		return ""
	}
	return missing
}
