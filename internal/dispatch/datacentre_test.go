package dispatch

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/catalog"
	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// evacuationHarness is a harness with a worker in each of two data centres and a limit of 5 s on evacuations.
type evacuationHarness struct {
	*harness
	evacuations catalog.Evacuations
	viewAge     atomic.Int64 // of the operator's records, in nanoseconds
	east, west  *worker
}

// playEvacuation lets a test act on a scheduler in virtual time.
func playEvacuation(t *testing.T, test func(*evacuationHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &evacuationHarness{harness: newHarness(t, newMemoryLedger(), newMemoryLedger())}
		h.adopt(h.harness)
		test(h)
		synctest.Wait()
	})
}

// adopt gives a scheduler the harness's evacuations, and adds the workers.
func (h *evacuationHarness) adopt(next *harness) {
	h.harness = next
	c := &h.scheduler.config
	c.Evacuations, c.OperatorView, c.Bounds.Evacuation = &h.evacuations, func() time.Duration { return time.Duration(h.viewAge.Load()) }, 5*time.Second
	h.east, h.west = h.addWorkerIn("east", "e1", "re", 8), h.addWorkerIn("west", "w1", "rw", 8)
}

// settle makes a pass and waits until its orders are answered. Earlier records are durable before the pass, as tests let minutes go by.
func (h *evacuationHarness) settle() {
	h.runs.flush()
	h.pass()
	synctest.Wait()
}

// fill runs n single tasks of one accelerator on whichever workers have room.
func (h *evacuationHarness) fill(job, n int) {
	h.submit(singleStepJob(job, stepOf(n)))
	h.settle()
}

// planned makes a pass without making its records durable, so that no order is sent yet.
func (h *evacuationHarness) planned(j *workload.Job) {
	h.submit(j)
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	h.scheduler.pass(time.Now())
}

// spreadGang returns a gang of which one task runs on each of n workers.
func spreadGang(job, n int) *workload.Job {
	step := stepOf(n)
	step.Gang, step.MaxPerWorker = true, 1
	return singleStepJob(job, step)
}

// count returns the number of members on a worker.
func (h *evacuationHarness) count(w *worker) int { return len(h.runsOn(w)) }

// Guards against starts in an evacuated data centre by any kind of work, against work that waits for it, and against running tasks that are
// stopped, lose their leases or do not count because of it.
func TestNoTaskStartsInAnEvacuatedDataCentre(t *testing.T) {
	playEvacuation(t, func(h *evacuationHarness) {
		h.fill(1, 16)
		h.evacuations.Set("east", true)
		h.endAll(h.west)
		data, gang, probe := stepOf(1), spreadGang(3, 2), singleStepJob(4, stepOf(1))
		data.DataRack = "re"
		probe.QueueSettings.Priority = 0
		h.quarantine(h.east)
		time.Sleep(time.Minute) // the quarantine permits a probe
		h.answer(h.east, h.west)
		for _, j := range []*workload.Job{singleStepJob(2, data), gang, probe} {
			h.submit(j)
		}
		h.settle()
		assert.Equal(t, h.count(h.west), 2, "the task with data in the east, and the urgent one, do not wait")
		assert.Equal(t, h.count(h.east), 8)
		assert.Equal(t, h.fleet.stopped(), 0)
		assert.Assert(t, h.nextHeartbeat(h.east).LeaseEnd > 0)
		h.endAll(h.east)
		h.settle()
		assert.Equal(t, h.state(singleStepJob(1, stepOf(1)).ID).String(), "completed", "all its tasks count")
		assert.Equal(t, h.count(h.east), 0)
		h.evacuations.Replace(nil)
		h.settle()
		assert.Equal(t, h.count(h.east)+h.count(h.west), 4, "the gang starts")
	})
}

// evacuatedAfter says that all data centres are evacuated from the n-th question on.
type evacuatedAfter struct{ n atomic.Int64 }

func (e *evacuatedAfter) Evacuated(string) bool { return e.n.Add(-1) < 0 }

