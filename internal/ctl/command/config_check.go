package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/config"
)

func (p *program) configCheck() *ffcli.Command {
	var offline bool
	return p.leaf(spec{
		usage: "config check FILE",
		help:  "report all mistakes in a configuration",
		declare: func(flags *flag.FlagSet) {
			flags.BoolVar(&offline, "offline", false, "call no server; whether the guarantees can be held is then not checked")
		},
		exec: func(ctx context.Context, args []string) error {
			text, err := p.readFile(args[0])
			if err != nil {
				return err
			}
			if _, err := parse(text); err != nil {
				return err
			}
			if offline {
				unchecked := adminapi.ChangeResponse{Changes: []config.Change{}}
				return p.printChange("no mistakes; not checked against the pool", unchecked)
			}
			var response adminapi.ChangeResponse
			if err := p.admin.Post(ctx, "config/check", text, &response); err != nil {
				return err
			}
			summary := fmt.Sprintf("no mistakes; %d changes against version %d", len(response.Changes), response.Version)
			return p.printChange(summary, response)
		},
	})
}
