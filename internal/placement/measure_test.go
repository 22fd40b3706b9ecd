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
	fleet      = spec.Racks{Count: 3, WorkersPerRack: 8, AcceleratorsPerWorker: 8}
	epoch      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	guarantees = []placement.Guarantee{{Customer: "c0", Size: 8, Count: 4}, {Customer: "c1", Size: 64, Count: 1}}
	// mix is the sizes of jobs with their shares.
	mix = []placement.Shape{
		{Size: 1, Weight: 0.40}, {Size: 2, Weight: 0.20}, {Size: 4, Weight: 0.15}, {Size: 8, Weight: 0.15},
		{Size: 16, Weight: 0.05}, {Size: 32, Weight: 0.03}, {Size: 64, Weight: 0.02},
	}
	sizeShares = []float64{0.40, 0.20, 0.15, 0.15, 0.05, 0.03, 0.02}
	equal      = []float64{0.25, 0.25, 0.25, 0.25}
	capacity   = fleet.Count * fleet.WorkersPerRack * fleet.AcceleratorsPerWorker
	// Most jobs run for hours; the declared maximum of the specification's example is 6 h.
	median, longest = 90 * time.Minute, 6 * time.Hour
	seeds           = []uint64{1, 2, 3, 4, 5}
)

func measuring(t testing.TB) {
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

// task is a generated job with its true run time and its course.
type task struct {
	structs.Job
	actual, left time.Duration
	started      time.Time
	firstStart   time.Time
	running      bool
	attempt      int
}

// generate returns jobs in order of submission that offer a load in units of the capacity, partly in bursts, with
// declared run times off by up to 10 times either way. Every customer submits its share of the jobs.
func generate(seed uint64, count int, load float64, customers []float64) []*task {
	rng := rand.New(rand.NewPCG(seed, 7))
	tasks := make([]*task, count)
	area := 0.0
	for i := range tasks {
		size := pick(rng, sizeShares)
		actual := min(longest, time.Duration(float64(median)*math.Exp(0.7*rng.NormFloat64())))
		declared := time.Duration(float64(actual) * math.Pow(10, 2*rng.Float64()-1))
		tasks[i] = &task{actual: actual, left: actual, Job: structs.Job{
			ID:           structs.JobID(fmt.Sprintf("j%05d", i)),
			Customer:     structs.Customer(fmt.Sprintf("c%d", pick(rng, customers))),
			Accelerators: mix[size].Size, RunTime: declared,
		}}
		area += float64(mix[size].Size) * actual.Seconds()
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
			tasks[i].SubmittedAt = now
			i++
		}
	}
	return tasks
}

func pick(rng *rand.Rand, shares []float64) int {
	left, i := rng.Float64(), 0
	for left > shares[i] && i < len(shares)-1 {
		left -= shares[i]
		i++
	}
	return i
}

// end is the planned end of an attempt.
type end struct {
	at      time.Time
	task    *task
	attempt int
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, k int) bool { return e[i].at.Before(e[k].at) }
func (e ends) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// loop replays jobs against a policy.
type loop struct {
	c          *placement.Cluster
	now        time.Time
	tasks      map[structs.JobID]*task
	waiting    map[structs.JobID]*task
	ends       ends
	completion []float64 // seconds, in order of ends
	gangWait   []float64
	fragments  float64 // accelerator-free time that is unusable
	elapsed    float64
	preempted  int
	service    map[structs.Customer]float64 // accelerator-seconds
	horizon    time.Time                    // end of the replay, zero for the last job's end
}

func (l *loop) start(t *task, p placement.Placement) {
	if l.c.Commit(p, placement.Attributes{Urgency: t.Urgency, SavedAt: l.now, Checkpoints: true}) != nil {
		panic("placement refused")
	}
	if t.firstStart.IsZero() {
		t.firstStart = l.now
	}
	t.started, t.running = l.now, true
	t.attempt++
	delete(l.waiting, t.ID)
	heap.Push(&l.ends, end{l.now.Add(t.left), t, t.attempt})
}

// yield stops a victim, which keeps its work and loses 5 s for the checkpoint.
func (l *loop) yield(id structs.JobID) *task {
	t := l.tasks[id]
	l.serve(t)
	t.left -= l.now.Sub(t.started) - 5*time.Second
	t.running = false
	t.attempt++
	l.preempted++
	l.waiting[id] = t
	if l.c.Release(id) != nil {
		panic("victim is not placed")
	}
	return t
}

func (l *loop) serve(t *task) float64 {
	seconds := l.now.Sub(t.started).Seconds() * float64(t.Accelerators)
	l.service[t.Customer] += seconds
	return seconds
}

func (l *loop) advance(to time.Time) {
	seconds := to.Sub(l.now).Seconds()
	if seconds > 0 {
		l.fragments += seconds * l.c.Fragmentation(mix)
		l.elapsed += seconds
	}
	l.now = to
}

