package command

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/client"
)

// submitFlags are the flags of "job submit".
type submitFlags struct {
	request  client.JobRequest
	runTime  time.Duration
	deadline time.Duration
	zones    string
	payload  string
	key      string
	wait     time.Duration
}

func (f *submitFlags) declare(flags *flag.FlagSet) {
	flags.StringVar(&f.request.Service, "service", "", "`service` that the job belongs to")
	flags.IntVar(&f.request.Shape.Tasks, "tasks", 1, "`number` of tasks, which run together or not at all")
	flags.StringVar(&f.request.Shape.Adjacency, "adjacency", "zone", "all tasks within one `worker, rack or zone`")
	flags.IntVar(&f.request.Shape.PerTask.Accelerators, "accelerators", 0, "`number` of accelerators per task")
	flags.Int64Var(&f.request.Shape.PerTask.MilliCPU, "milli-cpu", 0, "`thousandths` of a CPU core per task")
	flags.Int64Var(&f.request.Shape.PerTask.MemoryMB, "memory-mb", 0, "`megabytes` of memory per task")
	flags.StringVar(&f.request.Priority, "priority", "normal", "`urgent or normal`")
	flags.BoolVar(&f.request.Repeatable, "repeatable", false, "the job may be started again after a task was lost")
	flags.BoolVar(&f.request.Checkpoint, "checkpoint", false, "the tasks can be checkpointed and resumed")
	flags.DurationVar(&f.runTime, "run-time", 0, "estimated run `time`")
	flags.DurationVar(&f.deadline, "deadline", 0, "`time` from now after which the job is no longer useful")
	flags.StringVar(&f.zones, "zones", "", "comma-separated `zones` where it may run; empty means any")
	flags.StringVar(&f.payload, "payload", "", "`file` that is passed to every task")
	flags.StringVar(&f.key, "key", "", "idempotency `key`; submitting again with the same key returns the same job")
	declareJobWait(flags, &f.wait)
}

func (p *program) jobSubmit() *ffcli.Command {
	var submit submitFlags
	return p.leaf(spec{
		usage:   "job submit",
		help:    "submit a job",
		declare: submit.declare,
		exec: func(ctx context.Context, _ []string) error {
			request, err := p.jobRequest(submit)
			if err != nil {
				return err
			}
			job, err := p.jobClient().SubmitJob(ctx, request, submit.key)
			if err != nil {
				return jobFailure(err)
			}
			return p.waitAndPrintJob(ctx, job, submit.wait)
		},
	})
}

func (p *program) jobRequest(f submitFlags) (client.JobRequest, error) {
	request := f.request
	request.DeclaredRunTimeMS = f.runTime.Milliseconds()
	if f.deadline > 0 {
		request.Deadline = p.Clock.Now().Add(f.deadline)
	}
	if f.zones != "" {
		request.Zones = strings.Split(f.zones, ",")
	}
	if f.payload == "" {
		return request, nil
	}
	payload, err := p.readFile(f.payload)
	request.Payload = payload
	return request, err
}
