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

	"github.com/chervilrun/chervilrun/internal/agenda"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/zone"
)

const (
	ownerTTL   = 5 * time.Second
	ownerSlack = time.Second
)

// world runs the owners of two zones, a pool and a store under a fake clock. Every
// message is an entry in one queue of things to come, so a seed repeats a run.
type world struct {
	t      require.TestingT
	clock  *clockwork.FakeClock
	rng    *rand.Rand
	store  *memory.Store
	pool   *pool.Pool
	zones  []*worldZone
	agenda *agenda.Agenda

	storeDown  bool
	loseWrites int // the next writes take effect and lose their answer
	lateWrites int // the next writes take effect late, and their answer is lost
	lateBy     time.Duration
	storeDelay time.Duration
	storeCalls int
	intent     bool
	timing     zone.Timing

	organisations []model.Organisation
	outcomes      map[model.JobID]outcome.Outcome
	outSince      map[model.AvailabilityZoneID]time.Time
	lateStarts    int
}

type worldZone struct {
	id    model.AvailabilityZoneID
	epoch model.Epoch
	out   bool
	owner *owner
}

func newWorld(t require.TestingT, seed uint64, workersPerZone int) *world {
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	clock := clockwork.NewFakeClockAt(start)
	w := &world{
		t:        t,
		clock:    clock,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		store:    memory.New(clock),
		agenda:   agenda.New(clock),
		pool:     pool.New(clock),
		lateBy:   4 * time.Second,
		timing:   zone.DefaultTiming(),
		outcomes: map[model.JobID]outcome.Outcome{},
		outSince: map[model.AvailabilityZoneID]time.Time{},
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
		w.pool.Add(info)
	}
	for _, id := range topology.Zones {
		w.zones = append(w.zones, &worldZone{id: id})
	}
	for _, z := range w.zones {
		w.take(z)
	}
	return w
}

func (w *world) now() time.Time { return w.clock.Now() }

func (w *world) after(d time.Duration, do func()) { w.agenda.After(d, do) }

// run lets the given time pass.
func (w *world) run(d time.Duration) { w.agenda.Run(d) }

// until runs until the condition holds, at most for the limit.
func (w *world) until(limit time.Duration, holds func() bool) bool {
	const step = 50 * time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += step {
		if holds() {
			return true
		}
		w.run(step)
	}
	return holds()
}

func (w *world) view() *view.View {
	cluster := &config.Cluster{Version: 1, Organisations: w.organisations}
	owners := map[model.AvailabilityZoneID]view.Owner{}
	for _, z := range w.zones {
		cluster.Zones = append(cluster.Zones, model.AvailabilityZone{ID: z.id, Out: z.out})
		owners[z.id] = view.Owner{Zone: z.id}
	}
	return &view.View{Config: cluster, Owners: owners, Workers: w.pool.Workers()}
}

func (w *world) zone(id model.AvailabilityZoneID) *worldZone {
	for _, z := range w.zones {
		if z.id == id {
			return z
		}
	}
	return nil
}

func (w *world) deliver(notice zone.Notice) {
	o := w.zone(notice.Zone).owner
	o.act(func() { o.runner.Submit(notice.Spec, w.now(), func(outcome.Outcome, job.Record) {}) })
}

// submitTo hands a job to the present owner of a zone.
func (w *world) submitTo(z *worldZone, spec model.JobSpec) {
	o := z.owner
	o.act(func() {
		o.runner.Submit(spec, w.now(), func(result outcome.Outcome, _ job.Record) {
			if w.outcomes[spec.ID].Kind != outcome.Accepted {
				w.outcomes[spec.ID] = result
			}
		})
	})
}

func (w *world) cancel(z *worldZone, id model.JobID) {
	o := z.owner
	o.act(func() { o.runner.Cancel(id, "", w.now(), func(outcome.Outcome, job.Record) {}) })
}

// setOut takes a zone out or brings it in; no change is accepted without the store.
func (w *world) setOut(z *worldZone, out bool) {
	if w.storeDown {
		return
	}
	z.out = out
	delete(w.outSince, z.id)
	if out {
		w.outSince[z.id] = w.now()
	}
}

// record returns what the store holds of a job, in any zone.
func (w *world) record(id model.JobID) (job.Record, bool) {
	for _, z := range w.zones {
		key := store.JobKey(z.id, id)
		page, err := w.store.Range(context.Background(), key, key+"\x00", 1)
		require.NoError(w.t, err)
		if len(page.KeyValues) == 1 {
			record, err := job.Decode(page.KeyValues[0].Value)
			require.NoError(w.t, err)
			if record.Zone == z.id {
				return record, true
			}
		}
	}
	return job.Record{}, false
}

func (w *world) isDone(ids ...model.JobID) func() bool {
	return func() bool {
		for _, id := range ids {
			if record, found := w.record(id); !found || !record.State.Final() {
				return false
			}
		}
		return true
	}
}

func (w *world) requireSound() {
	audit := w.pool.Audit()
	for _, run := range w.pool.History() {
		if slices.Contains(audit.Offenders, run.Attempt) {
			w.t.Errorf("%s %s on %s from %s to %s: %s", run.Attempt, run.Task, run.Worker,
				run.Start.Format(time.StampMilli), run.End.Format(time.StampMilli), run.State)
		}
	}
	require.Zero(w.t, audit.PartialGangs, "partial gangs; longest %d ms", audit.LongestPartialMS)
	require.Zero(w.t, audit.DoubleRuns, "double runs")
	require.Zero(w.t, audit.RepeatedStarts, "repeated starts")
	require.Zero(w.t, audit.Oversubscribed, "oversubscribed workers")
	require.Zero(w.t, w.lateStarts, "starts in a zone that was out")
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

// once returns a job that may not be repeated.
func once(id string, tasks int, run time.Duration) model.JobSpec {
	s := spec(id, tasks, run)
	s.Repeatable = false
	s.Payload = fmt.Appendf(nil, `{"run_ms":%d,"once":true}`, run.Milliseconds())
	return s
}

func TestThinPath(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.run(time.Second)
	z := w.zones[0]
	w.submitTo(z, spec("a", 4, 2*time.Second))
	w.submitTo(z, once("b", 1, time.Second))
	w.submitTo(z, spec("a", 4, 2*time.Second)) // a repeated submission is harmless
	require.True(t, w.until(20*time.Second, w.isDone("a", "b")))
	for _, id := range []model.JobID{"a", "b"} {
		record, _ := w.record(id)
		require.Equal(t, job.Done, record.State)
		require.Equal(t, outcome.Accepted, w.outcomes[id].Kind)
		require.Equal(t, 1, record.Attempts)
	}
	require.Equal(t, 5, w.pool.Audit().Starts)
	w.requireSound()
	infeasible := spec("huge", 4, time.Second)
	infeasible.Shape.PerTask.Accelerators = 9
	w.submitTo(z, infeasible)
	w.run(time.Second)
	require.Equal(t, outcome.ReasonInfeasible, w.outcomes["huge"].Reason)
	_, recorded := w.record("huge")
	require.False(t, recorded)
}
