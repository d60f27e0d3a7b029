package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/config"
)

func (p *program) configDiff() *ffcli.Command {
	return p.leaf(spec{
		usage: "config diff FILE",
		help:  "show the differences between a configuration and the one in force",
		exec: func(ctx context.Context, args []string) error {
			text, err := p.readFile(args[0])
			if err != nil {
				return err
			}
			proposed, err := parse(text)
			if err != nil {
				return err
			}
			current, err := p.currentConfig(ctx)
			if err != nil {
				return err
			}
			change := adminapi.ChangeResponse{Version: current.Version, Changes: config.Diff(current, proposed)}
			summary := fmt.Sprintf("%d changes against version %d; apply them with -base %d",
				len(change.Changes), change.Version, change.Version)
			return p.printChange(summary, change)
		},
	})
}

// currentConfig returns the configuration in force; it is empty when there is none yet.
func (p *program) currentConfig(ctx context.Context) (*config.Cluster, error) {
	var response adminapi.ConfigResponse
	if err := p.admin.Get(ctx, "config", nil, &response); err != nil {
		return nil, err
	}
	stored := config.Stored{Version: response.Version, Text: response.Text}
	return stored.Cluster()
}
