package zone_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/eventqueue"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// ownerTTL is the lease of an owner, which counts as certain until ownerMargin before its end.
const (
	ownerTTL    = 5 * time.Second
	ownerMargin = time.Second
)

// testCluster simulates the owners of two zones, a worker pool and a store under a fake
// clock. All messages are events in one time-ordered queue, so runs with equal seeds are
// identical.
type testCluster struct {
	t      require.TestingT
	clock  *clockwork.FakeClock
	rng    *rand.Rand
	store  *memory.Store
	pool   *pool.Pool
	zones  []*testZone
	events *eventqueue.Simulation

	// unlisted workers are missing in the platform's list, as when it lags or they are cut off.
	unlisted map[model.WorkerID]bool
	// endpoints holds the endpoints of workers that the list names at another one than before;
	// otherProcesses are the processes there, which are listed under the IDs of these workers.
	otherProcesses    map[model.WorkerID]bool
	endpoints         map[model.WorkerID]string
	storeDown         bool
	writesToLose      int // number of next writes that take effect but lose their response
	writesToDelay     int // number of next writes that take effect late and lose their response
	writeDelay        time.Duration
	storeLatency      time.Duration
	storeCalls        int
	intentBeforeStart bool
	timing            zone.Timing

	organisations     []model.Organisation
	outcomes          map[model.JobID]outcome.Outcome
	outOfServiceSince map[model.AvailabilityZoneID]time.Time
	lateStarts        int
}

type testZone struct {
	id    model.AvailabilityZoneID
	epoch model.Epoch
	out   bool
	owner *owner
}

func newTestCluster(t require.TestingT, seed uint64, workersPerZone int) *testCluster {
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	clock := clockwork.NewFakeClockAt(start)
	c := &testCluster{
		t:                 t,
		clock:             clock,
		rng:               rand.New(rand.NewPCG(seed, 1)),
		store:             memory.New(clock),
		events:            eventqueue.NewSimulation(clock),
		pool:              pool.New(clock),
		writeDelay:        4 * time.Second,
		timing:            zone.DefaultTiming(),
		unlisted:          map[model.WorkerID]bool{},
		otherProcesses:    map[model.WorkerID]bool{},
		endpoints:         map[model.WorkerID]string{},
		outcomes:          map[model.JobID]outcome.Outcome{},
		outOfServiceSince: map[model.AvailabilityZoneID]time.Time{},
		organisations: []model.Organisation{
			{ID: "chikushi", Weight: 1}, {ID: "tenant", Weight: 1},
		},
	}
	topology := pool.Topology{
		Zones: []model.AvailabilityZoneID{"fukuoka", "kumamoto"}, Workers: 2 * workersPerZone, WorkersPerRack: 4,
		Capacity: model.Resources{Accelerators: 8, MilliCPU: 64_000, MemoryMB: 128 << 10},
	}
	for _, info := range topology.Generate() {
		info.Endpoint = "pool/" + string(info.ID)
		c.pool.Add(info)
	}
	for _, id := range topology.Zones {
		c.zones = append(c.zones, &testZone{id: id})
	}
	for _, z := range c.zones {
		c.takeZone(z)
	}
	return c
}

func (c *testCluster) now() time.Time { return c.clock.Now() }

func (c *testCluster) schedule(d time.Duration, f func()) { c.events.After(d, f) }

// run simulates the given time.
func (c *testCluster) run(d time.Duration) { c.events.Run(d) }

// runUntil runs until the condition holds or the limit has passed, and reports whether
// it holds.
func (c *testCluster) runUntil(limit time.Duration, holds func() bool) bool {
	const step = 50 * time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += step {
		if holds() {
			return true
		}
		c.run(step)
	}
	return holds()
}

func (c *testCluster) view() *view.View {
	cluster := &config.Cluster{Version: 1, Organisations: c.organisations}
	owners := map[model.AvailabilityZoneID]view.Owner{}
	for _, z := range c.zones {
		cluster.Zones = append(cluster.Zones, model.AvailabilityZone{ID: z.id, OutOfService: z.out})
		owners[z.id] = view.Owner{Zone: z.id}
	}
	workers := slices.DeleteFunc(c.pool.Workers(), func(w model.Worker) bool { return c.unlisted[w.ID] || c.otherProcesses[w.ID] })
	for i, w := range workers {
		if endpoint, moved := c.endpoints[w.ID]; moved {
			workers[i].Endpoint = endpoint
		}
	}
	return &view.View{Config: cluster, Owners: owners, Workers: workers}
}

func (c *testCluster) zone(id model.AvailabilityZoneID) *testZone {
	for _, z := range c.zones {
		if z.id == id {
			return z
		}
	}
	return nil
}

func (c *testCluster) deliverNotice(notice zone.Notice) {
	o := c.zone(notice.Zone).owner
	o.execute(func() { o.runner.Submit(notice.Spec, c.now(), func(outcome.Outcome, job.Record) {}) })
}

