package poolhost_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/pool"
	"github.com/chervilrun/chervilrun/internal/poolhost"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// maxWait limits the waits of these tests; only a failing test reaches it.
const maxWait = 20 * time.Second

const (
	configPrefix  = "config/"
	workersPrefix = "workers/"
)

// deployment is a few hosts with a common store. The store's clock doesn't advance unless
// a test advances it, so that no lease expires.
type deployment struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	store   *memory.Store
	workers *fakeWorkers
	// jobWriteErrors holds the results of successive writes of jobs, if it is set; a nil
	// error performs the write.
	jobWriteErrors []error
	// silentJobWatch makes the watches on accepted and cancelled jobs deliver nothing.
	silentJobWatch bool
	directories    poolhost.Directories
	machines       pool.MachinePort
	timing         pool.Timing
	// wrapStore, if it is set, replaces the store that a host uses for itself.
	wrapStore func(host string, s store.Store) store.Store
}

// faultyStore returns errors for successive writes of jobs; the last one is repeated. A nil
// error performs the write.
type faultyStore struct {
	store.Store
	mu          sync.Mutex
	writeErrors []error
}

func (s *faultyStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if len(txn.Then) == 0 || txn.Then[0].Put == nil || !strings.HasPrefix(txn.Then[0].Put.Key, store.PoolInputPrefix) {
		return s.Store.Txn(ctx, txn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.writeErrors[0]
	if len(s.writeErrors) > 1 {
		s.writeErrors = s.writeErrors[1:]
	}
	if err == nil {
		return s.Store.Txn(ctx, txn)
	}
	return store.TxnResult{}, err
}

func newDeployment(t *testing.T) *deployment {
	clock := clockwork.NewFakeClock()
	d := &deployment{t: t, clock: clock, store: memory.New(clock), workers: &fakeWorkers{runs: map[pool.RunKey]bool{}}}
	d.directories = poolhost.Directories{
		ConfigPrefix: configPrefix, DecodeConfig: decodeTestConfig,
		WorkersPrefix: workersPrefix, DecodeWorker: decodeTestWorker,
	}
	d.timing = pool.DefaultTiming(6*time.Second, time.Hour)
	d.put(configPrefix+"current", "1")
	d.put(workersPrefix+"w1", "w1")
	return d
}

func (d *deployment) put(key, value string) {
	_, err := d.store.Txn(context.Background(), store.Txn{Then: []store.Op{{Put: &store.Put{Key: key, Value: []byte(value)}}}})
	require.NoError(d.t, err)
}

func (d *deployment) remove(key string) {
	_, err := d.store.Txn(context.Background(), store.Txn{Then: []store.Op{{Delete: key}}})
	require.NoError(d.t, err)
}

// fakeWorkers runs every task until it is stopped or finishTasks is set.
type fakeWorkers struct {
	mu          sync.Mutex
	runs        map[pool.RunKey]bool
	ended       []pool.EndedTask
	lastNumber  int64
	starts      int
	finishTasks bool
	unreachable bool
}

func (f *fakeWorkers) Start(_ context.Context, _ pool.Target, order pool.StartOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := pool.RunKey{Task: order.Task, Run: order.Run}
	if !f.runs[key] {
		f.starts++
		f.runs[key] = true
	}
	return 1000, nil
}

func (f *fakeWorkers) Stop(_ context.Context, _ pool.Target, order pool.StopOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(pool.RunKey{Task: order.Task, Run: order.Run}, pool.EndStopped)
	return 1000, nil
}

func (f *fakeWorkers) Pace(context.Context, pool.Target, pool.PaceOrder) (int64, error) {
	return 1000, nil
}

func (f *fakeWorkers) end(key pool.RunKey, cause pool.EndCause) {
	if !f.runs[key] {
		return
	}
	delete(f.runs, key)
	f.lastNumber++
	f.ended = append(f.ended, pool.EndedTask{Number: f.lastNumber, RunKey: key, Cause: cause})
}

func (f *fakeWorkers) RenewLeases(ctx context.Context, _ pool.Target, order pool.RenewalOrder) (pool.Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return pool.Inventory{}, pool.ErrResponseLost
	}
	inventory := pool.Inventory{ClockMS: 1000, Incarnation: 1}
	if f.finishTasks {
		for key := range f.runs {
			f.end(key, pool.EndDone)
		}
	}
	for _, end := range f.ended {
		if end.Number > order.Acknowledged {
			inventory.Ended = append(inventory.Ended, end)
		}
	}
	for key := range f.runs {
		inventory.Running = append(inventory.Running, pool.RunningTask{RunKey: key})
	}
	return inventory, ctx.Err()
}

func (f *fakeWorkers) setFinishTasks(finish bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishTasks = finish
}

func (f *fakeWorkers) setUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = unreachable
}

