package command

import (
	"context"
	"flag"
	"fmt"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/ctl"
)

func (p *program) executor() *ffcli.Command {
	var service string
	return p.leaf(spec{
		usage: "executor",
		help:  "list the executors",
		declare: func(flags *flag.FlagSet) {
			flags.StringVar(&service, "service", "", "only those of this `service`")
		},
		exec: func(ctx context.Context, _ []string) error {
			var response adminapi.ExecutorsResponse
			query := url.Values{}
			if service != "" {
				query.Set("service", service)
			}
			if err := p.admin.Get(ctx, "executors", query, &response); err != nil {
				return err
			}
			return p.print(response, func() error {
				rows := [][]string{{"EXECUTOR", "SERVICE", "ZONE", "ENDPOINT", "STATE", "SLOTS", "CONNECTIONS"}}
				for _, e := range response.Executors {
					rows = append(rows, []string{
						string(e.ID), string(e.Service), string(e.Zone), e.Endpoint, string(e.State),
						fmt.Sprint(e.Slots), fmt.Sprint(e.Connections),
					})
				}
				return ctl.Table(p.Stdout, rows)
			})
		},
	})
}
