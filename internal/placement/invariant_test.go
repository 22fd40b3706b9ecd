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

// TestMain fixes the number and the seed of the generated sequences: 5,200 for each of the two rack sizes.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "5200", "rapid.seed": "20260", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestInvariantGuaranteedShapeReclaimable guards against a placement, an end of a job, a change of workers or of
// guarantees after which some unused guarantee cannot be formed by preempting borrowers alone, and against refusing a
// guaranteed request that is safe. The reference is an exhaustive search.
func TestInvariantGuaranteedShapeReclaimable(t *testing.T) {
	for _, workers := range []int{6, 8} {
		t.Run(fmt.Sprintf("racks of %d", workers), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { runSequence(t, workers) })
		})
	}
}

// sequence is the state of one generated sequence.
type sequence struct {
	*rapid.T
	c       *Cluster
	racks   spec.Racks
	sizes   []int
	granted []Guarantee
	lost    []Worker
	serial  int
}

func runSequence(t *rapid.T, workers int) {
	accelerators := rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "accelerators")
	racks := rapid.IntRange(1, 2).Draw(t, "racks")
	s := &sequence{T: t}
	s.racks = spec.Racks{Count: racks, WorkersPerRack: workers, AcceleratorsPerWorker: accelerators}
	s.c = NewCluster(s.racks)
	for i := range racks * workers {
		id := structs.WorkerID(fmt.Sprintf("w%02d", i))
		s.c.SetWorker(Worker{id, structs.RackID(fmt.Sprintf("r%d", i/workers)), accelerators})
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
		s.lose()
	case 8:
		s.giveBack()
	case 9:
		s.setGuarantees()
	case 10, 11:
		s.propose()
	case 12:
		s.restart()
	default:
		s.reclaim()
	}
}

func (s *sequence) setGuarantees() {
	s.granted = nil
	for range rapid.IntRange(0, 5).Draw(s.T, "guarantees") {
		size := rapid.SampledFrom(s.sizes).Draw(s.T, "size")
		s.granted = append(s.granted, Guarantee{s.customer(), size, rapid.IntRange(1, 2).Draw(s.T, "count")})
	}
	assert.NilError(s, s.c.SetGuarantees(s.granted))
}

func (s *sequence) customer() structs.Customer {
	return structs.Customer(rapid.SampledFrom([]string{"a", "b"}).Draw(s.T, "customer"))
}

func (s *sequence) request() Request {
	s.serial++
	n := rapid.SampledFrom(s.sizes).Draw(s.T, "accelerators")
	n = max(1, n-rapid.IntRange(0, 1).Draw(s.T, "less"))
	return Request{Job: structs.JobID(fmt.Sprint("j", s.serial)), Customer: s.customer(), Accelerators: n}
}

func (s *sequence) place() {
	r := s.request()
	r.Borrow = rapid.Bool().Draw(s.T, "borrow")
	p, err := s.c.Place(r)
	if err == nil {
		assert.NilError(s, s.c.Commit(p, Attributes{}))
		return
	}
	i := s.c.ledger.smallest(r.Customer, r.Accelerators)
	if r.Borrow || i < 0 || !errkind.Is(err, errkind.Unavailable) {
		return
	}
	if size := s.c.ledger.cells[i]; size.size == r.Accelerators {
		for _, list := range candidates(s.c, size) {
			assert.Assert(s, !s.safe(r.Customer, size, list), "safe request refused: %v at %v: %v", r, list, err)
		}
	}
}

// safe searches for a packing of what is unused after a job holds the members as one cell.
func (s *sequence) safe(customer structs.Customer, size cell, list []Member) bool {
	unused := unusedGuarantees(s.c, s.granted, 0)
	unused[Guarantee{Customer: customer, Size: size.size}]--
	return s.packs(openFleet(s.c, 0).without(s.c, list), unused)
}

func (s *sequence) packs(f fleet, unused map[Guarantee]int) bool {
	return packable(s.c.geometry, f, wantedCells(s.c.geometry, unused), map[string]bool{})
}

// propose commits a guaranteed placement at a random place: it must be accepted if and only if it is safe.
func (s *sequence) propose() {
	customer := s.customer()
	i := s.c.ledger.smallest(customer, 1)
	if i < 0 || len(s.c.Missing()) > 0 {
		return
	}
	size := s.c.ledger.cells[i]
	places := candidates(s.c, size)
	if len(places) == 0 {
		return
	}
	list := rapid.SampledFrom(places).Draw(s.T, "place")
	want := s.safe(customer, size, list)
	s.serial++
	p := Placement{structs.JobID(fmt.Sprint("p", s.serial)), customer, size.size, list, nil}
	err := s.c.Commit(p, Attributes{})
	assert.Equal(s, err == nil, want, "placement %v: %v", p, err)
}

