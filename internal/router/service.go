package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/fairqueue"
	"dogwoodnotch.example/dogwoodnotch/internal/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of a queue for which the specification gives none.
const (
	defaultQueued  = 4096
	defaultCallers = 1000
)

// service is the queue of one service and what is sent from it.
type service struct {
	router  *Router
	name    structs.ServiceName
	budget  budget
	metrics serviceMetrics

	mu      sync.Mutex
	queue   *fairqueue.Queue
	text    *spec.Text // that the queue was configured with
	forward forwards
}

type serviceMetrics struct {
	outcomes map[structs.Outcome]tally.Counter
	retries  tally.Counter
	forwards tally.Counter
}

// waiter is the value of a queued item.
type waiter struct{ granted chan grant }

// grant ends a wait: a slot here, a peer with a free slot, or neither when the request was refused.
type grant struct {
	item *fairqueue.Item
	slot Slot
	peer structs.InstanceID
	err  error
}

func newService(r *Router, name structs.ServiceName) *service {
	scope := r.cfg.Scope.SubScope("router").Tagged(map[string]string{"service": string(name)})
	outcomes := map[structs.Outcome]tally.Counter{}
	for _, o := range []structs.Outcome{structs.OutcomeAnswered, structs.OutcomeNotRun, structs.OutcomeUnknown} {
		outcomes[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("requests")
	}
	return &service{
		router:  r,
		name:    name,
		metrics: serviceMetrics{outcomes: outcomes, retries: scope.Counter("retries"), forwards: scope.Counter("forwards")},
		queue:   fairqueue.New(fairqueue.Config{}),
		forward: newForwards(),
	}
}

func (s *service) count(response Response) { s.metrics.outcomes[response.Outcome].Inc(1) }

func (s *service) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// refresh follows the specification.
func (s *service) refresh(text *spec.Text) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if text != nil && text != s.text {
		s.text = text
		s.queue.Configure(queueConfig(text, s.name))
		s.queue.SetSlots(s.router.cfg.Pool.Slots(s.name))
	}
}

// resize follows the number of slots, of which the kinds have shares.
func (s *service) resize() {
	slots := s.router.cfg.Pool.Slots(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetSlots(slots)
}

func queueConfig(text *spec.Text, name structs.ServiceName) fairqueue.Config {
	weights := map[structs.Customer]float64{}
	for _, c := range text.Customers {
		weights[c.Name] = c.Weight
	}
	cfg := fairqueue.Config{
		Capacity:     orDefault(text.Limits.QueuedRequests, defaultQueued),
		MaxCallers:   orDefault(text.Limits.CallersPerCustomer, defaultCallers),
		MaxCustomers: 2 * len(text.Customers), // room for those of an earlier specification
		Weight:       func(c structs.Customer) float64 { return weights[c] },
	}
	for i := range text.Services {
		if text.Services[i].Name == name {
			cfg.Kinds = kindsOf(&text.Services[i])
		}
	}
	return cfg
}

func kindsOf(declared *spec.Service) []fairqueue.Kind {
	kinds := make([]fairqueue.Kind, 0, len(declared.Kinds))
	for _, k := range declared.Kinds {
		kinds = append(kinds, fairqueue.Kind{Name: k.Name, Share: k.Share, Urgency: k.Urgency, RunTime: k.RunTime})
	}
	return kinds
}

func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

// wait queues a request until it gets a slot. A refusal means that it was removed from the queue and can never be
// dispatched.
func (s *service) wait(ctx context.Context, request *Request, deadline time.Time) (grant, *Response) {
	w := &waiter{granted: make(chan grant, 1)}
	item := &fairqueue.Item{Kind: request.Kind, Customer: request.Customer, Caller: request.Caller, Deadline: deadline, Value: w}
	if err := s.push(item); err != nil {
		response := refused(err)
		return grant{}, &response
	}
	s.dispatch()
	timer := time.NewTimer(time.Until(item.LatestStart()))
	defer timer.Stop()
	for {
		select {
		case granted := <-w.granted:
			return checked(granted)
		case <-timer.C:
			s.expire()
		case <-ctx.Done():
			return s.giveUp(ctx, item, w)
		}
	}
}

func checked(granted grant) (grant, *Response) {
	if granted.err == nil {
		return granted, nil
	}
	response := refused(granted.err)
	return grant{}, &response
}

// giveUp ends the wait of a caller that has gone.
func (s *service) giveUp(ctx context.Context, item *fairqueue.Item, w *waiter) (grant, *Response) {
	s.mu.Lock()
	removed := s.queue.Remove(item)
	s.mu.Unlock()
	if !removed {
		granted := <-w.granted
		s.returnGrant(granted)
	}
	response := notRun(errkind.Wrap(errors.Join(errNotAttempted, ctx.Err()), errkind.Deadline, remedyRetry, "caller has gone"), 0)
	return grant{}, &response
}

// returnGrant gives back a grant that is not used.
func (s *service) returnGrant(granted grant) {
	if granted.peer != "" {
		s.forwardEnded(granted.peer, false)
	}
	if granted.slot != nil {
		s.done(granted.item, minion.Result{Outcome: structs.OutcomeNotRun}, 0)
		granted.slot.Release()
	}
}

func (s *service) push(item *fairqueue.Item) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	evicted, err := s.queue.Push(item, time.Now())
	if evicted != nil {
		refuse(evicted, &fairqueue.RefusedError{Reason: fairqueue.ReasonFull})
	}
	return err
}

func refuse(item *fairqueue.Item, err error) {
	item.Value.(*waiter).granted <- grant{err: err}
}

func refuseLate(items []*fairqueue.Item) {
	for _, item := range items {
		refuse(item, &fairqueue.RefusedError{Reason: fairqueue.ReasonLate})
	}
}

// expire refuses the requests that can no longer meet their deadline.
func (s *service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	refuseLate(s.queue.Expire(time.Now()))
}

// done reports the end of a dispatched request to the queue. A run that was given up at its deadline counts with the
// time it had, so that the measured service time does not fall when runs become too slow.
func (s *service) done(item *fairqueue.Item, result minion.Result, took time.Duration) {
	if result.Outcome == structs.OutcomeNotRun {
		took = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(item, took, time.Now())
}

// dispatch grants free slots, own ones first, until there are none or nothing waits.
func (s *service) dispatch() {
	for s.dispatchOne() {
	}
}

// dispatchOne grants one slot. It returns false when nothing more can be granted.
func (s *service) dispatchOne() bool {
	s.mu.Lock()
	if s.queue.Len() == 0 {
		s.mu.Unlock()
		return false
	}
	granted := grant{slot: s.router.cfg.Pool.Acquire(s.name)}
	if granted.slot == nil {
		granted.peer = s.choosePeerLocked()
	}
	if granted.slot == nil && granted.peer == "" {
		s.mu.Unlock()
		return false
	}
	item, late := s.queue.Pop(time.Now())
	refuseLate(late)
	if item != nil {
		s.grantLocked(item, granted)
	}
	s.mu.Unlock()
	if item == nil && granted.slot != nil {
		granted.slot.Release()
	}
	return item != nil
}

func (s *service) grantLocked(item *fairqueue.Item, granted grant) {
	granted.item = item
	if granted.peer != "" {
		s.forward.begin(granted.peer, time.Now())
		s.queue.Done(item, 0, time.Now()) // it uses no slot of this instance
	}
	item.Value.(*waiter).granted <- granted
}
