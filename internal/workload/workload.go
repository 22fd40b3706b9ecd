// Package workload models what customers ask for, independent of where it runs: a job consists of steps, and a step of equal tasks.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// MaxSteps is the largest number of steps of a job.
const MaxSteps = 64

// Limits of one job. They bound the memory that a single submission can take.
const (
	maxTasksPerStep = 10_000
	maxTasks        = 100_000 // of a job, in all its steps and occurrences; the scheduler keeps some hundred bytes for each
	maxSpecBytes    = 4_000   // the platform's limit for the text that is passed to each task
	maxOccurrences  = 10_000

	maxScheduleLength = 100 * 365 * 24 * time.Hour
)

// Resources is an amount of a worker's resources.
type Resources struct {
	CPU          int64 `msgpack:"c,omitempty"` // thousandths of a core
	MemoryMB     int64 `msgpack:"m,omitempty"`
	Accelerators int64 `msgpack:"g,omitempty"`
}

// Fits reports whether r is at most free in every resource.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r less o; the amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	k := int64(n)
	return Resources{r.CPU * k, r.MemoryMB * k, r.Accelerators * k}
}

// Count returns how many times r fits into free, at most maxTasksPerStep.
func (r Resources) Count(free Resources) int {
	n := int64(maxTasksPerStep)
	for _, pair := range [][2]int64{{r.CPU, free.CPU}, {r.MemoryMB, free.MemoryMB}, {r.Accelerators, free.Accelerators}} {
		if pair[0] > 0 {
			n = min(n, pair[1]/pair[0])
		}
	}
	return int(max(n, 0))
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count          int           `msgpack:"n"`
	Resources      Resources     `msgpack:"r"`            // resources of each task
	Estimate       time.Duration `msgpack:"e,omitempty"`  // customer's rough estimate of one task's run time
	After          []int         `msgpack:"a,omitempty"`  // indices of the earlier steps that must be completed first
	Checkpoints    bool          `msgpack:"s,omitempty"`  // tasks write checkpoints of their progress
	Gang           bool          `msgpack:"g,omitempty"`  // tasks make progress only while all of them run
	SameRack       bool          `msgpack:"k,omitempty"`  // tasks are slower if they are spread over several racks
	Label          string        `msgpack:"l,omitempty"`  // label that a worker must have to run the tasks
	DataRack       string        `msgpack:"d,omitempty"`  // rack that holds the tasks' data; they are slower elsewhere
	MaxPerWorker   int           `msgpack:"p,omitempty"`  // most tasks of the step on one worker, 0 for no limit
	Speculative    bool          `msgpack:"x,omitempty"`  // several copies of a task may run; the first to end counts
	Permanent      bool          `msgpack:"f,omitempty"`  // tasks run until the job is cancelled
	Image          string        `msgpack:"i,omitempty"`  // image of the tasks; tasks of one image behave alike
	TargetLatency  time.Duration `msgpack:"t,omitempty"`  // target for the tail latency of a permanent task
	UsesSpareCPU   bool          `msgpack:"u,omitempty"`  // no CPU is reserved; tasks use what other tasks leave idle
	MaxUnavailable int           `msgpack:"mu,omitempty"` // most tasks of a permanent step that the scheduler may stop at the same time
}

// Units returns the number of units in the step. A unit is what the scheduler starts and stops as one: a gang or a single task.
func (s *Step) Units() int {
	if s.Gang {
		return 1
	}
	return s.Count
}

// Schedule repeats a job at fixed times. The zero value runs it once, as soon as possible.
type Schedule struct {
	First       time.Time     `msgpack:"f"`
	Interval    time.Duration `msgpack:"i,omitempty"`
	Occurrences int           `msgpack:"n,omitempty"`
}

