package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// finishLimit is how long after the end of the traffic the platform expects accepted work to have ended.
const finishLimit = 14 * time.Second

// advisedPlay is a fleet of workers with 8 accelerators, a scheduler and the advice service in virtual time.
type advisedPlay struct {
	advisor   *simAdvisor
	fleet     *simFleet
	scheduler *Scheduler
	ended     map[string]time.Time // when each completed job ended
	jobs      *simLedger
}

// playAdvised runs the scheduler with an advice service in virtual time while the test acts.
func playAdvised(t *testing.T, workers int, advisor func() *simAdvisor, test func(*advisedPlay)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // lets the goroutines that send orders and queries end
		}()
		p := &advisedPlay{advisor: advisor(), fleet: newSimFleet(1), ended: map[string]time.Time{}}
		p.fleet.advisor = p.advisor
		var current catalog.Current
		current.Advance((&catalog.Catalog{Version: 1}).Build())
		p.jobs = newSimLedger(ctx, p.noteOutcome)
		p.scheduler = New(ctx, Config{
			Fleet: p.fleet, Advisor: p.advisor, Jobs: p.jobs, Runs: newSimLedger(ctx, nil), Term: &fakeTerm{}, Token: 1, Catalog: &current,
			Events: event.Discard(), Metrics: tally.NoopScope, Now: time.Now, Bounds: Bounds{Lease: simLease, Stop: 200 * time.Millisecond, StatusRetention: 2 * time.Minute},
		})
		p.scheduler.Recover(nil)
		go p.scheduler.Run(ctx)
		go confirmLists(ctx, p.scheduler)
		for i := range workers {
			p.addWorker(i)
		}
		time.Sleep(time.Second)
		test(p)
	})
}

func (p *advisedPlay) addWorker(i int) {
	info := WorkerInfo{
		ID: workerName(i), Address: workerName(i) + ":1", Service: "render", DataCentre: "d0", Rack: "r0", Labels: []string{"a"},
		Capacity: workload.Resources{CPU: 128_000, MemoryMB: 262_144, Accelerators: 8},
	}
	p.fleet.add(info)
	p.scheduler.Observe(info)
}

func workerName(i int) string { return fmt.Sprintf("w%02d", i) }

// submit hands in a job whose tasks run for the given time.
func (p *advisedPlay) submit(j *workload.Job, runTime time.Duration) {
	p.fleet.mu.Lock()
	p.fleet.jobs[j.ID] = &simJob{spec: j, runTimes: []time.Duration{runTime}}
	p.fleet.mu.Unlock()
	p.scheduler.Load(ledger.Entry{ID: j.ID, Submission: j})
}

// noteOutcome is called with the lock of the ledger that keeps the jobs' outcomes, one call at a time.
func (p *advisedPlay) noteOutcome(put pendingPut) {
	for _, record := range put.records {
		if e, err := ledger.DecodeEntry(record); err == nil && e.Outcome != nil && e.Outcome.State == ledger.Completed {
			p.fleet.mu.Lock()
			p.ended[e.ID] = time.Now()
			p.fleet.mu.Unlock()
		}
	}
}

func (p *advisedPlay) completed() int {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return len(p.ended)
}

func (p *advisedPlay) refusedTickets() int {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.refusedTickets
}

// wholeWorker returns a job of one task that needs a whole worker.
func wholeWorker(n int) *workload.Job {
	step := stepOf(1)
	step.Resources.Accelerators = 8
	return singleStepJob(n, step)
}

// Guards against queries that wait for each other at the advice service for longer than its tickets are valid: after a burst of jobs
// no ticket could be used any more, and no job of the queue started.
func TestBurstOnAnAdvisedQueueIsServed(t *testing.T) {
	const jobs = 26
	playAdvised(t, 8, func() *simAdvisor { return newSimAdvisor(200*time.Millisecond, 10*time.Millisecond, 3*time.Second) }, func(p *advisedPlay) {
		for n := range jobs {
			p.submit(advised(wholeWorker(n)), 1500*time.Millisecond)
		}
		time.Sleep(finishLimit)
		assert.Equal(t, p.completed(), jobs)
		assert.Equal(t, p.refusedTickets(), 0)
	})
}

