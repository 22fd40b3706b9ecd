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

// workerRun is one member of a job as a worker recorded it.
type workerRun = worker.Run

// Verdict is the result of a demonstration, counted by the stand-ins and the client.
type Verdict struct {
	Accepted, Answered, NotRun, Unknown int
	Lost, Doubled, CutShort             int
	GangsRun, GangsPartial              int
	SlotsHighest, ConnectionsHighest    int
	Duration                            time.Duration
	Problems                            []string
}

// String returns the demonstration's last line.
func (v *Verdict) String() string {
	return fmt.Sprintf("demo: accepted=%d answered=%d not_run=%d unknown=%d lost=%d doubled=%d cut_short=%d gangs_run=%d gangs_partial=%d seconds=%.1f",
		v.Accepted, v.Answered, v.NotRun, v.Unknown, v.Lost, v.Doubled, v.CutShort, v.GangsRun, v.GangsPartial, v.Duration.Seconds())
}

// Passed reports whether nothing was lost, doubled, cut short or partial, and the minions' limits held.
func (v *Verdict) Passed() bool {
	return v.Lost == 0 && v.Doubled == 0 && v.CutShort == 0 && v.GangsPartial == 0 && len(v.Problems) == 0
}

func (v *Verdict) problem(format string, args ...any) {
	v.Problems = append(v.Problems, fmt.Sprintf(format, args...))
}

// judgeRequests compares what callers know with what the minions ran.
func (v *Verdict) judgeRequests(results []requestResult, runs map[string]int) {
	for _, r := range results {
		ran := runs[r.id]
		v.Accepted++
		if r.cutShort {
			v.CutShort++
			v.problem("request %s was cut short: %s", r.id, r.detail)
		}
		switch {
		case r.outcome == "":
			v.Lost++
			v.problem("request %s has no outcome: %s", r.id, r.detail)
		case r.outcome == structs.OutcomeAnswered && ran == 0:
			v.Lost++
			v.problem("request %s was answered but no minion ran it", r.id)
		case r.outcome == structs.OutcomeNotRun && ran > 0 && !r.idempotent:
			v.Doubled++
			v.problem("request %s was refused as not run but ran %d times", r.id, ran)
		case !r.idempotent && ran > 1:
			v.Doubled++
			v.problem("non-idempotent request %s ran %d times", r.id, ran)
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

// judgeGangs compares what callers know with what the workers ran: a gang ran whole when all members of one attempt
// finished, it was doubled when that holds for two attempts, and it was partial when an attempt finished on some members only.
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
	whole := map[structs.JobID]int{}
	for key, n := range finished {
		if n == members[key] {
			whole[key.job]++
			continue
		}
		v.GangsPartial++
		v.problem("job %s attempt %d finished on %d of %d members", key.job, key.attempt, n, members[key])
	}
	for _, r := range results {
		v.judgeGang(r, whole[scheduler.Key(r.customer, r.id)])
	}
}

// judgeAnswered checks that every request was answered: planned stops must not cost any.
func (v *Verdict) judgeAnswered(results []requestResult) {
	for _, r := range results {
		if r.outcome != structs.OutcomeAnswered {
			v.problem("request %s was not answered: %s", r.id, r.detail)
		}
	}
}

// judgeUntouched checks that no task failed or lost its lease: planned stops must not touch running work.
func (v *Verdict) judgeUntouched(runs []workerRun) {
	for _, r := range runs {
		if r.EndPhase == platform.TaskLapsed || r.EndPhase == platform.TaskFailed {
			v.problem("job %s attempt %d member %d on %s ended as %s: %s", r.Job, r.Attempt, r.Member, r.Worker, r.EndPhase, r.Message)
		}
	}
}

func (v *Verdict) judgeGang(r gangResult, whole int) {
	switch {
	case !r.accepted || r.state != structs.JobFinished:
		v.Lost++
		v.problem("gang %s did not finish: %s", r.id, r.detail)
	case whole == 0:
		v.Lost++
		v.problem("gang %s is said to have finished, but no attempt did", r.id)
	case whole > 1:
		v.Doubled++
		v.problem("gang %s finished %d times", r.id, whole)
	default:
		v.GangsRun++
	}
}

// minionRuns returns how often each request ran, over all minions, and checks the minions' limits.
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
		v.problem("a minion saw %d slots and %d connections in use at once; %d and %d are allowed", v.SlotsHighest, v.ConnectionsHighest, slots, connections)
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
