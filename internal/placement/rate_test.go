package placement_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/preemption"
	"dogwoodnotch.example/dogwoodnotch/internal/queue"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// filled is a data centre of workers with 1 to 4 accelerators (2.33 on average: 10,000 for 4,300 workers), filled
// with small jobs of which random ones have ended, with guarantees of several sizes.
type filled struct {
	c       *placement.Cluster
	rng     *rand.Rand
	jobs    []structs.JobID
	serial  int
	refused int // decisions that the gang must wait
}

func fill(tb testing.TB, workers int, left float64) *filled {
	f := &filled{rng: rand.New(rand.NewPCG(1, 2))}
	f.c = placement.NewCluster(spec.Racks{Count: workers / 8, WorkersPerRack: 8, AcceleratorsPerWorker: 4})
	for i := range workers {
		f.c.SetWorker(placement.Worker{
			ID:           structs.WorkerID(fmt.Sprintf("w%05d", i)),
			Rack:         structs.RackID(fmt.Sprintf("r%04d", i/8)),
			Accelerators: []int{1, 4, 2, 4, 1, 2, 1, 4, 2, 4, 1, 2}[i/8%12], // one model of worker to a rack
		})
	}
	var guarantees []placement.Guarantee
	for i, size := range []int{1, 2, 4, 8, 16, 32} {
		name := structs.Customer(fmt.Sprint("g", i))
		guarantees = append(guarantees, placement.Guarantee{Customer: name, Size: size, Count: workers / 400})
	}
	assert.NilError(tb, f.c.SetGuarantees(guarantees))
	for f.c.Free() > 0 {
		f.start(tb)
	}
	for rest := int(left * float64(f.c.Capacity())); f.c.Free() < rest; {
		f.stop(tb)
	}
	return f
}

// start places one small job, one in eight of them guaranteed.
func (f *filled) start(tb testing.TB) {
	f.serial++
	r := placement.Request{
		Job:          structs.JobID(fmt.Sprint("j", f.serial)),
		Customer:     structs.Customer(fmt.Sprint("g", f.rng.IntN(24))),
		Accelerators: 1 + f.rng.IntN(2),
	}
	p, err := f.c.Place(r)
	if err != nil {
		r.Borrow = true
		p, err = f.c.Place(r)
	}
	if err != nil {
		r.Accelerators = 1
		p, err = f.c.Place(r)
	}
	assert.NilError(tb, err)
	assert.NilError(tb, f.c.Commit(p, placement.Attributes{Urgency: f.rng.IntN(50)}))
	f.jobs = append(f.jobs, r.Job)
}

func (f *filled) stop(tb testing.TB) {
	i := f.rng.IntN(len(f.jobs))
	assert.NilError(tb, f.c.Release(f.jobs[i]))
	f.jobs[i] = f.jobs[len(f.jobs)-1]
	f.jobs = f.jobs[:len(f.jobs)-1]
}

// replaceOne ends a job, tries a gang of 128 and places another small job.
func (f *filled) replaceOne(tb testing.TB) (gang time.Duration) {
	f.stop(tb)
	began := time.Now()
	if _, err := f.c.Place(placement.Request{Job: "gang", Customer: "x", Accelerators: 128}); err != nil {
		f.refused++
	}
	gang = time.Since(began)
	f.start(tb)
	return gang
}

// BenchmarkPlaceSmall is the cost of a small placement with its commit and the end of another job, by number of workers.
func BenchmarkPlaceSmall(b *testing.B) {
	for _, workers := range []int{1000, 4000, 16000, 38000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := fill(b, workers, 0.1)
			for b.Loop() {
				f.stop(b)
				f.start(b)
			}
		})
	}
}

// BenchmarkPreempt is the cost of choosing victims on a fully borrowed fleet for an urgent job of 4 and for a gang of 128, by number of workers.
func BenchmarkPreempt(b *testing.B) {
	for _, n := range []int{4, 128} {
		for _, workers := range []int{1000, 4000, 16000, 38000} {
			b.Run(fmt.Sprintf("%d/%d", n, workers), func(b *testing.B) {
				f := fill(b, workers, 0)
				r := placement.Request{Job: "urgent", Customer: "x", Accelerators: n, Urgency: structs.MaxUrgency}
				for b.Loop() {
					_, err := preemption.Choose(f.c, r)
					assert.NilError(b, err)
				}
			})
		}
	}
}

// TestMeasureDecisionRate measures small placements per second beside a waiting gang of 128. Naive is the scan of
// first-fit over the same number of workers.
func TestMeasureDecisionRate(t *testing.T) {
	measuring(t)
	const rounds = 20000
	f := fill(t, 4300, 0.1)
	slowest := time.Duration(0)
	began := time.Now()
	for range rounds {
		slowest = max(slowest, f.replaceOne(t))
	}
	rate := rounds / time.Since(began).Seconds()
	n := newNaive(spec.Racks{Count: 4300 / 8, WorkersPerRack: 8, AcceleratorsPerWorker: 4}, false)
	for i := range n.free {
		n.free[i] = 1 << (i % 10) & 0xf // one accelerator on four workers in ten
	}
	began = time.Now()
	for range rounds {
		n.gang(32)
		n.place(2)
	}
	report("decision_rate", rounds/time.Since(began).Seconds(), rate, "placements/s", []uint64{1})
	fmt.Printf("gang of 128: slowest of %d decisions %v, %d of them to wait\n", rounds, slowest, f.refused)
}

// TestMeasureCancelWave measures the slowest decision while 5,000 waiting jobs are cancelled (ours) beside the one
// without the wave (naive). Ten cancellations precede each of 500 decisions and count towards it.
func TestMeasureCancelWave(t *testing.T) {
	measuring(t)
	const jobs, cancelled, decisions = 20000, 5000, 500
	var slowest [2]time.Duration
	for round := range 6 {
		f := fill(t, 4300, 0.1)
		q := queue.New(queue.Policy{Accelerators: 10000})
		for i := range jobs {
			id := structs.JobID(fmt.Sprint("q", i))
			q.Requeue(queue.Entry{Job: structs.Job{ID: id, Customer: structs.Customer(fmt.Sprint("g", i%24)), Accelerators: 1 + i%2,
				RunTime: time.Duration(i) * time.Second, SubmittedAt: epoch}})
		}
		runtime.GC()
		worst := time.Duration(0)
		for i := range decisions {
			began := time.Now()
			for k := range cancelled / decisions * (round % 2) {
				q.Remove(structs.JobID(fmt.Sprint("q", i*10+k)))
			}
			f.stop(t)
			e := q.Next(queue.View{Now: epoch, Entitled: f.c.Entitled, Used: f.c.Used}, 16)[0]
			p, err := f.c.Place(placement.Request{Job: e.Job.ID, Customer: e.Job.Customer, Accelerators: 1, Borrow: true})
			assert.NilError(t, err)
			assert.NilError(t, f.c.Commit(p, placement.Attributes{}))
			q.Remove(e.Job.ID)
			f.jobs = append(f.jobs, e.Job.ID)
			worst = max(worst, time.Since(began))
		}
		slowest[round%2] += worst / 3
	}
	report("cancel_wave", float64(slowest[0].Microseconds()), float64(slowest[1].Microseconds()), "us", []uint64{1})
}
