package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/preemption"
	"dogwoodnotch.example/dogwoodnotch/internal/queue"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

var (
	fleetRacks = spec.Racks{Count: 3, WorkersPerRack: 8, AcceleratorsPerWorker: 8}
	epoch      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	guarantees = []placement.Guarantee{{Customer: "c0", Size: 8, Count: 4}, {Customer: "c1", Size: 64, Count: 1}}
	// demand holds the sizes of the simulated jobs with their shares.
	demand = []placement.JobSize{
		{Size: 1, Weight: 0.40}, {Size: 2, Weight: 0.20}, {Size: 4, Weight: 0.15}, {Size: 8, Weight: 0.15},
		{Size: 16, Weight: 0.05}, {Size: 32, Weight: 0.03}, {Size: 64, Weight: 0.02},
	}
	sizeShares  = []float64{0.40, 0.20, 0.15, 0.15, 0.05, 0.03, 0.02}
	equalShares = []float64{0.25, 0.25, 0.25, 0.25}
	capacity    = fleetRacks.Count * fleetRacks.WorkersPerRack * fleetRacks.AcceleratorsPerWorker
	// Typical jobs run for hours; the example in the specification declares a maximum of 6 h.
	medianRunTime, maxRunTime = 90 * time.Minute, 6 * time.Hour
	seeds                     = []uint64{1, 2, 3, 4, 5}
)

func skipUnlessMeasuring(t testing.TB) {
	if os.Getenv("DOGWOODNOTCH_MEASURE") != "1" {
		t.Skip("set DOGWOODNOTCH_MEASURE=1 to measure")
	}
}

func report(name string, naive, ours float64, unit string, seeds any) {
	fmt.Printf("measure name=%s naive=%.4g ours=%.4g ratio=%.3f unit=%s seeds=%v\n", name, naive, ours, ours/naive, unit, seeds)
}

func newFleet(racks spec.Racks) *placement.Cluster {
	c := placement.NewCluster(racks)
	for r := range racks.Count {
		for w := range racks.WorkersPerRack {
			c.SetWorker(placement.Worker{
				ID:           structs.WorkerID(fmt.Sprintf("w%05d-%d", r, w)),
				Rack:         structs.RackID(fmt.Sprintf("r%05d", r)),
				Accelerators: racks.AcceleratorsPerWorker,
			})
		}
	}
	return c
}

// simulatedJob is a generated job with its actual run time and its progress.
type simulatedJob struct {
	structs.Job
	actualRunTime, remaining time.Duration
	startedAt                time.Time
	firstStartAt             time.Time
	running                  bool
	attempt                  int
}

// generate returns jobs in the order of submission that offer the given load, in multiples of the capacity. Some arrive
// in bursts, and declared run times are up to 10 times too long or too short. customers holds the customers' shares of
// the jobs.
func generate(seed uint64, count int, load float64, customers []float64) []*simulatedJob {
	rng := rand.New(rand.NewPCG(seed, 7))
	jobs := make([]*simulatedJob, count)
	area := 0.0
	for i := range jobs {
		size := pick(rng, sizeShares)
		actual := min(maxRunTime, time.Duration(float64(medianRunTime)*math.Exp(0.7*rng.NormFloat64())))
		declared := time.Duration(float64(actual) * math.Pow(10, 2*rng.Float64()-1))
		jobs[i] = &simulatedJob{actualRunTime: actual, remaining: actual, Job: structs.Job{
			ID:           structs.JobID(fmt.Sprintf("j%05d", i)),
			Customer:     structs.Customer(fmt.Sprintf("c%d", pick(rng, customers))),
			Accelerators: demand[size].Size, RunTime: declared,
		}}
		area += float64(demand[size].Size) * actual.Seconds()
	}
	gap := area / float64(count) / (load * float64(capacity))
	now := epoch
	for i := 0; i < count; {
		burst := 1
		if rng.Float64() < 0.1 {
			burst = 10
		}
		now = now.Add(time.Duration(float64(burst) * gap * rng.ExpFloat64() * float64(time.Second)))
		for ; burst > 0 && i < count; burst-- {
			jobs[i].SubmittedAt = now
			i++
		}
	}
	return jobs
}

// pick returns a random index with the given probabilities.
func pick(rng *rand.Rand, shares []float64) int {
	left, i := rng.Float64(), 0
	for left > shares[i] && i < len(shares)-1 {
		left -= shares[i]
		i++
	}
	return i
}

// plannedEnd is the time when an attempt ends unless the job is preempted.
type plannedEnd struct {
	at      time.Time
	job     *simulatedJob
	attempt int
}

