package dispatch

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

var (
	eventAdmitted        = event.Define(2500, "job admitted", zerolog.InfoLevel, "The scheduler read a submitted job from the log.", "")
	eventConcluded       = event.Define(2501, "job concluded", zerolog.InfoLevel, "The job reached a final state.", "")
	eventPlaced          = event.Define(2502, "unit placed", zerolog.InfoLevel, "Workers were chosen for a task or gang. The run is recorded before the start orders are sent. predicted_ms is the expected run time on the slowest of these workers, basis what the prediction rests on, and slowdown that worker's run times relative to a neutral one.", "")
	eventUnitEnded       = event.Define(2503, "unit ended", zerolog.InfoLevel, "A run of a task or gang has ended.", "")
	eventStopping        = event.Define(2504, "unit stopping", zerolog.InfoLevel, "A running task or gang is being stopped.", "")
	eventStartUnanswered = event.Define(2505, "start unanswered", zerolog.WarnLevel, "The worker did not answer the order to start a task. The order is withdrawn before the task starts elsewhere.", "")
	eventOrderRefused    = event.Define(2506, "order refused", zerolog.WarnLevel, "The worker refused an order.", "")
	eventWorkerFound     = event.Define(2510, "worker found", zerolog.InfoLevel, "Discovery shows a worker for the first time in this term.", "")
	eventWorkerChanged   = event.Define(2511, "worker changed", zerolog.InfoLevel, "Discovery shows another state of a worker.", "")
	eventWorkerGone      = event.Define(2512, "worker gone", zerolog.InfoLevel, "Discovery no longer shows the worker.", "")
	eventWorkerSilent    = event.Define(2513, "worker unheard", zerolog.WarnLevel, "A worker did not answer a heartbeat. Its leases are not renewed until it answers.", "Check the worker if this persists.")
	eventWorkerAnswers   = event.Define(2514, "worker heard again", zerolog.InfoLevel, "A worker answers heartbeats again.", "")
	eventWorkerRestarted = event.Define(2515, "worker restarted", zerolog.WarnLevel, "The worker's process is a new one. Runs that it does not report are lost. Either process may have the unheard ones, which were ordered after its latest report was asked for.", "")
	eventLeasesExpired   = event.Define(2516, "leases lapsed", zerolog.WarnLevel, "A worker was silent, or its reports had unreadable rows while work waited for them, for longer than its leases, so its tasks are started elsewhere. The unheard ones were ordered after its latest report was asked for.", "Check the worker.")
	eventStray           = event.Define(2517, "stray run stopped", zerolog.WarnLevel, "A worker has a run that is not planned there, so the run is stopped.", "")
	eventQuarantined     = event.Define(2518, "worker suspected", zerolog.WarnLevel, "Tasks that other workers complete fail or stall on the worker, so it is quarantined and gets only probes.", "Check the worker.")
	eventQuarantineEnded = event.Define(2519, "worker trusted again", zerolog.InfoLevel, "A probe succeeded on a quarantined worker.", "")
	eventBadRecord       = event.Define(2520, "record not understood", zerolog.ErrorLevel, "A record of the log cannot be decoded and is skipped.", "Check which program wrote it.")
	eventTakeover        = event.Define(2521, "state taken over", zerolog.InfoLevel, "The scheduler loaded the jobs and runs of the previous term.", "")
	eventAdvised         = event.Define(2524, "advice received", zerolog.InfoLevel, "The advisor answered which workers may run a step. The field usable_ms is how long its tickets can be used.", "")
	eventAdviceMissing   = event.Define(2525, "advice missing", zerolog.WarnLevel, "The advisor did not answer a query. After a short pause other steps go first, and the query is repeated.", "Check the advisor if this persists.")
	eventPaced           = event.Define(2526, "leftover work paced", zerolog.InfoLevel, "Spare-CPU work was slowed down or sped up for the sake of a task with a latency target.", "")
	eventBacklog         = event.Define(2523, "work waits", zerolog.InfoLevel, "Tasks and gangs wait. The fields show how many of each class, and how many accelerators are free, reserved or kept for urgent work.", "")
	eventReserved        = event.Define(2527, "workers reserved", zerolog.InfoLevel, "Workers are kept free until a gang or large task fits on them.", "")
	eventBadReport       = event.Define(2528, "report not understood", zerolog.WarnLevel, "Entries of a worker's report cannot be decoded and are ignored. While entries of running tasks are among them, no run counts as lost because it is not reported.", "Check the version of the worker's software.")
	eventHeartbeatPanic  = event.Define(2529, "heartbeat panicked", zerolog.ErrorLevel, "Sending a heartbeat or handling its answer panicked. The heartbeat counts as unanswered.", "Report the fault to the maintainers.")
	eventWorkerReplaced  = event.Define(2530, "worker replaced", zerolog.WarnLevel, "Another process answers at the worker's address, so the machine has restarted under another ID and all that ran there is lost.", "")
	eventPanic           = event.Define(2532, "panic caught", zerolog.ErrorLevel, "A part of the scheduler panicked. A job whose handling panicked gets no new starts for some time, and orders count as unanswered.", "Report the fault to the maintainers.")
	eventLateEnd         = event.Define(2535, "late end applied", zerolog.InfoLevel, "A run that counted as lost had ended well before its worker's leases expired. The task is done; a later run of it is stopped.", "")
	eventPostponed       = event.Define(2531, "job postponed", zerolog.WarnLevel, "The job's tasks would exceed what the instance can keep in memory. They wait until earlier jobs have ended.", "Give the instances more memory if this persists.")
	eventEvacuation      = event.Define(2540, "evacuation in force", zerolog.InfoLevel, "The operator evacuates a data centre, so this scheduler starts no task there. Running tasks continue.", "")
	eventEvacuationOver  = event.Define(2541, "evacuation over", zerolog.InfoLevel, "The operator's record of an evacuation was removed, so tasks start in the data centre again.", "")
	eventViewLost        = event.Define(2542, "starts withheld", zerolog.WarnLevel, "The operator's records could not be read for so long that an evacuation may have been missed, so no task starts anywhere.", "Check the log service and the scheduler's connection to it.")
	eventViewRegained    = event.Define(2543, "starts resumed", zerolog.InfoLevel, "The operator's records can be read again.", "")
	eventJobsViewLost    = event.Define(2556, "starts wait for cancellations", zerolog.WarnLevel, "The records of jobs could not be read for so long that a cancellation may have been missed, so no task starts whose run needs a record.", "Check the log service and the scheduler's connection to it.")
	eventJobsViewFound   = event.Define(2557, "cancellations read", zerolog.InfoLevel, "The records of jobs are read up to their end again.", "")
	eventStandstill      = event.Define(2544, "job stands still", zerolog.WarnLevel, "Tasks of the job could run, and none of its runs has been known to be at work for 3 s. The reason is that of the first of these tasks or gangs: what it waits for, or which worker may still have an earlier run. The fields count the workers of its service that are known and usable, and what the usable ones have free, how many tasks of the unit would fit there or on workers that are not usable, and how much of the service is in use.", "Look for the reason in OPERATIONS.md if beside_room is true or the service has room.")
	eventLimitsIgnored   = event.Define(2545, "placed despite limits", zerolog.InfoLevel, "Nothing of the job was at work for over 1 s although less than half of its service is in use, or a permanent task waited for over 2 s beside room, so it was placed on workers that are kept free for other work or quarantined. The fields count these, and say for how long the job stood and how much of the service is in use.", "")
	eventSpeeds          = event.Define(2533, "worker speeds judged", zerolog.InfoLevel, "The model finds the workers uneven in speed, or alike again. While they are uneven, work is placed by their slowdown; the fields count workers by it.", "")
	eventLogLate         = event.Define(2550, "starts wait for the log", zerolog.WarnLevel, "The log has taken no record of a run for some time. Only work starts for which earlier records name workers.", "Check the log service if this persists.")
	eventLogTimely       = event.Define(2551, "log takes records again", zerolog.InfoLevel, "The log takes records of runs again. The field late_ms says how long it had not.", "")
	eventUnrecordedStart = event.Define(2552, "unit started before its record", zerolog.InfoLevel, "A run started while the log was late, on workers that an earlier record names.", "")
	eventAdopted         = event.Define(2553, "unrecorded run found", zerolog.InfoLevel, "A worker has a run, or has reported its end, that an earlier leader started and did not record.", "")
	eventPreempting      = event.Define(2522, "room reclaimed", zerolog.InfoLevel, "Less urgent work is preempted so that an urgent job can start.", "")
)

