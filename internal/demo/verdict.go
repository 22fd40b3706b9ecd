package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// workerRun is a worker's record of one member of a job.
type workerRun = worker.Run

// Verdict is the result of a demonstration: what the callers saw, compared with what the stand-ins recorded.
type Verdict struct {
	Accepted, Answered, NotRun, Unknown int           // numbers of requests; Accepted counts every one that was sent
	Lost, Doubled, CutShort             int           // numbers of requests or gangs; CutShort counts requests only
	GangsRun, GangsPartial              int           // number of complete gangs and of partial attempts
	SlotsHighest, ConnectionsHighest    int           // highest numbers in use at one minion
	Duration                            time.Duration // duration of the load
	Problems                            []string      // one line for each violation
}

// String returns the last line of the demonstration's output.
func (v *Verdict) String() string {
	return fmt.Sprintf("demo: accepted=%d answered=%d not_run=%d unknown=%d lost=%d doubled=%d cut_short=%d gangs_run=%d gangs_partial=%d seconds=%.1f",
		v.Accepted, v.Answered, v.NotRun, v.Unknown, v.Lost, v.Doubled, v.CutShort, v.GangsRun, v.GangsPartial, v.Duration.Seconds())
}

// Passed reports whether nothing was lost, run twice, cut short or run partially, and no other check failed.
func (v *Verdict) Passed() bool {
	return v.Lost == 0 && v.Doubled == 0 && v.CutShort == 0 && v.GangsPartial == 0 && len(v.Problems) == 0
}

func (v *Verdict) addProblem(format string, args ...any) {
	v.Problems = append(v.Problems, fmt.Sprintf(format, args...))
}

// judgeRequests compares the callers' results with the number of times that the minions ran each request.
func (v *Verdict) judgeRequests(results []requestResult, runs map[string]int) {
	for _, r := range results {
		ran := runs[r.id]
		v.Accepted++
		if r.cutShort {
			v.CutShort++
			v.addProblem("request %s was cut short: %s", r.id, r.detail)
		}
		switch {
		case r.outcome == "":
			v.Lost++
			v.addProblem("request %s has no outcome: %s", r.id, r.detail)
		case r.outcome == structs.OutcomeAnswered && ran == 0:
			v.Lost++
			v.addProblem("request %s was answered, but no minion ran it", r.id)
		case r.outcome == structs.OutcomeNotRun && ran > 0 && !r.idempotent:
			v.Doubled++
			v.addProblem("request %s was refused as not run, but ran %d times", r.id, ran)
		case !r.idempotent && ran > 1:
			v.Doubled++
			v.addProblem("non-idempotent request %s ran %d times", r.id, ran)
		}
		v.countOutcome(r.outcome)
	}
}

func (v *Verdict) countOutcome(outcome structs.Outcome) {
	switch outcome {
	case structs.OutcomeAnswered:
		v.Answered++
	case structs.OutcomeNotRun:
		v.NotRun++
	case structs.OutcomeUnknown:
		v.Unknown++
	}
}

// judgeGangs compares the callers' results with the workers' records. An attempt is complete if all its members finished, and
// partial if only some of them did. A gang must have exactly one complete attempt; with more, it is doubled.
func (v *Verdict) judgeGangs(results []gangResult, runs []workerRun) {
	type attempt struct {
		job     structs.JobID
		attempt uint64
	}
	finished := map[attempt]int{}
	members := map[attempt]int{}
	for _, r := range runs {
		key := attempt{r.Job, r.Attempt}
		members[key] = r.Members
		if r.EndPhase == platform.TaskFinished {
			finished[key]++
		}
	}
	completeAttempts := map[structs.JobID]int{}
	for key, n := range finished {
		if n == members[key] {
			completeAttempts[key.job]++
			continue
		}
		v.GangsPartial++
		v.addProblem("job %s attempt %d finished on %d of %d members", key.job, key.attempt, n, members[key])
	}
	for _, r := range results {
		v.judgeGang(r, completeAttempts[scheduler.Key(r.customer, r.id)])
	}
}

// judgeAllAnswered checks that every request was answered, also during planned shutdowns.
func (v *Verdict) judgeAllAnswered(results []requestResult) {
	for _, r := range results {
		if r.outcome != structs.OutcomeAnswered {
			v.addProblem("request %s was not answered: %s", r.id, r.detail)
		}
	}
}

// judgeTaskEnds checks that no task failed or lost its lease: planned shutdowns must not affect running jobs.
func (v *Verdict) judgeTaskEnds(runs []workerRun) {
	for _, r := range runs {
		if r.EndPhase == platform.TaskLapsed || r.EndPhase == platform.TaskFailed {
			v.addProblem("job %s attempt %d member %d on %s ended as %s: %s", r.Job, r.Attempt, r.Member, r.Worker, r.EndPhase, r.Message)
		}
	}
}

// judgeGang checks the result of one gang, given the number of its attempts that finished on all members.
func (v *Verdict) judgeGang(r gangResult, completeAttempts int) {
	switch {
	case !r.accepted || r.state != structs.JobFinished:
		v.Lost++
		v.addProblem("gang %s did not finish: %s", r.id, r.detail)
	case completeAttempts == 0:
		v.Lost++
		v.addProblem("gang %s was reported as finished, but none of its attempts finished on all members", r.id)
	case completeAttempts > 1:
		v.Doubled++
		v.addProblem("gang %s finished %d times", r.id, completeAttempts)
	default:
		v.GangsRun++
	}
}

// minionRuns returns how often each request ran over all minions, and checks that no minion exceeded its limits.
func (v *Verdict) minionRuns(ctx context.Context, client *http.Client, addresses []string, slots, connections int) (map[string]int, error) {
	runs := map[string]int{}
	for _, address := range addresses {
		var report minion.Report
		if err := getJSON(ctx, client, "http://"+address+"/report", &report); err != nil {
			return nil, err
		}
		for _, run := range report.Runs {
			id, _, _ := strings.Cut(run.Payload, " ")
			runs[id]++
		}
		v.SlotsHighest = max(v.SlotsHighest, report.HighestSlots)
		v.ConnectionsHighest = max(v.ConnectionsHighest, report.HighestConnections)
	}
	if v.SlotsHighest > slots || v.ConnectionsHighest > connections {
		v.addProblem("a minion saw %d slots and %d connections in use at once; %d and %d are allowed", v.SlotsHighest, v.ConnectionsHighest, slots, connections)
	}
	return runs, nil
}

func getJSON(ctx context.Context, client *http.Client, target string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return fmt.Errorf("%s answered status %d: %s", target, response.StatusCode, text)
	}
	return json.NewDecoder(response.Body).Decode(into)
}
