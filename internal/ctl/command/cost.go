package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/ctl"
)

func (p *program) cost() *ffcli.Command {
	return p.leaf(spec{
		usage: "cost",
		help:  "show the resource use of each organisation",
		exec: func(ctx context.Context, _ []string) error {
			var response adminapi.CostResponse
			if err := p.admin.Get(ctx, "cost", nil, &response); err != nil {
				return err
			}
			return p.print(response, func() error {
				if len(response.Missing) > 0 {
					fmt.Fprintln(p.Stderr, "chervilctl: warning: no response from", strings.Join(response.Missing, ", "))
				}
				return ctl.Table(p.Stdout, costRows(response.Costs))
			})
		},
	})
}

func costRows(costs []adminapi.Cost) [][]string {
	rows := [][]string{{"ORGANISATION", "REQUESTS", "ATTEMPTS", "SLOT SECONDS", "SLOT SECONDS PER REQUEST", "ACCELERATOR SECONDS"}}
	for _, c := range costs {
		perRequest := "-"
		if c.Requests > 0 {
			perRequest = fmt.Sprintf("%.4f", c.SlotSeconds/float64(c.Requests))
		}
		rows = append(rows, []string{
			string(c.Organisation), fmt.Sprint(c.Requests), fmt.Sprint(c.Attempts),
			fmt.Sprintf("%.3f", c.SlotSeconds), perRequest, fmt.Sprintf("%.3f", c.AcceleratorSeconds),
		})
	}
	return rows
}
