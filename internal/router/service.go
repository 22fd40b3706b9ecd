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

// Limits of a queue for which the specification sets none.
const (
	defaultQueued  = 4096
	defaultCallers = 1000
)

// service holds the request queue of one service and tracks the requests that are sent from it.
type service struct {
	router  *Router
	name    structs.ServiceName
	budget  retryBudget
	metrics serviceMetrics

	mu       sync.Mutex
	queue    *fairqueue.Queue
	text     *spec.Text // the specification that the queue was configured from
	forwards forwardTracker
}

type serviceMetrics struct {
	outcomes map[structs.Outcome]tally.Counter
	retries  tally.Counter
	forwards tally.Counter
}

// waiter is the value of a queued item. It receives the grant that ends the wait.
type waiter struct{ granted chan grant }

// grant is the result of waiting in the queue: a slot of this instance, a peer with a free slot, or a rejection in err.
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
		router:   r,
		name:     name,
		metrics:  serviceMetrics{outcomes: outcomes, retries: scope.Counter("retries"), forwards: scope.Counter("forwards")},
		queue:    fairqueue.New(fairqueue.Config{}),
		forwards: newForwardTracker(),
	}
}

func (s *service) countOutcome(response Response) { s.metrics.outcomes[response.Outcome].Inc(1) }

func (s *service) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// refresh reconfigures the queue when the specification has changed.
func (s *service) refresh(text *spec.Text) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if text != nil && text != s.text {
		s.text = text
		s.queue.Configure(queueConfig(text, s.name))
		s.queue.SetSlots(s.router.cfg.Pool.Slots(s.name))
	}
}

// resize passes the current number of slots to the queue, which divides them among the kinds.
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
		MaxCustomers: 2 * len(text.Customers), // leaves room for customers of an earlier specification
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

// wait queues a request until it is granted a slot. A non-nil response means that the request was removed from the queue
// and will never be dispatched.
func (s *service) wait(ctx context.Context, request *Request, deadline time.Time) (grant, *Response) {
	w := &waiter{granted: make(chan grant, 1)}
	item := &fairqueue.Item{Kind: request.Kind, Customer: request.Customer, Caller: request.Caller, Deadline: deadline, Value: w}
	if err := s.push(item); err != nil {
		response := queueRefusal(err)
		return grant{}, &response
	}
	s.dispatch()
	timer := time.NewTimer(time.Until(item.LatestStart()))
	defer timer.Stop()
	for {
		select {
		case granted := <-w.granted:
			return grantOrRefusal(granted)
		case <-timer.C:
			s.expire()
		case <-ctx.Done():
			return s.cancelWait(ctx, item, w)
		}
	}
}

// grantOrRefusal returns the grant, or the response for a request that the queue rejected.
func grantOrRefusal(granted grant) (grant, *Response) {
	if granted.err == nil {
		return granted, nil
	}
	response := queueRefusal(granted.err)
	return grant{}, &response
}

// cancelWait removes a request whose caller has cancelled it from the queue.
func (s *service) cancelWait(ctx context.Context, item *fairqueue.Item, w *waiter) (grant, *Response) {
	s.mu.Lock()
	removed := s.queue.Remove(item)
	s.mu.Unlock()
	if !removed {
		granted := <-w.granted
		s.returnGrant(granted)
	}
	response := notRun(errkind.Wrap(errors.Join(errNotAttempted, ctx.Err()), errkind.Deadline, remedyRetry, "caller cancelled the request"), 0)
	return grant{}, &response
}

// returnGrant releases a grant that is not used.
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

// expire rejects queued requests that can no longer meet their deadline.
func (s *service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	refuseLate(s.queue.Expire(time.Now()))
}

// done reports the end of a dispatched request to the queue. A run that was abandoned at its deadline counts with the time
// until then, so that the measured service time does not fall when runs become too slow.
func (s *service) done(item *fairqueue.Item, result minion.Result, took time.Duration) {
	if result.Outcome == structs.OutcomeNotRun {
		took = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(item, took, time.Now())
}

// dispatch grants free slots, those of this instance first, until no slot is free or the queue is empty.
func (s *service) dispatch() {
	for s.dispatchOne() {
	}
}

// dispatchOne grants one slot. It returns false when it granted none.
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

// grantLocked grants a slot or a peer to a dequeued request. s.mu is held.
func (s *service) grantLocked(item *fairqueue.Item, granted grant) {
	granted.item = item
	if granted.peer != "" {
		s.forwards.begin(granted.peer, time.Now())
		s.queue.Done(item, 0, time.Now()) // a forwarded request uses no slot of this instance
	}
	item.Value.(*waiter).granted <- granted
}
