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

// zoneSizes lists the simulated sizes: variants of one of the nine planned zones, and
// the whole planned pool in one zone.
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
	simulatedZone   = "zone1"
	gangTasks       = 8
	fillTime        = 60 * time.Second
	steadyTime      = 10 * time.Second
	stepInterval    = 20 * time.Millisecond
	taskRunMS       = 3_600_000
	eventBufferSize = 256
)

// zoneSimulation runs one zone's runner against a stand-in pool and an in-memory store
// on a fake clock, and measures the processor time of the runner and of encoding and
// decoding its messages.
type zoneSimulation struct {
	clock  *clockwork.FakeClock
	pool   *pool.Pool
	store  *memory.Store
	runner *zone.Runner

	runnerTime    time.Duration
	exchanges     int
	bytesSent     int
	bytesReceived int
	storeCalls    int
	acceptedJobs  int
}

// simulatedZones measures zones in a steady state, with all tasks running.
func simulatedZones() []Figure {
	var figures []Figure
	for _, size := range zoneSizes {
		figures = append(figures, zoneFigures(size)...)
	}
	return figures
}

func zoneFigures(size zoneSize) []Figure {
	before := heapBytes()
	r := newZoneSimulation(size)
	withWorkers := heapBytes()
	r.fill(size)
	r.run(fillTime)
	running := r.runner.Digest(r.clock.Now()).Running
	withTasks := heapBytes()
	fillRunnerTime := r.runnerTime
	r.resetCounters()
	r.run(steadyTime)
	conditions := fmt.Sprintf("%s, %d gangs running", size, running)
	seconds := steadyTime.Seconds()
	workers := float64(size.workers)
	perWorker := func(metric string, value float64, unit string) Figure {
		return Figure{"scheduler", metric, "worker", value, unit, conditions}
	}
	figures := []Figure{
		{"scheduler", "zone_processor_share", "", r.runnerTime.Seconds() / seconds, "core", conditions},
		perWorker("exchanges", float64(r.exchanges)/seconds/workers, "1/s"),
		perWorker("bytes_sent", float64(r.bytesSent)/seconds/workers, "B/s"),
		perWorker("bytes_received", float64(r.bytesReceived)/seconds/workers, "B/s"),
		{"scheduler", "store_calls_at_rest", "", float64(r.storeCalls) / seconds, "1/s", conditions},
		{"scheduler", "processor_time_to_start", "task", fillRunnerTime.Seconds() / float64(size.tasks) * 1e6, "us", conditions},
		{"scheduler", "memory_with_stand_in", "worker", float64(withWorkers-before) / workers, "B", conditions},
		{"scheduler", "memory_with_stand_in", "task", float64(withTasks-withWorkers) / float64(size.tasks), "B", conditions},
	}
	runtime.KeepAlive(r)
	return figures
}

func newZoneSimulation(size zoneSize) *zoneSimulation {
	clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	r := &zoneSimulation{clock: clock, pool: pool.New(clock), store: memory.New(clock)}
	topology := pool.Topology{
		Zones:          []model.AvailabilityZoneID{simulatedZone},
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
		Zone:    simulatedZone,
		Epoch:   1,
		Engine:  scheduler.New(simulatedZone, scheduler.Options{Seed: 1}),
		Events:  event.NewRecorder("capacity", clock, log, eventBufferSize),
		Rand:    rand.New(rand.NewPCG(1, 1)),
		Timing:  zone.DefaultTiming(),
		Metrics: zone.NewMetrics(nil),
		Assign: func(*view.View, model.AvailabilityZoneID) map[model.OrganisationID][]model.Guarantee {
			return nil
		},
	}, clock.Now())
	cluster := &config.Cluster{
		Version:       1,
		Zones:         []model.AvailabilityZone{{ID: simulatedZone}},
		Organisations: []model.Organisation{{ID: "tenant", Weight: 1}},
	}
	r.runner.SetView(&view.View{Config: cluster, Workers: r.pool.Workers()}, clock.Now())
	return r
}

func (r *zoneSimulation) writeEpoch() {
	put := store.Put{Key: store.EpochKey(simulatedZone), Value: []byte(strconv.Itoa(1))}
	_, err := r.store.Txn(context.Background(), store.Txn{Then: []store.Op{{Put: &put}}})
	must(err)
}

// must panics on an error, since the figures would be meaningless.
func must(err error) {
	if err != nil {
		panic(errors.Wrap(err, "capacity"))
	}
}

// fill submits gangs of gangTasks tasks that run longer than the measurement. Only every
// fourth gang uses accelerators, since there are more tasks than accelerators.
func (r *zoneSimulation) fill(size zoneSize) {
	for i := range size.tasks / gangTasks {
		spec := model.JobSpec{
			ID:           model.JobID(fmt.Sprintf("job-%05d", i)),
			Organisation: "tenant",
			Service:      "service",
			Priority:     model.PriorityNormal,
			Repeatable:   true,
			Shape: model.Shape{
				Tasks:     gangTasks,
				PerTask:   model.Resources{Accelerators: (i + 1) % 4 / 3, MilliCPU: 2_000, MemoryMB: 4 << 10},
				Adjacency: model.AdjacencyZone,
			},
			Payload: fmt.Appendf(nil, `{"run_ms":%d}`, taskRunMS),
		}
		r.runner.Submit(spec, r.clock.Now(), func(o outcome.Outcome, _ job.Record) {
			if o.Kind != outcome.Accepted {
				panic("capacity: job refused: " + o.String())
			}
			r.acceptedJobs++
		})
	}
}

func (r *zoneSimulation) resetCounters() {
	r.runnerTime, r.exchanges, r.bytesSent, r.bytesReceived, r.storeCalls = 0, 0, 0, 0, 0
}

func (r *zoneSimulation) run(length time.Duration) {
	for end := r.clock.Now().Add(length); r.clock.Now().Before(end); {
		r.step()
		r.clock.Advance(stepInterval)
	}
}

// measureRunner calls do and adds its duration to the runner's processor time.
func (r *zoneSimulation) measureRunner(do func()) {
	start := time.Now()
	do()
	r.runnerTime += time.Since(start)
}

func (r *zoneSimulation) step() {
	now := r.clock.Now()
	gate := zone.Gate{Owned: true, Confirmation: view.Confirmation{ConfirmedAt: now, StoreReachable: true}}
	var effects zone.Effects
	r.measureRunner(func() { effects = r.runner.Step(now, gate) })
	for _, call := range effects.Calls {
		r.exchange(call)
	}
	if effects.Store != nil {
		r.callStore(effects.Store)
	}
}

func (r *zoneSimulation) exchange(call zone.Call) {
	var body []byte
	r.measureRunner(func() { body = encode(call.Exchange) })
	response, err := r.pool.Exchange(context.Background(), call.Endpoint, call.Exchange)
	must(err)
	text := encode(response)
	r.exchanges++
	r.bytesSent += len(body)
	r.bytesReceived += len(text)
	r.measureRunner(func() {
		var decoded worker.Response
		must(json.Unmarshal(text, &decoded))
		r.runner.ExchangeDone(call, decoded, nil, r.clock.Now())
	})
}

func (r *zoneSimulation) callStore(call *zone.StoreCall) {
	r.storeCalls++
	result, err := zone.CallStore(context.Background(), r.store, call)
	r.measureRunner(func() { r.runner.StoreDone(call, result, err, r.clock.Now()) })
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	must(err)
	return text
}