func (f *fakeWorkers) runningCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

func (f *fakeWorkers) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// testHost is a host with its server, which can be killed.
type testHost struct {
	*poolhost.Host
	t      *testing.T
	server *httptest.Server
	client *memory.Client
	log    *logBuffer
}

// logBuffer captures the log of a host.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) has(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

func (d *deployment) host(name, incarnation string, weight float64) *testHost {
	log := logrus.New()
	buffer := &logBuffer{}
	log.SetOutput(buffer)
	clock := clockwork.NewRealClock()
	h := &testHost{t: d.t, client: d.store.Client(), log: buffer}
	var kv store.Store = h.client
	if d.jobWriteErrors != nil {
		kv = &faultyStore{Store: h.client, writeErrors: d.jobWriteErrors}
	}
	if d.silentJobWatch {
		kv = &silentStore{Store: h.client}
	}
	if d.wrapStore != nil {
		kv = d.wrapStore(name, h.client)
	}
	var handler http.Handler
	h.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
	h.Host = poolhost.New(poolhost.Options{
		Name: name, Incarnation: incarnation, Address: strings.TrimPrefix(h.server.URL, "http://"), Weight: weight,
		Store: kv, ConfigStore: h.client, WorkersStore: h.client, Workers: d.workers,
		Machines: d.machines, Directories: d.directories,
		Clock: clock, Events: event.NewRecorder(name, clock, log, 64),
		Timing: d.timing, KeyRevocationLimit: time.Hour,
	})
	handler = h.Handler()
	d.t.Cleanup(h.kill)
	return h
}

// kill stops a host like a killed process, without a handover.
func (h *testHost) kill() {
	h.server.CloseClientConnections()
	h.server.Close()
	h.Stop()
}

// refuse breaks the connections of other hosts to a host and refuses new ones, as a cut between
// hosts may do. The host itself lives on and reaches the store.
func (h *testHost) refuse() {
	require.NoError(h.t, h.server.Listener.Close())
	h.server.CloseClientConnections()
}

func decodeTestConfig(keys map[string]store.KeyValue) (*poolhost.Configuration, error) {
	kv, ok := keys[configPrefix+"current"]
	if !ok {
		return nil, nil
	}
	c := &poolhost.Configuration{Keys: map[string]model.OrganisationID{"key": "aso"}}
	_, err := fmt.Sscan(string(kv.Value), &c.Version)
	return c, err
}

func decodeTestWorker(kv store.KeyValue) (pool.WorkerInfo, error) {
	return pool.WorkerInfo{
		ID: model.WorkerID(kv.Value), Address: "worker", Service: "ledger", Zone: "z1", Incarnation: 1,
		Capacity: model.Resources{Accelerators: 8, MilliCPU: 8000, MemoryMB: 8000},
	}, nil
}

func record(id string) *workflow.Record {
	return &workflow.Record{
		ID: model.JobID(id), Organisation: "aso", Accepted: time.Now(),
		Queue: workflow.Queue{Name: "q", Service: "ledger", MaxAttempts: 2},
		Spec:  workflow.Spec{Payload: id, Steps: []workflow.Step{{Tasks: 1, PerTask: model.Resources{Accelerators: 1}}}},
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, maxWait, 5*time.Millisecond, what)
}

