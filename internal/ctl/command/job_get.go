package command

import (
	"context"
	"flag"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (p *program) jobGet() *ffcli.Command {
	var wait time.Duration
	return p.leaf(spec{
		usage:   "job get JOB",
		help:    "show a job",
		declare: func(flags *flag.FlagSet) { declareJobWait(flags, &wait) },
		exec: func(ctx context.Context, args []string) error {
			job, err := p.jobClient().GetJob(ctx, args[0])
			if err != nil {
				return jobFailure(err)
			}
			return p.waitAndPrintJob(ctx, job, wait)
		},
	})
}