func (s *sequence) anyJob() structs.JobID {
	ids := slices.Sorted(maps.Keys(s.c.jobs))
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(s.T, "job")
}

func (s *sequence) release(id structs.JobID) {
	if id != "" {
		assert.NilError(s, s.c.Release(id))
	}
}

func (s *sequence) lose() {
	ids := slices.Sorted(maps.Keys(s.c.workers))
	if len(ids) == 0 {
		return
	}
	w := s.c.workers[rapid.SampledFrom(ids).Draw(s.T, "worker")]
	if w.lost {
		return
	}
	s.lost = append(s.lost, Worker{w.id, w.rack.id, w.count})
	jobs := s.c.LoseWorker(w.id)
	if rapid.Bool().Draw(s.T, "stop jobs") {
		for _, id := range jobs {
			s.release(id)
		}
	}
}

func (s *sequence) giveBack() {
	if len(s.lost) > 0 {
		w := s.lost[0]
		w.Accelerators -= rapid.IntRange(0, 1).Draw(s.T, "fewer")
		s.c.SetWorker(w)
		s.lost = s.lost[1:]
	}
}

// restart rebuilds the cluster from what runs, sometimes with guarantees that the running placements exceed.
func (s *sequence) restart() {
	old := s.c
	s.c = NewCluster(s.racks)
	if rapid.Bool().Draw(s.T, "change guarantees") {
		s.setGuarantees()
	}
	assert.NilError(s, s.c.SetGuarantees(s.granted))
	for _, id := range slices.Sorted(maps.Keys(old.workers)) {
		if w := old.workers[id]; !w.lost {
			s.c.SetWorker(Worker{id, w.rack.id, w.count})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(old.jobs)) {
		p, _ := old.Lookup(id)
		p.Victims = nil
		if _, err := s.c.Restore(p, Attributes{}); err != nil {
			assert.Assert(s, errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.Invalid), "%v", err)
		}
	}
}

// reclaim takes a guaranteed shape for a customer by preempting borrowers, which must always succeed.
func (s *sequence) reclaim() {
	r := s.request()
	i := s.c.ledger.smallest(r.Customer, r.Accelerators)
	if i < 0 || len(s.c.Missing()) > 0 {
		return
	}
	choices, err := s.c.Evictions(r, func(a, b []Borrower) int { return cmp.Compare(len(a), len(b)) })
	assert.NilError(s, err)
	for choice := range choices {
		p := choice.Placement()
		assert.Assert(s, borrowers(s.c, p.Victims))
		assert.NilError(s, s.c.Commit(p, Attributes{}))
		for _, id := range p.Victims {
			s.release(id)
		}
		return
	}
	s.Fatalf("no eviction for %+v with guarantees %v", r, s.granted)
}

// check compares the accounting with the exhaustive search: what is not missing can be formed, and what is cannot.
func (s *sequence) check() {
	missing := s.c.Missing()
	unused := unusedGuarantees(s.c, s.granted, 0)
	for _, j := range s.c.jobs {
		held, used := 0, 0
		for _, p := range j.held {
			held += len(member(p.worker, p.mask).Accelerators)
		}
		for _, p := range j.parts {
			used += len(member(p.worker, p.mask).Accelerators)
		}
		assert.Assert(s, j.cell < 0 || held == j.placement.CellSize && used <= held, "job %v", j.placement)
	}
	lent := 0
	for _, j := range s.c.jobs {
		if j.cell < 0 {
			lent += j.accelerators
		}
	}
	assert.Equal(s, s.c.lent[0], lent, "accelerators of borrowers")
	open := openFleet(s.c, 0)
	if len(missing) > 0 {
		least := missing[0].Size
		demoted := s.packs(openFleet(s.c, least), unusedGuarantees(s.c, s.granted, least))
		assert.Assert(s, !demoted, "reported missing, can be formed, at the latest by demoting smaller jobs: %v", missing)
	}
	for _, m := range missing {
		unused[Guarantee{Customer: m.Customer, Size: m.Size}] -= m.Count
	}
	for g, count := range unused {
		assert.Assert(s, count >= 0, "negative unused guarantee %v", g)
	}
	assert.Assert(s, s.packs(open, unused), "guarantees %v cannot be formed, missing %v", s.granted, missing)
}