type endHeap []plannedEnd

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, k int) bool { return e[i].at.Before(e[k].at) }
func (e endHeap) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *endHeap) Push(x any)        { *e = append(*e, x.(plannedEnd)) }
func (e *endHeap) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// simulation runs generated jobs under a policy in simulated time.
type simulation struct {
	cluster         *placement.Cluster
	now             time.Time
	jobs            map[structs.JobID]*simulatedJob
	waiting         map[structs.JobID]*simulatedJob
	plannedEnds     endHeap
	completionTimes []float64                    // seconds, in order of ends
	gangWaits       []float64                    // seconds that gangs of 64 waited for their first start
	fragmentation   float64                      // integral of Cluster.Fragmentation over time, in seconds
	elapsed         float64                      // seconds
	preempted       int                          // number of preemptions
	serviceTime     map[structs.Customer]float64 // accelerator-seconds
	horizon         time.Time                    // end of the simulation, zero to run until all jobs have ended
}

func (sim *simulation) start(j *simulatedJob, p placement.Placement) {
	if sim.cluster.Commit(p, placement.Attributes{Urgency: j.Urgency, SavedAt: sim.now, Checkpoints: true}) != nil {
		panic("placement refused")
	}
	if j.firstStartAt.IsZero() {
		j.firstStartAt = sim.now
	}
	j.startedAt, j.running = sim.now, true
	j.attempt++
	delete(sim.waiting, j.ID)
	heap.Push(&sim.plannedEnds, plannedEnd{sim.now.Add(j.remaining), j, j.attempt})
}

// preempt stops a victim, which writes a checkpoint: it keeps its progress but takes 5 s longer.
func (sim *simulation) preempt(id structs.JobID) *simulatedJob {
	j := sim.jobs[id]
	sim.addService(j)
	j.remaining -= sim.now.Sub(j.startedAt) - 5*time.Second
	j.running = false
	j.attempt++
	sim.preempted++
	sim.waiting[id] = j
	if sim.cluster.Release(id) != nil {
		panic("victim is not placed")
	}
	return j
}

func (sim *simulation) addService(j *simulatedJob) float64 {
	seconds := sim.now.Sub(j.startedAt).Seconds() * float64(j.Accelerators)
	sim.serviceTime[j.Customer] += seconds
	return seconds
}

func (sim *simulation) advance(to time.Time) {
	seconds := to.Sub(sim.now).Seconds()
	if seconds > 0 {
		sim.fragmentation += seconds * sim.cluster.Fragmentation(demand)
		sim.elapsed += seconds
	}
	sim.now = to
}

// policy decides which waiting jobs start. submit and ended tell it of new jobs and of jobs that have ended.
type policy interface {
	submit(*simulatedJob)
	ended(*simulatedJob)
	decide(*simulation)
}

func simulate(c *placement.Cluster, jobs []*simulatedJob, p policy, horizon time.Time) *simulation {
	sim := &simulation{
		cluster: c, now: epoch,
		jobs: map[structs.JobID]*simulatedJob{}, waiting: map[structs.JobID]*simulatedJob{},
	}
	sim.serviceTime, sim.horizon = map[structs.Customer]float64{}, horizon
	next := 0
	for next < len(jobs) || len(sim.plannedEnds) > 0 && (horizon.IsZero() || sim.now.Before(horizon)) {
		if next < len(jobs) && (len(sim.plannedEnds) == 0 || jobs[next].SubmittedAt.Before(sim.plannedEnds[0].at)) {
			j := jobs[next]
			next++
			sim.advance(j.SubmittedAt)
			sim.jobs[j.ID], sim.waiting[j.ID] = j, j
			p.submit(j)
		} else if e := heap.Pop(&sim.plannedEnds).(plannedEnd); sim.finish(e) {
			p.ended(e.job)
		} else {
			continue
		}
		p.decide(sim)
	}
	return sim
}

// finish ends an attempt. It returns false when the attempt was preempted before.
func (sim *simulation) finish(e plannedEnd) bool {
	if e.attempt != e.job.attempt || !e.job.running {
		return false
	}
	sim.advance(e.at)
	e.job.running = false
	sim.addService(e.job)
	if sim.cluster.Release(e.job.ID) != nil {
		panic("job is not placed")
	}
	sim.completionTimes = append(sim.completionTimes, sim.now.Sub(e.job.SubmittedAt).Seconds())
	if e.job.Accelerators == 64 {
		sim.gangWaits = append(sim.gangWaits, e.job.firstStartAt.Sub(e.job.SubmittedAt).Seconds())
	}
	return true
}