func ctx(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(context.Background(), maxWait)
	t.Cleanup(cancel)
	return c
}

func TestJobRunsAndIsShownByEveryHost(t *testing.T) {
	d := newDeployment(t)
	a, b := d.host("a", "a1", 1), d.host("b", "b1", 1)
	d.workers.setFinishTasks(true)
	eventually(t, "hosts are ready", func() bool { return a.Ready() && b.Ready() })
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	for _, h := range []*testHost{a, b} {
		eventually(t, "job is completed", func() bool {
			return h.State(ctx(t), "aso", "0000000000000001").State == workflow.Completed
		})
	}
	require.Equal(t, outcome.ReasonNotFound, b.State(ctx(t), "genkai", "0000000000000001").Outcome.Reason)
	require.Equal(t, outcome.ReasonNotFound, b.State(ctx(t), "aso", "0000000000000002").Outcome.Reason)
}

func TestSameJobAgainStaysOneJob(t *testing.T) {
	d := newDeployment(t)
	a, b := d.host("a", "a1", 1), d.host("b", "b1", 1)
	eventually(t, "hosts are ready", func() bool { return a.Ready() && b.Ready() })
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	require.Equal(t, outcome.Accepted, b.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "task is started", func() bool { return d.workers.startCount() > 0 })
	require.Equal(t, 1, d.workers.startCount())
}

// After a write without a response, the next attempt determines whether it took effect.
func TestAcceptedAlthoughTheAnswerWasLost(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "host is ready", a.Ready)
	a.client.SetFaults(memory.Faults{LoseResponses: 1})
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
}

// While a write may still take effect, the outcome is never "not run".
func TestUnknownWhileTheWriteMayStillHappen(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "host is ready", a.Ready)
	a.client.SetFaults(memory.Faults{LoseResponses: memory.AllResponses})
	short, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	require.Equal(t, outcome.Unknown, a.Submit(short, record("0000000000000001")).Outcome.Kind)
}

func TestRefusedWhileTheStoreIsUnreachable(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "host is ready", a.Ready)
	a.client.SetFaults(memory.Faults{Down: true})
	response := a.Submit(ctx(t), record("0000000000000001"))
	require.Equal(t, outcome.NotRun, response.Outcome.Kind)
	require.Positive(t, response.RetryAfter)
}

func TestCancelIsDurableAndStopsTheJob(t *testing.T) {
	d := newDeployment(t)
	a, b := d.host("a", "a1", 1), d.host("b", "b1", 1)
	eventually(t, "hosts are ready", func() bool { return a.Ready() && b.Ready() })
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "task is started", func() bool { return d.workers.startCount() == 1 })
	require.Equal(t, workflow.Cancelled, b.Cancel(ctx(t), "aso", "0000000000000001").State)
	require.Equal(t, workflow.Cancelled, b.Cancel(ctx(t), "aso", "0000000000000001").State)
	eventually(t, "task is stopped", func() bool {
		d.workers.mu.Lock()
		defer d.workers.mu.Unlock()
		return len(d.workers.runs) == 0
	})
	eventually(t, "job is shown as cancelled", func() bool {
		return a.State(ctx(t), "aso", "0000000000000001").State == workflow.Cancelled
	})
}

// A job that is cancelled before it is submitted never runs.
func TestCancelBeforeTheSubmission(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "host is ready", a.Ready)
	require.Equal(t, outcome.ReasonNotFound, a.Cancel(ctx(t), "aso", "0000000000000001").Outcome.Reason)
	a.Submit(ctx(t), record("0000000000000001"))
	eventually(t, "job is shown as cancelled", func() bool {
		return a.State(ctx(t), "aso", "0000000000000001").State == workflow.Cancelled
	})
	require.Zero(t, d.workers.startCount())
}

