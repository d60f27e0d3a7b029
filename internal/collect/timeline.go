package collect

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

// Timeline merges the timelines of all processes, oldest event first, and returns the
// latest filter.Limit events.
func (c *Collector) Timeline(ctx context.Context, filter event.Filter) adminapi.TimelineResponse {
	text, err := json.Marshal(filter)
	if err != nil {
		panic(errors.Wrap(err, "collect: encode filter"))
	}
	results := queryAll(ctx, c.targets(), func(ctx context.Context, t target) ([]event.Event, error) {
		return c.read(ctx, t, text)
	})
	response := adminapi.TimelineResponse{Events: []event.Event{}, Missing: failedTargets(results)}
	for _, r := range results {
		response.Events = append(response.Events, r.response...)
	}
	slices.SortStableFunc(response.Events, func(a, b event.Event) int {
		switch {
		case a.Time.Before(b.Time):
			return -1
		case b.Time.Before(a.Time):
			return 1
		}
		return 0
	})
	if excess := len(response.Events) - filter.Limit; filter.Limit > 0 && excess > 0 {
		response.Events = response.Events[excess:]
	}
	return response
}

func (c *Collector) read(ctx context.Context, t target, filter []byte) ([]event.Event, error) {
	timeline := rpc.NewTimelineProtobufClient("http://"+t.address, c.Client)
	response, err := timeline.Read(ctx, &rpc.TimelineRequest{FilterJson: filter})
	if err != nil {
		return nil, err
	}
	var events []event.Event
	err = json.Unmarshal(response.GetEventsJson(), &events)
	return events, errors.Wrap(err, t.name)
}
