package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/scheduler"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// waitCallTimeout is how long one call waits for a job's end. The server allows at most 60 s.
const waitCallTimeout = 30 * time.Second

// jobCommand groups the commands on jobs.
type jobCommand struct {
	Submit submitCommand `cmd:"" help:"Submit a job. Retries with the same id until the outcome is known."`
	Show   jobShow       `cmd:"" help:"Show a job."`
	Wait   waitCommand   `cmd:"" help:"Wait until a job has ended. Exits with 0 only when it finished."`
	Cancel cancelCommand `cmd:"" help:"Cancel a job."`
}

// jobRef declares the arguments that identify a job.
type jobRef struct {
	ID         string `arg:"" name:"job" help:"Id of the job."`
	DataCentre string `help:"Data centre of the job. The default is to ask all data centres, starting with the one that the hash of customer and id selects."`
}

// path returns the path of a call on the job.
func (r jobRef) path(suffix string, query url.Values) string {
	if r.DataCentre != "" {
		query.Set("data_centre", r.DataCentre)
	}
	path := "/v1/jobs/" + url.PathEscape(r.ID) + suffix
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return path
}

// submitCommand submits a job.
type submitCommand struct {
	ID           string        `help:"Id of the job, unique within the customer; use the same one to repeat a submission. Random by default."`
	Kind         string        `required:"" help:"Kind of job, from job_kinds of the specification."`
	Accelerators int           `default:"1" help:"Total number of accelerators of all members."`
	RunTime      time.Duration `required:"" help:"Expected run time."`
	DataCentre   string        `help:"Data centre to run in. The default is the one that the hash of customer and id selects."`
	Wait         bool          `help:"Wait until the job has ended."`
	WaitTimeout  time.Duration `default:"24h" help:"Longest time to wait."`
}

// Run submits the job.
func (c *submitCommand) Run(a *app) error {
	request := api.SubmitRequest{
		ID: structs.JobID(c.ID), Kind: structs.KindName(c.Kind), Accelerators: c.Accelerators,
		RunTimeMS: c.RunTime.Milliseconds(), DataCentre: structs.DataCentre(c.DataCentre),
	}
	if request.ID == "" {
		request.ID = structs.JobID(rand.Text())
	}
	ctx, cancel := a.withTimeout()
	defer cancel()
	stop := a.progress("submitting")
	var status scheduler.JobStatus
	err := retry(ctx, func() error { return a.client.call(ctx, http.MethodPost, "/v1/jobs", request, &status) })
	stop()
	if errkind.Is(err, errkind.Unknown) {
		return errkind.Wrap(err, errkind.Unknown, "repeat with --id="+string(request.ID), "the outcome of the submission is not known")
	}
	if err != nil {
		return err
	}
	if c.Wait {
		return a.waitForJob(jobRef{ID: string(request.ID), DataCentre: string(status.DataCentre)}, c.WaitTimeout)
	}
	return a.printJob(status)
}

// jobShow shows a job.
type jobShow struct{ jobRef }

// Run prints the job.
func (c *jobShow) Run(a *app) error { return a.jobCall(http.MethodGet, c.path("", url.Values{})) }

// explainCommand shows why a job is waiting or has ended.
type explainCommand struct{ jobRef }

// Run prints the job with the reason.
func (c *explainCommand) Run(a *app) error {
	return a.jobCall(http.MethodGet, c.path("/explain", url.Values{}))
}

// cancelCommand cancels a job.
type cancelCommand struct{ jobRef }

// Run cancels the job. It is idempotent and retries.
func (c *cancelCommand) Run(a *app) error {
	ctx, cancel := a.withTimeout()
	defer cancel()
	var status scheduler.JobStatus
	err := retry(ctx, func() error {
		return a.client.call(ctx, http.MethodDelete, c.path("", url.Values{}), nil, &status)
	})
	if err != nil {
		return err
	}
	return a.printJob(status)
}

// waitCommand waits until a job has ended.
type waitCommand struct {
	jobRef
	WaitTimeout time.Duration `default:"24h" help:"Longest time to wait."`
}

// Run waits and prints the job.
func (c *waitCommand) Run(a *app) error { return a.waitForJob(c.jobRef, c.WaitTimeout) }

// waitForJob waits until a job has ended and prints it. It retries when the server restarts or a connection is lost. The
// error has the kind Deadline after timeout, and CannotRun when the job ended without finishing.
func (a *app) waitForJob(ref jobRef, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	stop := a.progress("waiting for job " + ref.ID)
	var status scheduler.JobStatus
	for !status.State.Final() {
		path := ref.path("/wait", url.Values{"timeout": {waitCallTimeout.String()}})
		err := retry(ctx, func() error { return a.client.call(ctx, http.MethodGet, path, nil, &status) })
		if ctx.Err() != nil {
			stop()
			return errkind.Wrap(errors.Join(ctx.Err(), err), errkind.Deadline, "wait again, or see dogwoodnotch explain", "job %s has not ended yet", ref.ID)
		}
		if err != nil && !errkind.Is(err, errkind.Deadline) {
			stop()
			return err
		}
	}
	stop()
	if err := a.printJob(status); err != nil {
		return err
	}
	if status.State != structs.JobFinished {
		return errkind.New(errkind.CannotRun, "see dogwoodnotch explain "+ref.ID, "job %s is %s", ref.ID, status.State)
	}
	return nil
}

func (a *app) jobCall(method, path string) error {
	ctx, cancel := a.withTimeout()
	defer cancel()
	var status scheduler.JobStatus
	if err := a.client.call(ctx, method, path, nil, &status); err != nil {
		return err
	}
	return a.printJob(status)
}

func (a *app) printJob(status scheduler.JobStatus) error {
	return a.print(status, func(w io.Writer) error {
		fmt.Fprintf(w, "job %s: %s in %s, kind %s, %d accelerator(s), %d attempt(s)\n",
			status.ID, status.State, status.DataCentre, status.Kind, status.Accelerators, status.Attempts)
		for _, line := range []struct{ name, value string }{{"reason", status.Reason}, {"remedy", status.Remedy}} {
			if line.value != "" {
				fmt.Fprintf(w, "%s: %s\n", line.name, line.value)
			}
		}
		return nil
	})
}

func sortedNames(fields map[string]string) []string { return slices.Sorted(maps.Keys(fields)) }
