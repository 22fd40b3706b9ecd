package placement

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// TestMain fixes the number and the seed of the generated sequences: 5,200 for each of the two rack sizes of
// TestInvariantGuaranteedShapeReclaimable.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "5200", "rapid.seed": "20260", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestInvariantGuaranteedShapeReclaimable checks after each placement, end of a job, change of workers and change of
// guarantees that preempting borrowers alone frees all unused guaranteed cells that are not reported missing. It also
// guards against refusing a guaranteed request that keeps this invariant. The reference is an exhaustive search.
func TestInvariantGuaranteedShapeReclaimable(t *testing.T) {
	for _, workers := range []int{6, 8} {
		t.Run(fmt.Sprintf("racks of %d", workers), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { runSequence(t, workers) })
		})
	}
}

// sequence is the state of one generated sequence of operations on a cluster.
type sequence struct {
	*rapid.T
	cluster     *Cluster
	racks       spec.Racks
	sizes       []int // cell sizes that guarantees and requests are drawn from
	guarantees  []Guarantee
	lostWorkers []Worker // in the order of their loss
	lastJob     int      // number of the last job identifier
}

func runSequence(t *rapid.T, workers int) {
	accelerators := rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "accelerators")
	racks := rapid.IntRange(1, 2).Draw(t, "racks")
	s := &sequence{T: t}
	s.racks = spec.Racks{Count: racks, WorkersPerRack: workers, AcceleratorsPerWorker: accelerators}
	s.cluster = NewCluster(s.racks)
	for i := range racks * workers {
		id := structs.WorkerID(fmt.Sprintf("w%02d", i))
		s.cluster.SetWorker(Worker{id, structs.RackID(fmt.Sprintf("r%d", i/workers)), accelerators})
	}
	chains := map[int][]int{6: {1, 2, 6, 12}, 8: {1, 2, 4, 8, 16}}
	for size := 1; size < accelerators; size *= 2 {
		s.sizes = append(s.sizes, size)
	}
	for _, units := range chains[workers] {
		s.sizes = append(s.sizes, units*accelerators)
	}
	s.setGuarantees()
	s.check()
	for range rapid.IntRange(1, 14).Draw(t, "length") {
		s.step()
		s.check()
	}
}

func (s *sequence) step() {
	switch rapid.IntRange(0, 14).Draw(s.T, "step") {
	case 0, 1, 2, 3, 4:
		s.place()
	case 5, 6:
		s.release(s.anyJob())
	case 7:
		s.loseWorker()
	case 8:
		s.returnWorker()
	case 9:
		s.setGuarantees()
	case 10, 11:
		s.commitAnywhere()
	case 12:
		s.restart()
	default:
		s.reclaim()
	}
}

func (s *sequence) setGuarantees() {
	s.guarantees = nil
	for range rapid.IntRange(0, 5).Draw(s.T, "guarantees") {
		size := rapid.SampledFrom(s.sizes).Draw(s.T, "size")
		s.guarantees = append(s.guarantees, Guarantee{s.customer(), size, rapid.IntRange(1, 2).Draw(s.T, "count")})
	}
	assert.NilError(s, s.cluster.SetGuarantees(s.guarantees))
}

func (s *sequence) customer() structs.Customer {
	return structs.Customer(rapid.SampledFrom([]string{"a", "b"}).Draw(s.T, "customer"))
}

func (s *sequence) request() Request {
	s.lastJob++
	n := rapid.SampledFrom(s.sizes).Draw(s.T, "accelerators")
	n = max(1, n-rapid.IntRange(0, 1).Draw(s.T, "less"))
	return Request{Job: structs.JobID(fmt.Sprint("j", s.lastJob)), Customer: s.customer(), Accelerators: n}
}

func (s *sequence) place() {
	r := s.request()
	r.Borrow = rapid.Bool().Draw(s.T, "borrow")
	p, err := s.cluster.Place(r)
	if err == nil {
		assert.NilError(s, s.cluster.Commit(p, Attributes{}))
		return
	}
	i := s.cluster.guarantees.smallestUnused(r.Customer, r.Accelerators)
	if r.Borrow || i < 0 || !errkind.Is(err, errkind.Unavailable) {
		return
	}
	if size := s.cluster.guarantees.sizes[i]; size.accelerators == r.Accelerators {
		for _, list := range candidatePlaces(s.cluster, size) {
			assert.Assert(s, !s.safe(r.Customer, size, list), "safe request refused: %v at %v: %v", r, list, err)
		}
	}
}

// safe reports whether the unused guaranteed cells can still be formed after a job holds the members as one cell.
func (s *sequence) safe(customer structs.Customer, size cellSize, list []Member) bool {
	unused := unusedGuarantees(s.cluster, s.guarantees, 0)
	unused[Guarantee{Customer: customer, Size: size.accelerators}]--
	return s.packable(unreservedMasks(s.cluster, 0).without(s.cluster, list), unused)
}

func (s *sequence) packable(masks rackMasks, unused map[Guarantee]int) bool {
	return packable(s.cluster.geometry, masks, wantedCells(s.cluster.geometry, unused), map[string]bool{})
}

