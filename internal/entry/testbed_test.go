package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/executor"
	"github.com/chervilrun/chervilrun/internal/model"
	standin "github.com/chervilrun/chervilrun/internal/standin/executor"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

const (
	testToken  = "chikushi-token"
	otherToken = "vesofeny-token"
)

// staticSource is a view.Source whose view does not change.
type staticSource struct{ current *view.View }

func (s staticSource) Current() *view.View             { return s.current }
func (s staticSource) Confirmation() view.Confirmation { return view.Confirmation{} }
func (s staticSource) Changed() <-chan struct{}        { return make(chan struct{}) }

// testbed is a set of entry hosts that share stand-in executors and a store.
type testbed struct {
	store     *memory.Store
	clients   []*memory.Client
	executors []*standin.Server
	servers   []*Server
	urls      []string
	view      *view.View
}

type testbedOptions struct {
	hosts     int
	executors int
	slots     int
	edit      func(*view.View)
}

func newTestbed(t testing.TB, o testbedOptions) *testbed {
	b := &testbed{store: memory.New(clockwork.NewRealClock()), view: testView()}
	for i := range o.executors {
		server := standin.NewServer(standin.Options{Slots: o.slots, Clock: clockwork.NewRealClock(), CountRuns: true})
		listener := httptest.NewServer(server)
		t.Cleanup(listener.Close)
		b.executors = append(b.executors, server)
		for _, service := range []model.ServiceID{"scans", "payouts"} {
			b.view.Executors = append(b.view.Executors, model.Executor{
				ID:          model.ExecutorID(fmt.Sprintf("%s-%d", service, i)),
				Service:     service,
				Zone:        "fukuoka",
				Endpoint:    listener.Listener.Addr().String(),
				State:       model.HostLive,
				Slots:       o.slots,
				Connections: 60,
			})
		}
	}
	muxes := make([]*http.ServeMux, o.hosts)
	for i := range o.hosts {
		muxes[i] = http.NewServeMux()
		listener := httptest.NewServer(muxes[i])
		t.Cleanup(listener.Close)
		b.urls = append(b.urls, listener.URL)
		b.view.Members = append(b.view.Members, view.Member{
			Host:         model.HostID(fmt.Sprint("host-", i)),
			EntryAddress: listener.Listener.Addr().String(),
		})
	}
	if o.edit != nil {
		o.edit(b.view)
	}
	for i := range o.hosts {
		b.start(t, i, muxes[i])
	}
	return b
}

func (b *testbed) start(t testing.TB, i int, mux *http.ServeMux) {
	connection := b.store.Client()
	b.clients = append(b.clients, connection)
	server := newTestServer(i, b.view, connection)
	server.Register(mux)
	slots := server.Slots()
	mux.Handle("/twirp/", newSlotsHandler(slots))
	b.servers = append(b.servers, server)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { server.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
}

func newTestServer(i int, v *view.View, s store.Store) *Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := clockwork.NewRealClock()
	const connections = 8
	return New(Options{
		Host:           model.HostID(fmt.Sprint("host-", i)),
		Incarnation:    fmt.Sprint("incarnation-", i),
		Clock:          clock,
		Seed:           uint64(i + 1),
		Source:         staticSource{v},
		Executors:      executor.NewHTTPClient(connections, connections),
		Store:          s,
		Events:         event.NewRecorder("test", clock, log, event.DefaultRingEvents),
		Metrics:        prometheus.NewRegistry(),
		InternalClient: http.DefaultClient,
		MaxConnections: connections,
		QueueLimit:     1000,
		OnceInterval:   time.Millisecond,
	})
}

func testView() *view.View {
	return &view.View{
		Serial: 1,
		Config: &config.Cluster{
			Version: 1,
			Zones:   []model.AvailabilityZone{{ID: "fukuoka"}, {ID: "kumamoto"}},
			Organisations: []model.Organisation{
				{ID: "chikushi", Weight: 1, TokenSHA256: []string{auth.Hash(testToken)}},
				{ID: "vesofeny", Weight: 1, TokenSHA256: []string{auth.Hash(otherToken)}},
			},
			Services: []model.Service{
				{ID: "scans", Organisation: "chikushi", Repeatable: true, TimeoutMS: 10_000, MaxBodyBytes: 1 << 16},
				{ID: "payouts", Organisation: "chikushi", TimeoutMS: 10_000, MaxBodyBytes: 1 << 16},
			},
		},
		Owners: map[model.AvailabilityZoneID]view.Owner{},
	}
}

func (b *testbed) client(host int) *client.Client {
	return &client.Client{BaseURL: b.urls[host], Token: testToken}
}

func (b *testbed) setFaults(faults standin.Faults) {
	for _, e := range b.executors {
		e.SetFaults(faults)
	}
}

// runs returns the number of runs of each key on all executors.
func (b *testbed) runs() map[string]int {
	total := map[string]int{}
	for _, e := range b.executors {
		for key, count := range e.Stats().Runs {
			total[key] += count
		}
	}
	return total
}

// requireOutcome checks the kind and the reason of a failed call.
func requireOutcome(t testing.TB, err error, kind client.Kind, reason string) {
	t.Helper()
	var failed *client.Error
	require.ErrorAs(t, err, &failed)
	require.Equal(t, kind, failed.Kind, failed.Error())
	require.Equal(t, reason, failed.Reason, failed.Error())
}

// post sends a raw request with the caller's token.
func post(t testing.TB, url string, body string, header http.Header) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, io.NopCloser(strings.NewReader(body)))
	require.NoError(t, err)
	request.ContentLength = int64(len(body))
	request.Header.Set("Authorization", "Bearer "+testToken)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	response.Body = io.NopCloser(bytes.NewReader(text))
	return response
}