// Guards against a step that is never started since the advisor takes longer than its tickets are valid, or longer than the first
// query may take.
func TestTicketsOfASlowAdvisorAreUsed(t *testing.T) {
	for _, known := range []bool{true, false} {
		playAdvised(t, 2, func() *simAdvisor { return newSimAdvisor(3500*time.Millisecond, 10*time.Millisecond, 3*time.Second) }, func(p *advisedPlay) {
			j := advised(wholeWorker(1))
			if known {
				j.QueueSettings.AdviceDecision, j.QueueSettings.AdvicePerWorker = p.advisor.decision, p.advisor.perWorker
			}
			p.submit(j, time.Second)
			time.Sleep(finishLimit)
			assert.Equal(t, p.completed(), 1)
			assert.Equal(t, p.refusedTickets(), 0)
		})
	}
}

// Guards against urgent work that waits at the advisor behind queries for other work.
func TestMostUrgentStepIsAskedAboutNext(t *testing.T) {
	playAdvised(t, 4, func() *simAdvisor { return newSimAdvisor(300*time.Millisecond, 0, 3*time.Second) }, func(p *advisedPlay) {
		for n := range 6 {
			p.submit(advised(wholeWorker(n)), time.Minute)
		}
		time.Sleep(100 * time.Millisecond)
		urgentJob := advised(wholeWorker(100))
		urgentJob.QueueSettings.Priority = 0
		p.submit(urgentJob, time.Second)
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, p.advisor.queries(), 2)
		assert.Equal(t, p.advisor.asked[1].Job, urgentJob.ID)
	})
}

// Guards against a step whose queries are never answered and that keeps the advisor from all other steps.
func TestStepWithoutAnswersLetsOtherStepsGoFirst(t *testing.T) {
	playAdvised(t, 4, func() *simAdvisor {
		a := newSimAdvisor(200*time.Millisecond, 10*time.Millisecond, 3*time.Second)
		a.fails = func(step StepName) bool { return step.Job == wholeWorker(0).ID }
		return a
	}, func(p *advisedPlay) {
		for n := range 9 {
			j := advised(wholeWorker(n))
			if n == 0 {
				j.QueueSettings.Priority = 0
			}
			p.submit(j, time.Second)
		}
		time.Sleep(finishLimit)
		assert.Equal(t, p.completed(), 8)
	})
}

// Guards against work that loses each free worker to less urgent work while it waits for the worker's ticket.
func TestLessUrgentWorkDoesNotTakeWorkersThatAwaitTickets(t *testing.T) {
	playAdvised(t, 1, func() *simAdvisor { return newSimAdvisor(300*time.Millisecond, 0, 3*time.Second) }, func(p *advisedPlay) {
		p.submit(wholeWorker(1), 8*time.Second)
		time.Sleep(time.Second)
		first := advised(wholeWorker(2))
		p.submit(first, time.Second) // its ticket expires while the worker is taken
		for n := range 4 {
			later := wholeWorker(3 + n)
			later.QueueSettings.Priority = 2
			p.submit(later, 2*time.Second)
		}
		time.Sleep(finishLimit + 8*time.Second)
		assert.Equal(t, p.completed(), 6)
		assert.Equal(t, p.refusedTickets(), 0)
		p.fleet.mu.Lock()
		defer p.fleet.mu.Unlock()
		for id, at := range p.ended {
			assert.Assert(t, id == first.ID || id == wholeWorker(1).ID || at.After(p.ended[first.ID]), "job %s ended first", id)
		}
	})
}

