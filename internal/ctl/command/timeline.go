package command

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/event"
)

// timelineFilters are the query parameters of the timeline, each set by the flag of the
// same name.
var timelineFilters = []struct{ name, usage string }{
	{"job", "only events of this `job`"},
	{"request", "only events of this `request`"},
	{"worker", "only events of this `worker`"},
	{"zone", "only events of this `zone`"},
	{"organisation", "only events of this `organisation`"},
	{"executor", "only events of this `executor`"},
	{"host", "only events about this `host`"},
	{"since", "only events from this `time` on, such as 2026-03-01T10:02:07Z"},
	{"until", "only events up to this `time`"},
	{"limit", "the latest `number` of events"},
}

func (p *program) timeline() *ffcli.Command {
	values := make([]string, len(timelineFilters))
	return p.leaf(spec{
		usage: "timeline",
		help:  "show the events of all processes in order",
		declare: func(flags *flag.FlagSet) {
			for i, filter := range timelineFilters {
				flags.StringVar(&values[i], filter.name, "", filter.usage)
			}
		},
		exec: func(ctx context.Context, _ []string) error {
			query := url.Values{}
			for i, filter := range timelineFilters {
				if values[i] != "" {
					query.Set(filter.name, values[i])
				}
			}
			var response adminapi.TimelineResponse
			if err := p.admin.Get(ctx, "timeline", query, &response); err != nil {
				return err
			}
			return p.print(response, func() error {
				for _, e := range response.Events {
					fmt.Fprintln(p.Stdout, eventLine(e))
				}
				if len(response.Missing) > 0 {
					fmt.Fprintln(p.Stderr, "chervilctl: warning: no response from", strings.Join(response.Missing, ", "))
				}
				return nil
			})
		},
	})
}

const timelineTimeFormat = "2006-01-02T15:04:05.000000Z07:00"

func eventLine(e event.Event) string {
	at := time.Unix(0, e.Time.WallNS).UTC().Format(timelineTimeFormat)
	line := fmt.Sprintf("%s %s %d %s%s", at, e.Process, e.Number, e.Name, subjectText(e.Subject))
	if e.Detail != "" {
		line += ": " + e.Detail
	}
	return line
}

func subjectText(s event.Subject) string {
	var b strings.Builder
	for _, field := range []struct{ name, value string }{
		{"job", s.Job}, {"request", s.Request}, {"worker", s.Worker}, {"zone", s.Zone},
		{"organisation", s.Organisation}, {"executor", s.Executor}, {"host", s.Host},
	} {
		if field.value != "" {
			fmt.Fprintf(&b, " %s=%s", field.name, field.value)
		}
	}
	return b.String()
}
