package scheduler

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// stopCause is why a job is being stopped. Only a preempted job may save a checkpoint first.
type stopCause string

// Causes of a stop.
const (
	causeCancelled stopCause = "cancelled"
	causeFailed    stopCause = "a member failed"
	causeLost      stopCause = "a member was lost"
	causePreempted stopCause = "preempted"
	causeRemoved   stopCause = "no longer wanted"
	causeOverrun   stopCause = "max_run_time is exceeded"
)

// origin is where a job comes from.
type origin int

// Origins of jobs. Only the jobs of customers are in the job stream.
const (
	fromCustomer origin = iota // accepted by the job stream
	fromService                // a task of a service, declared in the specification
	fromProbe                  // a test of an excluded worker
)

// member is one task of a job's current attempt.
type member struct {
	task      structs.Task
	phase     platform.TaskPhase // "" until a worker has reported it
	ranFor    time.Duration      // run time in this attempt
	savedWork time.Duration      // run time over all attempts that a checkpoint keeps
	message   string             // last message of the worker on this task
}

// job is the scheduler's view of a job.
type job struct {
	key          structs.JobID // id qualified with the customer
	info         structs.Job   // job as submitted, with the unqualified id
	origin       origin
	probedWorker structs.WorkerID // for a probe, the worker that it tests

	state         structs.JobState
	stateSince    time.Time // when the job entered the state
	busy          bool      // an asynchronous operation on the job is in progress
	startedAt     time.Time // start of the current attempt
	attempt       uint64    // number of the current attempt
	starts        int       // attempts that were started
	members       []member
	placement     placement.Placement
	placed        bool                     // the accelerators of placement are booked for the job
	bookings      uint64                   // how often accelerators have been booked for the job
	victims       map[structs.JobID]uint64 // preempted jobs whose accelerators must be released before this one starts, and their bookings then
	cause         stopCause                // why the job is being stopped, "" when it is not
	lastStopSent  time.Time
	stopStartedAt time.Time
	attained      time.Duration // run time of earlier attempts that checkpoints keep
	charged       time.Duration // run time of the current attempt that has been accounted for, charged or guaranteed
	spent         time.Duration // run time of the attempts that have ended

	cancelled        bool
	removed          bool // no longer in the job stream or in the specification
	result           *Result
	recordTriedAt    time.Time                // last attempt to record the result
	failures         int                      // failed attempts that count against max_attempts
	failedOn         map[structs.WorkerID]int // failures by worker
	faulty           bool                     // its failures are attributed to the job, not to the workers
	notBefore        time.Time                // end of the pause after a failure
	avoidUntil       time.Time                // until then the job is not placed on the workers in failedOn
	uncertainWorkers []structs.WorkerID       // workers where an aborted attempt may have started
	fenceUntil       time.Time                // an earlier attempt may run until then
	mayRunUnreported bool                     // an earlier attempt may run on a worker in term.unreported
	missingMembers   int                      // members of an adopted gang that no worker has reported yet
	missingSince     time.Time
	forgottenAt      time.Time // when a worker reported that it forgot an attempt of the waiting job
	reason           string    // why the job waits
	remedy           string
	lastError        string
	knownTasks       map[taskRef]bool // tasks of all attempts that workers may still know
}

// newJob returns a waiting job.
func newJob(key structs.JobID, info structs.Job, from origin, now time.Time) *job {
	return &job{
		key: key, info: info, origin: from, state: structs.JobWaiting, stateSince: now,
		failedOn: map[structs.WorkerID]int{}, knownTasks: map[taskRef]bool{},
	}
}

func (j *job) setState(state structs.JobState, now time.Time) {
	j.state = state
	j.stateSince = now
}

// member returns the member with the given number, or nil when it is not known.
func (j *job) member(number int) *member {
	for i := range j.members {
		if j.members[i].task.Member == number {
			return &j.members[i]
		}
	}
	return nil
}

// tasks returns the tasks of the current attempt.
func (j *job) tasks() []structs.Task {
	tasks := make([]structs.Task, len(j.members))
	for i, m := range j.members {
		tasks[i] = m.task
	}
	return tasks
}

// buildMembers makes the tasks of the current attempt from the placement. The tasks carry the qualified id.
func (j *job) buildMembers(now time.Time) {
	info := j.info
	info.ID = j.key
	j.members = make([]member, len(j.placement.Members))
	for i, m := range j.placement.Members {
		j.members[i].task = structs.Task{
			Job: info, Attempt: j.attempt, Member: i, Members: len(j.placement.Members), Worker: m.Worker,
			Accelerators: m.Accelerators, CellSize: j.placement.CellSize, Attained: j.attained,
			Spent: j.spent, Starts: j.starts, Failures: j.failures, LaunchedAt: now,
		}
		j.members[i].savedWork = j.attained
	}
}

// placementOf rebuilds a placement from the tasks that the workers reported.
func placementOf(key structs.JobID, members []member) placement.Placement {
	p := placement.Placement{Job: key}
	for _, m := range members {
		p.Customer = m.task.Job.Customer
		p.CellSize = m.task.CellSize
		p.Members = append(p.Members, placement.Member{Worker: m.task.Worker, Accelerators: m.task.Accelerators})
	}
	return p
}

// savedWork is the run time that survives a stop: the least that a member has saved in a checkpoint.
func (j *job) savedWork() time.Duration {
	if len(j.members) == 0 {
		return j.attained
	}
	saved := j.members[0].savedWork
	for _, m := range j.members {
		saved = min(saved, m.savedWork)
	}
	return max(saved, j.attained)
}

// ranFor is the longest run time of a member in the current attempt. A killed member reports no run time, so once the job
// is being stopped the time since the start counts instead.
func (j *job) ranFor() time.Duration {
	var longest time.Duration
	if j.cause != "" && !j.startedAt.IsZero() {
		longest = time.Since(j.startedAt)
	}
	for _, m := range j.members {
		longest = max(longest, m.ranFor)
	}
	return longest
}

// count returns the number of members in a phase that the predicate accepts.
func (j *job) count(accept func(platform.TaskPhase) bool) int {
	n := 0
	for _, m := range j.members {
		if accept(m.phase) {
			n++
		}
	}
	return n
}

// isPhase returns a predicate for count.
func isPhase(p platform.TaskPhase) func(platform.TaskPhase) bool {
	return func(q platform.TaskPhase) bool { return p == q }
}

// defaultMaxAttempts applies to kinds of job that declare no max_attempts.
const defaultMaxAttempts = 20

// maxAttempts is the number of failed attempts after which a job of this kind ends as failed.
func maxAttempts(text *spec.Text, kind structs.KindName) int {
	for _, k := range text.JobKinds {
		if k.Name == kind && k.MaxAttempts > 0 {
			return k.MaxAttempts
		}
	}
	return defaultMaxAttempts
}
