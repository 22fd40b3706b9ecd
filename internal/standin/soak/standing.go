package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/taskworker"
)

// Timings of the check for jobs that stand beside free resources.
const (
	observeInterval = 250 * time.Millisecond
	longestGap      = time.Second     // between two observations; after a longer one the machine may have been paused, and a stand is counted anew
	calmTime        = 4 * time.Second // time without faults from which on jobs may not stand (stable_ms of the platform's bounds)
	longestStand    = 3 * time.Second // for which a job may stand
	// leaseBound is the longest time from the last order to a lost worker until its tasks may run elsewhere, and ordersAfterLoss is how long
	// after the loss orders may still be sent to it. Both are those of docs/invariants.md.
	leaseBound      = 13200 * time.Millisecond
	ordersAfterLoss = 3 * time.Second
)

// observedWorker is a worker as the platform lists it.
type observedWorker struct {
	id, rack     string
	accelerators int
}

// observedJob is an accepted job that nobody has cancelled.
type observedJob struct {
	id       string
	steps    []step
	from     time.Time // its acceptance, or the end of the wait for leases on lost workers, if that is later
	anywhere bool      // any worker may run it; otherwise those that taskworker.Advises names
}

// observation is the state of all workers at one time.
type observation struct {
	at    time.Time
	state taskworker.State
}

// loss is a worker that lost its power.
type loss struct {
	back    time.Time // when the platform shows its new process, and that can be reached
	excused time.Time // until when jobs that were accepted before may wait for its leases
}

func (r *run) noteLoss(at, back time.Time) {
	lastOrder := at.Add(ordersAfterLoss)
	if back.Before(lastOrder) {
		lastOrder = back
	}
	r.losses = append(r.losses, loss{back: back, excused: lastOrder.Add(leaseBound)})
	r.extendFaults(back)
}

// observe keeps the states of the workers until ctx ends.
func (r *run) observe(ctx context.Context) {
	for ctx.Err() == nil {
		if o, err := r.readState(ctx); err == nil { // else the next one shows a gap
			r.observations = append(r.observations, o)
		}
		select {
		case <-ctx.Done():
		case <-time.After(observeInterval):
		}
	}
}

func (r *run) readState(ctx context.Context) (o observation, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.workersAddress+"/report/state", nil)
	if err != nil {
		return o, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return o, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&o.state)
	o.at = time.Now()
	return o, err
}

// findStanding applies standing to what was observed after the last fault.
func (r *run) findStanding() (found []string) {
	var workers []observedWorker
	for i := range workerCount {
		workers = append(workers, observedWorker{fmt.Sprintf("w%d", i), rackOf(i), accelerators})
	}
	var jobs []observedJob
	all := map[string][]step{}
	for id, j := range r.jobs {
		all[id] = j.steps
		if !j.accepted || j.cancelSent {
			continue
		}
		o := observedJob{id: id, steps: j.steps, from: j.acceptedAt, anywhere: queueOf(id) != advisedQueue}
		for _, l := range r.losses {
			if j.acceptedAt.Before(l.back) && l.excused.After(o.from) {
				o.from = l.excused
			}
		}
		jobs = append(jobs, o)
	}
	for _, s := range standing(workers, all, jobs, r.observations, r.faultsEnd.Add(calmTime)) {
		found = append(found, s.String())
	}
	return found
}

// stand is a time for which a job had nothing running although a task of it could run.
type stand struct {
	job, step   string
	from, until time.Time
	free, total int // accelerators of all workers, at the end
}

func (s stand) String() string {
	return fmt.Sprintf("%s has nothing running from %s to %s (%v), step %s could run, %d of %d accelerators are free",
		s.job, s.from.UTC().Format(time.RFC3339Nano), s.until.UTC().Format(time.RFC3339Nano), s.until.Sub(s.from).Round(time.Millisecond), s.step, s.free, s.total)
}

