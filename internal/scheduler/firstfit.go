package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// urgentFrom is the urgency from which first fit lets a job preempt less urgent ones.
const urgentFrom = 80

// firstFit is the thin default Placer: the first free accelerators in order of rack and worker. It knows no
// guarantees, so every job borrows.
type firstFit struct {
	workers []*fitWorker // in order of rack and id
	byID    map[structs.WorkerID]*fitWorker
	jobs    map[structs.JobID]fitJob
}

type fitWorker struct {
	placement.Worker
	lost  bool
	owner []structs.JobID
}

type fitJob struct {
	request   Request
	placement placement.Placement
}

func newFirstFit() *firstFit {
	return &firstFit{byID: map[structs.WorkerID]*fitWorker{}, jobs: map[structs.JobID]fitJob{}}
}

// SetWorker implements Placer.
func (f *firstFit) SetWorker(w placement.Worker) {
	known := f.byID[w.ID]
	if known != nil && known.Accelerators == w.Accelerators {
		known.lost = false
		return
	}
	f.workers = slices.DeleteFunc(f.workers, func(old *fitWorker) bool { return old.ID == w.ID })
	added := &fitWorker{Worker: w, owner: make([]structs.JobID, w.Accelerators)}
	f.byID[w.ID] = added
	at, _ := slices.BinarySearchFunc(f.workers, added, compareFit)
	f.workers = slices.Insert(f.workers, at, added)
}

func compareFit(a, b *fitWorker) int {
	return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
}

// LoseWorker implements Placer.
func (f *firstFit) LoseWorker(id structs.WorkerID) {
	if w := f.byID[id]; w != nil {
		w.lost = true
	}
}

// Place implements Placer.
func (f *firstFit) Place(r Request) (placement.Placement, error) {
	if members := f.choose(r, func(owner structs.JobID) bool { return owner == "" }); members != nil {
		return placement.Placement{Job: r.Job, Customer: r.Customer, Members: members}, nil
	}
	if r.Urgency >= urgentFrom {
		members := f.choose(r, func(owner structs.JobID) bool { return owner == "" || f.jobs[owner].request.Urgency < r.Urgency })
		if members != nil {
			return placement.Placement{Job: r.Job, Customer: r.Customer, Members: members, Victims: f.victims(members)}, nil
		}
	}
	return placement.Placement{}, f.refusal(r)
}

// refusal tells a job that must wait from one that can never run.
func (f *firstFit) refusal(r Request) error {
	total := 0
	for _, w := range f.workers {
		total += w.Accelerators
	}
	if r.Accelerators > total && total > 0 {
		return errkind.New(errkind.Unavailable, "ask for fewer accelerators",
			"the job needs %d accelerators, the known workers have %d", r.Accelerators, total)
	}
	return errkind.New(errkind.Unavailable, "wait until jobs end", "no %d accelerators are free", r.Accelerators)
}

// choose takes accelerators in order. A job that fits on one worker gets one.
func (f *firstFit) choose(r Request, usable func(structs.JobID) bool) []placement.Member {
	var members []placement.Member
	left := r.Accelerators
	for _, w := range f.workers {
		if w.lost || r.Avoid[w.ID] {
			continue
		}
		member := placement.Member{Worker: w.ID}
		for index, owner := range w.owner {
			if len(member.Accelerators) < left && usable(owner) {
				member.Accelerators = append(member.Accelerators, index)
			}
		}
		if len(member.Accelerators) == 0 || (r.Accelerators <= w.Accelerators && len(member.Accelerators) < r.Accelerators) {
			continue
		}
		members = append(members, member)
		left -= len(member.Accelerators)
		if left == 0 {
			return members
		}
	}
	return nil
}

func (f *firstFit) victims(members []placement.Member) []structs.JobID {
	var all []structs.JobID
	for _, m := range members {
		for _, index := range m.Accelerators {
			if owner := f.byID[m.Worker].owner[index]; owner != "" {
				all = append(all, owner)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Commit implements Placer.
func (f *firstFit) Commit(p placement.Placement, r Request) error { return f.Restore(p, r) }

// Restore implements Placer.
func (f *firstFit) Restore(p placement.Placement, r Request) error {
	f.jobs[r.Job] = fitJob{request: r, placement: p}
	for _, m := range p.Members {
		w := f.byID[m.Worker]
		for _, index := range m.Accelerators {
			if w != nil && index < len(w.owner) {
				w.owner[index] = r.Job
			}
		}
	}
	return nil
}

// Release implements Placer.
func (f *firstFit) Release(id structs.JobID) {
	for _, m := range f.jobs[id].placement.Members {
		w := f.byID[m.Worker]
		for _, index := range m.Accelerators {
			if w != nil && index < len(w.owner) && w.owner[index] == id {
				w.owner[index] = ""
			}
		}
	}
	delete(f.jobs, id)
}

// SetSaved implements Placer.
func (f *firstFit) SetSaved(structs.JobID, time.Time) {}

// byUrgency is the thin default Order: urgency, then attained run time, then age.
type byUrgency struct{}

// Sort implements Order.
func (byUrgency) Sort(waiting []Waiting, _ time.Time) {
	slices.SortFunc(waiting, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(b.Job.Urgency, a.Job.Urgency), cmp.Compare(a.Attained, b.Attained),
			a.Since.Compare(b.Since), cmp.Compare(a.Key, b.Key))
	})
}
