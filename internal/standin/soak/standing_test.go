package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/taskworker"
)

// scene is a made-up run of 4 workers in 2 racks, observed every 250 ms for 10 s. Job "0j" is the only one that is judged.
type scene struct {
	steps  []step
	used   [4]int // accelerators of each worker that tasks of other jobs use
	change func(at time.Duration, s *taskworker.State)
	from   time.Duration // when the job may first stand
	calm   time.Duration
	advise bool
}

func (c scene) stands() []stand {
	origin := time.Unix(1_000_000, 0)
	steps := map[string][]step{"0j": c.steps, "0o": {{count: 100, accelerators: 1}}}
	var workers []observedWorker
	for i := range c.used {
		workers = append(workers, observedWorker{fmt.Sprintf("w%d", i), fmt.Sprintf("r1-%d", 1+i/2), 8})
	}
	var observations []observation
	for at := time.Duration(0); at <= 10*time.Second; at += observeInterval {
		s := taskworker.State{Running: map[string][]string{}, Starts: map[string]int{}, Done: map[string]int{}}
		for i, used := range c.used {
			for n := range used {
				id := workers[i].id
				s.Running[id] = append(s.Running[id], fmt.Sprintf("0o.0.0.%d", 8*i+n))
			}
		}
		if c.change != nil {
			c.change(at, &s)
		}
		if s.Starts["skip"] == 0 {
			observations = append(observations, observation{origin.Add(at), s})
		}
	}
	job := observedJob{id: "0j", steps: c.steps, from: origin.Add(c.from), anywhere: !c.advise}
	return standing(workers, steps, []observedJob{job}, observations, origin.Add(c.calm))
}

// Guards against jobs that stand beside free resources and are not reported.
func TestStandsAreFound(t *testing.T) {
	single, gang := []step{{count: 3, accelerators: 1}}, []step{{count: 2, accelerators: 8, gang: true, sameRack: true}}
	for name, c := range map[string]scene{
		"nothing else runs":                {steps: single},
		"almost half is in use":            {steps: single, used: [4]int{8, 7}},
		"a whole worker is free twice":     {steps: []step{{count: 1, accelerators: 8}}, used: [4]int{8, 4}},
		"a gang fits in each of two racks": {steps: gang},
		"a gang in any racks fits twice":   {steps: []step{{count: 3, accelerators: 4, gang: true}}, used: [4]int{4, 4}},
		"other workers are not allowed":    {steps: single, used: [4]int{6, 0, 8, 0}, advise: true},
		"the first step is done, the second is not": {
			steps:  []step{{count: 2, accelerators: 1}, {count: 5, accelerators: 1, after: []int{0}}},
			change: func(_ time.Duration, s *taskworker.State) { s.Done["0j.0.0"] = 2 },
		},
		"one end of a gang stands for the first step": {
			steps:  []step{{count: 2, accelerators: 1, gang: true}, {count: 1, accelerators: 1, after: []int{0}}},
			change: func(_ time.Duration, s *taskworker.State) { s.Done["0j.0.0"] = 1 },
		},
		"a part of its tasks is done": {steps: single, change: func(_ time.Duration, s *taskworker.State) { s.Done["0j.0.0"] = 2 }},
		"it ran before": {steps: single, change: func(at time.Duration, s *taskworker.State) {
			if s.Starts["0j"] = 1; at < 5*time.Second {
				s.Running["w3"] = []string{"0j.0.0.0"}
			}
		}},
		"three seconds are left": {steps: single, calm: 7 * time.Second, from: 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			found := c.stands()
			assert.Equal(t, len(found), 1)
			assert.Equal(t, found[0].job, "0j")
			assert.Assert(t, found[0].until.Sub(found[0].from) >= longestStand)
		})
	}
}

// Guards against runs that fail on jobs that may wait.
func TestWaitsThatAreAllowedAreNoStands(t *testing.T) {
	single, gang := []step{{count: 3, accelerators: 1}}, []step{{count: 2, accelerators: 8, gang: true, sameRack: true}}
	for name, c := range map[string]scene{
		"half is in use":                  {steps: single, used: [4]int{8, 8}},
		"a whole worker is free once":     {steps: []step{{count: 1, accelerators: 8}}, used: [4]int{1, 1, 1}},
		"a gang fits in one rack only":    {steps: gang, used: [4]int{1}},
		"allowed workers have no room":    {steps: single, used: [4]int{8, 0, 7, 0}, advise: true},
		"all tasks are done":              {steps: single, change: func(_ time.Duration, s *taskworker.State) { s.Done["0j.0.0"] = 3 }},
		"less than three seconds of calm": {steps: single, calm: 7100 * time.Millisecond},
		"leases run out too late":         {steps: single, from: 7100 * time.Millisecond},
		"one of its tasks runs": {steps: single, change: func(_ time.Duration, s *taskworker.State) {
			s.Running["w0"] = []string{"0j.0.0.1"}
		}},
		"tasks run between observations": {steps: single, change: func(at time.Duration, s *taskworker.State) {
			s.Starts["0j"] = int(at / (3 * time.Second))
		}},
		"the service is full now and then": {steps: single, change: func(at time.Duration, s *taskworker.State) {
			if at%(3*time.Second) == 0 {
				for n := range 16 {
					s.Running["w0"] = append(s.Running["w0"], fmt.Sprintf("0o.0.0.%d", n))
				}
			}
		}},
		"the observation has gaps": {steps: single, change: func(at time.Duration, s *taskworker.State) {
			if at%(3*time.Second) < 1500*time.Millisecond {
				s.Starts["skip"] = 1
			}
		}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, len(c.stands()), 0, "%v", c.stands()) })
	}
}

// Guards against excuses by a lost worker that outlast the bound on leases, or that hold for jobs that came after it was back.
func TestLostWorkerExcusesJobsForTheBoundOnLeases(t *testing.T) {
	origin := time.Unix(1_000_000, 0)
	at := func(s float64) time.Time { return origin.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name     string
		accepted float64
		found    int
	}{{"accepted before the worker was back", 1, 0}, {"accepted after it", 6, 1}} {
		for _, length := range []float64{16, 20} {
			r := &run{jobs: map[string]*submittedJob{"00": {accepted: true, acceptedAt: at(c.accepted), steps: []step{{count: 1, accelerators: 1}}}}}
			r.noteLoss(origin, at(5)) // excused until 16.2 s
			for s := 0.0; s <= length; s += 0.25 {
				r.observations = append(r.observations, observation{at: at(s)})
			}
			want := c.found
			if length == 20 {
				want = 1
			}
			assert.Equal(t, len(r.findStanding()), want, "%s, observed for %v s", c.name, length)
		}
	}
}