// Guards against an order that is sent, or a gang that starts in part, although the evacuation came while the run was being recorded, or
// directly before the order, or the view became too old in that time.
func TestRunsThatAreRecordedAreNotStartedAfterAnEvacuation(t *testing.T) {
	for name, change := range map[string]func(*evacuationHarness){
		"recorded": func(h *evacuationHarness) { h.evacuations.Set("east", true) },
		"old view": func(h *evacuationHarness) { h.viewAge.Store(int64(maxOperatorView + time.Millisecond)) },
		"between check and order": func(h *evacuationHarness) {
			e := &evacuatedAfter{}
			e.n.Store(2) // one question for each member directly after the record
			h.scheduler.config.Evacuations = e
		},
	} {
		t.Run(name, func(t *testing.T) {
			playEvacuation(t, func(h *evacuationHarness) {
				h.planned(spreadGang(1, 2))
				assert.Equal(t, h.count(h.east)+h.count(h.west), 2)
				change(h)
				h.runs.flush()
				synctest.Wait()
				assert.Equal(t, h.fleet.started(), 0)
				assert.Equal(t, h.count(h.east)+h.count(h.west), 0, "the gang waits again")
				h.scheduler.config.Evacuations = &h.evacuations
				h.viewAge.Store(0)
				h.evacuations.Set("east", true)
				h.addWorkerIn("west", "w2", "rw", 8)
				h.settle()
				assert.Equal(t, h.fleet.started(), 2)
			})
		})
	}
}

// Guards against a start that is repeated in an evacuated data centre because the first order was not answered.
func TestUnansweredStartIsWithdrawnByAnEvacuation(t *testing.T) {
	playEvacuation(t, func(h *evacuationHarness) {
		h.fleet.startError = func(StartOrder) error {
			h.evacuations.Set("east", true)
			return errNoAnswer
		}
		data := stepOf(1)
		data.DataRack = "re"
		h.submit(singleStepJob(2, data))
		h.settle()
		assert.Equal(t, h.fleet.started(), 1)
		assert.Equal(t, h.fleet.stopped(), 1)
	})
}

// Guards against starts on a view of the operator's records that an evacuation may have made obsolete, or by orders that arrive late, against preemptions for work that may
// not start then, and against limits where the platform sets none.
func TestStartsNeedARecentViewOfTheOperatorsRecords(t *testing.T) {
	for _, c := range []struct {
		evacuation, age time.Duration
		starts          int
		expiry          int64 // of the order, on the worker's clock
	}{
		{0, time.Hour, 1, 11_000}, {5 * time.Second, 3 * time.Second, 1, 2800}, {5 * time.Second, 3001 * time.Millisecond, 0, 5800},
		{4 * time.Second, 2500 * time.Millisecond, 1, 2300}, {4 * time.Second, 2501 * time.Millisecond, 0, 4800},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			playEvacuation(t, func(h *evacuationHarness) {
				h.fill(1, 8)
				h.scheduler.config.Bounds.Evacuation = c.evacuation
				h.viewAge.Store(int64(c.age))
				urgent := singleStepJob(2, stepOf(1))
				urgent.QueueSettings.Priority, urgent.Steps[0].Resources.Accelerators = 0, 8
				h.submit(urgent)
				h.settle()
				h.settle()
				assert.Equal(t, h.scheduler.jobs[urgent.ID].occurrences[0].steps[0].units[0].run, c.starts, "runs are recorded in vain")
				assert.Equal(t, h.fleet.started(), 8+c.starts)
				assert.Equal(t, h.fleet.stopped(), 0)
				h.viewAge.Store(0)
				h.settle()
				assert.Equal(t, h.fleet.started(), 9)
				assert.Equal(t, h.fleet.starts[8].LeaseEnd, c.expiry)
			})
		})
	}
}

// Guards against a unit that waits for workers in an evacuated data centre which are kept for it, by a reservation or a preemption, and
// against a guarantee that is not reclaimed while the data centre with most of the capacity is evacuated.
func TestWorkersKeptForAUnitAreReleasedByAnEvacuation(t *testing.T) {
	playEvacuation(t, func(h *evacuationHarness) {
		for i := range 3 {
			h.addWorkerIn("east", fmt.Sprintf("e%d", i+2), "re", 8)
		}
		h.fill(1, 40)
		guaranteed := singleStepJob(2, stepOf(1))
		guaranteed.QueueSettings.Priority, guaranteed.Steps[0].Resources.Accelerators = 0, 8
		h.submit(guaranteed)
		h.settle()
		u := h.scheduler.jobs[guaranteed.ID].occurrences[0].steps[0].units[0]
		assert.Equal(t, u.preemptedWorkers[0].info.DataCentre, "east")
		h.evacuations.Set("east", true)
		h.settle()
		assert.Equal(t, u.preemptedWorkers[0], h.west)
		assert.Equal(t, h.stopsOrdered(h.west), 8)

		h.evacuations.Set("east", false)
		for i := range 4 { // so that the limit on reservations allows one without the east, too
			w := h.addWorkerIn("west", fmt.Sprintf("w%d", i+2), "rw", 8)
			h.fill(10+i, 8)
			h.answer(w)
		}
		gang := singleStepJob(3, stepOf(1))
		gang.Steps[0].Resources.Accelerators, gang.Steps[0].Gang = 8, true
		h.submit(gang)
		h.settle()
		g := h.scheduler.jobs[gang.ID].occurrences[0].steps[0].units[0]
		assert.Equal(t, g.reservedWorkers[0].info.DataCentre, "east")
		h.evacuations.Set("east", true)
		h.settle()
		for _, w := range g.reservedWorkers {
			assert.Equal(t, w.info.DataCentre, "west")
		}
	})
}