// firstFit is the baseline policy: first-come, first-served and first-fit. It takes the first free aligned block, or
// the first free workers of one rack, or those of all racks. With backfill a job may overtake one that does not fit.
type firstFit struct {
	racks    spec.Racks
	free     []uint64 // by worker
	used     map[structs.JobID][]placement.Member
	queue    []*simulatedJob
	backfill bool
}

func newFirstFit(racks spec.Racks, backfill bool) *firstFit {
	f := &firstFit{racks: racks, used: map[structs.JobID][]placement.Member{}, backfill: backfill}
	for range racks.Count * racks.WorkersPerRack {
		f.free = append(f.free, 1<<racks.AcceleratorsPerWorker-1)
	}
	return f
}

func (f *firstFit) submit(j *simulatedJob) { f.queue = append(f.queue, j) }

func (f *firstFit) ended(j *simulatedJob) {
	for _, m := range f.used[j.ID] {
		f.free[f.index(m.Worker)] |= maskOf(m)
	}
	delete(f.used, j.ID)
}

func maskOf(m placement.Member) (mask uint64) {
	for _, at := range m.Accelerators {
		mask |= 1 << at
	}
	return mask
}

func (f *firstFit) index(id structs.WorkerID) int {
	var rack, worker int
	if _, err := fmt.Sscanf(string(id), "w%05d-%d", &rack, &worker); err != nil {
		panic(err)
	}
	return rack*f.racks.WorkersPerRack + worker
}

func (f *firstFit) decide(sim *simulation) {
	for i := 0; i < len(f.queue); {
		j := f.queue[i]
		members := f.place(j.Accelerators)
		if members == nil && !f.backfill {
			return
		}
		if members == nil {
			i++
			continue
		}
		f.take(j.ID, members)
		sim.start(j, placement.Placement{Job: j.ID, Customer: j.Customer, Members: members})
		f.queue = slices.Delete(f.queue, i, i+1)
	}
}

func (f *firstFit) take(id structs.JobID, members []placement.Member) {
	f.used[id] = members
	for _, m := range members {
		f.free[f.index(m.Worker)] &^= maskOf(m)
	}
}

func (f *firstFit) place(count int) []placement.Member {
	if count > f.racks.AcceleratorsPerWorker {
		return f.gang(count / f.racks.AcceleratorsPerWorker)
	}
	for i, free := range f.free {
		for at := 0; at < f.racks.AcceleratorsPerWorker; at += count {
			if block := uint64(1<<count-1) << at; block&^free == 0 {
				return []placement.Member{f.member(i, at, count)}
			}
		}
	}
	return nil
}

func (f *firstFit) gang(workers int) []placement.Member {
	var all []placement.Member
	for rack := range f.racks.Count {
		var members []placement.Member
		for i := rack * f.racks.WorkersPerRack; i < (rack+1)*f.racks.WorkersPerRack; i++ {
			if f.free[i] == 1<<f.racks.AcceleratorsPerWorker-1 {
				members = append(members, f.member(i, 0, f.racks.AcceleratorsPerWorker))
			}
		}
		if len(members) >= workers {
			return members[:workers]
		}
		all = append(all, members...)
	}
	if len(all) >= workers {
		return all[:workers]
	}
	return nil
}

func (f *firstFit) member(i, at, count int) placement.Member {
	id := fmt.Sprintf("w%05d-%d", i/f.racks.WorkersPerRack, i%f.racks.WorkersPerRack)
	m := placement.Member{Worker: structs.WorkerID(id)}
	for k := range count {
		m.Accelerators = append(m.Accelerators, at+k)
	}
	return m
}

// fullScheduler is the policy under test: queue, placement and preemption together.
type fullScheduler struct {
	queue        *queue.Queue
	chargedUntil time.Time
}

func newFullScheduler(customers map[structs.Customer]queue.Share) *fullScheduler {
	return &fullScheduler{queue: queue.New(queue.Policy{Accelerators: capacity, Customers: customers})}
}

func (s *fullScheduler) submit(j *simulatedJob) { s.queue.Requeue(s.entry(j)) }

func (s *fullScheduler) entry(j *simulatedJob) queue.Entry {
	entitled := j.Customer == "c0" || j.Customer == "c1"
	return queue.Entry{Job: j.Job, Guaranteed: entitled, Attained: j.actualRunTime - j.remaining}
}

func (s *fullScheduler) ended(*simulatedJob) {}

func (s *fullScheduler) decide(sim *simulation) {
	s.charge(sim)
	view := queue.View{Now: sim.now, Entitled: sim.cluster.Entitled, Used: sim.cluster.Used}
	for again := 0; again < 4; again++ {
		before := sim.preempted
		for _, e := range s.queue.Next(view, 256) {
			s.try(sim, e)
		}
		if sim.preempted == before {
			return
		}
	}
}

