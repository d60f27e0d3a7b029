package command

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/internal/adminapi"
)

func (p *program) zone() *ffcli.Command {
	return p.group("zone", "take an availability zone out of service and return it to service",
		p.zoneChange("out", "no task starts in the zone from now on"),
		p.zoneChange("in", "tasks may start in the zone again, gradually"))
}

// zoneChange returns the command "zone out" or "zone in". Both are idempotent.
func (p *program) zoneChange(direction, help string) *ffcli.Command {
	var wait time.Duration
	return p.leaf(spec{
		usage:   "zone " + direction + " ZONE",
		help:    help,
		declare: func(flags *flag.FlagSet) { declareWait(flags, &wait) },
		exec: func(ctx context.Context, args []string) error {
			path := "zones/" + url.PathEscape(args[0]) + "/" + direction
			var response adminapi.ChangeResponse
			if err := p.admin.Post(ctx, path, nil, &response); err != nil {
				return err
			}
			summary := fmt.Sprintf("zone %s is %s, version %d", args[0], direction, response.Version)
			if err := p.printChange(summary, response); err != nil {
				return err
			}
			return p.waitForRollout(ctx, response.Version, wait)
		},
	})
}
