package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/ctl"
)

func (p *program) status() *ffcli.Command {
	return p.leaf(spec{
		usage: "status",
		help:  "show hosts, zones, owners and the configuration in force on each host",
		exec: func(ctx context.Context, _ []string) error {
			var response adminapi.StatusResponse
			if err := p.admin.Get(ctx, "status", nil, &response); err != nil {
				return err
			}
			return p.print(response, func() error { return p.printStatus(response) })
		},
	})
}

func (p *program) printStatus(response adminapi.StatusResponse) error {
	v := response.View
	fmt.Fprintf(p.Stdout, "asked %s, program version %s: configuration version %d, confirmed %d ms ago, store reachable: %s, starts allowed: %s\n\n",
		response.Host, response.Version, v.ConfigVersion, v.ConfirmedAgeMS, yesNo(v.StoreReachable), yesNo(v.MayStart))
	if err := ctl.Table(p.Stdout, memberRows(response.Members)); err != nil {
		return err
	}
	fmt.Fprintln(p.Stdout)
	if err := ctl.Table(p.Stdout, zoneRows(response.Zones)); err != nil {
		return err
	}
	ctl.Lines(p.Stdout, ctl.UnmetLines(response.Unmet))
	return nil
}

func memberRows(members []adminapi.MemberInfo) [][]string {
	rows := [][]string{{"HOST", "ZONE", "ANSWERS", "DRAINING", "VERSION", "STORE", "CONFIRMED"}}
	for _, m := range members {
		rows = append(rows, []string{
			string(m.Host), string(m.Zone), yesNo(m.State.Reachable), yesNo(m.Draining),
			fmt.Sprint(m.State.ConfigVersion), yesNo(m.State.StoreReachable),
			fmt.Sprintf("%d ms", m.State.ConfirmedAgeMS),
		})
	}
	return rows
}

func zoneRows(zones []adminapi.ZoneInfo) [][]string {
	rows := [][]string{{"ZONE", "REGION", "STATE", "OWNER", "EPOCH", "WORKERS", "ACCELERATORS", "EXECUTORS"}}
	for _, zone := range zones {
		state, owner, epoch := "in", "-", "-"
		if zone.OutOfService {
			state = "out"
		}
		if zone.Owner != nil {
			owner, epoch = string(zone.Owner.Host), fmt.Sprint(zone.Owner.Epoch)
		}
		rows = append(rows, []string{
			string(zone.ID), string(zone.Region), state, owner, epoch,
			fmt.Sprint(zone.Workers), fmt.Sprint(zone.Accelerators), fmt.Sprint(zone.Executors),
		})
	}
	return rows
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
