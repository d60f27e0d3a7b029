package adminserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/adminserver"
	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/ctl"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/process"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/settings"
	"github.com/chervilrun/chervilrun/internal/standin/kv"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/store/open"
	"github.com/chervilrun/chervilrun/internal/view"
)

const (
	// waitTimeout is long enough for a condition to become true on a busy machine.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// startHost runs a chervil-admin without a platform list of hosts, writes its member
// record to the store, and returns its URL.
func startHost(t testing.TB, host, storeURL string, shared *memory.Store) string {
	var adminSettings adminserver.Settings
	var storeSettings open.Settings
	set := settings.New("chervil-admin", "a test", io.Discard)
	adminSettings.Declare(set)
	storeSettings.Declare(set)
	p, code := process.Start("chervil-admin", "a test", []string{
		"-host", host, "-zone", "a", "-cluster-secret", "0123456789abcdef", "-log-level", "error",
		"-store-urls", storeURL, "-store-writes-per-second", "2000", "-store-reads-per-second", "2000",
		"-drain-delay", "0s", "-bootstrap-token-sha256", auth.Hash("boot"),
	}, &process.Settings{}, set)
	require.Equal(t, process.ExitOK, code)
	ctx, cancel := context.WithCancel(context.Background())
	st := storeSettings.Open(p)
	self := view.Member{Host: p.HostID(), Zone: "a", AdminAddress: p.Address(), Incarnation: p.Incarnation}
	syncer := view.NewSyncer(view.SyncerOptions{
		Self: self, Store: st, Clock: p.Clock, Events: p.Events, Metrics: p.Metrics,
		Dial: view.Dialer(p.InternalClient()), Seed: 1,
	})
	p.HandleInternal(rpc.NewRelayServer(syncer))
	adminSettings.Mount(ctx, p, syncer, st, self)
	done := make(chan struct{})
	go syncer.Run(ctx)
	go func() {
		defer close(done)
		p.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	value, err := json.Marshal(self)
	require.NoError(t, err)
	put := store.Op{Put: &store.Put{Key: store.MemberKey(self.Host), Value: value}}
	_, err = shared.Txn(t.Context(), store.Txn{Then: []store.Op{put}})
	require.NoError(t, err)
	return "http://" + p.Address()
}

func text(services int) []byte {
	text := fmt.Sprintf("[[zone]]\nid = \"a\"\nregion = \"r\"\n[[operator]]\nname = \"dora\"\ntoken_sha256 = %q\n[[organisation]]\nid = \"o\"\n", auth.Hash("dora"))
	for i := range services {
		text += fmt.Sprintf("[[service]]\nid = \"s%d\"\norganisation = \"o\"\n", i)
	}
	return []byte(text)
}

// startHosts runs three hosts that share one store.
func startHosts(t testing.TB) (*memory.Store, []*ctl.Admin) {
	shared := memory.New(clockwork.NewRealClock())
	server := httptest.NewServer(kv.NewServer(shared))
	t.Cleanup(server.CloseClientConnections)
	admins := make([]*ctl.Admin, 3)
	for i := range admins {
		address := startHost(t, fmt.Sprint("h", i+1), server.URL, shared)
		admins[i] = &ctl.Admin{Addresses: []string{address}, Token: "dora", HTTP: ctl.NewHTTP()}
	}
	return shared, admins
}

// TestThreeHosts submits changes to different hosts and checks that each comes into force
// on all of them, then makes the store unreachable.
func TestThreeHosts(t *testing.T) {
	shared, admins := startHosts(t)
	first := *admins[0]
	first.Token = "boot"
	require.Eventually(t, func() bool {
		_, err := first.PutConfig(t.Context(), 0, text(0))
		return err == nil
	}, waitTimeout, pollInterval, "a host that has read the store accepts the first configuration")
	waitInForceEverywhere(t, admins, 1)

	accepted, err := admins[1].PutConfig(t.Context(), 1, text(1))
	require.NoError(t, err)
	waitInForceEverywhere(t, admins, accepted.Version)
	_, err = admins[2].PutConfig(t.Context(), 1, text(2))
	require.Equal(t, ctl.ExitConflict, ctl.ExitCode(err))

	require.NoError(t, admins[2].Post(t.Context(), "zones/a/out", nil, &accepted))
	waitInForceEverywhere(t, admins, accepted.Version)
	require.Eventually(t, func() bool { return timelineShowsZoneOut(t, admins[0]) }, waitTimeout, pollInterval)

	metricsText := readMetrics(t, admins[1])
	require.Contains(t, metricsText, `chervil_config_changes_total{outcome="done",reason=""} 1`)
	require.Contains(t, metricsText, "chervil_guarantee_shapes_unmet 0")

	shared.SetFaults(memory.Faults{Down: true})
	err = admins[0].Post(t.Context(), "zones/a/in", nil, &accepted)
	require.Equal(t, ctl.ExitUnavailable, ctl.ExitCode(err))
	var shown adminapi.ConfigResponse
	require.NoError(t, admins[0].Get(t.Context(), "config", nil, &shown))
	require.False(t, shown.Confirmed)
	require.EqualValues(t, 3, shown.Version)
}

// waitInForceEverywhere waits until every host reports that all hosts use version.
func waitInForceEverywhere(t *testing.T, admins []*ctl.Admin, version model.ConfigVersion) {
	for _, admin := range admins {
		require.Eventually(t, func() bool {
			var status adminapi.StatusResponse
			if admin.Get(t.Context(), "status", nil, &status) != nil || len(status.Members) != len(admins) {
				return false
			}
			for _, member := range status.Members {
				if member.State.ConfigVersion != version {
					return false
				}
			}
			return true
		}, waitTimeout, pollInterval)
	}
}

// timelineShowsZoneOut reports whether the timeline has one event of each host that the
// zone is out of service, and one of the third host that it accepted the change.
func timelineShowsZoneOut(t *testing.T, admin *ctl.Admin) bool {
	var timeline adminapi.TimelineResponse
	require.NoError(t, admin.Get(t.Context(), "timeline", map[string][]string{"zone": {"a"}}, &timeline))
	require.Empty(t, timeline.Missing)
	seen := map[string]bool{}
	for _, e := range timeline.Events {
		seen[fmt.Sprint(e.Process, " ", e.Number)] = true
	}
	return len(timeline.Events) == 4 && seen["h3/chervil-admin 1100"] &&
		seen["h1/chervil-admin 1110"] && seen["h2/chervil-admin 1110"] && seen["h3/chervil-admin 1110"]
}

func readMetrics(t *testing.T, admin *ctl.Admin) string {
	response, err := admin.HTTP.Get(admin.Addresses[0] + "/metrics")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(text)
}

// BenchmarkChangeInForce measures the time from a change until each of three hosts has
// reported that it uses the new version. Polling adds up to one round of calls.
func BenchmarkChangeInForce(b *testing.B) {
	_, admins := startHosts(b)
	first := *admins[0]
	first.Token = "boot"
	for {
		if _, err := first.PutConfig(b.Context(), 0, text(0)); err == nil {
			break
		}
	}
	var slowest time.Duration
	accepted := adminapi.ChangeResponse{}
	direction := "out"
	for b.Loop() {
		began := time.Now()
		require.NoError(b, admins[0].Post(b.Context(), "zones/a/"+direction, nil, &accepted))
		for _, admin := range admins {
			for version := model.ConfigVersion(0); version < accepted.Version; {
				var status adminapi.StatusResponse
				require.NoError(b, admin.Get(b.Context(), "status", nil, &status))
				version = status.View.ConfigVersion
			}
		}
		slowest = max(slowest, time.Since(began))
		if direction == "out" {
			direction = "in"
		} else {
			direction = "out"
		}
	}
	b.ReportMetric(float64(slowest.Microseconds())/1000, "slowest-ms")
}
