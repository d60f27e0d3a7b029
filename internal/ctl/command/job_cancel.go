package command

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (p *program) jobCancel() *ffcli.Command {
	return p.leaf(spec{
		usage: "job cancel JOB",
		help:  "stop a job; cancelling it again has no effect",
		exec: func(ctx context.Context, args []string) error {
			job, err := p.jobClient().CancelJob(ctx, args[0])
			if err != nil {
				return jobFailure(err)
			}
			return p.printJob(job)
		},
	})
}