// latencyBuckets are the histogram buckets of job and unit latencies.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 20)

// schedulerMetrics counts decisions and measures latencies.
type schedulerMetrics struct {
	scope    tally.Scope
	unitWait tally.Histogram
	unitRun  tally.Histogram
	passTime tally.Histogram
	advice   tally.Histogram
}

func newSchedulerMetrics(scope tally.Scope) schedulerMetrics {
	return schedulerMetrics{
		scope:    scope,
		unitWait: scope.Histogram("dispatch_unit_wait", latencyBuckets),
		unitRun:  scope.Histogram("dispatch_unit_run", latencyBuckets),
		advice:   scope.Histogram("dispatch_advice", latencyBuckets),
		passTime: scope.Histogram("dispatch_pass", tally.MustMakeExponentialDurationBuckets(50*time.Microsecond, 2, 14)),
	}
}

// jobConcluded counts a job that has ended, and by the main cause of its waits if it was completed after its objective.
func (m *schedulerMetrics) jobConcluded(j *job, state ledger.State, age, objective time.Duration) {
	scope := m.scope.Tagged(map[string]string{"queue": j.spec.Queue, "state": state.String()})
	scope.Counter("jobs_concluded").Inc(1)
	scope.Histogram("job_age", latencyBuckets).RecordDuration(age)
	if state == ledger.Completed && j.spec.Schedule.Occurrences == 0 && age > objective {
		cause := "runs" // it did not wait, so its runs took longer than expected or were repeated
		if longest, any := j.waited().main(); any {
			cause = waitNames[longest]
		}
		m.scope.Tagged(map[string]string{"queue": j.spec.Queue, "cause": cause}).Counter("jobs_late").Inc(1)
	}
}

// queryAnswered counts a query to the advisor that took the given time, and err if it had no answer.
func (m *schedulerMetrics) queryAnswered(took time.Duration, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "unanswered"
	}
	m.advice.RecordDuration(took)
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("advice_queries").Inc(1)
}

func (m *schedulerMetrics) runEnded(ending Ending) {
	m.scope.Tagged(map[string]string{"how": string(ending)}).Counter("runs_ended").Inc(1)
}

func (m *schedulerMetrics) orderAnswered(kind, outcome string) {
	m.scope.Tagged(map[string]string{"order": kind, "outcome": outcome}).Counter("orders").Inc(1)
}
