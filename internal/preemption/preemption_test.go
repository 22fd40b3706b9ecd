package preemption

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fullCluster is one rack of 2 workers with 4 accelerators each, filled with the given borrowers in this order.
func fullCluster(t *testing.T, borrowers ...placement.Borrower) *placement.Cluster {
	c := placement.NewCluster(spec.Racks{Count: 1, WorkersPerRack: 2, AcceleratorsPerWorker: 4})
	c.SetWorker(placement.Worker{ID: "w0", Rack: "r0", Accelerators: 4})
	c.SetWorker(placement.Worker{ID: "w1", Rack: "r0", Accelerators: 4})
	assert.NilError(t, c.SetGuarantees([]placement.Guarantee{{Customer: "g", Size: 4, Count: 1}}))
	for i, b := range borrowers {
		p, err := c.Place(placement.Request{Job: b.Job, Customer: "b", Accelerators: b.Accelerators})
		assert.NilError(t, err, "borrower %d", i)
		assert.NilError(t, c.Commit(p, b.Attributes))
	}
	return c
}

func borrower(id string, n, urgency int, ran time.Duration) placement.Borrower {
	a := placement.Attributes{Urgency: urgency, SavedAt: now.Add(-ran)}
	return placement.Borrower{Job: structs.JobID(id), Accelerators: n, Attributes: a}
}

// TestChooseOrder guards against preempting more borrowers, more urgent ones or ones that lose more work than needed.
func TestChooseOrder(t *testing.T) {
	cases := map[string]struct {
		borrowers []placement.Borrower
		request   placement.Request
		want      []structs.JobID
	}{
		"fewest": {
			[]placement.Borrower{borrower("a", 2, 1, 0), borrower("b", 2, 1, 0), borrower("c", 4, 50, time.Hour)},
			placement.Request{Customer: "g", Accelerators: 4}, []structs.JobID{"c"},
		},
		"least urgent": {
			[]placement.Borrower{borrower("a", 4, 9, 0), borrower("b", 4, 1, time.Hour)},
			placement.Request{Customer: "g", Accelerators: 3}, []structs.JobID{"b"},
		},
		"least work lost": {
			[]placement.Borrower{borrower("a", 4, 1, time.Hour), borrower("b", 4, 1, time.Minute)},
			placement.Request{Customer: "g", Accelerators: 4}, []structs.JobID{"b"},
		},
		"urgent job preempts less urgent only": {
			[]placement.Borrower{borrower("a", 4, 9, 0), borrower("b", 4, 5, time.Hour)},
			placement.Request{Customer: "x", Accelerators: 1, Urgency: 9}, []structs.JobID{"b"},
		},
		"gang": {
			[]placement.Borrower{borrower("a", 4, 9, 0), borrower("b", 4, 5, time.Hour)},
			placement.Request{Customer: "x", Accelerators: 8, Urgency: 10}, []structs.JobID{"b", "a"},
		},
		"same urgency yields nothing": {
			[]placement.Borrower{borrower("a", 8, 9, 0)}, placement.Request{Customer: "x", Accelerators: 1, Urgency: 9}, nil,
		},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			c := fullCluster(t, k.borrowers...)
			k.request.Job, k.request.Now = "new", now
			p, err := Choose(c, k.request)
			assert.DeepEqual(t, p.Victims, k.want)
			assert.Equal(t, errkind.Is(err, errkind.Unavailable), k.want == nil, "%v", err)
		})
	}
}

// TestVictimKeepsAcceleratorsOfReleasedJob guards against counting accelerators as free that a victim still uses, when the
// job that it yields to is cancelled before the victim has ended, and against preempting guaranteed work.
func TestVictimKeepsAcceleratorsOfReleasedJob(t *testing.T) {
	c := fullCluster(t, borrower("a", 8, 1, 0))
	request := placement.Request{Job: "g1", Customer: "g", Accelerators: 4, Now: now}
	p, err := Choose(c, request)
	assert.NilError(t, err)
	assert.NilError(t, c.Commit(p, placement.Attributes{}))
	urgent := placement.Request{Job: "u", Customer: "x", Accelerators: 4, Urgency: structs.MaxUrgency, Now: now}
	second, err := Choose(c, urgent)
	assert.NilError(t, err)
	assert.Assert(t, second.Members[0].Worker != p.Members[0].Worker, "took the guaranteed cell: %v", second)
	assert.NilError(t, c.Release("g1"))
	assert.Equal(t, c.Free(), 0)
	assert.NilError(t, c.Release("a"))
	assert.Equal(t, c.Free(), 8, fmt.Sprint(p))
}

// TestPlaceErrorKinds guards against a job that waits although it can never run, and against one that is refused although
// it can run later.
func TestPlaceErrorKinds(t *testing.T) {
	c := fullCluster(t, borrower("a", 8, 1, 0))
	for n, kind := range map[int]errkind.Kind{0: errkind.Invalid, 8: errkind.Unavailable, 9: errkind.CannotRun} {
		_, err := c.Place(placement.Request{Job: "x", Customer: "x", Accelerators: n})
		assert.Assert(t, errkind.Is(err, kind), "%d: %v", n, err)
	}
}
