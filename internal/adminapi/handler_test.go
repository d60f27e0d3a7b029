package adminapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/acceptance"
	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

// testEnv is a handler with an in-memory store and a view that the test sets.
type testEnv struct {
	t       *testing.T
	store   *memory.Store
	view    atomic.Pointer[view.View]
	filter  event.Filter
	unmet   []guarantee.Unmet
	stale   bool
	handler http.Handler
}

func (env *testEnv) Current() *view.View      { return env.view.Load() }
func (env *testEnv) Changed() <-chan struct{} { return nil }

func (env *testEnv) Confirmation() view.Confirmation {
	if env.stale {
		return view.Confirmation{}
	}
	return view.Confirmation{ConfirmedAt: time.Now(), StoreReachable: true}
}

func newTestEnv(t *testing.T) *testEnv {
	clock := clockwork.NewRealClock()
	env := &testEnv{t: t, store: memory.New(clock)}
	env.view.Store(&view.View{Config: &config.Cluster{}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	var attempts atomic.Int64
	acceptor := acceptance.New(acceptance.Options{
		Store: env.store,
		View:  env,
		Pack: func([]model.Worker, []model.AvailabilityZone, []model.Organisation) (guarantee.Assignment, []guarantee.Unmet) {
			return nil, env.unmet
		},
		Clock:      clock,
		Events:     event.NewRecorder("test", clock, log, 64),
		NewAttempt: func() model.AttemptID { return model.AttemptID(fmt.Sprint(attempts.Add(1))) },
	})
	env.handler = adminapi.New(adminapi.Options{
		Host: "h1", Version: "v1", Acceptor: acceptor, View: env, Clock: clock,
		BootstrapHash: auth.Hash("boot"),
		QueryPeers: func(_ context.Context, members []view.Member) []adminapi.PeerState {
			return []adminapi.PeerState{{Host: "h1", Reachable: true, ConfigVersion: 1}}
		},
		CollectTimeline: func(_ context.Context, filter event.Filter) adminapi.TimelineResponse {
			env.filter = filter
			return adminapi.TimelineResponse{Events: []event.Event{{Name: "one"}}, Missing: []string{"h2"}}
		},
		CollectCost: func(context.Context) adminapi.CostResponse {
			return adminapi.CostResponse{Costs: []adminapi.Cost{{Organisation: "o", Requests: 3}}}
		},
	})
	return env
}

// call sends a request. headers holds alternating names and values.
func (env *testEnv) call(method, path, token, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, adminapi.Prefix+path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	env.handler.ServeHTTP(w, r)
	return w
}

// decode checks the status of a response and decodes its body.
func decode[T any](t *testing.T, status int, w *httptest.ResponseRecorder) T {
	var response T
	require.Equal(t, status, w.Code, w.Body.String())
	decoder := json.NewDecoder(bytes.NewReader(w.Body.Bytes()))
	decoder.DisallowUnknownFields()
	require.NoError(t, decoder.Decode(&response), w.Body.String())
	return response
}

func text(extra string) string {
	return fmt.Sprintf("[[zone]]\nid = \"a\"\nregion = \"r\"\n[[operator]]\nname = \"dora\"\ntoken_sha256 = %q\n"+
		"[[organisation]]\nid = \"o\"\ntoken_sha256 = [%q]\n%s", auth.Hash("dora"), auth.Hash("tenant"), extra)
}

// submitFirstConfig submits the first configuration and updates the view.
func (env *testEnv) submitFirstConfig() {
	response := decode[adminapi.ChangeResponse](env.t, 200, env.call("PUT", "config", "boot", text(""), "If-Match", `"0"`))
	require.EqualValues(env.t, 1, response.Version)
	env.updateView()
}

// updateView sets the view to the configuration in the store, with two hosts and a pool.
func (env *testEnv) updateView() {
	page, err := env.store.Range(env.t.Context(), "/", "0", 10)
	require.NoError(env.t, err)
	stored, err := config.Decode(page.KeyValues[0].Value)
	require.NoError(env.t, err)
	cluster, err := stored.Cluster()
	require.NoError(env.t, err)
	env.view.Store(&view.View{
		Config:    cluster,
		Members:   []view.Member{{Host: "h1", Zone: "a"}, {Host: "h2", Zone: "a"}},
		Owners:    map[model.AvailabilityZoneID]view.Owner{"a": {Zone: "a", Host: "h2", Epoch: 4}},
		Workers:   []model.Worker{{ID: "w", Zone: "a", Capacity: model.Resources{Accelerators: 8}}},
		Executors: []model.Executor{{ID: "e", Service: "s", Zone: "a"}},
	})
}

func TestOnlyOperatorsAreAuthorised(t *testing.T) {
	env := newTestEnv(t)
	paths := []string{"GET config", "PUT config", "POST config/check", "POST zones/a/out", "POST zones/a/in",
		"GET status", "GET timeline", "GET organisations", "GET executors", "GET cost"}
	check := func(token string, status int, reason outcome.Reason) {
		for _, path := range paths {
			method, path, _ := strings.Cut(path, " ")
			w := env.call(method, path, token, "")
			refused := decode[adminapi.ChangeProblem](t, status, w)
			require.Equal(t, reason, refused.Reason)
			require.Equal(t, outcome.NotRun, refused.Outcome)
		}
	}
	check("", 401, outcome.ReasonUnauthenticated)
	check("dora", 401, outcome.ReasonUnauthenticated)
	env.submitFirstConfig()
	check("boot", 401, outcome.ReasonUnauthenticated)
	check("tenant", 403, outcome.ReasonForbidden)
	require.Equal(t, 200, env.call("GET", "config", "dora", "").Code)
	require.Equal(t, 404, env.call("GET", "nothing", "dora", "").Code)
	require.Equal(t, 404, env.call("DELETE", "config", "dora", "").Code)
}

// TestBootstrapTokenNeedsAConfirmedView checks that the bootstrap token is not valid on
// a host that has not read the configuration yet.
func TestBootstrapTokenNeedsAConfirmedView(t *testing.T) {
	env := newTestEnv(t)
	env.stale = true
	refused := decode[adminapi.ChangeProblem](t, 503, env.call("GET", "config", "boot", ""))
	require.Equal(t, outcome.ReasonStaleView, refused.Reason)
	env.stale = false
	env.submitFirstConfig()
	env.stale = true
	require.Equal(t, 200, env.call("GET", "config", "dora", "").Code, "the known configuration lists the operators")
}

func TestConfigCalls(t *testing.T) {
	env := newTestEnv(t)
	env.submitFirstConfig()
	w := env.call("GET", "config", "dora", "")
	got := decode[adminapi.ConfigResponse](t, 200, w)
	require.Equal(t, `"1"`, w.Header().Get("ETag"))
	require.True(t, got.Confirmed)
	require.Equal(t, "bootstrap", got.Author)
	cluster, problems := config.Parse([]byte(got.Text))
	require.Empty(t, problems)
	require.Equal(t, got.Text, string(config.Canonical(cluster)))

	missing := decode[adminapi.ChangeProblem](t, 428, env.call("PUT", "config", "dora", text("")))
	require.Contains(t, missing.Detail, "If-Match")
	require.Equal(t, 428, env.call("PUT", "config", "dora", text(""), "If-Match", "*").Code)

	mistakes := decode[adminapi.ChangeProblem](t, 422, env.call("PUT", "config", "dora", text("wieght = 1"), "If-Match", `"1"`))
	require.Len(t, mistakes.Problems, 1)
	require.Equal(t, 10, mistakes.Problems[0].Line)

	service := "[[service]]\nid = \"s\"\norganisation = \"o\"\n"
	checked := decode[adminapi.ChangeResponse](t, 200, env.call("POST", "config/check", "dora", text(service)))
	require.Len(t, checked.Changes, 1)
	env.unmet = []guarantee.Unmet{{Organisation: "o", Guarantee: "g", Missing: 1, Clashes: []string{"p/q"}}}
	warned := decode[adminapi.ChangeResponse](t, 200, env.call("PUT", "config", "dora", text(service), "If-Match", `"1"`))
	require.EqualValues(t, 2, warned.Version)
	require.Equal(t, []string{"p/q"}, warned.Warnings[0].Clashes)

	conflict := decode[adminapi.ChangeProblem](t, 412, env.call("PUT", "config", "dora", text(""), "If-Match", `"1"`))
	require.Equal(t, outcome.ReasonConflict, conflict.Reason)
	require.Equal(t, "dora", conflict.Conflict.Changes[0].Author)

	large := strings.Repeat("#", config.MaxTextBytes+1)
	require.Equal(t, 413, env.call("PUT", "config", "dora", large, "If-Match", `"2"`).Code)
	require.Equal(t, 413, env.call("POST", "config/check", "dora", large).Code)
}

func TestConfigDuringAnOutage(t *testing.T) {
	env := newTestEnv(t)
	env.submitFirstConfig()
	env.store.SetFaults(memory.Faults{Down: true})
	got := decode[adminapi.ConfigResponse](t, 200, env.call("GET", "config", "dora", ""))
	require.False(t, got.Confirmed)
	require.EqualValues(t, 1, got.Version)
	refused := decode[adminapi.ChangeProblem](t, 503, env.call("POST", "zones/a/out", "dora", ""))
	require.Equal(t, outcome.NotRun, refused.Outcome)
	require.Equal(t, outcome.ReasonStoreUnavailable, refused.Reason)
	require.Equal(t, 200, env.call("POST", "config/check", "dora", text("")).Code)
}

func TestZoneCalls(t *testing.T) {
	env := newTestEnv(t)
	env.submitFirstConfig()
	out := decode[adminapi.ChangeResponse](t, 200, env.call("POST", "zones/a/out", "dora", ""))
	require.EqualValues(t, 2, out.Version)
	env.updateView()
	require.True(t, env.Current().Config.Zones[0].OutOfService)
	require.EqualValues(t, 3, decode[adminapi.ChangeResponse](t, 200, env.call("POST", "zones/a/in", "dora", "")).Version)
	require.Equal(t, 404, env.call("POST", "zones/nowhere/in", "dora", "").Code)
}

func TestReads(t *testing.T) {
	env := newTestEnv(t)
	env.submitFirstConfig()
	status := decode[adminapi.StatusResponse](t, 200, env.call("GET", "status", "dora", ""))
	require.EqualValues(t, 1, status.View.ConfigVersion)
	require.True(t, status.Members[0].State.Reachable)
	require.False(t, status.Members[1].State.Reachable)
	require.EqualValues(t, 4, status.Zones[0].Owner.Epoch)
	require.Equal(t, 8, status.Zones[0].Accelerators)

	organisations := decode[adminapi.OrganisationsResponse](t, 200, env.call("GET", "organisations", "dora", ""))
	require.Equal(t, 1, organisations.Organisations[0].Tokens)
	require.NotContains(t, env.call("GET", "organisations", "dora", "").Body.String(), auth.Hash("tenant"))

	executors := decode[adminapi.ExecutorsResponse](t, 200, env.call("GET", "executors?service=s", "dora", ""))
	require.Len(t, executors.Executors, 1)
	other := decode[adminapi.ExecutorsResponse](t, 200, env.call("GET", "executors?service=other", "dora", ""))
	require.Empty(t, other.Executors)

	cost := decode[adminapi.CostResponse](t, 200, env.call("GET", "cost", "dora", ""))
	require.EqualValues(t, 3, cost.Costs[0].Requests)
}

func TestTimelineFilter(t *testing.T) {
	env := newTestEnv(t)
	env.submitFirstConfig()
	query := "timeline?job=j&zone=a&since=2026-03-01T10:02:07Z&limit=7"
	response := decode[adminapi.TimelineResponse](t, 200, env.call("GET", query, "dora", ""))
	require.Equal(t, []string{"h2"}, response.Missing)
	require.Equal(t, event.Filter{
		Subject:     event.Subject{Job: "j", Zone: "a"},
		SinceWallNS: time.Date(2026, 3, 1, 10, 2, 7, 0, time.UTC).UnixNano(),
		Limit:       7,
	}, env.filter)
	for _, invalid := range []string{"since=yesterday", "limit=0", "limit=x"} {
		require.Equal(t, 400, env.call("GET", "timeline?"+invalid, "dora", "").Code)
	}
}
