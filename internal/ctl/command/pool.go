package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/ctl"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/poolhost"
)

func (p *program) pool() *ffcli.Command {
	return p.group("pool", "inspect a pool by calling its hosts directly", p.poolStatus(), p.poolWhy())
}

// poolClient returns a client of the pool host in the settings.
func (p *program) poolClient() (*ctl.Pool, error) {
	if p.settings.PoolHost == "" {
		return nil, &ctl.UsageError{Message: `setting pool-host is "", expected the URL of a host with the port that serves other hosts, such as http://10.0.0.5:7520`}
	}
	return &ctl.Pool{Address: p.settings.PoolHost, HTTP: ctl.NewHTTP()}, nil
}

// poolStatusOutput is the JSON output of "pool status".
type poolStatusOutput struct {
	Host poolhost.Status `json:"host"`
	// Owner is the status that the owner reports; nil when there is none.
	Owner *poolhost.Status `json:"owner,omitempty"`
}

func (p *program) poolStatus() *ffcli.Command {
	return p.leaf(spec{
		usage: "pool status",
		help:  "show a host, the owner of the pool, workers, queues and guarantees",
		exec: func(ctx context.Context, _ []string) error {
			client, err := p.poolClient()
			if err != nil {
				return err
			}
			host, owner, ownerErr, err := client.Status(ctx)
			if err != nil {
				return err
			}
			output := poolStatusOutput{Host: host}
			if ownerErr == nil {
				output.Owner = &owner
			}
			if err := p.print(output, func() error { return p.printPoolStatus(output) }); err != nil {
				return err
			}
			return ownerErr
		},
	})
}

func (p *program) printPoolStatus(output poolStatusOutput) error {
	host := output.Host
	fmt.Fprintf(p.Stdout, "asked %s: configuration version %d, known to be the newest %d ms ago, in force: %s; not reached: %s\n",
		host.Host, host.ConfigVersion, host.ConfigAgeMS, yesNo(host.ConfigConfirmed), joinOrNothing(host.FailingCalls))
	if output.Owner == nil {
		return nil
	}
	term := output.Owner.Term
	w := term.Pool.Workers
	fmt.Fprintf(p.Stdout, "owner %s: fence %d, for %s, certain: %s, configuration version %d\n",
		output.Owner.Host, term.Fence, roundedDuration(term.AgeMS), yesNo(term.Confirmed), output.Owner.ConfigVersion)
	fmt.Fprintf(p.Stdout, "workers: %d listed, %d usable, %d silent, %d draining, %d quarantined, %d slow; %d of %d accelerators free\n\n",
		w.Listed, w.Usable, w.Silent, w.Draining, w.Quarantined, w.Slow, w.Free, w.Capacity)
	for _, rows := range [][][]string{queueRows(term.Pool.Queues), guaranteeRows(term.Pool.Organisations), reclaimRows(term.Pool.Reclaims)} {
		if err := ctl.Table(p.Stdout, rows); err != nil {
			return err
		}
		fmt.Fprintln(p.Stdout)
	}
	return nil
}

func roundedDuration(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
}

func joinOrNothing(names []string) string {
	if len(names) == 0 {
		return "nothing"
	}
	return strings.Join(names, ", ")
}

func queueRows(queues []pool.QueueReport) [][]string {
	rows := [][]string{{"QUEUE", "PRIORITY", "WAITING", "RUNNING", "OLDEST"}}
	for _, q := range queues {
		rows = append(rows, []string{q.Queue, fmt.Sprint(q.Priority), fmt.Sprint(q.Waiting), fmt.Sprint(q.Running), roundedDuration(q.OldestMS).String()})
	}
	return rows
}

func guaranteeRows(organisations []pool.OrganisationReport) [][]string {
	rows := [][]string{{"ORGANISATION", "GUARANTEED", "URGENT", "URGENT WAITING", "ALL", "MET"}}
	for _, o := range organisations {
		rows = append(rows, []string{
			string(o.Organisation), fmt.Sprint(o.Guaranteed), fmt.Sprint(o.Urgent), fmt.Sprint(o.UrgentWaiting), fmt.Sprint(o.Use), yesNo(o.GuaranteeMet()),
		})
	}
	return rows
}

func reclaimRows(reclaims []pool.ReclaimReport) [][]string {
	rows := [][]string{{"STOPPED FOR", "OF", "RUNS", "CORE SECONDS LOST"}}
	for _, r := range reclaims {
		rows = append(rows, []string{string(r.For), string(r.From), fmt.Sprint(r.Runs), fmt.Sprintf("%.0f", r.CoreSeconds)})
	}
	return rows
}

func (p *program) poolWhy() *ffcli.Command {
	return p.leaf(spec{
		usage: "pool why JOB",
		help:  "show the state of a job in the pool and why it waits",
		exec: func(ctx context.Context, args []string) error {
			client, err := p.poolClient()
			if err != nil {
				return err
			}
			response, err := client.Explain(ctx, args[0])
			if err != nil {
				return err
			}
			if !response.Found {
				return errors.Errorf("the owner of the pool knows no job %s", args[0])
			}
			return p.print(response.Explanation, func() error { return p.printExplanation(response.Explanation) })
		},
	})
}

func (p *program) printExplanation(e *pool.Explanation) error {
	fmt.Fprintf(p.Stdout, "job %s of %s in queue %s: %s, accepted %s\n", e.Job, e.Organisation, e.Queue, e.State, e.Accepted.UTC().Format(time.RFC3339))
	if len(e.Steps) == 0 {
		return nil
	}
	rows := [][]string{{"STEP", "PARTS", "WAITING", "PLACED", "RUNNING", "ENDING", "DONE", "RUNS", "FAILURES", "WHY"}}
	for _, s := range e.Steps {
		parts := fmt.Sprintf("%d tasks", s.Tasks)
		if s.Gang {
			parts = fmt.Sprintf("gang of %d", s.Tasks)
		}
		rows = append(rows, []string{
			fmt.Sprintf("%d.%d", s.Occurrence, s.Step), parts, fmt.Sprint(s.Waiting), fmt.Sprint(s.Placed), fmt.Sprint(s.Running),
			fmt.Sprint(s.Ending), fmt.Sprint(s.Done), fmt.Sprint(s.Runs), fmt.Sprint(s.Failures), s.Why,
		})
	}
	return ctl.Table(p.Stdout, rows)
}