// standing returns the jobs that had nothing running in all observations of longestStand, none of which is before calm, although there was
// always a step whose turn had come and whose task, or gang, would fit twice over, and less than half of the accelerators were in use.
// The map holds the steps of all jobs, also of those that are not judged. Accelerators are the only resource that counts: the load asks for so
// little else that they run out first.
func standing(workers []observedWorker, steps map[string][]step, jobs []observedJob, observations []observation, calm time.Time) (found []stand) {
	stands := map[string]*stand{}
	end := func(job string) {
		if s := stands[job]; s != nil && s.until.Sub(s.from) >= longestStand {
			found = append(found, *s)
		}
		delete(stands, job)
	}
	var previous observation
	for _, o := range observations {
		room := roomOf(workers, steps, o.state)
		for _, j := range jobs {
			if previous.state.Starts[j.id] != o.state.Starts[j.id] || o.at.Sub(previous.at) > longestGap {
				end(j.id) // a task may have run between the two
			}
			idle, isIdle := "", false
			if !o.at.Before(calm) && !o.at.Before(j.from) && 2*room.used < room.total && !room.running[j.id] {
				idle, isIdle = room.idleStep(j, o.state)
			}
			if !isIdle {
				end(j.id)
				continue
			}
			if stands[j.id] == nil {
				stands[j.id] = &stand{job: j.id, from: o.at}
			}
			s := stands[j.id]
			s.step, s.until, s.free, s.total = idle, o.at, room.total-room.used, room.total
		}
		previous = o
	}
	for _, j := range jobs {
		end(j.id)
	}
	slices.SortFunc(found, func(a, b stand) int {
		if order := a.from.Compare(b.from); order != 0 {
			return order
		}
		return strings.Compare(a.job, b.job)
	})
	return found
}

// room is what is free on the workers in one observation.
type room struct {
	workers     []observedWorker
	free        map[string]int  // accelerators, by worker
	used, total int             // accelerators of all workers
	running     map[string]bool // jobs with a task that runs
}

func roomOf(workers []observedWorker, steps map[string][]step, s taskworker.State) room {
	r := room{workers: workers, free: map[string]int{}, running: map[string]bool{}}
	for _, w := range workers {
		r.total += w.accelerators
		r.free[w.id] = w.accelerators
		for _, task := range s.Running[w.id] {
			job, number := splitTask(task)
			r.running[job] = true
			if number < len(steps[job]) {
				r.used += steps[job][number].accelerators
				r.free[w.id] -= steps[job][number].accelerators
			}
		}
	}
	return r
}

// splitTask returns the job and the step of a task, whose name is JOB.OCCURRENCE.STEP.INDEX.
func splitTask(task string) (job string, number int) {
	parts := strings.Split(task, ".")
	if len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &number) // the stand-in starts only tasks of submitted jobs
	}
	return parts[0], number
}

// idleStep returns a step of a job with nothing running whose turn has come and which would fit twice over.
func (r room) idleStep(j observedJob, s taskworker.State) (name string, found bool) {
	completed := func(i int) bool {
		done := s.Done[stepName(j.id, i)]
		return done >= j.steps[i].count || j.steps[i].gang && done > 0 // one end of a gang counts for all
	}
	for i, st := range j.steps {
		if !completed(i) && !slices.ContainsFunc(st.after, func(before int) bool { return !completed(before) }) && r.fitsTwice(j, st) {
			return stepName(j.id, i), true
		}
	}
	return "", false
}

func stepName(job string, i int) string { return fmt.Sprintf("%s.0.%d", job, i) }

// fitsTwice reports whether two tasks of a step, or two gangs of its size, would fit beside what runs.
func (r room) fitsTwice(j observedJob, st step) bool {
	all, byRack := 0, map[string]int{} // number of tasks that fit
	for _, w := range r.workers {
		if j.anywhere || taskworker.Advises(j.id, w.id) {
			n := max(r.free[w.id], 0) / st.accelerators
			all += n
			byRack[w.rack] += n
		}
	}
	if !st.gang {
		return all >= 2
	}
	if !st.sameRack {
		return all >= 2*st.count
	}
	gangs := 0
	for _, n := range byRack {
		gangs += n / st.count
	}
	return gangs >= 2
}
