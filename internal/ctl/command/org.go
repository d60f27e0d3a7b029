package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/ctl"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
)

func (p *program) org() *ffcli.Command {
	return p.leaf(spec{
		usage: "org [ORGANISATION]",
		help:  "show the organisations with their guarantees",
		exec: func(ctx context.Context, args []string) error {
			var response adminapi.OrganisationsResponse
			if err := p.admin.Get(ctx, "organisations", nil, &response); err != nil {
				return err
			}
			if len(args) > 0 {
				response.Organisations = withID(response.Organisations, args[0])
				if len(response.Organisations) == 0 {
					o := outcome.NotRunBecause(outcome.ReasonNotFound, "there is no organisation %q", args[0])
					return &ctl.Failure{ChangeProblem: adminapi.ChangeProblem{Document: problem.New(o)}}
				}
			}
			return p.print(response, func() error { return p.printOrganisations(response) })
		},
	})
}

// withID returns the organisation with the ID, or none.
func withID(organisations []adminapi.OrganisationInfo, id string) []adminapi.OrganisationInfo {
	for _, o := range organisations {
		if string(o.ID) == id {
			return []adminapi.OrganisationInfo{o}
		}
	}
	return nil
}

func (p *program) printOrganisations(response adminapi.OrganisationsResponse) error {
	rows := [][]string{{"ORGANISATION", "WEIGHT", "LIMIT", "TOKENS", "SERVICES", "GUARANTEE"}}
	for _, o := range response.Organisations {
		services := make([]string, len(o.Services))
		for i, service := range o.Services {
			services[i] = string(service)
		}
		row := []string{
			string(o.ID), fmt.Sprint(o.Weight), limitText(o.MaxAccelerators),
			fmt.Sprint(o.Tokens), strings.Join(services, ","),
		}
		if len(o.Guarantees) == 0 {
			rows = append(rows, append(row, "-"))
		}
		for _, g := range o.Guarantees {
			guarantee := fmt.Sprintf("%s: %d of %s", g.Name, g.Count, g.Shape)
			rows = append(rows, append(append([]string{}, row...), guarantee))
			row = []string{"", "", "", "", ""}
		}
	}
	if err := ctl.Table(p.Stdout, rows); err != nil {
		return err
	}
	for _, o := range response.Organisations {
		ctl.Lines(p.Stderr, ctl.UnmetLines(o.Unmet))
	}
	return nil
}

func limitText(maxAccelerators int) string {
	if maxAccelerators == 0 {
		return "none"
	}
	return fmt.Sprint(maxAccelerators)
}
