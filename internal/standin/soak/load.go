package soak

import (
	"fmt"
	"strings"
	"time"
)

// step is what a caller asks for with one step of a job.
type step struct {
	count, accelerators int   // number of tasks, and accelerators of each
	gang                bool  // all tasks run at the same time
	sameRack            bool  // in one rack
	after               []int // steps that must be completed before
}

// stepsOf returns the steps of a job that has the given number of tasks if it is one step of single tasks. One in four jobs is a gang in one rack,
// has a wide second step, or needs whole workers; 16 of a kind come one after the other, so that the service is full at times and mostly free at others.
func stepsOf(id string, tasks int) []step {
	if id == firstJob || strings.HasPrefix(id, lastJobs) {
		return []step{{count: tasks, accelerators: 1}}
	}
	switch id[len(id)-2] {
	case '3', 'b': // a gang of up to 5 of the 8 workers of a rack
		return []step{{count: 2 + tasks/2 - tasks/8, accelerators: accelerators, gang: true, sameRack: true}}
	case '6': // two steps, the second as wide as a quarter of the accelerators
		return []step{{count: tasks, accelerators: 1}, {count: 6 * tasks, accelerators: 1, after: []int{0}}}
	case 'd': // whole workers
		return []step{{count: 1 + tasks/3, accelerators: accelerators}}
	}
	return []step{{count: tasks, accelerators: 1}}
}

func (s step) gangSize() int {
	if s.gang {
		return s.count
	}
	return 0
}

// phase returns a step as callers send it.
func (s step) phase(estimateMS int, padding string) string {
	more := padding
	if s.gang {
		more += `,"gang":true`
	}
	if s.sameRack {
		more += `,"same_rack":true`
	}
	if len(s.after) > 0 {
		more += fmt.Sprintf(`,"after":[%d]`, s.after[0])
	}
	return fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":1000,"gpu":%d,"estimate_ms":%d%s}`, s.count, 1000*s.accelerators, s.accelerators, estimateMS, more)
}

// failsOf returns how many runs of each task of a job fail by its own fault.
func failsOf(id string) int {
	if id[len(id)-1]%5 == 2 {
		return 1
	}
	return 0
}

// extraRunTime returns by how many milliseconds the tasks of a job run longer than others: those of one in 64 outlast any lease.
func extraRunTime(id string) int {
	if id[len(id)-1] == '5' && id[len(id)-2]%4 == 1 {
		return int((longestLease + 2*time.Second).Milliseconds())
	}
	return 0
}

// paddingOf returns fields with which the record of one job in 16 is larger than the store takes. No instance may accept it, and none may
// stop accepting others because of it.
func paddingOf(id string) string {
	if id[len(id)-1] != '7' {
		return ""
	}
	return `,"image":"` + strings.Repeat("x", 9<<10) + `"`
}

// queueOf returns the queue of a job.
func queueOf(id string) string {
	switch id[len(id)-1] % 4 {
	case 0, 2:
		return "checks"
	case 1:
		return "plans"
	}
	return advisedQueue
}
