package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// maxQueuedQueries is the number of queries that may wait at the advice service.
const maxQueuedQueries = 32

var errSimAdvisorDown = errors.New("the advice service does not answer")

// simAdvisor simulates the advice service in virtual time. It handles one query at a time, in the order of arrival, and its tickets
// are valid from the answer on.
type simAdvisor struct {
	decision, perWorker, validity time.Duration
	approves                      func(step StepName, worker string) bool // nil approves every worker
	fails                         func(step StepName) bool                // nil answers every query; such queries get no answer

	mu          sync.Mutex
	waiting     int // queries without an answer
	mostWaiting int
	turn        chan struct{} // holds a value while no query is handled
	valid       map[string]time.Time
	asked       []StepName
	named       [][]string // the workers of each query in asked
}

func newSimAdvisor(decision, perWorker, validity time.Duration) *simAdvisor {
	a := &simAdvisor{decision: decision, perWorker: perWorker, validity: validity, turn: make(chan struct{}, 1), valid: map[string]time.Time{}}
	a.turn <- struct{}{}
	return a
}

// Ask implements Advisor.
func (a *simAdvisor) Ask(ctx context.Context, step StepName, workers []string) (map[string]string, time.Duration, error) {
	a.mu.Lock()
	a.asked, a.named = append(a.asked, step), append(a.named, workers)
	if a.waiting >= maxQueuedQueries {
		a.mu.Unlock()
		return nil, 0, ErrAdvisorBusy
	}
	a.waiting++
	a.mostWaiting = max(a.mostWaiting, a.waiting)
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.waiting--
		a.mu.Unlock()
	}()
	if a.fails != nil && a.fails(step) {
		<-ctx.Done()
		return nil, 0, errSimAdvisorDown
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-a.turn:
	}
	defer func() { a.turn <- struct{}{} }()
	time.Sleep(a.decision + time.Duration(len(workers))*a.perWorker)
	a.mu.Lock()
	defer a.mu.Unlock()
	tickets := map[string]string{}
	for _, id := range workers {
		if a.approves == nil || a.approves(step, id) {
			ticket := fmt.Sprintf("%s.%d.%d %s %d", step.Job, step.Occurrence, step.Step, id, len(a.valid))
			tickets[id] = ticket
			a.valid[ticket] = time.Now().Add(a.validity)
		}
	}
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	return tickets, a.validity, nil
}

// accepts reports whether a worker accepts the ticket of an order.
func (a *simAdvisor) accepts(ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.valid[ticket])
}

func (a *simAdvisor) queries() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.asked)
}

// advised returns a job on a queue with advice.
func advised(j *workload.Job) *workload.Job {
	j.QueueSettings.Advised = true
	return j
}
