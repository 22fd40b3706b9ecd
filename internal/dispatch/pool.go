package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/workload"
)

// pool is the usable workers of one service during a pass.
type pool struct {
	workers        []*worker
	resting        []*worker            // quarantined workers that would take work but for the pause before their next probe
	racks          map[string][]*worker // by rack; a rack lies in one data centre
	dataCentres    map[string][]*worker // by data centre
	accelerators   int64                // of all workers
	cpu            int64                // of all workers, in thousandths of a core
	freeCPUAtStart int64                // thousandths of a core that were free at the start of the pass
	freeAtStart    int64                // accelerators that were free at the start of the pass
	permanent      workload.Resources   // held by permanent tasks, which do not make room by ending
	reserved       int64                // scarcest resource of workers kept free by reservations, see scarceCapacity
	headroomTarget int64                // scarcest resource to be left free for urgent work
	fastest        float64              // least slowdown of all workers
	shareInUse     float64              // of the service's scarcest resource at the start of the pass, on all workers that discovery shows
}

// pool returns the pool of a service, which it creates if there is none.
func (p *plan) pool(service string) *pool {
	pl := p.pools[service]
	if pl == nil {
		pl = &pool{racks: map[string][]*worker{}, dataCentres: map[string][]*worker{}}
		p.pools[service] = pl
	}
	return pl
}

// addWorker adds a usable worker to the pool of its service.
func (p *plan) addWorker(w *worker) {
	pl := p.pool(w.info.Service)
	if pl.fastest == 0 || w.boundedTime() < pl.fastest {
		pl.fastest = w.boundedTime()
	}
	pl.workers = append(pl.workers, w)
	pl.racks[w.info.Rack] = append(pl.racks[w.info.Rack], w)
	pl.dataCentres[w.info.DataCentre] = append(pl.dataCentres[w.info.DataCentre], w)
	pl.accelerators += w.info.Capacity.Accelerators
	pl.cpu += w.info.Capacity.CPU
	pl.freeAtStart += w.free.Accelerators
	pl.freeCPUAtStart += w.free.CPU
	for _, m := range w.members {
		if m.unit.step.spec.Permanent {
			pl.permanent = pl.permanent.Plus(m.resources)
		}
	}
}

// sortByID makes the order of workers independent of the map they come from.
func (pl *pool) sortByID() {
	byID := func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) }
	slices.SortFunc(pl.workers, byID)
	slices.SortFunc(pl.resting, byID)
	for _, groups := range []map[string][]*worker{pl.racks, pl.dataCentres} {
		for _, group := range groups {
			slices.SortFunc(group, byID)
		}
	}
}

// mostlyIdle reports whether more than half of the pool's scarcest resource was free at the start of the pass.
func (pl *pool) mostlyIdle() bool {
	if pl.accelerators == 0 {
		return 2*pl.freeCPUAtStart > pl.cpu
	}
	return 2*pl.freeAtStart > pl.accelerators
}

// mostlyPermanent reports whether permanent tasks hold half of the pool's scarcest resource or more, so that it can never be mostly idle.
func (pl *pool) mostlyPermanent() bool { return 2*pl.scarceCapacity(pl.permanent) >= pl.scarceTotal() }

func sortedKeys(groups map[string][]*worker) []string {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// scarceResource returns how much of the pool's scarcest resource a task needs: accelerators, at least one, or cores in a pool
// without accelerators.
func (pl *pool) scarceResource(r workload.Resources) int64 {
	if pl.accelerators == 0 {
		return max(r.CPU/1000, 1)
	}
	return max(r.Accelerators, 1)
}

// scarceCapacity returns how much of the pool's scarcest resource the given resources hold: accelerators, also if there is no pool, or cores.
func (pl *pool) scarceCapacity(r workload.Resources) int64 {
	if pl != nil && pl.accelerators == 0 {
		return r.CPU / 1000
	}
	return r.Accelerators
}

// scarceLoss returns how much time of the pool's scarcest resource is lost.
func (pl *pool) scarceLoss(l loss) time.Duration {
	if pl != nil && pl.accelerators == 0 {
		return l.core
	}
	return l.accelerator
}

// scarceTotal returns how much of its scarcest resource the pool has.
func (pl *pool) scarceTotal() int64 {
	if pl.accelerators == 0 {
		return pl.cpu / 1000
	}
	return pl.accelerators
}
