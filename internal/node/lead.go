package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/dispatch"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/leadership"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
	"dogwoodnotch.example/dogwoodnotch/internal/wait"
	"dogwoodnotch.example/dogwoodnotch/platform"
)

// Timings of taking over the scheduler role.
const (
	fenceTimeout       = 700 * time.Millisecond // time limit of one fencing call; a healthy one takes about 10 ms
	takeoverRetryPause = 100 * time.Millisecond // pause after a failed call
)

// schedulerProducer is the producer name of the writers of outcomes and runs. Their epoch is the term.
const schedulerProducer = "scheduler"

// lead takes over the scheduler role and schedules until the term ends.
func (n *Node) lead(term *leadership.Term) {
	ctx := term.Context
	if !n.fence(ctx, term.Number) {
		return
	}
	outcomes := ledger.NewWriter(n.store, ledger.JobsTopic, schedulerProducer, term.Number, true)
	runs := ledger.NewWriter(n.store, ledger.RunsTopic, schedulerProducer, term.Number, true)
	n.prepare(outcomes)
	n.prepare(runs)
	var advisor dispatch.Advisor
	if n.settings.Advisor != "" {
		advisor = platform.NewAdvisor(n.client, n.settings.Advisor)
	}
	var view ledger.Freshness // of the jobs
	s := dispatch.New(ctx, dispatch.Config{
		Fleet: n.workers, Advisor: advisor, Jobs: outcomes, Runs: runs, Term: term, Token: term.Number, Catalog: &n.current,
		Bounds: n.settings.dispatchBounds(), Events: n.events, Metrics: n.scope, Now: time.Now, PreviousAuthority: term.EarlierAuthority,
		LeasesLeft: term.LeasesLeft, MayHaveUnrecordedRuns: term.MayHaveUnrecordedRuns, Evacuations: &n.evacuations,
		OperatorView: func() time.Duration { return n.api.CatalogFreshness.Age(time.Now()) },
		JobsView:     func() time.Duration { return view.Age(time.Now()) },
	})
	jobs := n.newSchedulerJobsReader(s, view.MarkSynced)
	if !retry(ctx, n, func() error { return jobs.Load(ctx) }) {
		return
	}
	var units ledger.Batch
	loadUnits := func() (err error) {
		units, err = ledger.LoadNewest(ctx, n.store, ledger.RunsTopic)
		return err
	}
	if !retry(ctx, n, loadUnits) {
		return
	}
	s.Recover(units.Records)
	term.Withhold(s)
	n.runScheduler(term, s, jobs, outcomes, runs)
}

// runScheduler runs the scheduler with its readers and writers until the term ends.
func (n *Node) runScheduler(term *leadership.Term, s *dispatch.Scheduler, jobs *ledger.Reader, writers ...*ledger.Writer) {
	group, ctx := errgroup.WithContext(term.Context)
	for _, w := range writers {
		group.Go(func() error {
			err := w.Run(ctx)
			term.Lose(err)
			return err
		})
	}
	workersReader := platform.WorkerReader(n.store, s, func(err error) {
		n.events.Emit(eventUnreadableEntry, event.F("cause", err))
	})
	group.Go(func() error { workersReader.Run(ctx); return nil })
	group.Go(func() error { jobs.Run(ctx); return nil })
	group.Go(func() error { s.Run(ctx); return nil })
	_ = group.Wait() // the elector logs the error as the cause of the term's end
}

// fence makes the log refuse records of earlier terms, and reports whether it succeeded before ctx ended.
func (n *Node) fence(ctx context.Context, term int64) bool {
	for _, topic := range []string{ledger.JobsTopic, ledger.RunsTopic} {
		call := func() error {
			callCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
			defer cancel()
			_, err := n.store.Append(callCtx, topic, nil, ledger.AppendOptions{Producer: schedulerProducer, Epoch: term})
			return err
		}
		if !retry(ctx, n, call) {
			return false
		}
	}
	return true
}

// retry repeats a call until it succeeds, and reports whether it did before ctx ended.
func retry(ctx context.Context, n *Node, call func() error) bool {
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return true
		}
		n.events.Emit(eventLogLost, event.F("topic", "takeover"), event.F("cause", err))
		wait.For(ctx, takeoverRetryPause)
	}
	return false
}

// newSchedulerJobsReader returns a reader that passes each record of the jobs topic to a scheduler.
func (n *Node) newSchedulerJobsReader(s *dispatch.Scheduler, synced func(sent time.Time)) *ledger.Reader {
	return &ledger.Reader{
		Log: n.store, Topic: ledger.JobsTopic, Synced: synced, Failed: n.readFailed("jobs"),
		Record: func(r ledger.Record) {
			e, err := ledger.DecodeEntry(r)
			if err != nil {
				n.events.Emit(eventUnreadableEntry, event.F("key", r.Key), event.F("cause", err))
				return
			}
			s.Load(e)
		},
	}
}
