package schedulerd_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/rpc"
	"github.com/chervilrun/chervilrun/internal/schedulerd"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
	workerhttp "github.com/chervilrun/chervilrun/internal/worker/http"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// freshViews is a view.Source whose view is always confirmed.
type freshViews struct {
	mu      sync.Mutex
	current *view.View
}

func (v *freshViews) Current() *view.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

func (v *freshViews) Confirmation() view.Confirmation {
	return view.Confirmation{ConfirmedAt: time.Now(), StoreReachable: true}
}

func (v *freshViews) Changed() <-chan struct{} { return nil }

// host is a Service with a simulated pool, reached over HTTP, and an in-memory store.
type host struct {
	service *schedulerd.Service
	client  rpc.Scheduler
	pool    *pool.Pool
	store   *memory.Store
}

// newHost returns a host. It uses the pool and the store of shared unless shared is nil.
func newHost(t *testing.T, shared *host) *host {
	clock := clockwork.NewRealClock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &host{}
	if shared != nil {
		h.pool, h.store = shared.pool, shared.store
	} else {
		h.pool, h.store = pool.New(clock), memory.New(clock)
		server := httptest.NewServer(h.pool.Handler())
		t.Cleanup(server.Close)
		topology := pool.Topologies()["chikushi"]
		topology.Zones = topology.Zones[:1]
		topology.Workers = 4
		for _, info := range topology.Generate() {
			info.Endpoint = pool.EndpointAt(strings.TrimPrefix(server.URL, "http://"), info.ID)
			h.pool.Add(info)
		}
	}
	cluster := &config.Cluster{
		Version:       1,
		Zones:         []model.AvailabilityZone{{ID: "fukuoka"}},
		Organisations: []model.Organisation{{ID: "chikushi", Weight: 1}},
	}
	h.service = schedulerd.New(schedulerd.Config{
		Clock:   clock,
		Events:  event.NewRecorder("test", clock, log, 1024),
		Metrics: zone.NewMetrics(nil),
		Workers: workerhttp.NewClient("test"),
		Store:   h.store,
		Views:   &freshViews{current: &view.View{Config: cluster, Workers: h.pool.Workers()}},
		Owned:   func(model.AvailabilityZoneID, model.Epoch) bool { return true },
		Timing:  zone.DefaultTiming(),
		Seed:    1,
	})
	scheduler := httptest.NewServer(rpc.NewSchedulerServer(h.service))
	t.Cleanup(scheduler.Close)
	h.client = rpc.NewSchedulerProtobufClient(scheduler.URL, scheduler.Client())
	return h
}

// takeZone makes h the owner of the zone in the given epoch.
func (h *host) takeZone(t *testing.T, epoch string) {
	put := store.Put{Key: store.EpochKey("fukuoka"), Value: []byte(epoch)}
	_, err := h.store.Txn(context.Background(), store.Txn{Then: []store.Op{{Put: &put}}})
	require.NoError(t, err)
	epochs := map[string]model.Epoch{"1": 1, "2": 2}
	h.service.Take("fukuoka", epochs[epoch])
}

func submit(t *testing.T, h *host, id, payload string) *rpc.SubmitJobResponse {
	spec := model.JobSpec{
		ID: model.JobID(id), Organisation: "chikushi", Service: "s", Priority: model.PriorityNormal, Repeatable: true,
		Shape: model.Shape{
			Tasks: 4, Adjacency: model.AdjacencyRack,
			PerTask: model.Resources{Accelerators: 2, MilliCPU: 1000, MemoryMB: 1024},
		},
		Payload: []byte(payload),
	}
	text, err := json.Marshal(spec)
	require.NoError(t, err)
	response, err := h.client.SubmitJob(context.Background(), &rpc.SubmitJobRequest{Zone: "fukuoka", SpecJson: text})
	require.NoError(t, err)
	return response
}