// policy decides on what waits. submit tells it of a new job.
type policy interface {
	submit(*task)
	ended(*task)
	decide(*loop)
}

func replay(c *placement.Cluster, tasks []*task, p policy, horizon time.Time) *loop {
	l := &loop{c: c, now: epoch, tasks: map[structs.JobID]*task{}, waiting: map[structs.JobID]*task{}}
	l.service, l.horizon = map[structs.Customer]float64{}, horizon
	next := 0
	for next < len(tasks) || len(l.ends) > 0 && (horizon.IsZero() || l.now.Before(horizon)) {
		if next < len(tasks) && (len(l.ends) == 0 || tasks[next].SubmittedAt.Before(l.ends[0].at)) {
			t := tasks[next]
			next++
			l.advance(t.SubmittedAt)
			l.tasks[t.ID], l.waiting[t.ID] = t, t
			p.submit(t)
		} else if e := heap.Pop(&l.ends).(end); l.finish(e) {
			p.ended(e.task)
		} else {
			continue
		}
		p.decide(l)
	}
	return l
}

func (l *loop) finish(e end) bool {
	if e.attempt != e.task.attempt || !e.task.running {
		return false
	}
	l.advance(e.at)
	e.task.running = false
	l.serve(e.task)
	if l.c.Release(e.task.ID) != nil {
		panic("job is not placed")
	}
	l.completion = append(l.completion, l.now.Sub(e.task.SubmittedAt).Seconds())
	if e.task.Accelerators == 64 {
		l.gangWait = append(l.gangWait, e.task.firstStart.Sub(e.task.SubmittedAt).Seconds())
	}
	return true
}

// naive is first-come-first-served, first-fit: the first free aligned block, or the first free workers of one rack, or
// of all. With backfill a job may pass one that does not fit.
type naive struct {
	racks    spec.Racks
	free     []uint64 // by worker
	used     map[structs.JobID][]placement.Member
	queue    []*task
	backfill bool
}

func newNaive(racks spec.Racks, backfill bool) *naive {
	n := &naive{racks: racks, used: map[structs.JobID][]placement.Member{}, backfill: backfill}
	for range racks.Count * racks.WorkersPerRack {
		n.free = append(n.free, 1<<racks.AcceleratorsPerWorker-1)
	}
	return n
}

func (n *naive) submit(t *task) { n.queue = append(n.queue, t) }

func (n *naive) ended(t *task) {
	for _, m := range n.used[t.ID] {
		n.free[n.index(m.Worker)] |= maskOf(m)
	}
	delete(n.used, t.ID)
}

func maskOf(m placement.Member) (mask uint64) {
	for _, at := range m.Accelerators {
		mask |= 1 << at
	}
	return mask
}

func (n *naive) index(id structs.WorkerID) int {
	var rack, worker int
	if _, err := fmt.Sscanf(string(id), "w%05d-%d", &rack, &worker); err != nil {
		panic(err)
	}
	return rack*n.racks.WorkersPerRack + worker
}

func (n *naive) decide(l *loop) {
	for i := 0; i < len(n.queue); {
		t := n.queue[i]
		members := n.place(t.Accelerators)
		if members == nil && !n.backfill {
			return
		}
		if members == nil {
			i++
			continue
		}
		n.take(t.ID, members)
		l.start(t, placement.Placement{Job: t.ID, Customer: t.Customer, Members: members})
		n.queue = slices.Delete(n.queue, i, i+1)
	}
}

func (n *naive) take(id structs.JobID, members []placement.Member) {
	n.used[id] = members
	for _, m := range members {
		n.free[n.index(m.Worker)] &^= maskOf(m)
	}
}

func (n *naive) place(count int) []placement.Member {
	if count > n.racks.AcceleratorsPerWorker {
		return n.gang(count / n.racks.AcceleratorsPerWorker)
	}
	for i, free := range n.free {
		for at := 0; at < n.racks.AcceleratorsPerWorker; at += count {
			if block := uint64(1<<count-1) << at; block&^free == 0 {
				return []placement.Member{n.member(i, at, count)}
			}
		}
	}
	return nil
}

