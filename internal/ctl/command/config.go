package command

import (
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/ctl"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
)

func (p *program) config() *ffcli.Command {
	return p.group("config", "check, compare, apply and show the configuration",
		p.configCheck(), p.configDiff(), p.configApply(), p.configShow())
}

// parse parses a configuration locally, with the same checks as chervil-admin.
func parse(text []byte) (*config.Cluster, error) {
	cluster, problems := config.Parse(text)
	if len(problems) == 0 {
		return cluster, nil
	}
	o := outcome.NotRunBecause(outcome.ReasonMalformed, "the configuration has %d mistakes", len(problems))
	return nil, &ctl.Failure{ChangeProblem: adminapi.ChangeProblem{Document: problem.New(o), Problems: problems}}
}

// printChange prints a summary line, the differences that a change makes, and warnings.
func (p *program) printChange(summary string, response adminapi.ChangeResponse) error {
	return p.print(response, func() error {
		fmt.Fprintln(p.Stdout, summary)
		for _, change := range response.Changes {
			fmt.Fprintln(p.Stdout, "  "+change.String())
		}
		if len(response.Warnings) > 0 {
			fmt.Fprintln(p.Stderr, "chervilctl: warning: with the current workers and zones")
			ctl.Lines(p.Stderr, ctl.UnmetLines(response.Warnings))
		}
		return nil
	})
}