// QueueSettings are the configured settings of a queue that decide how its jobs run. A job's latency objective is Stretch times
// the expected time along its critical path, plus Target.
type QueueSettings struct {
	Service     string        `msgpack:"s"`           // service whose workers run the jobs
	Priority    int           `msgpack:"p"`           // 0 is the most urgent and may preempt the others
	MaxAttempts int           `msgpack:"a"`           // number of failed runs of one task that makes the job fail
	Stretch     float64       `msgpack:"st"`          // multiple of the critical path in the latency objective
	Target      time.Duration `msgpack:"t"`           // constant part of the latency objective
	Advised     bool          `msgpack:"d,omitempty"` // the platform's advice service must approve the workers of each step
	// AdviceDecision is the time that the advice service takes for a query, and AdvicePerWorker the time that each worker named in
	// it adds.
	AdviceDecision  time.Duration `msgpack:"ad,omitempty"`
	AdvicePerWorker time.Duration `msgpack:"aw,omitempty"`
}

// Job is a customer's job as it was accepted.
type Job struct {
	ID            string        `msgpack:"id"`
	Customer      string        `msgpack:"cu"`
	Queue         string        `msgpack:"q"`
	Spec          string        `msgpack:"sp"` // opaque text that is passed to each task
	Steps         []Step        `msgpack:"st"`
	Schedule      Schedule      `msgpack:"sc"`
	Submitted     time.Time     `msgpack:"t"`
	QueueSettings QueueSettings `msgpack:"te"` // settings of the queue when the job was accepted; used if the queue is removed
}

// Occurrences returns how often the steps run, at least 1.
func (j *Job) Occurrences() int { return max(j.Schedule.Occurrences, 1) }

// Due returns when occurrence k may start. The zero time means as soon as possible.
func (j *Job) Due(k int) time.Time {
	if j.Schedule.Occurrences == 0 {
		return time.Time{}
	}
	return j.Schedule.First.Add(time.Duration(k) * j.Schedule.Interval)
}

// Validate checks the parts of the job that do not depend on the available workers.
func (j *Job) Validate() error {
	if len(j.Spec) > maxSpecBytes {
		return invalid("shorten the spec", "the spec has %d bytes, at most %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return invalid("give 1 to 64 steps", "the job has %d steps", len(j.Steps))
	}
	if j.Schedule.Occurrences < 0 || j.Schedule.Occurrences > maxOccurrences {
		return invalid("repeat the job at most 10000 times", "the job repeats %d times", j.Schedule.Occurrences)
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
	}
	if last := time.Duration(max(j.Schedule.Occurrences-1, 0)); j.Schedule.Interval < 0 || last > 0 && j.Schedule.Interval > maxScheduleLength/last {
		return invalid("let the repetitions end within 100 years", "the job repeats %d times at an interval of %v", j.Schedule.Occurrences, j.Schedule.Interval)
	}
	if n := j.Tasks() * j.Occurrences(); n > maxTasks {
		return invalid("split the job into several of at most 100000 tasks", "the job has %d tasks in all its steps and repetitions", n)
	}
	return nil
}

// Tasks returns the number of tasks in one occurrence of the job.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > maxTasksPerStep {
		return invalid("give 1 to 10000 tasks", "step %d has %d tasks", index, s.Count)
	}
	if s.Resources.CPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.Accelerators < 0 {
		return invalid("give amounts of 0 or more", "step %d asks for a negative amount", index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return invalid("list only earlier steps", "step %d depends on step %d, which is not an earlier one", index, before)
		}
	}
	return nil
}

func invalid(remedy, format string, args ...any) error {
	return errkind.New(errkind.Invalid, remedy, format, args...)
}

// CriticalPath returns the sum of the estimates along the longest path of dependent steps in one occurrence.
func (j *Job) CriticalPath() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		start := time.Duration(0)
		for _, before := range j.Steps[i].After {
			start = max(start, ends[before])
		}
		ends[i] = start + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskName identifies a task: job, occurrence, step and index within the step.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns JOB.OCCURRENCE.STEP.INDEX, the name of the task on the wire.
func (n TaskName) String() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// ParseTaskName is the inverse of String.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, fmt.Errorf("task name %q does not have four parts", text)
	}
	numbers := [3]int{}
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskName{}, fmt.Errorf("task name %q has a part that is not a number of 0 or more", text)
		}
		numbers[i] = n
	}
	return TaskName{parts[0], numbers[0], numbers[1], numbers[2]}, nil
}
