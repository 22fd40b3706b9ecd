package dispatch

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

var (
	eventAdmitted   = event.Define(2500, "job admitted", zerolog.InfoLevel, "The scheduler read an accepted job from the log.", "")
	eventConcluded  = event.Define(2501, "job concluded", zerolog.InfoLevel, "The job reached a final state.", "")
	eventPlaced     = event.Define(2502, "unit placed", zerolog.InfoLevel, "Workers were chosen for a task or gang; its start is recorded before the orders are sent.", "")
	eventUnitEnded  = event.Define(2503, "unit ended", zerolog.InfoLevel, "A run of a task or gang is over.", "")
	eventStopping   = event.Define(2504, "unit stopping", zerolog.InfoLevel, "A running task or gang is being stopped.", "")
	eventStartOpen  = event.Define(2505, "start unanswered", zerolog.WarnLevel, "The worker did not answer the order to start a task. The order is withdrawn before the task starts elsewhere.", "")
	eventRefused    = event.Define(2506, "order refused", zerolog.WarnLevel, "The worker refused an order.", "")
	eventJoined     = event.Define(2510, "worker found", zerolog.InfoLevel, "Discovery shows a worker for the first time in this term.", "")
	eventChanged    = event.Define(2511, "worker changed", zerolog.InfoLevel, "Discovery shows another state of a worker.", "")
	eventGone       = event.Define(2512, "worker gone", zerolog.InfoLevel, "Discovery no longer shows the worker.", "")
	eventUnheard    = event.Define(2513, "worker unheard", zerolog.WarnLevel, "A worker did not answer a look. Its leases are not renewed until it answers.", "Check the worker when it lasts.")
	eventHeard      = event.Define(2514, "worker heard again", zerolog.InfoLevel, "A worker answers again.", "")
	eventReborn     = event.Define(2515, "worker restarted", zerolog.WarnLevel, "The worker's process is a new one, so all that ran there is lost.", "")
	eventLapsed     = event.Define(2516, "leases lapsed", zerolog.WarnLevel, "A worker was not heard for longer than its leases last, so its tasks are started elsewhere.", "Check the worker.")
	eventStray      = event.Define(2517, "stray run stopped", zerolog.WarnLevel, "A worker runs a task that is not planned there, so it is stopped.", "")
	eventSuspected  = event.Define(2518, "worker suspected", zerolog.WarnLevel, "Tasks fail or stand still on a worker that others complete, so it gets only probes.", "Check the worker.")
	eventTrusted    = event.Define(2519, "worker trusted again", zerolog.InfoLevel, "A probe succeeded on a suspected worker.", "")
	eventBadRecord  = event.Define(2520, "record not understood", zerolog.ErrorLevel, "A record of the log cannot be decoded and is left out.", "Check which program wrote it.")
	eventTakeover   = event.Define(2521, "state taken over", zerolog.InfoLevel, "The scheduler loaded jobs and runs of the term before.", "")
	eventAdvised    = event.Define(2524, "advice received", zerolog.InfoLevel, "The advisor said which workers may run a step.", "")
	eventUnadvised  = event.Define(2525, "advice missing", zerolog.WarnLevel, "The advisor did not answer; the question is repeated.", "Check the advisor when it lasts.")
	eventPaced      = event.Define(2526, "leftover work paced", zerolog.InfoLevel, "Work that uses leftover processor time was slowed or sped up for the sake of a task with a target.", "")
	eventSurvey     = event.Define(2523, "work waits", zerolog.InfoLevel, "Tasks and gangs wait: how many of each class, and how much of the service is free or kept free.", "")
	eventReserved   = event.Define(2527, "workers reserved", zerolog.InfoLevel, "Workers are kept free until a gang or large task fits on them.", "")
	eventReclaiming = event.Define(2522, "room reclaimed", zerolog.InfoLevel, "Less urgent work is stopped so that an urgent job can begin.", "")
)

// durations are the buckets of job and unit latencies.
var durations = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 20)

// meters count decisions and measure latencies.
type meters struct {
	scope tally.Scope
	wait  tally.Histogram
	run   tally.Histogram
	pass  tally.Histogram
}

func newMeters(scope tally.Scope) meters {
	return meters{
		scope: scope,
		wait:  scope.Histogram("dispatch_unit_wait", durations),
		run:   scope.Histogram("dispatch_unit_run", durations),
		pass:  scope.Histogram("dispatch_pass", tally.MustMakeExponentialDurationBuckets(50*time.Microsecond, 2, 14)),
	}
}

func (m *meters) job(j *job, state ledger.State, age time.Duration) {
	scope := m.scope.Tagged(map[string]string{"queue": j.spec.Queue, "state": state.String()})
	scope.Counter("jobs_concluded").Inc(1)
	scope.Histogram("job_age", durations).RecordDuration(age)
}

func (m *meters) end(how Ending) {
	m.scope.Tagged(map[string]string{"how": string(how)}).Counter("runs_ended").Inc(1)
}

func (m *meters) order(kind, outcome string) {
	m.scope.Tagged(map[string]string{"order": kind, "outcome": outcome}).Counter("orders").Inc(1)
}
