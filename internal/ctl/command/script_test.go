package command_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/client"
	"github.com/chervilrun/chervilrun/internal/acceptance"
	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/ctl/command"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/guarantee"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"chervilctl": func() {
		os.Exit(command.Run(context.Background(), command.Env{
			Args:    os.Args[1:],
			Stdin:   os.Stdin,
			Stdout:  os.Stdout,
			Stderr:  os.Stderr,
			Clock:   clockwork.NewRealClock(),
			Random:  strings.NewReader(strings.Repeat("x", 64)),
			Version: "v0.0.1",
		}))
	}})
}

// deployment is the state behind a fake chervil-admin.
type deployment struct {
	store    *memory.Store
	acceptor *acceptance.Acceptor
	events   *event.Recorder
	// inForce is the configuration that was last read from the store.
	inForce atomic.Pointer[config.Cluster]
	// versionLag is the number of versions by which the host h2 lags.
	versionLag atomic.Int64
	// stopOwner stops the host that owns the pool.
	stopOwner func()
	// loseResponse makes the next change take effect without a response.
	loseResponse atomic.Bool
}

// Current returns a view with the configuration in the store and two workers of eight
// accelerators in each zone.
func (d *deployment) Current() *view.View {
	page, err := d.store.Range(context.Background(), "/", "0", 1)
	if err == nil && len(page.KeyValues) > 0 {
		stored, _ := config.Decode(page.KeyValues[0].Value)
		cluster, _ := stored.Cluster()
		d.inForce.Store(cluster)
	}
	current := &view.View{Config: d.inForce.Load()}
	current.Members = []view.Member{{Host: "h1", Zone: "fukuoka"}, {Host: "h2", Zone: "kumamoto"}}
	for _, zone := range []model.AvailabilityZoneID{"fukuoka", "kumamoto", "kagoshima"} {
		for i := range 2 {
			current.Workers = append(current.Workers, model.Worker{
				ID: model.WorkerID(fmt.Sprint(zone, "-", i)), Zone: zone, Rack: "r1", State: model.HostLive,
				Capacity: model.Resources{Accelerators: 8, MilliCPU: 64_000, MemoryMB: 128 << 10},
			})
		}
	}
	current.Executors = []model.Executor{
		{ID: "e1", Service: "deposit-ledger", Zone: "fukuoka", Endpoint: "127.0.0.1:9001", State: "live", Slots: 8, Connections: 60},
		{ID: "e2", Service: "payout", Zone: "kumamoto", Endpoint: "127.0.0.1:9002", State: "live", Slots: 8, Connections: 60},
	}
	return current
}

func (d *deployment) Confirmation() view.Confirmation {
	return view.Confirmation{ConfirmedAt: time.Now(), StoreReachable: true}
}

func (d *deployment) Changed() <-chan struct{} { return nil }