// Guards against a step that waits for the advisor's answer about workers on which it may not start, or that is set back as if the advisor
// had failed.
func TestQueryAboutAnEvacuatedDataCentreIsWithdrawn(t *testing.T) {
	playEvacuation(t, func(h *evacuationHarness) {
		advisor := newSimAdvisor(time.Millisecond, 0, time.Minute)
		first := true
		advisor.fails = func(StepName) bool { defer func() { first = false }(); return first }
		h.scheduler.config.Advisor = advisor
		j := advised(singleStepJob(1, stepOf(1)))
		h.submit(j)
		h.settle()
		h.evacuations.Set("east", true)
		h.settle()
		h.settle()
		time.Sleep(2 * time.Millisecond) // the answer of the second query
		h.settle()
		assert.DeepEqual(t, advisor.named, [][]string{{"e1", "w1"}, {"w1"}})
		assert.Equal(t, h.count(h.west), 1)
		assert.Equal(t, h.scheduler.jobs[j.ID].occurrences[0].steps[0].advice.failures, 0)
	})
}

// Guards against a successor that sends the orders of a holder that was killed after it had recorded runs in a data centre that is evacuated
// now, or that leaves their work unplaced.
func TestSuccessorStartsNothingInAnEvacuatedDataCentre(t *testing.T) {
	playEvacuation(t, func(h *evacuationHarness) {
		data := stepOf(2)
		data.DataRack = "re"
		h.planned(singleStepJob(1, data))
		h.runs.waiting[0].done, h.runs.waiting[1].done = nil, nil // the holder is killed before it learns that they are durable
		h.runs.flush()
		h.evacuations.Set("east", true)
		h.adopt(h.nextTerm()) // the workers report that they have no runs
		h.settle()
		assert.Equal(t, h.count(h.east), 0)
		assert.Equal(t, h.count(h.west), 2)
		assert.Equal(t, h.fleet.started(), 2)
		assert.Equal(t, h.fleet.starts[0].Run, 2, "the recorded run counts as lost")
	})
}

// Guards against work that is given up on workers that are slow after their data centre is taken back, and against evacuations that neither
// the log nor the metrics show.
func TestSlowWorkersOfADataCentreThatIsTakenBackAreUsed(t *testing.T) {
	playEvacuation(t, func(h *evacuationHarness) {
		h.evacuations.Set("east", true)
		h.fill(1, 7)
		assert.Equal(t, h.count(h.east), 0)
		assert.Equal(t, h.metrics.Snapshot().Gauges()["dispatch_evacuated_workers+"].Value(), 1.0)
		h.evacuations.Set("east", false)
		h.fill(2, 8)
		assert.Equal(t, h.count(h.east), 7)
		for i := range 21 { // 2 s of work take 8 s
			time.Sleep(400 * time.Millisecond)
			h.report(h.east, HeartbeatReport{Running: withPercent(h.runsOn(h.east), 5*i)})
			h.report(h.west, HeartbeatReport{Running: withPercent(h.runsOn(h.west), 5*i)})
			h.tickAt(time.Now())
		}
		assert.Equal(t, h.fleet.stopped(), 0)
		h.endAll(h.east)
		h.endAll(h.west)
		assert.Equal(t, h.state(singleStepJob(2, stepOf(1)).ID).String(), "completed")
		records, _ := h.scheduler.config.Events.Since(0)
		var names []string
		for _, r := range records {
			if strings.HasPrefix(r.Name, "evacuation") {
				names = append(names, r.Name+" "+r.Fields["data_centre"])
			}
		}
		assert.DeepEqual(t, names, []string{"evacuation in force east", "evacuation over east"})
	})
}
