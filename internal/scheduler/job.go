package scheduler

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/placement"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// stopCause tells why a job is being stopped, and so what follows.
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

// origin tells where a job comes from.
type origin int

// Origins. Jobs of a service and probes are not in the job stream.
const (
	fromCustomer origin = iota
	fromService
	fromProbe
)

// member is one task of a job's present attempt.
type member struct {
	task    structs.Task
	phase   platform.TaskPhase // "" until a worker reported it
	ranFor  time.Duration
	saved   time.Duration
	message string
}

// job is the scheduler's view of a job.
type job struct {
	key    structs.JobID // qualified with the customer
	info   structs.Job   // with its own id
	origin origin
	probes structs.WorkerID // worker that a probe is for

	state     structs.JobState
	since     time.Time // of the state
	busy      bool      // an operation is under way
	startedAt time.Time // of the present attempt
	attempt   uint64
	starts    int
	members   []member
	placement placement.Placement
	placed    bool
	victims   map[structs.JobID]bool
	cause     stopCause
	stopSent  time.Time
	stopBegan time.Time
	attained  time.Duration
	charged   time.Duration // run time of the present attempt that was charged for, or was guaranteed
	spent     time.Duration // run time of the attempts that have ended

	cancelled    bool
	removed      bool // not in the job stream, or not in the specification, any more
	result       *Result
	recorded     time.Time // last attempt to record the result
	failures     int       // that count against max_attempts
	failedOn     map[structs.WorkerID]int
	blamed       bool
	notBefore    time.Time          // pause after a failure
	avoidUntil   time.Time          // end of the avoidance of the workers in failedOn
	uncertain    []structs.WorkerID // where an aborted attempt may have started
	fenceUntil   time.Time          // an earlier attempt may run until then
	unseen       bool               // may run at a worker that was not reported since this scheduler attached
	missing      int                // members of an adopted gang that were not reported yet
	missingSince time.Time
	forgotten    time.Time // a worker reported that it forgot an attempt of the waiting job
	reason       string    // why it waits
	remedy       string
	lastError    string
	seen         map[sighting]bool
}

func newJob(key structs.JobID, info structs.Job, from origin, now time.Time) *job {
	return &job{
		key: key, info: info, origin: from, state: structs.JobWaiting, since: now,
		failedOn: map[structs.WorkerID]int{}, seen: map[sighting]bool{},
	}
}

func (j *job) setState(state structs.JobState, now time.Time) {
	j.state = state
	j.since = now
}

// member returns the member with the given number, nil when it is not known.
func (j *job) member(number int) *member {
	for i := range j.members {
		if j.members[i].task.Member == number {
			return &j.members[i]
		}
	}
	return nil
}

// tasks returns the tasks of the present attempt.
func (j *job) tasks() []structs.Task {
	tasks := make([]structs.Task, len(j.members))
	for i, m := range j.members {
		tasks[i] = m.task
	}
	return tasks
}

// buildMembers makes the tasks of the present attempt from the placement. The tasks carry the qualified id.
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
		j.members[i].saved = j.attained
	}
}

// placementOf rebuilds a placement from the tasks at the workers.
func placementOf(key structs.JobID, members []member) placement.Placement {
	p := placement.Placement{Job: key}
	for _, m := range members {
		p.Customer = m.task.Job.Customer
		p.CellSize = m.task.CellSize
		p.Members = append(p.Members, placement.Member{Worker: m.task.Worker, Accelerators: m.task.Accelerators})
	}
	return p
}

// savedWork is the run time that survives a stop: what every member has saved.
func (j *job) savedWork() time.Duration {
	if len(j.members) == 0 {
		return j.attained
	}
	saved := j.members[0].saved
	for _, m := range j.members {
		saved = min(saved, m.saved)
	}
	return max(saved, j.attained)
}

// ranFor is the longest run time of a member in the present attempt. A killed member reports none, so the time since
// the start counts then.
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

// count returns how many members are in a phase that the predicate accepts.
func (j *job) count(accept func(platform.TaskPhase) bool) int {
	n := 0
	for _, m := range j.members {
		if accept(m.phase) {
			n++
		}
	}
	return n
}

func isPhase(p platform.TaskPhase) func(platform.TaskPhase) bool {
	return func(q platform.TaskPhase) bool { return p == q }
}

// defaultMaxAttempts applies to kinds that declare none.
const defaultMaxAttempts = 20

// maxAttempts is the number of failed attempts after which the job is stopped for good.
func maxAttempts(text *spec.Text, kind structs.KindName) int {
	for _, k := range text.JobKinds {
		if k.Name == kind && k.MaxAttempts > 0 {
			return k.MaxAttempts
		}
	}
	return defaultMaxAttempts
}
