package scheduler

import (
	"context"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/jobstore"
	"dogwoodnotch.example/dogwoodnotch/internal/membership"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Kinds of peer calls to the scheduler of a data centre. Every instance of the data centre serves submit and cancel, since
// the job stream decides between concurrent ones.
const (
	kindSubmit   = "scheduler.submit"
	kindCancel   = "scheduler.cancel"
	kindExplain  = "scheduler.explain"
	kindServices = "scheduler.services"
)

// jobRef identifies a job in its data centre.
type jobRef struct {
	Customer structs.Customer `msgpack:"customer"`
	ID       structs.JobID    `msgpack:"id"`
}

type servicesResponse struct {
	Down map[structs.ServiceName]structs.ServiceName `msgpack:"down"`
}

// Gateway forwards calls on jobs from any instance to the data centre of the job.
type Gateway struct {
	View      membership.View
	Caller    peer.Caller
	Jobs      Jobs // the job stream of this instance's data centre
	Scheduler *Scheduler
}

// Register registers the handlers of peer calls.
func (g *Gateway) Register(r peer.Registrar) {
	r.Handle(kindSubmit, func(ctx context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var job structs.Job
		if err := decode(&job); err != nil {
			return nil, err
		}
		return struct{}{}, g.Jobs.Submit(ctx, job)
	})
	r.Handle(kindCancel, func(ctx context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var ref jobRef
		if err := decode(&ref); err != nil {
			return nil, err
		}
		return struct{}{}, g.Jobs.Cancel(ctx, ref.Customer, ref.ID)
	})
	r.Handle(kindExplain, func(ctx context.Context, _ structs.InstanceID, decode func(any) error) (any, error) {
		var ref jobRef
		if err := decode(&ref); err != nil {
			return nil, err
		}
		return g.localStatus(ctx, ref)
	})
	r.Handle(kindServices, func(ctx context.Context, _ structs.InstanceID, _ func(any) error) (any, error) {
		var response servicesResponse
		err := g.Scheduler.ask(ctx, func(t *term) { response.Down = t.downServices })
		return response, err
	})
}

// Submit accepts a job in its data centre.
func (g *Gateway) Submit(ctx context.Context, job structs.Job) error {
	if _, own := g.View.Self(); job.DataCentre == own {
		return g.Jobs.Submit(ctx, job)
	}
	return g.call(ctx, job.DataCentre, kindSubmit, job, nil)
}

// Cancel records a cancellation in the job's data centre.
func (g *Gateway) Cancel(ctx context.Context, dc structs.DataCentre, customer structs.Customer, id structs.JobID) error {
	if _, own := g.View.Self(); dc == own {
		return g.Jobs.Cancel(ctx, customer, id)
	}
	return g.call(ctx, dc, kindCancel, jobRef{customer, id}, nil)
}

// Explain returns a job's state and why it waits. The error has kind NotFound when the data centre knows no such job.
func (g *Gateway) Explain(ctx context.Context, dc structs.DataCentre, customer structs.Customer, id structs.JobID) (JobStatus, error) {
	ref := jobRef{customer, id}
	_, own := g.View.Self()
	var status JobStatus
	err := g.call(ctx, dc, kindExplain, ref, &status)
	if err != nil && dc == own && !errkind.Is(err, errkind.NotFound) {
		return g.recordedStatus(ref)
	}
	return status, err
}

// call calls the scheduler of a data centre.
func (g *Gateway) call(ctx context.Context, dc structs.DataCentre, kind string, request, response any) error {
	to := g.View.Owner(dc, membership.OwnerKeyScheduler)
	if to == "" {
		return errkind.New(errkind.Unavailable, "try again later", "no instance of data centre %s is reachable", dc)
	}
	return g.Caller.Call(ctx, to, kind, request, response)
}

// localStatus describes a job from the decision loop when that runs on this instance and knows the job, else from the job
// stream.
func (g *Gateway) localStatus(ctx context.Context, ref jobRef) (JobStatus, error) {
	var status JobStatus
	found := false
	err := g.Scheduler.ask(ctx, func(t *term) {
		j := t.jobs[Key(ref.Customer, ref.ID)]
		if j != nil {
			status = t.status(j)
			found = true
		}
	})
	if err == nil && found {
		return status, nil
	}
	return g.recordedStatus(ref)
}

func (g *Gateway) recordedStatus(ref jobRef) (JobStatus, error) {
	_, dc := g.View.Self()
	accepted, result, known := g.Jobs.Find(ref.Customer, ref.ID)
	if !known {
		return JobStatus{}, errkind.New(errkind.NotFound, "check the id and the customer's token",
			"data centre %s knows no job %s of customer %s", dc, ref.ID, ref.Customer)
	}
	return recordedStatus(accepted, result, dc), nil
}

// Wait returns when the job is in a final state, or when ctx ends with the last known state. It asks once per poll interval.
func (g *Gateway) Wait(ctx context.Context, dc structs.DataCentre, customer structs.Customer, id structs.JobID, poll time.Duration) (JobStatus, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var last JobStatus
	for {
		select {
		case <-ctx.Done():
			return last, nil
		case <-timer.C:
		}
		status, err := g.Explain(ctx, dc, customer, id)
		if err != nil && ctx.Err() == nil {
			return status, err
		}
		if err == nil {
			last = status
		}
		if last.State.Final() {
			return last, nil
		}
		timer.Reset(poll)
	}
}

// Home returns the data centre of a job that names none. It is chosen by rendezvous hashing of customer and id over the data
// centres of the specification, so that a retry at any instance reaches the same job stream.
func Home(text *spec.Text, customer structs.Customer, id structs.JobID) structs.DataCentre {
	names := make([]structs.DataCentre, 0, len(text.DataCentres))
	for i := range text.DataCentres {
		names = append(names, text.DataCentres[i].Name)
	}
	return jobstore.HomeDataCentre(jobstore.Ref{Customer: customer, ID: id}, names)
}
