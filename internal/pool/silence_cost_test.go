package pool_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/store"
	"github.com/chervilrun/chervilrun/internal/workflow"
)

var allSilenceSizes = flag.Bool("pool.silence.sizes", false, "measure the record of silent workers at up to 1,500 workers")

// silenceCost counts the writes of the record of silent workers.
type silenceCost struct {
	writes, alone, bytes, largest int
}

func (c *silenceCost) count(txn store.Txn) {
	for _, op := range txn.Then {
		if op.Put == nil || op.Put.Key != store.PoolSilenceKey {
			continue
		}
		size := len(op.Put.Key) + len(op.Put.Value)
		c.writes++
		c.bytes += size
		c.largest = max(c.largest, size)
		if len(txn.Then) == 1 {
			c.alone++
		}
	}
}

// The record of silent workers costs a write when workers fall silent and when they answer, not one
// for each worker and each call. The figures are in docs/CAPACITY.md.
func TestCostOfTheRecordOfSilentWorkers(t *testing.T) {
	sizes := []int{48}
	if *allSilenceSizes {
		sizes = append(sizes, 350, 540, 1500)
	}
	for _, workers := range sizes {
		for _, percent := range []int{1, 10} {
			for _, together := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d workers, %d%% silent, together %v", workers, percent, together), func(t *testing.T) {
					sim := newSimulation(t, 1, workers/2, 2)
					cost := &silenceCost{}
					sim.onWrite = cost.count
					sim.after(0, sim.tick)
					sim.takeOver()
					var ids []model.JobID
					for i := range workers / 10 {
						task := serving()
						task.Tasks = 10
						ids = append(ids, sim.submit(fmt.Sprintf("s%04d", i), "aso", normalQueue(), task))
					}
					for _, id := range ids {
						sim.waitFor(time.Minute, id, workflow.Running)
					}
					sim.run(5 * time.Second)
					require.Zero(t, cost.writes, "nothing is recorded while all workers answer")
					silent := max(1, workers*percent/100)
					for i := range silent {
						at := time.Duration(0)
						if !together {
							at = 20 * time.Second * time.Duration(i) / time.Duration(silent)
						}
						id := sim.ids[i*len(sim.ids)/silent]
						sim.after(at, func() { sim.unreachable[id] = true })
						sim.after(at+4*time.Second, func() { delete(sim.unreachable, id) })
					}
					sim.run(30 * time.Second)
					require.Empty(t, sim.silenceRecord().Workers)
					require.LessOrEqual(t, cost.writes, 2*silent+2)
					t.Logf("%d silent: %d writes (%d alone in their transaction), %d B in all, largest %d B", silent, cost.writes, cost.alone, cost.bytes, cost.largest)
				})
			}
		}
	}
}