// commitAnywhere commits a guaranteed placement at a random place. Commit must accept it if and only if it is safe.
func (s *sequence) commitAnywhere() {
	customer := s.customer()
	i := s.cluster.guarantees.smallestUnused(customer, 1)
	if i < 0 || len(s.cluster.Missing()) > 0 {
		return
	}
	size := s.cluster.guarantees.sizes[i]
	places := candidatePlaces(s.cluster, size)
	if len(places) == 0 {
		return
	}
	list := rapid.SampledFrom(places).Draw(s.T, "place")
	want := s.safe(customer, size, list)
	s.lastJob++
	p := Placement{structs.JobID(fmt.Sprint("p", s.lastJob)), customer, size.accelerators, list, nil}
	err := s.cluster.Commit(p, Attributes{})
	assert.Equal(s, err == nil, want, "placement %v: %v", p, err)
}

func (s *sequence) anyJob() structs.JobID {
	ids := slices.Sorted(maps.Keys(s.cluster.jobs))
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(s.T, "job")
}

func (s *sequence) release(id structs.JobID) {
	if id != "" {
		assert.NilError(s, s.cluster.Release(id))
	}
}

func (s *sequence) loseWorker() {
	ids := slices.Sorted(maps.Keys(s.cluster.workers))
	if len(ids) == 0 {
		return
	}
	w := s.cluster.workers[rapid.SampledFrom(ids).Draw(s.T, "worker")]
	if w.lost {
		return
	}
	s.lostWorkers = append(s.lostWorkers, Worker{w.id, w.rack.id, w.accelerators})
	jobs := s.cluster.LoseWorker(w.id)
	if rapid.Bool().Draw(s.T, "stop jobs") {
		for _, id := range jobs {
			s.release(id)
		}
	}
}

func (s *sequence) returnWorker() {
	if len(s.lostWorkers) > 0 {
		w := s.lostWorkers[0]
		w.Accelerators -= rapid.IntRange(0, 1).Draw(s.T, "fewer")
		s.cluster.SetWorker(w)
		s.lostWorkers = s.lostWorkers[1:]
	}
}

// restart rebuilds the cluster from the running jobs, sometimes with guarantees that their cells exceed.
func (s *sequence) restart() {
	old := s.cluster
	s.cluster = NewCluster(s.racks)
	if rapid.Bool().Draw(s.T, "change guarantees") {
		s.setGuarantees()
	}
	assert.NilError(s, s.cluster.SetGuarantees(s.guarantees))
	for _, id := range slices.Sorted(maps.Keys(old.workers)) {
		if w := old.workers[id]; !w.lost {
			s.cluster.SetWorker(Worker{id, w.rack.id, w.accelerators})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(old.jobs)) {
		p, _ := old.Lookup(id)
		p.Victims = nil
		if _, err := s.cluster.Restore(p, Attributes{}); err != nil {
			assert.Assert(s, errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.Invalid), "%v", err)
		}
	}
}

// reclaim forms a guaranteed cell for a customer by preempting borrowers, which must always be possible.
func (s *sequence) reclaim() {
	r := s.request()
	i := s.cluster.guarantees.smallestUnused(r.Customer, r.Accelerators)
	if i < 0 || len(s.cluster.Missing()) > 0 {
		return
	}
	choices, err := s.cluster.Evictions(r, func(a, b []Borrower) int { return cmp.Compare(len(a), len(b)) })
	assert.NilError(s, err)
	for choice := range choices {
		p := choice.Placement()
		assert.Assert(s, allBorrow(s.cluster, p.Victims))
		assert.NilError(s, s.cluster.Commit(p, Attributes{}))
		for _, id := range p.Victims {
			s.release(id)
		}
		return
	}
	s.Fatalf("no eviction for %+v with guarantees %v", r, s.guarantees)
}

// check compares the cluster's counts with the exhaustive search: all unused cells that are not reported missing can be
// formed at once, and those reported missing cannot.
func (s *sequence) check() {
	missing := s.cluster.Missing()
	unused := unusedGuarantees(s.cluster, s.guarantees, 0)
	for _, j := range s.cluster.jobs {
		reserved, used := 0, 0
		for _, p := range j.cellParts {
			reserved += len(newMember(p.worker, p.mask).Accelerators)
		}
		for _, p := range j.parts {
			used += len(newMember(p.worker, p.mask).Accelerators)
		}
		assert.Assert(s, j.cellIndex < 0 || reserved == j.placement.CellSize && used <= reserved, "job %v", j.placement)
	}
	borrowed := 0
	for _, j := range s.cluster.jobs {
		if j.cellIndex < 0 {
			borrowed += j.accelerators
		}
	}
	assert.Equal(s, s.cluster.borrowed[0], borrowed, "accelerators of borrowers")
	unreserved := unreservedMasks(s.cluster, 0)
	if len(missing) > 0 {
		largestMissing := missing[0].Size
		demoted := s.packable(
			unreservedMasks(s.cluster, largestMissing), unusedGuarantees(s.cluster, s.guarantees, largestMissing),
		)
		assert.Assert(s, !demoted, "reported missing, but demoting jobs with smaller cells suffices: %v", missing)
	}
	for _, m := range missing {
		unused[Guarantee{Customer: m.Customer, Size: m.Size}] -= m.Count
	}
	for g, count := range unused {
		assert.Assert(s, count >= 0, "more cells of guarantee %v are missing than unused", g)
	}
	assert.Assert(s, s.packable(unreserved, unused),
		"unused cells of guarantees %v cannot be formed; reported missing: %v", s.guarantees, missing)
}
