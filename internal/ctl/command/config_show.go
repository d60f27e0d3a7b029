package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/ctl"
)

func (p *program) configShow() *ffcli.Command {
	var history bool
	return p.leaf(spec{
		usage: "config show",
		help:  "print the configuration in force",
		declare: func(flags *flag.FlagSet) {
			flags.BoolVar(&history, "history", false, "print the latest changes instead of the text")
		},
		exec: func(ctx context.Context, _ []string) error {
			var response adminapi.ConfigResponse
			if err := p.admin.Get(ctx, "config", nil, &response); err != nil {
				return err
			}
			return p.print(response, func() error {
				if !response.Confirmed {
					fmt.Fprintf(p.Stderr, "chervilctl: warning: the store can't be read or holds an older version; this is version %d, the latest that the host knows\n", response.Version)
				}
				if history {
					for _, entry := range response.History {
						ctl.Lines(p.Stdout, ctl.HistoryLines(entry))
					}
					return nil
				}
				fmt.Fprint(p.Stdout, response.Text)
				return nil
			})
		},
	})
}