// When the process of the owner ends, another host takes over before the lease expires;
// it never expires in this test.
func TestDeadOwnerIsReplacedAtOnce(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "a is the owner", func() bool { return a.log.has("ownership taken") })
	b := d.host("b", "b1", 1)
	eventually(t, "b knows the owner", func() bool { return b.log.has("owner changed") })
	a.kill()
	eventually(t, "b is the owner", func() bool { return b.log.has("ownership taken") })
	d.workers.setFinishTasks(true)
	require.Equal(t, outcome.Accepted, b.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "job is completed", func() bool {
		return b.State(ctx(t), "aso", "0000000000000001").State == workflow.Completed
	})
}

// A host that restarts replaces the owner key of its earlier incarnation without waiting
// for the lease to expire.
func TestRestartedOwnerReplacesItself(t *testing.T) {
	d := newDeployment(t)
	first := d.host("a", "a1", 1)
	eventually(t, "the first incarnation is the owner", func() bool { return first.log.has("ownership taken") })
	first.kill()
	second := d.host("a", "a2", 1)
	eventually(t, "the second incarnation is the owner", func() bool { return second.log.has("ownership taken") })
}

// A planned stop hands the ownership over; running tasks continue.
func TestHandOverKeepsRunningTasks(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "a is the owner", func() bool { return a.log.has("ownership taken") })
	b := d.host("b", "b1", 1)
	eventually(t, "hosts are ready", func() bool { return a.Ready() && b.Ready() })
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	eventually(t, "task is started", func() bool { return d.workers.startCount() == 1 })
	a.HandOver(ctx(t))
	eventually(t, "b is the owner", func() bool { return b.log.has("ownership taken") })
	eventually(t, "b adopts the task", func() bool { return b.log.has("job adopted") })
	d.workers.setFinishTasks(true)
	eventually(t, "job is completed", func() bool {
		return a.State(ctx(t), "aso", "0000000000000001").State == workflow.Completed
	})
	require.Equal(t, 1, d.workers.startCount())
}

// An owner hands over to a host with much more weight.
func TestStrongHostReplacesWeakOwner(t *testing.T) {
	d := newDeployment(t)
	weak := d.host("a", "a1", 0.2)
	eventually(t, "the weak host is the owner", func() bool { return weak.log.has("ownership taken") })
	strong := d.host("b", "b1", 0.8)
	eventually(t, "the strong host is the owner", func() bool { return strong.log.has("ownership taken") })
}

// The version of the configuration never decreases while a process runs.
func TestOlderConfigurationIsNotApplied(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	d.put(configPrefix+"current", "7")
	eventually(t, "version 7 is in force", func() bool { c, _ := a.Configuration(); return c != nil && c.Version == 7 })
	d.put(configPrefix+"current", "5")
	eventually(t, "version 5 is refused", func() bool { return a.log.has("older than the one in force") })
	c, _ := a.Configuration()
	require.Equal(t, uint64(7), c.Version)
}

// When the history of the store is compacted, the directories are read again.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "host is ready", a.Ready)
	d.store.SetFaults(memory.Faults{Down: true})
	d.store.SetFaults(memory.Faults{})
	d.put(configPrefix+"current", "2")
	d.store.Compact()
	d.put(configPrefix+"current", "3")
	eventually(t, "version 3 is in force", func() bool { c, _ := a.Configuration(); return c != nil && c.Version == 3 })
}

// get returns the response of a host's API for operators.
func get[T any](t *testing.T, h *testHost, path string) T {
	response, err := http.Get(h.server.URL + path)
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	var decoded T
	require.NoError(t, json.NewDecoder(response.Body).Decode(&decoded))
	return decoded
}