// charge charges customers for the accelerator time since the last event.
func (s *fullScheduler) charge(sim *simulation) {
	seconds := sim.now.Sub(s.chargedUntil).Seconds()
	if !s.chargedUntil.IsZero() && seconds > 0 {
		for i := range equalShares {
			customer := structs.Customer(fmt.Sprintf("c%d", i))
			s.queue.Charge(customer, seconds*float64(sim.cluster.Used(customer)))
		}
	}
	s.chargedUntil = sim.now
}

func (s *fullScheduler) try(sim *simulation, e queue.Entry) {
	j := sim.jobs[e.Job.ID]
	r := placement.Request{Job: j.ID, Customer: j.Customer, Accelerators: j.Accelerators, Now: sim.now}
	p, err := sim.cluster.Place(r)
	if err != nil && sim.cluster.Entitled(j.Customer, j.Accelerators) {
		p, err = preemption.Choose(sim.cluster, r)
	}
	if err != nil {
		r.MayPreempt = func(id structs.JobID) bool {
			running := sim.jobs[id]
			return s.queue.Overtakes(s.entry(j), s.entry(running), sim.now.Sub(running.startedAt))
		}
		p, err = preemption.Choose(sim.cluster, r)
	}
	if err == nil {
		s.queue.Remove(j.ID)
		sim.start(j, p)
		for _, id := range p.Victims {
			s.submit(sim.preempt(id))
		}
		return
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func percentile(values []float64, p float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(p*float64(len(sorted)-1))]
}

// TestMeasureCompletion measures completion times, fragmentation and waits of gangs against firstFit, without and with
// backfill.
func TestMeasureCompletion(t *testing.T) {
	skipUnlessMeasuring(t)
	const count = 4000
	var rows [3][][4]float64
	for _, seed := range seeds {
		for i := range rows {
			jobs := generate(seed, count, 0.9, equalShares)
			c := newFleet(fleetRacks)
			var p policy = newFirstFit(fleetRacks, i == 1)
			if i == 2 {
				assert.NilError(t, c.SetGuarantees(guarantees))
				p = newFullScheduler(nil)
			}
			sim := simulate(c, jobs, p, time.Time{})
			assert.Equal(t, len(sim.completionTimes), count, "a job never ended")
			row := [4]float64{
				mean(sim.completionTimes), percentile(sim.completionTimes, 0.99),
				sim.fragmentation / sim.elapsed, mean(sim.gangWaits),
			}
			rows[i] = append(rows[i], row)
			t.Logf("seed %d policy %d: %.4g preempted %d", seed, i, row, sim.preempted)
		}
	}
	for k, name := range []string{"completion_time_mean", "completion_time_p99", "fragmentation", "gang_64_wait"} {
		column := func(i int) float64 {
			sum := 0.0
			for _, row := range rows[i] {
				sum += row[k]
			}
			return sum / float64(len(seeds))
		}
		report(name, column(0), column(2), []string{"s", "s", "share", "s"}[k], seeds)
		report(name+"_backfilled", column(1), column(2), []string{"s", "s", "share", "s"}[k], seeds)
	}
}

// TestMeasureFairness measures the weighted Jain's index of accelerator time over four customers in an overload, of
// which one offers 10 times as much as another of the same weight. The index is 1 when the service is fair and 0.25
// when one customer gets everything.
func TestMeasureFairness(t *testing.T) {
	skipUnlessMeasuring(t)
	shares := map[structs.Customer]queue.Share{"c0": {Weight: 1}, "c1": {Weight: 1}, "c2": {Weight: 2}, "c3": {Weight: 4}}
	var index [2]float64
	for _, seed := range seeds {
		for i := range index {
			// At 8 times the capacity c0 offers 5, c1 0.5, c2 1 and c3 1.5 times the capacity; the fair shares are 1/8,
			// 1/8, 1/4 and 1/2.
			jobs := generate(seed, 1500, 8, []float64{10. / 16, 1. / 16, 2. / 16, 3. / 16})
			var p policy = newFirstFit(fleetRacks, true)
			if i == 1 {
				p = newFullScheduler(shares)
			}
			sim := simulate(newFleet(fleetRacks), jobs, p, jobs[len(jobs)-1].SubmittedAt)
			sum, squares := 0.0, 0.0
			for name, share := range shares {
				received := sim.serviceTime[name] / share.Weight
				sum += received
				squares += received * received
			}
			index[i] += sum * sum / squares / float64(len(shares)) / float64(len(seeds))
			t.Logf("seed %d policy %d: %v", seed, i, sim.serviceTime)
		}
	}
	report("weighted_jain", index[0], index[1], "index", seeds)
}
