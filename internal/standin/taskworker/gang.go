package taskworker

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// gangWait is the time for which a member of a gang waits for the others.
const gangWait = 5 * time.Second

// gang is the members of a step that must run at the same time, in one run.
type gang struct {
	size, present int       // number of members, and of those that have started
	started       time.Time // when all members were present
	broken        bool      // a member has ended other than done
}

// completion returns when a run completes, and whether it works: a gang does not before all its members are present.
func (r *run) completion() (at time.Time, works bool) {
	if r.gang == nil {
		return r.started.Add(r.runTime), true
	}
	return r.gang.started.Add(r.runTime), !r.gang.started.IsZero()
}

// breakGang ends the gang of a run that has not completed.
func (r *run) breakGang() {
	if r.gang != nil {
		r.gang.broken = true
	}
}

// joinGang adds a run that starts to its gang, if its step is one.
func (f *Fleet) joinGang(r *run, sizes []int) {
	step := stepOf(r.task)
	i, err := strconv.Atoi(step[strings.LastIndex(step, ".")+1:])
	if err != nil || i >= len(sizes) || sizes[i] == 0 {
		return
	}
	key := fmt.Sprintf("%s/%d", step, r.number)
	if f.gangs[key] == nil {
		f.gangs[key] = &gang{size: sizes[i]}
	}
	r.gang = f.gangs[key]
	if r.gang.present++; r.gang.present == r.gang.size {
		r.gang.started = r.started
	}
}
