package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/job"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/scheduler"
	"github.com/chervilrun/chervilrun/internal/standin/pool"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
	"github.com/chervilrun/chervilrun/internal/worker"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// The sizes of the zone rounds: one of nine zones at the planned size, and the whole
// pool in one runner.
var zoneSizes = []zoneSize{
	{workers: 84, tasks: 1_448},
	{workers: 167, tasks: 1_448},
	{workers: 167, tasks: 2_896},
	{workers: 1_500, tasks: 26_000},
}

type zoneSize struct{ workers, tasks int }

func (s zoneSize) String() string {
	return fmt.Sprintf("%d workers, %d tasks", s.workers, s.tasks)
}

const (
	roundZone       = "zone1"
	roundGangTasks  = 8
	roundFill       = 60 * time.Second
	roundSteady     = 10 * time.Second
	roundStep       = 20 * time.Millisecond
	roundRunMS      = 3_600_000
	roundRingEvents = 256
)

// round drives one zone's runner against a stand-in pool and an in-memory store on a
// clock of its own, and measures the time that the runner and its codec take.
type round struct {
	clock  *clockwork.FakeClock
	pool   *pool.Pool
	store  *memory.Store
	runner *zone.Runner

	busy      time.Duration
	messages  int
	sent      int
	received  int
	calls     int
	submitted int
}

// zoneRounds measures a zone at rest with all its tasks running.
func zoneRounds() []Figure {
	var figures []Figure
	for _, size := range zoneSizes {
		figures = append(figures, zoneFigures(size)...)
	}
	return figures
}

func zoneFigures(size zoneSize) []Figure {
	before := heapBytes()
	r := newRound(size)
	withWorkers := heapBytes()
	r.fill(size)
	r.run(roundFill)
	running := r.runner.Digest(r.clock.Now()).Running
	withTasks := heapBytes()
	fillBusy := r.busy
	r.reset()
	r.run(roundSteady)
	conditions := fmt.Sprintf("%s, %d gangs running", size, running)
	seconds := roundSteady.Seconds()
	workers := float64(size.workers)
	perWorker := func(metric string, value float64, unit string) Figure {
		return Figure{"scheduler", metric, "worker", value, unit, conditions}
	}
	figures := []Figure{
		{"scheduler", "zone_processor_share", "", r.busy.Seconds() / seconds, "core", conditions},
		perWorker("exchanges", float64(r.messages)/seconds/workers, "1/s"),
		perWorker("bytes_sent", float64(r.sent)/seconds/workers, "B/s"),
		perWorker("bytes_received", float64(r.received)/seconds/workers, "B/s"),
		{"scheduler", "store_calls_at_rest", "", float64(r.calls) / seconds, "1/s", conditions},
		{"scheduler", "processor_time_to_start", "task", fillBusy.Seconds() / float64(size.tasks) * 1e6, "us", conditions},
		{"scheduler", "memory_with_stand_in", "worker", float64(withWorkers-before) / workers, "B", conditions},
		{"scheduler", "memory_with_stand_in", "task", float64(withTasks-withWorkers) / float64(size.tasks), "B", conditions},
	}
	runtime.KeepAlive(r)
	return figures
}

func newRound(size zoneSize) *round {
	clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	r := &round{clock: clock, pool: pool.New(clock), store: memory.New(clock)}
	topology := pool.Topology{
		Zones:          []model.AvailabilityZoneID{roundZone},
		Workers:        size.workers,
		WorkersPerRack: 8,
		Capacity:       model.Resources{Accelerators: 8, MilliCPU: 64_000, MemoryMB: 128 << 10},
	}
	for _, info := range topology.Generate() {
		info.Endpoint = "pool/" + string(info.ID)
		r.pool.Add(info)
	}
	r.writeEpoch()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.runner = zone.NewRunner(zone.Options{
		Zone:    roundZone,
		Epoch:   1,
		Engine:  scheduler.New(roundZone, scheduler.Options{Seed: 1}),
		Events:  event.NewRecorder("capacity", clock, log, roundRingEvents),
		Rand:    rand.New(rand.NewPCG(1, 1)),
		Timing:  zone.DefaultTiming(),
		Metrics: zone.NewMetrics(nil),
		Assign: func(*view.View, model.AvailabilityZoneID) map[model.OrganisationID][]model.Guarantee {
			return nil
		},
	}, clock.Now())
	cluster := &config.Cluster{
		Version:       1,
		Zones:         []model.AvailabilityZone{{ID: roundZone}},
		Organisations: []model.Organisation{{ID: "tenant", Weight: 1}},
	}
	r.runner.SetView(&view.View{Config: cluster, Workers: r.pool.Workers()}, clock.Now())
	return r
}