// The owner shows operators the running and the waiting jobs and why they wait; other
// hosts name the owner.
func TestHostsShowThePoolToOperators(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "a is the owner", func() bool { return a.log.has("ownership taken") })
	b := d.host("b", "b1", 1)
	eventually(t, "b knows the owner", func() bool { return b.log.has("owner changed") })
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), record("0000000000000001")).Outcome.Kind)
	huge := record("0000000000000002")
	huge.Spec.Steps[0].PerTask.Accelerators = 64
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), huge).Outcome.Kind)
	eventually(t, "one job runs and one waits", func() bool {
		queues := get[poolhost.Status](t, a, poolhost.StatusPath).Term.Pool.Queues
		return len(queues) == 1 && queues[0].Running == 1 && queues[0].Waiting == 1
	})
	status := get[poolhost.Status](t, a, poolhost.StatusPath)
	require.True(t, status.Term.Confirmed)
	require.Equal(t, uint64(1), status.ConfigVersion)
	require.Equal(t, 1, status.Term.Pool.Workers.Usable)
	require.Equal(t, 7, status.Term.Pool.Workers.Free)

	why := get[poolhost.ExplainResponse](t, a, poolhost.ExplainPath+"0000000000000002")
	require.Equal(t, "a task needs 64 accelerators, 0m, 0 MB, more than any of 1 workers has", why.Explanation.Steps[0].Why)
	require.Empty(t, get[poolhost.ExplainResponse](t, a, poolhost.ExplainPath+"0000000000000001").Explanation.Steps[0].Why)
	require.False(t, get[poolhost.ExplainResponse](t, a, poolhost.ExplainPath+"0000000000000003").Found)

	other := get[poolhost.Status](t, b, poolhost.StatusPath)
	require.Nil(t, other.Term)
	require.Equal(t, "a", other.Owner)
	require.Equal(t, a.Address, other.OwnerAddress)
	require.False(t, get[poolhost.ExplainResponse](t, b, poolhost.ExplainPath+"0000000000000002").Owner)
}

// The count of a queue is returned for a limited time after the owner has ended.
func TestQueueCountIsCachedForALimitedTime(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "a is the owner", func() bool { return a.log.has("ownership taken") })
	b := d.host("b", "b1", 1)
	eventually(t, "b knows the owner", func() bool { return b.log.has("owner changed") })
	huge := record("0000000000000001")
	huge.Spec.Steps[0].PerTask.Accelerators = 64
	require.Equal(t, outcome.Accepted, a.Submit(ctx(t), huge).Outcome.Kind)
	eventually(t, "the job is counted", func() bool { count, ok := b.Waiting(ctx(t), "q"); return ok && count == 1 })
	// The store is unreachable as well, so that b can't become the owner.
	b.client.SetFaults(memory.Faults{Down: true})
	a.kill()
	count, ok := b.Waiting(ctx(t), "q")
	require.True(t, ok)
	require.Equal(t, 1, count)
	eventually(t, "the count is too old", func() bool { _, ok := b.Waiting(ctx(t), "q"); return !ok })
}

// Once the store is known to be unreachable, submissions are refused without a write, so
// that callers can safely retry. The outcome of earlier ones is unknown.
func TestCallsAreRefusedForCertainDuringAnOutage(t *testing.T) {
	d := newDeployment(t)
	a := d.host("a", "a1", 1)
	eventually(t, "host is ready", a.Ready)
	a.client.SetFaults(memory.Faults{ResponseDelay: time.Hour})
	short, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	require.Equal(t, outcome.Unknown, a.Submit(short, record("0000000000000001")).Outcome.Kind)
	eventually(t, "the outage is known", func() bool { return len(a.Status().FailingCalls) > 0 })
	response := a.Submit(ctx(t), record("0000000000000002"))
	require.Equal(t, outcome.NotRun, response.Outcome.Kind)
	require.Positive(t, response.RetryAfter)
	a.client.SetFaults(memory.Faults{})
	eventually(t, "jobs are accepted again", func() bool {
		return a.Submit(ctx(t), record("0000000000000002")).Outcome.Kind == outcome.Accepted
	})
}

// An attempt without a response may still take effect, so that later failures don't prove
// that nothing was written.
func TestUnknownAlthoughLaterTriesAreRefused(t *testing.T) {
	d := newDeployment(t)
	d.jobWriteErrors = []error{store.ErrResponseLost, store.ErrUnavailable}
	a := d.host("a", "a1", 1)
	eventually(t, "host is ready", a.Ready)
	short, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	require.Equal(t, outcome.Unknown, a.Submit(short, record("0000000000000001")).Outcome.Kind)
}
