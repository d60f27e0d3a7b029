package collect_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/collect"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/view"
)

// fixedView is a source whose view does not change.
type fixedView struct{ current *view.View }

func (f fixedView) Current() *view.View             { return f.current }
func (f fixedView) Confirmation() view.Confirmation { return view.Confirmation{} }
func (f fixedView) Changed() <-chan struct{}        { return nil }

// process is a fake process with fixed events and a fixed configuration version.
type process struct {
	rpc.Relay
	events  []event.Event
	version uint64
}

func (p process) Read(_ context.Context, request *rpc.TimelineRequest) (*rpc.TimelineResponse, error) {
	var filter event.Filter
	if err := json.Unmarshal(request.GetFilterJson(), &filter); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	var found []event.Event
	for _, e := range p.events {
		if filter.Matches(e) {
			found = append(found, e)
		}
	}
	text, _ := json.Marshal(found)
	return &rpc.TimelineResponse{EventsJson: text}, nil
}

func (p process) PeerStatus(context.Context, *rpc.PeerStatusRequest) (*rpc.PeerStatusResponse, error) {
	return &rpc.PeerStatusResponse{ConfigVersion: p.version, StoreReachable: true, ConfirmedAgeMs: 7}, nil
}

// start serves a fake process with a request counter and returns its address.
func start(t *testing.T, p process, requests float64) string {
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{Name: collect.MetricRequests, Help: "h"}, []string{"organisation", "outcome"})
	registry.MustRegister(counter)
	counter.WithLabelValues("o", "done").Add(requests)
	counter.WithLabelValues("o", "not_run").Add(1)
	mux := http.NewServeMux()
	timeline, relay := rpc.NewTimelineServer(p), rpc.NewRelayServer(p)
	mux.Handle(timeline.PathPrefix(), timeline)
	mux.Handle(relay.PathPrefix(), relay)
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func at(ns int64, zone string) event.Event {
	return event.Event{Time: event.Timestamp{WallNS: ns}, Subject: event.Subject{Zone: zone}}
}

func TestResponsesAreMergedAndFailuresListed(t *testing.T) {
	admin := start(t, process{events: []event.Event{at(1, "a"), at(4, "a")}, version: 3}, 2)
	entry := start(t, process{events: []event.Event{at(2, "a"), at(3, "b")}}, 5)
	const unreachable = "127.0.0.1:1"
	self := view.Member{Host: "h1", AdminAddress: admin, EntryAddress: entry}
	other := view.Member{Host: "h2", AdminAddress: unreachable}
	c := &collect.Collector{
		Client: http.DefaultClient,
		View: fixedView{&view.View{
			Config:  &config.Cluster{Version: 3, Organisations: []model.Organisation{{ID: "o"}, {ID: "quiet"}}},
			Members: []view.Member{other},
		}},
		Self: self,
	}
	timeline := c.Timeline(t.Context(), event.Filter{Subject: event.Subject{Zone: "a"}})
	require.Equal(t, []event.Event{at(1, "a"), at(2, "a"), at(4, "a")}, timeline.Events)
	require.Equal(t, []string{"h2/chervil-admin"}, timeline.Missing)
	latest := c.Timeline(t.Context(), event.Filter{Limit: 2})
	require.Equal(t, []event.Event{at(3, "b"), at(4, "a")}, latest.Events)

	cost := c.Cost(t.Context())
	require.Equal(t, []string{"h2/chervil-admin"}, cost.Missing)
	require.Equal(t, []adminapi.Cost{{Organisation: "o", Requests: 9}, {Organisation: "quiet"}}, cost.Costs)

	states := c.Peers(t.Context(), []view.Member{self, other})
	require.Equal(t, []adminapi.PeerState{
		{Host: "h1", Reachable: true, ConfigVersion: 3, StoreReachable: true, ConfirmedAgeMS: 7},
		{Host: "h2"},
	}, states)
}