func (n *naive) gang(workers int) []placement.Member {
	var all []placement.Member
	for rack := range n.racks.Count {
		var members []placement.Member
		for i := rack * n.racks.WorkersPerRack; i < (rack+1)*n.racks.WorkersPerRack; i++ {
			if n.free[i] == 1<<n.racks.AcceleratorsPerWorker-1 {
				members = append(members, n.member(i, 0, n.racks.AcceleratorsPerWorker))
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

func (n *naive) member(i, at, count int) placement.Member {
	id := fmt.Sprintf("w%05d-%d", i/n.racks.WorkersPerRack, i%n.racks.WorkersPerRack)
	m := placement.Member{Worker: structs.WorkerID(id)}
	for k := range count {
		m.Accelerators = append(m.Accelerators, at+k)
	}
	return m
}

// ours is queue, placement and preemption together.
type ours struct {
	q       *queue.Queue
	charged time.Time
}

func newOurs(customers map[structs.Customer]queue.Share) *ours {
	return &ours{q: queue.New(queue.Policy{Accelerators: capacity, Customers: customers})}
}

func (o *ours) submit(t *task) { o.q.Requeue(o.entry(t)) }

func (o *ours) entry(t *task) queue.Entry {
	entitled := t.Customer == "c0" || t.Customer == "c1"
	return queue.Entry{Job: t.Job, Guaranteed: entitled, Attained: t.actual - t.left}
}

func (o *ours) ended(*task) {}

func (o *ours) decide(l *loop) {
	o.charge(l)
	view := queue.View{Now: l.now, Entitled: l.c.Entitled, Used: l.c.Used}
	for again := 0; again < 4; again++ {
		before := l.preempted
		for _, e := range o.q.Next(view, 256) {
			o.try(l, e)
		}
		if l.preempted == before {
			return
		}
	}
}

// charge charges what customers used since the last event.
func (o *ours) charge(l *loop) {
	seconds := l.now.Sub(o.charged).Seconds()
	if !o.charged.IsZero() && seconds > 0 {
		for i := range equal {
			customer := structs.Customer(fmt.Sprintf("c%d", i))
			o.q.Charge(customer, seconds*float64(l.c.Used(customer)))
		}
	}
	o.charged = l.now
}

func (o *ours) try(l *loop, e queue.Entry) {
	t := l.tasks[e.Job.ID]
	r := placement.Request{Job: t.ID, Customer: t.Customer, Accelerators: t.Accelerators, Now: l.now}
	p, err := l.c.Place(r)
	if err != nil && l.c.Entitled(t.Customer, t.Accelerators) {
		p, err = preemption.Choose(l.c, r)
	}
	if err != nil {
		r.MayPreempt = func(id structs.JobID) bool {
			running := l.tasks[id]
			return o.q.Overtakes(o.entry(t), o.entry(running), l.now.Sub(running.started))
		}
		p, err = preemption.Choose(l.c, r)
	}
	if err == nil {
		o.q.Remove(t.ID)
		l.start(t, p)
		for _, id := range p.Victims {
			o.submit(l.yield(id))
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

// TestMeasureCompletion measures completion_time and fragmentation against first-come-first-served, first-fit.
func TestMeasureCompletion(t *testing.T) {
	measuring(t)
	const count = 4000
	var rows [3][][4]float64
	for _, seed := range seeds {
		for i := range rows {
			tasks := generate(seed, count, 0.9, equal)
			c := newFleet(fleet)
			var p policy = newNaive(fleet, i == 1)
			if i == 2 {
				assert.NilError(t, c.SetGuarantees(guarantees))
				p = newOurs(nil)
			}
			l := replay(c, tasks, p, time.Time{})
			assert.Equal(t, len(l.completion), count, "a job never ended")
			row := [4]float64{mean(l.completion), percentile(l.completion, 0.99), l.fragments / l.elapsed, mean(l.gangWait)}
			rows[i] = append(rows[i], row)
			t.Logf("seed %d policy %d: %.4g preempted %d", seed, i, row, l.preempted)
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

// TestMeasureFairness measures the weighted Jain's index of service over customers that all want more than their share,
// one of them 10 times as much as another of its weight: 1 is fair, 0.25 is all for one of four.
func TestMeasureFairness(t *testing.T) {
	measuring(t)
	shares := map[structs.Customer]queue.Share{"c0": {Weight: 1}, "c1": {Weight: 1}, "c2": {Weight: 2}, "c3": {Weight: 4}}
	var index [2]float64
	for _, seed := range seeds {
		for i := range index {
			// At 8 times the capacity: c0 wants 5, c1 0.5, c2 1 and c3 1.5; the fair parts are 1/8, 1/8, 1/4 and 1/2.
			tasks := generate(seed, 1500, 8, []float64{10. / 16, 1. / 16, 2. / 16, 3. / 16})
			var p policy = newNaive(fleet, true)
			if i == 1 {
				p = newOurs(shares)
			}
			l := replay(newFleet(fleet), tasks, p, tasks[len(tasks)-1].SubmittedAt)
			sum, squares := 0.0, 0.0
			for name, share := range shares {
				received := l.service[name] / share.Weight
				sum += received
				squares += received * received
			}
			index[i] += sum * sum / squares / float64(len(shares)) / float64(len(seeds))
			t.Logf("seed %d policy %d: %v", seed, i, l.service)
		}
	}
	report("weighted_jain", index[0], index[1], "index", seeds)
}