// awaitState long-polls a job until it is in the wanted state. An owner that has not read all records
// yet doesn't know whether there is such a job.
func awaitState(t *testing.T, h *host, id string, want job.State) job.Record {
	var record job.Record
	require.Eventually(t, func() bool {
		request := &rpc.GetJobRequest{Job: id, Organisation: "chikushi", KnownRevision: record.Revision, WaitMs: 2000}
		response, err := h.client.GetJob(context.Background(), request)
		var failed twirp.Error
		if errors.As(err, &failed) && failed.Code() == twirp.Unavailable {
			return false
		}
		require.NoError(t, err)
		if !response.GetFound() {
			return false
		}
		record, err = job.Decode(response.GetJobJson())
		require.NoError(t, err)
		return record.State == want
	}, 30*time.Second, time.Millisecond)
	return record
}

func TestJobsOverTheWire(t *testing.T) {
	h := newHost(t, nil)
	refused := submit(t, h, "early", `{}`)
	require.Equal(t, string(outcome.ReasonNoOwner), refused.GetOutcome().GetReason())
	h.takeZone(t, "1")
	require.Equal(t, string(outcome.Accepted), submit(t, h, "a", `{"run_ms":300}`).GetOutcome().GetKind())
	require.Equal(t, string(outcome.Accepted), submit(t, h, "a", `{"run_ms":300}`).GetOutcome().GetKind())
	done := awaitState(t, h, "a", job.Done)
	require.Equal(t, outcome.Ok(), done.Outcome)
	submit(t, h, "b", `{"run_ms":600000}`)
	awaitState(t, h, "b", job.Running)
	other, err := h.client.CancelJob(context.Background(), &rpc.CancelJobRequest{Job: "b", Organisation: "tenant"})
	require.NoError(t, err)
	require.False(t, other.GetFound())
	cancelled, err := h.client.CancelJob(context.Background(), &rpc.CancelJobRequest{Job: "b", Organisation: "chikushi"})
	require.NoError(t, err)
	require.True(t, cancelled.GetFound())
	awaitState(t, h, "b", job.Cancelled)
	digest, err := h.client.Digest(context.Background(), &rpc.DigestRequest{})
	require.NoError(t, err)
	require.Equal(t, int32(32), digest.GetZones()[0].GetFreeAccelerators())
	audit := h.pool.Audit()
	require.Equal(t, 8, audit.Starts)
	require.Zero(t, audit.PartialGangs+audit.DoubleRuns+audit.RepeatedStarts)
}

// Guards against an accepted job that counts as not found while its owner has not read it yet.
func TestJobIsNotMissingBeforeTheRecordsAreRead(t *testing.T) {
	first := newHost(t, nil)
	first.takeZone(t, "1")
	submit(t, first, "a", `{"run_ms":2000}`)
	require.NoError(t, first.service.Release(context.Background(), "fukuoka"))
	second := newHost(t, first)
	first.store.SetFaults(memory.Faults{Down: true})
	second.service.Take("fukuoka", 2)
	_, err := second.client.GetJob(context.Background(), &rpc.GetJobRequest{Job: "a", Organisation: "chikushi"})
	requireUnavailable(t, err)
	_, err = second.client.CancelJob(context.Background(), &rpc.CancelJobRequest{Job: "a", Organisation: "chikushi"})
	requireUnavailable(t, err)
	second.service.Lose("fukuoka", 2)
}

func requireUnavailable(t *testing.T, err error) {
	t.Helper()
	var failed twirp.Error
	require.ErrorAs(t, err, &failed)
	require.Equal(t, twirp.Unavailable, failed.Code())
}

// TestHandOverOverTheWire releases a zone with a running gang: the next owner adopts the
// gang instead of starting it again.
func TestHandOverOverTheWire(t *testing.T) {
	first := newHost(t, nil)
	first.takeZone(t, "1")
	submit(t, first, "a", `{"run_ms":2000}`)
	awaitState(t, first, "a", job.Running)
	require.NoError(t, first.service.Release(context.Background(), "fukuoka"))
	require.Empty(t, first.service.Zones())
	second := newHost(t, first)
	second.takeZone(t, "2")
	record := awaitState(t, second, "a", job.Done)
	require.Equal(t, 1, record.Attempts)
	require.Equal(t, 4, first.pool.Audit().Starts)
	second.service.Lose("fukuoka", 2)
	require.Empty(t, second.service.Zones())
}
