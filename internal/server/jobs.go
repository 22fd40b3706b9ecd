package server

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/jobstore"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/rackowner"
	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func (s *Server) buildJobs() {
	timing := rackowner.Timing{
		SessionTTL: s.settings.Timing.WorkerSessionTTL,
		Renew:      s.settings.Timing.WorkerSessionRenew,
		TaskLease:  s.settings.Timing.TaskLease,
		HoldTTL:    s.settings.Timing.HoldTTL,
	}
	s.rackOwner = rackowner.New(rackowner.Config{
		View:    s.members,
		HTTP:    platform.NewHTTPClient(),
		Timing:  timing,
		Log:     s.events,
		Metrics: s.scope,
	})
	jobs := jobStream{store: s.jobs}
	s.scheduler = scheduler.New(scheduler.Config{
		View: s.members,
		Text: s.text,
		Jobs: jobs,
		Racks: func(ctx context.Context) rackowner.Racks {
			return rackowner.NewRemote(ctx, s.members, s.peerNode, timing, s.events)
		},
		Timing:          timing,
		CheckpointGrace: s.settings.Timing.CheckpointGrace,
		Log:             s.events,
		Metrics:         s.scope,
	})
	s.gateway = &scheduler.Gateway{View: s.members, Caller: s.peerNode, Jobs: jobs, Scheduler: s.scheduler}
	s.services = scheduler.NewServices(s.gateway)
}

// jobStream adapts the job store of the data centre to scheduler.Jobs.
type jobStream struct{ store *jobstore.Store }

// Submit implements scheduler.Jobs.
func (j jobStream) Submit(ctx context.Context, job structs.Job) error {
	_, err := j.store.Submit(ctx, job)
	return err
}

// Cancel implements scheduler.Jobs.
func (j jobStream) Cancel(ctx context.Context, customer structs.Customer, id structs.JobID) error {
	_, err := j.store.Cancel(ctx, jobstore.Ref{Customer: customer, ID: id})
	return err
}

// Finish implements scheduler.Jobs.
func (j jobStream) Finish(ctx context.Context, customer structs.Customer, id structs.JobID, result scheduler.Result) error {
	_, err := j.store.Finish(ctx, jobstore.Ref{Customer: customer, ID: id}, jobstore.Result{
		State:    result.State,
		Message:  result.Message,
		Attempts: uint64(max(0, result.Attempts)),
		EndedAt:  result.EndedAt,
	})
	return err
}

// Unfinished implements scheduler.Jobs.
func (j jobStream) Unfinished() []scheduler.Accepted {
	open, _ := j.store.OpenJobs()
	accepted := make([]scheduler.Accepted, 0, len(open))
	for _, entry := range open {
		accepted = append(accepted, scheduler.Accepted{Job: entry.Job})
	}
	return accepted
}

// Find implements scheduler.Jobs.
func (j jobStream) Find(customer structs.Customer, id structs.JobID) (scheduler.Accepted, *scheduler.Result, bool) {
	entry, found := j.store.Get(jobstore.Ref{Customer: customer, ID: id})
	if !found || entry.Result == nil {
		return scheduler.Accepted{Job: entry.Job}, nil, found
	}
	result := scheduler.Result{
		State:    entry.Result.State,
		Message:  entry.Result.Message,
		Attempts: int(entry.Result.Attempts),
		EndedAt:  entry.Result.EndedAt,
	}
	return scheduler.Accepted{Job: entry.Job, Cancelled: result.State == structs.JobCancelled}, &result, true
}

// CurrentAsOf implements scheduler.Jobs.
func (j jobStream) CurrentAsOf() time.Time { return j.store.UpToDate() }

// Changed implements scheduler.Jobs.
func (j jobStream) Changed() <-chan struct{} { return j.store.Changed() }