// submitTo submits a job to the current owner of a zone.
func (c *testCluster) submitTo(z *testZone, spec model.JobSpec) {
	o := z.owner
	o.execute(func() {
		o.runner.Submit(spec, c.now(), func(result outcome.Outcome, _ job.Record) {
			if c.outcomes[spec.ID].Kind != outcome.Accepted {
				c.outcomes[spec.ID] = result
			}
		})
	})
}

func (c *testCluster) cancel(z *testZone, id model.JobID) {
	o := z.owner
	o.execute(func() { o.runner.Cancel(id, "", c.now(), func(outcome.Outcome, job.Record) {}) })
}

// setOutOfService takes a zone out of service or returns it. It does nothing while
// the store is down, since the configuration can't be changed then.
func (c *testCluster) setOutOfService(z *testZone, out bool) {
	if c.storeDown {
		return
	}
	z.out = out
	delete(c.outOfServiceSince, z.id)
	if out {
		c.outOfServiceSince[z.id] = c.now()
	}
}

// record returns the record of a job from whichever zone has it, passing over forwarding
// records.
func (c *testCluster) record(id model.JobID) (job.Record, bool) {
	for _, z := range c.zones {
		key := store.JobKey(z.id, id)
		page, err := c.store.Range(context.Background(), key, key+"\x00", 1)
		require.NoError(c.t, err)
		if len(page.KeyValues) == 1 {
			record, err := job.Decode(page.KeyValues[0].Value)
			require.NoError(c.t, err)
			if record.Zone == z.id {
				return record, true
			}
		}
	}
	return job.Record{}, false
}

func (c *testCluster) haveEnded(ids ...model.JobID) func() bool {
	return func() bool {
		for _, id := range ids {
			if record, found := c.record(id); !found || !record.State.Final() {
				return false
			}
		}
		return true
	}
}

// requireInvariants checks that no gang ran partially for too long, no task ran twice, no
// worker was oversubscribed and no task started in a zone that was out of service.
func (c *testCluster) requireInvariants() {
	audit := c.pool.Audit()
	for _, run := range c.pool.History() {
		if slices.Contains(audit.Offenders, run.Attempt) {
			c.t.Errorf("%s %s on %s from %s to %s: %s", run.Attempt, run.Task, run.Worker,
				run.Start.Format(time.StampMilli), run.End.Format(time.StampMilli), run.State)
		}
	}
	require.Zero(c.t, audit.PartialGangs, "partial gangs; longest %d ms", audit.LongestPartialMS)
	require.Zero(c.t, audit.DoubleRuns, "double runs")
	require.Zero(c.t, audit.RepeatedStarts, "repeated starts")
	require.Zero(c.t, audit.Oversubscribed, "oversubscribed workers")
	require.Zero(c.t, c.lateStarts, "starts in a zone that was out of service")
}

func spec(id string, tasks int, run time.Duration) model.JobSpec {
	return model.JobSpec{
		ID: model.JobID(id), Organisation: "chikushi", Service: "repricing", Priority: model.PriorityNormal,
		Shape: model.Shape{
			Tasks: tasks, Adjacency: model.AdjacencyZone,
			PerTask: model.Resources{Accelerators: 4, MilliCPU: 16_000, MemoryMB: 32 << 10},
		},
		Repeatable: true,
		Payload:    fmt.Appendf(nil, `{"run_ms":%d}`, run.Milliseconds()),
	}
}

// nonRepeatable returns a job that may not be repeated.
func nonRepeatable(id string, tasks int, run time.Duration) model.JobSpec {
	s := spec(id, tasks, run)
	s.Repeatable = false
	s.Payload = fmt.Appendf(nil, `{"run_ms":%d,"once":true}`, run.Milliseconds())
	return s
}

// TestSubmitAndRun submits jobs that are run and one that is refused, without any fault.
func TestSubmitAndRun(t *testing.T) {
	c := newTestCluster(t, 1, 4)
	c.run(time.Second)
	z := c.zones[0]
	c.submitTo(z, spec("a", 4, 2*time.Second))
	c.submitTo(z, nonRepeatable("b", 1, time.Second))
	c.submitTo(z, spec("a", 4, 2*time.Second)) // submission is idempotent
	require.True(t, c.runUntil(20*time.Second, c.haveEnded("a", "b")))
	for _, id := range []model.JobID{"a", "b"} {
		record, _ := c.record(id)
		require.Equal(t, job.Done, record.State)
		require.Equal(t, outcome.Accepted, c.outcomes[id].Kind)
		require.Equal(t, 1, record.Attempts)
	}
	require.Equal(t, 5, c.pool.Audit().Starts)
	c.requireInvariants()
	infeasible := spec("huge", 4, time.Second)
	infeasible.Shape.PerTask.Accelerators = 9
	c.submitTo(z, infeasible)
	c.run(time.Second)
	require.Equal(t, outcome.ReasonInfeasible, c.outcomes["huge"].Reason)
	_, recorded := c.record("huge")
	require.False(t, recorded)
}
