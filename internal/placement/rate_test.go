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

// filledFleet is a data centre with guarantees of several sizes that was filled with small jobs, of which random ones
// have ended. Its workers have 1 to 4 accelerators, 2.33 on average, so that 4,300 workers have 10,000.
type filledFleet struct {
	cluster   *placement.Cluster
	rng       *rand.Rand
	jobs      []structs.JobID
	lastJob   int // number of the last job identifier
	gangWaits int // number of attempts to place the gang that failed
}

// newFilledFleet returns a fleet in which at least freeShare of the accelerators are free.
func newFilledFleet(tb testing.TB, workers int, freeShare float64) *filledFleet {
	f := &filledFleet{rng: rand.New(rand.NewPCG(1, 2))}
	f.cluster = placement.NewCluster(spec.Racks{Count: workers / 8, WorkersPerRack: 8, AcceleratorsPerWorker: 4})
	for i := range workers {
		f.cluster.SetWorker(placement.Worker{
			ID:           structs.WorkerID(fmt.Sprintf("w%05d", i)),
			Rack:         structs.RackID(fmt.Sprintf("r%04d", i/8)),
			Accelerators: []int{1, 4, 2, 4, 1, 2, 1, 4, 2, 4, 1, 2}[i/8%12], // all workers of a rack have the same number
		})
	}
	var guarantees []placement.Guarantee
	for i, size := range []int{1, 2, 4, 8, 16, 32} {
		name := structs.Customer(fmt.Sprint("g", i))
		guarantees = append(guarantees, placement.Guarantee{Customer: name, Size: size, Count: workers / 400})
	}
	assert.NilError(tb, f.cluster.SetGuarantees(guarantees))
	for f.cluster.Free() > 0 {
		f.startJob(tb)
	}
	for wanted := int(freeShare * float64(f.cluster.Capacity())); f.cluster.Free() < wanted; {
		f.stopJob(tb)
	}
	return f
}

// startJob places one small job. One in four belongs to a customer with guarantees; it borrows when no guaranteed cell of
// the customer is left.
func (f *filledFleet) startJob(tb testing.TB) {
	f.lastJob++
	r := placement.Request{
		Job:          structs.JobID(fmt.Sprint("j", f.lastJob)),
		Customer:     structs.Customer(fmt.Sprint("g", f.rng.IntN(24))),
		Accelerators: 1 + f.rng.IntN(2),
	}
	p, err := f.cluster.Place(r)
	if err != nil {
		r.Borrow = true
		p, err = f.cluster.Place(r)
	}
	if err != nil {
		r.Accelerators = 1
		p, err = f.cluster.Place(r)
	}
	assert.NilError(tb, err)
	assert.NilError(tb, f.cluster.Commit(p, placement.Attributes{Urgency: f.rng.IntN(50)}))
	f.jobs = append(f.jobs, r.Job)
}

func (f *filledFleet) stopJob(tb testing.TB) {
	i := f.rng.IntN(len(f.jobs))
	assert.NilError(tb, f.cluster.Release(f.jobs[i]))
	f.jobs[i] = f.jobs[len(f.jobs)-1]
	f.jobs = f.jobs[:len(f.jobs)-1]
}

// replaceOne ends a job, tries to place a gang of 128 accelerators and places another small job. It returns the
// duration of the decision on the gang.
func (f *filledFleet) replaceOne(tb testing.TB) (gang time.Duration) {
	f.stopJob(tb)
	began := time.Now()
	if _, err := f.cluster.Place(placement.Request{Job: "gang", Customer: "x", Accelerators: 128}); err != nil {
		f.gangWaits++
	}
	gang = time.Since(began)
	f.startJob(tb)
	return gang
}

// BenchmarkPlaceSmall measures a small placement with its commit and the end of another job, by number of workers.
func BenchmarkPlaceSmall(b *testing.B) {
	for _, workers := range []int{1000, 4000, 16000, 38000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFilledFleet(b, workers, 0.1)
			for b.Loop() {
				f.stopJob(b)
				f.startJob(b)
			}
		})
	}
}

// BenchmarkPreempt measures the choice of victims on a full fleet for an urgent job of 4 accelerators and for one of
// 128, by number of workers.
func BenchmarkPreempt(b *testing.B) {
	for _, n := range []int{4, 128} {
		for _, workers := range []int{1000, 4000, 16000, 38000} {
			b.Run(fmt.Sprintf("%d/%d", n, workers), func(b *testing.B) {
				f := newFilledFleet(b, workers, 0)
				r := placement.Request{Job: "urgent", Customer: "x", Accelerators: n, Urgency: structs.MaxUrgency}
				for b.Loop() {
					_, err := preemption.Choose(f.cluster, r)
					assert.NilError(b, err)
				}
			})
		}
	}
}

// TestMeasureDecisionRate measures small placements per second while a gang of 128 waits and is tried before each of
// them. The baseline is firstFit on the same number of workers.
func TestMeasureDecisionRate(t *testing.T) {
	skipUnlessMeasuring(t)
	const rounds = 20000
	f := newFilledFleet(t, 4300, 0.1)
	slowest := time.Duration(0)
	began := time.Now()
	for range rounds {
		slowest = max(slowest, f.replaceOne(t))
	}
	rate := rounds / time.Since(began).Seconds()
	naive := newFirstFit(spec.Racks{Count: 4300 / 8, WorkersPerRack: 8, AcceleratorsPerWorker: 4}, false)
	for i := range naive.free {
		naive.free[i] = 1 << (i % 10) & 0xf // one accelerator on four workers in ten
	}
	began = time.Now()
	for range rounds {
		naive.gang(32)
		naive.place(2)
	}
	report("decision_rate", rounds/time.Since(began).Seconds(), rate, "placements/s", []uint64{1})
	fmt.Printf("gang of 128: slowest of %d decisions took %v; %d times the gang had to wait\n",
		rounds, slowest, f.gangWaits)
}

// TestMeasureCancelWave measures the slowest decision while 5,000 waiting jobs are cancelled ("ours") and without
// cancellations ("naive"). Ten cancellations precede each of the 500 decisions and count towards its duration.
func TestMeasureCancelWave(t *testing.T) {
	skipUnlessMeasuring(t)
	const jobs, cancelled, decisions = 20000, 5000, 500
	var slowest [2]time.Duration
	for round := range 6 {
		f := newFilledFleet(t, 4300, 0.1)
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
			f.stopJob(t)
			e := q.Next(queue.View{Now: epoch, Entitled: f.cluster.Entitled, Used: f.cluster.Used}, 16)[0]
			p, err := f.cluster.Place(placement.Request{Job: e.Job.ID, Customer: e.Job.Customer, Accelerators: 1, Borrow: true})
			assert.NilError(t, err)
			assert.NilError(t, f.cluster.Commit(p, placement.Attributes{}))
			q.Remove(e.Job.ID)
			f.jobs = append(f.jobs, e.Job.ID)
			worst = max(worst, time.Since(began))
		}
		slowest[round%2] += worst / 3
	}
	report("cancel_wave", float64(slowest[0].Microseconds()), float64(slowest[1].Microseconds()), "us", []uint64{1})
}
