package zone_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/chervilrun/chervilrun/internal/worker"
	"github.com/chervilrun/chervilrun/internal/zone"
)

// BenchmarkOwnerSteadyState runs a zone of the planned size in steady state, with 167 workers
// and 2,880 running tasks, and measures the cost to its owner per second.
func BenchmarkOwnerSteadyState(b *testing.B) {
	const (
		workers = 167
		gangs   = 90
		tasks   = 32
		settle  = 20 * time.Second
	)
	c := newTestCluster(b, 51, workers)
	c.run(3 * time.Second)
	for i := range gangs {
		s := spec(fmt.Sprint("gang", i), tasks, 100*time.Hour)
		s.Shape.PerTask.Accelerators = 0
		s.Shape.PerTask.MilliCPU = 2000
		s.Shape.PerTask.MemoryMB = 1024
		c.submitTo(c.zones[0], s)
	}
	c.run(settle)
	o := c.zones[0].owner
	running := c.pool.Audit().Starts
	var exchanges, bytes int
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		exchanges, bytes = o.runSecond(b, exchanges, bytes)
	}
	b.ReportMetric(float64(exchanges)/float64(b.N), "exchanges/s")
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/s")
	b.ReportMetric(float64(running), "tasks")
}

// runSecond simulates one second in which every exchange gets its response at once.
func (o *owner) runSecond(b *testing.B, exchanges, bytes int) (int, int) {
	const stepsPerSecond = 20
	for range stepsPerSecond {
		o.cluster.clock.Advance(time.Second / stepsPerSecond)
		now := o.cluster.now()
		o.viewConfirmedAt, o.ownedUntil = now, now.Add(time.Second)
		effects := o.runner.Step(now, o.gate())
		for _, call := range effects.Calls {
			request, _ := json.Marshal(call.Exchange)
			response, err := o.cluster.pool.Exchange(context.Background(), call.Endpoint, call.Exchange)
			encoded, _ := json.Marshal(response)
			var decoded worker.Response
			_ = json.Unmarshal(encoded, &decoded)
			o.runner.ExchangeDone(call, decoded, err, now)
			exchanges++
			bytes += len(request) + len(encoded)
		}
		if effects.Store != nil {
			result, err := zone.CallStore(context.Background(), o.cluster.store, effects.Store)
			o.runner.StoreDone(effects.Store, result, err, now)
		}
	}
	return exchanges, bytes
}