// Guards against a step that does not find the few workers which the advisor approves among many, and against one that is started on
// others.
func TestAdvisorIsAskedUntilApprovedWorkersAreFound(t *testing.T) {
	playAdvised(t, 70, func() *simAdvisor {
		a := newSimAdvisor(100*time.Millisecond, 10*time.Millisecond, 3*time.Second)
		a.approves = func(_ StepName, worker string) bool { return worker == workerName(65) }
		return a
	}, func(p *advisedPlay) {
		p.submit(advised(wholeWorker(1)), time.Second)
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, p.completed(), 1)
		assert.Equal(t, p.advisor.queries(), 3)
	})
}

// Guards against tasks of a step that are started one by one, each after a query of its own, when several workers become free at once.
func TestTicketsOfAllFreeWorkersAreRenewedTogether(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	advisor := newSimAdvisor(0, 0, time.Minute)
	h.scheduler.config.Advisor = advisor
	const tasks = 6
	for i := range tasks {
		h.addWorker(workerName(i), "r1", 8)
	}
	wide := advised(wholeWorker(1))
	wide.Steps[0].Count = tasks
	h.submit(wide)
	h.pass()
	h.awaitAdvice(wide)
	a := &h.scheduler.jobs[wide.ID].occurrences[0].steps[0].advice
	for id := range a.tickets {
		a.tickets[id] = ticket{} // expired while the workers were taken
	}
	h.pass()
	h.awaitAdvice(wide)
	h.pass()
	awaitStarts(t, h.fleet, tasks)
	assert.Equal(t, advisor.queries(), 2)
}

