package pool_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

// shrinkage is a capacity that was reduced at some time.
type shrinkage struct {
	before model.Resources
	at     time.Time
}

const (
	// shrinkageGrace is the time after which a reduced capacity has to be observed.
	shrinkageGrace = 4500 * time.Millisecond
	// heartbeat is how long a worker may take to say what its capacity is.
	heartbeat = 1500 * time.Millisecond
)

// capacityInForce is the most that starts may fill: a reduced capacity is in force only after
// shrinkageGrace.
func (f *fakeWorker) capacityInForce() model.Resources {
	most := f.info.Capacity
	for _, s := range f.shrunk {
		if f.now().Sub(s.at) <= shrinkageGrace {
			most.Accelerators = max(most.Accelerators, s.before.Accelerators)
			most.MilliCPU = max(most.MilliCPU, s.before.MilliCPU)
			most.MemoryMB = max(most.MemoryMB, s.before.MemoryMB)
		}
	}
	return most
}

// setCapacity changes the capacity of a worker, in eighths of its full one. The list of workers
// shows it up to a heartbeat later.
func (sim *simulation) setCapacity(f *fakeWorker, eighths int) {
	full := model.Resources{Accelerators: 8, MilliCPU: 64000, MemoryMB: 128000}
	f.shrunk = append(f.shrunk, shrinkage{before: f.info.Capacity, at: sim.now()})
	f.info.Capacity = model.Resources{
		Accelerators: full.Accelerators * eighths / 8, MilliCPU: full.MilliCPU * int64(eighths) / 8, MemoryMB: full.MemoryMB * int64(eighths) / 8,
	}
	sim.after(time.Duration(sim.rng.Int64N(int64(heartbeat))), sim.reload)
}

var capacitySeeds = flag.Uint64("pool.capacity.seeds", 12, "number of simulations of changing capacities")

// Guards against starts that fill a worker beyond a capacity that has shrunk while it runs: with
// runs that use more than what is left, evictions, gangs, unanswered orders and changes
// of the owner. All work is done once the capacity is back.
func TestShrinkingCapacityIsObserved(t *testing.T) {
	for seed := range *capacitySeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 2, 3)
			sim.policy.Guarantees["aso"] = 16
			sim.audit.faults = true
			sim.after(0, sim.tick)
			sim.takeOver()
			var ids []model.JobID
			for i := range 40 {
				sim.after(sim.randomTime(), func() {
					id := sim.randomJob(i)
					if sim.records[id].Spec.LongRunning() {
						sim.after(faultPeriod, func() { sim.cancel(id) })
					}
					ids = append(ids, id)
				})
			}
			for range 60 {
				sim.after(sim.randomTime(), func() { sim.setCapacity(sim.workers[sim.randomWorker()], sim.rng.IntN(9)) })
			}
			sim.after(sim.randomTime(), func() { sim.loseCalls(10 * time.Second) })
			sim.after(sim.randomTime(), sim.changeOwner)
			sim.run(faultPeriod)
			for _, id := range sim.ids {
				sim.setCapacity(sim.workers[id], 8)
			}
			for _, id := range ids {
				require.True(t, sim.runUntil(3*time.Minute, func() bool { return sim.state(id).Final() }), "%s is still %s", id, sim.state(id))
				require.NotEqual(t, workflow.Failed, sim.state(id))
			}
		})
	}
}