func (r *round) writeEpoch() {
	put := store.Put{Key: store.EpochKey(roundZone), Value: []byte(strconv.Itoa(1))}
	_, err := r.store.Txn(context.Background(), store.Txn{Then: []store.Op{{Put: &put}}})
	mustBe(err)
}

// mustBe stops the measurement when the fakes fail, since its figures would mean nothing.
func mustBe(err error) {
	if err != nil {
		panic(errors.Wrap(err, "capacity"))
	}
}

// fill submits gangs of roundGangTasks tasks that outlast the measurement. Every
// second gang uses no accelerators, since there are more tasks than accelerators.
func (r *round) fill(size zoneSize) {
	for i := range size.tasks / roundGangTasks {
		spec := model.JobSpec{
			ID:           model.JobID(fmt.Sprintf("job-%05d", i)),
			Organisation: "tenant",
			Service:      "service",
			Priority:     model.PriorityNormal,
			Repeatable:   true,
			Shape: model.Shape{
				Tasks:     roundGangTasks,
				PerTask:   model.Resources{Accelerators: (i + 1) % 4 / 3, MilliCPU: 2_000, MemoryMB: 4 << 10},
				Adjacency: model.AdjacencyZone,
			},
			Payload: fmt.Appendf(nil, `{"run_ms":%d}`, roundRunMS),
		}
		r.runner.Submit(spec, r.clock.Now(), func(o outcome.Outcome, _ job.Record) {
			if o.Kind != outcome.Accepted {
				panic("capacity: refused: " + o.String())
			}
			r.submitted++
		})
	}
}

func (r *round) reset() {
	r.busy, r.messages, r.sent, r.received, r.calls = 0, 0, 0, 0, 0
}

func (r *round) run(length time.Duration) {
	for end := r.clock.Now().Add(length); r.clock.Now().Before(end); {
		r.step()
		r.clock.Advance(roundStep)
	}
}

// timed adds the time that do takes to the runner's processor time.
func (r *round) timed(do func()) {
	start := time.Now()
	do()
	r.busy += time.Since(start)
}

func (r *round) step() {
	now := r.clock.Now()
	gate := zone.Gate{Owned: true, Confirmation: view.Confirmation{ConfirmedAt: now, StoreReachable: true}}
	var effects zone.Effects
	r.timed(func() { effects = r.runner.Step(now, gate) })
	for _, call := range effects.Calls {
		r.exchange(call)
	}
	if effects.Store != nil {
		r.callStore(effects.Store)
	}
}

func (r *round) exchange(call zone.Call) {
	var body []byte
	r.timed(func() { body = encode(call.Exchange) })
	answer, err := r.pool.Exchange(context.Background(), call.Endpoint, call.Exchange)
	mustBe(err)
	text := encode(answer)
	r.messages++
	r.sent += len(body)
	r.received += len(text)
	r.timed(func() {
		var decoded worker.Response
		mustBe(json.Unmarshal(text, &decoded))
		r.runner.ExchangeDone(call, decoded, nil, r.clock.Now())
	})
}

func (r *round) callStore(call *zone.StoreCall) {
	r.calls++
	result, err := zone.CallStore(context.Background(), r.store, call)
	r.timed(func() { r.runner.StoreDone(call, result, err, r.clock.Now()) })
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	mustBe(err)
	return text
}