// awaitAdvice waits until the query for the job's first step is answered.
func (h *harness) awaitAdvice(j *workload.Job) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		h.scheduler.mu.Lock()
		defer h.scheduler.mu.Unlock()
		if h.scheduler.jobs[j.ID].occurrences[0].steps[0].advice.named != nil {
			return poll.Continue("the query is not answered")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// Guards against advised work of any kind that does not end: gangs, many tasks, several priorities beside work without advice, on
// workers of which the advisor approves some.
func TestAdvisedWorkOfAllKindsEnds(t *testing.T) {
	for seed := range uint64(6) {
		random := rand.New(rand.NewPCG(seed, 1))
		playAdvised(t, 12, func() *simAdvisor {
			a := newSimAdvisor(100*time.Millisecond, 5*time.Millisecond, 3*time.Second)
			a.approves = func(step StepName, worker string) bool {
				return worker[len(worker)-1]%2 == step.Job[len(step.Job)-1]%2
			}
			return a
		}, func(p *advisedPlay) {
			const jobs = 40
			for n := range jobs {
				step := stepOf(1 + random.IntN(6))
				step.Gang = random.IntN(2) == 0
				step.Resources.Accelerators = int64(1 + random.IntN(8))
				j := singleStepJob(n, step)
				j.QueueSettings.Priority = random.IntN(3)
				if random.IntN(3) > 0 {
					j = advised(j)
				}
				p.submit(j, time.Duration(500+random.IntN(3000))*time.Millisecond)
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}
			time.Sleep(90 * time.Second)
			assert.Equal(t, p.completed(), jobs, "seed %d", seed)
			assert.Equal(t, p.refusedTickets(), 0, "seed %d", seed)
			p.advisor.mu.Lock()
			defer p.advisor.mu.Unlock()
			assert.Equal(t, p.advisor.mostWaiting, 1, "seed %d", seed)
			for _, workers := range p.advisor.named {
				sorted := slices.Compact(slices.Sorted(slices.Values(workers)))
				assert.Assert(t, len(workers) > 0 && len(sorted) == len(workers) && len(workers) <= MaxWorkersPerQuery)
			}
		})
	}
}

// Guards against tickets that are used after they have expired: an answer about some workers does not renew the tickets of others, and
// a worker's new process does not accept those of the one before.
func TestTicketsExpireByWorker(t *testing.T) {
	var a advice
	start := time.Now()
	one, two := &worker{info: WorkerInfo{ID: "w1"}}, &worker{info: WorkerInfo{ID: "w2"}}
	a.store([]string{"w1", "w2"}, map[string]string{"w1": "t1", "w2": "t2"}, 3*time.Second, start, start.Add(200*time.Millisecond))
	a.store([]string{"w2"}, map[string]string{"w2": "t3"}, 3*time.Second, start.Add(2*time.Second), start.Add(2200*time.Millisecond))
	later := start.Add(2800 * time.Millisecond)
	assert.Assert(t, !a.hasTicket(one, later))
	assert.Assert(t, a.approves(one))
	assert.Assert(t, a.hasTicket(two, later))
	assert.Assert(t, a.ticketExpired(one, start.Add(3*time.Second)))

	a.dropTicket(two, "t2") // refused after it was renewed
	assert.Assert(t, a.hasTicket(two, later))
	two.processSeenAt = start.Add(2500 * time.Millisecond)
	assert.Assert(t, !a.hasTicket(two, later))
	assert.Assert(t, a.ticketExpired(two, later))
}

// Guards against workers that are asked about again and again although the advisor does not approve them, or never again although
// their process is a new one.
func TestAdvisorsDecisionHoldsForAProcess(t *testing.T) {
	var a advice
	now := time.Now()
	w := &worker{info: WorkerInfo{ID: "w1"}}
	assert.Assert(t, a.isUnknown(w))
	a.store([]string{"w1"}, map[string]string{"w1": "t1", "w2": "not asked for"}, 3*time.Second, now, now)
	assert.Assert(t, a.approves(w) && !a.isUnknown(w))
	assert.Equal(t, len(a.tickets), 1)
	a.store([]string{"w1"}, nil, 3*time.Second, now.Add(time.Second), now.Add(time.Second))
	assert.Assert(t, !a.approves(w) && !a.isUnknown(w))
	w.processSeenAt = now.Add(2 * time.Second)
	assert.Assert(t, a.isUnknown(w))
}

// Guards against tickets that are valid for so short a time that the margin for the order's way would leave nothing of it.
func TestShortTicketsAreUsable(t *testing.T) {
	var a advice
	now := time.Now()
	a.store([]string{"w1"}, map[string]string{"w1": "t1"}, 300*time.Millisecond, now, now.Add(10*time.Millisecond))
	assert.Assert(t, a.hasTicket(&worker{info: WorkerInfo{ID: "w1"}}, now.Add(100*time.Millisecond)))
}

// Guards against an order whose ticket has expired while the run was being recorded.
func TestOrderIsNotSentWithAnExpiredTicket(t *testing.T) {
	h := newHarness(t, newMemoryLedger(), newMemoryLedger())
	advisor := &scriptedAdvisor{allowed: "w1", asked: make(chan []string, 10)}
	h.scheduler.config.Advisor = advisor
	w := h.addWorker("w1", "r1", 8)
	j := advised(singleStepJob(1, stepOf(1)))
	h.submit(j)
	awaitCount(t, func() int {
		h.scheduler.mu.Lock()
		defer h.scheduler.mu.Unlock()
		h.scheduler.pass(time.Now())
		return len(w.members)
	}, 1, "members")
	st := h.scheduler.jobs[j.ID].occurrences[0].steps[0]
	h.scheduler.mu.Lock()
	st.advice.tickets["w1"] = ticket{text: "ticket", issuedAt: time.Now(), expires: time.Now()}
	h.scheduler.mu.Unlock()
	h.runs.flush()
	assert.Equal(t, h.fleet.started(), 0)
	assert.Equal(t, len(w.members), 0)
	awaitCount(t, func() int { h.pass(); return h.fleet.started() }, 1, "starts")
	assert.Equal(t, len(advisor.asked), 2)
}