func newDeployment() (*deployment, http.Handler) {
	clock := clockwork.NewRealClock()
	d := &deployment{store: memory.New(clock)}
	d.inForce.Store(&config.Cluster{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	d.events = event.NewRecorder("h1/chervil-admin", clock, log, 256)
	var attempts atomic.Int64
	d.acceptor = acceptance.New(acceptance.Options{
		Store: d.store, View: d, Pack: guarantee.Pack, Clock: clock, Events: d.events,
		NewAttempt: func() model.AttemptID { return model.AttemptID(fmt.Sprint(attempts.Add(1))) },
	})
	admin := adminapi.New(adminapi.Options{
		Host: "h1", Version: "v0.0.1", Acceptor: d.acceptor, View: d, Clock: clock,
		BootstrapHash: auth.Hash("bootstrap-token"),
		QueryPeers:    d.queryPeers,
		CollectTimeline: func(_ context.Context, filter event.Filter) adminapi.TimelineResponse {
			return adminapi.TimelineResponse{Events: d.events.Read(filter), Missing: []string{"h2/chervil-entry"}}
		},
		CollectCost: func(context.Context) adminapi.CostResponse {
			return adminapi.CostResponse{Costs: []adminapi.Cost{
				{Organisation: "chikushi", Requests: 4, Attempts: 5, SlotSeconds: 2, AcceleratorSeconds: 80},
			}}
		},
	})
	return d, d.withLostResponses(admin)
}

func (d *deployment) queryPeers(_ context.Context, members []view.Member) []adminapi.PeerState {
	version := d.Current().Config.Version
	states := make([]adminapi.PeerState, len(members))
	for i, member := range members {
		states[i] = adminapi.PeerState{Host: member.Host, Reachable: true, ConfigVersion: version, StoreReachable: true}
	}
	states[1].ConfigVersion -= model.ConfigVersion(d.versionLag.Load())
	return states
}

// withLostResponses aborts the connection after a change has taken effect, when the
// script asked for it.
func (d *deployment) withLostResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && d.loseResponse.CompareAndSwap(true, false) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// entry is a fake chervil-entry with one job, which is done once a call waits for it.
func entry() http.Handler {
	job := client.Job{ID: "j-1", Organisation: "chikushi", Service: "repricing", Zone: "fukuoka", State: "queued"}
	mux := http.NewServeMux()
	writeJob := func(w http.ResponseWriter, status int) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(job)
	}
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		var request client.JobRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil || r.Header.Get("Authorization") != "Bearer chikushi-token" {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		job.Shape = request.Shape
		writeJob(w, http.StatusAccepted)
	})
	mux.HandleFunc("GET /v1/jobs/j-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("wait") != "" {
			job.State, job.Outcome.Kind = "done", client.Done
		}
		writeJob(w, http.StatusOK)
	})
	mux.HandleFunc("DELETE /v1/jobs/j-1", func(w http.ResponseWriter, _ *http.Request) {
		job.State = "cancelled"
		writeJob(w, http.StatusOK)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, `{"outcome":"not_run","reason":"not_found","detail":"there is no such job"}`)
	})
	return mux
}

type deploymentKey struct{}

// cmdDeployment is the script command "deployment", which changes the fake deployment.
func cmdDeployment(ts *testscript.TestScript, _ bool, args []string) {
	d := ts.Value(deploymentKey{}).(*deployment)
	switch args[0] {
	case "store":
		d.store.SetFaults(memory.Faults{Down: args[1] == "down"})
	case "lag":
		versions, err := strconv.Atoi(args[1])
		ts.Check(err)
		d.versionLag.Store(int64(versions))
	case "lose-response":
		d.loseResponse.Store(true)
	case "owner-down":
		d.stopOwner()
	case "other-operator":
		if result := d.acceptor.SetZone(context.Background(), "bence", "kagoshima", args[1] == "out"); !result.Accepted() {
			ts.Fatalf("other operator: %v", result.Outcome)
		}
	default:
		ts.Fatalf("deployment: unknown %q", args[0])
	}
}

// cmdExits is the script command "exits CODE program args...", which checks the exit code
// of a program.
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code is %d, expected %s", code, args[0])
	}
}

func TestScripts(t *testing.T) {
	example, err := os.ReadFile("../../../operator/examples/chikushi/chikushi.toml")
	require.NoError(t, err)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"deployment": cmdDeployment,
			"exits":      cmdExits,
		},
		Setup: func(env *testscript.Env) error {
			d, handler := newDeployment()
			adminServer, entryServer := httptest.NewServer(handler), httptest.NewServer(entry())
			env.Defer(adminServer.Close)
			env.Defer(entryServer.Close)
			pool, err := newFakePool()
			if err != nil {
				return err
			}
			env.Defer(pool.close)
			d.stopOwner = pool.owner.Close
			env.Setenv("CHERVILCTL_POOL_HOST", pool.host.URL)
			env.Values[deploymentKey{}] = d
			env.Setenv("CHERVILCTL_ADDRESS", adminServer.URL)
			env.Setenv("CHERVILCTL_ENTRY", entryServer.URL)
			env.Setenv("CHERVILCTL_TOKEN", "haruka-token")
			env.Setenv("CHERVILCTL_CALLER_TOKEN", "chikushi-token")
			return os.WriteFile(filepath.Join(env.WorkDir, "chikushi.toml"), example, 0o600)
		},
	})
}
