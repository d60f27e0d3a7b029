package command

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/ctl"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
)

func (p *program) job() *ffcli.Command {
	return p.group("job", "submit, show and cancel jobs as an organisation",
		p.jobSubmit(), p.jobGet(), p.jobCancel())
}

// jobClient returns a client that acts as the organisation of the caller token.
func (p *program) jobClient() *client.Client {
	return &client.Client{BaseURL: p.settings.Entry, Token: p.settings.CallerToken}
}

// jobFailure converts an error of the client into a ctl.Failure, which has a problem
// document and determines the exit code.
func jobFailure(err error) error {
	var failed *client.Error
	if !errors.As(err, &failed) {
		return err
	}
	document := problem.New(outcome.Outcome{
		Kind:   outcome.Kind(failed.Kind),
		Reason: outcome.Reason(failed.Reason),
		Detail: failed.Detail,
	})
	document.Request = failed.Request
	return &ctl.Failure{ChangeProblem: adminapi.ChangeProblem{Document: document}}
}

func declareJobWait(flags *flag.FlagSet, wait *time.Duration) {
	flags.DurationVar(wait, "wait", 0, "maximum `time` to wait for the end of the job")
}

// jobPollTimeout limits how long one call waits for a change of a job.
const jobPollTimeout = 10 * time.Second

// waitJob waits until the job has ended, at most for wait, and returns its latest state.
func (p *program) waitJob(ctx context.Context, job client.Job, wait time.Duration) (client.Job, error) {
	deadline := p.Clock.Now().Add(wait)
	for !job.Final() {
		remaining := deadline.Sub(p.Clock.Now())
		if remaining <= 0 {
			return job, nil
		}
		latest, err := p.jobClient().WaitJob(ctx, job.ID, job.Revision, min(remaining, jobPollTimeout))
		if err != nil {
			return job, jobFailure(err)
		}
		job = latest
	}
	return job, nil
}

// waitAndPrintJob waits, prints the job and returns an error when the job has failed.
func (p *program) waitAndPrintJob(ctx context.Context, job client.Job, wait time.Duration) error {
	job, err := p.waitJob(ctx, job, wait)
	if err != nil {
		return err
	}
	if err := p.printJob(job); err != nil {
		return err
	}
	if job.State == "failed" {
		return errors.Errorf("job %s failed: %s (%s) %s", job.ID, job.Outcome.Kind, job.Outcome.Reason, job.Outcome.Detail)
	}
	return nil
}

func (p *program) printJob(job client.Job) error {
	return p.print(job, func() error {
		rows := [][]string{
			{"job", job.ID},
			{"organisation", job.Organisation},
			{"service", job.Service},
			{"zone", job.Zone},
			{"state", job.State},
			{"outcome", strings.TrimSpace(fmt.Sprintf("%s %s %s", job.Outcome.Kind, job.Outcome.Reason, job.Outcome.Detail))},
			{"attempts", fmt.Sprint(job.Attempts)},
			{"workers", strings.Join(job.Workers, " ")},
			{"accepted", formatTime(job.Accepted)},
			{"started", formatTime(job.Started)},
			{"ended", formatTime(job.Ended)},
		}
		return ctl.Table(p.Stdout, rows)
	})
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339Nano)
}
